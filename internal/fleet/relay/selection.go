package relay

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// returnAfter is how long an agent stays with a hub of another zone before it tries those of its
	// own, and between two tries; up to returnJitter is added, so that agents that lost the same hub
	// don't come back to it at once.
	returnAfter, returnJitter = 2 * time.Second, 4 * time.Second
	// trialFor is how long a hub that ranks above the present one has to give all that it knows.
	trialFor = 5 * time.Second
)

// bestSession is the session that an agent goes by: one with a linked hub, of those one that has
// given everything, of those the first in the order. Without one, sound tells whether a hub has been
// unlinked only for a moment.
func (h *Hub) bestSession(order []string, now time.Duration) (best *session, sound bool) {
	for s := range h.sessions {
		if !s.dialed || !s.core {
			continue
		}
		sound = sound || s.linked || now-s.since < unlinkedFor
		if s.linked && (best == nil || s.betterThan(best, order)) {
			best = s
		}
	}
	return best, sound
}

func (s *session) betterThan(other *session, order []string) bool {
	if s.full != other.full {
		return s.full
	}
	return rank(order, s.peer) < rank(order, other.peer)
}

// endOthers ends the sessions beside the best one, but for those on trial.
func (h *Hub) endOthers(best *session, order []string, now time.Duration) {
	for s := range h.sessions {
		if s.dialed && s != best && !s.onTrial(best, order, now) {
			s.cancel()
		}
	}
}

// onTrial tells whether a session that ranks above the best may still become it.
func (s *session) onTrial(best *session, order []string, now time.Duration) bool {
	if rank(order, s.peer) >= rank(order, best.peer) {
		return false
	}
	age := now - s.begun
	return age < helloWithin || s.linked && age < trialFor
}

// wantedOfOwnZone are the hubs of the own zone, now and then while the best one is of another. The
// session with that one lasts until one of them has given everything.
func (h *Hub) wantedOfOwnZone(best *session, peers []Peer, have map[string]bool, now time.Duration) (addrs []string) {
	for _, p := range peers {
		if p.Zone != h.o.Self.Zone {
			continue
		}
		if p.Addr == best.peer {
			h.returnAt = 0
			return nil
		}
		if !have[p.Addr] {
			addrs = append(addrs, p.Addr)
		}
	}
	due := h.returnAt > 0 && now >= h.returnAt
	if h.returnAt == 0 || due {
		h.returnAt = now + returnAfter + rand.N(returnJitter)
	}
	if !due {
		return nil
	}
	return addrs
}

// wanted are the addresses that this agent should have a session with and has not. Sessions that
// it began and should not have it ends.
func (h *Hub) wanted(turn int) []string {
	peers, core := h.o.Core.Hubs(), h.o.Core.IsCore()
	h.mu.Lock()
	defer h.mu.Unlock()
	have := map[string]bool{}
	for s := range h.sessions {
		have[s.peer] = true
	}
	if core {
		return h.wantedOfCore(peers, have)
	}
	order, now := h.order(slices.Clone(peers)), h.now()
	best, sound := h.bestSession(order, now)
	if best != nil {
		h.endOthers(best, order, now)
		return h.wantedOfOwnZone(best, peers, have, now)
	}
	if sound {
		return nil
	}
	list, next := order, turn-turn/4
	if more := append(slices.Clone(h.o.Seeds()), h.redirects...); len(list) == 0 {
		list, next = more, turn
	} else if turn%4 == 3 && len(more) > 0 {
		list, next = more, turn/4
	}
	for range list {
		if a := list[next%len(list)]; !have[a] && a != h.o.Self.Addr {
			return []string{a}
		}
		next++
	}
	return nil
}

// wantedOfCore: the machine with the lower address begins the session.
func (h *Hub) wantedOfCore(peers []Peer, have map[string]bool) (out []string) {
	for _, p := range peers {
		if p.Addr > h.o.Self.Addr && !have[p.Addr] {
			out = append(out, p.Addr)
		}
	}
	for s := range h.sessions {
		if s.dialed && len(peers) > 0 && !slices.ContainsFunc(peers, func(p Peer) bool { return p.Addr == s.peer }) {
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

// order ranks hubs for an agent: those of its zone first, then spread by hash.
func (h *Hub) order(peers []Peer) []string {
	rank := func(p Peer) uint32 {
		f := fnv.New32a()
		f.Write([]byte(h.o.Self.Addr + "|" + p.Addr))
		x := f.Sum32() >> 1
		if p.Zone != h.o.Self.Zone {
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

func (h *Hub) hubs() []Peer {
	peers := h.o.Core.Hubs()
	if len(peers) == 0 {
		for _, m := range h.Others(true) {
			peers = append(peers, Peer{m.Addr, m.Zone})
		}
	}
	return peers
}
