package chain_test

import (
	"fmt"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// learnView makes a machine persist a decided view that is newer than its own. It returns false if the
// machine loses power meanwhile.
func (s *simulation) learnView(m *machine, v view.View) bool {
	if v.Number <= m.view.Number {
		return true
	}
	if decided, known := s.decided[v.Number]; known && !decided.Equal(v) {
		s.fail("two different views have the number %d", v.Number)
	}
	s.decided[v.Number] = v
	return s.persist(m, func() { m.view = v })
}

// handleProposal makes an acceptor handle a prepareMessage or an acceptMessage.
func (s *simulation) handleProposal(m *machine, msg message) {
	prepare, isPrepare := msg.body.(prepareMessage)
	proposal := prepare.proposal
	if !isPrepare {
		proposal = msg.body.(acceptMessage).proposal
	}
	if msg.toID != m.id || !s.learnView(m, proposal.Base) {
		return
	}
	respond := func(response view.Response) {
		if isPrepare {
			s.reply(m, msg, promiseMessage{proposal: proposal, voter: msg.toID, response: response})
		} else {
			s.reply(m, msg, acceptedMessage{proposal: proposal, voter: msg.toID, response: response})
		}
	}
	if proposal.Base.Number < m.view.Number {
		newer := m.view
		respond(view.Response{Newer: &newer})
		return
	}
	if _, voter := m.view.Voter(m.id); !voter {
		return
	}
	instance := proposal.Base.Number + 1
	var state view.AcceptorState
	var response view.Response
	if isPrepare {
		state, response = m.acceptor.Prepare(instance, proposal.Number)
	} else {
		state, response = m.acceptor.Accept(instance, proposal.Number, proposal.View)
	}
	if !response.OK || s.persist(m, func() { m.acceptor = state }) {
		respond(response)
	}
}

func (s *simulation) handlePromise(m *machine, promise promiseMessage) {
	proposal := promise.proposal
	if proposal.State() != view.Preparing || proposal.HandlePromise(promise.voter, promise.response) != view.Accepting {
		return
	}
	for _, voter := range proposal.Base.Voters {
		s.send(m, voter, acceptMessage{proposal})
	}
}

func (s *simulation) handleAcceptance(m *machine, acceptance acceptedMessage) {
	proposal := acceptance.proposal
	if proposal.State() != view.Accepting {
		return
	}
	state := proposal.HandleAcceptance(acceptance.voter, acceptance.response)
	if state != view.Decided && state != view.Superseded {
		return
	}
	decided := proposal.View
	for _, voter := range append(append([]view.Peer(nil), decided.Voters...), proposal.Base.Voters...) {
		s.send(m, voter, viewMessage{decided})
	}
	s.learnView(m, decided)
}

// propose makes a machine propose a random allowed change of its view, or only the completion of an
// undecided view.
func (s *simulation) propose(m *machine) {
	if m.view.Number == 0 {
		return
	}
	next, possible := s.randomChange(m.view)
	if !possible {
		return
	}
	if next != nil && next.Validate() != nil {
		next = nil
	}
	m.round++
	number := view.ProposalNumber{Round: m.round, Proposer: fmt.Sprint(m.id, "/", m.incarnation)}
	m.proposal = view.NewProposal(m.view, number, next)
	for _, voter := range m.view.Voters {
		s.send(m, voter, prepareMessage{m.proposal})
	}
}

// randomChange returns a random next view, or nil for a proposal that only completes an undecided view.
// Possible is false if there is nothing to propose at all.
func (s *simulation) randomChange(current view.View) (next *view.View, possible bool) {
	switch s.random.IntN(6) {
	case 0, 4:
		removed := current.RemoveMember(current.Chain[s.random.IntN(len(current.Chain))].ID)
		if s.mayReduceTo(current, removed) {
			next = &removed
		}
	case 1:
		voter := current.Voters[s.random.IntN(len(current.Voters))]
		if current.Position(voter.ID) < 0 {
			appended := current.AppendMember(voter.ID)
			next = &appended
		}
	case 2, 3:
		return s.randomVoterChange(current)
	}
	return next, true
}

// mayReduceTo reports whether the chain may be reduced, by the rule of the repair: the remaining complete
// members must have the required spread, and the next head must be complete.
func (s *simulation) mayReduceTo(current, reduced view.View) bool {
	required := current.RequiredSpread(view.Tolerance{Machines: toleratedLosses}).Machines
	if s.defect == dropBelowRequiredLength {
		required = 1
	}
	complete := 0
	for _, member := range reduced.Chain {
		if s.reportsComplete(current, member) {
			complete++
		}
	}
	return s.defect == dropToIncompleteMembers && len(reduced.Chain) >= required ||
		complete >= required && s.reportsComplete(current, reduced.Chain[0])
}

// randomVoterChange returns a view in which a random machine replaces a voter or is added as a voter.
func (s *simulation) randomVoterChange(current view.View) (next *view.View, possible bool) {
	candidate := s.machines[s.random.IntN(len(s.machines))]
	if _, voter := current.Voter(candidate.id); voter || !candidate.up {
		return nil, false
	}
	for _, member := range current.Chain {
		if member.Addr == candidate.addr {
			return nil, false
		}
	}
	formerVoter := current.Voters[s.random.IntN(len(current.Voters))]
	for _, voter := range current.Voters {
		if voter.Addr == candidate.addr {
			formerVoter = voter
		}
	}
	if current.Position(formerVoter.ID) < 0 {
		replaced := current.ReplaceVoter(formerVoter.ID, peerOf(candidate))
		return &replaced, true
	}
	if len(current.Voters) < len(s.machines) {
		added := current.AddVoter(peerOf(candidate))
		return &added, true
	}
	return nil, true
}

// reportsComplete reports whether a member of the chain is available and complete in a view.
func (s *simulation) reportsComplete(v view.View, member view.Member) bool {
	for _, m := range s.machines {
		if replica := s.replica(m); m.id == member.ID && m.up {
			return member.JoinedIn == 1 || m.view.Number == v.Number && replica.Complete()
		}
	}
	return false
}
