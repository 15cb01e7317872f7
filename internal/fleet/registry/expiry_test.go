package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// A home agent expires a server by its own clock, after 3.5 heartbeat intervals without a heartbeat.
func TestExpiryByTheClockOfTheHomeAgent(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	instance := ready("s", 0)
	fleet.run(10*heartbeatInterval, fleet.heartbeats(first, &instance))
	second.syncFrom(fleet.now, first)
	require.True(t, first.lists("s"))
	// Heartbeats that change nothing are not replicated.
	fleet.run(time.Minute, fleet.heartbeats(first, &instance))
	require.True(t, second.lists("s"), "a partition between agents does not remove servers from lists")
	fleet.run(3*heartbeatInterval, nil)
	require.True(t, first.lists("s"))
	fleet.run(heartbeatInterval+tickInterval, nil)
	require.False(t, first.lists("s"))
	require.True(t, second.lists("s"))
	second.syncFrom(fleet.now, first)
	require.False(t, second.lists("s"))
	// A new heartbeat at any agent makes it ready again; an older one does not.
	second.call(fleet.now, ready("s", instance.Seq-1))
	require.False(t, second.lists("s"))
	second.call(fleet.now, ready("s", instance.Seq+1))
	require.True(t, second.lists("s"))
	first.syncFrom(fleet.now, second)
	require.True(t, first.lists("s"))
}

// An agent receives no heartbeats while its process is frozen, and does not expire servers for that.
func TestFrozenAgentExpiresNoServer(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
	fleet.now += time.Minute
	agent.tick(fleet.now)
	require.True(t, agent.lists("s"))
	fleet.run(3*heartbeatInterval, nil)
	require.True(t, agent.lists("s"))
	fleet.run(heartbeatInterval, nil)
	require.False(t, agent.lists("s"))
}

// The servers of an agent that has ended are retained for four heartbeat intervals, in which they call
// another agent.
func TestOrphansAreRetainedForFourHeartbeats(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	for _, s := range []string{"stays", "dies", "drains"} {
		first.call(fleet.now, ready(s, 1))
	}
	first.call(fleet.now, draining("drains", 2))
	second.syncFrom(fleet.now, first)
	fleet.agents = fleet.agents[1:]
	second.endSource(fleet.now, "a")
	fleet.run(4*heartbeatInterval-tickInterval, nil)
	require.True(t, second.lists("stays"))
	require.True(t, second.lists("dies"))
	instance := ready("stays", 5)
	fleet.run(4*tickInterval, fleet.heartbeats(second, &instance))
	assert.True(t, second.lists("stays"))
	assert.False(t, second.lists("dies"))
	state, ok := second.state("drains")
	assert.True(t, ok && state == Draining, "a final state outlives its source")
	assert.Empty(t, second.store.DeltasSince(deltasync.Vector{"b": 1}), "only the server that called is published")
}

// The time for which an agent was frozen does not count towards the expiry of the servers of an ended
// agent, as their next calls could not be received in it.
func TestOrphansOutliveAFreeze(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 1))
	second.syncFrom(fleet.now, first)
	fleet.agents = fleet.agents[1:]
	second.endSource(fleet.now, "a")
	fleet.run(heartbeatInterval, nil)
	fleet.now += time.Minute
	second.tick(fleet.now)
	fleet.run(2*heartbeatInterval, nil)
	assert.True(t, second.lists("s"))
	fleet.run(2*heartbeatInterval, nil)
	assert.False(t, second.lists("s"))
}

// If two agents that report the same server end, the server is dropped when the later of their reports
// expires.
func TestOrphansOfTwoAgents(t *testing.T) {
	fleet := newTestFleet("a", "b", "c")
	first, second, third := fleet.agents[0], fleet.agents[1], fleet.agents[2]
	first.call(fleet.now, ready("s", 1))
	second.call(fleet.now, ready("s", 2))
	fleet.syncAll()
	fleet.agents = fleet.agents[2:]
	third.endSource(fleet.now, "b")
	fleet.run(2*heartbeatInterval, nil)
	third.endSource(fleet.now, "a")
	fleet.run(3*heartbeatInterval, nil)
	assert.True(t, third.lists("s"))
	fleet.run(2*heartbeatInterval, nil)
	assert.False(t, third.lists("s"))
	fleet.run(tickInterval, nil)
	assert.Empty(t, third.entries)
}

// A server that moved to another agent and then crashed together with it expires, although its former
// home also reported it.
func TestMovedServerExpiresWithItsNewHome(t *testing.T) {
	fleet := newTestFleet("a", "b", "c")
	first, second, third := fleet.agents[0], fleet.agents[1], fleet.agents[2]
	first.call(fleet.now, ready("s", 1))
	fleet.syncAll()
	second.call(fleet.now, ready("s", 2))
	fleet.syncAll()
	fleet.run(tickInterval, nil)
	assert.Zero(t, first.LocalCount())
	assert.Equal(t, 1, second.LocalCount())
	fleet.agents = []*testAgent{first, third}
	first.endSource(fleet.now, "b")
	third.endSource(fleet.now, "b")
	fleet.run(2*heartbeatInterval, fleet.syncAll)
	assert.True(t, third.lists("s"), "it may still call another agent")
	fleet.run(20*heartbeatInterval, fleet.syncAll)
	assert.False(t, first.lists("s"))
	assert.False(t, third.lists("s"))
	assert.Empty(t, first.entries)
	assert.Empty(t, third.entries)
}

// A late call makes another agent the owner. The home, which has received newer calls, still reports that
// the server has expired.
func TestHomeAgentReportsExpiryAfterALateCall(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	instance := ready("s", 0)
	fleet.run(20*heartbeatInterval, fleet.heartbeats(first, &instance))
	fleet.syncAll()
	second.call(fleet.now, ready("s", 3)) // older than the latest call, but only the first one was replicated
	fleet.syncAll()
	fleet.agents = fleet.agents[:1] // the other agent stops ticking
	fleet.run(5*heartbeatInterval, nil)
	assert.False(t, first.lists("s"))
	second.syncFrom(fleet.now, first)
	assert.False(t, second.lists("s"))
}

// A server that moves between agents stays listed at all of them.
func TestMovingServersStayListed(t *testing.T) {
	fleet := newTestFleet("a", "b", "c")
	instance := ready("s", 0)
	fleet.agents[0].call(fleet.now, instance)
	fleet.syncAll()
	for i := range 30 {
		agent := fleet.agents[i%3]
		fleet.run(heartbeatInterval, func() {
			fleet.syncAll()
			for _, agent := range fleet.agents {
				require.True(t, agent.lists("s"))
			}
		})
		instance.Seq++
		agent.call(fleet.now, instance)
	}
	fleet.syncAll()
	fleet.run(tickInterval, nil)
	homes := 0
	for _, agent := range fleet.agents {
		homes += agent.LocalCount()
	}
	assert.Equal(t, 1, homes)
}

// A drain or an end is remembered for tombstoneRetention and then forgotten.
func TestTombstones(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 5))
	first.call(fleet.now, draining("s", 6))
	second.call(fleet.now, Instance{ID: "unknown", State: Deregistered})
	fleet.syncAll()
	update := first.store.OwnVersion()
	first.call(fleet.now, ready("s", 7))
	second.call(fleet.now, ready("s", 7))
	assert.Equal(t, update, first.store.OwnVersion(), "late calls are not published either")
	assert.Equal(t, uint64(1), second.store.OwnVersion())
	fleet.run(tombstoneRetention-heartbeatInterval, func() {
		first.call(fleet.now, ready("s", 7))
		second.call(fleet.now, ready("s", 8))
		second.call(fleet.now, draining("s", 2))
		first.call(fleet.now, ready("unknown", 9))
		fleet.syncAll()
		for _, agent := range fleet.agents {
			require.Empty(t, agent.List().ByID)
		}
	})
	fleet.run(tombstoneRetention, fleet.syncAll)
	for _, agent := range fleet.agents {
		assert.Empty(t, agent.entries)
		assert.Zero(t, agent.LocalCount())
	}
	for _, d := range first.store.DeltasSince(nil) {
		for _, it := range d.Items {
			assert.Nil(t, it.Data, it.Key)
		}
	}
}

// A drain is remembered for tombstoneRetention after its report, even if the server expired long before.
func TestTombstoneOfAnExpiredServer(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	agent.call(fleet.now, ready("s", 1))
	fleet.run(tombstoneRetention, nil)
	state, ok := agent.state("s")
	require.True(t, ok && state == Expired)
	agent.call(fleet.now, draining("s", 9))
	fleet.run(tombstoneRetention-heartbeatInterval, nil)
	agent.call(fleet.now, ready("s", 8))
	assert.False(t, agent.lists("s"))
}

// A server that is ready again after it expired can expire once more.
func TestRevivedServerExpiresAgain(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	for range 30 { // longer than tombstoneRetention
		fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
		require.True(t, agent.lists("s"))
		fleet.run(5*heartbeatInterval, nil)
		require.False(t, agent.lists("s"))
		_, ok := agent.state("s")
		require.True(t, ok)
	}
}
