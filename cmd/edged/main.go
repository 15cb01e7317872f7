// Command edged is one process of the router fleet. It runs on every machine; on machines with a disk
// it is also a member of the core.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"chalkdoor.example/chalkdoor/internal/buildinfo"
	"chalkdoor.example/chalkdoor/internal/fleet/daemon"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/reloadsignal"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// exitFailed is the exit status of a command that failed.
const exitFailed = 1

// cli defines the flags and commands of edged.
type cli struct {
	Verbosity int `short:"v" name:"verbosity" default:"0" help:"Verbosity of the log: 1 adds control events, 2 also adds events of single requests."`

	Run     runCommand     `name:"run" cmd:"" default:"1" help:"Serve with the settings file that $CHALKDOOR_NODE_FILE names."`
	Check   checkCommand   `name:"check" cmd:"" help:"Validate a settings file."`
	Events  eventsCommand  `name:"events" cmd:"" help:"Print the catalogue of logged events."`
	Version versionCommand `name:"version" cmd:"" help:"Print the version."`
}

type runCommand struct{}

// Run serves until SIGTERM or SIGINT. SIGHUP reloads the settings.
func (runCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not terminate the process
	reload := reloadRequests()
	d, err := daemon.New(settings.Path())
	if err != nil {
		return err
	}
	return d.Run(ctx, reload)
}

// reloadRequests returns a channel that receives a value after each SIGHUP, including one that arrived
// before the call. Signals that arrive while a value is pending are merged with it.
func reloadRequests() <-chan struct{} {
	requests := make(chan struct{}, 1)
	go func() { // runs until the process exits
		for range reloadsignal.Requests() {
			select {
			case requests <- struct{}{}:
			default:
			}
		}
	}()
	return requests
}

type checkCommand struct {
	File string `name:"file" arg:"" help:"The settings file."`
}

// Run validates a settings file. It prints a summary of a valid file, and returns an error otherwise.
func (c checkCommand) Run() error {
	loaded, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: node %s in zone %s, serves %v\n", c.File, loaded.Name, loaded.Zone, loaded.ServedRoles)
	return nil
}

type eventsCommand struct{}

// Run prints the text of docs/EVENTS.md.
func (eventsCommand) Run() error {
	fmt.Print(logevent.Page())
	return nil
}

type versionCommand struct{}

// Run prints the version of the build.
func (versionCommand) Run() error {
	info, ok := buildinfo.Read()
	if !ok {
		fmt.Println("edged")
		return nil
	}
	fmt.Println("edged", cmp.Or(info.Revision, "unknown"), info.Go)
	return nil
}

// configureLogging makes klog write to standard error with the given verbosity.
func configureLogging(verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
	_ = flags.Set("v", strconv.Itoa(verbosity))
}

func main() {
	var grammar cli
	command := kong.Parse(&grammar, kong.Name("edged"), kong.Description("One process of the router fleet."),
		kong.UsageOnError())
	configureLogging(grammar.Verbosity)
	defer klog.Flush()
	if err := command.Run(); err != nil {
		logevent.StartFailed.Error(err)
		klog.Flush()
		os.Exit(exitFailed)
	}
}
