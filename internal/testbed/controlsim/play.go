package controlsim

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"
)

// Play plays a point's run of a seed.
func Play(t *testing.T, point int, seed uint64) Result { return play(t, newSetup(point, seed)) }

// Played is a line of a worker: one run.
type Played struct {
	Point   int
	Seed    uint64
	Result  Result
	Took    time.Duration
	Faults  int     // of the seed's plan
	Fewest  []Fault // of them that still break a promise, if one was broken
	Shorter Result  // what they break
}

// Work is the share of a hunt that one worker plays: seeds first, first+step and so on below the end.
type Work struct {
	Points      []int
	First, Step uint64
	End         uint64
	Until       time.Time // no run begins later; zero: no bound
}

// Play plays the share and writes a line of JSON for each run. It ends early only if out fails.
func (w Work) Play(t *testing.T, out io.Writer) error {
	quiet()
	lines := json.NewEncoder(out)
	for seed := w.First; seed < w.End; seed += w.Step {
		for _, point := range w.Points {
			if !w.Until.IsZero() && time.Now().After(w.Until) {
				return nil
			}
			var p Played
			t.Run(fmt.Sprintf("point %d seed %d", point, seed), func(t *testing.T) { p = playOne(t, point, seed) })
			if err := lines.Encode(&p); err != nil {
				return err
			}
		}
	}
	return nil
}

func playOne(t *testing.T, point int, seed uint64) Played {
	begun := time.Now()
	s := newSetup(point, seed)
	p := Played{Point: point, Seed: seed, Faults: len(s.faults), Result: play(t, s)}
	if len(p.Result.Violations) > 0 {
		p.Fewest, p.Shorter = shorten(t, s, p.Result)
	} else {
		p.Result.Events = nil
	}
	p.Took = time.Since(begun)
	return p
}

// shortenTries is how often a plan without one of its faults is played before that fault counts as
// needed: what goroutine runs first differs from one play to the next.
const shortenTries = 2

// shorten drops the faults of a plan that breaks a promise one by one while it still breaks one.
func shorten(t *testing.T, s setup, broken Result) ([]Fault, Result) {
	for i := 0; i < len(s.faults); {
		without := s
		without.faults = slices.Delete(slices.Clone(s.faults), i, i+1)
		shorter := Result{}
		for range shortenTries {
			if shorter = play(t, without); len(shorter.Violations) > 0 {
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
	quiet()
	first, second := Play(t, point, seed), Play(t, point, seed)
	for _, e := range first.Events {
		if _, err := fmt.Fprintln(out, e); err != nil {
			return false, err
		}
	}
	_, err = fmt.Fprintln(out, compare(first.Events, second.Events))
	return len(first.Violations)+len(second.Violations) > 0, err
}

// compare tells the first difference of two logs, whose events of one moment have no order.
func compare(a, b []string) string {
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
