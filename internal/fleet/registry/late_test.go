package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A server that deregisters and continues to serve and to send heartbeats: it is off the list at once
// and remains off, at every agent, whatever calls of it come later and with what number.
func TestDeregisteredServerThatKeepsServing(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 5))
	fleet.syncAll()
	require.True(t, second.lists("s"))
	second.call(fleet.now, Instance{ID: "s", State: Deregistered}) // at another agent than its home
	require.False(t, second.lists("s"))
	fleet.syncAll()
	require.False(t, first.lists("s"))
	seq := uint64(6)
	fleet.run(30*time.Second, func() {
		for _, instance := range []Instance{ready("s", seq), ready("s", 3), draining("s", seq+1), draining("s", 2)} {
			first.call(fleet.now, instance)
			second.call(fleet.now, instance)
		}
		seq += 2
		fleet.syncAll()
		for _, agent := range fleet.agents {
			state, known := agent.state("s")
			require.True(t, known)
			require.Equal(t, Deregistered, state)
			require.False(t, agent.lists("s"))
		}
	})
}

// Heartbeats that come seconds late, with a lower number than the drain or with a higher one that was
// assigned before, undo no drain, neither at the agent that received it nor at others.
func TestLateHeartbeatsUndoNoDrain(t *testing.T) {
	for _, seq := range []uint64{1, 9, 10, 11, 1000} {
		t.Run(fmt.Sprint(seq), func(t *testing.T) {
			fleet := newTestFleet("a", "b", "c")
			fleet.agents[0].call(fleet.now, ready("s", 9))
			fleet.syncAll()
			fleet.agents[1].call(fleet.now, draining("s", 10))
			fleet.syncAll()
			fleet.run(10*time.Second, func() {
				for _, agent := range fleet.agents {
					agent.call(fleet.now, ready("s", seq))
				}
				fleet.syncAll()
				for i, agent := range fleet.agents {
					state, known := agent.state("s")
					require.True(t, known, "agent %d", i)
					require.Equal(t, Draining, state, "agent %d", i)
				}
			})
			fleet.agents[2].call(fleet.now, Instance{ID: "s", State: Deregistered})
			fleet.syncAll()
			fleet.agents[0].call(fleet.now, draining("s", seq))
			fleet.syncAll()
			for i, agent := range fleet.agents {
				state, _ := agent.state("s")
				assert.Equal(t, Deregistered, state, "agent %d", i)
			}
		})
	}
}

// A server that crashed comes back at its address under a new ID: the new one is listed with its first
// heartbeat, and the old one is off the list once it has missed its heartbeats.
func TestCrashedServerIsListedUnderItsNewID(t *testing.T) {
	old, next := ready("s/1", 0), ready("s/2", 0)
	fleet := newTestFleet("home of the old", "home of the new")
	first, second := fleet.agents[0], fleet.agents[1]
	fleet.run(10*heartbeatInterval, fleet.heartbeats(first, &old))
	fleet.syncAll()
	sendHeartbeats := fleet.heartbeats(second, &next)
	sendHeartbeats()
	require.True(t, second.lists("s/2"), "at once")
	fleet.syncAll()
	require.True(t, first.lists("s/2"))
	fleet.run(3*heartbeatInterval+heartbeatInterval/2+tickInterval, sendHeartbeats)
	fleet.syncAll()
	for i, agent := range fleet.agents {
		assert.True(t, agent.lists("s/2"), "agent %d", i)
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// Its last heartbeat again, or an earlier one, seconds late, revives it nowhere.
	first.call(fleet.now, ready("s/1", old.Seq))
	second.call(fleet.now, ready("s/1", old.Seq-1))
	fleet.syncAll()
	for i, agent := range fleet.agents {
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// One that expired and sends heartbeats again is listed again.
	second.call(fleet.now, ready("s/1", old.Seq+1))
	assert.True(t, second.lists("s/1"))
}

// A server that does not count its calls is listed again, too, when it sends heartbeats again.
func TestUnnumberedHeartbeatRevivesExpiredServer(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	agent.call(fleet.now, ready("s", 0))
	fleet.run(5*heartbeatInterval, nil)
	require.False(t, agent.lists("s"))
	agent.call(fleet.now, ready("s", 0))
	assert.True(t, agent.lists("s"))
}
