package hub

import (
	"math/rand/v2"
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
