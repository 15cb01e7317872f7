// Command agentlab is the laboratory: it plays what happens to a fleet of agents, and
// prints what came of it.
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
	Run     runCmd     `name:"run" cmd:"" help:"Play experiments: real agents between emulated clients, servers, discovery and links, with faults."`
	List    listCmd    `name:"list" cmd:"" help:"Name the experiments."`
	Report  reportCmd  `name:"report" cmd:"" help:"Print a report again."`
	Compare compareCmd `name:"compare" cmd:"" help:"Set two reports, or two groups of them, side by side."`
	Fleet   fleetCmd   `name:"fleet" cmd:"" help:"Play a whole fleet in simulated time: the decision module of every agent against modelled servers."`
}

type fleetCmd struct {
	Scenario []string `name:"scenario" arg:"" optional:"" help:"What goes wrong: ${scenarios}. All if none is named."`
	Seeds    uint64   `name:"seeds" default:"3" help:"Plays of each, with the seeds from 1."`
	Agents   int      `name:"agents" default:"300" help:"Agents; the load grows with them."`
	Servers  int      `name:"servers" default:"170" help:"Report servers."`
	Load     float64  `name:"load" default:"1" help:"Times the usual load of an agent."`
	Recall   bool     `name:"recall" help:"Agents that start again come with what they knew."`
	Seconds  bool     `name:"seconds" help:"Also print every second of each play."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("agentlab"), kong.Description("The laboratory of chalkdoor."),
		kong.Vars{"scenarios": strings.Join(fleetsim.Scenarios(), ", ")}, kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code == 80 { // kong's own for what it cannot parse
				code = 2
			}
			os.Exit(code)
		}), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err := ctx.Run(); errors.Is(err, errFailed) {
		os.Exit(1) // what failed has been printed
	} else {
		ctx.FatalIfErrorf(err)
	}
}

// Run plays and prints one line for each play.
func (f *fleetCmd) Run(out io.Writer) error {
	names := f.Scenario
	if len(names) == 0 {
		names = fleetsim.Scenarios()
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tseed\tnet\tworth\tserved\tlate\trefused\tfailed\ttime-outs\tcross\thandshakes\tprobes\twarm\tpressed\tlost\ttwice\ttoppled\t")
	for _, name := range names {
		for seed := uint64(1); seed <= f.Seeds; seed++ {
			cfg := fleetsim.Site(seed, name)
			cfg.Rate *= f.Load * float64(f.Agents) / float64(cfg.Agents)
			cfg.Agents, cfg.Servers, cfg.Recall = f.Agents, f.Servers, f.Recall
			r, err := fleetsim.Run(cfg)
			if err != nil {
				return err
			}
			n := float64(max(r.Asked, 1))
			part := func(x int) float64 { return float64(x) / n }
			fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\t%d\t%d\t\n", name, seed,
				r.Net(&cfg.Settings.Prices), r.Earned/r.Worth, part(r.Served), part(r.Late), part(r.Refused), part(r.Failed),
				part(r.Timeouts), part(r.Cross), part(r.Handshakes), part(r.Probes), r.WarmShare, r.Pressed, r.Lost, r.Twice, r.Toppled)
			if f.Seconds {
				if err := w.Flush(); err != nil {
					return err
				}
				seconds(out, r)
			}
		}
	}
	return w.Flush()
}

// seconds prints a play second by second: what came of the requests, what agents believed
// on the mean, and what the servers bore.
func seconds(out io.Writer, r *fleetsim.Result) {
	for i, s := range r.Seconds {
		fmt.Fprintf(out, "%4d s  asked %d served %d late %d refused %d failed %d  handshakes %d  shed %.2f admission %.2f demand %.0f of %.0f held %d  util warm %.2f cold %.2f choked %d\n",
			i, s.Asked, s.Served, s.Late, s.Refused, s.Failed, s.Handshakes, s.Agents.LoadShedding, s.Agents.Admission,
			s.Agents.Demand, s.Agents.Capacity, s.Agents.Pending, s.WarmUtil, s.ColdUtil, s.Choked)
	}
}
