package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
	"chalkdoor.example/chalkdoor/policy"
)

type stateCmd struct {
	Verify stateVerify `name:"verify" cmd:"" help:"Say whether all that is kept is sound, and what is not."`
	Show   stateShow   `name:"show" cmd:"" help:"Show what would be believed, as a table."`
	Export stateExport `name:"export" cmd:"" help:"Print what would be believed, as JSON."`
	Repair stateRepair `name:"repair" cmd:"" help:"Set aside what can't be used and keep what can; no agent may use the folder."`
}

type stateDir struct {
	Dir string `name:"dir" arg:"" help:"The folder." type:"path"`
}

var errUnsound = errors.New("not all that is kept is sound")

// inspect loads the folder and what of it is not believed.
func (d *stateDir) inspect() (*snapshot.Generation, *policy.Snapshot, []snapshot.Problem, error) {
	g, problems, err := snapshot.Inspect(d.Dir, snapshot.Now)
	if err != nil || g == nil {
		return nil, nil, problems, err
	}
	st, dropped := snapshot.Decode(g)
	return g, st.Policy, append(problems, dropped...), nil
}

func age(g *snapshot.Generation) string {
	if !g.AgeKnown {
		return "of an age that cannot be told"
	}
	return g.Age.Round(time.Millisecond).String() + " old"
}

type stateVerify struct{ stateDir }

// Run names all that is not sound.
func (c *stateVerify) Run(out io.Writer) error {
	g, m, problems, err := c.inspect()
	if err != nil {
		return err
	}
	for _, p := range problems {
		fmt.Fprintln(out, p)
	}
	if g == nil {
		fmt.Fprintln(out, "no generation")
	} else {
		fmt.Fprintf(out, "generation %d of life %d, %s: %d servers, %d keys\n", g.Seq, g.Runs, age(g), len(m.Servers), len(m.Keys))
	}
	if len(problems) > 0 {
		return errUnsound
	}
	return nil
}

type stateShow struct{ stateDir }

// Run prints a line for each server.
func (c *stateShow) Run(out io.Writer) error {
	g, m, _, err := c.inspect()
	if err != nil {
		return err
	}
	if g == nil {
		_, err := fmt.Fprintln(out, "nothing is kept")
		return err
	}
	fmt.Fprintf(out, "generation %d of life %d, %s\ndemand %.1f of %.1f, let in %.2f, calm %.3f, %d keys\n\n", g.Seq, g.Runs, age(g), m.Demand, m.PeakCapacity,
		m.AdmittedShare, m.BaselineLatency, len(m.Keys))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "server\tstate\tfor\tstrikes\tfailing\tanswer\twindow")
	for _, s := range m.Servers {
		state := "none"
		if int(s.State) < len(policy.StateNames) {
			state = policy.StateNames[s.State]
		}
		fmt.Fprintf(w, "%x\t%s\t%s\t%d\t%.2f\t%.1f ms\t%.1f\n", s.Server, state, time.Duration(s.InStateMs*1e6).Round(time.Millisecond), s.Ejections,
			s.FailureRate, s.MeanLatencyMs, s.ConcurrencyLimit)
	}
	return w.Flush()
}

type stateExport struct{ stateDir }

// Run prints JSON.
func (c *stateExport) Run(out io.Writer) error {
	g, m, _, err := c.inspect()
	if err != nil {
		return err
	}
	if g == nil {
		return errors.New("nothing is kept")
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(map[string]any{"generation": g.Seq, "life": g.Runs, "dated": g.AgeKnown, "memory": m})
}

type stateRepair struct{ stateDir }

// Run moves what can be believed to a new file, and sets the old one aside.
func (c *stateRepair) Run(out io.Writer) error {
	store, g, problems, err := snapshot.Open(c.Dir, snapshot.Now)
	for _, p := range problems {
		fmt.Fprintln(out, p)
	}
	if err != nil {
		return err
	}
	if g != nil {
		fmt.Fprintf(out, "generation %d is kept\n", g.Seq)
	}
	return store.Close()
}
