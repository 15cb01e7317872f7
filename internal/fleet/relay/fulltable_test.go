package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// A relay whose table is full acknowledges no call of an unknown server, and does those of the servers
// that it knows.
func TestFullTableRejectsUnknownServers(t *testing.T) {
	const more = 10_000 // than any table takes
	h := newManualNode("h", true, Peer{Addr: "addr of h"})
	require.True(t, h.Heartbeat(t.Context(), server("known", 1)))
	var items []any
	for i := range more {
		items = append(items, serverPrefix+fmt.Sprint("s", i), server(fmt.Sprint("s", i), 1))
	}
	x := h.connect("addr of a", "a/1", false)
	h.deliver(x, &message{Deltas: []deltasync.Delta{initialDelta("a/1", items...)}})
	require.Less(t, len(h.snapshot.Servers.ByID), more)
	require.False(t, h.Heartbeat(t.Context(), server("late", 1)))
	assert.NotContains(t, h.snapshot.Servers.ByID, "late")
	assert.False(t, h.Heartbeat(t.Context(), drainingServer("late", 1)))
	assert.False(t, h.Deregister(t.Context(), "late"))
	assert.True(t, h.Heartbeat(t.Context(), server("known", 2)))
	assert.True(t, h.Heartbeat(t.Context(), drainingServer("known", 3)))
	assert.True(t, h.Deregister(t.Context(), "known"))
}
