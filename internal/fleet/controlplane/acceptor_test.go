package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

func TestAcceptorUndecided(t *testing.T) {
	t.Parallel()
	accepted := testView(4, "a")
	for _, test := range []struct {
		name    string
		vote    view.AcceptorState
		learned uint64
		want    uint64
	}{
		{"no vote", view.AcceptorState{}, 3, 0},
		{"a promise", view.AcceptorState{Instance: 4}, 3, 0},
		{"an acceptance", view.AcceptorState{Instance: 4, Accepted: &accepted}, 3, 4},
		{"an acceptance whose view is learned", view.AcceptorState{Instance: 4, Accepted: &accepted}, 4, 0},
		{"an acceptance of an older instance", view.AcceptorState{Instance: 4, Accepted: &accepted}, 6, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			state := acceptor{state: test.vote}
			require.Equal(t, test.want, state.undecided(test.learned))
		})
	}
}

func TestAcceptorAbandoned(t *testing.T) {
	t.Parallel()
	accepted := testView(4, "a")
	var state acceptor
	state.record(view.AcceptorState{Instance: 4}, start)
	require.False(t, state.abandoned(3, start.Add(time.Hour)), "a promise is not an acceptance")

	state.record(view.AcceptorState{Instance: 4, Accepted: &accepted}, start)
	require.False(t, state.abandoned(3, start.Add(stabilizationDelay)))
	require.True(t, state.abandoned(3, start.Add(stabilizationDelay+1)))
	require.False(t, state.abandoned(4, start.Add(time.Hour)), "the view is learned")

	later := start.Add(time.Minute)
	state.record(view.AcceptorState{Instance: 4, Accepted: &accepted}, later)
	require.True(t, state.abandoned(3, later), "the first acceptance counts")
	state.record(view.AcceptorState{Instance: 5, Accepted: &accepted}, later)
	require.False(t, state.abandoned(4, later), "another instance starts a new period")
}

func TestAcceptanceOfAnEarlierRunIsAbandoned(t *testing.T) {
	t.Parallel()
	accepted := testView(4, "a")
	state := acceptor{state: view.AcceptorState{Instance: 4, Accepted: &accepted}}
	require.True(t, state.abandoned(3, start))
}
