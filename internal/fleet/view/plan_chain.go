package view

import (
	"slices"
	"time"
)

// memberFault is a reason to remove a member from the chain.
type memberFault struct {
	memberID string
	cause    string        // stated in Step.Reason
	delay    time.Duration // Step.Delay of the removal
	leaving  bool          // the member is shutting down but still works
}

// findFaults returns the faults of the members that block updates or are about to leave, head first.
func (p *planner) findFaults() (faults []memberFault) {
	for position, member := range p.view.Chain {
		h, known := p.health[member.ID]
		switch {
		case p.lostDisk(member.ID):
			faults = append(faults, memberFault{memberID: member.ID, cause: "its disk was lost"})
		case !known || h.SinceContact >= p.policy.FailAfter:
			faults = append(faults, memberFault{memberID: member.ID, cause: "there is no contact with it"})
		case h.DiskUnhealthy:
			faults = append(faults, memberFault{memberID: member.ID, cause: "its disk is unhealthy"})
		case h.Leaving:
			faults = append(faults, memberFault{memberID: member.ID, cause: "it is shutting down", leaving: true})
		case p.isPartitioned(position):
			faults = append(faults, memberFault{
				memberID: member.ID, cause: "its predecessor can't reach it", delay: p.policy.StableAfter,
			})
		}
	}
	return faults
}

// isPartitioned reports whether a member's predecessor has no contact with it. Both have to be stable,
// and the predecessor must have run for a while: a peer's report about others is as old as its last
// message, and incomplete shortly after its start.
func (p *planner) isPartitioned(position int) bool {
	if position == 0 || !p.isStable(p.view.Chain[position].ID) {
		return false
	}
	predecessor := p.view.Chain[position-1].ID
	return p.isStable(predecessor) && p.health[predecessor].Uptime >= 2*p.policy.FailAfter &&
		!p.isConnected(predecessor, p.view.Chain[position].ID)
}

// isConnected reports whether a peer has reported that it is in contact with another one.
func (p *planner) isConnected(id, other string) bool {
	return slices.Contains(p.health[id].ConnectedTo, other)
}

// removeFaultyMember returns the step that removes the first faulty member that can be removed: the
// remaining complete members must have the required spread, and the next head must be complete.
func (p *planner) removeFaultyMember(faults []memberFault) (Step, bool) {
	for _, fault := range faults {
		next := p.view.RemoveMember(fault.memberID)
		if len(next.Chain) == 0 || !p.health[next.Chain[0].ID].Complete {
			continue
		}
		remaining := p.members(func(id string) bool {
			return id != fault.memberID && p.isUsable(id) && p.health[id].Complete
		})
		if SpreadOf(remaining).Covers(p.requiredSpreadWithout(fault)) {
			reason := "remove " + fault.memberID + " from the chain: " + fault.cause
			return Step{Kind: MemberRemoval, View: &next, Reason: reason, Urgent: true, Delay: fault.delay}, true
		}
	}
	return Step{}, false
}

// requiredSpreadWithout returns the spread that the complete replicas must have once a faulty member is
// removed. This is the required spread of the voters (without the member if it is leaving), or a larger
// one if other machines can hold replicas now. For a leaving member, which still works, these machines
// include the candidates that can become voters.
func (p *planner) requiredSpreadWithout(fault memberFault) Spread {
	tolerance := p.policy.Tolerance
	voters := filterPeers(p.voters(), func(voter Peer) bool { return !fault.leaving || voter.ID != fault.memberID })
	required := View{Voters: voters}.RequiredSpread(tolerance)
	replicas := p.members(func(id string) bool { return id != fault.memberID && p.isUsable(id) })
	replicas = append(replicas, p.appendable()...)
	if fault.leaving {
		replicas = append(replicas, selectVoters(p.voters(), p.candidates(), tolerance, true)...)
	}
	possible := SpreadOf(replicas)
	required.Machines = max(required.Machines, min(tolerance.Machines+1, possible.Machines))
	required.Zones = max(required.Zones, min(tolerance.Zones+1, possible.Zones))
	required.Regions = max(required.Regions, min(tolerance.Regions+1, possible.Regions))
	return required
}

// appendable returns the stable voters outside of the chain that are in contact with all of its healthy
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

// appendMember returns the step that adds a voter to the chain. It prefers the zone with the fewest
// members or, if losses of regions are to be tolerated, the region and then the zone. Voters join one at
// a time: the next one waits until all healthy members are complete.
func (p *planner) appendMember(purpose string, urgent bool) (Step, bool) {
	healthyMembers := p.members(p.isUsable)
	if slices.ContainsFunc(healthyMembers, func(member Peer) bool { return !p.health[member.ID].Complete }) {
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

// chainIsShort reports whether the chain has to grow, either in length or to a zone or region in which
// it has no member.
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
	current := SpreadOf(p.allMembers())
	if current.Zones > tolerance.Zones && current.Regions > tolerance.Regions {
		return false
	}
	possible := SpreadOf(append(p.members(p.isUsable), p.appendable()...))
	return current.Zones < min(tolerance.Zones+1, possible.Zones) ||
		current.Regions < min(tolerance.Regions+1, possible.Regions)
}
