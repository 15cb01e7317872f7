package controlsim

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"
)

// Simulate runs the scenario of a number, 1 to ScenarioCount, and a seed.
func Simulate(t *testing.T, number int, seed uint64) Result {
	return simulate(t, newScenario(number, seed))
}

// Report is a line of JSON that a worker writes: one as a run begins, with its scenario and seed alone, and one
// with its result.
type Report struct {
	Begins        bool `json:",omitempty"`
	Scenario      int  `json:"Point"`
	Seed          uint64
	Result        Result
	Elapsed       time.Duration `json:"Took"`    // wall-clock time
	FaultCount    int           `json:"Faults"`  // in the scenario
	MinimalFaults []Fault       `json:"Fewest"`  // a subset that still violates a guarantee, if one was violated
	MinimalResult Result        `json:"Shorter"` // of a run with MinimalFaults only
}

// Worker is the share of a hunt that one worker process runs: the seeds First, First+Step and so on below End.
type Worker struct {
	Scenarios   []int // run with each seed
	First, Step uint64
	End         uint64
	Deadline    time.Time // no run begins later; zero: no bound
}

// Run runs the share and writes a Report for each run. The error is that of out.
func (w Worker) Run(t *testing.T, out io.Writer) error {
	discardServerLogs()
	reports := json.NewEncoder(out)
	for seed := w.First; seed < w.End; seed += w.Step {
		for _, number := range w.Scenarios {
			if !w.Deadline.IsZero() && time.Now().After(w.Deadline) {
				return nil
			}
			if err := reports.Encode(&Report{Begins: true, Scenario: number, Seed: seed}); err != nil {
				return err
			}
			var report Report
			t.Run(fmt.Sprintf("point %d seed %d", number, seed), func(t *testing.T) {
				report = simulateAndShrink(t, number, seed)
			})
			if err := reports.Encode(&report); err != nil {
				return err
			}
		}
	}
	return nil
}

// simulateAndShrink runs a scenario, and looks for a minimal one if it violates a guarantee. The log of a run
// without violations is dropped.
func simulateAndShrink(t *testing.T, number int, seed uint64) Report {
	startedAt := time.Now()
	s := newScenario(number, seed)
	report := Report{Scenario: number, Seed: seed, FaultCount: len(s.faults), Result: simulate(t, s)}
	if len(report.Result.Violations) > 0 {
		report.MinimalFaults, report.MinimalResult = shrink(t, s, report.Result)
	} else {
		report.Result.Events = nil
	}
	report.Elapsed = time.Since(startedAt)
	return report
}
