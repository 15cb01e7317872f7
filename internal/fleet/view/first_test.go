package view

import (
	"fmt"
	"hash/maphash"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// founding is the first start as far as view 1 goes: three seeds whose acceptors are in memory, two
// of them with views of their own to propose. A question is taken by a seed at any moment or never,
// and so is its answer by the one that asked; a seed may be killed at any moment.
type founding struct {
	votes   [3]AcceptorState
	gone    [3]bool
	calls   [2][3]call
	props   [2]*Proposal
	rounds  [2]uint32
	kills   int  // left
	retries int  // left
	forgets bool // the defect: a seed that is started again votes, without its promises
	decided *View
}

// call is one question of the phase that a proposal is in.
type call struct {
	asked, done bool
	a           Response
}

var seeds = func() (v View) {
	for i := range 3 {
		p := Peer{ID: fmt.Sprint("seed", i), Addr: fmt.Sprint("seed", i)}
		v.Voters = append(v.Voters, p)
	}
	return v
}()

func (f *founding) Clone() *founding {
	c := *f
	for i, p := range f.props {
		if p != nil {
			q := *p
			q.promises, q.acceptances, q.rejections = maps.Clone(p.promises), maps.Clone(p.acceptances), maps.Clone(p.rejections)
			c.props[i] = &q
		}
	}
	return &c
}

func named(v *View) string {
	if v == nil || len(v.Voters) == 0 {
		return "-"
	}
	return v.Voters[0].ID
}

// key is all of a state that matters to what follows.
type key struct {
	votes [3]struct {
		promised, at ProposalNumber
		accepted     string
	}
	props [2]struct {
		outcome                     ProposalState
		at                          ProposalNumber
		found, view                 string
		promised, accepted, refused int
	}
	calls [2][3]struct {
		asked, done, ok bool
		at              ProposalNumber
		accepted        string
	}
	gone           [3]bool
	rounds         [2]uint32
	kills, retries int
	decided        string
}

var hashSeed = maphash.MakeSeed()

func (f *founding) Hash() uint64 {
	k := key{gone: f.gone, rounds: f.rounds, kills: f.kills, retries: f.retries, decided: named(f.decided)}
	for i, v := range f.votes {
		k.votes[i].promised, k.votes[i].at, k.votes[i].accepted = v.Promised, v.AcceptedNumber, named(v.Accepted)
	}
	for i, p := range f.props {
		if q := &k.props[i]; p != nil {
			q.outcome, q.at, q.found, q.view = p.state, p.acceptedNumber, named(p.acceptedView), named(&p.View)
			q.promised, q.accepted, q.refused = len(p.promises), len(p.acceptances), len(p.rejections)
		}
		for j, c := range f.calls[i] {
			q := &k.calls[i][j]
			q.asked, q.done, q.ok, q.at, q.accepted = c.asked, c.done, c.a.OK, c.a.AcceptedNumber, named(c.a.Accepted)
		}
	}
	return maphash.Comparable(hashSeed, k)
}

// able are the steps that change something: of two proposers that begin, 0 and 1, of three seeds
// that are killed, 2 to 4, and of the questions and answers of each proposer, 5 to 10.
func (f *founding) able() (out []int) {
	for by := range 2 {
		if !f.gone[by] && (f.rounds[by] == 0 || f.retries > 0 && f.rounds[by] < 9) && (f.props[by] == nil || f.props[by].state != Decided) {
			out = append(out, by)
		}
	}
	for seed := range 3 {
		if f.kills > 0 && !f.gone[seed] {
			out = append(out, 2+seed)
		}
	}
	for by, p := range f.props {
		for seed, c := range f.calls[by] {
			if p != nil && !c.done && (c.asked || !f.gone[seed]) && (p.state == Preparing || p.state == Accepting) {
				out = append(out, 5+3*by+seed)
			}
		}
	}
	return out
}

func (f *founding) Steps() int { return len(f.able()) }

func (f *founding) Do(n int) error {
	switch i := f.able()[n]; {
	case i < 2:
		f.begin(i)
	case i < 5:
		f.kill(i - 2)
	default:
		return f.turn((i-5)/3, (i-5)%3)
	}
	return nil
}

func (f *founding) begin(by int) {
	if f.rounds[by] > 0 {
		f.retries--
	}
	f.rounds[by]++
	p := Peer{ID: fmt.Sprint("first", by), Addr: "a"}
	own := View{Number: 1, Voters: []Peer{p}, Chain: []Member{{p, 1}}}
	f.props[by] = NewProposal(seeds, ProposalNumber{Round: f.rounds[by], Proposer: fmt.Sprint("seed", by)}, &own)
	f.calls[by] = [3]call{}
}

func (f *founding) kill(seed int) {
	f.kills--
	f.votes[seed] = AcceptorState{}
	f.gone[seed] = !f.forgets
	if seed < 2 {
		f.props[seed], f.calls[seed], f.rounds[seed] = nil, [3]call{}, 9 // it proposes no more
	}
}

// turn is the next step of one question.
func (f *founding) turn(by, seed int) error {
	p, c := f.props[by], &f.calls[by][seed]
	if !c.asked {
		c.asked = true
		if p.state == Preparing {
			f.votes[seed], c.a = f.votes[seed].Prepare(1, p.Number)
		} else {
			f.votes[seed], c.a = f.votes[seed].Accept(1, p.Number, p.View)
		}
		return nil
	}
	c.done = true
	was := p.state
	if was == Preparing {
		p.HandlePromise(seeds.Voters[seed].ID, c.a)
	} else {
		p.HandleAcceptance(seeds.Voters[seed].ID, c.a)
	}
	switch {
	case p.state == Accepting && was == Preparing:
		f.calls[by] = [3]call{}
	case p.state == Decided:
		if f.decided != nil && !f.decided.Equal(p.View) {
			return fmt.Errorf("two first views: %s and %s", named(f.decided), named(&p.View))
		}
		v := p.View
		f.decided = &v
	}
	return nil
}

func TestThereIsOneFirstView(t *testing.T) {
	starts := []*founding{{kills: 1}, {kills: 2}}
	if !raced {
		starts = append(starts, &founding{retries: 1})
	}
	for _, start := range starts {
		res := interleave.Search(start, 3_000_000)
		t.Log(res)
		require.NoError(t, res.Err, res.Trace)
		require.True(t, res.Exhausted, res.Limit)
	}
}

func TestForgottenPromisesAreFound(t *testing.T) {
	start := &founding{kills: 1, forgets: true}
	res := interleave.Search(start, 3_000_000)
	t.Log(res)
	require.Error(t, res.Err)
	require.Error(t, interleave.Walk(start, res.Trace))
}
