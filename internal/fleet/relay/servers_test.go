package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// Calls with invalid instances are not acknowledged, as other agents would ignore these instances.
func TestInvalidCallsAreRejected(t *testing.T) {
	agent := newManualNode("a", true, Peer{Addr: "addr of a"})
	invalidServer := server("s", 1)
	invalidServer.Slots = -1
	assert.False(t, agent.Heartbeat(t.Context(), invalidServer))
	assert.False(t, agent.Heartbeat(t.Context(), server("", 1)))
	assert.False(t, agent.Deregister(t.Context(), ""))
	assert.False(t, agent.Deregister(t.Context(), strings.Repeat("x", 1<<16)))
	assert.True(t, agent.Deregister(t.Context(), "unknown"))
	assert.True(t, agent.Heartbeat(t.Context(), server("s", 1)))
}

// A relay whose server table is full acknowledges no call of an unknown server, but still those of known servers.
func TestFullTableRejectsUnknownServers(t *testing.T) {
	const count = 10_000 // more servers than a table holds
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	require.True(t, relay.Heartbeat(t.Context(), server("known", 1)))
	var items []any
	for i := range count {
		items = append(items, serverPrefix+fmt.Sprint("s", i), server(fmt.Sprint("s", i), 1))
	}
	peer := relay.connect("addr of a", "a/1", false)
	relay.deliver(peer, &message{Deltas: []deltasync.Delta{initialDelta("a/1", items...)}})
	require.Less(t, len(relay.snapshot.Servers.ByID), count)
	require.False(t, relay.Heartbeat(t.Context(), server("late", 1)))
	assert.NotContains(t, relay.snapshot.Servers.ByID, "late")
	assert.False(t, relay.Heartbeat(t.Context(), drainingServer("late", 1)))
	assert.False(t, relay.Deregister(t.Context(), "late"))
	assert.True(t, relay.Heartbeat(t.Context(), server("known", 2)))
	assert.True(t, relay.Heartbeat(t.Context(), drainingServer("known", 3)))
	assert.True(t, relay.Deregister(t.Context(), "known"))
}
