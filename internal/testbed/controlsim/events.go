package controlsim

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// event is a line of the run's log.
type event struct {
	at   time.Duration // virtual time since the start of the run
	text string
}

// formatEvents sorts events by time and formats them. Events at the same time are concurrent and are sorted by
// their texts, so that logs can be compared.
func formatEvents(events []event) (lines []string) {
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text))
	})
	for _, e := range events {
		lines = append(lines, fmt.Sprintf("%v %s", e.at, e.text))
	}
	return lines
}

// logEvent adds an event to the run's log.
func (s *simulation) logEvent(format string, args ...any) {
	e := event{at: s.elapsed(), text: fmt.Sprintf(format, args...)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}
