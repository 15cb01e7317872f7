package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// handover starts the handover of a process; the channel is closed when it has returned.
func (p *proc) handover() <-chan struct{} {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	done := make(chan struct{})
	m := p.m
	go func() {
		defer close(done)
		defer cancel()
		m.Handover(ctx)
	}()
	p.t.Cleanup(func() { cancel(); <-done })
	return done
}

// awaitHandover waits for the end of a handover.
func (p *proc) awaitHandover(over <-chan struct{}) {
	p.t.Helper()
	select {
	case <-over:
	case <-time.After(patience):
		require.FailNow(p.t, "the handover does not end")
	}
}

func (p *proc) placeInChain() int { return p.m.Status().Place }

// joins starts one more machine of the core, before any other of the site.
func (s *site) joins(voters, members int) *proc {
	fresh := newSite(s.t, 1, 0).procs[0]
	s.procs = append([]*proc{fresh}, s.procs...)
	s.start(fresh, false)
	fresh.until("it votes and is in the chain", func() bool {
		v, _ := fresh.m.View()
		return fresh.m.IsCore() && len(v.Voters) == voters && len(v.Chain) == members && fresh.m.Status().Whole
	})
	return fresh
}

// A planned replacement leaves as many voters as there were: a loss right after it leaves a majority.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 3, 1)
	first, second := s.procs[0], s.procs[1]
	s.joins(4, 4)
	first.awaitHandover(first.handover())
	require.False(t, first.m.Status().Voter)
	first.kill()
	second.kill()
	out.inTime(1, 2)
	require.Equal(t, int64(2), out.read().Revision)
}

// Two replacements in a row, a loss right after each.
func TestLossAfterReplacementsInARow(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 3, 1)
	old := append([]*proc(nil), s.procs[:3]...)
	for i, p := range old[:2] {
		s.joins(4, 4)
		p.awaitHandover(p.handover())
		p.kill()
		old[2].kill()
		out.inTime(int64(i+1), int64(i+2))
		s.start(old[2], false)
		s.whole(out)
		old[2].until("it holds everything", func() bool { return old[2].m.Status().Whole })
	}
	v, _ := out.m.View()
	require.Len(t, v.Voters, 3)
}

// The newcomer of a planned replacement dies before the old member ends.
func TestNewcomerOfAPlannedReplacementDies(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 3, 1)
	first := s.procs[0]
	s.joins(4, 4).kill()
	first.awaitHandover(first.handover())
	first.kill()
	out.inTime(1, 2)
}

// A member without which too few copies are left is not let go before another has joined.
func TestLeavingMemberWaitsForItsSuccessor(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 3, 1)
	back, leaving := s.place(1), s.place(0)
	back.kill()
	out.inTime(1, 2)
	out.until("the dead member is left out", func() bool { return out.chainLen() == 2 })
	over := leaving.handover()
	select {
	case <-over:
		require.FailNow(t, "let go while too few copies are left")
	case <-time.After(1200 * time.Millisecond):
	}
	require.GreaterOrEqual(t, leaving.placeInChain(), 0)
	out.inTime(2, 3)
	s.start(back, false)
	leaving.awaitHandover(over)
	require.Negative(t, leaving.placeInChain())
	require.True(t, back.m.Status().Whole)
	leaving.kill()
	out.inTime(3, 4)
}

// The sole member of a core ends while its successor is being given the value.
func TestOnlyCopyIsHandedOver(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.loss = 0
	s.startAll(true)
	old, out := s.procs[0], s.procs[1]
	require.Equal(t, chain.Taken, out.order(0, 1).Kind)
	fresh := newSite(t, 1, 0).procs[0]
	s.procs = append([]*proc{fresh}, s.procs...)
	s.start(fresh, false)
	old.until("it knows the newcomer", func() bool { return len(old.m.Status().Peers) > 0 })
	old.awaitHandover(old.handover())
	require.False(t, old.m.Status().Voter)
	require.True(t, fresh.m.Status().Whole)
	out.until("it knows the successor", func() bool { v, _ := out.m.View(); return v.Head().Addr == fresh.addr })
	old.kill()
	require.Equal(t, int64(1), out.read().Revision)
	out.inTime(1, 2)
}

// Of four voters cut in halves neither half is a majority: no order is taken or refused, nothing is
// read and no view is decided, until they are one again.
func TestEvenVotersCutInHalves(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	before, _ := out.m.View()
	left, right := s.procs[:2], s.procs[2:4]
	cut := func(lost bool) {
		for _, a := range left {
			for _, b := range right {
				s.cut(a, b, lost)
				s.cut(b, a, lost)
			}
		}
	}
	cut(true)
	for _, p := range s.procs[:4] {
		p.until("it knows that it has no majority", func() bool { return !p.m.Linked() })
	}
	for i, p := range s.procs[:4] {
		ctx, cancel := context.WithTimeout(context.Background(), soon)
		verdict := p.m.Submit(ctx, &chain.Order{IfMatch: 1, Body: []byte{byte('2' + i)}})
		require.Equal(t, chain.Unclear, verdict.Kind)
		stale := p.m.Submit(ctx, &chain.Order{IfMatch: 0, Body: []byte("9")})
		require.Equal(t, chain.Unclear, stale.Kind, "a refusal needs a majority too")
		_, err := p.m.Read(ctx)
		require.Error(t, err)
		cancel()
		v, _ := p.m.View()
		require.Equal(t, before.Number, v.Number)
	}
	cut(false)
	// One of the four orders at most takes effect, before the next one or in its place.
	verdict := out.order(1, 20)
	if verdict.Kind == chain.Conflict {
		require.Contains(t, []int64{2, 3, 4, 5}, out.read().Revision)
		verdict = out.order(out.read().Revision, 20)
	}
	require.Equal(t, chain.Verdict{Kind: chain.Taken, Revision: 20}, verdict)
	for _, p := range s.procs {
		require.Equal(t, int64(20), p.read().Revision)
	}
}

// Whole zones are lost one after the other, the next one as soon as the last one's machines hold
// everything or stand by.
func TestZonesAreLostOneAfterTheOther(t *testing.T) {
	t.Parallel()
	s := newSite(t, 6, 1)
	s.zones = 1
	for i, p := range s.procs[:6] {
		p.zone = string(rune('a' + i%3))
	}
	s.startAll(true)
	out := s.procs[6]
	require.Equal(t, chain.Taken, out.order(0, 1).Kind)
	for i, zone := range []string{"a", "b", "c", "a"} {
		for _, p := range s.procs[:6] {
			p.until("it is in touch", p.m.Linked)
			p.until("it is whole where it is in the chain", func() bool {
				status := p.m.Status()
				return len(status.View.Chain) >= 4 && (status.Place < 0 || status.Whole)
			})
		}
		for _, p := range s.procs[:6] {
			if p.zone == zone {
				p.kill()
			}
		}
		out.inTime(int64(i+1), int64(i+2))
		v, _ := out.m.View()
		zones := map[string]bool{}
		for _, l := range v.Chain {
			zones[l.Zone] = true
		}
		require.GreaterOrEqual(t, len(zones), 2)
		for _, p := range s.procs[:6] {
			if p.zone == zone {
				s.start(p, false)
			}
		}
	}
	require.Equal(t, int64(5), out.read().Revision)
}
