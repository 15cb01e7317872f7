// Command edged is one process of the router fleet. It runs on every machine; those with a disk
// are of the core.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"chalkdoor.example/chalkdoor/internal/fleet/daemon"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

type cli struct {
	Verbosity int `short:"v" name:"verbosity" default:"0" help:"Log more: 1 events of control, 2 of single requests."`

	Run     runCommand     `name:"run" cmd:"" default:"1" help:"Serve, by the settings file that $CHALKDOOR_NODE_FILE names."`
	Check   checkCommand   `name:"check" cmd:"" help:"Tell what is wrong with a settings file."`
	Events  eventsCommand  `name:"events" cmd:"" help:"Print the catalogue of logged events."`
	Version versionCommand `name:"version" cmd:"" help:"Print the version."`
}

type runCommand struct{}

func (runCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() { // for as long as the process
		for range hup {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	d, err := daemon.New(settings.Path())
	if err != nil {
		return err
	}
	return d.Run(ctx, reload)
}

type checkCommand struct {
	File string `name:"file" arg:"" help:"The settings file."`
}

func (c checkCommand) Run() error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: node %s in zone %s, serves %v\n", c.File, s.Name, s.Zone, s.ServedRoles)
	return nil
}

type eventsCommand struct{}

func (eventsCommand) Run() error {
	fmt.Print(logevent.Page())
	return nil
}

type versionCommand struct{}

func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("edged")
		return nil
	}
	rev := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			rev = s.Value
		}
	}
	fmt.Println("edged", rev, info.GoVersion)
	return nil
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("edged"), kong.Description("One process of the router fleet."), kong.UsageOnError())
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "true")
	_ = fs.Set("v", fmt.Sprint(c.Verbosity))
	defer klog.Flush()
	if err := k.Run(); err != nil {
		logevent.StartFailed.Error(err)
		klog.Flush()
		os.Exit(1)
	}
}
