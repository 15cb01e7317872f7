package controlplane

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

func TestRegisterAdvance(t *testing.T) {
	t.Parallel()
	var state register
	require.True(t, state.advance(&chain.Value{Seq: 2}, 20))
	require.False(t, state.advance(&chain.Value{Seq: 2}, 21), "the same sequence number")
	require.False(t, state.advance(&chain.Value{Seq: 1}, 10), "an older value")
	require.EqualValues(t, 2, state.committed.Seq)
	require.EqualValues(t, 20, state.checksum)
	require.True(t, state.advance(&chain.Value{Seq: 5}, 50), "sequence numbers may be skipped")
	require.EqualValues(t, 50, state.checksum)
}

func TestRegisterComparedWithPeer(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		received heartbeat
		fetching bool
		lags     bool
		diverges bool
	}{
		{name: "the same value", received: heartbeat{CommittedSeq: 2, CommittedChecksum: 20}},
		{name: "a newer value", received: heartbeat{CommittedSeq: 3, CommittedChecksum: 30}, lags: true},
		{name: "a newer value that is being fetched", received: heartbeat{CommittedSeq: 3, CommittedChecksum: 30}, fetching: true},
		{name: "an older value", received: heartbeat{CommittedSeq: 1, CommittedChecksum: 10}},
		{name: "another value with the same number", received: heartbeat{CommittedSeq: 2, CommittedChecksum: 21}, diverges: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			state := register{committed: chain.Value{Seq: 2}, checksum: 20, fetching: test.fetching}
			require.Equal(t, test.lags, state.lags(&test.received))
			require.Equal(t, test.diverges, state.diverges(&test.received))
		})
	}
	var none register
	require.False(t, none.diverges(&heartbeat{CommittedChecksum: 1}), "neither has a value")
}
