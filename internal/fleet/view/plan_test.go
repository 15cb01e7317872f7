package view

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var policy = Policy{Tolerance: Tolerance{Machines: 1}, FailAfter: 600 * time.Millisecond, StableAfter: 300 * time.Millisecond, ReplaceAfter: 2 * time.Second}

func machineLosses(n int) Tolerance { return Tolerance{Machines: n} }

func machine(name string) Peer {
	return Peer{ID: name, Addr: name + ":1", Zone: name[:1], Disk: true, Counted: true}
}

func peers(names string) (out []Peer) {
	for _, n := range strings.Fields(names) {
		out = append(out, machine(n))
	}
	return out
}

// scene is a view with machines that are all well.
type scene struct {
	v         View
	health    map[string]Health
	tolerance *Tolerance // nil: that of policy
}

func newScene(t *testing.T, names string) *scene {
	v, ok := InitialView(peers(names), machineLosses(9))
	require.True(t, ok)
	s := &scene{v: v, health: map[string]Health{}}
	for _, p := range v.Voters {
		s.comes(p)
	}
	return s
}

func (s *scene) comes(p Peer) {
	h := Health{Peer: p, StableFor: time.Hour, Uptime: time.Hour, Complete: s.v.Position(p.ID) >= 0}
	for id, o := range s.health {
		o.ConnectedTo = append(o.ConnectedTo, p.ID)
		s.health[id] = o
		h.ConnectedTo = append(h.ConnectedTo, id)
	}
	s.health[p.ID] = h
}

func (s *scene) with(id string, change func(h *Health)) *scene {
	h := s.health[id]
	change(&h)
	s.health[id] = h
	return s
}

func (s *scene) silent(id string, d time.Duration) *scene {
	return s.with(id, func(h *Health) { h.SinceContact, h.StableFor = d, 0 })
}

func (s *scene) policy() Policy {
	p := policy
	if s.tolerance != nil {
		p.Tolerance = *s.tolerance
	}
	return p
}

// take takes the planned step as decided.
func (s *scene) take(t *testing.T, step Step) {
	t.Helper()
	require.NotNil(t, step.View)
	require.Equal(t, s.v.Number+1, step.View.Number)
	require.NoError(t, step.View.Validate())
	for id, h := range s.health {
		i := step.View.Position(id)
		h.Complete = i >= 0 && h.Complete && step.View.Chain[i].JoinedIn <= s.v.Number
		s.health[id] = h
	}
	s.v = *step.View
}

func (s *scene) chain() string {
	var out []string
	for _, l := range s.v.Chain {
		out = append(out, l.ID)
	}
	return strings.Join(out, " ")
}

func (s *scene) plan(t *testing.T) (Step, bool) {
	t.Helper()
	return Plan(s.v, s.v.Voters[0].ID, s.health, s.policy())
}

// next has the next step taken and compares the chain after it.
func (s *scene) next(t *testing.T, chain string) Step {
	t.Helper()
	step, ok := s.plan(t)
	require.True(t, ok, "a step is due")
	s.take(t, step)
	require.Equal(t, chain, s.chain(), step.Reason)
	return step
}

func (s *scene) nothing(t *testing.T) {
	t.Helper()
	step, ok := s.plan(t)
	require.False(t, ok, step.Reason)
}

func TestNothingIsDoneWhileAllAreWell(t *testing.T) {
	newScene(t, "a b c d").nothing(t)
	newScene(t, "a b c d").silent("b", 500*time.Millisecond).nothing(t)
}

func TestMembersInTroubleAreDropped(t *testing.T) {
	for name, change := range map[string]func(*Health){
		"silent": func(h *Health) { h.SinceContact, h.StableFor = 600*time.Millisecond, 0 },
		"sick":   func(h *Health) { h.DiskUnhealthy = true },
		"ending": func(h *Health) { h.Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, "a b c d").with("a", change)
			require.True(t, s.next(t, "b c d").Urgent)
			if name == "ending" { // three voters bear a loss, four of which one is away don't
				require.Equal(t, "a", s.next(t, "b c d").RemovedVoter)
				require.Equal(t, peers("b c d"), s.v.Voters)
			}
			s.nothing(t)
			s.with("a", func(h *Health) {
				*h = Health{Peer: machine("a"), StableFor: 200 * time.Millisecond, ConnectedTo: []string{"b", "c", "d"}}
			})
			s.nothing(t)
			s.with("a", func(h *Health) { h.StableFor = 300 * time.Millisecond })
			if name == "ending" {
				s.next(t, "b c d")
				require.Equal(t, peers("a b c d"), s.v.Voters)
			}
			s.next(t, "b c d a")
			s.with("a", func(h *Health) { h.Complete = true })
			s.nothing(t)
		})
	}
}

// While losses are to be borne, enough members that hold everything stay; another one joins first
// and is waited for.
func TestChainIsNotCutTooShort(t *testing.T) {
	s := newScene(t, "a b c d")
	s.silent("c", time.Second)
	s.next(t, "a b d")
	s.with("d", func(h *Health) { h.DiskUnhealthy = true })
	s.next(t, "a b")
	s.with("d", func(h *Health) { h.DiskUnhealthy = false })
	s.silent("a", time.Second)
	require.True(t, s.next(t, "a b d").Urgent)
	s.nothing(t)
	s.with("d", func(h *Health) { h.Complete = true })
	s.next(t, "b d")
	s.nothing(t)
}

func TestNoDropWithoutASecondMember(t *testing.T) {
	s := newScene(t, "a b c").silent("c", time.Second)
	s.next(t, "a b")
	s.with("b", func(h *Health) { h.DiskUnhealthy = true })
	s.nothing(t)
}

func TestNewHeadHoldsEverything(t *testing.T) {
	s := newScene(t, "a b c d")
	s.silent("d", time.Second).next(t, "a b c")
	s.silent("c", time.Second).next(t, "a b")
	s.with("c", func(h *Health) { h.SinceContact, h.StableFor = 0, time.Second })
	s.with("d", func(h *Health) { h.SinceContact, h.StableFor = 0, time.Second })
	s.next(t, "a b c")
	s.nothing(t) // c does not hold everything yet: one joins at a time
	s.with("c", func(h *Health) { h.Complete = true })
	s.next(t, "a b c d")
	s.with("d", func(h *Health) { h.Complete = true })
	s.nothing(t)
}

func TestUnreachedSuccessorIsDropped(t *testing.T) {
	s := newScene(t, "a b c d")
	s.with("b", func(h *Health) { h.ConnectedTo = []string{"a", "d"} })
	step, _ := s.plan(t)
	require.Equal(t, policy.StableAfter, step.Delay, "not for a moment")
	s.next(t, "a b d")
	s.nothing(t) // b can't reach it
	started := newScene(t, "a b c d").with("b", func(h *Health) { h.ConnectedTo, h.Uptime = nil, time.Second })
	started.nothing(t) // b has just started
	s.with("b", func(h *Health) { h.ConnectedTo = []string{"a", "c", "d"} })
	s.next(t, "a b d c")
}

// Beyond what the losses ask for, voters stand by; the one of the zone that has least goes first.
func TestVotersStandBy(t *testing.T) {
	s := &scene{health: map[string]Health{}}
	s.v, _ = InitialView(peers("a1 a2 a3 b1 b2 b3"), machineLosses(1))
	for _, p := range s.v.Voters {
		s.comes(p)
	}
	require.Equal(t, "a1 a2 b1 b2", s.chain())
	s.nothing(t)
	s.silent("a2", time.Second).silent("a1", time.Second)
	s.next(t, "a2 b1 b2")
	s.next(t, "b1 b2")
	s.next(t, "b1 b2 a3")
	s.with("a3", func(h *Health) { h.Complete = true })
	s.next(t, "b1 b2 a3 b3")
	s.with("b3", func(h *Health) { h.Complete = true })
	s.with("a1", func(h *Health) { h.SinceContact, h.StableFor = 0, time.Second })
	s.nothing(t)
}

func TestLostDiskIsANewcomer(t *testing.T) {
	s := newScene(t, "a b c d")
	s.silent("b", 200*time.Millisecond)
	fresh := Peer{ID: "x", Addr: "b:1", Disk: true, Counted: true}
	s.comes(fresh)
	s.with("x", func(h *Health) { h.StableFor = 100 * time.Millisecond })
	s.next(t, "a c d")
	s.nothing(t)
	s.with("x", func(h *Health) { h.StableFor = 300 * time.Millisecond })
	s.next(t, "a c d")
	_, old := s.v.Voter("b")
	require.False(t, old)
	require.Len(t, s.v.Voters, 4)
	s.next(t, "a c d x")
}

func TestVoterThatStaysAwayIsSwapped(t *testing.T) {
	s := newScene(t, "a b c d").silent("b", time.Second)
	s.next(t, "a c d")
	s.nothing(t) // nobody is there for it: never just removed
	s.comes(machine("e"))
	s.nothing(t) // not for a short time, and no voter is added while one is away
	s.silent("b", 2*time.Second)
	s.next(t, "a c d")
	require.Len(t, s.v.Voters, 4)
	s.next(t, "a c d e")
	s.with("e", func(h *Health) { h.Complete = true })
	s.with("b", func(h *Health) { h.SinceContact, h.StableFor = 0, time.Second })
	s.next(t, "a c d e")
	require.Len(t, s.v.Voters, 5, "the old one comes as one more")
	s.nothing(t)
}

func TestVotersAreBounded(t *testing.T) {
	s := newScene(t, "a b c d e f g h i")
	s.comes(machine("j"))
	s.nothing(t)
	s.silent("c", 3*time.Second)
	s.next(t, "a b d e f g h i")
	s.next(t, "a b d e f g h i")
	_, in := s.v.Voter("j")
	require.True(t, in)
	require.Len(t, s.v.Voters, 9)
}

func TestWhoMayVote(t *testing.T) {
	s := newScene(t, "a b c")
	loose, uncounted := machine("d"), machine("e")
	loose.Disk, uncounted.Counted = false, false
	s.comes(loose)
	s.comes(uncounted)
	s.nothing(t)
	s.v.InMemory = true
	s.next(t, "a b c")
	require.Len(t, s.v.Voters, 4)
}

func TestUndecidedViewIsFinished(t *testing.T) {
	s := newScene(t, "a b c").with("b", func(h *Health) { h.Undecided = true })
	step, ok := s.plan(t)
	require.True(t, ok)
	require.Nil(t, step.View)
	s.silent("b", time.Second)
	step, ok = s.plan(t)
	require.True(t, ok)
	require.NotNil(t, step.View)
}

func TestFirstView(t *testing.T) {
	_, ok := InitialView(nil, machineLosses(1))
	require.False(t, ok)

	loose := machine("z")
	loose.Disk = false
	v, ok := InitialView(append(peers("c a b"), loose), machineLosses(1))
	require.True(t, ok)
	require.NoError(t, v.Validate())
	require.Equal(t, peers("a b c"), v.Voters)
	require.False(t, v.InMemory)
	require.Equal(t, 2, v.Quorum())
	require.Equal(t, "a", v.Head().ID)
	require.Equal(t, "c", v.Tail().ID)

	v, _ = InitialView([]Peer{loose}, machineLosses(1))
	require.True(t, v.InMemory)

	uncounted := machine("b")
	uncounted.Counted = false
	v, _ = InitialView([]Peer{machine("a"), uncounted}, machineLosses(1))
	require.Equal(t, peers("a"), v.Voters)

	// Of many, each zone gives its part.
	v, _ = InitialView(peers("a1 a2 a3 a4 a5 a6 a7 a8 b1 b2 b3 b4 b5 c1 c2 c3"), machineLosses(2))
	require.Equal(t, peers("a1 a2 a3 b1 b2 b3 c1 c2 c3"), v.Voters)
	s := &scene{v: v}
	require.Equal(t, "a1 a2 b1 b2 c1", s.chain(), "and to the chain, which is not longer than losses ask for")
}

func TestImproperViewsAreRefused(t *testing.T) {
	good, _ := InitialView(peers("a b c"), machineLosses(1))
	for name, change := range map[string]func(v *View){
		"no number":          func(v *View) { v.Number = 0 },
		"no voters":          func(v *View) { v.Voters = nil },
		"too many":           func(v *View) { v.Voters = peers("a b c d e f g h i j") },
		"no chain":           func(v *View) { v.Chain = nil },
		"not in order":       func(v *View) { v.Voters[0], v.Voters[1] = v.Voters[1], v.Voters[0] },
		"twice a voter":      func(v *View) { v.Voters[0] = v.Voters[1] },
		"twice in the chain": func(v *View) { v.Chain[0] = v.Chain[1] },
		"no voter in chain":  func(v *View) { v.Chain[0].ID = "x" },
		"from the future":    func(v *View) { v.Chain[0].JoinedIn = 2 },
		"no address":         func(v *View) { v.Voters[0].Addr = "" },
		"long id":            func(v *View) { v.Voters[2].ID = strings.Repeat("x", 200) },
	} {
		v := good.Clone()
		require.NoError(t, v.Validate())
		change(&v)
		require.Error(t, v.Validate(), name)
	}
}

func TestProposal(t *testing.T) {
	base, _ := InitialView(peers("a b c"), machineLosses(1))
	own, others := base.RemoveMember("a"), base.RemoveMember("c")
	b := ProposalNumber{Round: 2, Proposer: "a/1"}
	t.Run("own view", func(t *testing.T) {
		p := NewProposal(base, b, &own)
		require.Equal(t, Preparing, p.HandlePromise("a", Response{OK: true}))
		require.Equal(t, Preparing, p.HandlePromise("a", Response{OK: true}), "one voice a voter")
		require.Equal(t, Preparing, p.HandlePromise("x", Response{OK: true}), "no voter")
		require.Equal(t, Accepting, p.HandlePromise("b", Response{OK: true}))
		require.True(t, own.Equal(p.View))
		require.Equal(t, Accepting, p.HandleAcceptance("a", Response{OK: true}))
		require.Equal(t, Decided, p.HandleAcceptance("c", Response{OK: true}))
	})
	t.Run("another's goes first", func(t *testing.T) {
		p := NewProposal(base, b, &own)
		p.HandlePromise("a", Response{OK: true, AcceptedNumber: ProposalNumber{Round: 1, Proposer: "c"}, Accepted: &others})
		require.Equal(t, Accepting, p.HandlePromise("b", Response{OK: true, AcceptedNumber: ProposalNumber{Round: 1, Proposer: "b"}, Accepted: &own}))
		require.True(t, others.Equal(p.View))
	})
	t.Run("contended", func(t *testing.T) {
		p := NewProposal(base, b, &own)
		require.Equal(t, Preparing, p.HandlePromise("a", Response{Promised: ProposalNumber{Round: 7}}))
		require.Equal(t, Contended, p.HandlePromise("b", Response{Promised: ProposalNumber{Round: 3}}))
		require.Equal(t, uint32(7), p.HighestSeen.Round)
	})
	t.Run("overtaken", func(t *testing.T) {
		p := NewProposal(base, b, &own)
		require.Equal(t, Superseded, p.HandlePromise("a", Response{Newer: &others}))
		require.True(t, others.Equal(p.View))
	})
	t.Run("nothing to finish", func(t *testing.T) {
		p := NewProposal(base, b, nil)
		p.HandlePromise("a", Response{OK: true})
		require.Equal(t, Idle, p.HandlePromise("b", Response{OK: true}))
	})
}

func TestVote(t *testing.T) {
	low, high := ProposalNumber{Round: 1, Proposer: "a"}, ProposalNumber{Round: 1, Proposer: "b"}
	view2 := View{Number: 2}
	v, a := AcceptorState{}.Prepare(2, low)
	require.True(t, a.OK)
	_, a = v.Prepare(2, low)
	require.False(t, a.OK, "a ballot is promised once")
	v, a = v.Prepare(2, high)
	require.True(t, a.OK)
	_, a = v.Accept(2, low, view2)
	require.False(t, a.OK)
	require.Equal(t, high, a.Promised)
	v, a = v.Accept(2, high, view2)
	require.True(t, a.OK)
	_, a = v.Accept(2, high, view2)
	require.True(t, a.OK, "the same again")
	_, a = v.Prepare(2, ProposalNumber{Round: 2})
	require.Equal(t, &view2, a.Accepted)
	require.Equal(t, high, a.AcceptedNumber)
	_, a = v.Prepare(3, low)
	require.True(t, a.OK, "the next view is another decision")
	require.Nil(t, a.Accepted)
}
