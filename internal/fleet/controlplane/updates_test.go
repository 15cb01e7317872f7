package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

// applyUpdates applies count updates to the stored value of the head, as if they had been committed. It returns
// the revision of the new value.
func (node *testNode) applyUpdates(count int) (revision int64) {
	node.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(node.tb, node.member.acquireWrite(ctx))
	defer node.member.releaseWrite()
	record := node.member.replica().Record
	for range count {
		revision = record.Value.Revision
		next, _, final := chain.Apply(&record.Value, revisionUpdate(revision, revision+1), applyNumber)
		require.False(node.tb, final)
		record.Value = *next
	}
	require.NoError(node.tb, node.member.persistRecord(record))
	return record.Value.Revision
}

// The outcome of a repeated committed update, at any process and after any number of other updates, is committed or
// unknown. An unknown outcome that is final is returned at once.
func TestRepeatedUpdateAfterManyUpdates(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	newest := cluster.chainMember(0).applyUpdates(chain.MaxRecentUpdates+chain.MaxOlderUpdates) + 1
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(newest-1, newest).Outcome)
	for _, node := range cluster.nodes {
		for _, revision := range []int64{newest, newest - chain.MaxRecentUpdates, newest - chain.MaxRecentUpdates - chain.MaxOlderUpdates + 1} {
			require.Equal(t, chain.Result{Outcome: chain.OutcomeCommitted, Revision: revision}, node.submitRevision(revision-1, revision))
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		startedAt := time.Now()
		result := node.member.Submit(ctx, revisionUpdate(0, 1))
		cancel()
		require.Equal(t, chain.OutcomeUnknown, result.Outcome)
		require.Contains(t, result.Reason, "read the configuration")
		require.Less(t, time.Since(startedAt), node.requestTimeout, "a final outcome is not retried until the timeout")
		require.Equal(t, chain.Result{Outcome: chain.OutcomeConflict, Revision: newest}, node.submitRevision(newest-1, newest+1))
	}
	require.Equal(t, newest, client.read().Revision)
}

// Of several updates from the same revision, the committed one is acknowledged at each process, and the others
// conflict.
func TestUpdatesOfOneRevision(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 4, 1)
	for i, patch := range []bool{false, true} {
		revision := int64(i + 1)
		update := revisionUpdate(revision, revision+1)
		update.Patch = patch
		committed := chain.Result{Outcome: chain.OutcomeCommitted, Revision: revision + 1}
		conflict := chain.Result{Outcome: chain.OutcomeConflict, Revision: revision + 1}
		require.Equal(t, chain.OutcomeCommitted, client.submitUntilKnown(update).Outcome)
		for _, node := range cluster.nodes {
			otherBody, otherMethod := *update, *update
			otherBody.Body = append([]byte("0"), update.Body...) // the same number in different bytes
			otherMethod.Patch = !patch
			require.Equal(t, committed, node.submitUntilKnown(update))
			require.Equal(t, conflict, node.submitUntilKnown(&otherBody))
			require.Equal(t, conflict, node.submitUntilKnown(&otherMethod))
		}
	}
}

// olderValue is a value as encoded by earlier versions, which remembered recent updates only.
type olderValue struct {
	Seq      uint64
	Revision int64
	Body     []byte
	Past     []chain.AppliedUpdate
}

// olderRecord is a record of those versions.
type olderRecord struct {
	View   uint64
	Value  olderValue
	Direct bool
}

// A record that an earlier version wrote is read, and the updates that it remembers are still remembered.
func TestRecordOfAnOlderVersionIsRead(t *testing.T) {
	t.Parallel()
	value := &chain.Value{}
	for revision := range int64(chain.MaxRecentUpdates) {
		value, _, _ = chain.Apply(value, revisionUpdate(revision, revision+1), applyNumber)
	}
	older := olderRecord{View: 3, Value: olderValue{
		Seq: 2 * chain.MaxRecentUpdates, Revision: value.Revision, Body: value.Body, Past: value.Recent,
	}}
	raw, err := encode(&older)
	require.NoError(t, err)
	dir := stateDir(t)
	disk, _, err := store.Open(dir)
	require.NoError(t, err)
	require.NoError(t, disk.Put(keyValue, raw))
	disk.Close()

	member, err := Open(Options{
		Addr: "127.0.0.1:1", StateDir: dir, HasDisk: true, Pool: rpc.NewPool(), Transition: applyNumber,
		Seeds: func() []string { return nil },
	})
	require.NoError(t, err)
	defer member.disk.Close()
	record := member.replica().Record
	require.EqualValues(t, 3, record.View)
	require.NoError(t, record.Value.Validate())
	next, _, final := chain.Apply(&record.Value, revisionUpdate(value.Revision, value.Revision+1), applyNumber)
	require.False(t, final)
	revision, found := next.RevisionOf(revisionUpdate(0, 1).Digest())
	require.True(t, found, "the oldest update is still remembered")
	require.EqualValues(t, 1, revision)
}
