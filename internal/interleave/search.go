package interleave

import "fmt"

// State is all of a few tasks at a moment, and what may happen next. S is the type itself.
type State[S any] interface {
	// Steps is how many things may happen next; each is one task's step, a message that comes,
	// time that passes, or a fault. The same state always has the same, in the same order.
	Steps() int
	// Do lets the i-th happen, and checks what must always hold.
	Do(i int) error
	// Clone is a copy that shares nothing that changes.
	Clone() S
	// Hash is of all that matters to what follows: states of one hash are taken for one.
	Hash() uint64
}

// Search goes through all states that can follow from one, nearest first, so that the trace
// of a failure is a shortest one. It ends where all were seen, at the first failure, or after
// most states. Unlike Explore it needs states that can be copied, and plays each step once.
func Search[S State[S]](start S, most int) *Result {
	type from struct {
		state int32
		step  int16
	}
	type node struct {
		state S
		id    int32
	}
	res := &Result{}
	seen := map[uint64]bool{start.Hash(): true}
	ways := []from{{-1, 0}}
	trail := func(id int32, last int) string {
		choices := []int{last}
		for ; ways[id].state >= 0; id = ways[id].state {
			choices = append([]int{int(ways[id].step)}, choices...)
		}
		return formatTrace(choices)
	}
	queue := []node{{start, 0}}
	for len(queue) > 0 {
		n := queue[0]
		queue[0], queue = node{}, queue[1:]
		for i := range n.state.Steps() {
			next := n.state.Clone()
			res.Schedules++
			if err := next.Do(i); err != nil {
				res.States, res.Err, res.Trace = len(seen), err, trail(n.id, i)
				return res
			}
			h := next.Hash()
			if seen[h] {
				continue
			}
			if len(seen) >= most {
				res.States, res.Limit = len(seen), fmt.Sprintf("%d states", most)
				return res
			}
			seen[h] = true
			ways = append(ways, from{n.id, int16(i)})
			queue = append(queue, node{next, int32(len(ways) - 1)})
		}
	}
	res.States, res.Exhausted = len(seen), true
	return res
}

// Walk lets the steps of a trace happen, one after the other, and returns the first error.
func Walk[S State[S]](start S, text string) error {
	return Replay(text, func(r *Run) error {
		for _, i := range r.prefix {
			if i >= start.Steps() {
				return fmt.Errorf("interleave: trace: step %d of %d", i, start.Steps())
			}
			if err := start.Do(i); err != nil {
				return err
			}
		}
		return nil
	})
}
