package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// startHandover starts the handover of a process; the channel is closed when it has returned.
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
func (node *testNode) awaitHandover(over <-chan struct{}) {
	node.tb.Helper()
	select {
	case <-over:
	case <-time.After(waitLimit):
		require.FailNow(node.tb, "the handover does not end")
	}
}

func (node *testNode) chainPosition() int { return node.member.Status().Place }

// addNode starts one more machine of the core, before any other of the site.
func (cluster *testCluster) addNode(voters, members int) *testNode {
	fresh := newTestCluster(cluster.tb, 1, 0).nodes[0]
	cluster.nodes = append([]*testNode{fresh}, cluster.nodes...)
	cluster.start(fresh, false)
	fresh.waitUntil("it votes and is in the chain", func() bool {
		v, _ := fresh.member.View()
		return fresh.member.IsVoter() && len(v.Voters) == voters && len(v.Chain) == members && fresh.member.Status().Whole
	})
	return fresh
}

// A planned replacement leaves as many voters as there were: a loss right after it leaves a majority.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
	first, second := cluster.nodes[0], cluster.nodes[1]
	cluster.addNode(4, 4)
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
	old := append([]*testNode(nil), cluster.nodes[:3]...)
	for i, node := range old[:2] {
		cluster.addNode(4, 4)
		node.awaitHandover(node.startHandover())
		node.kill()
		old[2].kill()
		client.submitInTime(int64(i+1), int64(i+2))
		cluster.start(old[2], false)
		cluster.awaitFullChain(client)
		old[2].waitUntil("it holds everything", func() bool { return old[2].member.Status().Whole })
	}
	v, _ := client.member.View()
	require.Len(t, v.Voters, 3)
}

// The newcomer of a planned replacement dies before the old member ends.
func TestJoinerOfAPlannedReplacementFails(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
	first := cluster.nodes[0]
	cluster.addNode(4, 4).kill()
	first.awaitHandover(first.startHandover())
	first.kill()
	client.submitInTime(1, 2)
}

// A member without which too few copies are left is not let go before another has joined.
func TestLeavingMemberWaitsForItsSuccessor(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
	back, leaving := cluster.chainMember(1), cluster.chainMember(0)
	back.kill()
	client.submitInTime(1, 2)
	client.waitUntil("the dead member is left out", func() bool { return client.chainLen() == 2 })
	over := leaving.startHandover()
	select {
	case <-over:
		require.FailNow(t, "let go while too few copies are left")
	case <-time.After(1200 * time.Millisecond):
	}
	require.GreaterOrEqual(t, leaving.chainPosition(), 0)
	client.submitInTime(2, 3)
	cluster.start(back, false)
	leaving.awaitHandover(over)
	require.Negative(t, leaving.chainPosition())
	require.True(t, back.member.Status().Whole)
	leaving.kill()
	client.submitInTime(3, 4)
}

// The sole member of a core ends while its successor is being given the value.
func TestSoleMemberHandsOver(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, 1)
	cluster.machineLosses = 0
	cluster.startAll(true)
	old, client := cluster.nodes[0], cluster.nodes[1]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Kind)
	fresh := newTestCluster(t, 1, 0).nodes[0]
	cluster.nodes = append([]*testNode{fresh}, cluster.nodes...)
	cluster.start(fresh, false)
	old.waitUntil("it knows the newcomer", func() bool { return len(old.member.Status().Peers) > 0 })
	old.awaitHandover(old.startHandover())
	require.False(t, old.member.Status().Voter)
	require.True(t, fresh.member.Status().Whole)
	client.waitUntil("it knows the successor", func() bool { v, _ := client.member.View(); return v.Head().Addr == fresh.addr })
	old.kill()
	require.Equal(t, int64(1), client.read().Revision)
	client.submitInTime(1, 2)
}

// Of four voters cut in halves neither half is a majority: no order is taken or refused, nothing is
// read and no view is decided, until they are one again.
func TestEvenPartitionHasNoQuorum(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	before, _ := client.member.View()
	left, right := cluster.nodes[:2], cluster.nodes[2:4]
	cut := func(lost bool) {
		for _, answer := range left {
			for _, b := range right {
				cluster.partition(answer, b, lost)
				cluster.partition(b, answer, lost)
			}
		}
	}
	cut(true)
	for _, node := range cluster.nodes[:4] {
		node.waitUntil("it knows that it has no majority", func() bool { return !node.member.HasQuorum() })
	}
	for i, node := range cluster.nodes[:4] {
		ctx, cancel := context.WithTimeout(context.Background(), faultUpdateLimit)
		verdict := node.member.Submit(ctx, &chain.Update{IfMatch: 1, Body: []byte{byte('2' + i)}})
		require.Equal(t, chain.OutcomeUnknown, verdict.Kind)
		stale := node.member.Submit(ctx, &chain.Update{IfMatch: 0, Body: []byte("9")})
		require.Equal(t, chain.OutcomeUnknown, stale.Kind, "a refusal needs a majority too")
		_, err := node.member.Read(ctx)
		require.Error(t, err)
		cancel()
		v, _ := node.member.View()
		require.Equal(t, before.Number, v.Number)
	}
	cut(false)
	// One of the four orders at most takes effect, before the next one or in its place.
	verdict := client.submitRevision(1, 20)
	if verdict.Kind == chain.OutcomeConflict {
		require.Contains(t, []int64{2, 3, 4, 5}, client.read().Revision)
		verdict = client.submitRevision(client.read().Revision, 20)
	}
	require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: 20}, verdict)
	for _, node := range cluster.nodes {
		require.Equal(t, int64(20), node.read().Revision)
	}
}

// Whole zones are lost one after the other, the next one as soon as the last one's machines hold
// everything or stand by.
func TestSuccessiveZoneLosses(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 6, 1)
	cluster.zoneLosses = 1
	for i, node := range cluster.nodes[:6] {
		node.zone = string(rune('a' + i%3))
	}
	cluster.startAll(true)
	client := cluster.nodes[6]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Kind)
	for i, zone := range []string{"a", "b", "c", "a"} {
		for _, node := range cluster.nodes[:6] {
			node.waitUntil("it is in touch", node.member.HasQuorum)
			node.waitUntil("it is whole where it is in the chain", func() bool {
				status := node.member.Status()
				return len(status.View.Chain) >= 4 && (status.Place < 0 || status.Whole)
			})
		}
		for _, node := range cluster.nodes[:6] {
			if node.zone == zone {
				node.kill()
			}
		}
		client.submitInTime(int64(i+1), int64(i+2))
		v, _ := client.member.View()
		zones := map[string]bool{}
		for _, l := range v.Chain {
			zones[l.Zone] = true
		}
		require.GreaterOrEqual(t, len(zones), 2)
		for _, node := range cluster.nodes[:6] {
			if node.zone == zone {
				cluster.start(node, false)
			}
		}
	}
	require.Equal(t, int64(5), client.read().Revision)
}
