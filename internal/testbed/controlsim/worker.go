package controlsim

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"
)

// Simulate plays a point's run of a seed.
func Simulate(t *testing.T, point int, seed uint64) Result {
	return simulate(t, newScenario(point, seed))
}

// Report is a line of a worker: one run.
type Report struct {
	Point         int
	Seed          uint64
	Result        Result
	Elapsed       time.Duration `json:"Took"`    // wall-clock time
	FaultCount    int           `json:"Faults"`  // in the scenario
	MinimalFaults []Fault       `json:"Fewest"`  // a subset that still violates a guarantee, if one was violated
	MinimalResult Result        `json:"Shorter"` // of a run with MinimalFaults only
}

// Worker is the share of a hunt that one worker plays: seeds first, first+step and so on below the end.
type Worker struct {
	Points      []int
	First, Step uint64
	End         uint64
	Deadline    time.Time // no run begins later; zero: no bound
}

// Run plays the share and writes a line of JSON for each run. It ends early only if out fails.
func (w Worker) Run(t *testing.T, out io.Writer) error {
	discardServerLogs()
	lines := json.NewEncoder(out)
	for seed := w.First; seed < w.End; seed += w.Step {
		for _, point := range w.Points {
			if !w.Deadline.IsZero() && time.Now().After(w.Deadline) {
				return nil
			}
			var p Report
			t.Run(fmt.Sprintf("point %d seed %d", point, seed), func(t *testing.T) { p = simulateAndShrink(t, point, seed) })
			if err := lines.Encode(&p); err != nil {
				return err
			}
		}
	}
	return nil
}

func simulateAndShrink(t *testing.T, point int, seed uint64) Report {
	begun := time.Now()
	s := newScenario(point, seed)
	p := Report{Point: point, Seed: seed, FaultCount: len(s.faults), Result: simulate(t, s)}
	if len(p.Result.Violations) > 0 {
		p.MinimalFaults, p.MinimalResult = shrink(t, s, p.Result)
	} else {
		p.Result.Events = nil
	}
	p.Elapsed = time.Since(begun)
	return p
}
