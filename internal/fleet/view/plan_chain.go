package view

import (
	"slices"
	"time"
)

// fault is the reason to remove a member from the chain.
type fault struct {
	member  string
	cause   string
	delay   time.Duration
	leaving bool // the member still works
}

// findFaults returns the members that block updates, head first.
func (p *planner) findFaults() (faults []fault) {
	for position, member := range p.view.Chain {
		h, known := p.health[member.ID]
		switch {
		case p.lostDisk(member.ID):
			faults = append(faults, fault{member: member.ID, cause: "its disk was lost"})
		case !known || h.SinceContact >= p.policy.FailAfter:
			faults = append(faults, fault{member: member.ID, cause: "there is no contact with it"})
		case h.DiskUnhealthy:
			faults = append(faults, fault{member: member.ID, cause: "its disk is unhealthy"})
		case h.Leaving:
			faults = append(faults, fault{member: member.ID, cause: "it is shutting down", leaving: true})
		case p.isPartitioned(position):
			faults = append(faults, fault{member: member.ID, cause: "its predecessor can't reach it", delay: p.policy.StableAfter})
		}
	}
	return faults
}

// isPartitioned reports whether a member's predecessor has no contact with it. What a peer reports of
// others is as old as its last message, and incomplete shortly after its start.
func (p *planner) isPartitioned(position int) bool {
	if position == 0 || !p.isStable(p.view.Chain[position].ID) {
		return false
	}
	predecessor := p.view.Chain[position-1].ID
	return p.isStable(predecessor) && p.health[predecessor].Uptime >= 2*p.policy.FailAfter &&
		!p.isConnected(predecessor, p.view.Chain[position].ID)
}

// isConnected reports whether a peer is in contact with another one, as it reports itself.
func (p *planner) isConnected(id, other string) bool {
	return slices.Contains(p.health[id].ConnectedTo, other)
}

// removeFaultyMember is the step that removes the first faulty member without which the remaining
// complete members still have the required spread.
func (p *planner) removeFaultyMember(faults []fault) (Step, bool) {
	for _, faulty := range faults {
		next := p.view.RemoveMember(faulty.member)
		if len(next.Chain) == 0 || !p.health[next.Chain[0].ID].Complete {
			continue
		}
		remaining := p.members(func(id string) bool {
			return id != faulty.member && p.isUsable(id) && p.health[id].Complete
		})
		if SpreadOf(remaining).Covers(p.requiredSpreadWithout(faulty)) {
			reason := "remove " + faulty.member + " from the chain: " + faulty.cause
			return Step{Kind: MemberRemoval, View: &next, Reason: reason, Urgent: true, Delay: faulty.delay}, true
		}
	}
	return Step{}, false
}

// requiredSpreadWithout returns the spread that the complete replicas must have once a member is
// removed: the required spread of the remaining voters, and more where other machines can hold
// replicas right now. If the member still works, these include the peers that can be made voters.
func (p *planner) requiredSpreadWithout(faulty fault) Spread {
	tolerance := p.policy.Tolerance
	voters := filterPeers(p.voters(), func(voter Peer) bool { return !faulty.leaving || voter.ID != faulty.member })
	required := View{Voters: voters}.RequiredSpread(tolerance)
	replicas := p.members(func(id string) bool { return id != faulty.member && p.isUsable(id) })
	replicas = append(replicas, p.appendable()...)
	if faulty.leaving {
		replicas = append(replicas, selectVoters(p.voters(), p.candidates(), tolerance, true)...)
	}
	possible := SpreadOf(replicas)
	required.Machines = max(required.Machines, min(tolerance.Machines+1, possible.Machines))
	required.Zones = max(required.Zones, min(tolerance.Zones+1, possible.Zones))
	required.Regions = max(required.Regions, min(tolerance.Regions+1, possible.Regions))
	return required
}

// appendable returns the voters outside of the chain that are in contact with all of its healthy
// members.
func (p *planner) appendable() []Peer {
	return filterPeers(p.voters(), func(voter Peer) bool {
		if p.view.Position(voter.ID) >= 0 || !p.isStable(voter.ID) {
			return false
		}
		return !slices.ContainsFunc(p.view.Chain, func(member Member) bool {
			return p.isUsable(member.ID) && !(p.isConnected(member.ID, voter.ID) && p.isConnected(voter.ID, member.ID))
		})
	})
}

// appendMember is the step that adds a voter to the chain, from the region and then the zone with
// the fewest members. One voter joins at a time: it waits until all healthy members are complete.
func (p *planner) appendMember(purpose string, urgent bool) (Step, bool) {
	healthy := p.members(p.isUsable)
	if slices.ContainsFunc(healthy, func(member Peer) bool { return !p.health[member.ID].Complete }) {
		return Step{}, false
	}
	appendable := p.appendable()
	if len(appendable) == 0 {
		return Step{}, false
	}
	id := appendable[leastLoaded(p.allMembers(), appendable, p.policy.Tolerance.Regions > 0)].ID
	next := p.view.AppendMember(id)
	return Step{Kind: MemberAddition, View: &next, Reason: "add " + id + " " + purpose, Urgent: urgent}, true
}

// chainIsShort reports whether the chain has to grow: in length, or to zones and regions in which it
// has no member.
func (p *planner) chainIsShort() bool {
	tolerance := p.policy.Tolerance
	switch {
	case len(p.view.Chain) == len(p.view.Voters):
		return false
	case len(p.view.Chain) < MaxChainLength(tolerance):
		return true
	case tolerance.Zones == 0 && tolerance.Regions == 0:
		return false
	}
	present := SpreadOf(p.allMembers())
	if present.Zones > tolerance.Zones && present.Regions > tolerance.Regions {
		return false
	}
	possible := SpreadOf(append(p.members(p.isUsable), p.appendable()...))
	return present.Zones < min(tolerance.Zones+1, possible.Zones) || present.Regions < min(tolerance.Regions+1, possible.Regions)
}
