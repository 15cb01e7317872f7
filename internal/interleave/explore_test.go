package interleave

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// incrementTwice returns an execution of two tasks that each increment a value by a read and a write.
// Without a lock, four of the six interleavings lose an increment.
func incrementTwice(locked bool) func(*Run) error {
	return func(r *Run) error {
		tasks := &incrementers{locked: locked}
		for tasks.Steps() > 0 {
			if err := tasks.Do(r.Choose(tasks.Steps())); err != nil {
				return err
			}
		}
		return nil
	}
}

func TestLostUpdateIsFoundAndReplayed(t *testing.T) {
	result := Explore(100, 100, incrementTwice(false))
	if result.Err == nil || result.Exhausted {
		t.Fatalf("%s, want a lost update", result)
	}
	if err := Replay(result.Trace, incrementTwice(false)); err == nil || err.Error() != result.Err.Error() {
		t.Errorf("replayed: %v, want %v", err, result.Err)
	}
	if result := Explore(100, 100, incrementTwice(true)); result.Err != nil || !result.Exhausted || result.Schedules != 2 {
		t.Errorf("with a lock: %s, want two schedules and no error", result)
	}
}

func TestEachSequenceIsExecutedOnce(t *testing.T) {
	executed := map[string]bool{}
	result := Explore(100, 1000, func(r *Run) error {
		sequence := ""
		for range 3 {
			sequence += fmt.Sprint(r.Choose(3), r.Choose(1))
		}
		if executed[sequence] {
			return errors.New("executed twice: " + sequence)
		}
		executed[sequence] = true
		return nil
	})
	if result.Err != nil || !result.Exhausted || len(executed) != 27 {
		t.Errorf("%s, %d sequences, want 27", result, len(executed))
	}
}

// TestVisitedStates checks that what follows a state is explored once, and again if the state is reached
// with more choices left than before.
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
	result := Explore(100, 1e6, count)
	if !result.Exhausted || result.Schedules > 66 || result.States != 65 {
		t.Errorf("%s, want 65 states", result)
	}
	result = Explore(5, 1e6, count)
	if result.Exhausted || !strings.Contains(result.Limit, "more than 5 choices") {
		t.Errorf("%s, want the limit to be the depth", result)
	}
	result = Explore(100, 3, func(r *Run) error { r.Choose(9); return nil })
	if result.Exhausted || result.Limit != "3 schedules" {
		t.Errorf("%s, want the limit to be the number of schedules", result)
	}
}
