package view

import "strconv"

// ProposalState is the progress of a proposal.
type ProposalState uint8

// The states of a proposal. The last four are final. A proposal that ends in Contended, Superseded or
// Idle has decided nothing itself.
const (
	Preparing  ProposalState = iota // waiting for promises
	Accepting                       // the caller has to ask all voters to accept Proposal.View
	Decided                         // Proposal.View is the next view
	Contended                       // promises to other proposals prevent it: retry later with a higher round
	Superseded                      // a view newer than Base was decided, which is now Proposal.View
	Idle                            // no acceptor reported an accepted view, and there is no initial view to propose
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
	View        View           // the view to accept, which may come from another proposer; void before Accepting
	HighestSeen ProposalNumber // the highest promise that acceptors reported when they rejected this proposal

	initial        *View           // the proposer's own view; nil if it only completes an undecided one
	promises       map[string]bool // by voter ID, as are acceptances and rejections
	acceptances    map[string]bool
	rejections     map[string]bool
	acceptedNumber ProposalNumber // proposal number of acceptedView
	acceptedView   *View          // the accepted view with the highest number that was reported; nil if there is none
	state          ProposalState
}

// NewProposal returns a new proposal. If initial is nil, it only completes a view that other proposers
// left undecided.
func NewProposal(base View, number ProposalNumber, initial *View) *Proposal {
	return &Proposal{Base: base, Number: number, initial: initial,
		promises: map[string]bool{}, acceptances: map[string]bool{}, rejections: map[string]bool{}}
}

// PrepareRequest returns the request of the first phase, to be sent to each voter.
func (p *Proposal) PrepareRequest() PrepareRequest {
	return PrepareRequest{Base: p.Base, Number: p.Number}
}

// AcceptRequest returns the request of the second phase, to be sent to each voter.
func (p *Proposal) AcceptRequest() AcceptRequest {
	return AcceptRequest{Base: p.Base, Number: p.Number, View: p.View}
}

// State returns the progress of the proposal.
func (p *Proposal) State() ProposalState { return p.state }

// HandlePromise handles a voter's response to PrepareRequest. Once a quorum has promised, it selects
// the view to propose: the accepted view with the highest number, or the initial view if there is none.
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

// isGranted reports whether a voter's response grants the request. If it does not, the proposal may end:
// as superseded by a newer view, or as contended once the remaining voters are fewer than a quorum.
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
