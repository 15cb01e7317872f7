package registry

import (
	"slices"
	"time"
)

const (
	// expiryHeartbeats is the number of heartbeat intervals without a heartbeat after which a server expires.
	expiryHeartbeats = 3.5
	// tombstoneRetention is how long a server that is not ready is remembered, so that late calls do not
	// list it again.
	tombstoneRetention = 90 * time.Second
	// freezeThreshold is the time between two ticks above which the process counts as having been frozen.
	// A frozen process receives no calls, so their absence does not show that servers have failed.
	freezeThreshold = time.Second
)

// Tick expires servers and reports. It returns the reports that the own source has to publish, and the
// sorted IDs of the instances whose reports it has to withdraw. While suspended is true or after a freeze,
// the time since the last tick does not count towards expiry, as the absence of calls then does not show
// that a server has failed.
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

// expireLocal expires the servers that no longer send heartbeats to this agent, and returns the reports to
// publish.
func (t *Table) expireLocal(now time.Duration, wasFrozen bool) (updates []*Instance) {
	timeout := time.Duration(expiryHeartbeats * float64(t.heartbeatInterval))
	for id, local := range t.local {
		switch e := t.entries[id]; {
		case e == nil || e.current == nil:
			delete(t.local, id)
		case wasFrozen:
			local.lastHeartbeat = now
		case e.owner != t.ownSource && e.current.Seq > local.latest.Seq:
			delete(t.local, id) // it now calls another agent
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

// expireEntry drops the reports on an instance that have expired. It drops the instance, too, once no
// report is left or tombstoneRetention has passed. It returns whether the own source has to withdraw its
// report.
func (t *Table) expireEntry(now, frozen time.Duration, id string, e *entry) (withdraw bool) {
	t.expireOrphan(now, id, e)
	withdraw = t.expireReports(now, frozen, e)
	tombstoneExpired := e.tombstoneSince > 0 && now-e.tombstoneSince > tombstoneRetention
	if !tombstoneExpired && (e.current != nil || len(e.reports) > 0) {
		return withdraw
	}
	_, reported := e.reports[t.ownSource]
	withdraw = withdraw || reported
	if tombstoneExpired && len(e.reports) > 1 { // other sources still report it
		delete(e.reports, t.ownSource)
		return withdraw
	}
	delete(t.entries, id)
	delete(t.local, id)
	t.listStale = true
	return withdraw
}

// expireOrphan makes the own source's report on a server that now calls another agent expire. Otherwise
// it would outlive that agent's report.
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

// expireReports drops the reports on an instance that have expired, and returns whether the own source's
// report is among them. The time for which the process was frozen does not count.
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
