package controlsim

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"
)

// Simulate runs the scenario with a number, 1 to ScenarioCount, and a seed.
func Simulate(t *testing.T, number int, seed uint64) Result {
	return simulate(t, newScenario(number, seed))
}

// Report is a line of JSON that a worker writes. There are two for each run: one at its begin, which has only the
// scenario and the seed, and one with the result.
type Report struct {
	Begins        bool `json:",omitempty"` // whether the run begins now
	Scenario      int  `json:"Point"`
	Seed          uint64
	Result        Result
	Elapsed       time.Duration `json:"Took"`    // wall-clock time
	FaultCount    int           `json:"Faults"`  // number of faults in the scenario
	MinimalFaults []Fault       `json:"Fewest"`  // a subset that still violates a guarantee, if one was violated
	MinimalResult Result        `json:"Shorter"` // result of a run with MinimalFaults only
}

// Worker describes the runs of one worker process in a hunt: the seeds First, First+Step and so on below End.
type Worker struct {
	Scenarios   []int // numbers of the scenarios to run with each seed
	First, Step uint64
	End         uint64
	Deadline    time.Time // no run begins later; zero if there is no deadline
}

// Run makes the runs and writes their Reports to out. It returns an error if a write fails.
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

// simulateAndShrink runs a scenario, and searches for a minimal set of faults if it violates a guarantee. It drops the
// log of a run without violations.
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
