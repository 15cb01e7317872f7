package relay

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/lease"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

const (
	// leaseDuration is how long a lease remains valid once no member of the core grants it any more. A
	// member grants a lease to an agent for as long as they have a session.
	leaseDuration = 2500 * time.Millisecond
	// sourceExpiry is how long a source must have been without a lease before an agent outside the core
	// drops it. A relay with a quorum must have been sending the agent messages for as long.
	sourceExpiry = 2 * leaseDuration
)

// leaseManager tracks the leases of all agents, and those that this node grants.
type leaseManager struct {
	*lease.Table
	granted       map[string]bool // sources that this node grants a lease to
	attachedSince time.Duration   // start of the uninterrupted contact with a relay with a quorum; 0 if there is none
}

func newLeaseManager() leaseManager {
	return leaseManager{Table: lease.New(leaseDuration), granted: map[string]bool{}}
}

// observeAttachment records whether this node is in contact with a relay that has a quorum.
func (l *leaseManager) observeAttachment(now time.Duration, attached bool) {
	updateSince(&l.attachedSince, now, attached)
}

// attachedFor reports whether this node has been in contact with such a relay for longer than a duration.
func (l *leaseManager) attachedFor(now, duration time.Duration) bool {
	return l.attachedSince > 0 && now-l.attachedSince > duration
}

// setGranted replaces the sources that this node grants leases to. It returns those added and those removed.
func (l *leaseManager) setGranted(holders map[string]bool) (grantedSources, releasedSources []string) {
	for source := range holders {
		if !l.granted[source] {
			l.granted[source] = true
			grantedSources = append(grantedSources, source)
		}
	}
	for source := range l.granted {
		if !holders[source] {
			delete(l.granted, source)
			releasedSources = append(releasedSources, source)
		}
	}
	return grantedSources, releasedSources
}

// updateGrantedLeasesLocked publishes which leases this core member grants: one to each agent that it has
// a session with. It grants none to itself, as that lease would outlive this node; the other members do.
func (n *Node) updateGrantedLeasesLocked(isMember bool) {
	holders := map[string]bool{}
	for s := range n.sessions {
		if isMember && !n.items.Ended(s.source) {
			holders[s.source] = true
		}
	}
	grantedSources, releasedSources := n.leases.setGranted(holders)
	for _, source := range grantedSources {
		n.publishItemLocked(leasePrefix+source, presentData)
	}
	for _, source := range releasedSources {
		n.publishItemLocked(leasePrefix+source, nil)
	}
}

// leaseRootsLocked returns the sources that are known to be in contact with the current core: this process's
// own source, and those of the relays with a quorum that it has sessions with.
func (n *Node) leaseRootsLocked() map[string]bool {
	roots := map[string]bool{n.items.OwnSource(): true}
	for s := range n.sessions {
		if s.peerIsCore && s.peerHasQuorum {
			roots[s.source] = true
		}
	}
	return roots
}

// expireLeasesLocked ends the sources whose leases have expired.
//
// A core member ends them for the whole fleet, once it has had its quorum for longer than leaseDuration:
// before that, it may not know of leases that others grant. It first asks a majority of the core, see
// leasePoll.
//
// An agent outside the core drops, only for itself, the sources that the core must have ended while the
// agent was unreachable. It never accepts a dropped source again. Therefore it waits for sourceExpiry, which
// gives the core another leaseDuration to end the source or to renew its lease. It drops nothing while its
// own relay is silent, as the renewal may be in flight.
func (n *Node) expireLeasesLocked(now time.Duration, isMember bool, members []Peer) {
	expiredSources := n.leases.Expired(now)
	connectedSources := n.connectedSourcesLocked()
	expiredSources = slices.DeleteFunc(expiredSources, func(source string) bool { return connectedSources[source] })
	if isMember {
		if n.readiness.quorumFor(now, leaseDuration) {
			n.pollLeasesLocked(now, expiredSources, members)
		}
		return
	}
	if !n.leases.attachedFor(now, sourceExpiry) {
		return
	}
	for _, source := range expiredSources {
		if n.leases.UngrantedFor(now, source) > sourceExpiry {
			n.expireSourceLocked(source)
		}
	}
}

// expireSourceLocked ends a source whose lease has expired. A member of the core also announces the end.
func (n *Node) expireSourceLocked(source string) {
	logevent.LeaseExpired.Log("source", source)
	n.publishEndLocked(source)
	n.endSourceLocked(source)
}
