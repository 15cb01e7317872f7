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
	ID    ID
	Text  string // what the log says
	Means string // what has happened
	Do    string // what it asks of whom
	v     klog.Level
}

// The levels of events: always, control at work, single requests.
const (
	always klog.Level = iota
	control
	requests
)

// byID is the table by number.
var byID = func() map[ID]*Event {
	m := make(map[ID]*Event, len(table))
	for i := range table {
		if m[table[i].ID] != nil {
			panic(fmt.Sprintf("event: E%d is there twice", table[i].ID))
		}
		m[table[i].ID] = &table[i]
	}
	return m
}()

// Table is the catalogue, by number.
func Table() []Event { return append([]Event(nil), table...) }

// Log writes an event with pairs of keys and values.
func (id ID) Log(kv ...any) {
	e := id.entry()
	if l := klog.V(e.v); l.Enabled() {
		klog.InfoSDepth(1, e.line(), kv...)
	}
}

// Error writes an event that an error caused.
func (id ID) Error(err error, kv ...any) {
	e := id.entry()
	if l := klog.V(e.v); l.Enabled() {
		klog.ErrorSDepth(1, err, e.line(), kv...)
	}
}

func (id ID) entry() *Event {
	if e := byID[id]; e != nil {
		return e
	}
	return &Event{ID: id, Text: "event without an entry"}
}

func (e *Event) line() string { return fmt.Sprintf("E%d %s", e.ID, e.Text) }

// Page is docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery line that `edged` logs begins with the number of an event. This page is written by `edged events` from\n" +
		"the table in `internal/fleet/logevent`; a test compares the two. Level 0 is always logged, 1 with `--verbosity 1`, 2 with\n`--verbosity 2`.\n\n")
	b.WriteString("| number | level | line | what has happened | what it asks of whom |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range table {
		fmt.Fprintf(&b, "| E%d | %d | %s | %s | %s |\n", e.ID, e.v, e.Text, e.Means, e.Do)
	}
	return b.String()
}
