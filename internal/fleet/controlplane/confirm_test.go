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

// Each process can confirm the newest value without reading it, and none that is cut off from a majority
// can.
func TestConfirm(t *testing.T) {
	t.Parallel()
	cluster, first := bootstrapped(t, 3, 1)
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

// Callers share the rounds of confirmation. Their number is bounded by time, also while none of them ends.
func TestConfirmationsShareRounds(t *testing.T) {
	t.Parallel()
	const callers = 500
	cluster, _ := bootstrapped(t, 3, 1)
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
	begun := time.Now()
	var waiting sync.WaitGroup
	for range callers {
		waiting.Go(func() { assert.Error(t, tail.member.confirmView(ctx, current)) })
	}
	waiting.Wait()
	elapsed := time.Since(begun)
	others := len(current.Voters) - 1
	ticks := int(elapsed/heartbeatInterval) + 2
	rounds := int(elapsed/confirmationOverlapDelay) + 2
	require.LessOrEqual(t, int(heartbeats.Load()), others*(ticks+rounds))
}

// Whoever asks after a round has begun is not answered by it: its answers may be older than the question.
func TestConfirmationRoundIsClosedOnceItIsAsked(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapped(t, 3, 1)
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

// A voter that does not answer has a bounded number of calls under way, however many rounds the others
// confirm meanwhile.
func TestConfirmationCallsAreBounded(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapped(t, 3, 1)
	asking, silent := cluster.chainMember(0).member, cluster.chainMember(2)
	current, _ := asking.View()
	cluster.setPartition(cluster.chainMember(0), silent, true)
	callsUnderWay := func() int {
		asking.mu.Lock()
		defer asking.mu.Unlock()
		return asking.peers.byID[silent.id()].confirmationCalls
	}
	for range 2 * maxConfirmationCalls {
		require.NoError(t, asking.confirmView(context.Background(), current))
		require.LessOrEqual(t, callsUnderWay(), maxConfirmationCalls)
	}
}
