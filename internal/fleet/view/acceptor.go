package view

// ProposalNumber orders the proposals of one Paxos instance. A proposer raises the round with each
// proposal that it makes, and starts at round 1 again after a restart, so that the round does not grow
// with restarts.
type ProposalNumber struct {
	Round    uint32 `msgpack:"Round"`
	Proposer string `msgpack:"By"` // identifies one incarnation of one proposer, so that numbers are unique
}

// Less reports whether n orders before other.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	return n.Round < other.Round || n.Round == other.Round && n.Proposer < other.Proposer
}

// AcceptorState is the state that an acceptor has to persist. It belongs to one Paxos instance; the
// state of an older instance is void.
type AcceptorState struct {
	Instance       uint64         `msgpack:"Instance"` // the view that is voted on: the newest known one + 1
	Promised       ProposalNumber `msgpack:"Promised"` // the highest number that was promised
	AcceptedNumber ProposalNumber `msgpack:"At"`       // proposal number of Accepted
	Accepted       *View          `msgpack:"Accepted"` // the accepted view; nil if none was accepted
}

// PrepareRequest asks an acceptor for a promise. The voters of Base decide. An acceptor that does not
// know Base yet learns it from the request. If Base.Number is 0, the voters are the seeds, identified by
// address.
type PrepareRequest struct {
	Base   View           `msgpack:"Base"`
	Number ProposalNumber `msgpack:"Ballot"`
}

// AcceptRequest asks an acceptor to accept View as the view that follows Base.
type AcceptRequest struct {
	Base   View           `msgpack:"Base"`
	Number ProposalNumber `msgpack:"Ballot"`
	View   View           `msgpack:"View"`
}

// Response is an acceptor's response to a PrepareRequest or an AcceptRequest. If Newer or RejectReason
// is set, the other fields are void.
type Response struct {
	OK             bool           `msgpack:"OK"`       // the promise or the acceptance is given
	Promised       ProposalNumber `msgpack:"Promised"` // the request's number if OK, else the promise that forbids it
	AcceptedNumber ProposalNumber `msgpack:"At"`       // set only for PrepareRequest: proposal number of Accepted
	Accepted       *View          `msgpack:"Accepted"` // set only for PrepareRequest: accepted earlier; nil if none was
	Newer          *View          `msgpack:"Newer"`    // a newer view than Base, which the acceptor knows; nil if none
	RejectReason   string         `msgpack:"Refused"`  // why the acceptor has no vote; empty if it has one
}

// Prepare handles a PrepareRequest. It returns the state to persist, and the response to send once
// that state is on disk. Each number is promised only once.
func (s AcceptorState) Prepare(instance uint64, number ProposalNumber) (AcceptorState, Response) {
	if s.Instance != instance {
		s = AcceptorState{Instance: instance}
	}
	if !s.Promised.Less(number) {
		return s, Response{Promised: s.Promised}
	}
	s.Promised = number
	return s, Response{OK: true, Promised: number, AcceptedNumber: s.AcceptedNumber, Accepted: s.Accepted}
}

// Accept handles an AcceptRequest. It returns the state to persist, and the response to send once that
// state is on disk.
func (s AcceptorState) Accept(instance uint64, number ProposalNumber, proposed View) (AcceptorState, Response) {
	if s.Instance != instance {
		s = AcceptorState{Instance: instance}
	}
	if number.Less(s.Promised) {
		return s, Response{Promised: s.Promised}
	}
	s.Promised, s.AcceptedNumber, s.Accepted = number, number, &proposed
	return s, Response{OK: true, Promised: number}
}
