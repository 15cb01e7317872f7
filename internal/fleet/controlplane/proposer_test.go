package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

func TestProposerWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	step := view.Step{Reason: "to the chain", Delay: time.Second}
	for _, test := range []struct {
		name string
		rank int
		wait time.Duration
	}{
		{"the first member", 0, time.Second},
		{"the second member", 1, time.Second + proposerRankDelay},
		{"the third member", 2, time.Second + 2*proposerRankDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			state := newProposer("a/1")
			require.False(t, state.due(step, test.rank, start))
			require.False(t, state.due(step, test.rank, start.Add(test.wait-1)))
			require.True(t, state.due(step, test.rank, start.Add(test.wait)))
		})
	}
}

func TestProposerCountsFromTheLastChangeOfTheStep(t *testing.T) {
	t.Parallel()
	first, second := view.Step{Reason: "first", Delay: time.Second}, view.Step{Reason: "second", Delay: time.Second}
	changed := start.Add(time.Minute)
	state := newProposer("a/1")
	require.False(t, state.due(first, 0, start))
	require.False(t, state.due(second, 0, changed), "another step")
	require.True(t, state.due(second, 0, changed.Add(time.Second)))
	state.clearPending()
	require.False(t, state.due(second, 0, changed.Add(time.Hour)), "no step was pending in between")
	state.learned(7)
	require.False(t, state.due(second, 0, changed.Add(2*time.Hour)), "a view was learned in between")
}

func TestProposalNumbersRise(t *testing.T) {
	t.Parallel()
	state := newProposer("a/1")
	first := state.begin(4)
	require.Equal(t, view.ProposalNumber{Round: 1, Proposer: "a/1"}, first)
	state.endUndecided(4, 3, 7, start)
	second := state.begin(4)
	require.Equal(t, view.ProposalNumber{Round: 8, Proposer: "a/1"}, second, "above the highest round seen")
	state.end()
	state.learned(4)
	require.Empty(t, state.rounds)
	require.Equal(t, view.ProposalNumber{Round: 1, Proposer: "a/1"}, state.begin(5), "each view has rounds of its own")
}

func TestProposerIgnoresRoundsOfLearnedViews(t *testing.T) {
	t.Parallel()
	state := newProposer("a/1")
	state.begin(4)
	state.learned(4) // while the proposal is under way
	state.endUndecided(4, 4, 7, start)
	require.Empty(t, state.rounds)
}

func TestProposerReady(t *testing.T) {
	t.Parallel()
	backoffUntil := start.Add(minProposalBackoff)
	state := newProposer("a/1")
	require.True(t, state.ready(start))
	state.begin(4)
	require.False(t, state.ready(start), "one proposal at a time")
	state.endUndecided(4, 3, 1, backoffUntil)
	require.False(t, state.ready(backoffUntil.Add(-1)))
	require.True(t, state.ready(backoffUntil))
	state.begin(4)
	state.end()
	require.True(t, state.ready(backoffUntil))
}

func TestRandomBackoffIsBounded(t *testing.T) {
	t.Parallel()
	for range 1000 {
		backoff := randomBackoff()
		require.GreaterOrEqual(t, backoff, minProposalBackoff)
		require.Less(t, backoff, maxProposalBackoff)
	}
}

func TestProposerRank(t *testing.T) {
	t.Parallel()
	current := testView(3, "a", "b", "c", "d")
	current.Chain = current.Chain[1:3] // b, c; then the voters a, d
	healthy := view.Health{}
	for _, test := range []struct {
		name   string
		id     string
		health map[string]view.Health
		want   int
	}{
		{"the head", "b", map[string]view.Health{"a": healthy, "c": healthy, "d": healthy}, 0},
		{"the tail", "c", map[string]view.Health{"a": healthy, "b": healthy, "d": healthy}, 1},
		{"a voter outside the chain", "a", map[string]view.Health{"b": healthy, "c": healthy, "d": healthy}, 2},
		{"the last voter", "d", map[string]view.Health{"a": healthy, "b": healthy, "c": healthy}, 3},
		{"after a member that timed out", "c", map[string]view.Health{"b": {SinceContact: peerTimeout}}, 0},
		{"after a member with a faulty disk", "c", map[string]view.Health{"b": {DiskUnhealthy: true}}, 0},
		{"after a member that is shutting down", "c", map[string]view.Health{"b": {Leaving: true}}, 0},
		{"after a member that is not known", "c", nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, test.want, proposerRank(&current, test.id, test.health))
		})
	}
}
