package relay

import (
	"context"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// The end of a server is acknowledged once a majority of the core has it. Core members acknowledge
// to each other the deltas that they apply, each by the version that it then has. From those every
// core member derives which version of a source a majority has, and reports it to the agent whose
// source it is. A relay that is cut off, alone or with others that are no majority, receives no such
// acknowledgements, however late it learns that it is cut off.

// ownVersion is a version of the own source of one incarnation.
type ownVersion struct {
	source  string
	version uint64
}

// publishedLocked returns the current version of the own source.
func (n *Node) publishedLocked() ownVersion {
	return ownVersion{n.items.OwnSource(), n.items.OwnVersion()}
}

// recordReplicationLocked records what a message of another core member proves that it has, and marks
// the deltas that came with it to be acknowledged.
func (n *Node) recordReplicationLocked(s *session, m *message, members []Peer) {
	for i := range m.Deltas {
		delta := &m.Deltas[i]
		if n.items.Version(delta.Source) < delta.To {
			continue // it was not applied
		}
		s.pendingAcks[delta.Source] = true
		n.recordAcknowledgedLocked(s, delta.Source, delta.To, members)
	}
	for source, version := range m.Acknowledged {
		n.recordAcknowledgedLocked(s, source, version, members)
	}
}

// recordAcknowledgedLocked records the version of a source that a peer has, and wakes those who wait
// for a majority to have it. A version that is unknown here proves nothing.
func (n *Node) recordAcknowledgedLocked(s *session, source string, version uint64, members []Peer) {
	version = min(version, n.items.Version(source))
	if version <= s.acknowledged[source] {
		return
	}
	before := n.quorumVersionLocked(source, members)
	s.acknowledged[source] = version
	if n.quorumVersionLocked(source, members) <= before {
		return
	}
	if source == n.items.OwnSource() {
		n.notifyWaitersLocked()
		return
	}
	n.sessions.notifyQuorumAdvanced(source)
}

// takeAcknowledgementsLocked returns the versions to acknowledge to a peer: those of the sources that
// it has sent deltas of since the last time.
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

// quorumVersionLocked is the newest version of a source that a majority of the core is known to have,
// 0 if no core is known.
func (n *Node) quorumVersionLocked(source string, members []Peer) uint64 {
	versions := make([]uint64, 0, len(members))
	for _, member := range members {
		if member.Addr == n.options.Self.Addr {
			versions = append(versions, n.items.Version(source))
		} else {
			versions = append(versions, n.sessions.acknowledgedBy(member.Addr, source))
		}
	}
	return majorityVersion(versions)
}

// majorityVersion returns the newest version that more than half of the replicas have, by the version
// that each has; 0 of none. It sorts its argument.
func majorityVersion(versions []uint64) uint64 {
	if len(versions) == 0 {
		return 0
	}
	slices.Sort(versions)
	return versions[(len(versions)-1)/2]
}

// awaitQuorum waits until a majority of the core has a version of the own source, and reports whether
// that was so before ctx ended.
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

// awaitReceived waits until another member of the core has received a version of the own source, and
// reports whether that was so before ctx ended. A core of one member has no other.
func (n *Node) awaitReceived(ctx context.Context, target ownVersion) bool {
	return n.awaitVersion(ctx, target, func(version uint64, isMember bool, members []Peer) bool {
		if isMember && len(members) <= 1 {
			return true
		}
		for s := range n.sessions {
			if s.peerIsCore && s.ownReceived >= version {
				return true
			}
		}
		return false
	})
}

// awaitVersion waits until a version of the own source has arrived, which it checks at each change
// with the lock held. A new incarnation includes all that the earlier one had published, so it waits
// for the version that is then current.
func (n *Node) awaitVersion(ctx context.Context, target ownVersion, arrived func(version uint64, isMember bool, members []Peer) bool) bool {
	for {
		isMember, members := n.options.Core.IsMember(), n.options.Core.Members()
		n.mu.Lock()
		if n.items.OwnSource() != target.source {
			target = n.publishedLocked()
		}
		done, changed := arrived(target.version, isMember, members), n.changed
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
