package view

import (
	"fmt"
	"hash/maphash"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

const (
	bootstrapSeeds = 3
	proposerCount  = 2
	// lastRound is the round from which on a proposer no longer proposes.
	lastRound = 9
	// maxStates limits the search.
	maxStates = 3_000_000
)

// bootstrap is a state of the decision on view 1. The acceptors of the three seeds are in memory, and two
// of the seeds propose initial views of their own. A request may arrive at any moment or never, and so
// may its response. A seed may be killed at any moment.
type bootstrap struct {
	acceptors        [bootstrapSeeds]AcceptorState
	stopped          [bootstrapSeeds]bool
	requests         [proposerCount][bootstrapSeeds]request
	proposals        [proposerCount]*Proposal
	rounds           [proposerCount]uint32
	remainingKills   int
	remainingRetries int
	forgetsPromises  bool  // the defect: a restarted seed votes without its promises
	decided          *View // nil until a proposer knows a decision
}

// request is a request to one seed in the current phase of a proposal.
type request struct {
	delivered, answered bool
	response            Response
}

// seedView is the base of the proposals: a view 0 with the seeds as its voters.
var seedView = func() (v View) {
	for i := range bootstrapSeeds {
		seed := Peer{ID: fmt.Sprint("seed", i), Addr: fmt.Sprint("seed", i)}
		v.Voters = append(v.Voters, seed)
	}
	return v
}()

func (b *bootstrap) Clone() *bootstrap {
	clone := *b
	for i, p := range b.proposals {
		if p == nil {
			continue
		}
		proposal := *p
		proposal.promises = maps.Clone(p.promises)
		proposal.acceptances = maps.Clone(p.acceptances)
		proposal.rejections = maps.Clone(p.rejections)
		clone.proposals[i] = &proposal
	}
	return &clone
}

// firstVoterID returns the ID of a view's first voter, which differs between the initial views of the
// proposers. It returns "-" if there is none.
func firstVoterID(v *View) string {
	if v == nil || len(v.Voters) == 0 {
		return "-"
	}
	return v.Voters[0].ID
}

// stateKey has all of a state that affects the following steps, for the hash of the state.
type stateKey struct {
	acceptors [bootstrapSeeds]struct {
		promised, acceptedNumber ProposalNumber
		accepted                 string
	}
	proposals [proposerCount]struct {
		state                             ProposalState
		acceptedNumber                    ProposalNumber
		acceptedView, view                string
		promises, acceptances, rejections int
	}
	requests [proposerCount][bootstrapSeeds]struct {
		delivered, answered, ok bool
		acceptedNumber          ProposalNumber
		accepted                string
	}
	stopped                          [bootstrapSeeds]bool
	rounds                           [proposerCount]uint32
	remainingKills, remainingRetries int
	decided                          string
}

var hashSeed = maphash.MakeSeed()

func (b *bootstrap) Hash() uint64 {
	key := stateKey{
		stopped: b.stopped, rounds: b.rounds, remainingKills: b.remainingKills, remainingRetries: b.remainingRetries,
		decided: firstVoterID(b.decided),
	}
	for i, acceptor := range b.acceptors {
		k := &key.acceptors[i]
		k.promised, k.acceptedNumber, k.accepted =
			acceptor.Promised, acceptor.AcceptedNumber, firstVoterID(acceptor.Accepted)
	}
	for i, p := range b.proposals {
		if k := &key.proposals[i]; p != nil {
			k.state, k.acceptedNumber, k.acceptedView, k.view =
				p.state, p.acceptedNumber, firstVoterID(p.acceptedView), firstVoterID(&p.View)
			k.promises, k.acceptances, k.rejections = len(p.promises), len(p.acceptances), len(p.rejections)
		}
		for j, r := range b.requests[i] {
			k := &key.requests[i][j]
			k.delivered, k.answered, k.ok = r.delivered, r.answered, r.response.OK
			k.acceptedNumber, k.accepted = r.response.AcceptedNumber, firstVoterID(r.response.Accepted)
		}
	}
	return maphash.Comparable(hashSeed, key)
}

// The possible steps are numbered: first the start of a proposal by each proposer, then the kill of each
// seed, then the next event (delivery of the request or of its response) for each request.
const (
	firstKill    = proposerCount
	firstRequest = firstKill + bootstrapSeeds
)

// possibleSteps returns the numbers of the steps that would change the state.
func (b *bootstrap) possibleSteps() (steps []int) {
	for proposer := range proposerCount {
		if b.mayPropose(proposer) {
			steps = append(steps, proposer)
		}
	}
	for seed := range bootstrapSeeds {
		if b.remainingKills > 0 && !b.stopped[seed] {
			steps = append(steps, firstKill+seed)
		}
	}
	for proposer, p := range b.proposals {
		for seed, r := range b.requests[proposer] {
			if p != nil && !r.answered && (r.delivered || !b.stopped[seed]) &&
				(p.state == Preparing || p.state == Accepting) {
				steps = append(steps, firstRequest+bootstrapSeeds*proposer+seed)
			}
		}
	}
	return steps
}

func (b *bootstrap) mayPropose(proposer int) bool {
	round, p := b.rounds[proposer], b.proposals[proposer]
	return !b.stopped[proposer] && (round == 0 || b.remainingRetries > 0 && round < lastRound) &&
		(p == nil || p.state != Decided)
}

func (b *bootstrap) Steps() int { return len(b.possibleSteps()) }

func (b *bootstrap) Do(n int) error {
	switch step := b.possibleSteps()[n]; {
	case step < firstKill:
		b.propose(step)
	case step < firstRequest:
		b.kill(step - firstKill)
	default:
		step -= firstRequest
		return b.advance(step/bootstrapSeeds, step%bootstrapSeeds)
	}
	return nil
}

func (b *bootstrap) propose(proposer int) {
	if b.rounds[proposer] > 0 {
		b.remainingRetries--
	}
	b.rounds[proposer]++
	voter := Peer{ID: fmt.Sprint("first", proposer), Addr: "a"}
	initial := View{Number: 1, Voters: []Peer{voter}, Chain: []Member{{voter, 1}}}
	number := ProposalNumber{Round: b.rounds[proposer], Proposer: fmt.Sprint("seed", proposer)}
	b.proposals[proposer] = NewProposal(seedView, number, &initial)
	b.requests[proposer] = [bootstrapSeeds]request{}
}

func (b *bootstrap) kill(seed int) {
	b.remainingKills--
	b.acceptors[seed] = AcceptorState{}
	b.stopped[seed] = !b.forgetsPromises
	if seed < proposerCount {
		b.proposals[seed], b.requests[seed], b.rounds[seed] = nil, [bootstrapSeeds]request{}, lastRound
	}
}

// advance delivers a proposer's request to a seed or, if that has arrived, the seed's response.
func (b *bootstrap) advance(proposer, seed int) error {
	p, r := b.proposals[proposer], &b.requests[proposer][seed]
	if !r.delivered {
		r.delivered = true
		if p.state == Preparing {
			b.acceptors[seed], r.response = b.acceptors[seed].Prepare(1, p.Number)
		} else {
			b.acceptors[seed], r.response = b.acceptors[seed].Accept(1, p.Number, p.View)
		}
		return nil
	}
	r.answered = true
	before := p.state
	if before == Preparing {
		p.HandlePromise(seedView.Voters[seed].ID, r.response)
	} else {
		p.HandleAcceptance(seedView.Voters[seed].ID, r.response)
	}
	switch {
	case p.state == Accepting && before == Preparing:
		b.requests[proposer] = [bootstrapSeeds]request{}
	case p.state == Decided:
		if b.decided != nil && !b.decided.Equal(p.View) {
			return fmt.Errorf("two initial views: %s and %s", firstVoterID(b.decided), firstVoterID(&p.View))
		}
		decided := p.View
		b.decided = &decided
	}
	return nil
}

func TestOneInitialView(t *testing.T) {
	starts := []*bootstrap{{remainingKills: 1}, {remainingKills: 2}}
	if !raceEnabled {
		starts = append(starts, &bootstrap{remainingRetries: 1})
	}
	for _, start := range starts {
		result := interleave.Search(start, maxStates)
		t.Log(result)
		require.NoError(t, result.Err, result.Trace)
		require.True(t, result.Exhausted, result.Limit)
	}
}

func TestForgottenPromisesAreDetected(t *testing.T) {
	start := &bootstrap{remainingKills: 1, forgetsPromises: true}
	result := interleave.Search(start, maxStates)
	t.Log(result)
	require.Error(t, result.Err)
	require.Error(t, interleave.Walk(start, result.Trace))
}
