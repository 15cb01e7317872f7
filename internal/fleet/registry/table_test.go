package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The number of instances is bounded for every method that adds instances.
func TestInstancesAreBounded(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	for i := range 2 * maxInstances {
		switch instance := ready(fmt.Sprint("s", i), 1); i % 4 {
		case 0:
			first.call(fleet.now, instance)
		case 1:
			first.Report(fleet.now, "x", &instance)
		case 2:
			first.call(fleet.now, Instance{ID: instance.ID, State: Deregistered})
		case 3:
			first.Restore(fleet.now, &instance)
		}
	}
	assert.Len(t, first.entries, maxInstances)
	assert.LessOrEqual(t, first.LocalCount(), maxInstances)
	second.syncFrom(fleet.now, first)
	fleet.agents = fleet.agents[:1]
	first.SourceEnded(fleet.now, "x")
	fleet.run(10*heartbeatInterval, nil)
	assert.Empty(t, first.List().ByID)
	fleet.run(tombstoneRetention, nil)
	assert.Empty(t, first.entries)
	assert.Empty(t, first.local)
	first.call(fleet.now, ready("late", 1))
	assert.True(t, first.lists("late"), "there is capacity again")
}

// A list is immutable. List returns a new one, with a higher version, only after a change.
func TestListsAreImmutable(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	empty := agent.List()
	agent.call(fleet.now, ready("s2", 1))
	agent.call(fleet.now, ready("s1", 1))
	instance := ready("s0", 1)
	instance.Service = "other"
	agent.call(fleet.now, instance)
	first := agent.List()
	assert.Same(t, first, agent.List())
	assert.Greater(t, first.Version, empty.Version)
	agent.call(fleet.now, ready("s1", 2)) // a heartbeat that changes nothing
	assert.Same(t, first, agent.List())
	agent.call(fleet.now, draining("s2", 2))
	assert.Empty(t, empty.ByID)
	assert.Len(t, first.ByID, 3)
	assert.Equal(t, []string{"s1", "s2"}, []string{first.ByService["llm"][0].ID, first.ByService["llm"][1].ID})
	second := agent.List()
	assert.Greater(t, second.Version, first.Version)
	assert.Len(t, second.ByService["llm"], 1)
	assert.Len(t, second.ByService["other"], 1)
	views := agent.Views(fleet.now + heartbeatInterval)
	require.Len(t, views, 3)
	assert.Equal(t, View{Instance: views[1].Instance, Owner: "a", Local: true, SinceHeartbeat: heartbeatInterval}, views[1])
	assert.Equal(t, "s1", views[1].ID)
}

// Only heartbeats that change a server's report are published.
func TestOnlyChangesArePublished(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	fleet.run(time.Minute, fleet.heartbeats(agent, &instance))
	assert.Equal(t, uint64(1), agent.store.OwnVersion())
	instance.WarmUp = time.Second // not compared, as it decreases with time
	fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
	assert.Equal(t, uint64(1), agent.store.OwnVersion())
	instance.Models = []Model{{"m", 2}}
	fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
	assert.Equal(t, uint64(2), agent.store.OwnVersion())
	assert.Equal(t, instance.Models, agent.List().ByID["s"].Models)
}

// A full table rejects calls of unknown servers and accepts those of the servers in it.
func TestFullTableRejectsUnknownServers(t *testing.T) {
	agent := newTestAgent("a")
	now := time.Second
	known := ready("known", 1)
	_, err := agent.Heartbeat(now, &known)
	require.NoError(t, err)
	for i := range maxInstances - 1 {
		instance := ready(fmt.Sprint("s", i), 1)
		require.True(t, agent.Report(now, "x", &instance))
	}
	late, drains := ready("late", 1), draining("late", 2)
	_, err = agent.Heartbeat(now, &late)
	require.ErrorIs(t, err, ErrFull)
	_, err = agent.Heartbeat(now, &drains)
	require.ErrorIs(t, err, ErrFull, "its drain could not be remembered")
	_, err = agent.Deregister(now, "late")
	require.ErrorIs(t, err, ErrFull)
	require.False(t, agent.Report(now, "x", &late))
	assert.Len(t, agent.entries, maxInstances)
	known = ready("known", 2)
	_, err = agent.Heartbeat(now, &known)
	require.NoError(t, err)
	update, err := agent.Deregister(now, "known")
	require.NoError(t, err)
	assert.Equal(t, Deregistered, update.State)
	_, err = agent.Deregister(now, "s0")
	require.NoError(t, err)
	assert.False(t, agent.lists("s0"))
}
