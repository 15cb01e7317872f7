package relay

import (
	"context"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// The draining or the end of a server is acknowledged once a majority of the core has received it. Core
// members acknowledge the deltas that they apply to each other, by sending the version of the source that
// they now have. From these acknowledgements every core member derives the version of a source that a
// majority has, and reports it to the agent that owns the source. A relay in a minority partition receives
// too few acknowledgements for a majority, even before it detects that it is partitioned.

// ownVersion identifies a version of this node's own source in one incarnation.
type ownVersion struct {
	source  string
	version uint64
}

// currentOwnVersionLocked returns the own source and its current version.
func (n *Node) currentOwnVersionLocked() ownVersion {
	return ownVersion{n.items.OwnSource(), n.items.OwnVersion()}
}

// recordReplicationLocked records which versions another core member has, as its message proves, and marks
// the sources of the message's deltas for acknowledgement.
func (n *Node) recordReplicationLocked(s *session, m *message, members []Peer) {
	for i := range m.Deltas {
		delta := &m.Deltas[i]
		if n.items.Version(delta.Source) < delta.To {
			continue // the delta was not applied
		}
		s.pendingAcks[delta.Source] = true
		n.recordAcknowledgedLocked(s, delta.Source, delta.To, members)
	}
	for source, version := range m.Acknowledged {
		n.recordAcknowledgedLocked(s, source, version, members)
	}
}

// recordAcknowledgedLocked records the version of a source that a peer has, and wakes those who wait for
// a majority to have it. Of a version that is newer than this node's own, only this node's counts.
func (n *Node) recordAcknowledgedLocked(s *session, source string, version uint64, members []Peer) {
	version = min(version, n.items.Version(source))
	if version <= s.ackedVersions[source] {
		return
	}
	if !s.peerIsCore { // it counts for no majority, and there are many such peers with large vectors
		s.ackedVersions[source] = version
		return
	}
	previousVersion := n.quorumVersionLocked(source, members)
	s.ackedVersions[source] = version
	if n.quorumVersionLocked(source, members) <= previousVersion {
		return
	}
	if source == n.items.OwnSource() {
		n.notifyWaitersLocked()
		return
	}
	n.sessions.notifyQuorumAdvanced(source)
}

// takeAcknowledgementsLocked returns the versions to acknowledge to a peer: those of the sources whose
// deltas the peer has sent since the last call.
func (n *Node) takeAcknowledgementsLocked(s *session) deltasync.Vector {
	if len(s.pendingAcks) == 0 {
		return nil
	}
	versions := make(deltasync.Vector, len(s.pendingAcks))
	for source := range s.pendingAcks {
		if version := n.items.Version(source); version > 0 {
			versions[source] = version
		}
	}
	clear(s.pendingAcks)
	return versions
}

// quorumVersionLocked returns the newest version of a source that a majority of the core is known to have,
// or 0 if no member of the core is known.
func (n *Node) quorumVersionLocked(source string, members []Peer) uint64 {
	return majorityVersion(n.sessions.memberVersions(members, source, n.options.Self.Addr, n.items.Version(source)))
}

// majorityVersion returns the newest version that more than half of the replicas have, given the version
// of each replica. It returns 0 if there are no replicas. It sorts its argument.
func majorityVersion(versions []uint64) uint64 {
	if len(versions) == 0 {
		return 0
	}
	slices.Sort(versions)
	return versions[(len(versions)-1)/2]
}

// awaitQuorum waits until a majority of the core has a version of the own source. It returns false if ctx
// ends first.
func (n *Node) awaitQuorum(ctx context.Context, target ownVersion) bool {
	return n.awaitVersion(ctx, target, func(version uint64, isMember bool, members []Peer) bool {
		if isMember && n.quorumVersionLocked(n.items.OwnSource(), members) >= version {
			return true
		}
		for s := range n.sessions {
			if s.peerIsCore && s.ownQuorumVersion >= version {
				return true
			}
		}
		return false
	})
}

// awaitReceived waits until another member of the core has received a version of the own source. It
// returns false if ctx ends first. The only member of a core does not wait, as there is no other.
func (n *Node) awaitReceived(ctx context.Context, target ownVersion) bool {
	return n.awaitVersion(ctx, target, func(version uint64, isMember bool, members []Peer) bool {
		if isMember && len(members) <= 1 {
			return true
		}
		for s := range n.sessions {
			if s.peerIsCore && s.ownReceivedVersion >= version {
				return true
			}
		}
		return false
	})
}

// awaitVersion waits until isReplicated returns true for a version of the own source, and returns false if
// ctx ends first. It calls isReplicated after each change, with the lock held. If this node starts a new
// incarnation meanwhile, awaitVersion waits for the new source's current version, which includes everything
// that the earlier incarnation had published.
func (n *Node) awaitVersion(ctx context.Context, target ownVersion, isReplicated func(version uint64, isMember bool, members []Peer) bool) bool {
	for {
		isMember, members := n.options.Core.IsMember(), n.options.Core.Members()
		n.mu.Lock()
		if n.items.OwnSource() != target.source {
			target = n.currentOwnVersionLocked()
		}
		done, changed := isReplicated(target.version, isMember, members), n.changed
		n.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
