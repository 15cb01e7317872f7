package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connectOutbound adds a session that the agent dialed to a relay. *isClosed is set when the agent closes it.
func (n *manualNode) connectOutbound(peerAddr string) (peer *session, isClosed *bool) {
	peer = n.connect(peerAddr, peerAddr+"/1", true)
	peer.outbound, peer.startTime = true, n.now()
	isClosed = new(bool)
	peer.cancel = func() { *isClosed = true }
	return peer, isClosed
}

// pollDialTargets calls dialTargets at the agent's interval until there are addresses to dial, for at most a
// duration. It returns the addresses and the time that has passed, or zero values if there were none. It calls
// beforeAttempt, unless nil, before each attempt.
func (n *manualNode) pollDialTargets(d time.Duration, beforeAttempt func()) (after time.Duration, targets []string) {
	begin := n.now()
	for turn := 0; n.now()-begin < d; turn++ {
		n.advanceClock(redialInterval)
		if beforeAttempt != nil {
			beforeAttempt()
		}
		if targets = n.dialTargets(turn); len(targets) > 0 {
			return n.now() - begin, targets
		}
	}
	return 0, nil
}

// pollFor calls dialTargets at the agent's interval for a duration.
func (n *manualNode) pollFor(d time.Duration, beforeAttempt func()) {
	for end := n.now() + d; n.now() < end; {
		n.pollDialTargets(min(redialInterval, end-n.now()), beforeAttempt)
	}
}

// An agent dials another relay quorumLossTolerance after its own last reported a quorum, and not earlier.
func TestAgentLeavesRelayWithoutQuorumInTime(t *testing.T) {
	agent := newManualNode("a", false, Peer{"h0", "near"}, Peer{"h1", "near"}, Peer{"h2", "near"})
	peer, isClosed := agent.connectOutbound("h0")
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true})
	_, targets := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true}) })
	require.Empty(t, targets)
	after, targets := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, Complete: true}) })
	require.NotEmpty(t, targets)
	assert.NotContains(t, targets, "h0")
	assert.GreaterOrEqual(t, after, quorumLossTolerance)
	assert.LessOrEqual(t, after, quorumLossTolerance+redialInterval)
	require.False(t, *isClosed, "the session is kept until there is a better one")
	otherPeer, _ := agent.connectOutbound("h1")
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, Complete: true})
	agent.dialTargets(0)
	assert.True(t, *isClosed)
}

// An agent whose relay is in another zone repeatedly tries the relays of its own zone, and switches to one of
// them only once that is complete.
func TestAgentReturnsToRelayOfItsZone(t *testing.T) {
	agent := newManualNode("a", false, Peer{"far-0", "far"}, Peer{"near-0", "near"}, Peer{"far-1", "far"}, Peer{"near-1", "near"})
	farRelay, farIsClosed := agent.connectOutbound("far-0")
	sendComplete := func() { agent.deliver(farRelay, &message{IsCore: true, HasQuorum: true, Complete: true}) }
	sendComplete()
	for range 5 { // the relays of its zone are unreachable
		after, targets := agent.pollDialTargets(time.Minute, sendComplete)
		assert.ElementsMatch(t, []string{"near-0", "near-1"}, targets)
		assert.GreaterOrEqual(t, after, homeZoneRetryInterval-redialInterval)
		assert.LessOrEqual(t, after, homeZoneRetryInterval+homeZoneRetryJitter+2*redialInterval)
	}
	// One relay of its zone is reachable but has no quorum.
	relayWithoutQuorum, withoutQuorumIsClosed := agent.connectOutbound("near-0")
	agent.pollFor(helloTimeout+redialInterval, func() { sendComplete(); agent.deliver(relayWithoutQuorum, &message{IsCore: true}) })
	require.True(t, *withoutQuorumIsClosed)
	delete(agent.sessions, relayWithoutQuorum)
	// One has a quorum but does not become complete.
	slowRelay, slowIsClosed := agent.connectOutbound("near-0")
	sendIncomplete := func() { sendComplete(); agent.deliver(slowRelay, &message{IsCore: true, HasQuorum: true}) }
	agent.pollFor(probationPeriod-2*redialInterval, sendIncomplete)
	require.False(t, *slowIsClosed)
	agent.pollFor(3*redialInterval, sendIncomplete)
	require.True(t, *slowIsClosed)
	delete(agent.sessions, slowRelay)
	require.False(t, *farIsClosed)
	// One becomes complete.
	nearRelay, nearIsClosed := agent.connectOutbound("near-1")
	agent.deliver(nearRelay, &message{IsCore: true, HasQuorum: true, Hello: &hello{}})
	agent.dialTargets(0)
	require.False(t, *farIsClosed, "the new relay is not complete")
	require.False(t, *nearIsClosed)
	agent.deliver(nearRelay, &message{IsCore: true, HasQuorum: true, Complete: true})
	agent.dialTargets(0)
	require.True(t, *farIsClosed)
	require.False(t, *nearIsClosed)
	delete(agent.sessions, farRelay)
	_, targets := agent.pollDialTargets(time.Minute, func() { agent.deliver(nearRelay, &message{IsCore: true, HasQuorum: true, Complete: true}) })
	assert.Empty(t, targets, "it has a relay of its zone")
}

// An agent without a relay in its zone stays with the relay that it has.
func TestAgentWithoutRelayInItsZoneStays(t *testing.T) {
	agent := newManualNode("a", false, Peer{"h0", "far"}, Peer{"h1", "farther"})
	peer, isClosed := agent.connectOutbound("h0")
	_, targets := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true}) })
	assert.Empty(t, targets)
	assert.False(t, *isClosed)
}

// Agents that lost the relay of their zone at the same time do not all return to it at the same time.
func TestAgentsReturnSpreadOverTime(t *testing.T) {
	const agents, slot = 300, 500 * time.Millisecond
	returns := map[time.Duration]int{}
	for i := range agents {
		agent := newManualNode(fmt.Sprint("a", i), false, Peer{"far", "far"}, Peer{"near", "near"})
		peer, _ := agent.connectOutbound("far")
		after, targets := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true}) })
		require.Equal(t, []string{"near"}, targets)
		returns[after/slot]++
	}
	for at, n := range returns {
		assert.Less(t, n, agents/3, "at %v", at*slot)
	}
}

// An agent returns to the relay of its zone when that runs again, and misses no change.
func TestAgentReturnsOnceItsRelayIsBack(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent, homeRelay := cluster.edgeAgents[0], cluster.coreMembers[0]
	require.Equal(t, homeRelay.Zone, agent.Zone)
	hasReturned := func(agent *testAgent) bool {
		return cluster.relayOf(agent) == homeRelay && len(agent.sessionPeers()) == 1
	}
	cluster.eventually("has the relay of its zone", hasReturned, agent)
	homeRelay.stop()
	cluster.eventually("has another relay", hasOtherRelay(homeRelay), agent)
	cluster.coreMembers[1].node.ApplyConfig(1, documentOf(1))
	cluster.eventually("has the configuration", hasConfig(1))
	homeRelay.start()
	homeRelay.node.MarkConfigCurrent()
	agent.startHeartbeats("s")
	cluster.eventually("has returned to the relay of its zone", hasReturned, agent)
	cluster.coreMembers[2].node.ApplyConfig(2, documentOf(2))
	cluster.eventually("has the configuration", hasConfig(2))
	cluster.eventually("lists the server", listsServer("s"))
	require.True(t, agent.heartbeat(drainingServer("s", 1000)))
	cluster.awaitSynced(4)
}

// Agents try the relays in turn, beginning with those of their zone, and seeds in between.
func TestDialTargets(t *testing.T) {
	peers := []Peer{{"h0", "far"}, {"h1", "near"}, {"h2", "far"}, {"h3", "far"}}
	node := newManualNode("a", false, peers...)
	var addrs []string
	for turn := range 16 {
		addrs = append(addrs, node.dialTargets(turn)...)
	}
	require.Len(t, addrs, 16)
	assert.Equal(t, "h1", addrs[0], "the relay of its zone comes first")
	attempts := map[string]int{}
	for _, addr := range addrs {
		attempts[addr]++
	}
	for _, member := range peers {
		assert.Equal(t, 3, attempts[member.Addr], "%v", addrs)
	}
	for i := range 3 {
		assert.Positive(t, attempts[fmt.Sprint("seed-", i)], "%v", addrs)
	}
	// If no relay is known, they try the seeds and the addresses of redirects.
	node = newManualNode("a", false)
	node.upstream.redirectAddrs = []string{"named", "addr of a"}
	attempts = map[string]int{}
	for turn := range 20 {
		for _, addr := range node.dialTargets(turn) {
			attempts[addr]++
		}
	}
	assert.Len(t, attempts, 4, "%v", attempts)
	assert.Zero(t, attempts["addr of a"], "an agent does not dial itself")
	// An agent with a relay that has a quorum dials none, and closes its other sessions.
	node = newManualNode("a", false, peers...)
	canceled := map[string]bool{}
	for _, member := range []string{"h0", "h3", "h2"} {
		peer := node.connect(member, member+"/1", true)
		peer.outbound, peer.peerHasQuorum = true, member != "h2"
		peer.cancel = func() { canceled[member] = true }
	}
	assert.Empty(t, node.dialTargets(0))
	assert.Len(t, canceled, 2)
	assert.True(t, canceled["h2"])
	// Core members dial the members with higher addresses, and close sessions with former members.
	node = newManualNode("c", true, Peer{Addr: "addr of a"}, Peer{Addr: "addr of c"}, Peer{Addr: "addr of d"}, Peer{Addr: "addr of e"})
	peer := node.connect("addr of d", "d/1", true)
	peer.outbound = true
	otherPeer := node.connect("addr of z", "z/1", true)
	otherPeer.outbound, otherPeer.cancel = true, func() { canceled["z"] = true }
	assert.Equal(t, []string{"addr of e"}, node.dialTargets(0))
	assert.True(t, canceled["z"])
}
