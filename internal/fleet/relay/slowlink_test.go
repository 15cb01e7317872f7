package relay

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// slowLinkBytesPerSecond is the rate of a slow link.
	slowLinkBytesPerSecond = 640 << 10
	// longConfigBytes is the size of a configuration that takes over two seconds on a slow link, even when
	// compressed.
	longConfigBytes = 1600 << 10
)

// paddedDocument returns a configuration with the given revision and size in bytes. Its padding is random, so
// that it hardly compresses.
func paddedDocument(revision, size int) []byte {
	doc := documentOf(revision)
	const field = `,"padding":""}`
	randomBytes := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(revision)}).Read(randomBytes)
	padding := base64.RawStdEncoding.EncodeToString(randomBytes)[:size-len(doc)-len(field)+1]
	return fmt.Appendf(nil, `%s,"padding":"%s"}`, doc[:len(doc)-1], padding)
}

// slowLinksTo makes the links between the agent and others slow.
func (a *testAgent) slowLinksTo(others ...*testAgent) {
	for _, b := range others {
		a.setRate(a.Addr, b.Addr, slowLinkBytesPerSecond)
		a.setRate(b.Addr, a.Addr, slowLinkBytesPerSecond)
	}
}

// A message that takes longer than sessionTimeout does not end its session, and does not delay messages in the
// other direction.
func TestLongMessageOverSlowLink(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent := cluster.edgeAgents[0]
	agent.slowLinksTo(cluster.coreMembers...)
	agent.node.mu.Lock()
	sessionsBefore := map[*session]bool{}
	for s := range agent.node.sessions {
		sessionsBefore[s] = true
	}
	agent.node.mu.Unlock()
	require.Len(t, sessionsBefore, 1)
	cluster.coreMembers[0].node.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	cluster.eventually("has the configuration", hasConfig(1), cluster.coreMembers...)
	agent.startHeartbeats("s")
	cluster.eventually("lists the server of the agent", listsServer("s"), cluster.coreMembers...)
	require.False(t, hasConfig(1)(agent), "the configuration is still in flight")
	cluster.eventually("has the configuration", hasConfig(1), agent)
	agent.node.mu.Lock()
	defer agent.node.mu.Unlock()
	for s := range agent.node.sessions {
		assert.True(t, sessionsBefore[s], "the session was not restarted")
	}
}

// A new process syncs over a slow link, as the hello arrives within helloTimeout before the rest.
func TestInitialSyncOverSlowLink(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 1)
	cluster.coreMembers[2].slowLinksTo(cluster.coreMembers...)
	cluster.edgeAgents[0].slowLinksTo(cluster.coreMembers...)
	for _, relay := range cluster.coreMembers[:2] {
		relay.start()
		relay.node.MarkConfigCurrent()
	}
	cluster.coreMembers[0].node.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	cluster.eventually("is synced", func(relay *testAgent) bool { return relay.snapshot.Load().Synced && hasConfig(1)(relay) }, cluster.coreMembers[:2]...)
	for _, lateAgent := range []*testAgent{cluster.edgeAgents[0], cluster.coreMembers[2]} {
		lateAgent.start()
		cluster.eventually("is synced", func(agent *testAgent) bool {
			s := agent.snapshot.Load()
			return s != nil && s.Synced && s.ConfigSeq == 1
		}, lateAgent)
	}
	cluster.awaitSynced(4)
}

// A session stays open while bytes arrive, but one message may not take longer than messageTimeout.
func TestProgressExtendsSessionUpToMessageTimeout(t *testing.T) {
	for name, testCase := range map[string]struct {
		perTick uint64 // number of bytes that arrive between two ticks
		ends    time.Duration
	}{
		"a silent peer":        {0, sessionTimeout},
		"a peer that trickles": {1, messageTimeout},
		"a long message":       {100 << 10, messageTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newManualNode("a", false, Peer{Addr: "addr of h"})
			peer := agent.connect("addr of h", "h/1", true)
			var receivedBytes uint64
			peer.bytesReceived = func() uint64 { return receivedBytes }
			start, closedAfter := agent.now(), time.Duration(0)
			peer.cancel = func() {
				if closedAfter == 0 {
					closedAfter = agent.now() - start
				}
			}
			agent.runFor(testCase.ends-tickInterval, func() { receivedBytes += testCase.perTick })
			require.Zero(t, closedAfter, "the session is open until its timeout")
			agent.runFor(3*tickInterval, func() { receivedBytes += testCase.perTick })
			assert.Greater(t, closedAfter, testCase.ends)
		})
	}
	// A complete message restarts the timeout.
	agent := newManualNode("a", false, Peer{Addr: "addr of h"})
	peer := agent.connect("addr of h", "h/1", true)
	peer.cancel = func() { assert.Fail(t, "the session was closed") }
	agent.runFor(2*messageTimeout, agent.heartbeatFrom(peer))
}

// A hello does not report whether its sender is complete, as it is sent before the deltas.
func TestHelloDoesNotReportCompleteness(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	relay.MarkConfigCurrent()
	peer := relay.connect("addr of o", "o/1", true)
	relay.deliver(peer, &message{Hello: &hello{Source: "o/1", Addr: "addr of o"}, IsCore: true, HasQuorum: true})
	relay.runFor(2*tickInterval, nil)
	require.False(t, relay.snapshot.Synced, "the other relay may have newer state")
	relay.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true})
	relay.tick()
	assert.True(t, relay.snapshot.Synced)
}
