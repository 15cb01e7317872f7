package relay

// isCompleteLocked tells whether this process has had all that a hub knows, and was not cut off from the core
// since.
func (h *Node) isCompleteLocked() bool { return h.synced && !h.stale }

// awaitingInitialSyncLocked tells whether a machine of the core is still sending its first deltas.
func (h *Node) awaitingInitialSyncLocked() bool {
	for s := range h.sessions {
		if s.peerIsCore && !s.completenessKnown {
			return true
		}
	}
	return false
}

// wholeCoreUnsyncedLocked tells whether all other machines of the core are here, and none of them knows all either:
// then there is nobody who does.
func (h *Node) wholeCoreUnsyncedLocked(hubs []Peer) bool {
	full := map[string]bool{}
	for s := range h.sessions {
		if s.completenessKnown {
			full[s.peerAddr] = full[s.peerAddr] || s.peerComplete
		}
	}
	for _, p := range hubs {
		if known, ok := full[p.Addr]; p.Addr != h.options.Self.Addr && (!ok || known) {
			return false
		}
	}
	return true
}
