package view

import "slices"

// changeVoters is the step that adds, replaces or removes a voter.
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
	_, voter := p.view.Voter(peer.ID)
	counted := slices.ContainsFunc(p.view.Voters, func(other Peer) bool { return other.Counted })
	return !voter && (peer.Disk || p.view.InMemory) && (peer.Counted || !counted)
}

// candidates returns the eligible peers that are stable, by ID. A machine whose former disk is still
// a member of the chain waits until that is removed. A former voter waits until it reports that it knows
// of its removal: what it reported before may be from before it began to shut down, and its process may
// have ended since.
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

// replaceLostDisk replaces the voter of a lost disk by the new disk of the same machine.
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

// removeLeavingVoter replaces a voter that is shutting down by a candidate, or removes it where the
// available voters survive more losses without it.
func (p *planner) removeLeavingVoter(candidates []Peer) (Step, bool) {
	for _, voter := range p.view.Voters {
		h, known := p.health[voter.ID]
		if !known || !h.Leaving || h.SinceContact >= p.policy.FailAfter || p.view.Position(voter.ID) >= 0 {
			continue
		}
		leaving := p.withRegion(voter)
		rest := filterPeers(p.voters(), func(other Peer) bool { return other.ID != leaving.ID })
		withoutIt := p.shortfalls(rest)
		if candidate, found := p.bestReplacement(leaving, candidates); found && !withoutIt.less(p.shortfalls(append(slices.Clone(rest), candidate))) {
			return p.replaceVoter(leaving.ID, candidate, "the former is shutting down"), true
		}
		if len(rest) > 0 && withoutIt.available.Less(p.shortfalls(p.voters()).available) {
			next := p.view.RemoveVoter(leaving.ID)
			return Step{Kind: VoterRemoval, View: &next, Reason: "remove voter " + leaving.ID + ": it is shutting down", RemovedVoter: leaving.ID}, true
		}
	}
	return Step{}, false
}

// shortfalls is those of a set of voters.
type shortfalls struct {
	available Shortfall // counting only the voters that are usable now
	total     Shortfall // counting all voters
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

// replaceAbsentVoter replaces a voter that has been without contact for long by a candidate.
func (p *planner) replaceAbsentVoter(candidates []Peer) (Step, bool) {
	for _, voter := range p.view.Voters {
		h, known := p.health[voter.ID]
		if known && h.SinceContact < p.policy.ReplaceAfter || p.view.Position(voter.ID) >= 0 {
			continue
		}
		if candidate, found := p.bestReplacement(p.withRegion(voter), candidates); found {
			return p.replaceVoter(voter.ID, candidate, "the former is absent"), true
		}
	}
	return Step{}, false
}

// bestReplacement returns the candidate in whose place the voters have the smallest shortfall, if
// that is no larger than with the former voter. Of equal candidates it prefers one in the same zone,
// then one in the zone with the fewest voters.
func (p *planner) bestReplacement(former Peer, candidates []Peer) (best Peer, found bool) {
	if len(candidates) == 0 {
		return Peer{}, false
	}
	tolerance := p.policy.Tolerance
	all := p.voters()
	rest := filterPeers(all, func(voter Peer) bool { return voter.ID != former.ID })
	least := tolerance.shortfall(all, len(all))
	var equal []Peer
	for _, candidate := range candidates {
		shortfall := tolerance.shortfall(append(slices.Clone(rest), candidate), len(all))
		switch {
		case shortfall.Less(least):
			equal, least = []Peer{candidate}, shortfall
		case shortfall == least:
			equal = append(equal, candidate)
		}
	}
	if len(equal) == 0 {
		return Peer{}, false
	}
	if i := slices.IndexFunc(equal, func(candidate Peer) bool { return zoneOf(candidate) == zoneOf(former) }); i >= 0 {
		return equal[i], true
	}
	return equal[leastLoaded(rest, equal, tolerance.Regions > 0)], true
}

// addVoter adds a candidate as a voter, only while all voters are available: with an absent voter it
// would raise the quorum. A leaving voter counts as absent once it has left the chain; before that the
// chain needs the candidate. Where zones or regions may be lost there are no more voters than that
// takes: a candidate on standby replaces a voter of its zone.
func (p *planner) addVoter(candidates []Peer) (Step, bool) {
	if len(candidates) == 0 {
		return Step{}, false
	}
	tolerance := p.policy.Tolerance
	leaving, standby := false, false
	for _, voter := range p.view.Voters {
		h, known := p.health[voter.ID]
		if !known || h.SinceContact >= p.policy.FailAfter || h.Leaving && p.view.Position(voter.ID) < 0 {
			return Step{}, false
		}
		leaving = leaving || h.Leaving
		standby = standby || p.isUsable(voter.ID) && p.view.Position(voter.ID) < 0
	}
	asManyAsPossible := tolerance.Zones == 0 && tolerance.Regions == 0 || leaving && !standby
	additional := selectVoters(p.voters(), candidates, tolerance, asManyAsPossible)
	if len(additional) == 0 {
		return Step{}, false
	}
	next := p.view.AddVoter(additional[0])
	return Step{Kind: VoterAddition, View: &next, Reason: "add " + additional[0].ID + " as a voter"}, true
}

func (p *planner) replaceVoter(id string, candidate Peer, cause string) Step {
	next := p.view.ReplaceVoter(id, candidate)
	reason := "replace voter " + id + " by " + candidate.ID + ": " + cause
	return Step{Kind: VoterReplacement, View: &next, Reason: reason, RemovedVoter: id}
}
