package view

// ProposalNumber orders the proposals of one instance. A proposer raises the round only after it met
// another proposer, so the round does not grow with restarts. Proposer names one incarnation of one
// proposer, so that no two proposals share a number.
type ProposalNumber struct {
	Round    uint32 `msgpack:"Round"`
	Proposer string `msgpack:"By"`
}

// Less reports whether n orders before other.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	return n.Round < other.Round || n.Round == other.Round && n.Proposer < other.Proposer
}

// AcceptorState is what an acceptor has to persist. It belongs to one instance: the number of the
// view that the acceptor votes on, which is the one after the newest that it knows. The state of an
// older instance is void.
type AcceptorState struct {
	Instance       uint64         `msgpack:"Instance"`
	Promised       ProposalNumber `msgpack:"Promised"` // the highest number that was promised
	AcceptedNumber ProposalNumber `msgpack:"At"`       // of Accepted
	Accepted       *View          `msgpack:"Accepted"` // nil: nothing was accepted
}

// PrepareRequest asks an acceptor for a promise. The voters of Base decide; an acceptor that does not
// know Base yet learns it from here. With Base.Number 0 the voters are the seeds, by address.
type PrepareRequest struct {
	Base   View           `msgpack:"Base"`
	Number ProposalNumber `msgpack:"Ballot"`
}

// AcceptRequest asks an acceptor to accept a view as the one after Base.
type AcceptRequest struct {
	Base   View           `msgpack:"Base"`
	Number ProposalNumber `msgpack:"Ballot"`
	View   View           `msgpack:"View"`
}

// Response is an acceptor's answer to both requests.
type Response struct {
	OK             bool           `msgpack:"OK"`
	Promised       ProposalNumber `msgpack:"Promised"` // the request's number if OK, else the higher number that prevents it
	AcceptedNumber ProposalNumber `msgpack:"At"`       // to PrepareRequest: the number of Accepted
	Accepted       *View          `msgpack:"Accepted"` // to PrepareRequest: the view that the acceptor accepted before
	Newer          *View          `msgpack:"Newer"`    // the acceptor knows a newer view than Base; the other fields are void
	RejectReason   string         `msgpack:"Refused"`  // the acceptor has no vote; the other fields are void
}

// Prepare handles a PrepareRequest. It returns the state to persist, and the response to send once
// that is on disk. Each number is promised once only.
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
// is on disk.
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
