package relay

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// quorumLossTolerance is how long a relay may be without a quorum before its agents try others.
	quorumLossTolerance = 400 * time.Millisecond
	// homeZoneRetryInterval is how long an agent stays with a relay of another zone before it tries
	// those of its own, and the pause between two such attempts. Up to homeZoneRetryJitter is added, so
	// that agents that lost the same relay do not return to it all at once.
	homeZoneRetryInterval = 2 * time.Second
	homeZoneRetryJitter   = 4 * time.Second
	// probationPeriod is how long a relay that ranks above the present one has to become complete.
	probationPeriod = 5 * time.Second
	// seedAttemptPeriod: every so many attempts one goes to a seed or a redirect, not to a known relay.
	seedAttemptPeriod = 4
	// otherZoneRank is added to the rank of relays of other zones.
	otherZoneRank = 1 << 31
)

// upstreamSelector is what an agent has to remember to choose its relay.
type upstreamSelector struct {
	redirectAddrs       []string      // relays that other agents named
	nextHomeZoneAttempt time.Duration // when to try the relays of the own zone; 0: there is no need
}

// dialTargets returns the addresses that this node should begin a session with. A core member has
// sessions with all others, of which the one with the lower address begins. Another agent has one,
// with its preferred relay. attempt counts the calls since there was last nothing to dial. Sessions
// that this node began and that it should no longer have are closed.
func (n *Node) dialTargets(attempt int) []string {
	members, isMember := n.options.Core.Members(), n.options.Core.IsMember()
	n.mu.Lock()
	defer n.mu.Unlock()
	connected := n.sessions.addrs()
	if isMember {
		n.sessions.closeFormerMembers(members)
		return coreDialTargets(n.options.Self.Addr, members, connected)
	}
	order, now := preferenceOrder(&n.options.Self, members), n.now()
	preferred, acceptable := n.sessions.preferred(order, now)
	if preferred != nil {
		n.sessions.closeOthers(preferred, order, now)
		return n.upstream.homeZoneTargets(preferred, n.options.Self.Zone, members, connected, now)
	}
	if acceptable {
		return nil
	}
	fallback := append(slices.Clone(n.options.SeedAddrs()), n.upstream.redirectAddrs...)
	connected[n.options.Self.Addr] = true // it is no target either
	return nextDialTarget(order, fallback, connected, attempt)
}

// coreDialTargets returns the members of the core that the one at an address should dial.
func coreDialTargets(selfAddr string, members []Peer, connected map[string]bool) (addrs []string) {
	for _, member := range members {
		if member.Addr > selfAddr && !connected[member.Addr] {
			addrs = append(addrs, member.Addr)
		}
	}
	return addrs
}

// closeFormerMembers closes the sessions that were dialed to agents which are no members of the core
// any more. Without any known member it closes none.
func (set sessionSet) closeFormerMembers(members []Peer) {
	for s := range set {
		isPeer := func(member Peer) bool { return member.Addr == s.peerAddr }
		if s.outbound && len(members) > 0 && !slices.ContainsFunc(members, isPeer) {
			s.cancel()
		}
	}
}

// nextDialTarget returns the one address for an agent without a relay to try: the known relays in
// turn by order, and every so often one of the fallback addresses; only those if no relay is known.
func nextDialTarget(order, fallback []string, excluded map[string]bool, attempt int) []string {
	candidates, next := order, attempt-attempt/seedAttemptPeriod
	if len(candidates) == 0 {
		candidates, next = fallback, attempt
	} else if attempt%seedAttemptPeriod == seedAttemptPeriod-1 && len(fallback) > 0 {
		candidates, next = fallback, attempt/seedAttemptPeriod
	}
	for range candidates {
		if addr := candidates[next%len(candidates)]; !excluded[addr] {
			return []string{addr}
		}
		next++
	}
	return nil
}

// homeZoneTargets returns the relays of the own zone, every now and then while the preferred one is
// of another zone. The session with that one lasts until one of them is complete.
func (u *upstreamSelector) homeZoneTargets(preferred *session, zone string, members []Peer, connected map[string]bool, now time.Duration) (addrs []string) {
	for _, member := range members {
		if member.Zone != zone {
			continue
		}
		if member.Addr == preferred.peerAddr {
			u.nextHomeZoneAttempt = 0
			return nil
		}
		if !connected[member.Addr] {
			addrs = append(addrs, member.Addr)
		}
	}
	due := u.nextHomeZoneAttempt > 0 && now >= u.nextHomeZoneAttempt
	if u.nextHomeZoneAttempt == 0 || due {
		u.nextHomeZoneAttempt = now + homeZoneRetryInterval + rand.N(homeZoneRetryJitter)
	}
	if !due {
		return nil
	}
	return addrs
}

// preferred returns the session that an agent relies on: one with a relay that has a quorum, of those
// a complete one, of those the first by order. Without one, acceptable reports whether some relay has
// been without a quorum only for a moment.
func (set sessionSet) preferred(order []string, now time.Duration) (best *session, acceptable bool) {
	for s := range set {
		if !s.outbound || !s.peerIsCore {
			continue
		}
		acceptable = acceptable || s.peerHasQuorum || now-s.lastQuorum < quorumLossTolerance
		if s.peerHasQuorum && (best == nil || s.preferredOver(best, order)) {
			best = s
		}
	}
	return best, acceptable
}

// preferredOver reports whether a session is preferred over another, both with relays that have a
// quorum.
func (s *session) preferredOver(other *session, order []string) bool {
	if s.peerComplete != other.peerComplete {
		return s.peerComplete
	}
	return rank(order, s.peerAddr) < rank(order, other.peerAddr)
}

// closeOthers closes the dialed sessions beside the preferred one, but for those on probation.
func (set sessionSet) closeOthers(preferred *session, order []string, now time.Duration) {
	for s := range set {
		if s.outbound && s != preferred && !s.onProbation(preferred, order, now) {
			s.cancel()
		}
	}
}

// onProbation reports whether a session that ranks above the preferred one may still become it.
func (s *session) onProbation(preferred *session, order []string, now time.Duration) bool {
	if rank(order, s.peerAddr) >= rank(order, preferred.peerAddr) {
		return false
	}
	age := now - s.started
	return age < helloTimeout || s.peerHasQuorum && age < probationPeriod
}

// rank is the position of an address in an order, or the one after its end.
func rank(order []string, addr string) int {
	if i := slices.Index(order, addr); i >= 0 {
		return i
	}
	return len(order)
}

// PreferredMembers returns the addresses of the members of the core in this agent's order of preference:
// those of its zone first, each group spread over the agents by a hash.
func (n *Node) PreferredMembers() []string {
	return preferenceOrder(&n.options.Self, n.options.Core.Members())
}

// PreferredAgents returns the addresses of the other agents in this agent's order of preference. It takes
// time in proportion to their number.
func (n *Node) PreferredAgents() []string {
	var agents []Peer
	for _, member := range n.OtherMembers(false) {
		agents = append(agents, Peer{Addr: member.Addr, Zone: member.Zone})
	}
	return preferenceOrder(&n.options.Self, agents)
}

// preferenceOrder orders the addresses of relays for an agent: those of its zone first, each group
// by a hash, so that the agents spread evenly.
func preferenceOrder(self *Member, members []Peer) []string {
	rankOf := func(member Peer) uint32 {
		hash := fnv.New32a()
		hash.Write([]byte(self.Addr + "|" + member.Addr))
		position := hash.Sum32() >> 1
		if member.Zone != self.Zone {
			position |= otherZoneRank
		}
		return position
	}
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Peer) int { return cmp.Compare(rankOf(a), rankOf(b)) })
	addrs := make([]string, len(ordered))
	for i, member := range ordered {
		addrs[i] = member.Addr
	}
	return addrs
}
