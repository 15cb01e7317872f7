// Package lease decides which agents are members of the fleet: an agent holds a lease with the control
// plane, and is a member as long as it renews the lease. The package is pure, and its times are readings
// of a monotonic clock.
//
// Each control plane machine that has a session with an agent grants it a lease, and publishes that to
// the other agents; the messages of the session renew it. Once no machine has granted an agent a lease
// for the duration of one, the lease is expired, and a control plane machine that is in contact with a
// majority removes the agent. A control plane machine that is partitioned away removes nobody.
package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspensionThreshold is the time between two calls of Expired from which on the process is
	// considered to have been suspended. Leases that expired meanwhile get their full duration again.
	suspensionThreshold = time.Second
	// maxLeases is the number of agents whose leases are tracked.
	maxLeases = 8192
	// unreachableLeases is for how many durations of a lease an agent is retained that is granted one
	// only by machines that are not reachable themselves. It is more than two, so that the lease of
	// such a machine expires first and the agents that it served get a full one after that.
	unreachableLeases = 3
)

// Table is the leases that one agent knows of. It is not safe for concurrent use.
type Table struct {
	duration    time.Duration
	leases      map[string]*lease // by agent
	lastChecked time.Duration     // time of the last call of Expired
	reachable   map[string]bool   // see ObserveRoots
}

// lease is the state of one agent's leases.
type lease struct {
	grantors  map[string]bool // the control plane machines that grant one
	ungranted time.Duration   // since when there are none
	// unreachable is since when none of them is granted by a reachable machine; 0: one is.
	unreachable time.Duration
}

// New returns an empty table. A lease expires when it has not been granted for the duration.
func New(duration time.Duration) *Table {
	return &Table{duration: duration, leases: map[string]*lease{}}
}

// Observe records that an agent exists. If it is granted no lease, it expires after the duration of
// one. The agent is ignored if there are too many.
func (t *Table) Observe(now time.Duration, agent string) {
	if t.leases[agent] == nil && len(t.leases) < maxLeases {
		t.leases[agent] = &lease{grantors: map[string]bool{}, ungranted: now}
	}
}

// Grant records that a control plane machine grants an agent a lease.
func (t *Table) Grant(now time.Duration, agent, grantor string) {
	t.Observe(now, agent)
	if l := t.leases[agent]; l != nil {
		l.grantors[grantor] = true
	}
}

// Revoke records that a control plane machine no longer grants an agent a lease.
func (t *Table) Revoke(now time.Duration, agent, grantor string) {
	if l := t.leases[agent]; l != nil && l.grantors[grantor] {
		if delete(l.grantors, grantor); len(l.grantors) == 0 {
			l.ungranted = now
		}
	}
}

// Remove forgets an agent, and revokes the leases that it granted to others.
func (t *Table) Remove(now time.Duration, agent string) {
	delete(t.leases, agent)
	for other := range t.leases {
		t.Revoke(now, other, agent)
	}
}

// Granted reports whether any machine grants an agent a lease.
func (t *Table) Granted(agent string) bool {
	l := t.leases[agent]
	return l != nil && len(l.grantors) > 0
}

// ObserveRoots records which agents are reachable: the roots, and those that a reachable one grants a
// lease to. Others may hold leases of machines that are gone, which grant leases to each other: after a
// restart of the control plane an agent that survived it still publishes those. Without any call all
// agents count as reachable.
func (t *Table) ObserveRoots(now time.Duration, roots map[string]bool) {
	holders := map[string][]string{} // by grantor
	for holder, l := range t.leases {
		for grantor := range l.grantors {
			holders[grantor] = append(holders[grantor], holder)
		}
	}
	t.reachable = maps.Clone(roots)
	pending := slices.Collect(maps.Keys(roots))
	for len(pending) > 0 {
		grantor := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, holder := range holders[grantor] {
			if !t.reachable[holder] {
				t.reachable[holder] = true
				pending = append(pending, holder)
			}
		}
	}
	for agent, l := range t.leases {
		if t.reachable[agent] {
			l.unreachable = 0
		} else if l.unreachable == 0 {
			l.unreachable = now
		}
	}
}

// Reachable reports whether an agent was reachable at the last call of ObserveRoots.
func (t *Table) Reachable(agent string) bool { return t.reachable[agent] }

// UngrantedFor returns for how long no machine has granted an agent a lease. It is 0 if one does, or if
// the agent is not known.
func (t *Table) UngrantedFor(now time.Duration, agent string) time.Duration {
	l := t.leases[agent]
	if l == nil || len(l.grantors) > 0 {
		return 0
	}
	return now - l.ungranted
}

// Expired returns the agents whose leases are expired, sorted: those that no machine has granted one to for
// its duration, and those that only unreachable machines have for longer. It has to be called at intervals well
// below suspensionThreshold.
func (t *Table) Expired(now time.Duration) []string {
	suspended := t.lastChecked > 0 && now-t.lastChecked > suspensionThreshold
	t.lastChecked = now
	var expired []string
	for agent, l := range t.leases {
		switch {
		case suspended:
			if len(l.grantors) == 0 {
				l.ungranted = now
			}
			if l.unreachable > 0 {
				l.unreachable = now
			}
		case len(l.grantors) > 0:
			if l.unreachable > 0 && now-l.unreachable > unreachableLeases*t.duration {
				expired = append(expired, agent)
			}
		case now-l.ungranted > t.duration:
			expired = append(expired, agent)
		}
	}
	slices.Sort(expired)
	return expired
}
