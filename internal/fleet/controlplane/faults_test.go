package controlplane

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// faultUpdateLimit is the longest time that an update may take while one machine is faulty.
const faultUpdateLimit = 2 * time.Second

func TestPartitionedHeadIsReplaced(t *testing.T) {
	t.Parallel()
	for name, bothWays := range map[string]bool{"both ways": true, "one way": false} {
		t.Run(name, func(t *testing.T) {
			cluster, client := bootstrapCluster(t, 4, 1)
			head := cluster.chainMember(0)
			cluster.setIsolated(head, true, bothWays)
			client.submitInTime(1, 2)
			ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			defer cancel()
			require.Equal(t, chain.OutcomeUnknown, head.member.Submit(ctx, revisionUpdate(1, 7)).Outcome)
			_, err := head.member.Read(ctx)
			require.Error(t, err)
			cluster.setIsolated(head, false, bothWays)
			cluster.awaitFullChain(client)
			head.waitUntil("the former head knows the new revision", func() bool { return head.hasRevision(2) })
			client.submitInTime(2, 3)
		})
	}
}

func TestPartitionBetweenMiddleAndTail(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	cluster.setPartition(cluster.chainMember(2), cluster.chainMember(3), true)
	cluster.setPartition(cluster.chainMember(3), cluster.chainMember(2), true)
	client.submitInTime(1, 2)
	require.Equal(t, int64(2), client.read().Revision)
}

// A successor that receives heartbeats but no pushes is removed from the chain.
func TestSuccessorThatReceivesNoPushesIsReplaced(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	head, next := cluster.chainMember(0), cluster.chainMember(1)
	cluster.mu.Lock()
	cluster.unpushable = next
	cluster.mu.Unlock()
	client.submitInTime(1, 2)
	require.Equal(t, 3, head.chainLength())
}

func TestDiskFaults(t *testing.T) {
	t.Parallel()
	for position := range 4 {
		t.Run(fmt.Sprint("writes fail at position ", position), func(t *testing.T) {
			t.Parallel()
			cluster, client := bootstrapCluster(t, 4, 1)
			node := cluster.chainMember(position)
			node.disk.setFailWrites(true)
			client.submitInTime(1, 2)
			require.Equal(t, int64(2), client.read().Revision)
			node.disk.setFailWrites(false)
			cluster.awaitFullChain(client)
			client.submitInTime(2, 3)
		})
		t.Run(fmt.Sprint("writes stall at position ", position), func(t *testing.T) {
			t.Parallel()
			cluster, client := bootstrapCluster(t, 4, 1)
			node := cluster.chainMember(position)
			node.disk.setStalled(true)
			client.submitInTime(1, 2)
			require.Equal(t, int64(2), client.read().Revision)
			node.disk.setStalled(false)
			cluster.awaitFullChain(client)
			client.submitInTime(2, 3)
		})
	}
}

func TestPowerLossOfAllWithOneDiskLost(t *testing.T) {
	t.Parallel()
	for position := range 4 {
		t.Run(fmt.Sprint("the disk at position ", position), func(t *testing.T) {
			t.Parallel()
			cluster, client := bootstrapCluster(t, 4, 1)
			client.submitInTime(1, 2)
			wiped := cluster.chainMember(position)
			for _, node := range cluster.nodes {
				node.kill()
			}
			wiped.dir = stateDir(t)
			cluster.startAll(false)
			require.Equal(t, int64(2), client.read().Revision)
			require.Equal(t, chain.OutcomeCommitted, client.submitRevision(2, 3).Outcome)
			cluster.awaitFullChain(client)
		})
	}
}

func TestReplacementAtAnotherAddress(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	lost := cluster.chainMember(1)
	lost.kill()
	replacement := cluster.addNode()
	replacement.waitUntil("the replacement is in the chain", func() bool { return replacement.isMemberOf(4, 4) })
	client.submitInTime(1, 2)
	cluster.start(lost, false)
	lost.waitUntil("the lost member joins as the fifth voter", func() bool { return lost.isMemberOf(5, 4) })
}

func TestHandoverRemovesMemberFromChain(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	for range 3 {
		node := cluster.chainMember(0)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		node.member.Handover(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		current, _ := node.member.View()
		require.Negative(t, current.Position(node.id()))
		node.kill()
		startedAt := time.Now()
		revision := client.read().Revision
		require.Equal(t, chain.OutcomeCommitted, client.submitRevision(revision, revision+1).Outcome)
		require.Less(t, time.Since(startedAt), 400*time.Millisecond)
		cluster.start(node, false)
		cluster.awaitFullChain(client)
	}
}

func TestClusterWithoutDisks(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 0, 5)
	cluster.startAll(true)
	client := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Outcome)
	current, _ := client.member.View()
	require.True(t, current.InMemory)
	require.Len(t, current.Voters, 5)
	lost := cluster.nodes[0]
	lost.kill()
	client.submitInTime(1, 2)
	cluster.start(lost, false)
	lost.waitUntil("it joins as a new member", func() bool { return lost.isMemberOf(5, 4) })
	require.Equal(t, int64(2), lost.read().Revision)
	client.submitInTime(2, 3)
	for _, node := range cluster.nodes { // including the voter outside the chain
		node.waitUntil("the node knows the new revision", func() bool { return node.hasRevision(3) })
	}
}

func TestSmallestClusters(t *testing.T) {
	t.Parallel()
	for disks := 1; disks <= 3; disks++ {
		t.Run(fmt.Sprint(disks), func(t *testing.T) {
			cluster, client := bootstrapCluster(t, disks, 3)
			for _, node := range cluster.nodes {
				node.kill()
			}
			cluster.startAll(false)
			require.Equal(t, int64(1), client.read().Revision)
			require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Outcome)
		})
	}
}

// The bootstrap succeeds without any one of the seeds.
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
			require.Equal(t, chain.OutcomeCommitted, cluster.nodes[5].submitRevision(0, 1).Outcome)
			lost := cluster.nodes[seed]
			cluster.start(lost, false) // like a restarted process
			lost.waitUntil("the lost seed becomes a voter", lost.member.IsVoter)
		})
	}
}

func TestNoBootstrapAfterFirstStart(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 1)
	cluster.startAll(false)
	ctx, cancel := context.WithTimeout(context.Background(), 2*bootstrapDisklessDelay)
	defer cancel()
	require.Equal(t, chain.OutcomeUnknown, cluster.nodes[3].member.Submit(ctx, revisionUpdate(0, 1)).Outcome)
	<-ctx.Done()
	for _, node := range cluster.nodes {
		require.False(t, node.knowsView())
	}
}

func TestDivergentValueIsRepaired(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	node := cluster.chainMember(1)
	node.waitUntil("the node knows the first revision", func() bool { return node.hasRevision(1) })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	node.replaceBody(ctx, "7")
	node.waitUntil("the node has the others' value", func() bool {
		committed, _ := node.member.Committed()
		return string(committed.Body) == "1" && string(node.member.replica().Record.Value.Body) == "1"
	})
	client.submitInTime(1, 2)
}

// replaceBody damages a node's value on disk and in memory, in a way that the disk's checksums don't detect.
func (node *testNode) replaceBody(ctx context.Context, body string) {
	node.tb.Helper()
	require.NoError(node.tb, node.member.acquireWrite(ctx))
	defer node.member.releaseWrite()
	record := node.member.replica().Record
	record.Value.Body = []byte(body)
	require.NoError(node.tb, node.member.persistRecord(record))
	node.member.mu.Lock()
	defer node.member.mu.Unlock()
	node.member.register.committed, node.member.register.checksum = record.Value, record.Value.Checksum()
}

func TestInspect(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapCluster(t, 3, 1)
	node := cluster.chainMember(2)
	status := node.member.Status()
	node.kill()
	state, report, err := Inspect(node.dir)
	require.NoError(t, err)
	require.False(t, report.Damaged)
	require.Equal(t, status.ID, state.ID)
	require.True(t, status.View.Equal(state.View))
	require.Equal(t, uint64(1), state.Record.Value.Seq)
	require.Equal(t, "1", string(state.Record.Value.Body))
	_, _, err = Inspect(stateDir(t))
	require.NoError(t, err, "an empty folder")
}

// A process that was paused measures the silence of its peers from the time at which it resumed.
func TestResumedProcessTrustsNoEarlierContact(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapCluster(t, 4, 1)
	member := cluster.chainMember(0).member
	now := time.Now().Add(time.Hour)
	member.mu.Lock()
	defer member.mu.Unlock()
	require.False(t, member.hasQuorumLocked(now))
	for resumedAt, timedOut := range map[time.Time]bool{member.pauses.resumedAt: true, now: false} {
		member.pauses.resumedAt = resumedAt
		for id, health := range member.healthLocked(now) {
			require.Equal(t, timedOut && id != member.self.ID, health.SinceContact >= peerTimeout)
		}
	}
}
