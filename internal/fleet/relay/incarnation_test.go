package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Versions that peers report for an earlier incarnation acknowledge nothing of the new one.
func TestNewIncarnationIsAcknowledgedAnew(t *testing.T) {
	agent := newManualNode("a", false)
	peer := agent.connect("h", "h/1", true)
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	for i := range 20 {
		require.True(t, agent.Heartbeat(t.Context(), server(fmt.Sprint("s", i), 1)))
	}
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	require.True(t, agent.Heartbeat(t.Context(), server("s0", 2)))
	oldSource := agent.source()
	agent.mu.Lock()
	agent.endSourceLocked(oldSource)
	agent.mu.Unlock()
	require.NotEqual(t, oldSource, agent.source())
	// A message on the old session was in flight when the new incarnation started.
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, ReceivedVersion: agent.items.OwnVersion() + 5, QuorumVersion: agent.items.OwnVersion() + 5})
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s0", 3)), "no peer has the new incarnation's version")
	otherPeer := agent.connect("h", "h/1", true)
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, ReceivedVersion: agent.items.OwnVersion() + 5, QuorumVersion: agent.items.OwnVersion() + 5})
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s0", 4)), "no peer can have a version that was not published yet")
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, ReceivedVersion: agent.items.OwnVersion()})
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s0", 5)), "only one relay has it")
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	assert.True(t, agent.Heartbeat(t.Context(), drainingServer("s0", 6)))
}

// A drain that is pending while its agent starts a new incarnation is acknowledged once a majority has the new
// incarnation's version.
func TestDrainWaitsAcrossIncarnations(t *testing.T) {
	agent := newManualNode("a", false)
	for i := range 20 {
		agent.Heartbeat(t.Context(), server("s", uint64(2*i+1)))
		agent.Heartbeat(t.Context(), server(fmt.Sprint("r", i), 1))
		agent.mu.Lock()
		agent.publishItemLocked("gone", presentData) // versions that the new incarnation does not have
		agent.publishItemLocked("gone", nil)
		agent.mu.Unlock()
	}
	done := make(chan bool)
	go func() { done <- agent.Heartbeat(timeoutContext(t, testTimeout), drainingServer("s", 1000)) }()
	require.Eventually(t, func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return agent.servers.List().ByID["s"] == nil
	}, testTimeout, time.Millisecond)
	agent.mu.Lock()
	agent.endSourceLocked(agent.items.OwnSource())
	agent.mu.Unlock()
	peer := agent.connect("h", "h/1", true)
	agent.deliver(peer, &message{IsCore: true, QuorumVersion: agent.items.OwnVersion()})
	assert.True(t, <-done)
}

// A session that an earlier incarnation dialed is rejected, as the relay would grant the new one no lease for it.
func TestSessionOfEarlierIncarnationIsRejected(t *testing.T) {
	agent := newManualNode("a", false)
	earlierHello := &hello{Source: agent.source(), Addr: "a"}
	agent.mu.Lock()
	agent.startIncarnationLocked()
	agent.mu.Unlock()
	require.Error(t, agent.runSession(t.Context(), nil, &hello{Source: "h/1", Addr: "h"}, "h", earlierHello, &message{}, func() {}))
	require.Error(t, agent.runSession(t.Context(), nil, &hello{Source: agent.source(), Addr: "h"}, "h", nil, nil, func() {}), "a session with itself is rejected, too")
	assert.Empty(t, agent.sessions)
}

// A relay that starts a new incarnation keeps granting the same leases, so that no agent's lease expires.
func TestNewIncarnationRetainsGrantedLeases(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	agent := newManualNode("a", false)
	relay.syncFrom(agent)
	peer := relay.connect("addr of a", agent.source(), false)
	relay.runFor(5*time.Second, relay.heartbeatFrom(peer))
	require.True(t, relay.leases.Granted(agent.source()))
	relay.mu.Lock()
	relay.startIncarnationLocked()
	relay.mu.Unlock()
	require.Empty(t, relay.sessions)
	peer = relay.connect("addr of a", agent.source(), false) // the agent reconnects at once
	relay.runFor(10*time.Second, relay.heartbeatFrom(peer))
	assert.Empty(t, relay.publishedEndSources())
	assert.Equal(t, presentData, relay.itemsOf(relay.source())[leasePrefix+agent.source()])
	// The lease of an agent that does not reconnect expires.
	relay.mu.Lock()
	relay.startIncarnationLocked()
	relay.mu.Unlock()
	relay.runFor(leaseDuration+2*tickInterval, nil)
	assert.Equal(t, []string{agent.source()}, relay.publishedEndSources())
	assert.NotContains(t, relay.members, agent.source())
	assert.Nil(t, relay.itemsOf(relay.source())[leasePrefix+agent.source()])
}

// A node whose source has too many tombstones starts a new incarnation by itself.
func TestCompactionStartsNewIncarnation(t *testing.T) {
	agent := newManualNode("a", false)
	oldSource := agent.source()
	agent.mu.Lock()
	for i := range 3000 {
		agent.publishItemLocked(fmt.Sprint("x", i), presentData)
		agent.publishItemLocked(fmt.Sprint("x", i), nil)
	}
	agent.mu.Unlock()
	agent.tick()
	assert.NotEqual(t, oldSource, agent.source())
	assert.Less(t, agent.items.OwnVersion(), uint64(10))
	assert.Contains(t, agent.members, agent.source())
	assert.NotContains(t, agent.members, oldSource)
}

// An agent that was unreachable when its end was announced receives the announcement when it returns, however
// late.
func TestEndIsPublishedAgainToReturningAgent(t *testing.T) {
	relay, other, agent := newManualNode("h", true, Peer{Addr: "addr of h"}), newManualNode("o", true), newManualNode("a", false)
	relay.tick()
	other.tick()
	relay.syncFrom(agent)
	other.syncFrom(agent)
	relay.mu.Lock()
	relay.endSourceLocked(agent.source())
	relay.mu.Unlock()
	relay.runFor(time.Second, nil)
	require.Empty(t, relay.publishedEndSources(), "another relay announced the end and has withdrawn it since")
	peer := relay.connect("addr of a", agent.source(), false)
	relay.runFor(tickInterval, relay.heartbeatFrom(peer))
	assert.Nil(t, relay.itemsOf(relay.source())[leasePrefix+agent.source()], "an ended source gets no lease")

	// The end is announced again when another relay, which has not received it, grants the agent a lease.
	otherPeer := other.connect("addr of a", agent.source(), false)
	other.runFor(tickInterval, other.heartbeatFrom(otherPeer))
	require.True(t, other.leases.Granted(agent.source()))
	relay.syncFrom(other)
	require.Equal(t, []string{agent.source()}, relay.publishedEndSources())
	other.syncFrom(relay)
	assert.NotContains(t, other.members, agent.source())
	oldSource := agent.source()
	agent.syncFrom(relay)
	assert.NotEqual(t, oldSource, agent.source())
	thirdPeer := relay.connect("addr of o", other.source(), true)
	relay.runFor(endRetention+time.Second, relay.heartbeatFrom(thirdPeer))
	assert.Empty(t, relay.publishedEndSources(), "the announcement is withdrawn after endRetention")
	relay.syncFrom(other)
	assert.Empty(t, relay.publishedEndSources(), "older items do not cause another announcement")
}
