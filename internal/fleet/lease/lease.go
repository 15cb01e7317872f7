// Package lease decides who is a member: an agent holds a lease at the core and is a member while
// it renews it. It is pure; times are on the steady clock.
//
// Each machine of the core that has a session with an agent grants it a lease and tells so by the
// feed; the session's messages renew it. An agent whose lease nobody holds any more for as long as
// a lease lasts is ended, by a machine of the core that is in contact with a majority of it: a
// core machine that is cut off ends nobody.
package lease

import (
	"slices"
	"time"
)

// wake is the pause between two ticks after which the process was frozen: leases that ran out
// meanwhile get their whole time again.
const wake = time.Second

// maxLeases bounds the sources of which leases are known.
const maxLeases = 8192

// Table is what one agent knows of leases. It is not safe for concurrent use.
type Table struct {
	lasts  time.Duration
	leases map[string]*agent
	ticked time.Duration
}

type agent struct {
	by   map[string]bool // the core machines that hold a lease of it, by source
	free time.Duration   // since when nobody does
}

// New returns an empty table. A lease lasts for that long after its last renewal.
func New(lasts time.Duration) *Table {
	return &Table{lasts: lasts, leases: map[string]*agent{}}
}

// Observe takes that a source is there; without a lease it is ended after a lease's time.
func (t *Table) Observe(now time.Duration, source string) {
	if t.leases[source] == nil && len(t.leases) < maxLeases {
		t.leases[source] = &agent{by: map[string]bool{}, free: now}
	}
}

// Grant takes that a core machine holds a lease of a source.
func (t *Table) Grant(now time.Duration, source, by string) {
	t.Observe(now, source)
	if a := t.leases[source]; a != nil {
		a.by[by] = true
	}
}

// Revoke takes that it holds it no more.
func (t *Table) Revoke(now time.Duration, source, by string) {
	if a := t.leases[source]; a != nil && a.by[by] {
		if delete(a.by, by); len(a.by) == 0 {
			a.free = now
		}
	}
}

// Remove forgets a source, and the leases that it held of others.
func (t *Table) Remove(now time.Duration, source string) {
	delete(t.leases, source)
	for other := range t.leases {
		t.Revoke(now, other, source)
	}
}

// Granted tells whether anyone holds a lease of a source.
func (t *Table) Granted(source string) bool {
	a := t.leases[source]
	return a != nil && len(a.by) > 0
}

// UngrantedFor is how long nobody has held a lease of a source; 0 if somebody does or the source is not known.
func (t *Table) UngrantedFor(now time.Duration, source string) time.Duration {
	a := t.leases[source]
	if a == nil || len(a.by) > 0 {
		return 0
	}
	return now - a.free
}

// Expired are the sources that nobody has held a lease of for as long as one lasts.
func (t *Table) Expired(now time.Duration) []string {
	frozen := t.ticked > 0 && now-t.ticked > wake
	t.ticked = now
	var out []string
	for source, a := range t.leases {
		switch {
		case len(a.by) > 0:
		case frozen:
			a.free = now
		case now-a.free > t.lasts:
			out = append(out, source)
		}
	}
	slices.Sort(out)
	return out
}
