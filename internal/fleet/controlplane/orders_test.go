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

// orderOf is an order that leads to a revision.
func orderOf(ifMatch, revision int64) *chain.Order {
	return &chain.Order{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
}

// advance has the head hold a value that is n orders further, as if they had been committed.
func (p *proc) advance(n int) (revision int64) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(p.t, p.m.hold(ctx))
	defer p.m.give()
	record := p.m.replica().Record
	for range n {
		revision = record.Value.Revision
		next, _, final := chain.Apply(&record.Value, orderOf(revision, revision+1), checkNumber)
		require.False(p.t, final)
		record.Value = *next
	}
	require.NoError(p.t, p.m.keep(record))
	return record.Value.Revision
}

// A taken order that is sent again, to whichever process and after however many changes, is taken or
// left unclear. Where it is unclear for good the answer comes at once.
func TestRepeatedOrderAfterManyChanges(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	newest := s.place(0).advance(chain.MaxPast+chain.MaxOlder) + 1
	require.Equal(t, chain.Taken, out.order(newest-1, newest).Kind)
	for _, p := range s.procs {
		for _, revision := range []int64{newest, newest - chain.MaxPast, newest - chain.MaxPast - chain.MaxOlder + 1} {
			require.Equal(t, chain.Verdict{Kind: chain.Taken, Revision: revision}, p.order(revision-1, revision))
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		begun := time.Now()
		verdict := p.m.Submit(ctx, orderOf(0, 1))
		cancel()
		require.Equal(t, chain.Unclear, verdict.Kind)
		require.Contains(t, verdict.Reason, "read the configuration")
		require.Less(t, time.Since(begun), p.ack, "it is not tried again until the time is out")
		require.Equal(t, chain.Verdict{Kind: chain.Conflict, Revision: newest}, p.order(newest-1, newest+1))
	}
	require.Equal(t, newest, out.read().Revision)
}

// Orders that name one revision: the same one is acknowledged at each process, others are refused.
func TestOrdersThatNameOneRevision(t *testing.T) {
	t.Parallel()
	s, out := founded(t, 4, 1)
	for i, patch := range []bool{false, true} {
		revision := int64(i + 1)
		order := chain.Order{Patch: patch, IfMatch: revision, Body: []byte(strconv.FormatInt(revision+1, 10))}
		require.Equal(t, chain.Taken, out.submit(&order).Kind)
		for _, p := range s.procs {
			require.Equal(t, chain.Verdict{Kind: chain.Taken, Revision: revision + 1}, p.submit(&order))
			other, method := order, order
			other.Body = append([]byte("0"), order.Body...) // the same number in other bytes
			method.Patch = !patch
			require.Equal(t, chain.Verdict{Kind: chain.Conflict, Revision: revision + 1}, p.submit(&other))
			require.Equal(t, chain.Verdict{Kind: chain.Conflict, Revision: revision + 1}, p.submit(&method))
		}
	}
}

// formerValue is a value as processes encoded it before there was an older memory.
type formerValue struct {
	Seq      uint64
	Revision int64
	Body     []byte
	Past     []chain.PastOrder
}

type formerRecord struct {
	View   uint64
	Value  formerValue
	Direct bool
}

// A folder that an older process wrote is read, and its full memory goes on.
func TestFormerRecordIsRead(t *testing.T) {
	t.Parallel()
	value := &chain.Value{}
	for revision := range int64(chain.MaxPast) {
		value, _, _ = chain.Apply(value, orderOf(revision, revision+1), checkNumber)
	}
	former := formerRecord{View: 3, Value: formerValue{Seq: 2 * chain.MaxPast, Revision: value.Revision, Body: value.Body, Past: value.Past}}
	raw, err := encode(&former)
	require.NoError(t, err)
	dir := stateDir(t)
	disk, _, err := store.Open(dir)
	require.NoError(t, err)
	require.NoError(t, disk.Put(keyValue, raw))
	disk.Close()

	m, err := Open(Options{Addr: "127.0.0.1:1", Dir: dir, HasDisk: true, Pool: rpc.NewPool(), Check: checkNumber, Seeds: func() []string { return nil }})
	require.NoError(t, err)
	defer m.store.Close()
	read := m.replica().Record
	require.EqualValues(t, 3, read.View)
	require.NoError(t, read.Value.Check())
	next, _, final := chain.Apply(&read.Value, orderOf(value.Revision, value.Revision+1), checkNumber)
	require.False(t, final)
	revision, took := next.Took(orderOf(0, 1).Digest())
	require.True(t, took, "the oldest of the former memory is still remembered")
	require.EqualValues(t, 1, revision)
}
