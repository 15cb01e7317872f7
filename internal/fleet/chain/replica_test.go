package chain_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// testView returns view 5 with the chain a, b, c. Member c joined in view 4, the others in view 1.
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
	currentRecord := chain.Record{View: 5, Value: *applyUpdates(t, &chain.Value{}, 2)}
	olderValue, newerValue := *applyUpdates(t, &chain.Value{}, 1), *applyUpdates(t, &chain.Value{}, 3)
	v := testView()
	for _, c := range []struct {
		name     string
		id       string
		record   chain.Record
		push     chain.Push
		rejected bool
		want     chain.Record
	}{
		{"a newer value", "b", currentRecord,
			chain.Push{View: v, Value: newerValue}, false, chain.Record{View: 5, Value: newerValue}},
		{"an older value of the same view", "b", currentRecord,
			chain.Push{View: v, Value: olderValue}, false, currentRecord},
		{"an older value, the first of its view", "b", chain.Record{View: 4, Value: currentRecord.Value},
			chain.Push{View: v, Value: olderValue}, false, chain.Record{View: 5, Value: olderValue}},
		{"a value of an older view", "b", currentRecord,
			chain.Push{View: testViewNumbered(4), Value: newerValue}, true, currentRecord},
		{"a value of a newer view", "b", currentRecord,
			chain.Push{View: testViewNumbered(6), Value: newerValue}, true, currentRecord},
		{"a push to the head", "a", currentRecord,
			chain.Push{View: v, Value: newerValue}, true, currentRecord},
		{"a push to a peer outside of the chain", "d", currentRecord,
			chain.Push{View: v, Value: newerValue}, true, currentRecord},
		{"a direct push to a complete member", "c", currentRecord,
			chain.Push{View: v, Value: newerValue, Direct: true}, false, currentRecord},
		{"a direct push to an incomplete member", "c", chain.Record{View: 3},
			chain.Push{View: v, Value: newerValue, Direct: true}, false,
			chain.Record{View: 5, Value: newerValue, Direct: true}},
		{"an older value along the chain after a direct push", "c",
			chain.Record{View: 5, Value: newerValue, Direct: true},
			chain.Push{View: v, Value: olderValue}, false, chain.Record{View: 5, Value: olderValue}},
	} {
		replica := chain.Replica{ID: c.id, View: v, Record: c.record}
		got, changed, err := replica.Receive(&c.push)
		require.Equal(t, c.rejected, err != nil, c.name)
		require.Equal(t, c.want, got, c.name)
		require.Equal(t, !c.rejected && got.View != c.record.View || got.Value.Seq != c.record.Value.Seq,
			changed, c.name)
	}
}

// A member that joined after view 1 is complete once it has received a value since it joined.
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
	singleMemberView := testView()
	singleMemberView.Chain = singleMemberView.Chain[:1]
	for _, c := range []struct {
		name   string
		id     string
		view   view.View
		record chain.Record
		want   bool
	}{
		{"a tail", "c", testView(), chain.Record{View: 5}, true},
		{"a tail with a value of the previous view", "c", testView(), chain.Record{View: 4}, false},
		{"a tail with a directly transferred value", "c", testView(), chain.Record{View: 5, Direct: true}, false},
		{"a middle member", "b", testView(), chain.Record{View: 5}, false},
		{"a single member", "a", singleMemberView, chain.Record{View: 4}, true},
	} {
		_, ok := (&chain.Replica{ID: c.id, View: c.view, Record: c.record}).CommittedValue()
		require.Equal(t, c.want, ok, c.name)
	}
}
