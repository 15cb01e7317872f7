// Command scaletest runs fleets of hundreds of hollow agents on loopback and prints what the control plane costs each
// role: see internal/testbed/hollownode.
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
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/hollownode"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// edged is the package of the real daemon.
const edged = "chalkdoor.example/chalkdoor/cmd/edged"

type cli struct {
	Run  runCmd  `name:"run" cmd:"" default:"withargs" help:"Play a fleet and print what it cost."`
	Host hostCmd `name:"host" cmd:"" hidden:"" help:"One process of a play."`
}

type runCmd struct {
	Agents  int           `name:"agents" default:"100" help:"Hollow agents."`
	Core    int           `name:"core" default:"5" help:"Machines of the core, a process each."`
	Hosts   int           `name:"hosts" default:"2" help:"Processes that the agents share. 0: agents and core run in this one, and processor time is not told apart."`
	Real    int           `name:"real" default:"0" help:"Real daemons that run beside them as agents."`
	Servers int           `name:"servers" default:"200" help:"Model servers, spread over the agents."`
	Beat    time.Duration `name:"beat" default:"1200ms" help:"Period of a server's beats."`
	Changes float64       `name:"changes" default:"30" help:"Changes of the configuration a minute."`
	Drains  float64       `name:"drains" default:"12" help:"Servers that drain a minute."`
	Churn   float64       `name:"churn" default:"0" help:"Agents that leave and come back a minute."`
	Lose    string        `name:"lose" default:"none" enum:"none,head,middle,tail" help:"Member of the chain that is killed after a third of the time and back after two: ${enum}."`
	Routes  int           `name:"routes" default:"60" help:"Routes of the configuration."`
	Models  int           `name:"models" default:"6" help:"Services of the configuration, one for each model."`
	Tenants int           `name:"tenants" default:"0" help:"Tenants of the configuration."`
	For     time.Duration `name:"for" default:"20s" help:"Length of the window that is measured."`
	Spread  time.Duration `name:"spread" default:"0s" help:"Time over which the agents start. 0: all start at once."`
	Dir     string        `name:"dir" help:"Folder for state and logs, which are kept. Without it they go when the play ends."`
	Edged   string        `name:"edged" help:"The daemon's program. Without it: edged beside this program, or built by go build."`
	JSON    string        `name:"json" help:"File for the figures as JSON; - prints them in place of the tables."`
}

type hostCmd struct {
	Addr string `name:"addr" arg:"" help:"Address at which it is steered."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("scaletest"), kong.Description("Scale runs of control, on loopback."), kong.UsageOnError(),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx.FatalIfErrorf(ctx.Run())
}

// Run serves a host of a run.
func (h *hostCmd) Run() error { return hollownode.Serve(context.Background(), h.Addr) }

// Run runs a fleet once and prints the result.
func (r *runCmd) Run(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir := r.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "scaletest-"); err != nil {
			return errors.Wrap(err, "create the folder of the run")
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create the folder of the run")
	}
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	cfg := hollownode.Config{Agents: r.Agents, Core: r.Core, Hosts: r.Hosts, Real: r.Real, Servers: r.Servers, Changes: r.Changes, Drains: r.Drains, Churn: r.Churn,
		Lose: r.Lose, Size: sampling.Size{Routes: r.Routes, Services: r.Models, Tenants: r.Tenants}, HeartbeatInterval: r.Beat, Spread: r.Spread, Window: r.For,
		Dir: dir, Program: self, Args: []string{"host"}}
	if r.Real > 0 {
		if cfg.DaemonProgram, err = r.daemon(ctx, self, dir); err != nil {
			return err
		}
	}
	result, err := hollownode.Run(ctx, cfg, func(s string) { fmt.Fprintln(os.Stderr, s) })
	if err != nil {
		return err
	}
	if r.JSON != "" {
		text, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return errors.Wrap(err, "write the result as JSON")
		}
		text = append(text, '\n')
		if r.JSON == "-" {
			_, err = out.Write(text)
			return err
		}
		if err := os.WriteFile(r.JSON, text, 0o600); err != nil {
			return errors.Wrap(err, "write the result as JSON")
		}
	}
	return result.Write(out)
}

// daemon returns the path of the daemon's program: the one of the flag, the one beside this program, or a new build.
func (r *runCmd) daemon(ctx context.Context, self, dir string) (string, error) {
	if r.Edged != "" {
		return filepath.Abs(r.Edged)
	}
	sibling := filepath.Join(filepath.Dir(self), "edged")
	if info, err := os.Stat(sibling); err == nil && info.Mode().IsRegular() {
		return sibling, nil
	}
	bin := filepath.Join(dir, "edged")
	if text, err := exec.CommandContext(ctx, "go", "build", "-o", bin, edged).CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build edged, or name it with --edged: %s", text)
	}
	return bin, nil
}
