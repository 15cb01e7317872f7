package registry

import (
	"cmp"
	"time"
)

const (
	// orphanHeartbeats is for how many heartbeat intervals the reports of a source that has ended are
	// retained: its servers call another agent meanwhile.
	orphanHeartbeats = 4
	// restoredHeartbeats is for how many heartbeat intervals an instance is listed that is known from
	// disk only.
	restoredHeartbeats = 3
)

// Report records what a source reports of an instance. It returns false if the table is full and the
// instance is not in it.
func (t *Table) Report(now time.Duration, source string, instance *Instance) bool {
	e := t.entries[instance.ID]
	if e == nil {
		if len(t.entries) >= maxInstances {
			return false
		}
		e = &entry{reports: map[string]report{}}
		t.entries[instance.ID] = e
	}
	e.reports[source] = report{Instance: instance}
	t.resolve(now, e)
	return true
}

// Withdraw removes what a source reported of an instance.
func (t *Table) Withdraw(now time.Duration, source, id string) {
	if e := t.entries[id]; e != nil {
		delete(e.reports, source)
		t.resolve(now, e)
	}
}

// Restore lists an instance that an earlier incarnation of this agent knew, until its next heartbeats
// are due. It returns false if the instance is in the table already, or the table is full.
func (t *Table) Restore(now time.Duration, instance *Instance) bool {
	if t.entries[instance.ID] != nil || len(t.entries) >= maxInstances {
		return false
	}
	restored := report{instance, now + restoredHeartbeats*t.heartbeatInterval}
	e := &entry{reports: map[string]report{t.ownSource: restored}}
	t.entries[instance.ID] = e
	t.resolve(now, e)
	return true
}

// resolve determines the report of an instance that holds. A final state is never replaced by one
// that is less final, whoever reports what.
func (t *Table) resolve(now time.Duration, e *entry) {
	var best *Instance
	owner := ""
	for source, r := range e.reports {
		if best == nil || supersedes(r.Instance, source, best, owner) {
			best, owner = r.Instance, source
		}
	}
	if e.current != nil && e.current.State >= Draining && (best == nil || best.State < e.current.State) {
		return // final, whoever reported it
	}
	switch {
	case best == nil || best.State == Ready:
		e.endedSince = 0
	case e.current == nil || e.current.State != best.State:
		e.endedSince = now
	}
	if e.current != best {
		t.listStale = true
	}
	e.current, e.owner = best, owner
}

// supersedes reports whether report a takes precedence over report b of the same instance: the more
// final one, else that of the newer call. Sources break ties, so that all agents agree.
func supersedes(a *Instance, aSource string, b *Instance, bSource string) bool {
	return cmp.Or(
		cmp.Compare(finality(a.State), finality(b.State)),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.State, b.State),
		cmp.Compare(aSource, bSource),
	) > 0
}

// finality ranks a state. Ready and Expired rank alike: between those the newer call decides.
func finality(state State) State { return max(state, Expired) }

// SourceEnded records that a source has ended: its reports expire, unless its servers call another
// agent before.
func (t *Table) SourceEnded(now time.Duration, source string) {
	for _, e := range t.entries {
		if r, ok := e.reports[source]; ok && r.expiresAt == 0 {
			r.expiresAt = now + orphanHeartbeats*t.heartbeatInterval
			e.reports[source] = r
		}
	}
}

// RenameOwnSource continues the reports of the own source under a new name.
func (t *Table) RenameOwnSource(now time.Duration, name string) {
	old := t.ownSource
	t.ownSource = name
	for _, e := range t.entries {
		if r, ok := e.reports[old]; ok {
			delete(e.reports, old)
			e.reports[name] = r
			t.resolve(now, e)
		}
	}
}
