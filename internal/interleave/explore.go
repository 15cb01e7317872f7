package interleave

import (
	"fmt"
	"strconv"
	"strings"
)

// Run is one execution. It is not safe for concurrent use.
type Run struct {
	prefix    []int          // choices to take first
	choices   []int          // choices taken so far
	options   []int          // number of options at each of these choices
	visited   map[uint64]int // by hash of a state: the largest number of choices left at it
	truncated bool           // the execution reached depth
	depth     int            // maximum number of choices
}

// Choose returns which of n options to take, from 0 to n-1. It records no choice if n is 1 or less.
func (r *Run) Choose(n int) int {
	if n <= 1 {
		return 0
	}
	choice := 0
	if i := len(r.choices); i < len(r.prefix) {
		choice = r.prefix[i]
	}
	r.choices, r.options = append(r.choices, choice), append(r.options, n)
	return choice
}

// Visited reports whether the same state was reached before with at least as many choices left, or no
// choices are left. The code under test must then end its execution: everything that can follow has been
// explored or is beyond the limit. States with the same hash must be equal in everything that affects
// what follows. The hash is computed only if it is needed.
func (r *Run) Visited(hash func() uint64) bool {
	if len(r.choices) < len(r.prefix) {
		return false // so far this execution only repeats an earlier one
	}
	remaining := r.depth - len(r.choices)
	if remaining <= 0 {
		r.truncated = true
		return true
	}
	state := hash()
	if before, found := r.visited[state]; found && before >= remaining {
		return true
	}
	r.visited[state] = remaining
	return false
}

// Result is the result of a search.
type Result struct {
	Schedules int // number of executions
	States    int // number of distinct states that were visited
	// Exhausted is true if everything was explored. If a limit prevented that, Limit names it.
	Exhausted bool
	Limit     string
	// Err is the first error of an execution, and Trace the choices that lead to it: an argument for
	// Replay, or for Walk if the result is that of Search.
	Err   error
	Trace string
}

// String returns the result in one line.
func (r *Result) String() string {
	outcome := "exhausted"
	if !r.Exhausted {
		outcome = "not exhausted: " + r.Limit
	}
	if r.Err != nil {
		outcome = "failed: " + r.Err.Error() + " with trace " + r.Trace
	}
	return fmt.Sprintf("%d schedules, %d states, %s", r.Schedules, r.States, outcome)
}

// Explore executes the code under test until all sequences of choices are explored, an execution
// fails, or maxSchedules have been executed. It explores at most depth choices of each execution: a
// state beyond that counts as visited.
func Explore(depth, maxSchedules int, execute func(*Run) error) *Result {
	result := &Result{}
	visited := map[uint64]int{}
	var prefix []int
	truncated := false
	for {
		run := &Run{prefix: prefix, visited: visited, depth: depth}
		err := execute(run)
		result.Schedules++
		result.States = len(visited)
		truncated = truncated || run.truncated
		if err != nil {
			result.Err, result.Trace = err, formatTrace(run.choices)
			return result
		}
		next, more := run.nextPrefix()
		switch {
		case !more:
			result.Exhausted = !truncated
			if truncated {
				result.Limit = fmt.Sprintf("executions of more than %d choices", depth)
			}
			return result
		case result.Schedules >= maxSchedules:
			result.Limit = fmt.Sprintf("%d schedules", maxSchedules)
			return result
		}
		prefix = next
	}
}

// nextPrefix returns the next sequence of choices in lexicographic order: it ends with the last choice
// that has a further option, set to that option. more is false if no choice has one.
func (r *Run) nextPrefix() (prefix []int, more bool) {
	last := len(r.choices) - 1
	for last >= 0 && r.choices[last]+1 >= r.options[last] {
		last--
	}
	if last < 0 {
		return nil, false
	}
	return append(append([]int(nil), r.choices[:last]...), r.choices[last]+1), true
}

// unlimitedDepth exceeds the number of choices in any trace.
const unlimitedDepth = 1 << 30

// Replay executes the code under test once with the choices of a trace, and returns its error.
func Replay(trace string, execute func(*Run) error) error {
	choices, err := parseTrace(trace)
	if err != nil {
		return err
	}
	return execute(&Run{prefix: choices, visited: map[uint64]int{}, depth: unlimitedDepth})
}

// formatTrace formats choices as numbers separated by spaces.
func formatTrace(choices []int) string {
	fields := make([]string, len(choices))
	for i, choice := range choices {
		fields[i] = strconv.Itoa(choice)
	}
	return strings.Join(fields, " ")
}

func parseTrace(trace string) (choices []int, err error) {
	for _, field := range strings.Fields(trace) {
		choice, err := strconv.Atoi(field)
		if err != nil {
			return nil, fmt.Errorf("interleave: parse trace: %w", err)
		}
		choices = append(choices, choice)
	}
	return choices, nil
}
