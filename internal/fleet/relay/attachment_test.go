package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// takesHeartbeat reports whether a node acknowledges a heartbeat of a ready server.
func (n *manualNode) takesHeartbeat(id string, seq uint64) bool {
	return n.Heartbeat(context.Background(), server(id, seq))
}

// An acknowledged heartbeat keeps a server from calling another agent. An agent that nobody learns
// the server from must not acknowledge it, but may use what it was told.
func TestHeartbeatIsNotAcknowledgedBeforeTheCoreIsReached(t *testing.T) {
	agent := newManualNode("agent", false)
	assert.False(t, agent.takesHeartbeat("s", 1), "it has never had a session with the core")
	assert.Contains(t, agent.snapshot.Servers.ByID, "s", "it is listed here all the same")
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	assert.True(t, agent.takesHeartbeat("s", 2))
}

// The core ends the lease of an agent that it does not reach, and with it drops the servers that only
// this agent hears from.
func TestHeartbeatIsNotAcknowledgedOnceTheCoreIsLost(t *testing.T) {
	agent := newManualNode("agent", false)
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	assert.True(t, agent.takesHeartbeat("s", 1))
	agent.removeSession(relay)
	seq := uint64(1)
	agent.runFor(leaseDuration/2, func() {
		seq++
		assert.True(t, agent.takesHeartbeat("s", seq), "a relay that is lost for a moment is no reason to send servers away")
	})
	agent.runFor(leaseDuration, nil)
	assert.False(t, agent.takesHeartbeat("s", seq+1))
	agent.runFor(time.Minute, nil)
	assert.Contains(t, agent.snapshot.Servers.ByID, "s", "that a server was sent away is no sign that it is gone")
}

// A session may begin and end between two ticks. The core knows the agent from then on, as with any session.
func TestShortSessionCountsAsReachingTheCore(t *testing.T) {
	agent := newManualNode("agent", false)
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	agent.removeSession(relay)
	assert.True(t, agent.takesHeartbeat("s", 1))
	agent.advanceClock(leaseDuration + tickInterval)
	assert.False(t, agent.takesHeartbeat("s", 2))
}

// The servers of an agent that is cut off from the core are sent to other agents before the core
// drops them with the agent's lease.
func TestServersOfAPartitionedAgentMoveToOthers(t *testing.T) {
	cluster := newSyncedCluster(t, 3, 2)
	home, other := cluster.edgeAgents[0], cluster.edgeAgents[1]
	others := append(cluster.coreMembers[:3:3], other)
	require.True(t, home.heartbeat(server("s", 1)))
	cluster.eventually("all list the server", listsServer("s"))
	home.setPartitioned(true, cluster.coreMembers...)
	seq := uint64(1)
	cluster.eventually("the server is sent away", func(agent *testAgent) bool {
		seq++
		return !agent.heartbeat(server("s", seq))
	}, home)
	source := home.node.items.OwnSource()
	cluster.eventually("the agent is dropped, its server is not", func(agent *testAgent) bool {
		seq++
		require.True(t, other.heartbeat(server("s", seq)))
		assert.True(t, listsServer("s")(agent), agent.Name)
		agent.node.mu.Lock()
		defer agent.node.mu.Unlock()
		return agent.node.items.Ended(source) && !agent.node.servers.ReportedBy(source, "s")
	}, others...)
	assert.True(t, listsServer("s")(home))
}
