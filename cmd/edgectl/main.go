// Command edgectl is the operator's client of a router fleet: it changes and reads the
// configuration, reads what agents know, and checks files without a fleet.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// Exit statuses.
const (
	exitOK          = 0
	exitUsage       = 1 // called wrongly, or a file can't be read
	exitInvalid     = 2 // the configuration is refused as it is
	exitConflict    = 3 // another version is in place
	exitUnavailable = 4 // no agent gave a clear answer in time
	exitCorrupted   = 5 // the state on disk is not what was written
	exitNotFound    = 6 // there is no such thing, or no configuration yet
)

const description = `Change and read the configuration of a router fleet, and see what its agents know.

Agents are named by their control addresses; without --agent the settings file of the machine (CHALKDOOR_NODE_FILE) names them. A call goes to the next agent after a failure, until its answer is clear or the time is over. A change whose answer stays unclear may have been taken: run the same again with the same --if-match, and it is taken once.

Exit statuses: 0 done; 1 called wrongly, or a file can't be read; 2 refused as invalid; 3 another version is in place; 4 no clear answer in time; 5 the state on disk is damaged; 6 there is no such thing.`

type cli struct {
	Agent   []string      `name:"agent" help:"Control address of an agent; give more of them to have others tried." placeholder:"IP:PORT" env:"CHALKDOOR_AGENTS"`
	JSON    bool          `name:"json" help:"Print JSON."`
	Timeout time.Duration `name:"timeout" help:"The most time that a call may take, with all its tries." default:"15s"`

	Config struct {
		Put   putCommand   `name:"put" cmd:"" help:"Send a whole configuration."`
		Patch patchCommand `name:"patch" cmd:"" help:"Send a change of named items."`
		Get   getCommand   `name:"get" cmd:"" help:"Print the newest configuration, as it was sent."`
		Check checkCommand `name:"check" cmd:"" help:"Check a file without sending it, and say by key what is wrong."`
	} `name:"config" cmd:"" help:"The configuration."`
	Members inspectCommand `name:"members" cmd:"" help:"Print the agents that hold a lease."`
	Servers inspectCommand `name:"servers" cmd:"" help:"Print the servers that are listed."`
	View    inspectCommand `name:"view" cmd:"" help:"Print the agreed view and its chain."`
	Status  inspectCommand `name:"status" cmd:"" help:"Print how an agent stands."`
	Figures inspectCommand `name:"figures" cmd:"" help:"Print what an agent has counted and measured."`
	State   struct {
		Verify verifyCommand `name:"verify" cmd:"" help:"Check the state that an agent keeps on disk; it may not run meanwhile."`
	} `name:"state" cmd:"" help:"State on disk."`
	Version versionCommand `name:"version" cmd:"" help:"Print the version."`
}

// session is what commands run with.
type session struct {
	*cli
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
}

// agentAddresses are the control addresses to call, at least one.
func (s *session) agentAddresses() ([]string, error) {
	if len(s.Agent) > 0 {
		return s.Agent, nil
	}
	set, err := settings.Load(settings.Path())
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "--agent", "name an agent's control address")
	}
	var all []string
	for _, a := range append([]string{set.Listen.Control}, set.Seeds...) {
		if a != "" && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return nil, apierror.New(apierror.Internal, "--agent", "name an agent's control address", "the settings file names none")
	}
	return all, nil
}

func (s *session) client() (*controlapi.Client, error) {
	all, err := s.agentAddresses()
	if err != nil {
		return nil, err
	}
	return controlapi.NewClient(all), nil
}

// printResult writes v as JSON, or else what text says of it.
func (s *session) printResult(v any, text string, args ...any) error {
	if !s.JSON {
		_, err := fmt.Fprintf(s.stdout, text+"\n", args...)
		return err
	}
	return json.NewEncoder(s.stdout).Encode(v)
}

type versionCommand struct{}

// Run prints what the build knows of itself.
func (versionCommand) Run(s *session) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return apierror.New(apierror.Internal, "", "build it with modules", "this build knows nothing of itself")
	}
	v := struct {
		Version  string `json:"version"`
		Revision string `json:"revision,omitempty"`
		Go       string `json:"go"`
	}{Version: info.Main.Version, Go: info.GoVersion}
	for _, b := range info.Settings {
		if b.Key == "vcs.revision" {
			v.Revision = b.Value
		}
	}
	return s.printResult(v, "edgectl %s %s %s", v.Version, v.Revision, v.Go)
}

// run carries out one command line and returns the exit status.
func run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	var c cli
	ended := -1
	parser, err := kong.New(&c, kong.Name("edgectl"), kong.Description(description), kong.Writers(out, errs),
		kong.Exit(func(code int) { ended = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errs, "edgectl:", err)
		return exitUsage
	}
	line, err := parser.Parse(args)
	if ended >= 0 { // help was asked for
		return ended
	}
	if err != nil {
		fmt.Fprintf(errs, "edgectl: %v\nTry edgectl --help.\n", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	err = line.Run(&session{cli: &c, ctx: ctx, stdin: in, stdout: out})
	if err == nil {
		return exitOK
	}
	kind := apierror.KindOf(err)
	if c.JSON {
		_ = json.NewEncoder(errs).Encode(map[string]string{"error": err.Error(), "kind": kind.String()})
	} else {
		fmt.Fprintln(errs, "edgectl:", printable(err.Error()))
	}
	return map[apierror.Kind]int{apierror.Internal: exitUsage, apierror.Invalid: exitInvalid, apierror.TooLarge: exitInvalid, apierror.Conflict: exitConflict,
		apierror.Unavailable: exitUnavailable, apierror.OutcomeUnknown: exitUnavailable, apierror.Corrupted: exitCorrupted, apierror.NotFound: exitNotFound}[kind]
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
