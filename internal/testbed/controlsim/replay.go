package controlsim

import (
	"fmt"
	"io"
	"testing"
)

// Replay plays a run twice, writes the log of the first, and tells where the second differs.
func Replay(t *testing.T, point int, seed uint64, out io.Writer) (broken bool, err error) {
	discardServerLogs()
	first, second := Simulate(t, point, seed), Simulate(t, point, seed)
	for _, e := range first.Events {
		if _, err := fmt.Fprintln(out, e); err != nil {
			return false, err
		}
	}
	_, err = fmt.Fprintln(out, compareEvents(first.Events, second.Events))
	return len(first.Violations)+len(second.Violations) > 0, err
}

// compareEvents tells the first difference of two logs, whose events of one moment have no order.
func compareEvents(a, b []string) string {
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
