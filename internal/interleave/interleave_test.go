package interleave

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Two tasks that add one to a number without a lock, by a read and a write each: all six
// orders are played, four of them lose an addition, and each trace replays its own.
func lostUpdate(locked bool) func(*Run) error {
	return func(r *Run) error {
		value, step, read := 0, [2]int{}, [2]int{}
		for step[0] < 2 || step[1] < 2 {
			var able []int
			for i := range step {
				if step[i] < 2 && !(locked && step[1-i] == 1) {
					able = append(able, i)
				}
			}
			i := able[r.Choose(len(able))]
			if step[i]++; step[i] == 1 {
				read[i] = value
			} else {
				value = read[i] + 1
			}
		}
		if value != 2 {
			return fmt.Errorf("value %d", value)
		}
		return nil
	}
}

func TestLostUpdateIsFoundAndReplayed(t *testing.T) {
	res := Explore(100, 100, lostUpdate(false))
	if res.Err == nil || res.Exhausted {
		t.Fatalf("%s, want a lost addition", res)
	}
	if err := Replay(res.Trace, lostUpdate(false)); err == nil || err.Error() != res.Err.Error() {
		t.Errorf("replayed: %v, want %v", err, res.Err)
	}
	if res := Explore(100, 100, lostUpdate(true)); res.Err != nil || !res.Exhausted || res.Schedules != 2 {
		t.Errorf("with a lock: %s, want two schedules and no error", res)
	}
}

func TestEachSequenceIsExecutedOnce(t *testing.T) {
	seen := map[string]bool{}
	res := Explore(100, 1000, func(r *Run) error {
		text := ""
		for range 3 {
			text += fmt.Sprint(r.Choose(3), r.Choose(1))
		}
		if seen[text] {
			return errors.New("played twice: " + text)
		}
		seen[text] = true
		return nil
	})
	if res.Err != nil || !res.Exhausted || len(seen) != 27 {
		t.Errorf("%s, %d sequences, want 27", res, len(seen))
	}
}

// What follows a state is played once, and not cut off for one that was met with fewer
// choices left.
func TestVisitedStates(t *testing.T) {
	count := func(r *Run) error {
		sum := 0
		for range 10 {
			sum += r.Choose(2)
			if r.Visited(func() uint64 { return uint64(len(r.choices))<<32 | uint64(sum) }) {
				return nil
			}
		}
		return nil
	}
	res := Explore(100, 1e6, count)
	if !res.Exhausted || res.Schedules > 66 || res.States != 65 {
		t.Errorf("%s, want 65 states", res)
	}
	res = Explore(5, 1e6, count)
	if res.Exhausted || !strings.Contains(res.Limit, "more than 5 choices") {
		t.Errorf("%s, want that the depth cut it", res)
	}
	if res = Explore(100, 3, func(r *Run) error { r.Choose(9); return nil }); res.Exhausted || res.Limit != "3 schedules" {
		t.Errorf("%s, want that the number of schedules cut it", res)
	}
}

// adderState are the two tasks of race as a state to search.
type adderState struct {
	value      int
	step, read [2]int
	locked     bool
}

func (a *adderState) enabledSteps() (out []int) {
	for i := range a.step {
		if a.step[i] < 2 && !(a.locked && a.step[1-i] == 1) {
			out = append(out, i)
		}
	}
	return out
}

func (a *adderState) Steps() int { return len(a.enabledSteps()) }

func (a *adderState) Do(n int) error {
	i := a.enabledSteps()[n]
	if a.step[i]++; a.step[i] == 1 {
		a.read[i] = a.value
	} else {
		a.value = a.read[i] + 1
	}
	if a.step == [2]int{2, 2} && a.value != 2 {
		return fmt.Errorf("value %d", a.value)
	}
	return nil
}

func (a *adderState) Clone() *adderState { c := *a; return &c }

func (a *adderState) Hash() uint64 {
	return uint64(a.value)<<8 | uint64(a.step[0])<<6 | uint64(a.step[1])<<4 | uint64(a.read[0])<<2 | uint64(a.read[1])
}

func TestSearchFindsTheShortest(t *testing.T) {
	res := Search(&adderState{}, 100)
	if res.Err == nil || len(strings.Fields(res.Trace)) != 4 {
		t.Fatalf("%s, want a lost addition after four steps", res)
	}
	if err := Walk(&adderState{}, res.Trace); err == nil || err.Error() != res.Err.Error() {
		t.Errorf("replayed: %v, want %v", err, res.Err)
	}
	if res := Search(&adderState{locked: true}, 100); res.Err != nil || !res.Exhausted || res.States != 9 {
		t.Errorf("with a lock: %s, want nine states and no error", res)
	}
	if res := Search(&adderState{}, 3); res.Exhausted || res.Limit != "3 states" {
		t.Errorf("%s, want that the number of states cut it", res)
	}
}
