package controlplane

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

// revisionUpdate is an order that leads to a revision.
func revisionUpdate(ifMatch, revision int64) *chain.Update {
	return &chain.Update{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
}

// applyUpdates has the head hold a value that is n orders further, as if they had been committed.
func (node *testNode) applyUpdates(n int) (revision int64) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	require.NoError(node.tb, node.member.acquireWrite(ctx))
	defer node.member.releaseWrite()
	record := node.member.replica().Record
	for range n {
		revision = record.Value.Revision
		next, _, final := chain.Apply(&record.Value, revisionUpdate(revision, revision+1), applyNumber)
		require.False(node.tb, final)
		record.Value = *next
	}
	require.NoError(node.tb, node.member.persistRecord(record))
	return record.Value.Revision
}

// A taken order that is sent again, to whichever process and after however many changes, is taken or
// left unclear. Where it is unclear for good the answer comes at once.
func TestRepeatedUpdateAfterManyUpdates(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	newest := cluster.chainMember(0).applyUpdates(chain.MaxRecentUpdates+chain.MaxOlderUpdates) + 1
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(newest-1, newest).Kind)
	for _, node := range cluster.nodes {
		for _, revision := range []int64{newest, newest - chain.MaxRecentUpdates, newest - chain.MaxRecentUpdates - chain.MaxOlderUpdates + 1} {
			require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: revision}, node.submitRevision(revision-1, revision))
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		begun := time.Now()
		verdict := node.member.Submit(ctx, revisionUpdate(0, 1))
		cancel()
		require.Equal(t, chain.OutcomeUnknown, verdict.Kind)
		require.Contains(t, verdict.Reason, "read the configuration")
		require.Less(t, time.Since(begun), node.ack, "it is not tried again until the time is out")
		require.Equal(t, chain.Result{Kind: chain.OutcomeConflict, Revision: newest}, node.submitRevision(newest-1, newest+1))
	}
	require.Equal(t, newest, client.read().Revision)
}

// Orders that name one revision: the same one is acknowledged at each process, others are refused.
func TestUpdatesOfOneRevision(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 4, 1)
	for i, patch := range []bool{false, true} {
		revision := int64(i + 1)
		order := chain.Update{Patch: patch, IfMatch: revision, Body: []byte(strconv.FormatInt(revision+1, 10))}
		require.Equal(t, chain.OutcomeCommitted, client.submitUntilClear(&order).Kind)
		for _, node := range cluster.nodes {
			require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: revision + 1}, node.submitUntilClear(&order))
			other, method := order, order
			other.Body = append([]byte("0"), order.Body...) // the same number in other bytes
			method.Patch = !patch
			require.Equal(t, chain.Result{Kind: chain.OutcomeConflict, Revision: revision + 1}, node.submitUntilClear(&other))
			require.Equal(t, chain.Result{Kind: chain.OutcomeConflict, Revision: revision + 1}, node.submitUntilClear(&method))
		}
	}
}

// olderValue is a value as processes encoded it before there was an older memory.
type olderValue struct {
	Seq      uint64
	Revision int64
	Body     []byte
	Past     []chain.AppliedUpdate
}

type olderRecord struct {
	View   uint64
	Value  olderValue
	Direct bool
}

// A folder that an older process wrote is read, and its full memory goes on.
func TestRecordOfAnOlderVersionIsRead(t *testing.T) {
	t.Parallel()
	value := &chain.Value{}
	for revision := range int64(chain.MaxRecentUpdates) {
		value, _, _ = chain.Apply(value, revisionUpdate(revision, revision+1), applyNumber)
	}
	former := olderRecord{View: 3, Value: olderValue{Seq: 2 * chain.MaxRecentUpdates, Revision: value.Revision, Body: value.Body, Past: value.Past}}
	raw, err := encode(&former)
	require.NoError(t, err)
	dir := stateDir(t)
	disk, _, err := store.Open(dir)
	require.NoError(t, err)
	require.NoError(t, disk.Put(keyValue, raw))
	disk.Close()

	member, err := Open(Options{Addr: "127.0.0.1:1", StateDir: dir, HasDisk: true, Pool: rpc.NewPool(), Validate: applyNumber, Seeds: func() []string { return nil }})
	require.NoError(t, err)
	defer member.disk.Close()
	read := member.replica().Record
	require.EqualValues(t, 3, read.View)
	require.NoError(t, read.Value.Validate())
	next, _, final := chain.Apply(&read.Value, revisionUpdate(value.Revision, value.Revision+1), applyNumber)
	require.False(t, final)
	revision, took := next.RevisionOf(revisionUpdate(0, 1).Digest())
	require.True(t, took, "the oldest of the former memory is still remembered")
	require.EqualValues(t, 1, revision)
}
