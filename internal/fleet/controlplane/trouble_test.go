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
	cluster := newTestCluster(t, disks, others)
	cluster.startAll(true)
	last := cluster.nodes[len(cluster.nodes)-1]
	require.Equal(t, chain.OutcomeCommitted, last.submitRevision(0, 1).Kind)
	for _, node := range cluster.nodes[:disks] {
		node.waitUntil("in touch", node.member.HasQuorum)
	}
	cluster.awaitFullChain(last)
	return cluster, last
}

func (cluster *testCluster) chainMember(i int) *testNode {
	v, _ := cluster.nodes[len(cluster.nodes)-1].member.View()
	return cluster.nodeAt(v.Chain[i].Addr)
}

// submitInTime has an order taken and tells if that took too long.
func (node *testNode) submitInTime(ifMatch, body int64) {
	node.tb.Helper()
	begun := time.Now()
	require.Equal(node.tb, chain.OutcomeCommitted, node.submitRevision(ifMatch, body).Kind)
	took := time.Since(begun)
	node.tb.Logf("taken after %v", took)
	require.Less(node.tb, took, faultUpdateLimit)
}

func (cluster *testCluster) awaitFullChain(node *testNode) {
	cluster.tb.Helper()
	node.waitUntil("the chain is whole again", func() bool {
		v, _ := node.member.View()
		return len(v.Chain) == min(len(v.Voters), view.MaxChainLength(view.Tolerance{Machines: cluster.machineLosses}))
	})
}

func TestPartitionedHeadIsReplaced(t *testing.T) {
	t.Parallel()
	for name, bothWays := range map[string]bool{"both ways": true, "one way": false} {
		t.Run(name, func(t *testing.T) {
			cluster, client := bootstrapped(t, 4, 1)
			head := cluster.chainMember(0)
			cluster.isolate(head, true, bothWays)
			client.submitInTime(1, 2)
			ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			defer cancel()
			require.Equal(t, chain.OutcomeUnknown, head.member.Submit(ctx, &chain.Update{IfMatch: 1, Body: []byte("7")}).Kind)
			_, err := head.member.Read(ctx)
			require.Error(t, err)
			cluster.isolate(head, false, bothWays)
			cluster.awaitFullChain(client)
			head.waitUntil("it learns", func() bool { c, _ := head.member.Committed(); return c.Revision == 2 })
			client.submitInTime(2, 3)
		})
	}
}

func TestPartitionBetweenMiddleAndTail(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	cluster.partition(cluster.chainMember(2), cluster.chainMember(3), true)
	cluster.partition(cluster.chainMember(3), cluster.chainMember(2), true)
	client.submitInTime(1, 2)
	require.Equal(t, int64(2), client.read().Revision)
}

// Pings go through, pushes don't.
func TestSuccessorThatReceivesNoPushesIsReplaced(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	head, next := cluster.chainMember(0), cluster.chainMember(1)
	cluster.mu.Lock()
	cluster.unpushable = next
	cluster.mu.Unlock()
	client.submitInTime(1, 2)
	require.Equal(t, 3, head.chainLen())
}

func TestDiskFaults(t *testing.T) {
	t.Parallel()
	for place := range 4 {
		t.Run(fmt.Sprint("full at ", place), func(t *testing.T) {
			t.Parallel()
			cluster, client := bootstrapped(t, 4, 1)
			node := cluster.chainMember(place)
			node.disk.setFailWrites(true)
			client.submitInTime(1, 2)
			require.Equal(t, int64(2), client.read().Revision)
			node.disk.setFailWrites(false)
			cluster.awaitFullChain(client)
			client.submitInTime(2, 3)
		})
		t.Run(fmt.Sprint("stalled at ", place), func(t *testing.T) {
			t.Parallel()
			cluster, client := bootstrapped(t, 4, 1)
			node := cluster.chainMember(place)
			node.disk.stall(true)
			client.submitInTime(1, 2)
			require.Equal(t, int64(2), client.read().Revision)
			node.disk.stall(false)
			cluster.awaitFullChain(client)
			client.submitInTime(2, 3)
		})
	}
}

func TestPowerLossOfAllWithOneDiskLost(t *testing.T) {
	t.Parallel()
	for place := range 4 {
		t.Run(fmt.Sprint("the disk at ", place), func(t *testing.T) {
			t.Parallel()
			cluster, client := bootstrapped(t, 4, 1)
			client.submitInTime(1, 2)
			wiped := cluster.chainMember(place)
			for _, node := range cluster.nodes {
				node.kill()
			}
			wiped.dir = stateDir(t)
			cluster.startAll(false)
			require.Equal(t, int64(2), client.read().Revision)
			require.Equal(t, chain.OutcomeCommitted, client.submitRevision(2, 3).Kind)
			cluster.awaitFullChain(client)
		})
	}
}

func TestReplacementAtAnotherAddress(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	gone := cluster.chainMember(1)
	gone.kill()
	fresh := newTestCluster(t, 1, 0).nodes[0]
	cluster.nodes = append([]*testNode{fresh}, cluster.nodes...)
	cluster.start(fresh, false)
	fresh.waitUntil("it has the place of the one that is gone", func() bool {
		v, _ := fresh.member.View()
		return fresh.member.IsVoter() && len(v.Voters) == 4 && len(v.Chain) == 4
	})
	client.submitInTime(1, 2)
	cluster.start(gone, false)
	gone.waitUntil("the old one comes as one more", func() bool {
		v, _ := gone.member.View()
		return gone.member.IsVoter() && len(v.Voters) == 5 && len(v.Chain) == 4
	})
}

func TestHandoverLeavesTheChain(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	for range 3 {
		node := cluster.chainMember(0)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		node.member.Handover(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		v, _ := node.member.View()
		require.Negative(t, v.Position(node.member.Status().ID))
		node.kill()
		begun := time.Now()
		replica := client.read().Revision
		require.Equal(t, chain.OutcomeCommitted, client.submitRevision(replica, replica+1).Kind)
		require.Less(t, time.Since(begun), 400*time.Millisecond)
		cluster.start(node, false)
		cluster.awaitFullChain(client)
	}
}

func TestClusterWithoutDisks(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 0, 5)
	cluster.startAll(true)
	node := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, node.submitRevision(0, 1).Kind)
	v, _ := node.member.View()
	require.True(t, v.Memory)
	require.Len(t, v.Voters, 5)
	lost := cluster.nodes[0]
	lost.kill()
	node.submitInTime(1, 2)
	cluster.start(lost, false)
	lost.waitUntil("it comes as a newcomer", func() bool {
		v, _ := lost.member.View()
		return lost.member.IsVoter() && len(v.Voters) == 5 && len(v.Chain) == 4
	})
	require.Equal(t, int64(2), lost.read().Revision)
	node.submitInTime(2, 3)
	for _, node := range cluster.nodes { // one of them stands by
		node.waitUntil("it has the value", func() bool { c, _ := node.member.Committed(); return c.Revision == 3 })
	}
}

func TestSmallestClusters(t *testing.T) {
	t.Parallel()
	for disks := 1; disks <= 3; disks++ {
		t.Run(fmt.Sprint(disks), func(t *testing.T) {
			cluster, client := bootstrapped(t, disks, 3)
			for _, node := range cluster.nodes {
				node.kill()
			}
			cluster.startAll(false)
			require.Equal(t, int64(1), client.read().Revision)
			require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Kind)
		})
	}
}

// The first start goes on whichever of the seeds is lost meanwhile.
func TestSeedIsLostDuringBootstrap(t *testing.T) {
	t.Parallel()
	for seed := range 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cluster := newTestCluster(t, 4, 2)
			for i, node := range cluster.nodes {
				if i != seed {
					cluster.start(node, true)
				}
			}
			require.Equal(t, chain.OutcomeCommitted, cluster.nodes[5].submitRevision(0, 1).Kind)
			lost := cluster.nodes[seed]
			cluster.start(lost, false) // as a process that is started again
			lost.waitUntil("it comes later", lost.member.IsVoter)
		})
	}
}

func TestNoBootstrapAfterFirstStart(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 1)
	cluster.startAll(false)
	ctx, cancel := context.WithTimeout(context.Background(), 2*bootstrapDisklessDelay)
	defer cancel()
	require.Equal(t, chain.OutcomeUnknown, cluster.nodes[3].member.Submit(ctx, &chain.Update{Body: []byte("1")}).Kind)
	<-ctx.Done()
	for _, node := range cluster.nodes {
		_, known := node.member.View()
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
	cluster, _ := bootstrapped(t, 4, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var repeatedClear, repeatedUnclear atomic.Int64
	begun := time.Now()
	members := make([]*Member, len(cluster.nodes))
	for i, node := range cluster.nodes {
		members[i] = node.member
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
				var client registerOutput
				octx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
				if i%3 == 0 {
					in.read = true
					if v, err := member(i).Read(octx); err == nil {
						client = registerOutput{chain.OutcomeCommitted, v.Revision}
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
					client = registerOutput{v.Kind, v.Revision}
					if v.Kind == chain.OutcomeCommitted || v.Kind == chain.OutcomeConflict {
						knows = v.Revision
					}
				}
				cancel()
				op.Input, op.Output, op.Return = in, client, int64(time.Since(begun))
				if client.kind == chain.OutcomeUnknown {
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
		node := cluster.chainMember(0)
		switch i % 3 {
		case 0:
			j := -1
			for k, o := range cluster.nodes {
				if o == node {
					j = k
				}
			}
			node.kill()
			cluster.start(node, false)
			mu.Lock()
			members[j] = node.member
			mu.Unlock()
		case 1:
			cluster.isolate(node, true, true)
			cluster.waitUntil(ctx, func() bool { v, _ := cluster.nodes[4].member.View(); return v.Head().Addr != node.addr })
			cluster.isolate(node, false, true)
		case 2:
			node.disk.stall(true)
			cluster.waitUntil(ctx, func() bool { v, _ := cluster.nodes[4].member.View(); return v.Head().Addr != node.addr })
			node.disk.stall(false)
		}
		cluster.waitUntil(ctx, func() bool { v, _ := cluster.nodes[4].member.View(); return len(v.Chain) == 4 })
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
func (cluster *testCluster) waitUntil(ctx context.Context, ok func() bool) {
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
	cluster, client := bootstrapped(t, 4, 1)
	node := cluster.chainMember(1)
	node.waitUntil("the value comes", func() bool { c, _ := node.member.Committed(); return c.Revision == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(t, node.member.acquireWrite(ctx))
	rec := node.member.replica().Record
	rec.Value.Body = []byte("7")
	require.NoError(t, node.member.persistRecord(rec))
	node.member.mu.Lock()
	node.member.register.committed, node.member.register.checksum = rec.Value, rec.Value.Checksum()
	node.member.mu.Unlock()
	node.member.releaseWrite()
	node.waitUntil("it is what the others hold", func() bool {
		c, _ := node.member.Committed()
		return string(c.Body) == "1" && string(node.member.replica().Record.Value.Body) == "1"
	})
	client.submitInTime(1, 2)
}

func TestInspect(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapped(t, 3, 1)
	node := cluster.chainMember(2)
	status := node.member.Status()
	node.kill()
	st, rep, err := Inspect(node.dir)
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
	cluster, _ := bootstrapped(t, 4, 1)
	member := cluster.chainMember(0).member
	now := time.Now().Add(time.Hour)
	member.mu.Lock()
	defer member.mu.Unlock()
	require.False(t, member.hasQuorumLocked(now))
	for awake, want := range map[time.Time]bool{member.pauses.resumedAt: true, now: false} {
		member.pauses.resumedAt = awake
		for id, h := range member.healthLocked(now) {
			require.Equal(t, want && id != member.self.ID, h.SinceContact >= peerTimeout)
		}
	}
}
