package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// startHandover starts the handover of a node. The returned channel is closed when it has ended.
func (node *testNode) startHandover() <-chan struct{} {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	done := make(chan struct{})
	member := node.member
	go func() {
		defer close(done)
		defer cancel()
		member.Handover(ctx)
	}()
	node.tb.Cleanup(func() { cancel(); <-done })
	return done
}

// awaitHandover waits for the end of a handover.
func (node *testNode) awaitHandover(finished <-chan struct{}) {
	node.tb.Helper()
	select {
	case <-finished:
	case <-time.After(waitLimit):
		require.FailNow(node.tb, "the handover did not end")
	}
}

// addNode starts another node with a disk, and puts it before the other nodes of the cluster.
func (cluster *testCluster) addNode() *testNode {
	cluster.tb.Helper()
	added := newTestCluster(cluster.tb, 1, 0).nodes[0]
	cluster.nodes = append([]*testNode{added}, cluster.nodes...)
	cluster.start(added, false)
	return added
}

// addMember starts another node with a disk, and waits until it is a complete member of a view with the given
// numbers of voters and chain members.
func (cluster *testCluster) addMember(voters, members int) *testNode {
	cluster.tb.Helper()
	added := cluster.addNode()
	added.waitUntil("the added node is a voter and complete", func() bool {
		return added.isMemberOf(voters, members) && added.member.Status().Complete
	})
	return added
}

// A planned replacement does not change the number of voters, so a majority remains if another one is lost
// right after it.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	first, second := cluster.nodes[0], cluster.nodes[1]
	cluster.addMember(4, 4)
	first.awaitHandover(first.startHandover())
	require.False(t, first.member.Status().Voter)
	first.kill()
	second.kill()
	client.submitInTime(1, 2)
	require.Equal(t, int64(2), client.read().Revision)
}

// Two replacements in a row, each followed by a loss.
func TestLossAfterReplacementsInARow(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	initial := append([]*testNode(nil), cluster.nodes[:3]...)
	remaining := initial[2]
	for i, node := range initial[:2] {
		cluster.addMember(4, 4)
		node.awaitHandover(node.startHandover())
		node.kill()
		remaining.kill()
		client.submitInTime(int64(i+1), int64(i+2))
		cluster.start(remaining, false)
		cluster.awaitFullChain(client)
		remaining.waitUntil("the member is complete", func() bool { return remaining.member.Status().Complete })
	}
	current, _ := client.member.View()
	require.Len(t, current.Voters, 3)
}

// The joining member of a planned replacement fails before the old member hands over.
func TestJoinerOfAPlannedReplacementFails(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	first := cluster.nodes[0]
	cluster.addMember(4, 4).kill()
	first.awaitHandover(first.startHandover())
	first.kill()
	client.submitInTime(1, 2)
}

// A member does not leave while too few replicas would remain. It waits until another member has joined.
func TestLeavingMemberWaitsForItsSuccessor(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	leaving, returning := cluster.chainMember(0), cluster.chainMember(1)
	returning.kill()
	client.submitInTime(1, 2)
	client.waitUntil("the failed member is removed", func() bool { return client.chainLength() == 2 })
	finished := leaving.startHandover()
	select {
	case <-finished:
		require.FailNow(t, "the member left while too few replicas remain")
	case <-time.After(2 * peerTimeout):
	}
	require.GreaterOrEqual(t, leaving.chainPosition(), 0)
	client.submitInTime(2, 3)
	cluster.start(returning, false)
	leaving.awaitHandover(finished)
	require.Negative(t, leaving.chainPosition())
	require.True(t, returning.member.Status().Complete)
	leaving.kill()
	client.submitInTime(3, 4)
}

// The sole member hands over while the value is being sent to its successor.
func TestSoleMemberHandsOver(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, 1)
	cluster.tolerance.Machines = 0
	cluster.startAll(true)
	initial, client := cluster.nodes[0], cluster.nodes[1]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Outcome)
	successor := cluster.addNode()
	initial.waitUntil("it knows the joining node", func() bool { return len(initial.member.Status().Peers) > 0 })
	initial.awaitHandover(initial.startHandover())
	require.False(t, initial.member.Status().Voter)
	require.True(t, successor.member.Status().Complete)
	client.waitUntil("the client knows the successor", func() bool {
		current, _ := client.member.View()
		return current.Head().Addr == successor.addr
	})
	initial.kill()
	require.Equal(t, int64(1), client.read().Revision)
	client.submitInTime(1, 2)
}

// setPartitioned partitions two groups of nodes from each other, or ends the partition.
func (cluster *testCluster) setPartitioned(first, second []*testNode, lost bool) {
	for _, a := range first {
		for _, b := range second {
			cluster.setPartition(a, b, lost)
			cluster.setPartition(b, a, lost)
		}
	}
}

// requireNoAnswers requires that a node neither commits nor rejects an update, and answers no read.
func requireNoAnswers(t *testing.T, node *testNode, update *chain.Update) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), faultUpdateLimit)
	defer cancel()
	require.Equal(t, chain.OutcomeUnknown, node.member.Submit(ctx, update).Outcome)
	stale := node.member.Submit(ctx, revisionUpdate(0, 9))
	require.Equal(t, chain.OutcomeUnknown, stale.Outcome, "a rejection needs a majority too")
	_, err := node.member.Read(ctx)
	require.Error(t, err)
}

// If four voters are partitioned into halves, neither half is a majority. Until the partition ends, no update
// is committed or rejected, no read is answered and no view is decided.
func TestEvenPartitionHasNoQuorum(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	before, _ := client.member.View()
	voters := cluster.nodes[:4]
	cluster.setPartitioned(voters[:2], voters[2:], true)
	for _, node := range voters {
		node.waitUntil("the node has lost its quorum", func() bool { return !node.member.HasQuorum() })
	}
	for i, node := range voters {
		requireNoAnswers(t, node, revisionUpdate(1, int64(i)+2))
		current, _ := node.member.View()
		require.Equal(t, before.Number, current.Number)
	}
	cluster.setPartitioned(voters[:2], voters[2:], false)
	// At most one of the four updates takes effect: before the next one, or instead of it.
	result := client.submitRevision(1, 20)
	if result.Outcome == chain.OutcomeConflict {
		require.Contains(t, []int64{2, 3, 4, 5}, client.read().Revision)
		result = client.submitRevision(client.read().Revision, 20)
	}
	require.Equal(t, chain.Result{Outcome: chain.OutcomeCommitted, Revision: 20}, result)
	for _, node := range cluster.nodes {
		require.Equal(t, int64(20), node.read().Revision)
	}
}

// awaitCompleteOrStandby waits until each node has a quorum, and is complete if it is in the chain.
func awaitCompleteOrStandby(nodes []*testNode) {
	for _, node := range nodes {
		node.tb.Helper()
		node.waitUntil("in contact with a majority", node.member.HasQuorum)
		node.waitUntil("the node is complete or not in the chain", func() bool {
			status := node.member.Status()
			return len(status.View.Chain) >= 4 && (status.Position < 0 || status.Complete)
		})
	}
}

// chainZones returns the zones of the chain that a node knows.
func (node *testNode) chainZones() map[string]bool {
	current, _ := node.member.View()
	zones := map[string]bool{}
	for _, member := range current.Chain {
		zones[member.Zone] = true
	}
	return zones
}

// Zones are lost one after the other, each one as soon as the machines of the zone before are complete or
// outside the chain.
func TestSuccessiveZoneLosses(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 6, 1)
	cluster.tolerance.Zones = 1
	voters, client := cluster.nodes[:6], cluster.nodes[6]
	byZone := map[string][]*testNode{}
	for i, node := range voters {
		node.zone = string(rune('a' + i%3))
		byZone[node.zone] = append(byZone[node.zone], node)
	}
	cluster.startAll(true)
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Outcome)
	for i, zone := range []string{"a", "b", "c", "a"} {
		awaitCompleteOrStandby(voters)
		for _, node := range byZone[zone] {
			node.kill()
		}
		client.submitInTime(int64(i+1), int64(i+2))
		require.GreaterOrEqual(t, len(client.chainZones()), 2)
		for _, node := range byZone[zone] {
			cluster.start(node, false)
		}
	}
	require.Equal(t, int64(5), client.read().Revision)
}
