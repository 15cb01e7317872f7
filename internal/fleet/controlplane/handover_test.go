package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// startHandover starts the handover of a node; the channel is closed when it has returned.
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
		require.FailNow(node.tb, "the handover does not end")
	}
}

// addNode starts one more node with a disk, before the others of the cluster.
func (cluster *testCluster) addNode() *testNode {
	cluster.tb.Helper()
	added := newTestCluster(cluster.tb, 1, 0).nodes[0]
	cluster.nodes = append([]*testNode{added}, cluster.nodes...)
	cluster.start(added, false)
	return added
}

// addMember starts one more node with a disk, and waits until it is a complete member of a view with a
// number of voters and chain members.
func (cluster *testCluster) addMember(voters, members int) *testNode {
	cluster.tb.Helper()
	added := cluster.addNode()
	added.waitUntil("it votes and is in the chain", func() bool {
		return added.isMemberOf(voters, members) && added.member.Status().Complete
	})
	return added
}

// A planned replacement leaves as many voters as there were: a loss right after it leaves a majority.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
	first, second := cluster.nodes[0], cluster.nodes[1]
	cluster.addMember(4, 4)
	first.awaitHandover(first.startHandover())
	require.False(t, first.member.Status().Voter)
	first.kill()
	second.kill()
	client.submitInTime(1, 2)
	require.Equal(t, int64(2), client.read().Revision)
}

// Two replacements in a row, a loss right after each.
func TestLossAfterReplacementsInARow(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
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
		remaining.waitUntil("it is complete", func() bool { return remaining.member.Status().Complete })
	}
	current, _ := client.member.View()
	require.Len(t, current.Voters, 3)
}

// The joining member of a planned replacement fails before the old member ends.
func TestJoinerOfAPlannedReplacementFails(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
	first := cluster.nodes[0]
	cluster.addMember(4, 4).kill()
	first.awaitHandover(first.startHandover())
	first.kill()
	client.submitInTime(1, 2)
}

// A member without which too few replicas remain does not leave before another has joined.
func TestLeavingMemberWaitsForItsSuccessor(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
	leaving, returning := cluster.chainMember(0), cluster.chainMember(1)
	returning.kill()
	client.submitInTime(1, 2)
	client.waitUntil("the failed member is left out", func() bool { return client.chainLength() == 2 })
	finished := leaving.startHandover()
	select {
	case <-finished:
		require.FailNow(t, "it leaves while too few replicas remain")
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

// The sole member ends while its successor is being sent the value.
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
	client.waitUntil("it knows the successor", func() bool {
		current, _ := client.member.View()
		return current.Head().Addr == successor.addr
	})
	initial.kill()
	require.Equal(t, int64(1), client.read().Revision)
	client.submitInTime(1, 2)
}

// setPartitioned partitions two groups of nodes from each other, or joins them again.
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

// Of four voters partitioned into halves neither half is a majority: no update is committed or
// rejected, nothing is read and no view is decided, until the partition ends.
func TestEvenPartitionHasNoQuorum(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	before, _ := client.member.View()
	voters := cluster.nodes[:4]
	cluster.setPartitioned(voters[:2], voters[2:], true)
	for _, node := range voters {
		node.waitUntil("it knows that it has no majority", func() bool { return !node.member.HasQuorum() })
	}
	for i, node := range voters {
		requireNoAnswers(t, node, revisionUpdate(1, int64(i)+2))
		current, _ := node.member.View()
		require.Equal(t, before.Number, current.Number)
	}
	cluster.setPartitioned(voters[:2], voters[2:], false)
	// One of the four updates at most takes effect, before the next one or in its place.
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

// awaitCompleteOrStandby waits until each node is in contact with a majority, and complete if it is in
// the chain.
func awaitCompleteOrStandby(nodes []*testNode) {
	for _, node := range nodes {
		node.tb.Helper()
		node.waitUntil("in contact with a majority", node.member.HasQuorum)
		node.waitUntil("it is complete if it is in the chain", func() bool {
			status := node.member.Status()
			return len(status.View.Chain) >= 4 && (status.Position < 0 || status.Complete)
		})
	}
}

// chainZones are the zones of the chain that a node knows.
func (node *testNode) chainZones() map[string]bool {
	current, _ := node.member.View()
	zones := map[string]bool{}
	for _, member := range current.Chain {
		zones[member.Zone] = true
	}
	return zones
}

// Whole zones are lost one after the other, the next one as soon as the machines of the last one are
// complete or stand by.
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
