package registry

import (
	"slices"
	"time"
)

const (
	// expiryHeartbeats is after how many heartbeat intervals without one a server has expired.
	expiryHeartbeats = 3.5
	// tombstoneRetention is how long a server that is not ready is remembered, against late calls.
	tombstoneRetention = 90 * time.Second
	// freezeThreshold is the pause between two ticks from which on the process counts as having been
	// frozen: that no call came meanwhile proves nothing.
	freezeThreshold = time.Second
)

// Tick expires servers and reports. It returns the instances that the own source has to publish, and
// the IDs of those that it has to withdraw, sorted. While suspended, no time passes for either: that
// no call came proves nothing.
func (t *Table) Tick(now time.Duration, suspended bool) (updates []*Instance, withdrawn []string) {
	frozen := time.Duration(0)
	if t.lastTick > 0 && (suspended || now-t.lastTick > freezeThreshold) {
		frozen = now - t.lastTick
	}
	t.lastTick = now
	updates = t.expireLocal(now, frozen > 0)
	for id, e := range t.entries {
		if t.expireEntry(now, frozen, id, e) {
			withdrawn = append(withdrawn, id)
		}
	}
	slices.Sort(withdrawn)
	return updates, withdrawn
}

// expireLocal expires the servers whose heartbeats no longer come here, and returns those to publish.
func (t *Table) expireLocal(now time.Duration, wasFrozen bool) (updates []*Instance) {
	timeout := time.Duration(expiryHeartbeats * float64(t.heartbeatInterval))
	for id, local := range t.local {
		switch e := t.entries[id]; {
		case e == nil || e.current == nil:
			delete(t.local, id)
		case wasFrozen:
			local.lastHeartbeat = now
		case e.owner != t.ownSource && e.current.Seq > local.latest.Seq:
			delete(t.local, id) // it calls another agent now
		case now-local.lastHeartbeat > timeout:
			delete(t.local, id)
			if e.current.State < Draining {
				expired := *local.latest
				expired.State = Expired
				t.Report(now, t.ownSource, &expired)
				updates = append(updates, &expired)
			}
		}
	}
	return updates
}

// expireEntry drops the reports of an instance that have expired, and the instance once nothing is
// left to remember. It reports whether the own source has to withdraw its report.
func (t *Table) expireEntry(now, frozen time.Duration, id string, e *entry) (withdraw bool) {
	t.expireOrphan(now, id, e)
	withdraw = t.expireReports(now, frozen, e)
	old := e.endedSince > 0 && now-e.endedSince > tombstoneRetention
	if !old && (e.current != nil || len(e.reports) > 0) {
		return withdraw
	}
	_, reported := e.reports[t.ownSource]
	withdraw = withdraw || reported
	if old && len(e.reports) > 1 { // other sources still report it
		delete(e.reports, t.ownSource)
		return withdraw
	}
	delete(t.entries, id)
	delete(t.local, id)
	t.listStale = true
	return withdraw
}

// expireOrphan has the own report of a server expire that calls another agent now: else it would
// outlive that agent's.
func (t *Table) expireOrphan(now time.Duration, id string, e *entry) {
	own, reported := e.reports[t.ownSource]
	if !reported || own.expiresAt != 0 || t.local[id] != nil || own.State >= Draining {
		return
	}
	if own.State == Ready || e.owner != t.ownSource {
		own.expiresAt = now + orphanHeartbeats*t.heartbeatInterval
		e.reports[t.ownSource] = own
	}
}

// expireReports drops the reports of an instance that have expired, and reports whether the own one
// is among them. The time for which the process was frozen does not count.
func (t *Table) expireReports(now, frozen time.Duration, e *entry) (ownExpired bool) {
	for source, r := range e.reports {
		switch {
		case r.expiresAt == 0:
		case frozen > 0:
			r.expiresAt += frozen
			e.reports[source] = r
		case now >= r.expiresAt:
			delete(e.reports, source)
			ownExpired = ownExpired || source == t.ownSource
			t.resolve(now, e)
		}
	}
	return ownExpired
}
