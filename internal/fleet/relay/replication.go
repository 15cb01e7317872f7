package relay

import (
	"context"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// The end of a server is acknowledged once a majority of the core's machines hold it. Machines of
// the core acknowledge to each other the deltas that they take, each by the version that it then
// holds; from that every one of them works out which version of a source a majority holds, and
// tells it to the agent whose source it is. A machine that is cut off, alone or with others that
// are no majority, gets no such acknowledgements, however late it learns that it is cut off.

// recordReplicationLocked takes what a message of another machine of the core proves that it holds, and has the
// deltas acknowledged that came with it. The hub's lock is held, as in all that follow.
func (h *Node) recordReplicationLocked(s *session, m *message, hubs []Peer) {
	for i := range m.Deltas {
		d := &m.Deltas[i]
		if h.items.Version(d.Source) < d.To {
			continue // it was passed over
		}
		s.pendingAcks[d.Source] = true
		h.recordAcknowledgedLocked(s, d.Source, d.To, hubs)
	}
	for source, version := range m.Acknowledged {
		h.recordAcknowledgedLocked(s, source, version, hubs)
	}
}

// recordAcknowledgedLocked takes the version of a source that a peer holds, and wakes who waits for a majority to
// hold it. A version that is not known here proves nothing.
func (h *Node) recordAcknowledgedLocked(s *session, source string, version uint64, hubs []Peer) {
	version = min(version, h.items.Version(source))
	if version <= s.acknowledged[source] {
		return
	}
	before := h.quorumVersionLocked(source, hubs)
	s.acknowledged[source] = version
	if h.quorumVersionLocked(source, hubs) > before {
		h.notifyQuorumAdvancedLocked(source)
	}
}

// notifyQuorumAdvancedLocked wakes who waits for the replicated version of a source.
func (h *Node) notifyQuorumAdvancedLocked(source string) {
	if source == h.items.OwnSource() {
		h.notifyWaitersLocked()
		return
	}
	for s := range h.sessions {
		if s.peerIsCore || s.source != source {
			continue
		}
		select {
		case s.quorumAdvanced <- struct{}{}:
		default: // it is about to look
		}
	}
}

// takeAcknowledgementsLocked returns the versions held of the sources of which a peer sent deltas.
func (h *Node) takeAcknowledgementsLocked(s *session) deltasync.Vector {
	if len(s.pendingAcks) == 0 {
		return nil
	}
	held := make(deltasync.Vector, len(s.pendingAcks))
	for source := range s.pendingAcks {
		if version := h.items.Version(source); version > 0 {
			held[source] = version
		}
	}
	clear(s.pendingAcks)
	return held
}

// quorumVersionLocked is the newest version of a source that a majority of the core is known to hold;
// 0 if no core is known.
func (h *Node) quorumVersionLocked(source string, hubs []Peer) uint64 {
	if len(hubs) == 0 {
		return 0
	}
	versions := make([]uint64, 0, len(hubs))
	for _, hub := range hubs {
		versions = append(versions, h.versionAtLocked(hub.Addr, source))
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	return versions[len(versions)/2] // so many more hold it, too
}

// versionAtLocked is the version of a source that a machine of the core is known to hold.
func (h *Node) versionAtLocked(addr, source string) uint64 {
	if addr == h.options.Self.Addr {
		return h.items.Version(source)
	}
	version := uint64(0)
	for s := range h.sessions {
		if s.peerIsCore && s.peerAddr == addr {
			version = max(version, s.acknowledged[source])
		}
	}
	return version
}

// awaitQuorum waits until a majority of the core holds all that a life of this agent had
// announced up to a version.
func (h *Node) awaitQuorum(ctx context.Context, life string, version uint64) bool {
	return h.awaitVersion(ctx, life, version, func(version uint64, core bool, hubs []Peer) bool {
		if core && h.quorumVersionLocked(h.items.OwnSource(), hubs) >= version {
			return true
		}
		for s := range h.sessions {
			if s.peerIsCore && s.ownQuorumVersion >= version {
				return true
			}
		}
		return false
	})
}

// awaitReceived waits until another machine of the core has it. A core of one machine has no other.
func (h *Node) awaitReceived(ctx context.Context, life string, version uint64) bool {
	return h.awaitVersion(ctx, life, version, func(version uint64, core bool, hubs []Peer) bool {
		if core && len(hubs) <= 1 {
			return true
		}
		for s := range h.sessions {
			if s.peerIsCore && s.ownReceived >= version {
				return true
			}
		}
		return false
	})
}

// awaitVersion looks at each change, with the lock held, whether a version is where it has to be. A new
// life of this agent goes on with all that the old one had announced.
func (h *Node) awaitVersion(ctx context.Context, life string, version uint64, arrived func(version uint64, core bool, hubs []Peer) bool) bool {
	for {
		core, hubs := h.options.Core.IsMember(), h.options.Core.Members()
		h.mu.Lock()
		if h.items.OwnSource() != life {
			life, version = h.items.OwnSource(), h.items.OwnVersion()
		}
		done, changed := arrived(version, core, hubs), h.changed
		h.mu.Unlock()
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
