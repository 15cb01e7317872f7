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
	Verify stateVerify `name:"verify" cmd:"" help:"Check the stored state and report all errors in it."`
	Show   stateShow   `name:"show" cmd:"" help:"Show the state that an agent would restore, as a table."`
	Export stateExport `name:"export" cmd:"" help:"Print the state that an agent would restore, as JSON."`
	Repair stateRepair `name:"repair" cmd:"" help:"Move valid records to a new file and set the damaged file aside; no agent may use the directory meanwhile."`
}

type stateDir struct {
	Dir string `name:"dir" arg:"" help:"The directory of the state." type:"path"`
}

var errInvalidState = errors.New("some of the stored state is invalid")

// inspect loads and decodes the generation that an agent would restore. The problems describe all rejected
// data. The generation is nil if there is none.
func (d *stateDir) inspect() (*snapshot.Generation, *policy.Snapshot, []snapshot.Problem, error) {
	g, problems, err := snapshot.Inspect(d.Dir, snapshot.Now)
	if err != nil || g == nil {
		return nil, nil, problems, err
	}
	state, dropped := snapshot.Decode(g)
	return g, state.Policy, append(problems, dropped...), nil
}

// age returns the age of a generation for the output.
func age(g *snapshot.Generation) string {
	if !g.AgeKnown {
		return "of an age that cannot be told"
	}
	return g.Age.Round(time.Millisecond).String() + " old"
}

type stateVerify struct{ stateDir }

// Run prints all problems and a summary of the generation. It fails if there is a problem.
func (c *stateVerify) Run(out io.Writer) error {
	g, policyState, problems, err := c.inspect()
	if err != nil {
		return err
	}
	for _, p := range problems {
		fmt.Fprintln(out, p)
	}
	if g == nil {
		fmt.Fprintln(out, "no generation")
	} else {
		fmt.Fprintf(out, "generation %d of life %d, %s: %d servers, %d keys\n",
			g.Seq, g.Runs, age(g), len(policyState.Servers), len(policyState.Keys))
	}
	if len(problems) > 0 {
		return errInvalidState
	}
	return nil
}

type stateShow struct{ stateDir }

// Run prints a summary and a line for each server.
func (c *stateShow) Run(out io.Writer) error {
	g, policyState, _, err := c.inspect()
	if err != nil {
		return err
	}
	if g == nil {
		_, err := fmt.Fprintln(out, "nothing is kept")
		return err
	}
	fmt.Fprintf(out, "generation %d of life %d, %s\ndemand %.1f of %.1f, let in %.2f, calm %.3f, %d keys\n\n",
		g.Seq, g.Runs, age(g), policyState.Demand, policyState.PeakCapacity,
		policyState.AdmittedShare, policyState.BaselineLatency, len(policyState.Keys))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "server\tstate\tfor\tstrikes\tfailing\tanswer\twindow")
	for _, s := range policyState.Servers {
		state := "none"
		if int(s.State) < len(policy.StateNames) {
			state = policy.StateNames[s.State]
		}
		fmt.Fprintf(w, "%x\t%s\t%s\t%d\t%.2f\t%.1f ms\t%.1f\n",
			s.Server, state, time.Duration(s.InStateMs*1e6).Round(time.Millisecond), s.Ejections,
			s.FailureRate, s.MeanLatencyMs, s.ConcurrencyLimit)
	}
	return w.Flush()
}

type stateExport struct{ stateDir }

// Run prints the generation as JSON.
func (c *stateExport) Run(out io.Writer) error {
	g, policyState, _, err := c.inspect()
	if err != nil {
		return err
	}
	if g == nil {
		return errors.New("nothing is kept")
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(map[string]any{
		"generation": g.Seq, "life": g.Runs, "dated": g.AgeKnown, "memory": policyState,
	})
}

type stateRepair struct{ stateDir }

// Run opens the directory like an agent, which moves the valid records of a damaged file to a new one and sets
// the damaged file aside.
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
