package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A change soon after an update is sent coalesceInterval after that update, together with the changes in between.
// A change after a quiet period is sent at once.
func TestChangesInARowAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newManualNode("h", true)
		changed := make(chan struct{})
		close(changed)
		for _, test := range []struct {
			sinceUpdate, want time.Duration
		}{
			{0, coalesceInterval},
			{coalesceInterval - time.Millisecond, time.Millisecond},
			{coalesceInterval, 0},
			{time.Hour, 0},
		} {
			out := &sender{node: relay.Node, session: relay.connect("addr of a", "a/1", false)}
			out.lastUpdate = time.Now().Add(-test.sinceUpdate)
			start := time.Now()
			require.NoError(t, out.wait(t.Context(), changed, nil))
			require.Equal(t, test.want, time.Since(start), "%v after the last update", test.sinceUpdate)
		}
	})
}
