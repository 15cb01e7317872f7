package controlplane

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/bindiff"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// longUpdate is revisionUpdate with a body that is long enough for a difference.
func longUpdate(ifMatch, revision int64) *chain.Update {
	return &chain.Update{IfMatch: ifMatch, Body: fmt.Appendf(nil, "%0*d", 2*bindiff.MinBytes, revision)}
}

// requireSameValue waits until all members of the chain hold the value that a client reads.
func (cluster *testCluster) requireSameValue(client *testNode) chain.Value {
	cluster.tb.Helper()
	value := client.read()
	for position := range client.learnedChain() {
		node := cluster.chainMember(position)
		node.waitUntil("it holds the value", func() bool {
			stored := node.member.replica().Record.Value
			return stored.Checksum() == value.Checksum()
		})
	}
	return value
}

func (node *testNode) learnedChain() int {
	current, _ := node.member.View()
	return len(current.Chain)
}

// A difference needs a long base and a long value, so the first long value is pushed whole.
func TestShortValuesHaveNoDifference(t *testing.T) {
	var short, long, longer chain.Value
	short = nextValue(t, &short, revisionUpdate(0, 1))
	long = nextValue(t, &short, longUpdate(1, 2))
	longer = nextValue(t, &long, longUpdate(2, 3))
	require.Nil(t, diffValue(&short, &long))
	require.Nil(t, diffValue(&long, &short))
	require.NotNil(t, diffValue(&long, &longer))
}

// Long values are pushed as differences.
func TestChainPushesWhatChanged(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	var diffs atomic.Int32
	cluster.setObserveCall(func(_, name string, answered bool) {
		if name == callPushDiff && answered {
			diffs.Add(1)
		}
	})
	require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(1, 2)).Outcome)
	for revision := int64(3); revision <= 6; revision++ {
		require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(revision-1, revision)).Outcome)
		require.Equal(t, revision, cluster.requireSameValue(client).Revision)
	}
	require.Positive(t, diffs.Load())
	head := cluster.chainMember(0)
	value := head.member.replica().Record.Value
	diff := head.member.diffForSuccessor(cluster.chainMember(1).id(), &value)
	require.NotNil(t, diff)
	require.Less(t, len(diff.Content.Data), bindiff.MinBytes/8)
	require.Nil(t, head.member.diffForSuccessor("another disk", &value))
}

// Whole values are pushed to a member that runs an earlier version.
func TestEarlierProgramIsPushedWholeValues(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	cluster.setUnknownCall(callPushDiff)
	for revision := int64(2); revision <= 4; revision++ {
		require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(revision-1, revision)).Outcome)
		require.Equal(t, revision, cluster.requireSameValue(client).Revision)
	}
	head := cluster.chainMember(0)
	for { // repeated if the view changes in the meantime
		replica := head.member.replica()
		successor := replica.View.Chain[1]
		head.member.recordStored(successor.ID, replica.Record.Value.Seq) // makes the head send a difference first
		response, err := head.member.sendPush(context.Background(), successor, chain.Push{View: replica.View, Value: replica.Record.Value})
		if head.member.replica().View.Number == replica.View.Number {
			require.NoError(t, err)
			require.True(t, response.OK, response.RejectReason)
			return
		}
	}
}

// If a successor's stored value is not the one that the head assumes, the head sends it the whole next value.
func TestSuccessorWithAnotherBaseGetsTheWholeValue(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(1, 2)).Outcome)
	require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(2, 3)).Outcome)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	cluster.chainMember(1).replaceBody(ctx, "7")
	require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(3, 4)).Outcome)
	require.Equal(t, longUpdate(3, 4).Body, cluster.requireSameValue(client).Body)
}

// If the receiver lacks the base of a difference, the whole value is sent to it at once.
func TestUnknownBaseIsFollowedByTheWholeValue(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(1, 2)).Outcome)
	head := cluster.chainMember(0)
	head.waitUntil("the value is committed", func() bool { return head.hasRevision(2) })
	replica := head.member.replica()
	head.member.recordStored(client.id(), replica.Record.Value.Seq)
	push := chain.Push{View: replica.View, Value: replica.Record.Value}
	response, err := head.member.sendPush(context.Background(), view.Member{Peer: client.member.self}, push)
	require.NoError(t, err)
	require.False(t, response.NeedsValue)
	require.False(t, response.OK, "a process that is not in the chain has rejected the whole value")
}

func TestPushDiffToAnUnknownBase(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapCluster(t, 3, 1)
	tail := cluster.chainMember(2)
	before := tail.member.replica().Record
	for _, diff := range []valueDiff{{}, {BaseSeq: 1}, {BaseSeq: 99}} {
		response, err := tail.member.handlePushDiff(context.Background(), &pushDiffRequest{To: tail.id(), View: tail.learnedView(), Diff: diff})
		require.NoError(t, err)
		require.True(t, response.NeedsValue)
		require.False(t, response.OK)
	}
	require.Equal(t, before, tail.member.replica().Record)
}

// A process that has the value before the newest one gets a difference, and any other process the whole value.
func TestValueRequestIsAnsweredByWhatChanged(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(1, 2)).Outcome)
	former := client.read()
	require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(2, 3)).Outcome)
	newest := client.read()
	node := cluster.chainMember(0)
	node.waitUntil("the value is committed", func() bool { return node.hasRevision(3) })
	for known, isDiff := range map[uint64]bool{former.Seq: true, 0: false, former.Seq - 1: false, newest.Seq: false} {
		response, err := node.member.handleValue(context.Background(), &valueRequest{KnownSeq: known})
		require.NoError(t, err)
		require.Equal(t, isDiff, response.Diff != nil, known)
		value := response.Value
		if isDiff {
			require.Zero(t, value.Seq)
			value, err = response.Diff.apply(former)
			require.NoError(t, err)
		}
		require.Equal(t, newest, value)
	}
}

// A process requests the whole value if the difference can't be applied to its own value, which differs from the
// base with the same sequence number.
func TestValueIsRequestedWholeAfterAnotherBase(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	for revision := int64(2); revision <= 3; revision++ {
		require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(longUpdate(revision-1, revision)).Outcome)
	}
	newest := client.read()
	source := cluster.chainMember(0)
	source.waitUntil("the value is committed", func() bool { return source.hasRevision(3) })
	member := client.member // not a voter, so nothing else sets its committed value
	member.mu.Lock()
	member.register.committed = chain.Value{Seq: newest.Seq - 1, Body: make([]byte, 2*bindiff.MinBytes)}
	member.mu.Unlock()
	value, err := member.requestValue(context.Background(), source.addr)
	require.NoError(t, err)
	require.Equal(t, newest, value)
}

// A difference can be applied to a base that was encoded and decoded, as the receiver's was.
func TestValueDiffOfAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var base chain.Value
		for revision := range rapid.Int64Range(1, 2*chain.MaxRecentUpdates).Draw(t, "updates") {
			base = nextValue(t, &base, longUpdate(revision, revision+1))
		}
		value := nextValue(t, &base, longUpdate(base.Revision, base.Revision+rapid.Int64Range(1, 100).Draw(t, "step")))
		diff := diffValue(&base, &value)
		require.NotNil(t, diff)
		var received chain.Value
		encoded, err := encode(&base)
		require.NoError(t, err)
		require.NoError(t, decode(encoded, &received))
		got, err := diff.apply(chain.Value{Seq: base.Seq + 7}, received)
		require.NoError(t, err)
		assert.Equal(t, value, got)
	})
}

func nextValue(t require.TestingT, base *chain.Value, update *chain.Update) chain.Value {
	next, result, final := chain.Apply(base, update, applyNumber)
	require.False(t, final, result.Reason)
	return *next
}
