package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// newPartitionedRelay returns a relay that was complete and has been without a quorum for twenty seconds.
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
	require.False(t, relay.readiness.complete(), "others may have more")
	require.True(t, relay.snapshot.Synced, "it continues to serve with what it has")
	relay.core.hasQuorum.Store(true)
	return relay
}

// A relay that lost its quorum is not complete again before a complete one has sent it everything.
func TestReturningRelaySyncsFirst(t *testing.T) {
	relay := newPartitionedRelay(t)
	relay.runFor(2*tickInterval, nil)
	require.False(t, relay.readiness.complete(), "it has just regained its quorum")
	other := relay.connect("addr of o", "o/2", true)
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Hello: &hello{Source: "o/2", Addr: "addr of o"}})
	// What the other has takes long to arrive.
	received := uint64(0)
	other.bytesReceived = func() uint64 { return received }
	relay.runFor(5*selfStartDelay, func() { received++ })
	require.False(t, relay.readiness.complete(), "the initial sync is running")
	newer := deltasync.Delta{Source: configSource, To: 9, Items: []deltasync.Item{{Key: configKey, Version: 9, Data: encode(&configItem{9, documentOf(9)})}}}
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Complete: true, Deltas: []deltasync.Delta{newer}})
	assert.True(t, relay.readiness.complete())
	assert.Equal(t, uint64(9), relay.snapshot.ConfigSeq)
	relay.ApplyConfig(7, documentOf(7)) // from its own disk, late
	assert.Equal(t, uint64(9), relay.snapshot.ConfigSeq)
}

// Where no complete relay can be reached, a relay that lost its quorum declares itself complete, as at a start.
func TestReturningRelayWithoutPeers(t *testing.T) {
	relay := newPartitionedRelay(t)
	relay.MarkConfigCurrent()
	relay.runFor(selfStartDelay+2*tickInterval, nil)
	assert.True(t, relay.readiness.complete())
}

// The same holds for one that restarts with a list from disk, during its initial sync.
func TestRestartedRelayIsIncompleteDuringSync(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	relay.MarkConfigCurrent()
	other := relay.connect("addr of o", "o/1", true)
	received := uint64(0)
	other.bytesReceived = func() uint64 { return received }
	relay.runFor(5*selfStartDelay, func() { received++ })
	require.False(t, relay.readiness.complete())
	require.False(t, relay.snapshot.Synced)
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Complete: true})
	assert.True(t, relay.readiness.complete())
}

// An agent that has a newer configuration than its restarted relay sends it to the relay, and takes
// nothing older from it.
func TestAgentKeepsNewerConfigurationThanItsRelay(t *testing.T) {
	agent, hub := newManualNode("a", false), newManualNode("h", true, Peer{Addr: "addr of h"})
	agent.ApplyConfig(9, documentOf(9))
	hub.ApplyConfig(5, documentOf(5))
	older := deltasync.Delta{Source: configSource, To: 5, Items: []deltasync.Item{{Key: configKey, Version: 5, Data: encode(&configItem{5, documentOf(5)})}}}
	peer := agent.connect("addr of h", "h/1", true)
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true, Deltas: []deltasync.Delta{older}})
	assert.Equal(t, uint64(9), agent.snapshot.ConfigSeq)
	assert.Equal(t, int64(9), agent.snapshot.Config.Revision)
	agent.mu.Lock()
	vector := agent.items.Vector()
	agent.mu.Unlock()
	hub.mu.Lock()
	for _, d := range hub.items.DeltasSince(vector) {
		assert.NotEqual(t, configSource, d.Source, "a relay sends no older configuration")
	}
	hub.mu.Unlock()
	hub.syncFrom(agent)
	assert.Equal(t, uint64(9), hub.snapshot.ConfigSeq)
}
