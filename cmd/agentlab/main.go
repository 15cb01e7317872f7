// Command agentlab runs experiments with a fleet of agents, real or simulated, and prints
// their results.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"chalkdoor.example/chalkdoor/internal/testbed/fleetsim"
)

type cli struct {
	Run     runCmd     `name:"run" cmd:"" help:"Run experiments with real agents, emulated clients and servers, and faults."`
	List    listCmd    `name:"list" cmd:"" help:"List the experiments."`
	Report  reportCmd  `name:"report" cmd:"" help:"Print a report again."`
	Compare compareCmd `name:"compare" cmd:"" help:"Compare two reports, or two groups of them."`
	Fleet   fleetCmd   `name:"fleet" cmd:"" help:"Simulate a fleet of decision modules and modelled servers."`
}

type fleetCmd struct {
	Scenario []string `name:"scenario" arg:"" optional:"" help:"Scenarios to run: ${scenarios}. Default: all."`
	Seeds    uint64   `name:"seeds" default:"3" help:"Number of runs per scenario; their seeds start at 1."`
	Agents   int      `name:"agents" default:"300" help:"Number of agents; the load is proportional to it."`
	Servers  int      `name:"servers" default:"170" help:"Number of report servers."`
	Load     float64  `name:"load" default:"1" help:"Load per agent, as a multiple of the usual one."`
	Recall   bool     `name:"recall" help:"Restarted agents restore their snapshots."`
	Seconds  bool     `name:"seconds" help:"Also print the statistics of each second of a run."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("agentlab"), kong.Description("Runs experiments with fleets of agents."),
		kong.Vars{"scenarios": strings.Join(fleetsim.Scenarios(), ", ")}, kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code == 80 { // kong's status for a command line that it cannot parse
				code = 2
			}
			os.Exit(code)
		}), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err := ctx.Run(); errors.Is(err, errFailed) {
		os.Exit(1) // the failures have been printed
	} else {
		ctx.FatalIfErrorf(err)
	}
}

// Run runs the simulations and prints one line for each.
func (f *fleetCmd) Run(out io.Writer) error {
	names := f.Scenario
	if len(names) == 0 {
		names = fleetsim.Scenarios()
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tseed\tnet\tworth\tserved\tlate\trefused\tfailed\ttime-outs\tcross\thandshakes\tprobes\twarm\tpressed\tlost\ttwice\ttoppled\t")
	for _, name := range names {
		for seed := uint64(1); seed <= f.Seeds; seed++ {
			cfg := fleetsim.FullFleet(seed, name)
			cfg.Rate *= f.Load * float64(f.Agents) / float64(cfg.Agents)
			cfg.Agents, cfg.Servers, cfg.RestoreSnapshots = f.Agents, f.Servers, f.Recall
			r, err := fleetsim.Run(cfg)
			if err != nil {
				return err
			}
			n := float64(max(r.Requests, 1))
			share := func(x int) float64 { return float64(x) / n }
			fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\t%d\t%d\t\n",
				name, seed, r.Net(&cfg.Settings.Prices), r.ServedValue/r.Value, share(r.Served), share(r.Late),
				share(r.Rejected), share(r.Failed), share(r.Timeouts), share(r.CrossZone), share(r.Handshakes),
				share(r.Probes), r.KeyHitRate, r.PeakColdLoad, r.Unanswered, r.DuplicateExecutions, r.CollapsedServers)
			if f.Seconds {
				if err := w.Flush(); err != nil {
					return err
				}
				printSeconds(out, r)
			}
		}
	}
	return w.Flush()
}

// printSeconds prints a run second by second: the outcomes of the requests, the mean state of the agents, and the
// utilization of the servers.
func printSeconds(out io.Writer, r *fleetsim.Result) {
	for i, s := range r.Seconds {
		fmt.Fprintf(out, "%4d s  asked %d served %d late %d refused %d failed %d  handshakes %d  shed %.2f admission %.2f demand %.0f of %.0f held %d  util warm %.2f cold %.2f choked %d\n",
			i, s.Requests, s.Served, s.Late, s.Rejected, s.Failed, s.Handshakes,
			s.Agents.LoadShedding, s.Agents.Admission,
			s.Agents.Demand, s.Agents.Capacity, s.Agents.Pending, s.WarmUtil, s.ColdUtil, s.OverloadedServers)
	}
}
