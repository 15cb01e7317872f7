package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// shortTimeout bounds calls that must not be acknowledged.
const shortTimeout = 400 * time.Millisecond

// An agent and its relay are partitioned from the others together, before either has detected it. A drain or a
// deregistration that only the two have received is not acknowledged until the partition heals.
func TestPartitionedDrainIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 2)
	agent := cluster.edgeAgents[0]
	relay := cluster.relayOf(agent)
	require.True(t, agent.heartbeat(server("s", 1)))
	require.True(t, relay.heartbeat(server("r", 1)))
	cluster.eventually("lists the server", listsServer("s"))
	cluster.eventually("lists the server", listsServer("r"))
	for _, other := range cluster.all() {
		if other != agent && other != relay {
			other.setPartitioned(true, agent, relay)
		}
	}
	require.True(t, relay.HasQuorum(), "the relay has not detected the partition")
	assert.False(t, agent.node.Heartbeat(timeoutContext(t, shortTimeout), drainingServer("s", 2)))
	assert.False(t, agent.node.Deregister(timeoutContext(t, shortTimeout), "s"))
	assert.False(t, relay.node.Heartbeat(timeoutContext(t, shortTimeout), drainingServer("r", 2)))
	assert.False(t, listsServer("s")(relay), "the drain takes effect on the relay itself")
	for _, other := range cluster.all() {
		if other != agent && other != relay {
			assert.True(t, listsServer("s")(other), other.Name)
			other.setPartitioned(false, agent, relay)
		}
	}
	require.True(t, agent.heartbeat(drainingServer("s", 3)))
	require.True(t, relay.heartbeat(drainingServer("r", 3)))
	cluster.eventually("no longer lists the server", not(listsServer("s")))
	cluster.eventually("no longer lists the server", not(listsServer("r")))
}

// Two of five relays are partitioned from the others together. A drain that only they have received is not
// acknowledged.
func TestMinorityAcknowledgesNoDrain(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 5, 1)
	minority, rest := cluster.coreMembers[:2], cluster.coreMembers[2:]
	require.True(t, minority[0].heartbeat(server("s", 1)))
	cluster.eventually("lists the server", listsServer("s"))
	for _, relay := range minority {
		relay.setPartitioned(true, rest...)
		relay.setPartitioned(true, cluster.edgeAgents...)
	}
	assert.False(t, minority[0].node.Heartbeat(timeoutContext(t, shortTimeout), drainingServer("s", 2)))
	assert.False(t, listsServer("s")(minority[1]), "the other relay of the minority has received the drain")
	assert.False(t, minority[1].node.Deregister(timeoutContext(t, shortTimeout), "s"))
	require.True(t, rest[0].heartbeat(drainingServer("s", 3)), "the majority acknowledges")
	for _, relay := range minority {
		relay.setPartitioned(false, rest...)
		relay.setPartitioned(false, cluster.edgeAgents...)
	}
	require.True(t, minority[0].heartbeat(drainingServer("s", 4)))
	cluster.eventually("no longer lists the server", not(listsServer("s")))
}

// When a drain is acknowledged, a majority of the core has received it.
func TestAcknowledgedDrainIsOnAMajority(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 5, 2)
	for i, agent := range cluster.all() {
		id := fmt.Sprint("s", i)
		require.True(t, agent.heartbeat(server(id, 1)))
		cluster.eventually("lists the server", listsServer(id))
		require.True(t, agent.heartbeat(drainingServer(id, 2)))
		receivedCount := 0
		for _, relay := range cluster.coreMembers {
			if !listsServer(id)(relay) {
				receivedCount++
			}
		}
		assert.GreaterOrEqual(t, receivedCount, 3, agent.Name)
	}
}

// The quorum version is the newest version that a majority has acknowledged. It is zero if no core member is known.
func TestQuorumVersion(t *testing.T) {
	for _, testCase := range []struct {
		members      int      // number of core members, including this process
		acknowledged []uint64 // versions acknowledged by the other members
		want         uint64
	}{
		{0, nil, 0},
		{1, nil, 9},
		{2, nil, 0},
		{2, []uint64{7}, 7},
		{3, []uint64{0, 0}, 0},
		{3, []uint64{7, 0}, 7},
		{3, []uint64{7, 9}, 9},
		{4, []uint64{9, 0, 0}, 0},
		{4, []uint64{9, 4, 0}, 4},
		{5, []uint64{9, 0, 0, 0}, 0},
		{5, []uint64{9, 8, 7, 0}, 8},
		{3, []uint64{1 << 60, 0}, 9}, // of a version that this process does not have, only its own version counts
	} {
		t.Run(fmt.Sprint(testCase), func(t *testing.T) {
			var peers []Peer
			for i := range testCase.members {
				peers = append(peers, Peer{Addr: fmt.Sprint("addr of ", i)})
			}
			relay := newManualNode("0", true, peers...)
			relay.mu.Lock()
			relay.applyDeltasLocked([]deltasync.Delta{initialDelta("x/1", "1", presentData, "2", presentData, "3", presentData, "4", presentData, "5", presentData, "6", presentData, "7", presentData, "8", presentData, "9", presentData)})
			relay.mu.Unlock()
			holder := relay.connect("addr of x", "x/1", false)
			formerMember := relay.connect("addr of y", "y/1", true) // a former core member
			relay.deliver(formerMember, &message{IsCore: true, Acknowledged: deltasync.Vector{"x/1": 9}})
			for i, version := range testCase.acknowledged {
				peer := relay.connect(fmt.Sprint("addr of ", i+1), fmt.Sprint("peer/", i), true)
				peer.sentVersions["x/1"] = 9 // that it was sent does not prove that it has arrived
				relay.deliver(peer, &message{IsCore: true, Acknowledged: deltasync.Vector{"x/1": version}})
			}
			relay.deliver(holder, &message{Acknowledged: deltasync.Vector{"x/1": 9}})
			assert.Equal(t, testCase.want, relay.quorumVersionLocked("x/1", peers))
		})
	}
}

// An agent accepts quorum versions only from core members.
func TestOnlyCoreMembersReportQuorumVersions(t *testing.T) {
	agent := newManualNode("a", false)
	peer := agent.connect("addr of b", "b/1", false)
	require.False(t, agent.Heartbeat(t.Context(), server("s", 1)), "without a relay no other agent learns of the server")
	agent.deliver(peer, &message{HasQuorum: true, ReceivedVersion: agent.items.OwnVersion() + 1, QuorumVersion: agent.items.OwnVersion() + 1})
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 2)), "the peer is not a relay")
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, ReceivedVersion: agent.items.OwnVersion()})
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 3)), "one relay that has it is not enough")
	agent.deliver(peer, &message{IsCore: true, QuorumVersion: agent.items.OwnVersion()})
	assert.True(t, agent.Heartbeat(t.Context(), drainingServer("s", 4)))
}

// A core member acknowledges the deltas of another one once, even if it already had them. It does not acknowledge
// deltas that it ignored.
func TestAcknowledgements(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	other := relay.connect("addr of o", "o/1", true)
	takeAcknowledgements := func() deltasync.Vector {
		relay.mu.Lock()
		defer relay.mu.Unlock()
		return relay.takeAcknowledgementsLocked(other)
	}
	relay.deliver(other, &message{IsCore: true, Deltas: []deltasync.Delta{initialDelta("x/1", "k", presentData, "l", presentData)}})
	assert.Equal(t, deltasync.Vector{"x/1": 2}, takeAcknowledgements())
	assert.Empty(t, takeAcknowledgements())
	relay.deliver(other, &message{IsCore: true, Deltas: []deltasync.Delta{initialDelta("x/1", "k", presentData)}})
	assert.Equal(t, deltasync.Vector{"x/1": 2}, takeAcknowledgements(), "deltas that it already had are acknowledged, too")
	relay.deliver(other, &message{IsCore: true, Deltas: []deltasync.Delta{{Source: "y/1", From: 5, To: 6, Items: []deltasync.Item{{Key: "k", Version: 6, Data: presentData}}}}})
	assert.Empty(t, takeAcknowledgements(), "a delta after a gap is ignored")
	assert.NotContains(t, other.ackedVersions, "y/1")
	agent := relay.connect("addr of a", "a/1", false)
	relay.deliver(agent, &message{Deltas: []deltasync.Delta{initialDelta("a/1", "k", presentData)}})
	assert.Empty(t, agent.pendingAcks, "agents outside the core need no acknowledgement")
}

// Only core members count towards the quorum: a relay waits for other relays and not for its agents.
func TestAgentReplicaDoesNotCountForQuorum(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	agent, other := relay.connect("addr of a", "a/1", false), relay.connect("addr of o", "o/1", true)
	require.True(t, relay.Heartbeat(t.Context(), server("s", 1)))
	relay.deliver(agent, &message{ReceivedVersion: relay.items.OwnVersion() + 1})
	require.False(t, relay.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 2)))
	relay.deliver(agent, &message{ReceivedVersion: relay.items.OwnVersion()})
	require.False(t, relay.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 3)))
	relay.deliver(other, &message{IsCore: true, ReceivedVersion: relay.items.OwnVersion(), Acknowledged: deltasync.Vector{relay.source(): relay.items.OwnVersion() - 1}})
	require.False(t, relay.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 4)))
	relay.deliver(other, &message{IsCore: true, Acknowledged: deltasync.Vector{relay.source(): relay.items.OwnVersion()}})
	assert.True(t, relay.Heartbeat(t.Context(), drainingServer("s", 5)))
}

// The end of a server is not acknowledged just because another agent has published it: that does not prove that a
// majority of the core has received it.
func TestRepeatedEndAwaitsAQuorum(t *testing.T) {
	agent := newManualNode("a", false)
	peer := agent.connect("addr of b", "b/1", true)
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	endedServer := server("s", 3)
	endedServer.State = registry.Deregistered
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("other/1", serverPrefix+"s", endedServer)}})
	assert.False(t, agent.Deregister(timeoutContext(t, 50*time.Millisecond), "s"))
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 2)))
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	assert.True(t, agent.Deregister(t.Context(), "s"))
	assert.True(t, agent.Heartbeat(t.Context(), drainingServer("s", 2)))
}

// The hello of an agent costs a relay the same however many sessions it has: it counts for no majority.
func TestHelloOfAnAgentComputesNoMajority(t *testing.T) {
	const sources, maxAllocations = 300, 100
	var members []Peer
	for i := range 6 {
		members = append(members, Peer{Addr: fmt.Sprint("addr of h", i)})
	}
	relay, vector := newManualNode("h0", true, members...), deltasync.Vector{}
	for i := range sources {
		source := fmt.Sprintf("agent-%d/1", i)
		relay.applyDeltas(initialDelta(source, memberKey, benchMember(i)))
		vector[source] = 1
	}
	for i, member := range members[1:] {
		relay.connect(member.Addr, fmt.Sprintf("h%d/1", i+1), true)
	}
	allocations := testing.AllocsPerRun(5, func() {
		peer := relay.connect("addr of agent-1", "agent-1/1", false)
		relay.mu.Lock()
		defer relay.mu.Unlock()
		for source, version := range vector {
			relay.recordAcknowledgedLocked(peer, source, version, relay.core.Members())
		}
	})
	assert.Less(t, allocations, float64(maxAllocations), "a majority takes an allocation for each of %d sources", sources)
}

// applyDeltas applies deltas as if a peer had sent them.
func (n *manualNode) applyDeltas(deltas ...deltasync.Delta) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDeltasLocked(deltas)
}
