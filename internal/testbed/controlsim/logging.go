package controlsim

import (
	"flag"
	"io"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// discardServerLogs discards the log output of the simulated processes, as a run has its own log of events.
func discardServerLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL",
	} {
		if err := flags.Set(name, value); err != nil {
			panic(errors.Wrap(err, "controlsim: set the flags of klog").Error())
		}
	}
	klog.SetOutput(io.Discard)
}
