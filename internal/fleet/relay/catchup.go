package relay

// hasAll tells whether this process has had all that a hub knows, and was not cut off from the core
// since.
func (h *Hub) hasAll() bool { return h.synced && !h.behind }

// awaitingDeltas tells whether a machine of the core is still sending its first deltas.
func (h *Hub) awaitingDeltas() bool {
	for s := range h.sessions {
		if s.core && !s.reportedFull {
			return true
		}
	}
	return false
}

// alone tells whether all other machines of the core are here, and none of them knows all either:
// then there is nobody who does.
func (h *Hub) alone(hubs []Peer) bool {
	full := map[string]bool{}
	for s := range h.sessions {
		if s.reportedFull {
			full[s.peer] = full[s.peer] || s.full
		}
	}
	for _, p := range hubs {
		if known, ok := full[p.Addr]; p.Addr != h.o.Self.Addr && (!ok || known) {
			return false
		}
	}
	return true
}
