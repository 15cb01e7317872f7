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
func orderOf(ifMatch, revision int64) *chain.Order {
	return &chain.Order{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
}

// grow commits n orders, each of which leads ten revisions further.
func grow(t *testing.T, value *chain.Value, n int) *chain.Value {
	t.Helper()
	for range n {
		next, verdict, final := chain.Apply(value, orderOf(value.Revision, value.Revision+10), check)
		require.False(t, final)
		require.Equal(t, chain.Taken, verdict.Kind)
		require.NoError(t, next.Check())
		value = next
	}
	return value
}

// An order that was taken and whose answer was lost is never refused, however many changes came since.
func TestRepeatedOrderIsNeverRefused(t *testing.T) {
	t.Parallel()
	value := &chain.Value{}
	for n := range 2 * (chain.MaxPast + chain.MaxOlder) {
		value = grow(t, value, 1)
		for _, age := range []int{0, 1, chain.MaxPast - 1, chain.MaxPast, chain.MaxPast + chain.MaxOlder - 1, chain.MaxPast + chain.MaxOlder, n} {
			if age > n {
				continue
			}
			revision := value.Revision - 10*int64(age)
			next, verdict, final := chain.Apply(value, orderOf(revision-10, revision), check)
			require.True(t, final)
			require.Nil(t, next)
			if age < chain.MaxPast+chain.MaxOlder {
				require.Equal(t, chain.Verdict{Kind: chain.Taken, Revision: revision}, verdict, "%d changes since", age)
				continue
			}
			require.Equal(t, chain.Unclear, verdict.Kind, "%d changes since", age)
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
	require.Equal(t, chain.Verdict{Kind: chain.Conflict, Revision: 50}, verdict, "no order is forgotten")

	value = grow(t, value, chain.MaxPast+chain.MaxOlder)
	oldest := value.Revision - 10*int64(chain.MaxPast+chain.MaxOlder-1) // what the oldest remembered order led to
	for ifMatch, want := range map[int64]chain.Kind{
		oldest - 10: chain.Unclear, oldest - 1: chain.Unclear, oldest: chain.Conflict, oldest + 10: chain.Conflict,
		value.Revision - 1: chain.Conflict, value.Revision + 1: chain.Conflict} {
		_, verdict, _ := chain.Apply(value, orderOf(ifMatch, value.Revision+99), check)
		require.Equal(t, want, verdict.Kind, "on revision %d of %d", ifMatch, value.Revision)
	}
}

// The same order is the same bytes, on the same revision, by the same method.
func TestSameOrder(t *testing.T) {
	t.Parallel()
	first := chain.Order{IfMatch: 3, Body: []byte(`{"revision":4,"a":1}`)}
	require.Equal(t, first.Digest(), (&chain.Order{IfMatch: 3, Body: bytes.Clone(first.Body)}).Digest())
	for name, other := range map[string]chain.Order{
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
	whole := func(_ []byte, o *chain.Order) ([]byte, int64, error) { return o.Body, 20, nil }
	for _, patch := range []bool{false, true} {
		value := grow(t, &chain.Value{}, 1)
		order := &chain.Order{Patch: patch, IfMatch: 10, Body: []byte("20")}
		next, _, final := chain.Apply(value, order, whole)
		require.False(t, final)
		for _, c := range []struct {
			name  string
			order chain.Order
			want  chain.Kind
		}{
			{"the same", chain.Order{Patch: patch, IfMatch: 10, Body: []byte("20")}, chain.Taken},
			{"other bytes", chain.Order{Patch: patch, IfMatch: 10, Body: []byte("20 ")}, chain.Conflict},
			{"the other method", chain.Order{Patch: !patch, IfMatch: 10, Body: []byte("20")}, chain.Conflict},
			{"the same on the newest revision", chain.Order{Patch: patch, IfMatch: 20, Body: []byte("20")}, chain.Invalid},
		} {
			_, verdict, final := chain.Apply(next, &c.order, whole)
			require.True(t, final)
			require.Equal(t, c.want, verdict.Kind, c.name)
			require.EqualValues(t, 20, verdict.Revision, c.name)
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

// Values of the former format are read, and an older process reads values of this one: it takes
// what it knows and drops the older memory.
func TestFormerFormat(t *testing.T) {
	t.Parallel()
	value := grow(t, &chain.Value{}, 3*chain.MaxPast)
	require.NotEmpty(t, value.Older)
	raw, err := msgpack.Marshal(value)
	require.NoError(t, err)
	var former formerValue
	require.NoError(t, msgpack.Unmarshal(raw, &former))
	require.Len(t, former.Past, chain.MaxPast)
	require.Equal(t, value.Seq, former.Seq)

	raw, err = msgpack.Marshal(former)
	require.NoError(t, err)
	var read chain.Value
	require.NoError(t, msgpack.Unmarshal(raw, &read))
	require.NoError(t, read.Check())
	require.Equal(t, value.Sum(), read.Sum(), "copies with and without the older memory count as the same")
	require.Empty(t, read.Older)
	forgotten := read.Past[0].Revision - 10
	_, verdict, _ := chain.Apply(&read, orderOf(forgotten-10, forgotten), check)
	require.Equal(t, chain.Unclear, verdict.Kind, "what is dropped is not refused")

	read = *grow(t, &read, chain.MaxPast+1)
	revision, took := read.Took(orderOf(former.Past[0].Revision-10, former.Past[0].Revision).Digest())
	require.True(t, took, "the memory grows again")
	require.Equal(t, former.Past[0].Revision, revision)
}

func TestCheckOfTheMemory(t *testing.T) {
	t.Parallel()
	value := *grow(t, &chain.Value{}, 2*chain.MaxPast)
	require.NoError(t, value.Check())
	for name, spoil := range map[string]func(v *chain.Value){
		"cut":              func(v *chain.Value) { v.Older = v.Older[:len(v.Older)-1] },
		"too many entries": func(v *chain.Value) { v.Older = bytes.Repeat(v.Older, 1+chain.MaxOlder/chain.MaxPast) },
		"more than taken":  func(v *chain.Value) { v.Seq = chain.MaxPast },
		"not rising":       func(v *chain.Value) { v.Older = append(bytes.Clone(v.Older[:8]), 0) },
		"below zero":       func(v *chain.Value) { v.Past = v.Past[:1]; v.Past[0].Revision = 1 },
		"without the last": func(v *chain.Value) { v.Past = nil },
		"too many":         func(v *chain.Value) { v.Past = append(v.Past[:chain.MaxPast:chain.MaxPast], v.Past[0]) },
	} {
		spoiled := value
		spoiled.Past = append([]chain.PastOrder(nil), value.Past...)
		spoil(&spoiled)
		require.Error(t, spoiled.Check(), name)
	}
}
