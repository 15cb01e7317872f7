package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// Calls with invalid instances are rejected, as other agents would ignore them.
func TestInvalidCallsAreRejected(t *testing.T) {
	agent := newManualNode("a", true, Peer{Addr: "addr of a"})
	in := server("s", 1)
	in.Slots = -1
	assert.False(t, agent.Heartbeat(t.Context(), in))
	assert.False(t, agent.Heartbeat(t.Context(), server("", 1)))
	assert.False(t, agent.Deregister(t.Context(), ""))
	assert.False(t, agent.Deregister(t.Context(), strings.Repeat("x", 1<<16)))
	assert.True(t, agent.Deregister(t.Context(), "unknown"))
	assert.True(t, agent.Heartbeat(t.Context(), server("s", 1)))
}

// A relay whose table is full acknowledges no call of an unknown server, and does those of the servers
// that it knows.
func TestFullTableRejectsUnknownServers(t *testing.T) {
	const more = 10_000 // than any table takes
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	require.True(t, relay.Heartbeat(t.Context(), server("known", 1)))
	var items []any
	for i := range more {
		items = append(items, serverPrefix+fmt.Sprint("s", i), server(fmt.Sprint("s", i), 1))
	}
	peer := relay.connect("addr of a", "a/1", false)
	relay.deliver(peer, &message{Deltas: []deltasync.Delta{initialDelta("a/1", items...)}})
	require.Less(t, len(relay.snapshot.Servers.ByID), more)
	require.False(t, relay.Heartbeat(t.Context(), server("late", 1)))
	assert.NotContains(t, relay.snapshot.Servers.ByID, "late")
	assert.False(t, relay.Heartbeat(t.Context(), drainingServer("late", 1)))
	assert.False(t, relay.Deregister(t.Context(), "late"))
	assert.True(t, relay.Heartbeat(t.Context(), server("known", 2)))
	assert.True(t, relay.Heartbeat(t.Context(), drainingServer("known", 3)))
	assert.True(t, relay.Deregister(t.Context(), "known"))
}
