package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// start is the time at which the state machines of these tests start.
var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// testPeers returns peers with a disk that have the given IDs.
func testPeers(ids ...string) []view.Peer {
	peers := make([]view.Peer, len(ids))
	for i, id := range ids {
		peers[i] = view.Peer{ID: id, Addr: id + ":1", Zone: "z", Disk: true, Counted: true}
	}
	return peers
}

// testView returns a view whose voters have all been in the chain since the first view, in the order of the IDs.
func testView(number uint64, ids ...string) view.View {
	v := view.View{Number: number, Voters: testPeers(ids...)}
	for _, voter := range v.Voters {
		v.Chain = append(v.Chain, view.Member{Peer: voter, JoinedIn: 1})
	}
	return v
}

func TestViewStateObserve(t *testing.T) {
	t.Parallel()
	state := newViewState(testView(3, "a", "b", "c"))
	for _, test := range []struct {
		name   string
		number uint64
		newer  bool
		newest uint64
	}{
		{"an older view", 2, false, 3},
		{"the learned view", 3, false, 3},
		{"a newer view", 5, true, 5},
		{"the same newer view", 5, false, 5},
		{"a view between learned and newest", 4, false, 5},
	} {
		observed := testView(test.number, "a", "b", "c")
		require.Equal(t, test.newer, state.observe(&observed), test.name)
		require.Equal(t, test.newest, state.newest.Number, test.name)
		require.EqualValues(t, 3, state.learned.Number, test.name)
	}
	require.True(t, state.behind())
}

func TestViewStateLearn(t *testing.T) {
	t.Parallel()
	state := newViewState(testView(3, "a", "b", "c"))
	superseded := state.superseded.wait()
	decided := testView(4, "a", "b")
	state.learn(&decided, start)
	require.EqualValues(t, 4, state.learned.Number)
	require.EqualValues(t, 4, state.newest.Number, "the learned view counts as observed")
	require.Equal(t, start, state.learnedAt)
	require.False(t, state.behind())
	require.True(t, state.isVoter("b"))
	require.False(t, state.isVoter("c"))
	requireClosed(t, superseded)
	decided.Voters[0].ID = "x"
	require.True(t, state.isVoter("a"), "the state has its own copy")
}

func TestViewStateKeepsNewerObservation(t *testing.T) {
	t.Parallel()
	state := newViewState(testView(3, "a"))
	observed, decided := testView(6, "a"), testView(4, "a")
	require.True(t, state.observe(&observed))
	state.learn(&decided, start)
	require.EqualValues(t, 6, state.newest.Number)
	require.True(t, state.behind())
}

func TestViewStateNewerThan(t *testing.T) {
	t.Parallel()
	state := newViewState(testView(3, "a"))
	require.Nil(t, state.newerThan(3))
	require.Nil(t, state.newerThan(4))
	require.EqualValues(t, 3, state.newerThan(2).Number)
	empty := newViewState(view.View{})
	require.Nil(t, empty.newerThan(0), "no view is known")
}

func TestViewStateLimitsFailureLogs(t *testing.T) {
	t.Parallel()
	state := newViewState(testView(3, "a"))
	require.True(t, state.shouldLogFailure(start))
	require.False(t, state.shouldLogFailure(start.Add(persistFailureLogInterval-1)))
	require.True(t, state.shouldLogFailure(start.Add(persistFailureLogInterval)))
	require.False(t, state.shouldLogFailure(start.Add(persistFailureLogInterval+1)))
}

func TestBroadcastWakesAllOnce(t *testing.T) {
	t.Parallel()
	signal := newBroadcast()
	first, second := signal.wait(), signal.wait()
	signal.notify()
	requireClosed(t, first)
	requireClosed(t, second)
	select {
	case <-signal.wait():
		require.FailNow(t, "a notification woke a goroutine that waits later")
	default:
	}
}

func requireClosed(t *testing.T, channel <-chan struct{}) {
	t.Helper()
	select {
	case <-channel:
	default:
		require.FailNow(t, "the channel is open")
	}
}
