package view

import "strconv"

// ProposalState is the progress of a proposal.
type ProposalState uint8

// The states. The last four are final; Contended, Superseded and Idle end a proposal without a
// decision of its own.
const (
	Preparing  ProposalState = iota // waiting for promises
	Accepting                       // all voters are to be asked to accept Proposal.View
	Decided                         // Proposal.View is the next view
	Contended                       // Proposal.HighestSeen prevents it: retry later with a higher round
	Superseded                      // Proposal.View is a view that is newer than Base
	Idle                            // there is no view to propose, and none was accepted before
)

// String returns the state's name for logs and tests.
func (s ProposalState) String() string {
	names := [...]string{"preparing", "accepting", "decided", "contended", "superseded", "idle"}
	if int(s) < len(names) {
		return names[s]
	}
	return strconv.Itoa(int(s))
}

// Proposal is one attempt of one proposer to have a view decided. It is not safe for concurrent use.
type Proposal struct {
	Base        View
	Number      ProposalNumber
	View        View           // the proposed view; from Accepting on it may be another proposer's
	HighestSeen ProposalNumber // the highest number for which an acceptor rejected this one

	initial        *View // the proposer's own view, or nil
	promises       map[string]bool
	acceptances    map[string]bool
	rejections     map[string]bool
	acceptedNumber ProposalNumber // of acceptedView
	acceptedView   *View          // the one of the highest number that an acceptor reported
	state          ProposalState
}

// NewProposal starts an attempt. If initial is nil it completes the attempts that others left
// undecided.
func NewProposal(base View, number ProposalNumber, initial *View) *Proposal {
	return &Proposal{Base: base, Number: number, initial: initial,
		promises: map[string]bool{}, acceptances: map[string]bool{}, rejections: map[string]bool{}}
}

// PrepareRequest returns the request of the first phase.
func (p *Proposal) PrepareRequest() PrepareRequest {
	return PrepareRequest{Base: p.Base, Number: p.Number}
}

// AcceptRequest returns the request of the second phase.
func (p *Proposal) AcceptRequest() AcceptRequest {
	return AcceptRequest{Base: p.Base, Number: p.Number, View: p.View}
}

// State returns the progress of the proposal.
func (p *Proposal) State() ProposalState { return p.state }

// HandlePromise handles a voter's response to PrepareRequest. Once a quorum has promised, it selects
// the view to propose: the one that was accepted with the highest number, or else the initial one.
func (p *Proposal) HandlePromise(voter string, response Response) ProposalState {
	if p.state != Preparing || !p.isGranted(voter, response) {
		return p.state
	}
	p.promises[voter] = true
	if response.Accepted != nil && (p.acceptedView == nil || p.acceptedNumber.Less(response.AcceptedNumber)) {
		p.acceptedNumber, p.acceptedView = response.AcceptedNumber, response.Accepted
	}
	if len(p.promises) < p.Base.Quorum() {
		return p.state
	}
	switch {
	case p.acceptedView != nil:
		p.View, p.state = *p.acceptedView, Accepting
	case p.initial != nil:
		p.View, p.state = *p.initial, Accepting
	default:
		p.state = Idle
	}
	return p.state
}

// HandleAcceptance handles a voter's response to AcceptRequest.
func (p *Proposal) HandleAcceptance(voter string, response Response) ProposalState {
	if p.state != Accepting || !p.isGranted(voter, response) {
		return p.state
	}
	p.acceptances[voter] = true
	if len(p.acceptances) >= p.Base.Quorum() {
		p.state = Decided
	}
	return p.state
}

// isGranted reports whether a response of a voter grants the request. If it does not, the proposal
// may end: by a newer view, or once too few voters are left for a quorum.
func (p *Proposal) isGranted(voter string, response Response) bool {
	if _, found := p.Base.Voter(voter); !found {
		return false
	}
	switch {
	case response.Newer != nil && response.Newer.Number > p.Base.Number:
		p.View, p.state = *response.Newer, Superseded
	case response.OK:
		return true
	default:
		if p.HighestSeen.Less(response.Promised) {
			p.HighestSeen = response.Promised
		}
		p.rejections[voter] = true
		if len(p.Base.Voters)-len(p.rejections) < p.Base.Quorum() {
			p.state = Contended
		}
	}
	return false
}
