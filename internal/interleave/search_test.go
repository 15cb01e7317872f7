package interleave

import (
	"fmt"
	"strings"
	"testing"
)

// incrementers are two tasks that each increment a value by a read and a write.
type incrementers struct {
	value  int
	steps  [2]int // steps done by each task: 1 after its read, 2 after its write
	read   [2]int // value that each task has read
	locked bool   // each task holds a lock from its read to its write
}

// enabled returns the tasks that can take a step.
func (s *incrementers) enabled() (tasks []int) {
	for task := range s.steps {
		if s.steps[task] < 2 && !(s.locked && s.steps[1-task] == 1) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

func (s *incrementers) Steps() int { return len(s.enabled()) }

func (s *incrementers) Do(step int) error {
	task := s.enabled()[step]
	s.steps[task]++
	if s.steps[task] == 1 {
		s.read[task] = s.value
	} else {
		s.value = s.read[task] + 1
	}
	if s.steps == [2]int{2, 2} && s.value != 2 {
		return fmt.Errorf("value %d", s.value)
	}
	return nil
}

func (s *incrementers) Clone() *incrementers {
	clone := *s
	return &clone
}

func (s *incrementers) Hash() uint64 {
	return uint64(s.value)<<8 | uint64(s.steps[0])<<6 | uint64(s.steps[1])<<4 | uint64(s.read[0])<<2 | uint64(s.read[1])
}

func TestSearchFindsTheShortestTrace(t *testing.T) {
	result := Search(&incrementers{}, 100)
	if result.Err == nil || len(strings.Fields(result.Trace)) != 4 {
		t.Fatalf("%s, want a lost update after four steps", result)
	}
	if err := Walk(&incrementers{}, result.Trace); err == nil || err.Error() != result.Err.Error() {
		t.Errorf("replayed: %v, want %v", err, result.Err)
	}
	if result := Search(&incrementers{locked: true}, 100); result.Err != nil || !result.Exhausted || result.States != 9 {
		t.Errorf("with a lock: %s, want nine states and no error", result)
	}
	if result := Search(&incrementers{}, 3); result.Exhausted || result.Limit != "3 states" {
		t.Errorf("%s, want the limit to be the number of states", result)
	}
}

func TestMalformedTraceIsAnError(t *testing.T) {
	if err := Walk(&incrementers{}, "0 x"); err == nil {
		t.Error("Walk accepts a trace that is not a list of numbers")
	}
	if err := Walk(&incrementers{}, "0 7"); err == nil {
		t.Error("Walk accepts a trace with an impossible step")
	}
	if err := Replay("x", incrementTwice(false)); err == nil {
		t.Error("Replay accepts a trace that is not a list of numbers")
	}
}
