package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A change soon after an update is sent one coalescing interval after that update, together with the changes in between.
// A change after a quiet period is sent at once.
func TestChangesInARowAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newManualNode("h", true)
		changed := make(chan struct{})
		close(changed)
		for _, test := range []struct {
			sinceUpdate, want time.Duration
		}{
			{0, minCoalesceInterval},
			{minCoalesceInterval - time.Millisecond, time.Millisecond},
			{minCoalesceInterval, 0},
			{time.Hour, 0},
		} {
			out := &sender{node: relay.Node, session: relay.connect("addr of a", "a/1", false)}
			out.nextUpdate()
			out.lastUpdate = time.Now().Add(-test.sinceUpdate)
			start := time.Now()
			require.NoError(t, out.wait(t.Context(), changed, nil))
			require.Equal(t, test.want, time.Since(start), "%v after the last update", test.sinceUpdate)
		}
	})
}

// A relay with many agents sends each of them fewer updates, but none later to the other members of the core.
func TestCoalescingIntervalGrowsWithTheSessions(t *testing.T) {
	relay := newManualNode("h", true)
	core := relay.connect("addr of o", "o/1", true)
	intervalTo := func(s *session) time.Duration {
		out := &sender{node: relay.Node, session: s}
		out.nextUpdate()
		return out.coalesceInterval
	}
	for _, test := range []struct {
		agents int
		want   time.Duration
	}{
		{1, minCoalesceInterval},
		{49, 50 * coalesceIntervalPerSession},
		{300, maxCoalesceInterval},
	} {
		agents := relay.connectAgents(test.agents)
		require.Equal(t, test.want, intervalTo(agents[0]), "%d agents", test.agents)
		require.Equal(t, minCoalesceInterval, intervalTo(core), "%d agents", test.agents)
		for _, agent := range agents {
			delete(relay.sessions, agent)
		}
	}
}
