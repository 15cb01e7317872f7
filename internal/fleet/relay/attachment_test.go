package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// acknowledgesHeartbeat reports whether a node acknowledges a heartbeat of a ready server.
func (n *manualNode) acknowledgesHeartbeat(id string, seq uint64) bool {
	return n.Heartbeat(context.Background(), server(id, seq))
}

// A server whose heartbeat is acknowledged does not call another agent. Therefore an agent that cannot pass
// the heartbeat on must not acknowledge it, but may use it itself.
func TestHeartbeatIsNotAcknowledgedBeforeTheCoreIsReached(t *testing.T) {
	agent := newManualNode("agent", false)
	assert.False(t, agent.acknowledgesHeartbeat("s", 1), "it has never had a session with the core")
	assert.Contains(t, agent.snapshot.Servers.ByID, "s", "the agent itself lists the server")
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	assert.True(t, agent.acknowledgesHeartbeat("s", 2))
}

// The core ends the source of an agent that it does not reach, and drops the servers that only this agent
// reports. Therefore the agent stops acknowledging heartbeats when its lease may have expired.
func TestHeartbeatIsNotAcknowledgedOnceTheCoreIsLost(t *testing.T) {
	agent := newManualNode("agent", false)
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	assert.True(t, agent.acknowledgesHeartbeat("s", 1))
	agent.removeSession(relay)
	seq := uint64(1)
	agent.runFor(leaseDuration/2, func() {
		seq++
		assert.True(t, agent.acknowledgesHeartbeat("s", seq), "servers need not leave because the relay is lost for a moment")
	})
	agent.runFor(leaseDuration, nil)
	assert.False(t, agent.acknowledgesHeartbeat("s", seq+1))
	agent.runFor(time.Minute, nil)
	assert.Contains(t, agent.snapshot.Servers.ByID, "s", "the server calls another agent now, so its silence proves nothing")
}

// A session that begins and ends between two ticks counts like any other: the core knows the agent from then on.
func TestShortSessionCountsAsReachingTheCore(t *testing.T) {
	agent := newManualNode("agent", false)
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	agent.removeSession(relay)
	assert.True(t, agent.acknowledgesHeartbeat("s", 1))
	agent.advanceClock(leaseDuration + tickInterval)
	assert.False(t, agent.acknowledgesHeartbeat("s", 2))
}

// When an agent is partitioned from the core, its servers move to other agents before the core drops them
// together with the agent.
func TestServersOfAPartitionedAgentMoveToOthers(t *testing.T) {
	cluster := newSyncedCluster(t, 3, 2)
	homeAgent, otherAgent := cluster.edgeAgents[0], cluster.edgeAgents[1]
	others := append(cluster.coreMembers[:3:3], otherAgent)
	require.True(t, homeAgent.heartbeat(server("s", 1)))
	cluster.eventually("lists the server", listsServer("s"))
	homeAgent.setPartitioned(true, cluster.coreMembers...)
	seq := uint64(1)
	cluster.eventually("does not acknowledge heartbeats", func(agent *testAgent) bool {
		seq++
		return !agent.heartbeat(server("s", seq))
	}, homeAgent)
	source := homeAgent.node.items.OwnSource()
	cluster.eventually("has ended the agent but lists its server", func(agent *testAgent) bool {
		seq++
		require.True(t, otherAgent.heartbeat(server("s", seq)))
		assert.True(t, listsServer("s")(agent), agent.Name)
		agent.node.mu.Lock()
		defer agent.node.mu.Unlock()
		return agent.node.items.Ended(source) && !agent.node.servers.ReportedBy(source, "s")
	}, others...)
	assert.True(t, listsServer("s")(homeAgent))
}
