package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// newPartitionedRelay returns a relay that was complete, has then been without a quorum for 20 seconds and has
// just regained it.
func newPartitionedRelay(t *testing.T) *manualNode {
	t.Helper()
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"}, Peer{Addr: "addr of p"})
	other := relay.connect("addr of o", "o/1", true)
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Complete: true})
	relay.ApplyConfig(5, documentOf(5))
	relay.tick()
	require.True(t, relay.readiness.complete())
	relay.core.hasQuorum.Store(false)
	delete(relay.sessions, other)
	relay.runFor(20*time.Second, nil)
	require.False(t, relay.readiness.complete(), "other relays may have newer state")
	require.True(t, relay.snapshot.Synced, "it continues to serve with what it has")
	relay.core.hasQuorum.Store(true)
	return relay
}

// A relay that lost its quorum is not complete again before a complete relay has sent it everything.
func TestReturningRelaySyncsFirst(t *testing.T) {
	relay := newPartitionedRelay(t)
	relay.runFor(2*tickInterval, nil)
	require.False(t, relay.readiness.complete(), "it has just regained its quorum")
	other := relay.connect("addr of o", "o/2", true)
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Hello: &hello{Source: "o/2", Addr: "addr of o"}})
	// The other relay's state takes long to arrive.
	receivedBytes := uint64(0)
	other.bytesReceived = func() uint64 { return receivedBytes }
	relay.runFor(5*selfStartDelay, func() { receivedBytes++ })
	require.False(t, relay.readiness.complete(), "the initial sync is in progress")
	newerDelta := deltasync.Delta{Source: configSource, To: 9, Items: []deltasync.Item{{Key: configKey, Version: 9, Data: encode(&configItem{9, documentOf(9)})}}}
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Complete: true, Deltas: []deltasync.Delta{newerDelta}})
	assert.True(t, relay.readiness.complete())
	assert.Equal(t, uint64(9), relay.snapshot.ConfigSeq)
	relay.ApplyConfig(7, documentOf(7)) // an older one from its own disk
	assert.Equal(t, uint64(9), relay.snapshot.ConfigSeq)
}

// A relay that lost its quorum and can reach no complete relay declares itself complete, as after a start.
func TestReturningRelayWithoutPeers(t *testing.T) {
	relay := newPartitionedRelay(t)
	relay.MarkConfigCurrent()
	relay.runFor(selfStartDelay+2*tickInterval, nil)
	assert.True(t, relay.readiness.complete())
}

// A relay that has restarted is not complete during its initial sync.
func TestRestartedRelayIsIncompleteDuringSync(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	relay.MarkConfigCurrent()
	other := relay.connect("addr of o", "o/1", true)
	receivedBytes := uint64(0)
	other.bytesReceived = func() uint64 { return receivedBytes }
	relay.runFor(5*selfStartDelay, func() { receivedBytes++ })
	require.False(t, relay.readiness.complete())
	require.False(t, relay.snapshot.Synced)
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Complete: true})
	assert.True(t, relay.readiness.complete())
}

// An agent that has a newer configuration than its restarted relay sends it to the relay, and ignores the relay's
// older one.
func TestAgentRetainsNewerConfigurationThanItsRelay(t *testing.T) {
	agent, relay := newManualNode("a", false), newManualNode("h", true, Peer{Addr: "addr of h"})
	agent.ApplyConfig(9, documentOf(9))
	relay.ApplyConfig(5, documentOf(5))
	olderDelta := deltasync.Delta{Source: configSource, To: 5, Items: []deltasync.Item{{Key: configKey, Version: 5, Data: encode(&configItem{5, documentOf(5)})}}}
	peer := agent.connect("addr of h", "h/1", true)
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true, Deltas: []deltasync.Delta{olderDelta}})
	assert.Equal(t, uint64(9), agent.snapshot.ConfigSeq)
	assert.Equal(t, int64(9), agent.snapshot.Config.Revision)
	agent.mu.Lock()
	vector := agent.items.Vector()
	agent.mu.Unlock()
	relay.mu.Lock()
	for _, d := range relay.items.DeltasSince(vector) {
		assert.NotEqual(t, configSource, d.Source, "a relay sends no older configuration")
	}
	relay.mu.Unlock()
	relay.syncFrom(agent)
	assert.Equal(t, uint64(9), relay.snapshot.ConfigSeq)
}

// Only core members with a quorum declare themselves complete.
func TestSelfStart(t *testing.T) {
	for name, testCase := range map[string]struct {
		core, linked, newest bool
		peer                 *message
		after                time.Duration
		want                 bool
	}{
		"whole core, none complete":      {true, true, true, &message{IsCore: true, HasQuorum: true}, tickInterval, true},
		"whole core, one complete":       {true, true, true, &message{IsCore: true, Complete: true}, tickInterval, false}, // the complete one has no quorum
		"whole core, one complete, late": {true, true, true, &message{IsCore: true, Complete: true}, selfStartDelay + 2*tickInterval, true},
		"one is missing":                 {true, true, true, nil, selfStartDelay - tickInterval, false},
		"one is missing, late":           {true, true, true, nil, selfStartDelay + 2*tickInterval, true},
		"configuration not current":      {true, true, false, &message{IsCore: true, HasQuorum: true}, time.Minute, false},
		"no quorum":                      {true, false, true, &message{IsCore: true}, time.Minute, false},
		"not a core member":              {false, false, true, &message{IsCore: true, HasQuorum: true}, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newManualNode("h", testCase.core, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
			relay.core.hasQuorum.Store(testCase.linked)
			if testCase.newest {
				relay.MarkConfigCurrent()
			}
			var peer *session
			if testCase.peer != nil {
				peer = relay.connect("addr of o", "o/1", true)
			}
			relay.runFor(testCase.after, func() {
				if peer != nil {
					relay.deliver(peer, testCase.peer)
				}
			})
			assert.Equal(t, testCase.want, relay.snapshot.Synced)
		})
	}
}

// A complete peer makes an agent synced only if the peer is a core member with a quorum. If the agent is a core
// member, it must also have a quorum itself.
func TestSynced(t *testing.T) {
	for name, testCase := range map[string]struct {
		core, linked bool
		m            message
		want         bool
	}{
		"an agent":                       {false, false, message{IsCore: true, HasQuorum: true, Complete: true}, true},
		"by a relay without a quorum":    {false, false, message{IsCore: true, Complete: true}, false},
		"by an incomplete relay":         {false, false, message{IsCore: true, HasQuorum: true}, false},
		"by a peer outside the core":     {false, false, message{HasQuorum: true, Complete: true}, false},
		"a core member":                  {true, true, message{IsCore: true, HasQuorum: true, Complete: true}, true},
		"a core member without a quorum": {true, false, message{IsCore: true, HasQuorum: true, Complete: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newManualNode("a", testCase.core, Peer{Addr: "addr of a"}, Peer{Addr: "addr of h"})
			agent.core.hasQuorum.Store(testCase.linked)
			peer := agent.connect("addr of h", "h/1", true)
			agent.deliver(peer, &testCase.m)
			agent.tick()
			assert.Equal(t, testCase.want, agent.snapshot.Synced)
		})
	}
}
