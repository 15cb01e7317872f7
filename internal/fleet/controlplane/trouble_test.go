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

// soon is what an order may take while one machine is in trouble.
const soon = 2 * time.Second

// founded is a site that has taken its first order, and one of its processes without a disk.
func founded(t testing.TB, disks, others int) (*site, *proc) {
	s := newSite(t, disks, others)
	s.startAll(true)
	last := s.procs[len(s.procs)-1]
	require.Equal(t, chain.Taken, last.order(0, 1).Kind)
	for _, p := range s.procs[:disks] {
		p.until("in touch", p.m.Linked)
	}
	s.whole(last)
	return s, last
}

func (s *site) place(i int) *proc {
	v, _ := s.procs[len(s.procs)-1].m.View()
	return s.at(v.Chain[i].Addr)
}

// inTime has an order taken and tells if that took too long.
func (p *proc) inTime(ifMatch, body int64) {
	p.t.Helper()
	begun := time.Now()
	require.Equal(p.t, chain.Taken, p.order(ifMatch, body).Kind)
	took := time.Since(begun)
	p.t.Logf("taken after %v", took)
	require.Less(p.t, took, soon)
}

func (s *site) whole(p *proc) {
	s.t.Helper()
	p.until("the chain is whole again", func() bool {
		v, _ := p.m.View()
		return len(v.Chain) == min(len(v.Voters), view.Most(view.Tolerance{Machines: s.loss}))
	})
}

func TestHeadIsCutOff(t *testing.T) {
	t.Parallel()
	for name, bothWays := range map[string]bool{"both ways": true, "one way": false} {
		t.Run(name, func(t *testing.T) {
			s, out := founded(t, 4, 1)
			head := s.place(0)
			s.isolate(head, true, bothWays)
			out.inTime(1, 2)
			ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			defer cancel()
			require.Equal(t, chain.Unclear, head.m.Submit(ctx, &chain.Order{IfMatch: 1, Body: []byte("7")}).Kind)
			_, err := head.m.Read(ctx)
			require.Error(t, err)
			s.isolate(head, false, bothWays)
			s.whole(out)
			head.until("it learns", func() bool { c, _ := head.m.Committed(); return c.Revision == 2 })
			out.inTime(2, 3)
		})
	}
}

func TestMiddleCantReachTail(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	s.cut(s.place(2), s.place(3), true)
	s.cut(s.place(3), s.place(2), true)
	out.inTime(1, 2)
	require.Equal(t, int64(2), out.read().Revision)
}

// Pings go through, pushes don't.
func TestSuccessorTakesNoPushes(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	head, next := s.place(0), s.place(1)
	s.mu.Lock()
	s.deaf = next
	s.mu.Unlock()
	out.inTime(1, 2)
	require.Equal(t, 3, head.chainLen())
}

func TestDiskInTrouble(t *testing.T) {
	t.Parallel()
	for place := range 4 {
		t.Run(fmt.Sprint("full at ", place), func(t *testing.T) {
			t.Parallel()
			s, out := founded(t, 4, 1)
			p := s.place(place)
			p.disk.setFull(true)
			out.inTime(1, 2)
			require.Equal(t, int64(2), out.read().Revision)
			p.disk.setFull(false)
			s.whole(out)
			out.inTime(2, 3)
		})
		t.Run(fmt.Sprint("stalled at ", place), func(t *testing.T) {
			t.Parallel()
			s, out := founded(t, 4, 1)
			p := s.place(place)
			p.disk.stall(true)
			out.inTime(1, 2)
			require.Equal(t, int64(2), out.read().Revision)
			p.disk.stall(false)
			s.whole(out)
			out.inTime(2, 3)
		})
	}
}

func TestAllLosePowerAndOneItsDisk(t *testing.T) {
	t.Parallel()
	for place := range 4 {
		t.Run(fmt.Sprint("the disk at ", place), func(t *testing.T) {
			t.Parallel()
			s, out := founded(t, 4, 1)
			out.inTime(1, 2)
			wiped := s.place(place)
			for _, p := range s.procs {
				p.kill()
			}
			wiped.dir = stateDir(t)
			s.startAll(false)
			require.Equal(t, int64(2), out.read().Revision)
			require.Equal(t, chain.Taken, out.order(2, 3).Kind)
			s.whole(out)
		})
	}
}

func TestReplacedAtAnotherAddress(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	gone := s.place(1)
	gone.kill()
	fresh := newSite(t, 1, 0).procs[0]
	s.procs = append([]*proc{fresh}, s.procs...)
	s.start(fresh, false)
	fresh.until("it has the place of the one that is gone", func() bool {
		v, _ := fresh.m.View()
		return fresh.m.IsCore() && len(v.Voters) == 4 && len(v.Chain) == 4
	})
	out.inTime(1, 2)
	s.start(gone, false)
	gone.until("the old one comes as one more", func() bool {
		v, _ := gone.m.View()
		return gone.m.IsCore() && len(v.Voters) == 5 && len(v.Chain) == 4
	})
}

func TestHandoverLeavesTheChain(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	for range 3 {
		p := s.place(0)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		p.m.Handover(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		v, _ := p.m.View()
		require.Negative(t, v.Place(p.m.Status().ID))
		p.kill()
		begun := time.Now()
		r := out.read().Revision
		require.Equal(t, chain.Taken, out.order(r, r+1).Kind)
		require.Less(t, time.Since(begun), 400*time.Millisecond)
		s.start(p, false)
		s.whole(out)
	}
}

func TestCoreWithoutDisks(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 5)
	s.startAll(true)
	p := s.procs[4]
	require.Equal(t, chain.Taken, p.order(0, 1).Kind)
	v, _ := p.m.View()
	require.True(t, v.Memory)
	require.Len(t, v.Voters, 5)
	lost := s.procs[0]
	lost.kill()
	p.inTime(1, 2)
	s.start(lost, false)
	lost.until("it comes as a newcomer", func() bool {
		v, _ := lost.m.View()
		return lost.m.IsCore() && len(v.Voters) == 5 && len(v.Chain) == 4
	})
	require.Equal(t, int64(2), lost.read().Revision)
	p.inTime(2, 3)
	for _, p := range s.procs { // one of them stands by
		p.until("it has the value", func() bool { c, _ := p.m.Committed(); return c.Revision == 3 })
	}
}

func TestSmallestCores(t *testing.T) {
	t.Parallel()
	for disks := 1; disks <= 3; disks++ {
		t.Run(fmt.Sprint(disks), func(t *testing.T) {
			s, out := founded(t, disks, 3)
			for _, p := range s.procs {
				p.kill()
			}
			s.startAll(false)
			require.Equal(t, int64(1), out.read().Revision)
			require.Equal(t, chain.Taken, out.order(1, 2).Kind)
		})
	}
}

// The first start goes on whichever of the seeds is lost meanwhile.
func TestSeedIsLostWhileFounding(t *testing.T) {
	t.Parallel()
	for seed := range 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, 4, 2)
			for i, p := range s.procs {
				if i != seed {
					s.start(p, true)
				}
			}
			require.Equal(t, chain.Taken, s.procs[5].order(0, 1).Kind)
			lost := s.procs[seed]
			s.start(lost, false) // as a process that is started again
			lost.until("it comes later", lost.m.IsCore)
		})
	}
}

func TestNothingIsFoundedLater(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 1)
	s.startAll(false)
	ctx, cancel := context.WithTimeout(context.Background(), 2*foundAlone)
	defer cancel()
	require.Equal(t, chain.Unclear, s.procs[3].m.Submit(ctx, &chain.Order{Body: []byte("1")}).Kind)
	<-ctx.Done()
	for _, p := range s.procs {
		_, known := p.m.View()
		require.False(t, known)
	}
}

// register is what operators see: compare-and-set by version, and reads.
type registerIn struct {
	read          bool
	ifMatch, body int64
}

type registerOut struct {
	kind     chain.Kind
	revision int64
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} }, // founded
	Step: func(state, input, output any) []any {
		cur, in, out := state.(int64), input.(registerIn), output.(registerOut)
		switch {
		case in.read && out.kind != chain.Unclear && out.revision != cur:
			return nil
		case in.read:
			return []any{cur}
		case out.kind == chain.Taken && in.ifMatch == cur:
			return []any{in.body}
		case out.kind == chain.Conflict && in.ifMatch != cur:
			return []any{cur}
		case out.kind == chain.Unclear && in.ifMatch == cur:
			return []any{cur, in.body}
		case out.kind == chain.Unclear:
			return []any{cur}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// maxRepeats is how often an operator sends an order again.
const maxRepeats = 3

// Operators send orders and reads to all machines while the head is killed, cut off or its disk
// stalls, and repeat orders at other agents whose answers were lost; the whole history is one of a
// register, where an order and its repeats are one operation.
func TestHistoryIsLinearizable(t *testing.T) {
	t.Parallel()
	s, _ := founded(t, 4, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var repeatedClear, repeatedUnclear atomic.Int64
	begun := time.Now()
	members := make([]*Member, len(s.procs))
	for i, p := range s.procs {
		members[i] = p.m
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
				var in registerIn
				var out registerOut
				octx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
				if i%3 == 0 {
					in.read = true
					if v, err := member(i).Read(octx); err == nil {
						out = registerOut{chain.Taken, v.Revision}
						knows = v.Revision
					}
				} else {
					n++
					in.ifMatch, in.body = knows, knows+n*10+int64(c)+1
					order := orderOf(in.ifMatch, in.body)
					v := member(i).Submit(octx, order)
					// An answer that is lost, or came too late: the same order goes to other agents.
					for again := 1; again <= maxRepeats && (v.Kind == chain.Unclear || again == 1 && i%2 == 0); again++ {
						first := v
						rctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
						v = member(i+again).Submit(rctx, order)
						cancel()
						if first.Kind == chain.Unclear {
							repeatedUnclear.Add(1)
							continue
						}
						if v.Kind != chain.Unclear {
							assert.Equal(t, first.Kind, v.Kind, "a repeated order gets another answer")
							if first.Kind == chain.Taken { // a refusal names the newest revision
								assert.Equal(t, first.Revision, v.Revision)
							}
							repeatedClear.Add(1)
						}
						v = first
					}
					out = registerOut{v.Kind, v.Revision}
					if v.Kind == chain.Taken || v.Kind == chain.Conflict {
						knows = v.Revision
					}
				}
				cancel()
				op.Input, op.Output, op.Return = in, out, int64(time.Since(begun))
				if out.kind == chain.Unclear {
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
		p := s.place(0)
		switch i % 3 {
		case 0:
			j := -1
			for k, o := range s.procs {
				if o == p {
					j = k
				}
			}
			p.kill()
			s.start(p, false)
			mu.Lock()
			members[j] = p.m
			mu.Unlock()
		case 1:
			s.isolate(p, true, true)
			s.until(ctx, func() bool { v, _ := s.procs[4].m.View(); return v.Head().Addr != p.addr })
			s.isolate(p, false, true)
		case 2:
			p.disk.stall(true)
			s.until(ctx, func() bool { v, _ := s.procs[4].m.View(); return v.Head().Addr != p.addr })
			p.disk.stall(false)
		}
		s.until(ctx, func() bool { v, _ := s.procs[4].m.View(); return len(v.Chain) == 4 })
	}
	wg.Wait()
	taken := 0
	for _, op := range ops {
		if op.Output.(registerOut).kind == chain.Taken && !op.Input.(registerIn).read {
			taken++
		}
	}
	require.Greater(t, taken, 10)
	t.Logf("%d operations, %d orders taken, %d repeated after a clear answer and %d after none", len(ops), taken, repeatedClear.Load(), repeatedUnclear.Load())
	require.Positive(t, repeatedClear.Load())
	require.Positive(t, repeatedUnclear.Load())
	require.True(t, porcupine.CheckOperations(registerModel.ToModel(), ops), "the history is not one of a register")
}

// until waits for a condition or ctx.
func (s *site) until(ctx context.Context, ok func() bool) {
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

func TestOddCopyIsMended(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	p := s.place(1)
	p.until("the value comes", func() bool { c, _ := p.m.Committed(); return c.Revision == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, p.m.hold(ctx))
	rec := p.m.replica().Record
	rec.Value.Body = []byte("7")
	require.NoError(t, p.m.keep(rec))
	p.m.mu.Lock()
	p.m.committed, p.m.sum = rec.Value, rec.Value.Sum()
	p.m.mu.Unlock()
	p.m.give()
	p.until("it is what the others hold", func() bool {
		c, _ := p.m.Committed()
		return string(c.Body) == "1" && string(p.m.replica().Record.Value.Body) == "1"
	})
	out.inTime(1, 2)
}

func TestInspect(t *testing.T) {
	t.Parallel()
	s, _ := founded(t, 3, 1)
	p := s.place(2)
	status := p.m.Status()
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
func TestWakingBelievesNothing(t *testing.T) {
	t.Parallel()
	s, _ := founded(t, 4, 1)
	m := s.place(0).m
	now := time.Now().Add(time.Hour)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.False(t, m.majorityLocked(now))
	for awake, want := range map[time.Time]bool{m.awake: true, now: false} {
		m.awake = awake
		for id, h := range m.healthLocked(now) {
			require.Equal(t, want && id != m.me.ID, h.Silent >= silent)
		}
	}
}
