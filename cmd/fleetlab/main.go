// Command fleetlab runs a complete router fleet on loopback: processes of edged, model servers, clients, an operator
// and a fault. It exits with status 1 if a rule is violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/fleetlab"
)

// daemon is the import path of the daemon.
const daemon = "chalkdoor.example/chalkdoor/cmd/edged"

// errViolated is returned after a report with violations was printed.
var errViolated = errors.New("rules are violated")

const (
	// kongParseError is kong's exit status for a command line that it cannot parse.
	kongParseError = 80
	// usageError is the conventional exit status for such a command line.
	usageError = 2
)

type cli struct {
	Play playCmd `name:"play" cmd:"" help:"Run a fleet with clients, an operator and a fault, and print a report."`
	Soak soakCmd `name:"soak" cmd:"" help:"Run soak tests: series of overlapping faults drawn from seeds, each followed by a restart of all processes and a check of the recovery."`
}

type playCmd struct {
	Agents  int           `name:"agents" default:"5" help:"Number of machines that run edged."`
	Core    int           `name:"core" default:"3" help:"Number of these machines that form the core and have a disk."`
	Servers int           `name:"servers" default:"6" help:"Number of model servers."`
	For     time.Duration `name:"for" default:"20s" help:"Duration of the traffic."`
	Rate    float64       `name:"rate" help:"Requests per second. 0 means 12 for each agent."`
	Seed    uint64        `name:"seed" default:"1" help:"Seed of all random choices."`
	Fault   string        `name:"fault" default:"kill-core" enum:"${faults}" help:"Fault to inject: ${enum}."`
	Dir     string        `name:"dir" help:"Folder for settings, state and logs, which is kept. Without it a temporary folder is used and removed at the end."`
	Edged   string        `name:"edged" help:"Path of the daemon's executable. Without it, edged in the folder of this program is used, or else built with go build."`
	JSON    bool          `name:"json" help:"Print the report as JSON."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("fleetlab"), kong.Description("Runs and checks a router fleet on loopback."),
		kong.Vars{"faults": strings.Join(fleetlab.FaultNames, ",")}, kong.UsageOnError(), kong.Exit(func(code int) {
			if code == kongParseError {
				code = usageError
			}
			os.Exit(code)
		}), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err := ctx.Run(); errors.Is(err, errViolated) {
		os.Exit(1)
	} else {
		ctx.FatalIfErrorf(err)
	}
}

// Run runs a fleet and prints the report.
func (p *playCmd) Run(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, remove, err := openDir(p.Dir)
	if err != nil {
		return err
	}
	defer remove()
	program, err := daemonProgram(ctx, p.Edged, dir)
	if err != nil {
		return err
	}
	cfg := fleetlab.DefaultConfig(p.Agents, p.Core, p.Servers)
	cfg.Program, cfg.Dir, cfg.Seed = program, dir, p.Seed
	progress := func(s string) { fmt.Fprintln(os.Stderr, s) }
	r, err := fleetlab.Run(ctx, cfg, fleetlab.Options{Duration: p.For, Rate: p.Rate, Fault: p.Fault}, progress)
	if err != nil {
		return err
	}
	if p.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "print")
		}
	} else {
		r.Write(out)
	}
	if len(r.Violations) > 0 {
		return errViolated
	}
	return nil
}

// openDir creates the folder of a run and returns its absolute path. If name is empty the folder is a temporary one,
// which remove deletes; otherwise remove does nothing.
func openDir(name string) (dir string, remove func(), err error) {
	remove = func() {}
	if name == "" {
		if dir, err = os.MkdirTemp("", "fleetlab-"); err != nil {
			return "", nil, errors.Wrap(err, "create the folder of the run")
		}
		return dir, func() { _ = os.RemoveAll(dir) }, nil
	}
	if err = os.MkdirAll(name, 0o755); err == nil {
		dir, err = filepath.Abs(name)
	}
	if err != nil {
		return "", nil, errors.Wrap(err, "create the folder of the run")
	}
	return dir, remove, nil
}

// daemonProgram returns the path of the daemon's executable: path if it is not empty, or edged in the folder of this
// program if it exists, or a new build in dir.
func daemonProgram(ctx context.Context, path, dir string) (string, error) {
	if path != "" {
		return filepath.Abs(path)
	}
	if self, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(self), "edged")
		if info, err := os.Stat(sibling); err == nil && info.Mode().IsRegular() {
			return sibling, nil
		}
	}
	bin := filepath.Join(dir, "edged")
	if text, err := exec.CommandContext(ctx, "go", "build", "-o", bin, daemon).CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build edged (--edged names an existing executable): %s", text)
	}
	return filepath.Abs(bin)
}
