package controlsim

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// event is a line of the run's log.
type event struct {
	at   time.Duration
	text string
}

// formatEvents are the events as text: those of one moment have no order of their own.
func formatEvents(events []event) (out []string) {
	slices.SortFunc(events, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text)) })
	for _, e := range events {
		out = append(out, fmt.Sprintf("%v %s", e.at, e.text))
	}
	return out
}

// logEvent adds an event.
func (r *simulation) logEvent(format string, args ...any) {
	e := event{at: r.elapsed(), text: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}
