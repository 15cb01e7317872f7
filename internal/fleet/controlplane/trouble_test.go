package controlplane

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// faultUpdateLimit is what an order may take while one machine is in trouble.
const faultUpdateLimit = 2 * time.Second

// bootstrapped is a site that has taken its first order, and one of its processes without a disk.
func bootstrapped(t testing.TB, disks, others int) (*testCluster, *testNode) {
	s := newTestCluster(t, disks, others)
	s.startAll(true)
	last := s.nodes[len(s.nodes)-1]
	require.Equal(t, chain.OutcomeCommitted, last.submitRevision(0, 1).Kind)
	for _, p := range s.nodes[:disks] {
		p.waitUntil("in touch", p.member.HasQuorum)
	}
	s.awaitFullChain(last)
	return s, last
}

func (s *testCluster) chainMember(i int) *testNode {
	v, _ := s.nodes[len(s.nodes)-1].member.View()
	return s.nodeAt(v.Chain[i].Addr)
}

// submitInTime has an order taken and tells if that took too long.
func (p *testNode) submitInTime(ifMatch, body int64) {
	p.tb.Helper()
	begun := time.Now()
	require.Equal(p.tb, chain.OutcomeCommitted, p.submitRevision(ifMatch, body).Kind)
	took := time.Since(begun)
	p.tb.Logf("taken after %v", took)
	require.Less(p.tb, took, faultUpdateLimit)
}

func (s *testCluster) awaitFullChain(p *testNode) {
	s.tb.Helper()
	p.waitUntil("the chain is whole again", func() bool {
		v, _ := p.member.View()
		return len(v.Chain) == min(len(v.Voters), view.MaxChainLength(view.Tolerance{Machines: s.machineLosses}))
	})
}

func TestPartitionedHeadIsReplaced(t *testing.T) {
	t.Parallel()
	for name, bothWays := range map[string]bool{"both ways": true, "one way": false} {
		t.Run(name, func(t *testing.T) {
			s, out := bootstrapped(t, 4, 1)
			head := s.chainMember(0)
			s.isolate(head, true, bothWays)
			out.submitInTime(1, 2)
			ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			defer cancel()
			require.Equal(t, chain.OutcomeUnknown, head.member.Submit(ctx, &chain.Update{IfMatch: 1, Body: []byte("7")}).Kind)
			_, err := head.member.Read(ctx)
			require.Error(t, err)
			s.isolate(head, false, bothWays)
			s.awaitFullChain(out)
			head.waitUntil("it learns", func() bool { c, _ := head.member.Committed(); return c.Revision == 2 })
			out.submitInTime(2, 3)
		})
	}
}

func TestPartitionBetweenMiddleAndTail(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 4, 1)
	s.partition(s.chainMember(2), s.chainMember(3), true)
	s.partition(s.chainMember(3), s.chainMember(2), true)
	out.submitInTime(1, 2)
	require.Equal(t, int64(2), out.read().Revision)
}

// Pings go through, pushes don't.
func TestSuccessorThatReceivesNoPushesIsReplaced(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 4, 1)
	head, next := s.chainMember(0), s.chainMember(1)
	s.mu.Lock()
	s.unpushable = next
	s.mu.Unlock()
	out.submitInTime(1, 2)
	require.Equal(t, 3, head.chainLen())
}

func TestDiskFaults(t *testing.T) {
	t.Parallel()
	for place := range 4 {
		t.Run(fmt.Sprint("full at ", place), func(t *testing.T) {
			t.Parallel()
			s, out := bootstrapped(t, 4, 1)
			p := s.chainMember(place)
			p.disk.setFailWrites(true)
			out.submitInTime(1, 2)
			require.Equal(t, int64(2), out.read().Revision)
			p.disk.setFailWrites(false)
			s.awaitFullChain(out)
			out.submitInTime(2, 3)
		})
		t.Run(fmt.Sprint("stalled at ", place), func(t *testing.T) {
			t.Parallel()
			s, out := bootstrapped(t, 4, 1)
			p := s.chainMember(place)
			p.disk.stall(true)
			out.submitInTime(1, 2)
			require.Equal(t, int64(2), out.read().Revision)
			p.disk.stall(false)
			s.awaitFullChain(out)
			out.submitInTime(2, 3)
		})
	}
}

func TestPowerLossOfAllWithOneDiskLost(t *testing.T) {
	t.Parallel()
	for place := range 4 {
		t.Run(fmt.Sprint("the disk at ", place), func(t *testing.T) {
			t.Parallel()
			s, out := bootstrapped(t, 4, 1)
			out.submitInTime(1, 2)
			wiped := s.chainMember(place)
			for _, p := range s.nodes {
				p.kill()
			}
			wiped.dir = stateDir(t)
			s.startAll(false)
			require.Equal(t, int64(2), out.read().Revision)
			require.Equal(t, chain.OutcomeCommitted, out.submitRevision(2, 3).Kind)
			s.awaitFullChain(out)
		})
	}
}

func TestReplacementAtAnotherAddress(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 4, 1)
	gone := s.chainMember(1)
	gone.kill()
	fresh := newTestCluster(t, 1, 0).nodes[0]
	s.nodes = append([]*testNode{fresh}, s.nodes...)
	s.start(fresh, false)
	fresh.waitUntil("it has the place of the one that is gone", func() bool {
		v, _ := fresh.member.View()
		return fresh.member.IsVoter() && len(v.Voters) == 4 && len(v.Chain) == 4
	})
	out.submitInTime(1, 2)
	s.start(gone, false)
	gone.waitUntil("the old one comes as one more", func() bool {
		v, _ := gone.member.View()
		return gone.member.IsVoter() && len(v.Voters) == 5 && len(v.Chain) == 4
	})
}

func TestHandoverLeavesTheChain(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 4, 1)
	for range 3 {
		p := s.chainMember(0)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		p.member.Handover(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		v, _ := p.member.View()
		require.Negative(t, v.Position(p.member.Status().ID))
		p.kill()
		begun := time.Now()
		r := out.read().Revision
		require.Equal(t, chain.OutcomeCommitted, out.submitRevision(r, r+1).Kind)
		require.Less(t, time.Since(begun), 400*time.Millisecond)
		s.start(p, false)
		s.awaitFullChain(out)
	}
}

func TestClusterWithoutDisks(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 0, 5)
	s.startAll(true)
	p := s.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, p.submitRevision(0, 1).Kind)
	v, _ := p.member.View()
	require.True(t, v.Memory)
	require.Len(t, v.Voters, 5)
	lost := s.nodes[0]
	lost.kill()
	p.submitInTime(1, 2)
	s.start(lost, false)
	lost.waitUntil("it comes as a newcomer", func() bool {
		v, _ := lost.member.View()
		return lost.member.IsVoter() && len(v.Voters) == 5 && len(v.Chain) == 4
	})
	require.Equal(t, int64(2), lost.read().Revision)
	p.submitInTime(2, 3)
	for _, p := range s.nodes { // one of them stands by
		p.waitUntil("it has the value", func() bool { c, _ := p.member.Committed(); return c.Revision == 3 })
	}
}

func TestSmallestClusters(t *testing.T) {
	t.Parallel()
	for disks := 1; disks <= 3; disks++ {
		t.Run(fmt.Sprint(disks), func(t *testing.T) {
			s, out := bootstrapped(t, disks, 3)
			for _, p := range s.nodes {
				p.kill()
			}
			s.startAll(false)
			require.Equal(t, int64(1), out.read().Revision)
			require.Equal(t, chain.OutcomeCommitted, out.submitRevision(1, 2).Kind)
		})
	}
}

// The first start goes on whichever of the seeds is lost meanwhile.
func TestSeedIsLostDuringBootstrap(t *testing.T) {
	t.Parallel()
	for seed := range 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newTestCluster(t, 4, 2)
			for i, p := range s.nodes {
				if i != seed {
					s.start(p, true)
				}
			}
			require.Equal(t, chain.OutcomeCommitted, s.nodes[5].submitRevision(0, 1).Kind)
			lost := s.nodes[seed]
			s.start(lost, false) // as a process that is started again
			lost.waitUntil("it comes later", lost.member.IsVoter)
		})
	}
}

func TestNoBootstrapAfterFirstStart(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 3, 1)
	s.startAll(false)
	ctx, cancel := context.WithTimeout(context.Background(), 2*bootstrapDisklessDelay)
	defer cancel()
	require.Equal(t, chain.OutcomeUnknown, s.nodes[3].member.Submit(ctx, &chain.Update{Body: []byte("1")}).Kind)
	<-ctx.Done()
	for _, p := range s.nodes {
		_, known := p.member.View()
		require.False(t, known)
	}
}

// register is what operators see: compare-and-set by version, and reads.
type registerInput struct {
	read          bool
	ifMatch, body int64
}

type registerOutput struct {
	kind     chain.Outcome
	revision int64
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} }, // founded
	Step: func(state, input, output any) []any {
		cur, in, out := state.(int64), input.(registerInput), output.(registerOutput)
		switch {
		case in.read && out.kind != chain.OutcomeUnknown && out.revision != cur:
			return nil
		case in.read:
			return []any{cur}
		case out.kind == chain.OutcomeCommitted && in.ifMatch == cur:
			return []any{in.body}
		case out.kind == chain.OutcomeConflict && in.ifMatch != cur:
			return []any{cur}
		case out.kind == chain.OutcomeUnknown && in.ifMatch == cur:
			return []any{cur, in.body}
		case out.kind == chain.OutcomeUnknown:
			return []any{cur}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// maxResubmissions is how often an operator sends an order again.
const maxResubmissions = 3

// Operators send orders and reads to all machines while the head is killed, cut off or its disk
// stalls, and repeat orders at other agents whose answers were lost; the whole history is one of a
// register, where an order and its repeats are one operation.
func TestHistoryIsLinearizable(t *testing.T) {
	t.Parallel()
	s, _ := bootstrapped(t, 4, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var repeatedClear, repeatedUnclear atomic.Int64
	begun := time.Now()
	members := make([]*Member, len(s.nodes))
	for i, p := range s.nodes {
		members[i] = p.member
	}
	member := func(i int) *Member { mu.Lock(); defer mu.Unlock(); return members[i%len(members)] }
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			knows, n := int64(1), int64(0)
			for i := c; ctx.Err() == nil; i++ {
				op := porcupine.Operation{ClientId: c, Call: int64(time.Since(begun))}
				var in registerInput
				var out registerOutput
				octx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
				if i%3 == 0 {
					in.read = true
					if v, err := member(i).Read(octx); err == nil {
						out = registerOutput{chain.OutcomeCommitted, v.Revision}
						knows = v.Revision
					}
				} else {
					n++
					in.ifMatch, in.body = knows, knows+n*10+int64(c)+1
					order := revisionUpdate(in.ifMatch, in.body)
					v := member(i).Submit(octx, order)
					// An answer that is lost, or came too late: the same order goes to other agents.
					for again := 1; again <= maxResubmissions && (v.Kind == chain.OutcomeUnknown || again == 1 && i%2 == 0); again++ {
						first := v
						rctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
						v = member(i+again).Submit(rctx, order)
						cancel()
						if first.Kind == chain.OutcomeUnknown {
							repeatedUnclear.Add(1)
							continue
						}
						if v.Kind != chain.OutcomeUnknown {
							assert.Equal(t, first.Kind, v.Kind, "a repeated order gets another answer")
							if first.Kind == chain.OutcomeCommitted { // a refusal names the newest revision
								assert.Equal(t, first.Revision, v.Revision)
							}
							repeatedClear.Add(1)
						}
						v = first
					}
					out = registerOutput{v.Kind, v.Revision}
					if v.Kind == chain.OutcomeCommitted || v.Kind == chain.OutcomeConflict {
						knows = v.Revision
					}
				}
				cancel()
				op.Input, op.Output, op.Return = in, out, int64(time.Since(begun))
				if out.kind == chain.OutcomeUnknown {
					if in.read {
						continue
					}
					op.Return = 1 << 60 // it may be taken at any later time
				}
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		}()
	}
	for i := 0; ctx.Err() == nil; i++ {
		p := s.chainMember(0)
		switch i % 3 {
		case 0:
			j := -1
			for k, o := range s.nodes {
				if o == p {
					j = k
				}
			}
			p.kill()
			s.start(p, false)
			mu.Lock()
			members[j] = p.member
			mu.Unlock()
		case 1:
			s.isolate(p, true, true)
			s.waitUntil(ctx, func() bool { v, _ := s.nodes[4].member.View(); return v.Head().Addr != p.addr })
			s.isolate(p, false, true)
		case 2:
			p.disk.stall(true)
			s.waitUntil(ctx, func() bool { v, _ := s.nodes[4].member.View(); return v.Head().Addr != p.addr })
			p.disk.stall(false)
		}
		s.waitUntil(ctx, func() bool { v, _ := s.nodes[4].member.View(); return len(v.Chain) == 4 })
	}
	wg.Wait()
	taken := 0
	for _, op := range ops {
		if op.Output.(registerOutput).kind == chain.OutcomeCommitted && !op.Input.(registerInput).read {
			taken++
		}
	}
	require.Greater(t, taken, 10)
	t.Logf("%d operations, %d orders taken, %d repeated after a clear answer and %d after none", len(ops), taken, repeatedClear.Load(), repeatedUnclear.Load())
	require.Positive(t, repeatedClear.Load())
	require.Positive(t, repeatedUnclear.Load())
	require.True(t, porcupine.CheckOperations(registerModel.ToModel(), ops), "the history is not one of a register")
}

// waitUntil waits for a condition or ctx.
func (s *testCluster) waitUntil(ctx context.Context, ok func() bool) {
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for !ok() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

func TestDivergentValueIsRepaired(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 4, 1)
	p := s.chainMember(1)
	p.waitUntil("the value comes", func() bool { c, _ := p.member.Committed(); return c.Revision == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(t, p.member.acquireWrite(ctx))
	rec := p.member.replica().Record
	rec.Value.Body = []byte("7")
	require.NoError(t, p.member.persistRecord(rec))
	p.member.mu.Lock()
	p.member.register.committed, p.member.register.checksum = rec.Value, rec.Value.Checksum()
	p.member.mu.Unlock()
	p.member.releaseWrite()
	p.waitUntil("it is what the others hold", func() bool {
		c, _ := p.member.Committed()
		return string(c.Body) == "1" && string(p.member.replica().Record.Value.Body) == "1"
	})
	out.submitInTime(1, 2)
}

func TestInspect(t *testing.T) {
	t.Parallel()
	s, _ := bootstrapped(t, 3, 1)
	p := s.chainMember(2)
	status := p.member.Status()
	p.kill()
	st, rep, err := Inspect(p.dir)
	require.NoError(t, err)
	require.False(t, rep.Damaged)
	require.Equal(t, status.ID, st.ID)
	require.True(t, status.View.Equal(st.View))
	require.Equal(t, uint64(1), st.Record.Value.Seq)
	require.Equal(t, "1", string(st.Record.Value.Body))
	_, _, err = Inspect(stateDir(t))
	require.NoError(t, err, "an empty folder")
}

// A process that slept counts the silence of others from its waking.
func TestResumedProcessTrustsNoEarlierContact(t *testing.T) {
	t.Parallel()
	s, _ := bootstrapped(t, 4, 1)
	m := s.chainMember(0).member
	now := time.Now().Add(time.Hour)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.False(t, m.hasQuorumLocked(now))
	for awake, want := range map[time.Time]bool{m.pauses.resumedAt: true, now: false} {
		m.pauses.resumedAt = awake
		for id, h := range m.healthLocked(now) {
			require.Equal(t, want && id != m.self.ID, h.SinceContact >= peerTimeout)
		}
	}
}
