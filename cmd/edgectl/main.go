// Command edgectl is the operator's client of a router fleet: it changes and reads the
// configuration, inspects agents, and validates files without a fleet.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// Exit statuses, as the help text explains them.
const (
	exitOK          = 0
	exitUsage       = 1 // wrong usage, or a file can't be read
	exitInvalid     = 2 // the configuration is rejected as invalid or too large
	exitConflict    = 3 // the current revision is not the one that the change was made for
	exitUnavailable = 4 // no agent gave a final answer in time
	exitCorrupted   = 5 // the state on disk is corrupted
	exitNotFound    = 6 // the requested item does not exist, or there is no configuration yet
)

// exitStatus returns the exit status of a command that returned err.
func exitStatus(err error) int {
	if err == nil {
		return exitOK
	}
	switch apierror.KindOf(err) {
	case apierror.Invalid, apierror.TooLarge:
		return exitInvalid
	case apierror.Conflict:
		return exitConflict
	case apierror.Unavailable, apierror.OutcomeUnknown:
		return exitUnavailable
	case apierror.Corrupted:
		return exitCorrupted
	case apierror.NotFound:
		return exitNotFound
	default:
		return exitUsage
	}
}

// run executes one command line and returns the exit status.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var grammar cli
	exitCode := -1 // set by the parser if the program should exit, which is so after it has printed help
	parser, err := kong.New(&grammar, kong.Name("edgectl"), kong.Description(description), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exitCode = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(stderr, "edgectl:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		fmt.Fprintf(stderr, "edgectl: %v\nTry edgectl --help.\n", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, grammar.Timeout)
	defer cancel()
	err = command.Run(&session{cli: &grammar, ctx: ctx, stdin: stdin, stdout: stdout})
	if err != nil {
		printError(stderr, err, grammar.JSON)
	}
	return exitStatus(err)
}

// errorOutput is the output for an error with --json.
type errorOutput struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

// printError prints the error of a command to stderr, as JSON if asJSON is set.
func printError(stderr io.Writer, err error, asJSON bool) {
	if !asJSON {
		fmt.Fprintln(stderr, "edgectl:", printable(err.Error()))
		return
	}
	_ = json.NewEncoder(stderr).Encode(errorOutput{Error: err.Error(), Kind: apierror.KindOf(err).String()})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
