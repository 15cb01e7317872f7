package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Servers restored from disk are listed until their next heartbeats are due. Any call of theirs supersedes
// the restored report.
func TestRestore(t *testing.T) {
	fleet := newTestFleet("a", "b")
	agent := fleet.agents[0]
	for _, s := range []string{"back", "dies", "drained"} {
		instance := ready(s, 7)
		require.True(t, agent.Restore(fleet.now, &instance))
		require.False(t, agent.Restore(fleet.now, &instance), "it is in the table already")
		agent.publish(&instance)
	}
	agent.call(fleet.now, draining("drained", 9))
	fleet.syncAll()
	returned := ready("back", 8)
	fleet.run(2*heartbeatInterval, func() { fleet.syncAll() })
	assert.True(t, fleet.agents[1].lists("dies"), "its report expires only after restoredHeartbeats")
	sendHeartbeat := fleet.heartbeats(agent, &returned)
	fleet.run(2*heartbeatInterval, func() { sendHeartbeat(); fleet.syncAll() })
	for i, agent := range fleet.agents {
		assert.True(t, agent.lists("back"), "%d", i)
		assert.False(t, agent.lists("dies"), "%d", i)
		assert.False(t, agent.lists("drained"), "%d", i)
	}
	instance := ready("back", 7)
	assert.False(t, fleet.agents[1].Restore(fleet.now, &instance))
}

// A restored instance expires after the same time whatever the clock was at its restore.
func TestRestoredInstanceExpires(t *testing.T) {
	for _, start := range []time.Duration{1, time.Second, time.Hour} {
		t.Run(start.String(), func(t *testing.T) {
			fleet := newTestFleet("a")
			fleet.now = start
			instance := ready("s", 7)
			require.True(t, fleet.agents[0].Restore(fleet.now, &instance))
			fleet.run(restoredHeartbeats*heartbeatInterval-tickInterval, nil)
			assert.True(t, fleet.agents[0].lists("s"), "%v", start)
			fleet.run(2*tickInterval, nil)
			assert.False(t, fleet.agents[0].lists("s"), "%v", start)
		})
	}
}

// A new incarnation of an agent keeps its reports, among them final states, and stays the home of its
// servers.
func TestRenameOwnSource(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 1))
	first.call(fleet.now, draining("d", 1))
	fleet.syncAll()
	first.startIncarnation(fleet.now)
	update := first.store.OwnVersion()
	first.call(fleet.now, ready("s", 2))
	assert.Equal(t, update, first.store.OwnVersion(), "it is published already")
	second.endSource(fleet.now, "a")
	fleet.syncAll()
	instance := ready("s", 2)
	fleet.run(10*heartbeatInterval, fleet.heartbeats(first, &instance))
	for _, agent := range fleet.agents {
		assert.True(t, agent.lists("s"))
		assert.False(t, agent.lists("d"))
		assert.Len(t, agent.entries["s"].reports, 1)
	}
	assert.Equal(t, "a.1", first.entries["s"].owner)
	assert.Equal(t, 1, first.LocalCount())
	fleet.run(10*heartbeatInterval, fleet.syncAll)
	assert.False(t, second.lists("s"))
}
