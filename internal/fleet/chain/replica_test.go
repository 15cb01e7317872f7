package chain_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// chainOf is view 5 with a chain of a, b and c, of which c joined in view 4.
func chainOf() view.View {
	v := view.View{Number: 5}
	for i, id := range []string{"a", "b", "c"} {
		p := view.Peer{ID: id, Addr: id + ":1", Disk: true}
		v.Voters = append(v.Voters, p)
		v.Chain = append(v.Chain, view.Member{Peer: p, JoinedIn: []uint64{1, 1, 4}[i]})
	}
	return v
}

func TestTake(t *testing.T) {
	t.Parallel()
	holds := chain.Record{View: 5, Value: *grow(t, &chain.Value{}, 2)}
	older, newer := *grow(t, &chain.Value{}, 1), *grow(t, &chain.Value{}, 3)
	v := chainOf()
	another := func(number uint64) view.View { w := chainOf(); w.Number = number; return w }
	for _, c := range []struct {
		name    string
		me      string
		record  chain.Record
		push    chain.Push
		refused bool
		want    chain.Record
	}{
		{"a newer value", "b", holds, chain.Push{View: v, Value: newer}, false, chain.Record{View: 5, Value: newer}},
		{"an older value of the same view", "b", holds, chain.Push{View: v, Value: older}, false, holds},
		{"an older value, the first of its view", "b", chain.Record{View: 4, Value: holds.Value}, chain.Push{View: v, Value: older}, false, chain.Record{View: 5, Value: older}},
		{"of an older view", "b", holds, chain.Push{View: another(4), Value: newer}, true, holds},
		{"of a newer view", "b", holds, chain.Push{View: another(6), Value: newer}, true, holds},
		{"to the head", "a", holds, chain.Push{View: v, Value: newer}, true, holds},
		{"to a stranger", "d", holds, chain.Push{View: v, Value: newer}, true, holds},
		{"directly to a complete member", "c", holds, chain.Push{View: v, Value: newer, Direct: true}, false, holds},
		{"directly to one that is not", "c", chain.Record{View: 3}, chain.Push{View: v, Value: newer, Direct: true}, false, chain.Record{View: 5, Value: newer, Direct: true}},
		{"an older one along the chain after a direct one", "c", chain.Record{View: 5, Value: newer, Direct: true}, chain.Push{View: v, Value: older}, false, chain.Record{View: 5, Value: older}},
	} {
		r := chain.Replica{ID: c.me, View: v, Record: c.record}
		got, change, err := r.Receive(&c.push)
		require.Equal(t, c.refused, err != nil, c.name)
		require.Equal(t, c.want, got, c.name)
		require.Equal(t, !c.refused && got.View != c.record.View || got.Value.Seq != c.record.Value.Seq, change, c.name)
	}
}

// A member counts as complete from the first value on that it was given since it joined.
func TestComplete(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		me   string
		view uint64
		want bool
	}{{"a", 0, true}, {"c", 0, false}, {"c", 3, false}, {"c", 4, true}, {"c", 5, true}, {"d", 5, false}} {
		r := chain.Replica{ID: c.me, View: chainOf(), Record: chain.Record{View: c.view}}
		require.Equal(t, c.want, r.Complete(), "%s with a value of view %d", c.me, c.view)
	}
}

// A tail answers once the first push of its view came through, along the chain.
func TestAnswer(t *testing.T) {
	t.Parallel()
	alone := chainOf()
	alone.Chain = alone.Chain[:1]
	for _, c := range []struct {
		name   string
		me     string
		view   view.View
		record chain.Record
		want   bool
	}{
		{"a tail", "c", chainOf(), chain.Record{View: 5}, true},
		{"a tail with a value of the view before", "c", chainOf(), chain.Record{View: 4}, false},
		{"a tail with a direct value", "c", chainOf(), chain.Record{View: 5, Direct: true}, false},
		{"a middle", "b", chainOf(), chain.Record{View: 5}, false},
		{"one alone", "a", alone, chain.Record{View: 4}, true},
	} {
		_, ok := (&chain.Replica{ID: c.me, View: c.view, Record: c.record}).CommittedValue()
		require.Equal(t, c.want, ok, c.name)
	}
}
