package view

// ProposalNumber orders the proposals for one view. A round is raised only where another proposer was
// met, so it does not grow with restarts; By names one life of one proposer, so that no two
// proposals share a ballot.
type ProposalNumber struct {
	Round    uint32 `msgpack:"Round"`
	Proposer string `msgpack:"By"`
}

// Less orders ballots.
func (b ProposalNumber) Less(o ProposalNumber) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Proposer < o.Proposer
}

// AcceptorState is what an acceptor has to keep on disk, for the instance it votes on: the view after the
// one that it knows. That of an older instance is void.
type AcceptorState struct {
	Instance       uint64         `msgpack:"Instance"` // number of the view voted on
	Promised       ProposalNumber `msgpack:"Promised"`
	AcceptedNumber ProposalNumber `msgpack:"At"`       // of what was accepted
	Accepted       *View          `msgpack:"Accepted"` // nil: nothing
}

// PrepareRequest asks for a promise. Base is the view whose voters decide; a voter that does not know it
// yet learns it from here. With Base.Number 0 the voters are the seeds, by address.
type PrepareRequest struct {
	Base   View           `msgpack:"Base"`
	Number ProposalNumber `msgpack:"Ballot"`
}

// AcceptRequest asks to accept a view.
type AcceptRequest struct {
	Base   View           `msgpack:"Base"`
	Number ProposalNumber `msgpack:"Ballot"`
	View   View           `msgpack:"View"`
}

// Response is an acceptor's to both.
type Response struct {
	OK             bool           `msgpack:"OK"`
	Promised       ProposalNumber `msgpack:"Promised"` // what stands against it, or the ballot itself
	AcceptedNumber ProposalNumber `msgpack:"At"`       // Prepare: of what was accepted before
	Accepted       *View          `msgpack:"Accepted"` // Prepare: what was accepted before
	Newer          *View          `msgpack:"Newer"`    // the acceptor knows a newer view than Base: nothing else counts
	RejectReason   string         `msgpack:"Refused"`  // the acceptor has no vote here, and why
}

// Prepare is the vote after a question for a promise, and the answer that may go out once the vote
// is on disk. A ballot is promised once only.
func (v AcceptorState) Prepare(instance uint64, b ProposalNumber) (AcceptorState, Response) {
	if v.Instance != instance {
		v = AcceptorState{Instance: instance}
	}
	if !v.Promised.Less(b) {
		return v, Response{Promised: v.Promised}
	}
	v.Promised = b
	return v, Response{OK: true, Promised: b, AcceptedNumber: v.AcceptedNumber, Accepted: v.Accepted}
}

// Accept is the vote after a proposal, and the answer that may go out once the vote is on disk.
func (v AcceptorState) Accept(instance uint64, b ProposalNumber, next View) (AcceptorState, Response) {
	if v.Instance != instance {
		v = AcceptorState{Instance: instance}
	}
	if b.Less(v.Promised) {
		return v, Response{Promised: v.Promised}
	}
	v.Promised, v.AcceptedNumber, v.Accepted = b, b, &next
	return v, Response{OK: true, Promised: b}
}

// ProposalState is how far a proposal is.
type ProposalState uint8

// The outcomes. Contended, Overtaken and Idle end a proposal without a decision.
const (
	Preparing  ProposalState = iota
	Accepting                // ask all voters to accept Proposal.View
	Decided                  // Proposal.View is the next view
	Contended                // Proposal.Seen stands against it: try again later with a higher round
	Superseded               // Proposal.View is a newer view than the base
	Idle                     // nothing to propose and nothing was accepted
)

// Proposal is one attempt of one proposer to have a view decided.
type Proposal struct {
	Base        View
	Number      ProposalNumber
	View        View           // what is proposed; after Accepting it may be another's
	HighestSeen ProposalNumber // the highest that stood against it

	initial        *View
	promises       map[string]bool
	acceptances    map[string]bool
	rejections     map[string]bool
	acceptedNumber ProposalNumber
	acceptedView   *View
	state          ProposalState
}

// NewProposal starts an attempt. Without a view of its own it finishes what others left undecided.
func NewProposal(base View, b ProposalNumber, own *View) *Proposal {
	return &Proposal{Base: base, Number: b, initial: own,
		promises: map[string]bool{}, acceptances: map[string]bool{}, rejections: map[string]bool{}}
}

// PrepareRequest is the question of the first phase.
func (p *Proposal) PrepareRequest() PrepareRequest {
	return PrepareRequest{Base: p.Base, Number: p.Number}
}

// AcceptRequest is the question of the second phase.
func (p *Proposal) AcceptRequest() AcceptRequest {
	return AcceptRequest{Base: p.Base, Number: p.Number, View: p.View}
}

// HandlePromise takes a voter's answer to Prepare.
func (p *Proposal) HandlePromise(voter string, a Response) ProposalState {
	if p.state != Preparing || !p.counts(voter, a) {
		return p.state
	}
	p.promises[voter] = true
	if a.Accepted != nil && (p.acceptedView == nil || p.acceptedNumber.Less(a.AcceptedNumber)) {
		p.acceptedNumber, p.acceptedView = a.AcceptedNumber, a.Accepted
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

// HandleAcceptance takes a voter's answer to Accept.
func (p *Proposal) HandleAcceptance(voter string, a Response) ProposalState {
	if p.state != Accepting || !p.counts(voter, a) {
		return p.state
	}
	p.acceptances[voter] = true
	if len(p.acceptances) >= p.Base.Quorum() {
		p.state = Decided
	}
	return p.state
}

// counts tells whether an answer speaks for the proposal; if not, it may end it.
func (p *Proposal) counts(voter string, a Response) bool {
	if _, ok := p.Base.Voter(voter); !ok {
		return false
	}
	switch {
	case a.Newer != nil && a.Newer.Number > p.Base.Number:
		p.View, p.state = *a.Newer, Superseded
	case a.OK:
		return true
	default:
		if p.HighestSeen.Less(a.Promised) {
			p.HighestSeen = a.Promised
		}
		if p.rejections[voter] = true; len(p.Base.Voters)-len(p.rejections) < p.Base.Quorum() {
			p.state = Contended
		}
	}
	return false
}

// State is how far the proposal is.
func (p *Proposal) State() ProposalState { return p.state }
