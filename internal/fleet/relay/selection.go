package relay

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// homeZoneRetryInterval is how long an agent stays with a hub of another zone before it tries those of its
	// own, and between two tries; up to homeZoneRetryJitter is added, so that agents that lost the same hub
	// don't come back to it at once.
	homeZoneRetryInterval, homeZoneRetryJitter = 2 * time.Second, 4 * time.Second
	// probationPeriod is how long a hub that ranks above the present one has to give all that it knows.
	probationPeriod = 5 * time.Second
)

// preferredSessionLocked is the session that an agent goes by: one with a linked hub, of those one that has
// given everything, of those the first in the order. Without one, sound tells whether a hub has been
// unlinked only for a moment.
func (h *Node) preferredSessionLocked(order []string, now time.Duration) (best *session, sound bool) {
	for s := range h.sessions {
		if !s.outbound || !s.peerIsCore {
			continue
		}
		sound = sound || s.peerHasQuorum || now-s.lastQuorum < quorumLossTolerance
		if s.peerHasQuorum && (best == nil || s.preferredOver(best, order)) {
			best = s
		}
	}
	return best, sound
}

func (s *session) preferredOver(other *session, order []string) bool {
	if s.peerComplete != other.peerComplete {
		return s.peerComplete
	}
	return rank(order, s.peerAddr) < rank(order, other.peerAddr)
}

// closeOtherSessionsLocked ends the sessions beside the best one, but for those on trial.
func (h *Node) closeOtherSessionsLocked(best *session, order []string, now time.Duration) {
	for s := range h.sessions {
		if s.outbound && s != best && !s.onProbation(best, order, now) {
			s.cancel()
		}
	}
}

// onProbation tells whether a session that ranks above the best may still become it.
func (s *session) onProbation(best *session, order []string, now time.Duration) bool {
	if rank(order, s.peerAddr) >= rank(order, best.peerAddr) {
		return false
	}
	age := now - s.started
	return age < helloTimeout || s.peerHasQuorum && age < probationPeriod
}

// homeZoneTargetsLocked are the hubs of the own zone, now and then while the best one is of another. The
// session with that one lasts until one of them has given everything.
func (h *Node) homeZoneTargetsLocked(best *session, peers []Peer, have map[string]bool, now time.Duration) (addrs []string) {
	for _, p := range peers {
		if p.Zone != h.options.Self.Zone {
			continue
		}
		if p.Addr == best.peerAddr {
			h.nextHomeZoneAttempt = 0
			return nil
		}
		if !have[p.Addr] {
			addrs = append(addrs, p.Addr)
		}
	}
	due := h.nextHomeZoneAttempt > 0 && now >= h.nextHomeZoneAttempt
	if h.nextHomeZoneAttempt == 0 || due {
		h.nextHomeZoneAttempt = now + homeZoneRetryInterval + rand.N(homeZoneRetryJitter)
	}
	if !due {
		return nil
	}
	return addrs
}

// dialTargets are the addresses that this agent should have a session with and has not. Sessions that
// it began and should not have it ends.
func (h *Node) dialTargets(turn int) []string {
	peers, core := h.options.Core.Members(), h.options.Core.IsMember()
	h.mu.Lock()
	defer h.mu.Unlock()
	have := map[string]bool{}
	for s := range h.sessions {
		have[s.peerAddr] = true
	}
	if core {
		return h.coreDialTargetsLocked(peers, have)
	}
	order, now := h.preferenceOrder(slices.Clone(peers)), h.now()
	best, sound := h.preferredSessionLocked(order, now)
	if best != nil {
		h.closeOtherSessionsLocked(best, order, now)
		return h.homeZoneTargetsLocked(best, peers, have, now)
	}
	if sound {
		return nil
	}
	list, next := order, turn-turn/4
	if more := append(slices.Clone(h.options.SeedAddrs()), h.redirectAddrs...); len(list) == 0 {
		list, next = more, turn
	} else if turn%4 == 3 && len(more) > 0 {
		list, next = more, turn/4
	}
	for range list {
		if a := list[next%len(list)]; !have[a] && a != h.options.Self.Addr {
			return []string{a}
		}
		next++
	}
	return nil
}

// coreDialTargetsLocked: the machine with the lower address begins the session.
func (h *Node) coreDialTargetsLocked(peers []Peer, have map[string]bool) (out []string) {
	for _, p := range peers {
		if p.Addr > h.options.Self.Addr && !have[p.Addr] {
			out = append(out, p.Addr)
		}
	}
	for s := range h.sessions {
		if s.outbound && len(peers) > 0 && !slices.ContainsFunc(peers, func(p Peer) bool { return p.Addr == s.peerAddr }) {
			s.cancel() // it is none of the core any more
		}
	}
	return out
}

// rank is the place in an order, the one behind it for what is not in it.
func rank(order []string, addr string) int {
	if i := slices.Index(order, addr); i >= 0 {
		return i
	}
	return len(order)
}

// preferenceOrder ranks hubs for an agent: those of its zone first, then spread by hash.
func (h *Node) preferenceOrder(peers []Peer) []string {
	rank := func(p Peer) uint32 {
		f := fnv.New32a()
		f.Write([]byte(h.options.Self.Addr + "|" + p.Addr))
		x := f.Sum32() >> 1
		if p.Zone != h.options.Self.Zone {
			x |= 1 << 31
		}
		return x
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(rank(a), rank(b)) })
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.Addr
	}
	return out
}

func (h *Node) knownCoreMembers() []Peer {
	peers := h.options.Core.Members()
	if len(peers) == 0 {
		for _, m := range h.OtherMembers(true) {
			peers = append(peers, Peer{m.Addr, m.Zone})
		}
	}
	return peers
}
