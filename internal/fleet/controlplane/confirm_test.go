package controlplane

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Every process can confirm the newest value without reading it, unless it is isolated from a majority.
func TestConfirm(t *testing.T) {
	t.Parallel()
	cluster, first := bootstrapCluster(t, 3, 1)
	seq, err := first.member.Confirm(context.Background())
	require.NoError(t, err)
	require.Equal(t, first.read().Seq, seq)
	first.submitInTime(first.read().Revision, first.read().Revision+1)
	newest := first.read().Seq
	require.Greater(t, newest, seq)
	for _, node := range cluster.nodes {
		confirmed, err := node.member.Confirm(context.Background())
		require.NoError(t, err)
		require.Equal(t, newest, confirmed)
	}
	tail := cluster.chainMember(2)
	cluster.setIsolated(tail, true, true)
	_, err = tail.member.Confirm(context.Background())
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
}

// Callers share confirmation rounds. The number of rounds is bounded by the elapsed time, even if no voter
// answers.
func TestConfirmationsShareRounds(t *testing.T) {
	t.Parallel()
	const callers = 500
	cluster, _ := bootstrapCluster(t, 3, 1)
	tail := cluster.chainMember(2)
	cluster.setIsolated(tail, true, true)
	var heartbeats atomic.Int32
	cluster.setObserveCall(func(from, name string, answered bool) {
		if from == tail.addr && name == callHeartbeat && !answered {
			heartbeats.Add(1)
		}
	})
	current, _ := tail.member.View()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
	defer cancel()
	startedAt := time.Now()
	var waiting sync.WaitGroup
	for range callers {
		waiting.Go(func() { assert.Error(t, tail.member.confirmView(ctx, current)) })
	}
	waiting.Wait()
	elapsed := time.Since(startedAt)
	others := len(current.Voters) - 1
	ticks := int(elapsed/heartbeatInterval) + 2
	rounds := int(elapsed/confirmationOverlapDelay) + 2
	require.LessOrEqual(t, int(heartbeats.Load()), others*(ticks+rounds))
}

// A caller can't join a round whose requests were already sent, as the answers may be older than its call.
func TestConfirmationRoundIsClosedOnceItIsAsked(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapCluster(t, 3, 1)
	member := cluster.chainMember(2).member
	current, _ := member.View()
	join := func() *confirmationRound {
		member.mu.Lock()
		defer member.mu.Unlock()
		return member.joinConfirmationLocked(current)
	}
	first := join()
	<-first.done
	second := join()
	require.NotSame(t, first, second)
	<-second.done
	require.NoError(t, second.err)
}

// The number of calls under way to a voter that does not answer is bounded, however many rounds the other
// voters confirm in the meantime.
func TestConfirmationCallsAreBounded(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapCluster(t, 3, 1)
	caller, unreachable := cluster.chainMember(0).member, cluster.chainMember(2)
	current, _ := caller.View()
	cluster.setPartition(cluster.chainMember(0), unreachable, true)
	callsUnderWay := func() int {
		caller.mu.Lock()
		defer caller.mu.Unlock()
		return caller.peers.byID[unreachable.id()].confirmationCalls
	}
	for range 2 * maxConfirmationCalls {
		require.NoError(t, caller.confirmView(context.Background(), current))
		require.LessOrEqual(t, callsUnderWay(), maxConfirmationCalls)
	}
}
