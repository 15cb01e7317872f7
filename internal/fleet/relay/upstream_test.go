package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connectOutbound adds a session that the agent began with a relay.
func (n *manualNode) connectOutbound(peerAddr string) (peer *session, ended *bool) {
	peer = n.connect(peerAddr, peerAddr+"/1", true)
	peer.outbound, peer.startTime = true, n.now()
	ended = new(bool)
	peer.cancel = func() { *ended = true }
	return peer, ended
}

// pollDialTargets has the agent look for relays at its interval until it has one to dial, at most for a
// duration. Before each look it calls talk.
func (n *manualNode) pollDialTargets(d time.Duration, talk func()) (after time.Duration, wanted []string) {
	begin := n.now()
	for turn := 0; n.now()-begin < d; turn++ {
		n.advanceClock(redialInterval)
		if talk != nil {
			talk()
		}
		if wanted = n.dialTargets(turn); len(wanted) > 0 {
			return n.now() - begin, wanted
		}
	}
	return 0, nil
}

// pollFor has the agent look for relays at its interval for a duration.
func (n *manualNode) pollFor(d time.Duration, talk func()) {
	for end := n.now() + d; n.now() < end; {
		n.pollDialTargets(min(redialInterval, end-n.now()), talk)
	}
}

// An agent tries another relay 400 ms after its own last had a quorum, and not before.
func TestAgentLeavesRelayWithoutQuorumInTime(t *testing.T) {
	agent := newManualNode("a", false, Peer{"h0", "near"}, Peer{"h1", "near"}, Peer{"h2", "near"})
	peer, ended := agent.connectOutbound("h0")
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true})
	_, wanted := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true}) })
	require.Empty(t, wanted)
	after, wanted := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, Complete: true}) })
	require.NotEmpty(t, wanted)
	assert.NotContains(t, wanted, "h0")
	assert.GreaterOrEqual(t, after, quorumLossTolerance)
	assert.LessOrEqual(t, after, quorumLossTolerance+redialInterval)
	require.False(t, *ended, "the session is retained until there is a better one")
	otherPeer, _ := agent.connectOutbound("h1")
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, Complete: true})
	agent.dialTargets(0)
	assert.True(t, *ended)
}

// An agent whose relay is in another zone tries those of its own repeatedly, and changes over only once
// one of them is complete.
func TestAgentReturnsToRelayOfItsZone(t *testing.T) {
	agent := newManualNode("a", false, Peer{"far-0", "far"}, Peer{"near-0", "near"}, Peer{"far-1", "far"}, Peer{"near-1", "near"})
	far, farEnded := agent.connectOutbound("far-0")
	sendComplete := func() { agent.deliver(far, &message{IsCore: true, HasQuorum: true, Complete: true}) }
	sendComplete()
	for range 5 { // the relays of its zone are unreachable
		after, wanted := agent.pollDialTargets(time.Minute, sendComplete)
		assert.ElementsMatch(t, []string{"near-0", "near-1"}, wanted)
		assert.GreaterOrEqual(t, after, homeZoneRetryInterval-redialInterval)
		assert.LessOrEqual(t, after, homeZoneRetryInterval+homeZoneRetryJitter+2*redialInterval)
	}
	// One is reachable, and has no quorum.
	withoutQuorum, withoutQuorumEnded := agent.connectOutbound("near-0")
	agent.pollFor(helloTimeout+redialInterval, func() { sendComplete(); agent.deliver(withoutQuorum, &message{IsCore: true}) })
	require.True(t, *withoutQuorumEnded)
	delete(agent.sessions, withoutQuorum)
	// One has a quorum, and does not become complete.
	slow, slowEnded := agent.connectOutbound("near-0")
	sendIncomplete := func() { sendComplete(); agent.deliver(slow, &message{IsCore: true, HasQuorum: true}) }
	agent.pollFor(probationPeriod-2*redialInterval, sendIncomplete)
	require.False(t, *slowEnded)
	agent.pollFor(3*redialInterval, sendIncomplete)
	require.True(t, *slowEnded)
	delete(agent.sessions, slow)
	require.False(t, *farEnded)
	// One is complete.
	near, nearEnded := agent.connectOutbound("near-1")
	agent.deliver(near, &message{IsCore: true, HasQuorum: true, Hello: &hello{}})
	agent.dialTargets(0)
	require.False(t, *farEnded, "the new one is not complete")
	require.False(t, *nearEnded)
	agent.deliver(near, &message{IsCore: true, HasQuorum: true, Complete: true})
	agent.dialTargets(0)
	require.True(t, *farEnded)
	require.False(t, *nearEnded)
	delete(agent.sessions, far)
	_, wanted := agent.pollDialTargets(time.Minute, func() { agent.deliver(near, &message{IsCore: true, HasQuorum: true, Complete: true}) })
	assert.Empty(t, wanted, "it has a relay of its zone")
}

// Agents without a relay in their zone stay with the one that they have.
func TestAgentWithoutRelayInItsZoneStays(t *testing.T) {
	agent := newManualNode("a", false, Peer{"h0", "far"}, Peer{"h1", "farther"})
	peer, ended := agent.connectOutbound("h0")
	_, wanted := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true}) })
	assert.Empty(t, wanted)
	assert.False(t, *ended)
}

// Of 300 agents that lost the relay of their zone at once, a few return at a time.
func TestAgentsReturnSpreadOverTime(t *testing.T) {
	const agents, slot = 300, 500 * time.Millisecond
	returns := map[time.Duration]int{}
	for i := range agents {
		agent := newManualNode(fmt.Sprint("a", i), false, Peer{"far", "far"}, Peer{"near", "near"})
		peer, _ := agent.connectOutbound("far")
		after, wanted := agent.pollDialTargets(time.Minute, func() { agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true}) })
		require.Equal(t, []string{"near"}, wanted)
		returns[after/slot]++
	}
	for at, n := range returns {
		assert.Less(t, n, agents/3, "at %v", at*slot)
	}
}

// An agent returns to the relay of its zone in a running cluster, and misses nothing.
func TestAgentReturnsOnceItsRelayIsBack(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent, own := cluster.edgeAgents[0], cluster.coreMembers[0]
	require.Equal(t, own.Zone, agent.Zone)
	returned := func(agent *testAgent) bool { return cluster.relayOf(agent) == own && len(agent.sessionPeers()) == 1 }
	cluster.eventually("has the relay of its zone", returned, agent)
	own.stop()
	cluster.eventually("has another relay", hasOtherRelay(own), agent)
	cluster.coreMembers[1].node.ApplyConfig(1, documentOf(1))
	cluster.eventually("in force", hasConfig(1))
	own.start()
	own.node.MarkConfigCurrent()
	agent.startHeartbeats("s")
	cluster.eventually("has returned", returned, agent)
	cluster.coreMembers[2].node.ApplyConfig(2, documentOf(2))
	cluster.eventually("in force", hasConfig(2))
	cluster.eventually("listed", listsServer("s"))
	require.True(t, agent.heartbeat(drainingServer("s", 1000)))
	cluster.awaitSynced(4)
}

// Agents try the relays in turn, those of their zone first, and seeds in between.
func TestDialTargets(t *testing.T) {
	peers := []Peer{{"h0", "far"}, {"h1", "near"}, {"h2", "far"}, {"h3", "far"}}
	node := newManualNode("a", false, peers...)
	var addrs []string
	for turn := range 16 {
		addrs = append(addrs, node.dialTargets(turn)...)
	}
	require.Len(t, addrs, 16)
	assert.Equal(t, "h1", addrs[0], "of its zone")
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
	// Without any known relay they try the seeds, and the addresses of redirects.
	node = newManualNode("a", false)
	node.upstream.redirectAddrs = []string{"named", "addr of a"}
	attempts = map[string]int{}
	for turn := range 20 {
		for _, addr := range node.dialTargets(turn) {
			attempts[addr]++
		}
	}
	assert.Len(t, attempts, 4, "%v", attempts)
	assert.Zero(t, attempts["addr of a"], "not itself")
	// With a relay that has a quorum they try none, and close the other sessions.
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
	// Core members dial those with a higher address, and close sessions with former members.
	node = newManualNode("c", true, Peer{Addr: "addr of a"}, Peer{Addr: "addr of c"}, Peer{Addr: "addr of d"}, Peer{Addr: "addr of e"})
	peer := node.connect("addr of d", "d/1", true)
	peer.outbound = true
	otherPeer := node.connect("addr of z", "z/1", true)
	otherPeer.outbound, otherPeer.cancel = true, func() { canceled["z"] = true }
	assert.Equal(t, []string{"addr of e"}, node.dialTargets(0))
	assert.True(t, canceled["z"])
}
