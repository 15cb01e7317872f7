package controlsim

import (
	"flag"
	"io"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// discardServerLogs drops the log of the code that is played: runs have a log of their own.
func discardServerLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic(errors.Wrap(err, "controlsim: flags of the log").Error())
		}
	}
	klog.SetOutput(io.Discard)
}
