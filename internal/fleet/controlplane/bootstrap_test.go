package controlplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

var testSeeds = []string{"a:1", "b:1", "c:1"}

func TestBootstrapSeedsAreDistinct(t *testing.T) {
	t.Parallel()
	state := newBootstrap([]string{"a:1", "b:1", "a:1"}, start)
	require.Equal(t, []string{"a:1", "b:1"}, state.seeds)
	require.Equal(t, []view.Peer{{ID: "a:1", Addr: "a:1"}, {ID: "b:1", Addr: "b:1"}}, bootstrapBase(state.seeds).Voters)
}

func TestBootstrapJoin(t *testing.T) {
	t.Parallel()
	state := newBootstrap(testSeeds, start)
	withDisk := testPeers("a")[0]
	diskless := view.Peer{ID: "b", Addr: "b:1"}
	later := start.Add(time.Second)

	state.join(diskless, later)
	state.join(diskless, later)
	require.Equal(t, start, state.lastJoin, "a diskless machine does not extend the quiet period")
	state.join(withDisk, later)
	state.join(withDisk, later.Add(time.Second))
	require.Equal(t, later, state.lastJoin, "a known machine does not extend the quiet period")
	state.join(view.Peer{Addr: "c:1", Disk: true}, later)
	state.join(view.Peer{ID: "c", Disk: true}, later)
	require.ElementsMatch(t, []view.Peer{withDisk, diskless}, state.peers())
}

func TestBootstrapWithoutSeedsIsIdle(t *testing.T) {
	t.Parallel()
	var state bootstrapState
	state.join(testPeers("a")[0], start)
	require.Empty(t, state.peers())
}

func TestBootstrapIsBounded(t *testing.T) {
	t.Parallel()
	state := newBootstrap(testSeeds, start)
	for i := range 2 * maxBootstrapPeers {
		peer := testPeers(fmt.Sprint(i))[0]
		state.join(peer, start)
		peer.Disk = false
		state.join(peer, start)
	}
	require.Len(t, state.withDisk, maxBootstrapPeers)
	require.Len(t, state.diskless, maxBootstrapPeers)
}

func TestBootstrapBeginRound(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		withDisk bool
		rank     int
		lastJoin time.Duration
		backoff  time.Duration
		want     time.Duration // the earliest time of the proposal
	}{
		{name: "the first seed", withDisk: true, want: bootstrapMinDelay},
		{name: "the third seed", withDisk: true, rank: 2, want: bootstrapMinDelay + 2*bootstrapRankDelay},
		{name: "no machine with a disk", want: bootstrapDisklessDelay},
		{name: "a late machine", withDisk: true, lastJoin: time.Second, want: time.Second + bootstrapQuietPeriod},
		{name: "after a proposal that was not decided", withDisk: true, backoff: 2 * time.Second, want: 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			state := newBootstrap(testSeeds, start)
			if test.withDisk {
				state.join(testPeers("a")[0], start.Add(test.lastJoin))
			}
			state.backoffUntil = start.Add(test.backoff)
			_, due := state.beginRound(test.rank, start.Add(test.want-1))
			require.False(t, due)
			round, due := state.beginRound(test.rank, start.Add(test.want))
			require.True(t, due)
			require.EqualValues(t, 1, round)
		})
	}
}

func TestBootstrapContended(t *testing.T) {
	t.Parallel()
	state := newBootstrap(testSeeds, start)
	state.round = 3
	state.contended(2, 0, start)
	require.EqualValues(t, 3, state.round)
	require.Equal(t, start.Add(bootstrapRankDelay/4), state.backoffUntil)
	state.contended(5, 1, start)
	require.EqualValues(t, 5, state.round, "the next proposal uses a round above the highest one seen")
	require.Equal(t, start.Add(3*bootstrapRankDelay/4), state.backoffUntil, "later seeds wait longer")
}

func TestBootstrapAcceptor(t *testing.T) {
	t.Parallel()
	state := newBootstrap(testSeeds, start)
	sameSeeds, otherSeeds := bootstrapBase(testSeeds), bootstrapBase([]string{"a:1", "b:1", "x:1"})
	require.True(t, state.isAcceptor(&sameSeeds))
	require.False(t, state.isAcceptor(&otherSeeds))
	var restarted bootstrapState
	require.False(t, restarted.isAcceptor(&sameSeeds))
}
