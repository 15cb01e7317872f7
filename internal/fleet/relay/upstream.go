package relay

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// quorumLossTolerance is how long a relay may be without a quorum before its agents try other relays.
	quorumLossTolerance = 400 * time.Millisecond
	// homeZoneRetryInterval is how long an agent stays with a relay of another zone before it tries the
	// relays of its own zone, and the pause between two such attempts.
	homeZoneRetryInterval = 2 * time.Second
	// homeZoneRetryJitter is the maximum random time that is added to homeZoneRetryInterval, so that
	// agents that lost the same relay do not all return to it at once.
	homeZoneRetryJitter = 4 * time.Second
	// probationPeriod is how long a relay that ranks above the preferred one has to become complete.
	probationPeriod = 5 * time.Second
	// seedAttemptPeriod is the period, in attempts, at which a seed or a redirect address is dialed instead
	// of a known relay.
	seedAttemptPeriod = 4
	// otherZoneRank is added to the rank of relays of other zones.
	otherZoneRank = 1 << 31
)

// upstreamSelector is the state by which an agent chooses its relay.
type upstreamSelector struct {
	redirectAddrs       []string      // relays named in the last redirect
	nextHomeZoneAttempt time.Duration // when to try the relays of the agent's own zone; 0 if it needs none
}

// dialTargets returns the addresses that this node should dial. Core members have sessions with each
// other, and of each two the one with the lower address dials. Any other agent has one session, with its
// preferred relay. attempt is the number of calls since the last one that returned no address. dialTargets
// also closes sessions that this node dialed and should no longer have.
func (n *Node) dialTargets(attempt int) []string {
	members, isMember := n.options.Core.Members(), n.options.Core.IsMember()
	n.mu.Lock()
	defer n.mu.Unlock()
	connectedAddrs := n.sessions.addrs()
	if isMember {
		n.sessions.closeFormerMembers(members)
		return coreDialTargets(n.options.Self.Addr, members, connectedAddrs)
	}
	order, now := preferenceOrder(&n.options.Self, members), n.now()
	preferredSession, hasAcceptable := n.sessions.selectPreferred(order, now)
	if preferredSession != nil {
		n.sessions.closeOthers(preferredSession, order, now)
		return n.upstream.homeZoneTargets(preferredSession, n.options.Self.Zone, members, connectedAddrs, now)
	}
	if hasAcceptable {
		return nil
	}
	fallbackAddrs := append(slices.Clone(n.options.SeedAddrs()), n.upstream.redirectAddrs...)
	connectedAddrs[n.options.Self.Addr] = true // this node does not dial itself
	return nextDialTarget(order, fallbackAddrs, connectedAddrs, attempt)
}

// coreDialTargets returns the addresses that the member of the core at selfAddr should dial.
func coreDialTargets(selfAddr string, members []Peer, connectedAddrs map[string]bool) (addrs []string) {
	for _, member := range members {
		if member.Addr > selfAddr && !connectedAddrs[member.Addr] {
			addrs = append(addrs, member.Addr)
		}
	}
	return addrs
}

// closeFormerMembers closes the sessions that this node dialed to agents that are no longer members of the
// core. If no member is known, it closes none.
func (set sessionSet) closeFormerMembers(members []Peer) {
	for s := range set {
		isPeer := func(member Peer) bool { return member.Addr == s.peerAddr }
		if s.outbound && len(members) > 0 && !slices.ContainsFunc(members, isPeer) {
			s.cancel()
		}
	}
}

// nextDialTarget returns the one address that an agent without a relay should try, or none. It rotates
// through the known relays in the given order; every seedAttemptPeriod-th attempt goes to a fallback
// address. If no relay is known, all attempts go to fallback addresses.
func nextDialTarget(order, fallbackAddrs []string, excludedAddrs map[string]bool, attempt int) []string {
	candidates, index := order, attempt-attempt/seedAttemptPeriod
	if len(candidates) == 0 {
		candidates, index = fallbackAddrs, attempt
	} else if attempt%seedAttemptPeriod == seedAttemptPeriod-1 && len(fallbackAddrs) > 0 {
		candidates, index = fallbackAddrs, attempt/seedAttemptPeriod
	}
	for range candidates {
		if addr := candidates[index%len(candidates)]; !excludedAddrs[addr] {
			return []string{addr}
		}
		index++
	}
	return nil
}

// homeZoneTargets returns, at intervals, the relays of the agent's own zone to dial while the preferred
// relay is in another zone. The session with the preferred relay stays open until one of them is complete.
func (u *upstreamSelector) homeZoneTargets(preferredSession *session, zone string, members []Peer, connectedAddrs map[string]bool, now time.Duration) (addrs []string) {
	for _, member := range members {
		if member.Zone != zone {
			continue
		}
		if member.Addr == preferredSession.peerAddr {
			u.nextHomeZoneAttempt = 0
			return nil
		}
		if !connectedAddrs[member.Addr] {
			addrs = append(addrs, member.Addr)
		}
	}
	isDue := u.nextHomeZoneAttempt > 0 && now >= u.nextHomeZoneAttempt
	if u.nextHomeZoneAttempt == 0 || isDue {
		u.nextHomeZoneAttempt = now + homeZoneRetryInterval + rand.N(homeZoneRetryJitter)
	}
	if !isDue {
		return nil
	}
	return addrs
}

// selectPreferred returns the best session that the agent dialed to a relay with a quorum, or nil if there is
// none. Sessions with complete relays are better, then those that come first in order. hasAcceptable reports
// whether any dialed relay has a quorum or lost it less than quorumLossTolerance ago.
func (set sessionSet) selectPreferred(order []string, now time.Duration) (bestSession *session, hasAcceptable bool) {
	for s := range set {
		if !s.outbound || !s.peerIsCore {
			continue
		}
		hasAcceptable = hasAcceptable || s.peerHasQuorum || now-s.lastQuorum < quorumLossTolerance
		if s.peerHasQuorum && (bestSession == nil || s.preferredOver(bestSession, order)) {
			bestSession = s
		}
	}
	return bestSession, hasAcceptable
}

// preferredOver reports whether a session is preferred over another one. The relays of both have a quorum.
func (s *session) preferredOver(other *session, order []string) bool {
	if s.peerComplete != other.peerComplete {
		return s.peerComplete
	}
	return rank(order, s.peerAddr) < rank(order, other.peerAddr)
}

// closeOthers closes all dialed sessions except the preferred one and those on probation.
func (set sessionSet) closeOthers(preferredSession *session, order []string, now time.Duration) {
	for s := range set {
		if s.outbound && s != preferredSession && !s.onProbation(preferredSession, order, now) {
			s.cancel()
		}
	}
}

// onProbation reports whether a session whose relay ranks above the preferred one's may still replace it.
func (s *session) onProbation(preferredSession *session, order []string, now time.Duration) bool {
	if rank(order, s.peerAddr) >= rank(order, preferredSession.peerAddr) {
		return false
	}
	age := now - s.startTime
	return age < helloTimeout || s.peerHasQuorum && age < probationPeriod
}

// rank returns the position of an address in an order, or the order's length if it is missing.
func rank(order []string, addr string) int {
	if i := slices.Index(order, addr); i >= 0 {
		return i
	}
	return len(order)
}

// RelayAddr returns the address of the relay that this agent prefers among those that it has a session with and
// that have a quorum; empty if there is none, and on a member of the core.
func (n *Node) RelayAddr() string {
	members, isMember := n.options.Core.Members(), n.options.Core.IsMember()
	n.mu.Lock()
	defer n.mu.Unlock()
	if isMember {
		return ""
	}
	preferred, _ := n.sessions.selectPreferred(preferenceOrder(&n.options.Self, members), n.now())
	if preferred == nil {
		return ""
	}
	return preferred.peerAddr
}

// PreferredMembers returns the addresses of the members of the core in this agent's order of preference:
// members in its own zone come first. A hash orders each group, differently for each agent.
func (n *Node) PreferredMembers() []string {
	return preferenceOrder(&n.options.Self, n.options.Core.Members())
}

// PreferredAgents returns the addresses of the other agents in this agent's order of preference. Its
// running time grows with the number of agents.
func (n *Node) PreferredAgents() []string {
	var agents []Peer
	for _, member := range n.OtherMembers(false) {
		agents = append(agents, Peer{Addr: member.Addr, Zone: member.Zone})
	}
	return preferenceOrder(&n.options.Self, agents)
}

// preferenceOrder returns the addresses of members in an agent's order of preference: members in its own
// zone come first. A hash orders each group, so that the agents' first choices are spread evenly.
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
	sortedMembers := slices.Clone(members)
	slices.SortFunc(sortedMembers, func(a, b Peer) int { return cmp.Compare(rankOf(a), rankOf(b)) })
	addrs := make([]string, len(sortedMembers))
	for i, member := range sortedMembers {
		addrs[i] = member.Addr
	}
	return addrs
}
