package view

// Ballot orders the proposals for one view. A round is raised only where another proposer was
// met, so it does not grow with restarts; By names one life of one proposer, so that no two
// proposals share a ballot.
type Ballot struct {
	Round uint32
	By    string
}

// Less orders ballots.
func (b Ballot) Less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.By < o.By
}

// Vote is what an acceptor has to keep on disk, for the instance it votes on: the view after the
// one that it knows. That of an older instance is void.
type Vote struct {
	Instance uint64 // number of the view voted on
	Promised Ballot
	At       Ballot // of what was accepted
	Accepted *View  // nil: nothing
}

// Prepare asks for a promise. Base is the view whose voters decide; a voter that does not know it
// yet learns it from here. With Base.Number 0 the voters are the seeds, by address.
type Prepare struct {
	Base   View
	Ballot Ballot
}

// Accept asks to accept a view.
type Accept struct {
	Base   View
	Ballot Ballot
	View   View
}

// Answer is an acceptor's to both.
type Answer struct {
	OK       bool
	Promised Ballot // what stands against it, or the ballot itself
	At       Ballot // Prepare: of what was accepted before
	Accepted *View  // Prepare: what was accepted before
	Newer    *View  // the acceptor knows a newer view than Base: nothing else counts
	Refused  string // the acceptor has no vote here, and why
}

// Prepare is the vote after a question for a promise, and the answer that may go out once the vote
// is on disk. A ballot is promised once only.
func (v Vote) Prepare(instance uint64, b Ballot) (Vote, Answer) {
	if v.Instance != instance {
		v = Vote{Instance: instance}
	}
	if !v.Promised.Less(b) {
		return v, Answer{Promised: v.Promised}
	}
	v.Promised = b
	return v, Answer{OK: true, Promised: b, At: v.At, Accepted: v.Accepted}
}

// Accept is the vote after a proposal, and the answer that may go out once the vote is on disk.
func (v Vote) Accept(instance uint64, b Ballot, next View) (Vote, Answer) {
	if v.Instance != instance {
		v = Vote{Instance: instance}
	}
	if b.Less(v.Promised) {
		return v, Answer{Promised: v.Promised}
	}
	v.Promised, v.At, v.Accepted = b, b, &next
	return v, Answer{OK: true, Promised: b}
}

// Outcome is how far a proposal is.
type Outcome uint8

// The outcomes. Contended, Overtaken and Idle end a proposal without a decision.
const (
	Waiting   Outcome = iota
	Accepting         // ask all voters to accept Proposal.View
	Decided           // Proposal.View is the next view
	Contended         // Proposal.Seen stands against it: try again later with a higher round
	Overtaken         // Proposal.View is a newer view than the base
	Idle              // nothing to propose and nothing was accepted
)

// Proposal is one attempt of one proposer to have a view decided.
type Proposal struct {
	Base   View
	Ballot Ballot
	View   View   // what is proposed; after Accepting it may be another's
	Seen   Ballot // the highest that stood against it

	own      *View
	promised map[string]bool
	accepted map[string]bool
	refused  map[string]bool
	at       Ballot
	found    *View
	outcome  Outcome
}

// Propose starts an attempt. Without a view of its own it finishes what others left undecided.
func Propose(base View, b Ballot, own *View) *Proposal {
	return &Proposal{Base: base, Ballot: b, own: own,
		promised: map[string]bool{}, accepted: map[string]bool{}, refused: map[string]bool{}}
}

// Prepare is the question of the first phase.
func (p *Proposal) Prepare() Prepare { return Prepare{Base: p.Base, Ballot: p.Ballot} }

// Accept is the question of the second phase.
func (p *Proposal) Accept() Accept { return Accept{Base: p.Base, Ballot: p.Ballot, View: p.View} }

// Promised takes a voter's answer to Prepare.
func (p *Proposal) Promised(voter string, a Answer) Outcome {
	if p.outcome != Waiting || !p.counts(voter, a) {
		return p.outcome
	}
	p.promised[voter] = true
	if a.Accepted != nil && (p.found == nil || p.at.Less(a.At)) {
		p.at, p.found = a.At, a.Accepted
	}
	if len(p.promised) < p.Base.Majority() {
		return p.outcome
	}
	switch {
	case p.found != nil:
		p.View, p.outcome = *p.found, Accepting
	case p.own != nil:
		p.View, p.outcome = *p.own, Accepting
	default:
		p.outcome = Idle
	}
	return p.outcome
}

// Accepted takes a voter's answer to Accept.
func (p *Proposal) Accepted(voter string, a Answer) Outcome {
	if p.outcome != Accepting || !p.counts(voter, a) {
		return p.outcome
	}
	p.accepted[voter] = true
	if len(p.accepted) >= p.Base.Majority() {
		p.outcome = Decided
	}
	return p.outcome
}

// counts tells whether an answer speaks for the proposal; if not, it may end it.
func (p *Proposal) counts(voter string, a Answer) bool {
	if _, ok := p.Base.Voter(voter); !ok {
		return false
	}
	switch {
	case a.Newer != nil && a.Newer.Number > p.Base.Number:
		p.View, p.outcome = *a.Newer, Overtaken
	case a.OK:
		return true
	default:
		if p.Seen.Less(a.Promised) {
			p.Seen = a.Promised
		}
		if p.refused[voter] = true; len(p.Base.Voters)-len(p.refused) < p.Base.Majority() {
			p.outcome = Contended
		}
	}
	return false
}

// Outcome is how far the proposal is.
func (p *Proposal) Outcome() Outcome { return p.outcome }
