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

// replicate takes what a message of another machine of the core proves that it holds, and has the
// deltas acknowledged that came with it. The hub's lock is held, as in all that follow.
func (h *Hub) replicate(s *session, m *message, hubs []Peer) {
	for i := range m.Deltas {
		d := &m.Deltas[i]
		if h.set.Version(d.Source) < d.Upto {
			continue // it was passed over
		}
		s.unacked[d.Source] = true
		h.recordHeld(s, d.Source, d.Upto, hubs)
	}
	for source, version := range m.Held {
		h.recordHeld(s, source, version, hubs)
	}
}

// recordHeld takes the version of a source that a peer holds, and wakes who waits for a majority to
// hold it. A version that is not known here proves nothing.
func (h *Hub) recordHeld(s *session, source string, version uint64, hubs []Peer) {
	version = min(version, h.set.Version(source))
	if version <= s.held[source] {
		return
	}
	before := h.replicatedVersion(source, hubs)
	s.held[source] = version
	if h.replicatedVersion(source, hubs) > before {
		h.announceReplicated(source)
	}
}

// announceReplicated wakes who waits for the replicated version of a source.
func (h *Hub) announceReplicated(source string) {
	if source == h.set.OwnSource() {
		h.wake()
		return
	}
	for s := range h.sessions {
		if s.core || s.source != source {
			continue
		}
		select {
		case s.replicatedChanged <- struct{}{}:
		default: // it is about to look
		}
	}
}

// acknowledge returns the versions held of the sources of which a peer sent deltas.
func (h *Hub) acknowledge(s *session) deltasync.Vector {
	if len(s.unacked) == 0 {
		return nil
	}
	held := make(deltasync.Vector, len(s.unacked))
	for source := range s.unacked {
		if version := h.set.Version(source); version > 0 {
			held[source] = version
		}
	}
	clear(s.unacked)
	return held
}

// replicatedVersion is the newest version of a source that a majority of the core is known to hold;
// 0 if no core is known.
func (h *Hub) replicatedVersion(source string, hubs []Peer) uint64 {
	if len(hubs) == 0 {
		return 0
	}
	versions := make([]uint64, 0, len(hubs))
	for _, hub := range hubs {
		versions = append(versions, h.heldBy(hub.Addr, source))
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	return versions[len(versions)/2] // so many more hold it, too
}

// heldBy is the version of a source that a machine of the core is known to hold.
func (h *Hub) heldBy(addr, source string) uint64 {
	if addr == h.o.Self.Addr {
		return h.set.Version(source)
	}
	version := uint64(0)
	for s := range h.sessions {
		if s.core && s.peer == addr {
			version = max(version, s.held[source])
		}
	}
	return version
}

// awaitReplicated waits until a majority of the core holds all that a life of this agent had
// announced up to a version.
func (h *Hub) awaitReplicated(ctx context.Context, life string, version uint64) bool {
	return h.await(ctx, life, version, func(version uint64, core bool, hubs []Peer) bool {
		if core && h.replicatedVersion(h.set.OwnSource(), hubs) >= version {
			return true
		}
		for s := range h.sessions {
			if s.core && s.replicated >= version {
				return true
			}
		}
		return false
	})
}

// awaitReceived waits until another machine of the core has it. A core of one machine has no other.
func (h *Hub) awaitReceived(ctx context.Context, life string, version uint64) bool {
	return h.await(ctx, life, version, func(version uint64, core bool, hubs []Peer) bool {
		if core && len(hubs) <= 1 {
			return true
		}
		for s := range h.sessions {
			if s.core && s.got >= version {
				return true
			}
		}
		return false
	})
}

// await looks at each change, with the lock held, whether a version is where it has to be. A new
// life of this agent goes on with all that the old one had announced.
func (h *Hub) await(ctx context.Context, life string, version uint64, arrived func(version uint64, core bool, hubs []Peer) bool) bool {
	for {
		core, hubs := h.o.Core.IsCore(), h.o.Core.Hubs()
		h.mu.Lock()
		if h.set.OwnSource() != life {
			life, version = h.set.OwnSource(), h.set.OwnVersion()
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
