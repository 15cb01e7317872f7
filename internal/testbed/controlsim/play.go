package controlsim

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
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

// shrinkAttempts is how often a plan without one of its faults is played before that fault counts as
// needed: what goroutine runs first differs from one play to the next.
const shrinkAttempts = 2

// shrink drops the faults of a plan that breaks a promise one by one while it still breaks one.
func shrink(t *testing.T, s scenario, broken Result) ([]Fault, Result) {
	for i := 0; i < len(s.faults); {
		without := s
		without.faults = slices.Delete(slices.Clone(s.faults), i, i+1)
		shorter := Result{}
		for range shrinkAttempts {
			if shorter = simulate(t, without); len(shorter.Violations) > 0 {
				break
			}
		}
		if len(shorter.Violations) == 0 {
			i++
			continue
		}
		s, broken = without, shorter
	}
	return s.faults, broken
}

// Replay plays a run twice, writes the log of the first, and tells where the second differs.
func Replay(t *testing.T, point int, seed uint64, out io.Writer) (broken bool, err error) {
	discardServerLogs()
	first, second := Simulate(t, point, seed), Simulate(t, point, seed)
	for _, e := range first.Events {
		if _, err := fmt.Fprintln(out, e); err != nil {
			return false, err
		}
	}
	_, err = fmt.Fprintln(out, compareEvents(first.Events, second.Events))
	return len(first.Violations)+len(second.Violations) > 0, err
}

// compareEvents tells the first difference of two logs, whose events of one moment have no order.
func compareEvents(a, b []string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("the second play differs from event %d of %d on:\n  %s\n  %s", i+1, len(a), a[i], b[i])
		}
	}
	if len(a) != len(b) {
		return fmt.Sprintf("the second play has %d events, the first %d", len(b), len(a))
	}
	return fmt.Sprintf("both plays have the same %d events", len(a))
}
