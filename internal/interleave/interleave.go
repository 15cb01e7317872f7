// Package interleave plays a deterministic piece of code through all orders of what may
// happen to it: it is run once for each sequence of choices, from its start, with one choice
// at each point where the order is open.
//
// Guaranteed: each sequence of choices that the code asks for is played, but for those behind
// a state that was seen before (by its hash, told with Seen) and those cut by a bound, which
// the result names. The code must be deterministic: all it draws it draws by Choose.
package interleave

import (
	"fmt"
	"strconv"
	"strings"
)

// Run is one play. It is used by one goroutine.
type Run struct {
	prefix    []int // choices to take first
	choices   []int
	options   []int // how many there were at each
	visited   map[uint64]int
	truncated bool
	depth     int
}

// Choose picks one of n things, from 0; with n of 1 or less there is nothing to choose.
func (r *Run) Choose(n int) int {
	if n <= 1 {
		return 0
	}
	pick := 0
	if i := len(r.choices); i < len(r.prefix) {
		pick = r.prefix[i]
	}
	r.choices, r.options = append(r.choices, pick), append(r.options, n)
	return pick
}

// Visited tells whether a play came to a state before with at least as many choices left; the
// code then ends its play, as all that can follow has been played. Two states of one hash
// must be alike in all that matters to what follows. The hash is asked for only where it is
// needed.
func (r *Run) Visited(hash func() uint64) bool {
	if len(r.choices) < len(r.prefix) {
		return false // on the way to where this play parts from the one before
	}
	left := r.depth - len(r.choices)
	if left <= 0 {
		r.truncated = true
		return true
	}
	state := hash()
	if was, ok := r.visited[state]; ok && was >= left {
		return true
	}
	r.visited[state] = left
	return false
}

// Result is what came of a search.
type Result struct {
	Schedules int // plays
	States    int // different ones that were told
	// Exhausted tells that no bound cut the search; Why names the one that did.
	Exhausted bool
	Limit     string
	// Err is the first error of a play, and Trace the choices that lead to it, for Replay.
	Err   error
	Trace string
}

// String is the result in a line.
func (r *Result) String() string {
	how := "exhausted"
	if !r.Exhausted {
		how = "not exhausted: " + r.Limit
	}
	if r.Err != nil {
		how = "found after: " + r.Err.Error() + " by " + r.Trace
	}
	return fmt.Sprintf("%d schedules, %d states, %s", r.Schedules, r.States, how)
}

// Explore plays until all is played, a play fails, or there were most plays. No play makes
// more than depth choices that are searched; past it a state counts as seen.
func Explore(depth, most int, play func(*Run) error) *Result {
	res := &Result{}
	seen := map[uint64]int{}
	var prefix []int
	cut := false
	for {
		r := &Run{prefix: prefix, visited: seen, depth: depth}
		err := play(r)
		res.Schedules++
		res.States = len(seen)
		cut = cut || r.truncated
		if err != nil {
			res.Err, res.Trace = err, formatTrace(r.choices)
			return res
		}
		// The next sequence: the last choice that has a further one.
		i := len(r.choices) - 1
		for i >= 0 && r.choices[i]+1 >= r.options[i] {
			i--
		}
		switch {
		case i < 0:
			if res.Exhausted = !cut; cut {
				res.Limit = fmt.Sprintf("plays of more than %d choices", depth)
			}
			return res
		case res.Schedules >= most:
			res.Limit = fmt.Sprintf("%d schedules", most)
			return res
		}
		prefix = append(append([]int(nil), r.choices[:i]...), r.choices[i]+1)
	}
}

// Replay plays the choices of a trace once.
func Replay(text string, play func(*Run) error) error {
	r := &Run{visited: map[uint64]int{}, depth: 1 << 30}
	for _, f := range strings.Fields(text) {
		n, err := strconv.Atoi(f)
		if err != nil {
			return fmt.Errorf("interleave: trace: %w", err)
		}
		r.prefix = append(r.prefix, n)
	}
	return play(r)
}

func formatTrace(choices []int) string {
	out := make([]string, len(choices))
	for i, c := range choices {
		out[i] = strconv.Itoa(c)
	}
	return strings.Join(out, " ")
}
