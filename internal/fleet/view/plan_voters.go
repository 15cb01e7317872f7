package view

import "slices"

// changeVoters returns the step that adds, replaces or removes a voter.
func (p *planner) changeVoters() (Step, bool) {
	candidates := p.candidates()
	for _, rule := range []func(candidates []Peer) (Step, bool){
		p.replaceLostDisk, p.removeLeavingVoter, p.replaceAbsentVoter, p.addVoter,
	} {
		if step, due := rule(candidates); due {
			return step, true
		}
	}
	return Step{}, false
}

// isEligible reports whether a peer is not a voter and may become one.
func (p *planner) isEligible(peer Peer) bool {
	_, isVoter := p.view.Voter(peer.ID)
	hasCountedVoter := slices.ContainsFunc(p.view.Voters, func(voter Peer) bool { return voter.Counted })
	return !isVoter && (peer.Disk || p.view.InMemory) && (peer.Counted || !hasCountedVoter)
}

// candidates returns the eligible peers that are stable, sorted by ID. A machine is no candidate as long
// as its former disk is a member of the chain. A former voter is no candidate until it reports that it
// knows of its removal: its earlier reports may date from before it began to shut down, and its process
// may have ended since.
func (p *planner) candidates() (candidates []Peer) {
	for id, h := range p.health {
		inChain := slices.ContainsFunc(p.view.Chain, func(member Member) bool { return member.Addr == h.Peer.Addr })
		if !inChain && p.isEligible(h.Peer) && p.isStable(id) && !h.MissedRemoval {
			candidates = append(candidates, h.Peer)
		}
	}
	slices.SortFunc(candidates, comparePeers)
	return candidates
}

// replaceLostDisk replaces a voter whose disk was lost by the new disk of the same machine.
func (p *planner) replaceLostDisk(candidates []Peer) (Step, bool) {
	for _, candidate := range candidates {
		for _, voter := range p.view.Voters {
			if voter.Addr == candidate.Addr && p.view.Position(voter.ID) < 0 {
				return p.replaceVoter(voter.ID, candidate, "it is the new disk of the same machine"), true
			}
		}
	}
	return Step{}, false
}

// removeLeavingVoter replaces a voter that is shutting down by a candidate, or removes it if the
// available voters survive more losses without it.
func (p *planner) removeLeavingVoter(candidates []Peer) (Step, bool) {
	for _, voter := range p.view.Voters {
		h, known := p.health[voter.ID]
		if !known || !h.Leaving || h.SinceContact >= p.policy.FailAfter || p.view.Position(voter.ID) >= 0 {
			continue
		}
		leavingVoter := p.withRegion(voter)
		remaining := filterPeers(p.voters(), func(other Peer) bool { return other.ID != leavingVoter.ID })
		afterRemoval := p.shortfalls(remaining)
		if candidate, found := p.bestReplacement(leavingVoter, candidates); found &&
			!afterRemoval.less(p.shortfalls(append(slices.Clone(remaining), candidate))) {
			return p.replaceVoter(leavingVoter.ID, candidate, "the replaced voter is shutting down"), true
		}
		if len(remaining) > 0 && afterRemoval.available.Less(p.shortfalls(p.voters()).available) {
			next := p.view.RemoveVoter(leavingVoter.ID)
			return Step{
				Kind: VoterRemoval, View: &next, Reason: "remove voter " + leavingVoter.ID + ": it is shutting down",
				RemovedVoter: leavingVoter.ID,
			}, true
		}
	}
	return Step{}, false
}

// shortfalls has the shortfalls of a set of voters.
type shortfalls struct {
	available Shortfall // while only the voters that are usable now are available
	total     Shortfall // while all voters are available
}

func (s shortfalls) less(other shortfalls) bool {
	return s.available.Less(other.available) || s.available == other.available && s.total.Less(other.total)
}

func (p *planner) shortfalls(voters []Peer) shortfalls {
	tolerance := p.policy.Tolerance
	available := filterPeers(voters, func(voter Peer) bool { return p.isUsable(voter.ID) })
	return shortfalls{
		available: tolerance.shortfall(available, len(voters)),
		total:     tolerance.shortfall(voters, len(voters)),
	}
}

// replaceAbsentVoter replaces a voter that has had no contact for Policy.ReplaceAfter by a candidate.
func (p *planner) replaceAbsentVoter(candidates []Peer) (Step, bool) {
	for _, voter := range p.view.Voters {
		h, known := p.health[voter.ID]
		if known && h.SinceContact < p.policy.ReplaceAfter || p.view.Position(voter.ID) >= 0 {
			continue
		}
		if candidate, found := p.bestReplacement(p.withRegion(voter), candidates); found {
			return p.replaceVoter(voter.ID, candidate, "the replaced voter is absent"), true
		}
	}
	return Step{}, false
}

// bestReplacement returns the candidate with which the voters have the smallest shortfall once it
// replaces the former voter. Found is false if each candidate would increase the shortfall. Among equal
// candidates it prefers one in the former voter's zone, then one in the zone with the fewest voters. If
// losses of regions are to be tolerated, it compares the number of voters by region before that by zone.
func (p *planner) bestReplacement(formerVoter Peer, candidates []Peer) (best Peer, found bool) {
	if len(candidates) == 0 {
		return Peer{}, false
	}
	tolerance := p.policy.Tolerance
	voters := p.voters()
	remaining := filterPeers(voters, func(voter Peer) bool { return voter.ID != formerVoter.ID })
	smallestShortfall := tolerance.shortfall(voters, len(voters))
	var bestCandidates []Peer
	for _, candidate := range candidates {
		shortfall := tolerance.shortfall(append(slices.Clone(remaining), candidate), len(voters))
		switch {
		case shortfall.Less(smallestShortfall):
			bestCandidates, smallestShortfall = []Peer{candidate}, shortfall
		case shortfall == smallestShortfall:
			bestCandidates = append(bestCandidates, candidate)
		}
	}
	if len(bestCandidates) == 0 {
		return Peer{}, false
	}
	if i := slices.IndexFunc(bestCandidates, func(candidate Peer) bool {
		return zoneOf(candidate) == zoneOf(formerVoter)
	}); i >= 0 {
		return bestCandidates[i], true
	}
	return bestCandidates[leastLoaded(remaining, bestCandidates, tolerance.Regions > 0)], true
}

// addVoter adds a candidate as a voter, but only while all voters are available: while one is absent,
// another voter would raise the quorum. A leaving voter counts as absent only after it has left the
// chain, because the chain needs the candidate until then. If losses of zones or regions are to be
// tolerated, there are no more voters than that takes, and the other candidates stay on standby until
// they replace a voter. The exception is a leaving voter while no voter outside of the chain is usable.
func (p *planner) addVoter(candidates []Peer) (Step, bool) {
	if len(candidates) == 0 {
		return Step{}, false
	}
	tolerance := p.policy.Tolerance
	hasLeavingVoter, hasStandby := false, false
	for _, voter := range p.view.Voters {
		h, known := p.health[voter.ID]
		if !known || h.SinceContact >= p.policy.FailAfter || h.Leaving && p.view.Position(voter.ID) < 0 {
			return Step{}, false
		}
		hasLeavingVoter = hasLeavingVoter || h.Leaving
		hasStandby = hasStandby || p.isUsable(voter.ID) && p.view.Position(voter.ID) < 0
	}
	preferLarge := tolerance.Zones == 0 && tolerance.Regions == 0 || hasLeavingVoter && !hasStandby
	selected := selectVoters(p.voters(), candidates, tolerance, preferLarge)
	if len(selected) == 0 {
		return Step{}, false
	}
	next := p.view.AddVoter(selected[0])
	return Step{Kind: VoterAddition, View: &next, Reason: "add " + selected[0].ID + " as a voter"}, true
}

func (p *planner) replaceVoter(id string, candidate Peer, cause string) Step {
	next := p.view.ReplaceVoter(id, candidate)
	reason := "replace voter " + id + " by " + candidate.ID + ": " + cause
	return Step{Kind: VoterReplacement, View: &next, Reason: reason, RemovedVoter: id}
}
