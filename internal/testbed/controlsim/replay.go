package controlsim

import (
	"fmt"
	"io"
	"testing"
)

// Replay runs a scenario twice, writes the log of the first run to out, and reports where the second one diverges. It
// tells whether a run violated a guarantee. It returns an error if a write to out fails.
func Replay(t *testing.T, number int, seed uint64, out io.Writer) (violated bool, err error) {
	discardServerLogs()
	first, second := Simulate(t, number, seed), Simulate(t, number, seed)
	for _, e := range first.Events {
		if _, err := fmt.Fprintln(out, e); err != nil {
			return false, err
		}
	}
	_, err = fmt.Fprintln(out, compareEvents(first.Events, second.Events))
	return len(first.Violations)+len(second.Violations) > 0, err
}

// compareEvents describes the first difference between two logs.
func compareEvents(first, second []string) string {
	for i := range min(len(first), len(second)) {
		if first[i] != second[i] {
			return fmt.Sprintf("the second run differs from event %d of %d on:\n  %s\n  %s", i+1, len(first), first[i],
				second[i])
		}
	}
	if len(first) != len(second) {
		return fmt.Sprintf("the second run has %d events, the first %d", len(second), len(first))
	}
	return fmt.Sprintf("both runs have the same %d events", len(first))
}
