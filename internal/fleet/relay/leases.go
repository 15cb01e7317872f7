package relay

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/lease"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

const (
	// leaseDuration is how long a lease lasts after its last renewal. Messages of a session renew the
	// lease of the peer.
	leaseDuration = 2500 * time.Millisecond
	// sourceExpiry is how long nobody must have granted a lease to a source before an agent outside of
	// the core drops it, and how long a relay with a quorum must have been sending messages meanwhile.
	sourceExpiry = 2 * leaseDuration
)

// leaseManager tracks the leases of all agents, and those that this node grants.
type leaseManager struct {
	*lease.Table
	granted       map[string]bool // sources that this node grants a lease to
	attachedSince time.Duration   // since when a relay with a quorum has been sending messages; 0: none has
}

func newLeaseManager() leaseManager {
	return leaseManager{Table: lease.New(leaseDuration), granted: map[string]bool{}}
}

// observeAttachment records whether a relay with a quorum has been sending messages until now.
func (l *leaseManager) observeAttachment(now time.Duration, attached bool) {
	updateSince(&l.attachedSince, now, attached)
}

// attachedFor reports whether such a relay has done so for longer than a duration.
func (l *leaseManager) attachedFor(now, duration time.Duration) bool {
	return l.attachedSince > 0 && now-l.attachedSince > duration
}

// setGranted replaces the sources that this node grants leases to, and returns the differences.
func (l *leaseManager) setGranted(holders map[string]bool) (granted, released []string) {
	for source := range holders {
		if !l.granted[source] {
			l.granted[source] = true
			granted = append(granted, source)
		}
	}
	for source := range l.granted {
		if !holders[source] {
			delete(l.granted, source)
			released = append(released, source)
		}
	}
	return granted, released
}

// updateGrantedLeasesLocked publishes whose leases this core member grants: those of all agents that
// it has a session with. Its own lease the others grant, as it would outlive this node.
func (n *Node) updateGrantedLeasesLocked(isMember bool) {
	holders := map[string]bool{}
	for s := range n.sessions {
		if isMember && !n.items.Ended(s.source) {
			holders[s.source] = true
		}
	}
	granted, released := n.leases.setGranted(holders)
	for _, source := range granted {
		n.publishItemLocked(leasePrefix+source, present)
	}
	for _, source := range released {
		n.publishItemLocked(leasePrefix+source, nil)
	}
}

// leaseRootsLocked returns the sources whose leases are known to be of the present core: this process's own
// and those of the relays with a quorum that it has sessions with.
func (n *Node) leaseRootsLocked() map[string]bool {
	roots := map[string]bool{n.items.OwnSource(): true}
	for s := range n.sessions {
		if s.peerIsCore && s.peerHasQuorum {
			roots[s.source] = true
		}
	}
	return roots
}

// expireLeasesLocked ends the sources that no core member has granted a lease to for its duration.
//
// A core member ends them for everybody, once it has had its quorum for as long as a lease lasts:
// before, it may not know of leases that others grant. It asks a majority of the core first, see
// leasePoll. Another agent drops for itself what the core must have ended while the agent was
// unreachable. It never accepts a dropped source again, so it allows the core as long again to end the
// source or to renew its lease, and drops nothing while its own relay is silent: the renewal may be in
// flight.
func (n *Node) expireLeasesLocked(now time.Duration, isMember bool, members []Peer) {
	expired := n.leases.Expired(now)
	connected := n.connectedSourcesLocked()
	expired = slices.DeleteFunc(expired, func(source string) bool { return connected[source] })
	if isMember {
		if n.readiness.quorumFor(now, leaseDuration) {
			n.pollLeasesLocked(now, expired, members)
		}
		return
	}
	if !n.leases.attachedFor(now, sourceExpiry) {
		return
	}
	for _, source := range expired {
		if n.leases.UngrantedFor(now, source) > sourceExpiry {
			n.expireSourceLocked(source)
		}
	}
}

// expireSourceLocked ends a source whose lease has expired. A member of the core announces that.
func (n *Node) expireSourceLocked(source string) {
	logevent.LeaseExpired.Log("source", source)
	n.publishEndLocked(source)
	n.endSourceLocked(source)
}
