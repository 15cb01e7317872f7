package view

import (
	"slices"
	"strconv"
	"time"
)

// pendingProposal is a proposal that is under way. Each tick executes one of its phases.
type pendingProposal struct {
	*Proposal
	step      Step
	accepting bool // the next phase is the second one
}

// plan returns the result of Plan, changed by the simulated defect.
func (s *simulation) plan(m *machine, health map[string]Health) (Step, bool) {
	if next, found := s.defectiveStep(m, health); found {
		return Step{View: &next, Reason: "step of the simulated defect"}, true
	}
	step, due := Plan(m.view, health, s.policy())
	if due && s.defect == keepLeavingVoter && step.RemovedVoter != "" && health[step.RemovedVoter].Leaving {
		return Step{}, false
	}
	return step, due
}

// defectiveStep returns the next view of a step that Plan must not return.
func (s *simulation) defectiveStep(m *machine, health map[string]Health) (View, bool) {
	switch s.defect {
	case ignoreRequiredSpread:
		return s.removeIgnoringSpread(m, health)
	case replacePresentVoter, addVoterWhileOneIsAbsent:
		return s.defectiveVoterChange(m, health)
	}
	return View{}, false
}

// removeIgnoringSpread removes a faulty member without regard to the required spread. The next head is
// still complete.
func (s *simulation) removeIgnoringSpread(m *machine, health map[string]Health) (View, bool) {
	for _, member := range m.view.Chain {
		if h := health[member.ID]; h.SinceContact >= testPolicy.FailAfter || h.Leaving {
			next := m.view.RemoveMember(member.ID)
			return next, len(next.Chain) > 0 && health[next.Chain[0].ID].Complete
		}
	}
	return View{}, false
}

// defectiveVoterChange replaces a voter that is present, or adds a voter while another one is absent.
func (s *simulation) defectiveVoterChange(m *machine, health map[string]Health) (View, bool) {
	var candidates []Peer
	for id, h := range health {
		if _, isVoter := m.view.Voter(id); !isVoter && !h.Leaving &&
			h.SinceContact < testPolicy.FailAfter && h.StableFor >= testPolicy.StableAfter {
			candidates = append(candidates, h.Peer)
		}
	}
	if len(candidates) == 0 || len(m.view.Voters) >= MaxVoters {
		return View{}, false
	}
	slices.SortFunc(candidates, comparePeers)
	for _, voter := range m.view.Voters {
		absent := health[voter.ID].SinceContact >= testPolicy.FailAfter
		switch {
		case s.defect == replacePresentVoter && !absent && voter.ID != m.peer.ID && m.view.Position(voter.ID) < 0:
			return m.view.ReplaceVoter(voter.ID, candidates[0]), true
		case s.defect == addVoterWhileOneIsAbsent && absent:
			return m.view.AddVoter(candidates[0]), true
		}
	}
	return View{}, false
}

// repair executes one tick of a machine's work on the repair of the view or on its own shutdown. It
// reports whether the machine has something to do.
func (s *simulation) repair(m *machine) (busy bool) {
	switch {
	case m.proposal != nil:
		s.advanceProposal(m)
		return true
	case m.leaving:
		s.continueShutdown(m)
		return true
	case !s.hasQuorum(m) || s.now < m.retryNotBefore:
		return m.isVoter()
	}
	health := s.health(m)
	earlierProposers := m.proposersBefore(health)
	if earlierProposers > 0 && s.now%proposerDelay != 0 {
		return false // it plans at multiples of proposerDelay only, as it has to wait anyway
	}
	step, due := s.plan(m, health)
	if !due {
		m.dueReason = ""
		return false
	}
	if step.Reason != m.dueReason {
		m.dueReason, m.dueSince = step.Reason, s.now
	}
	if s.now-m.dueSince >= step.Delay+time.Duration(earlierProposers)*proposerDelay {
		s.propose(m, step)
	}
	return true
}

// continueShutdown executes one check of a graceful shutdown, as in controlplane.Member.Handover.
func (s *simulation) continueShutdown(m *machine) {
	if s.now >= m.leaveDeadline || !m.isVoter() {
		if s.now >= m.leaveNotBefore {
			s.endProcess(m)
		}
		return
	}
	health := s.health(m)
	inChain := m.view.Position(m.peer.ID) >= 0
	mayLeave := MayLeave(m.view, m.peer.ID, health, s.policy())
	if !inChain && (mayLeave || s.defect == keepLeavingVoter) {
		s.endProcess(m)
		return
	}
	if s.hasQuorum(m) && s.now >= m.retryNotBefore {
		step, due := s.plan(m, health)
		if due && (inChain || step.View == nil || step.RemovedVoter == m.peer.ID) {
			s.propose(m, step)
			m.idleChecks = 0
			return
		}
	}
	if inChain && !mayLeave {
		m.idleChecks = 0
		return
	}
	m.idleChecks++
	if m.idleChecks >= maxIdleChecks {
		s.endProcess(m)
	}
}

// endProcess sends the machine's view to all reachable machines, and ends its process.
func (s *simulation) endProcess(m *machine) {
	for _, other := range s.machines {
		if s.reaches(m, other) {
			s.learnView(other, m.view)
		}
	}
	s.stop(m)
}

func (s *simulation) propose(m *machine, step Step) {
	if step.View != nil {
		s.checkStep(m, step)
	}
	m.round++
	number := ProposalNumber{Round: m.round, Proposer: m.peer.ID + "/" + strconv.Itoa(m.incarnation)}
	m.proposal = &pendingProposal{Proposal: NewProposal(m.view, number, step.View), step: step}
}

// checkStep checks the invariants of a step. A member is removed from the chain only if the actual
// remaining replicas have the required spread. No voter that is present is removed unless it is leaving.
func (s *simulation) checkStep(m *machine, step Step) {
	if m.view.Number != s.newest.Number {
		return // the step can't be decided, as the machine's view is not the newest
	}
	next := *step.View
	if err := next.Validate(); err != nil {
		s.fail("%v", err)
	}
	for _, voter := range m.view.Voters {
		_, stays := next.Voter(voter.ID)
		if s.isPresent(voter.ID) && !stays {
			s.fail("%s: removes the voter %s, which is present", step.Reason, voter.ID)
		}
	}
	if len(next.Chain) >= len(m.view.Chain) {
		return
	}
	var replicas []Peer
	for _, member := range next.Chain {
		if s.hasAcknowledged(member, m.view) {
			replicas = append(replicas, member.Peer)
		}
	}
	voters := slices.DeleteFunc(slices.Clone(m.view.Voters), func(voter Peer) bool {
		other := s.machineByID(voter.ID)
		return next.Position(voter.ID) < 0 && m.view.Position(voter.ID) >= 0 && other != nil && other.leaving
	})
	if required := (View{Voters: voters}).RequiredSpread(s.tolerance); !SpreadOf(replicas).Covers(required) {
		s.fail("%s: %s: leaves replicas on %v, but %+v is required", m.peer.ID, step.Reason, replicas, required)
	}
}

// isPresent reports whether a peer runs, has been connected for longer than FailAfter and is not leaving.
func (s *simulation) isPresent(id string) bool {
	m := s.machineByID(id)
	return m != nil && m.up && !m.partitioned &&
		s.now-max(m.startedAt, m.reconnectedAt) > testPolicy.FailAfter && !m.leaving
}

// hasAcknowledged reports whether a member has everything that was acknowledged, as far as others can
// know. A machine that has just stopped counts as well, because the others have not noticed that yet.
func (s *simulation) hasAcknowledged(member Member, v View) bool {
	m := s.machineByID(member.ID)
	if stoppedAt, everStopped := s.stoppedAt[member.ID]; everStopped && (m == nil || !m.up) {
		return s.now-stoppedAt <= testPolicy.FailAfter+tickInterval
	}
	return m != nil && m.up && m.isComplete(v) && m.valueSeq >= s.ackedSeq
}

// advanceProposal executes the next phase of a machine's proposal.
func (s *simulation) advanceProposal(m *machine) {
	p := m.proposal
	for _, voter := range p.Base.Voters {
		to := s.machineByID(voter.ID)
		if to == nil || !s.reaches(m, to) || s.random.IntN(50) == 0 {
			continue
		}
		response := s.respond(to, p)
		if s.random.IntN(50) == 0 { // the response is lost
			continue
		}
		if p.accepting {
			p.HandleAcceptance(voter.ID, response)
		} else {
			p.HandlePromise(voter.ID, response)
		}
	}
	switch state := p.State(); {
	case state == Accepting && !p.accepting:
		p.accepting = true
		return
	case state == Decided:
		s.announceDecision(m, p)
	case state == Superseded:
		s.learnView(m, p.View)
	default:
		m.round = max(m.round, p.HighestSeen.Round)
		m.retryNotBefore = s.now + tickInterval/2 + time.Duration(s.random.Int64N(int64(3*tickInterval/2)))
	}
	m.proposal = nil
}

// announceDecision sends a decided view to all reachable machines. Some of these messages are lost.
func (s *simulation) announceDecision(m *machine, p *pendingProposal) {
	s.decidedSteps[p.step.Kind]++
	s.logf("%s decides view %d: %s", m.peer.ID, p.View.Number, p.step.Reason)
	s.learnView(m, p.View)
	for _, other := range s.machines {
		if s.reaches(m, other) && s.random.IntN(10) > 0 {
			s.learnView(other, p.View)
		}
	}
}

// respond returns a voter's response to the request of a proposal's current phase.
func (s *simulation) respond(voter *machine, p *pendingProposal) (response Response) {
	s.learnView(voter, p.Base)
	if p.Base.Number < voter.view.Number {
		newer := voter.view
		return Response{Newer: &newer}
	}
	if !voter.isVoter() {
		return Response{RejectReason: "not a voter"}
	}
	instance := p.Base.Number + 1
	if !p.accepting {
		voter.acceptor, response = voter.acceptor.Prepare(instance, p.Number)
		return response
	}
	if !voter.isUndecided() {
		voter.acceptedAt = s.now
	}
	voter.acceptor, response = voter.acceptor.Accept(instance, p.Number, p.View)
	return response
}
