// Package logevent is the catalogue of what edged logs: every line carries the number of its event,
// which docs/EVENTS.md explains. The page is written from the table here.
package logevent

import (
	"fmt"
	"strings"

	"k8s.io/klog/v2"
)

// ID is the number of an event.
type ID int

// Event is one line of the catalogue.
type Event struct {
	ID      ID
	Message string // what the log says
	Meaning string // what has happened
	Action  string // what it asks of whom
	level   klog.Level
}

// The levels of events: always, control at work, single requests.
const (
	levelAlways klog.Level = iota
	levelControl
	levelRequests
)

// byID is the table by number.
var byID = func() map[ID]*Event {
	m := make(map[ID]*Event, len(catalogue))
	for i := range catalogue {
		if m[catalogue[i].ID] != nil {
			panic(fmt.Sprintf("event: E%d is there twice", catalogue[i].ID))
		}
		m[catalogue[i].ID] = &catalogue[i]
	}
	return m
}()

// Catalogue is the catalogue, by number.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Log writes an event with pairs of keys and values.
func (id ID) Log(kv ...any) {
	e := id.lookup()
	if l := klog.V(e.level); l.Enabled() {
		klog.InfoSDepth(1, e.line(), kv...)
	}
}

// Error writes an event that an error caused.
func (id ID) Error(err error, kv ...any) {
	e := id.lookup()
	if l := klog.V(e.level); l.Enabled() {
		klog.ErrorSDepth(1, err, e.line(), kv...)
	}
}

func (id ID) lookup() *Event {
	if e := byID[id]; e != nil {
		return e
	}
	return &Event{ID: id, Message: "event without an entry"}
}

func (e *Event) line() string { return fmt.Sprintf("E%d %s", e.ID, e.Message) }

// Page is docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery line that `edged` logs begins with the number of an event. This page is written by `edged events` from\n" +
		"the table in `internal/fleet/logevent`; a test compares the two. Level 0 is always logged, 1 with `--verbosity 1`, 2 with\n`--verbosity 2`.\n\n")
	b.WriteString("| number | level | line | what has happened | what it asks of whom |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range catalogue {
		fmt.Fprintf(&b, "| E%d | %d | %s | %s | %s |\n", e.ID, e.level, e.Message, e.Meaning, e.Action)
	}
	return b.String()
}
