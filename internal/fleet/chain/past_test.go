package chain_test

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// orderOf is an order that leads to a revision.
func orderOf(ifMatch, revision int64) *chain.Update {
	return &chain.Update{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
}

// grow commits n orders, each of which leads ten revisions further.
func grow(t *testing.T, value *chain.Value, n int) *chain.Value {
	t.Helper()
	for range n {
		next, verdict, final := chain.Apply(value, orderOf(value.Revision, value.Revision+10), check)
		require.False(t, final)
		require.Equal(t, chain.OutcomeCommitted, verdict.Outcome)
		require.NoError(t, next.Validate())
		value = next
	}
	return value
}

// An order that was taken and whose answer was lost is never refused, however many changes came since.
func TestRepeatedOrderIsNeverRefused(t *testing.T) {
	t.Parallel()
	value := &chain.Value{}
	for n := range 2 * (chain.MaxRecentUpdates + chain.MaxOlderUpdates) {
		value = grow(t, value, 1)
		for _, age := range []int{0, 1, chain.MaxRecentUpdates - 1, chain.MaxRecentUpdates, chain.MaxRecentUpdates + chain.MaxOlderUpdates - 1, chain.MaxRecentUpdates + chain.MaxOlderUpdates, n} {
			if age > n {
				continue
			}
			revision := value.Revision - 10*int64(age)
			next, verdict, final := chain.Apply(value, orderOf(revision-10, revision), check)
			require.True(t, final)
			require.Nil(t, next)
			if age < chain.MaxRecentUpdates+chain.MaxOlderUpdates {
				require.Equal(t, chain.Result{Outcome: chain.OutcomeCommitted, Revision: revision}, verdict, "%d changes since", age)
				continue
			}
			require.Equal(t, chain.OutcomeUnknown, verdict.Outcome, "%d changes since", age)
			require.True(t, verdict.Final)
			require.Contains(t, verdict.Reason, "read the configuration")
		}
	}
}

// An order that was never taken is refused as long as the memory can tell.
func TestConflictWhereTheMemoryCanTell(t *testing.T) {
	t.Parallel()
	value := grow(t, &chain.Value{}, 5)
	_, verdict, _ := chain.Apply(value, orderOf(0, 7), check)
	require.Equal(t, chain.Result{Outcome: chain.OutcomeConflict, Revision: 50}, verdict, "no order is forgotten")

	value = grow(t, value, chain.MaxRecentUpdates+chain.MaxOlderUpdates)
	oldest := value.Revision - 10*int64(chain.MaxRecentUpdates+chain.MaxOlderUpdates-1) // what the oldest remembered order led to
	for ifMatch, want := range map[int64]chain.Outcome{
		oldest - 10: chain.OutcomeUnknown, oldest - 1: chain.OutcomeUnknown, oldest: chain.OutcomeConflict, oldest + 10: chain.OutcomeConflict,
		value.Revision - 1: chain.OutcomeConflict, value.Revision + 1: chain.OutcomeConflict} {
		_, verdict, _ := chain.Apply(value, orderOf(ifMatch, value.Revision+99), check)
		require.Equal(t, want, verdict.Outcome, "on revision %d of %d", ifMatch, value.Revision)
	}
}

// The same order is the same bytes, on the same revision, by the same method.
func TestSameOrder(t *testing.T) {
	t.Parallel()
	first := chain.Update{IfMatch: 3, Body: []byte(`{"revision":4,"a":1}`)}
	require.Equal(t, first.Digest(), (&chain.Update{IfMatch: 3, Body: bytes.Clone(first.Body)}).Digest())
	for name, other := range map[string]chain.Update{
		"another method":   {Patch: true, IfMatch: 3, Body: first.Body},
		"another revision": {IfMatch: 4, Body: first.Body},
		"white space":      {IfMatch: 3, Body: []byte(`{"revision":4, "a":1}`)},
		"order of keys":    {IfMatch: 3, Body: []byte(`{"a":1,"revision":4}`)},
		"another value":    {IfMatch: 3, Body: []byte(`{"revision":4,"a":2}`)},
	} {
		require.NotEqual(t, first.Digest(), other.Digest(), name)
	}
}

// Of two orders that name one revision, the one with other bytes or another method is refused, and
// the same one is acknowledged again.
func TestOrdersThatNameOneRevision(t *testing.T) {
	t.Parallel()
	whole := func(_ []byte, o *chain.Update) ([]byte, int64, error) { return o.Body, 20, nil }
	for _, patch := range []bool{false, true} {
		value := grow(t, &chain.Value{}, 1)
		order := &chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20")}
		next, _, final := chain.Apply(value, order, whole)
		require.False(t, final)
		for _, c := range []struct {
			name  string
			order chain.Update
			want  chain.Outcome
		}{
			{"the same", chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20")}, chain.OutcomeCommitted},
			{"other bytes", chain.Update{Patch: patch, IfMatch: 10, Body: []byte("20 ")}, chain.OutcomeConflict},
			{"the other method", chain.Update{Patch: !patch, IfMatch: 10, Body: []byte("20")}, chain.OutcomeConflict},
			{"the same on the newest revision", chain.Update{Patch: patch, IfMatch: 20, Body: []byte("20")}, chain.OutcomeInvalid},
		} {
			_, verdict, final := chain.Apply(next, &c.order, whole)
			require.True(t, final)
			require.Equal(t, c.want, verdict.Outcome, c.name)
			require.EqualValues(t, 20, verdict.Revision, c.name)
		}
	}
}

// formerValue is a value as processes encoded it before there was an older memory.
type formerValue struct {
	Seq      uint64
	Revision int64
	Body     []byte
	Past     []chain.AppliedUpdate
}

// Values of the former format are read, and an older process reads values of this one: it takes
// what it knows and drops the older memory.
func TestFormerFormat(t *testing.T) {
	t.Parallel()
	value := grow(t, &chain.Value{}, 3*chain.MaxRecentUpdates)
	require.NotEmpty(t, value.Older)
	raw, err := msgpack.Marshal(value)
	require.NoError(t, err)
	var former formerValue
	require.NoError(t, msgpack.Unmarshal(raw, &former))
	require.Len(t, former.Past, chain.MaxRecentUpdates)
	require.Equal(t, value.Seq, former.Seq)

	raw, err = msgpack.Marshal(former)
	require.NoError(t, err)
	var read chain.Value
	require.NoError(t, msgpack.Unmarshal(raw, &read))
	require.NoError(t, read.Validate())
	require.Equal(t, value.Checksum(), read.Checksum(), "copies with and without the older memory count as the same")
	require.Empty(t, read.Older)
	forgotten := read.Recent[0].Revision - 10
	_, verdict, _ := chain.Apply(&read, orderOf(forgotten-10, forgotten), check)
	require.Equal(t, chain.OutcomeUnknown, verdict.Outcome, "what is dropped is not refused")

	read = *grow(t, &read, chain.MaxRecentUpdates+1)
	revision, took := read.RevisionOf(orderOf(former.Past[0].Revision-10, former.Past[0].Revision).Digest())
	require.True(t, took, "the memory grows again")
	require.Equal(t, former.Past[0].Revision, revision)
}

func TestCheckOfTheMemory(t *testing.T) {
	t.Parallel()
	value := *grow(t, &chain.Value{}, 2*chain.MaxRecentUpdates)
	require.NoError(t, value.Validate())
	for name, spoil := range map[string]func(v *chain.Value){
		"cut":              func(v *chain.Value) { v.Older = v.Older[:len(v.Older)-1] },
		"too many entries": func(v *chain.Value) { v.Older = bytes.Repeat(v.Older, 1+chain.MaxOlderUpdates/chain.MaxRecentUpdates) },
		"more than taken":  func(v *chain.Value) { v.Seq = chain.MaxRecentUpdates },
		"not rising":       func(v *chain.Value) { v.Older = append(bytes.Clone(v.Older[:8]), 0) },
		"below zero":       func(v *chain.Value) { v.Recent = v.Recent[:1]; v.Recent[0].Revision = 1 },
		"without the last": func(v *chain.Value) { v.Recent = nil },
		"too many": func(v *chain.Value) {
			v.Recent = append(v.Recent[:chain.MaxRecentUpdates:chain.MaxRecentUpdates], v.Recent[0])
		},
	} {
		spoiled := value
		spoiled.Recent = append([]chain.AppliedUpdate(nil), value.Recent...)
		spoil(&spoiled)
		require.Error(t, spoiled.Validate(), name)
	}
}
