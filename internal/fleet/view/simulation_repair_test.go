package view

import (
	"slices"
	"strconv"
	"time"
)

// pendingProposal is a proposal between two of its phases.
type pendingProposal struct {
	*Proposal
	step      Step
	accepting bool
}

// plan is Plan with the defect.
func (s *simulation) plan(m *machine, health map[string]Health) (Step, bool) {
	if next, found := s.defectiveStep(m, health); found {
		return Step{View: &next, Reason: "by the defect"}, true
	}
	step, due := Plan(m.view, health, s.policy())
	if due && s.defect == keepLeavingVoter && step.RemovedVoter != "" && health[step.RemovedVoter].Leaving {
		return Step{}, false
	}
	return step, due
}

// defectiveStep is a step that Plan must not return.
func (s *simulation) defectiveStep(m *machine, health map[string]Health) (View, bool) {
	switch s.defect {
	case ignoreRequiredSpread:
		return s.removeIgnoringSpread(m, health)
	case replacePresentVoter, addVoterWhileOneIsAbsent:
		return s.defectiveVoterChange(m, health)
	}
	return View{}, false
}

// removeIgnoringSpread removes a faulty member whatever remains, as long as the head is complete.
func (s *simulation) removeIgnoringSpread(m *machine, health map[string]Health) (View, bool) {
	for _, member := range m.view.Chain {
		if h := health[member.ID]; h.SinceContact >= testPolicy.FailAfter || h.Leaving {
			next := m.view.RemoveMember(member.ID)
			return next, len(next.Chain) > 0 && health[next.Chain[0].ID].Complete
		}
	}
	return View{}, false
}

// defectiveVoterChange replaces a voter that is present, or adds one while another is absent.
func (s *simulation) defectiveVoterChange(m *machine, health map[string]Health) (View, bool) {
	var candidates []Peer
	for id, h := range health {
		if _, voter := m.view.Voter(id); !voter && !h.Leaving && h.SinceContact < testPolicy.FailAfter && h.StableFor >= testPolicy.StableAfter {
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

// repair is a machine's part in the repair of the view, or in its own shutdown.
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
	before := m.proposersBefore(health)
	if before > 0 && s.now%proposerDelay != 0 {
		return false // it has to wait in any case
	}
	step, due := s.plan(m, health)
	if !due {
		m.dueReason = ""
		return false
	}
	if step.Reason != m.dueReason {
		m.dueReason, m.dueSince = step.Reason, s.now
	}
	if s.now-m.dueSince >= step.Delay+time.Duration(before)*proposerDelay {
		s.propose(m, step)
	}
	return true
}

// continueShutdown is one check of a graceful shutdown, as in controlplane.Handover.
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

// endProcess sends the newest view to the machines in reach, and ends the process.
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

// checkStep checks the invariants of each step: a member is removed from the chain only where the
// actual replicas that remain have the required spread, and no voter that is present is removed unless
// it is leaving.
func (s *simulation) checkStep(m *machine, step Step) {
	if m.view.Number != s.newest.Number {
		return // it can't be decided any more
	}
	next := *step.View
	if err := next.Validate(); err != nil {
		s.fail("%v", err)
	}
	for _, voter := range m.view.Voters {
		_, stays := next.Voter(voter.ID)
		if s.isPresent(voter.ID) && !stays {
			s.fail("%s removes the voter %s, which is present", step.Reason, voter.ID)
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
		s.fail("%s: %s leaves replicas on %v, required are %+v", m.peer.ID, step.Reason, replicas, required)
	}
}

// isPresent reports whether a peer has been in contact for long enough and stays.
func (s *simulation) isPresent(id string) bool {
	m := s.machineByID(id)
	return m != nil && m.up && !m.partitioned && s.now-max(m.startedAt, m.reconnectedAt) > testPolicy.FailAfter && !m.leaving
}

// hasAcknowledged reports whether a member has all that was acknowledged, as far as others can know: a
// machine that has stopped is not noticed at once.
func (s *simulation) hasAcknowledged(member Member, v View) bool {
	m := s.machineByID(member.ID)
	if stoppedAt, ever := s.stoppedAt[member.ID]; ever && (m == nil || !m.up) {
		return s.now-stoppedAt <= testPolicy.FailAfter+tickInterval
	}
	return m != nil && m.up && m.isComplete(v) && m.valueSeq >= s.ackedSeq
}

// advanceProposal executes the next phase of a proposal.
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

// respond is a voter's response to the request of a proposal's phase.
func (s *simulation) respond(voter *machine, p *pendingProposal) (response Response) {
	s.learnView(voter, p.Base)
	if p.Base.Number < voter.view.Number {
		newer := voter.view
		return Response{Newer: &newer}
	}
	if !voter.isVoter() {
		return Response{RejectReason: "no voter"}
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
