package interleave

import (
	"fmt"
	"slices"
)

// State is a state of the system under test with the steps that may happen next. S is the type that
// implements State.
type State[S any] interface {
	// Steps returns how many steps are possible: the step of a task, the arrival of a message, the
	// passage of time or a fault. Equal states have the same steps in the same order.
	Steps() int
	// Do executes a step, given by its number from 0 on, and checks the invariants.
	Do(step int) error
	// Clone returns a copy that shares no mutable data with the original.
	Clone() S
	// Hash covers everything that affects what follows: states with the same hash are considered equal.
	Hash() uint64
}

// searcher is one breadth-first search.
type searcher[S State[S]] struct {
	maxStates int
	result    *Result
	visited   map[uint64]bool // hashes of states
	origins   []origin        // by state ID; IDs are given in the order of discovery
	queue     []queued[S]
}

// origin is the step by which a state was first reached.
type origin struct {
	parent int32 // ID of the state before the step; -1 for the start
	step   int16
}

// queued is a state whose steps are not explored yet.
type queued[S any] struct {
	state S
	id    int32
}

// Search explores all states that are reachable from start, breadth-first, so that the trace of a failure
// is as short as possible. It ends after all states, at the first failure, or after maxStates states.
// Unlike Explore it needs states that can be copied, and executes each step of a state only once.
func Search[S State[S]](start S, maxStates int) *Result {
	s := &searcher[S]{
		maxStates: maxStates,
		result:    &Result{},
		visited:   map[uint64]bool{start.Hash(): true},
		origins:   []origin{{parent: -1}},
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
			if !s.visit(next, origin{parent: current.id, step: int16(step)}) {
				return false
			}
		}
	}
	return true
}

// visit queues a state if it was not visited before. It returns false if the limit of states is reached.
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

// traceTo returns the trace of the steps that lead to a state, followed by the step last.
func (s *searcher[S]) traceTo(id int32, last int) string {
	steps := []int{last}
	for ; s.origins[id].parent >= 0; id = s.origins[id].parent {
		steps = append(steps, int(s.origins[id].step))
	}
	slices.Reverse(steps)
	return formatTrace(steps)
}

// Walk executes the steps of a trace from Search in order, and returns the first error.
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
