package interleave

import (
	"fmt"
	"slices"
)

// State is the state of the system under test, and the steps that may happen next. S is the type that
// implements it.
type State[S any] interface {
	// Steps returns how many steps are possible: the step of a task, the arrival of a message, the
	// passage of time or a fault. Equal states have the same steps in the same order.
	Steps() int
	// Do executes a step, from 0, and checks the invariants.
	Do(step int) error
	// Clone returns a copy that shares nothing that changes.
	Clone() S
	// Hash covers all that matters to what follows: states of the same hash are considered equal.
	Hash() uint64
}

// searcher is one breadth-first search.
type searcher[S State[S]] struct {
	maxStates int
	result    *Result
	visited   map[uint64]bool
	origins   []origin // by state ID, in the order of discovery
	queue     []queued[S]
}

// origin is how a state was reached first.
type origin struct {
	state int32 // ID of the state before; -1: it is the start
	step  int16
}

// queued is a state whose steps are not explored yet.
type queued[S any] struct {
	state S
	id    int32
}

// Search explores all states that can follow from one, breadth-first, so that the trace of a failure
// is a shortest one. It ends after all states, at the first failure, or after maxStates states. Unlike
// Explore it needs states that can be copied, and executes each step once.
func Search[S State[S]](start S, maxStates int) *Result {
	s := &searcher[S]{
		maxStates: maxStates,
		result:    &Result{},
		visited:   map[uint64]bool{start.Hash(): true},
		origins:   []origin{{state: -1}},
		queue:     []queued[S]{{state: start}},
	}
	s.result.Exhausted = s.run()
	s.result.States = len(s.visited)
	return s.result
}

// run reports whether all states were explored without a failure.
func (s *searcher[S]) run() bool {
	for len(s.queue) > 0 {
		current := s.queue[0]
		s.queue[0], s.queue = queued[S]{}, s.queue[1:]
		for step := range current.state.Steps() {
			next := current.state.Clone()
			s.result.Schedules++
			if err := next.Do(step); err != nil {
				s.result.Err, s.result.Trace = err, s.traceTo(current.id, step)
				return false
			}
			if !s.visit(next, origin{state: current.id, step: int16(step)}) {
				return false
			}
		}
	}
	return true
}

// visit queues a state that was not visited before. It returns false at the limit.
func (s *searcher[S]) visit(state S, from origin) bool {
	hash := state.Hash()
	if s.visited[hash] {
		return true
	}
	if len(s.visited) >= s.maxStates {
		s.result.Limit = fmt.Sprintf("%d states", s.maxStates)
		return false
	}
	s.visited[hash] = true
	s.origins = append(s.origins, from)
	s.queue = append(s.queue, queued[S]{state: state, id: int32(len(s.origins) - 1)})
	return true
}

// traceTo returns the steps that lead to a state and one more.
func (s *searcher[S]) traceTo(id int32, last int) string {
	steps := []int{last}
	for ; s.origins[id].state >= 0; id = s.origins[id].state {
		steps = append(steps, int(s.origins[id].step))
	}
	slices.Reverse(steps)
	return formatTrace(steps)
}

// Walk executes the steps of a trace in turn, and returns the first error.
func Walk[S State[S]](start S, trace string) error {
	steps, err := parseTrace(trace)
	if err != nil {
		return err
	}
	for _, step := range steps {
		if step >= start.Steps() {
			return fmt.Errorf("interleave: replay trace: step %d of %d", step, start.Steps())
		}
		if err := start.Do(step); err != nil {
			return err
		}
	}
	return nil
}
