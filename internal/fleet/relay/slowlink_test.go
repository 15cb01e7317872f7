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
	// slowLinkBytesPerSecond is the rate of a slow link, longConfigBytes the size of a configuration that
	// takes over two seconds on it, also compressed.
	slowLinkBytesPerSecond = 640 << 10
	longConfigBytes        = 1600 << 10
)

// paddedDocument returns a configuration with a revision and a size in bytes. Its padding is random, so that
// it is long when compressed, too.
func paddedDocument(revision, size int) []byte {
	doc := documentOf(revision)
	const field = `,"padding":""}`
	random := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(revision)}).Read(random)
	padding := base64.RawStdEncoding.EncodeToString(random)[:size-len(doc)-len(field)+1]
	return fmt.Appendf(nil, `%s,"padding":"%s"}`, doc[:len(doc)-1], padding)
}

// slowLinksTo makes the links between an agent and others slow.
func (a *testAgent) slowLinksTo(others ...*testAgent) {
	for _, b := range others {
		a.setRate(a.Addr, b.Addr, slowLinkBytesPerSecond)
		a.setRate(b.Addr, a.Addr, slowLinkBytesPerSecond)
	}
}

// A message that takes longer than sessionTimeout arrives on the session that it was begun on, and the
// other direction continues meanwhile.
func TestLongMessageOverSlowLink(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent := cluster.edgeAgents[0]
	agent.slowLinksTo(cluster.coreMembers...)
	agent.node.mu.Lock()
	before := map[*session]bool{}
	for s := range agent.node.sessions {
		before[s] = true
	}
	agent.node.mu.Unlock()
	require.Len(t, before, 1)
	cluster.coreMembers[0].node.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	cluster.eventually("in force at all relays", hasConfig(1), cluster.coreMembers...)
	agent.startHeartbeats("s")
	cluster.eventually("changes of the agent reach all relays", listsServer("s"), cluster.coreMembers...)
	require.False(t, hasConfig(1)(agent), "the configuration is still on its way")
	cluster.eventually("in force", hasConfig(1), agent)
	agent.node.mu.Lock()
	defer agent.node.mu.Unlock()
	for s := range agent.node.sessions {
		assert.True(t, before[s], "the session was not restarted")
	}
}

// A new process receives everything over a slow link: the hello within helloTimeout, the rest later.
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
	cluster.eventually("synced", func(relay *testAgent) bool { return relay.snapshot.Load().Synced && hasConfig(1)(relay) }, cluster.coreMembers[:2]...)
	for _, late := range []*testAgent{cluster.edgeAgents[0], cluster.coreMembers[2]} {
		late.start()
		cluster.eventually("is synced", func(agent *testAgent) bool {
			s := agent.snapshot.Load()
			return s != nil && s.Synced && s.ConfigSeq == 1
		}, late)
	}
	cluster.awaitSynced(4)
}

// A session lasts while bytes come, but one message may not take longer than messageTimeout.
func TestProgressExtendsSessionUpToMessageTimeout(t *testing.T) {
	for name, testCase := range map[string]struct {
		perTick uint64 // bytes that come between two ticks
		ends    time.Duration
	}{
		"a silent peer":        {0, sessionTimeout},
		"a peer that trickles": {1, messageTimeout},
		"a long message":       {100 << 10, messageTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newManualNode("a", false, Peer{Addr: "addr of h"})
			peer := agent.connect("addr of h", "h/1", true)
			var received uint64
			peer.bytesReceived = func() uint64 { return received }
			begin, ended := agent.now(), time.Duration(0)
			peer.cancel = func() {
				if ended == 0 {
					ended = agent.now() - begin
				}
			}
			agent.runFor(testCase.ends-tickInterval, func() { received += testCase.perTick })
			require.Zero(t, ended, "it is given its time")
			agent.runFor(3*tickInterval, func() { received += testCase.perTick })
			assert.Greater(t, ended, testCase.ends)
		})
	}
	// A complete message restarts the time-out.
	agent := newManualNode("a", false, Peer{Addr: "addr of h"})
	peer := agent.connect("addr of h", "h/1", true)
	peer.cancel = func() { assert.Fail(t, "closed") }
	agent.runFor(2*messageTimeout, agent.heartbeatFrom(peer))
}

// A hello does not say whether its sender is complete: the deltas come after it.
func TestHelloDoesNotReportCompleteness(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	relay.MarkConfigCurrent()
	peer := relay.connect("addr of o", "o/1", true)
	relay.deliver(peer, &message{Hello: &hello{Source: "o/1", Addr: "addr of o"}, IsCore: true, HasQuorum: true})
	relay.runFor(2*tickInterval, nil)
	require.False(t, relay.snapshot.Synced, "the other may have more")
	relay.deliver(peer, &message{IsCore: true, HasQuorum: true, Complete: true})
	relay.tick()
	assert.True(t, relay.snapshot.Synced)
}
