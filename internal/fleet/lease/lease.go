// Package lease decides which agents are members of the fleet: an agent holds a lease with the control
// plane, and is a member as long as it renews the lease. The package does no I/O, and its times are
// readings of a monotonic clock.
//
// Each control plane machine that has a session with an agent grants it a lease, and publishes that to
// the other agents; the messages of the session renew it. Once no machine has granted an agent a lease
// for the lease duration, the agent's lease has expired, and a control plane machine that is in contact
// with a majority removes the agent. A control plane machine that is partitioned away removes nobody.
package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspensionThreshold is the time between two calls of Expired above which the process is considered
	// to have been suspended. Leases that would have expired meanwhile get their full duration again.
	suspensionThreshold = time.Second
	// maxLeases is the maximum number of agents whose leases are tracked.
	maxLeases = 8192
	// unreachableRetention is the number of lease durations for which an agent is kept that has leases only
	// from machines that are unreachable themselves. It is more than two, so that the lease of such a machine
	// expires first, and the agents that it served then have a full lease duration.
	unreachableRetention = 3
)

// Table holds the leases that one agent knows of. It is not safe for concurrent use.
type Table struct {
	duration    time.Duration
	leases      map[string]*lease // by agent
	lastChecked time.Duration     // time of the last call of Expired
	reachable   map[string]bool   // result of the last call of ObserveRoots
}

// lease is the state of one agent's leases.
type lease struct {
	grantors       map[string]bool // control plane machines that grant the agent a lease
	ungrantedSince time.Duration   // time since which there are no grantors, if there are none
	// unreachableSince is the time since which the agent is unreachable; 0 if it is reachable.
	unreachableSince time.Duration
}

// New returns an empty table. A lease expires when it was not granted for longer than the duration.
func New(duration time.Duration) *Table {
	return &Table{duration: duration, leases: map[string]*lease{}}
}

// Observe records that an agent exists. Without a lease it expires after the lease duration. If the table
// is full, the agent is ignored.
func (t *Table) Observe(now time.Duration, agent string) {
	if t.leases[agent] == nil && len(t.leases) < maxLeases {
		t.leases[agent] = &lease{grantors: map[string]bool{}, ungrantedSince: now}
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
			l.ungrantedSince = now
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
// lease to. Other agents may hold leases of machines that are gone and that grant leases to each other:
// an agent that survives a restart of the control plane still publishes those. Before the first call no
// agent expires for being unreachable.
func (t *Table) ObserveRoots(now time.Duration, roots map[string]bool) {
	holders := map[string][]string{} // agents with a lease, by grantor
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
			l.unreachableSince = 0
		} else if l.unreachableSince == 0 {
			l.unreachableSince = now
		}
	}
}

// Reachable reports whether an agent was reachable at the last call of ObserveRoots.
func (t *Table) Reachable(agent string) bool { return t.reachable[agent] }

// UngrantedFor returns for how long no machine has granted an agent a lease. It is 0 if one does, or if
// the agent is unknown.
func (t *Table) UngrantedFor(now time.Duration, agent string) time.Duration {
	l := t.leases[agent]
	if l == nil || len(l.grantors) > 0 {
		return 0
	}
	return now - l.ungrantedSince
}

// Expired returns the agents whose leases have expired, sorted: those without any lease for longer than the lease
// duration, and those that have been unreachable for longer than unreachableRetention lease durations. It must be
// called at intervals well below suspensionThreshold.
func (t *Table) Expired(now time.Duration) []string {
	suspended := t.lastChecked > 0 && now-t.lastChecked > suspensionThreshold
	t.lastChecked = now
	var expired []string
	for agent, l := range t.leases {
		switch {
		case suspended:
			if len(l.grantors) == 0 {
				l.ungrantedSince = now
			}
			if l.unreachableSince > 0 {
				l.unreachableSince = now
			}
		case len(l.grantors) > 0:
			if l.unreachableSince > 0 && now-l.unreachableSince > unreachableRetention*t.duration {
				expired = append(expired, agent)
			}
		case now-l.ungrantedSince > t.duration:
			expired = append(expired, agent)
		}
	}
	slices.Sort(expired)
	return expired
}
