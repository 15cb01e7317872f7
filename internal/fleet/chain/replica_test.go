package chain_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// testView is view 5 with a chain of a, b and c, of which c joined in view 4.
func testView() view.View {
	v := view.View{Number: 5}
	for i, id := range []string{"a", "b", "c"} {
		peer := view.Peer{ID: id, Addr: id + ":1", Disk: true}
		v.Voters = append(v.Voters, peer)
		v.Chain = append(v.Chain, view.Member{Peer: peer, JoinedIn: []uint64{1, 1, 4}[i]})
	}
	return v
}

func testViewNumbered(number uint64) view.View {
	v := testView()
	v.Number = number
	return v
}

func TestReceive(t *testing.T) {
	t.Parallel()
	present := chain.Record{View: 5, Value: *applyUpdates(t, &chain.Value{}, 2)}
	older, newer := *applyUpdates(t, &chain.Value{}, 1), *applyUpdates(t, &chain.Value{}, 3)
	v := testView()
	for _, c := range []struct {
		name     string
		id       string
		record   chain.Record
		push     chain.Push
		rejected bool
		want     chain.Record
	}{
		{"a newer value", "b", present,
			chain.Push{View: v, Value: newer}, false, chain.Record{View: 5, Value: newer}},
		{"an older value of the same view", "b", present,
			chain.Push{View: v, Value: older}, false, present},
		{"an older value, the first of its view", "b", chain.Record{View: 4, Value: present.Value},
			chain.Push{View: v, Value: older}, false, chain.Record{View: 5, Value: older}},
		{"of an older view", "b", present,
			chain.Push{View: testViewNumbered(4), Value: newer}, true, present},
		{"of a newer view", "b", present,
			chain.Push{View: testViewNumbered(6), Value: newer}, true, present},
		{"to the head", "a", present,
			chain.Push{View: v, Value: newer}, true, present},
		{"to a peer outside of the chain", "d", present,
			chain.Push{View: v, Value: newer}, true, present},
		{"directly to a complete member", "c", present,
			chain.Push{View: v, Value: newer, Direct: true}, false, present},
		{"directly to an incomplete member", "c", chain.Record{View: 3},
			chain.Push{View: v, Value: newer, Direct: true}, false, chain.Record{View: 5, Value: newer, Direct: true}},
		{"an older one along the chain after a direct one", "c", chain.Record{View: 5, Value: newer, Direct: true},
			chain.Push{View: v, Value: older}, false, chain.Record{View: 5, Value: older}},
	} {
		replica := chain.Replica{ID: c.id, View: v, Record: c.record}
		got, changed, err := replica.Receive(&c.push)
		require.Equal(t, c.rejected, err != nil, c.name)
		require.Equal(t, c.want, got, c.name)
		require.Equal(t, !c.rejected && got.View != c.record.View || got.Value.Seq != c.record.Value.Seq, changed, c.name)
	}
}

// A member is complete from the first value on that it received since it joined.
func TestComplete(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		id         string
		recordView uint64
		want       bool
	}{{"a", 0, true}, {"c", 0, false}, {"c", 3, false}, {"c", 4, true}, {"c", 5, true}, {"d", 5, false}} {
		replica := chain.Replica{ID: c.id, View: testView(), Record: chain.Record{View: c.recordView}}
		require.Equal(t, c.want, replica.Complete(), "%s with a value of view %d", c.id, c.recordView)
	}
}

// A tail has a committed value once the first push of its view has arrived along the chain.
func TestCommittedValue(t *testing.T) {
	t.Parallel()
	single := testView()
	single.Chain = single.Chain[:1]
	for _, c := range []struct {
		name   string
		id     string
		view   view.View
		record chain.Record
		want   bool
	}{
		{"a tail", "c", testView(), chain.Record{View: 5}, true},
		{"a tail with a value of the view before", "c", testView(), chain.Record{View: 4}, false},
		{"a tail with a direct value", "c", testView(), chain.Record{View: 5, Direct: true}, false},
		{"a middle member", "b", testView(), chain.Record{View: 5}, false},
		{"a single member", "a", single, chain.Record{View: 4}, true},
	} {
		_, ok := (&chain.Replica{ID: c.id, View: c.view, Record: c.record}).CommittedValue()
		require.Equal(t, c.want, ok, c.name)
	}
}
