package registry

import (
	"cmp"
	"time"
)

const (
	// orphanHeartbeats is the number of heartbeat intervals for which the reports of an ended source are
	// retained. Its servers call another agent meanwhile.
	orphanHeartbeats = 4
	// restoredHeartbeats is the number of heartbeat intervals for which an instance is listed that is
	// known from disk only.
	restoredHeartbeats = 3
)

// Report records the report of a source on an instance. It returns false if the table is full and the
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

// Withdraw removes the report of a source on an instance.
func (t *Table) Withdraw(now time.Duration, source, id string) {
	if e := t.entries[id]; e != nil {
		delete(e.reports, source)
		t.resolve(now, e)
	}
}

// Restore lists an instance that an earlier incarnation of this agent knew. Its report expires after
// restoredHeartbeats unless a call replaces it. Restore returns false if the instance is in the table
// already, or the table is full.
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

// resolve selects the report on an instance that takes precedence. A final state is never replaced by a
// less final one, whichever source reports it.
func (t *Table) resolve(now time.Duration, e *entry) {
	var best *Instance
	owner := ""
	for source, r := range e.reports {
		if best == nil || supersedes(r.Instance, source, best, owner) {
			best, owner = r.Instance, source
		}
	}
	if e.current != nil && e.current.State >= Draining && (best == nil || best.State < e.current.State) {
		return // a final state stays, even if its report is withdrawn
	}
	switch {
	case best == nil || best.State == Ready:
		e.tombstoneSince = 0
	case e.current == nil || e.current.State != best.State:
		e.tombstoneSince = now
	}
	if e.current != best {
		t.listStale = true
	}
	e.current, e.owner = best, owner
}

// supersedes returns whether report a takes precedence over report b on the same instance. The more final
// report does, or else the one from the newer call. Ties are broken by state and source, so that all
// agents select the same report.
func supersedes(a *Instance, aSource string, b *Instance, bSource string) bool {
	return cmp.Or(
		cmp.Compare(finality(a.State), finality(b.State)),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.State, b.State),
		cmp.Compare(aSource, bSource),
	) > 0
}

// finality returns the rank of a state. Ready and Expired rank equally: between them the newer call decides.
func finality(state State) State { return max(state, Expired) }

// SourceEnded records that a source has ended. Its reports expire after orphanHeartbeats; a server stays
// listed if it has called another agent by then.
func (t *Table) SourceEnded(now time.Duration, source string) {
	for _, e := range t.entries {
		if r, ok := e.reports[source]; ok && r.expiresAt == 0 {
			r.expiresAt = now + orphanHeartbeats*t.heartbeatInterval
			e.reports[source] = r
		}
	}
}

// RenameOwnSource moves the reports of the own source to a new name.
func (t *Table) RenameOwnSource(now time.Duration, name string) {
	oldName := t.ownSource
	t.ownSource = name
	for _, e := range t.entries {
		if r, ok := e.reports[oldName]; ok {
			delete(e.reports, oldName)
			e.reports[name] = r
			t.resolve(now, e)
		}
	}
}
