package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// startHandover starts the handover of a process; the channel is closed when it has returned.
func (p *testNode) startHandover() <-chan struct{} {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	done := make(chan struct{})
	m := p.member
	go func() {
		defer close(done)
		defer cancel()
		m.Handover(ctx)
	}()
	p.tb.Cleanup(func() { cancel(); <-done })
	return done
}

// awaitHandover waits for the end of a handover.
func (p *testNode) awaitHandover(over <-chan struct{}) {
	p.tb.Helper()
	select {
	case <-over:
	case <-time.After(waitLimit):
		require.FailNow(p.tb, "the handover does not end")
	}
}

func (p *testNode) chainPosition() int { return p.member.Status().Place }

// addNode starts one more machine of the core, before any other of the site.
func (s *testCluster) addNode(voters, members int) *testNode {
	fresh := newTestCluster(s.tb, 1, 0).nodes[0]
	s.nodes = append([]*testNode{fresh}, s.nodes...)
	s.start(fresh, false)
	fresh.waitUntil("it votes and is in the chain", func() bool {
		v, _ := fresh.member.View()
		return fresh.member.IsVoter() && len(v.Voters) == voters && len(v.Chain) == members && fresh.member.Status().Whole
	})
	return fresh
}

// A planned replacement leaves as many voters as there were: a loss right after it leaves a majority.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 3, 1)
	first, second := s.nodes[0], s.nodes[1]
	s.addNode(4, 4)
	first.awaitHandover(first.startHandover())
	require.False(t, first.member.Status().Voter)
	first.kill()
	second.kill()
	out.submitInTime(1, 2)
	require.Equal(t, int64(2), out.read().Revision)
}

// Two replacements in a row, a loss right after each.
func TestLossAfterReplacementsInARow(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 3, 1)
	old := append([]*testNode(nil), s.nodes[:3]...)
	for i, p := range old[:2] {
		s.addNode(4, 4)
		p.awaitHandover(p.startHandover())
		p.kill()
		old[2].kill()
		out.submitInTime(int64(i+1), int64(i+2))
		s.start(old[2], false)
		s.awaitFullChain(out)
		old[2].waitUntil("it holds everything", func() bool { return old[2].member.Status().Whole })
	}
	v, _ := out.member.View()
	require.Len(t, v.Voters, 3)
}

// The newcomer of a planned replacement dies before the old member ends.
func TestJoinerOfAPlannedReplacementFails(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 3, 1)
	first := s.nodes[0]
	s.addNode(4, 4).kill()
	first.awaitHandover(first.startHandover())
	first.kill()
	out.submitInTime(1, 2)
}

// A member without which too few copies are left is not let go before another has joined.
func TestLeavingMemberWaitsForItsSuccessor(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 3, 1)
	back, leaving := s.chainMember(1), s.chainMember(0)
	back.kill()
	out.submitInTime(1, 2)
	out.waitUntil("the dead member is left out", func() bool { return out.chainLen() == 2 })
	over := leaving.startHandover()
	select {
	case <-over:
		require.FailNow(t, "let go while too few copies are left")
	case <-time.After(1200 * time.Millisecond):
	}
	require.GreaterOrEqual(t, leaving.chainPosition(), 0)
	out.submitInTime(2, 3)
	s.start(back, false)
	leaving.awaitHandover(over)
	require.Negative(t, leaving.chainPosition())
	require.True(t, back.member.Status().Whole)
	leaving.kill()
	out.submitInTime(3, 4)
}

// The sole member of a core ends while its successor is being given the value.
func TestSoleMemberHandsOver(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, 1)
	s.machineLosses = 0
	s.startAll(true)
	old, out := s.nodes[0], s.nodes[1]
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(0, 1).Kind)
	fresh := newTestCluster(t, 1, 0).nodes[0]
	s.nodes = append([]*testNode{fresh}, s.nodes...)
	s.start(fresh, false)
	old.waitUntil("it knows the newcomer", func() bool { return len(old.member.Status().Peers) > 0 })
	old.awaitHandover(old.startHandover())
	require.False(t, old.member.Status().Voter)
	require.True(t, fresh.member.Status().Whole)
	out.waitUntil("it knows the successor", func() bool { v, _ := out.member.View(); return v.Head().Addr == fresh.addr })
	old.kill()
	require.Equal(t, int64(1), out.read().Revision)
	out.submitInTime(1, 2)
}

// Of four voters cut in halves neither half is a majority: no order is taken or refused, nothing is
// read and no view is decided, until they are one again.
func TestEvenPartitionHasNoQuorum(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 4, 1)
	before, _ := out.member.View()
	left, right := s.nodes[:2], s.nodes[2:4]
	cut := func(lost bool) {
		for _, a := range left {
			for _, b := range right {
				s.partition(a, b, lost)
				s.partition(b, a, lost)
			}
		}
	}
	cut(true)
	for _, p := range s.nodes[:4] {
		p.waitUntil("it knows that it has no majority", func() bool { return !p.member.HasQuorum() })
	}
	for i, p := range s.nodes[:4] {
		ctx, cancel := context.WithTimeout(context.Background(), faultUpdateLimit)
		verdict := p.member.Submit(ctx, &chain.Update{IfMatch: 1, Body: []byte{byte('2' + i)}})
		require.Equal(t, chain.OutcomeUnknown, verdict.Kind)
		stale := p.member.Submit(ctx, &chain.Update{IfMatch: 0, Body: []byte("9")})
		require.Equal(t, chain.OutcomeUnknown, stale.Kind, "a refusal needs a majority too")
		_, err := p.member.Read(ctx)
		require.Error(t, err)
		cancel()
		v, _ := p.member.View()
		require.Equal(t, before.Number, v.Number)
	}
	cut(false)
	// One of the four orders at most takes effect, before the next one or in its place.
	verdict := out.submitRevision(1, 20)
	if verdict.Kind == chain.OutcomeConflict {
		require.Contains(t, []int64{2, 3, 4, 5}, out.read().Revision)
		verdict = out.submitRevision(out.read().Revision, 20)
	}
	require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: 20}, verdict)
	for _, p := range s.nodes {
		require.Equal(t, int64(20), p.read().Revision)
	}
}

// Whole zones are lost one after the other, the next one as soon as the last one's machines hold
// everything or stand by.
func TestSuccessiveZoneLosses(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 6, 1)
	s.zoneLosses = 1
	for i, p := range s.nodes[:6] {
		p.zone = string(rune('a' + i%3))
	}
	s.startAll(true)
	out := s.nodes[6]
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(0, 1).Kind)
	for i, zone := range []string{"a", "b", "c", "a"} {
		for _, p := range s.nodes[:6] {
			p.waitUntil("it is in touch", p.member.HasQuorum)
			p.waitUntil("it is whole where it is in the chain", func() bool {
				status := p.member.Status()
				return len(status.View.Chain) >= 4 && (status.Place < 0 || status.Whole)
			})
		}
		for _, p := range s.nodes[:6] {
			if p.zone == zone {
				p.kill()
			}
		}
		out.submitInTime(int64(i+1), int64(i+2))
		v, _ := out.member.View()
		zones := map[string]bool{}
		for _, l := range v.Chain {
			zones[l.Zone] = true
		}
		require.GreaterOrEqual(t, len(zones), 2)
		for _, p := range s.nodes[:6] {
			if p.zone == zone {
				s.start(p, false)
			}
		}
	}
	require.Equal(t, int64(5), out.read().Revision)
}
