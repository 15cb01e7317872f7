package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// newRelayOfManyServers returns a relay with 240 servers, as one that has restored them from its disk.
func newRelayOfManyServers(members ...Peer) *manualNode {
	relay := newManualNode("relay", true, members...)
	for i := range 240 {
		instance := &registry.Instance{ID: fmt.Sprint("server-", i), Service: "llm", Addr: fmt.Sprintf("10.0.0.%d:80", i), State: registry.Ready}
		relay.Heartbeat(context.Background(), instance)
	}
	relay.tick()
	return relay
}

// firstUpdate returns a sender to a new agent, and the messages of its first update. The agent has received them.
func (n *manualNode) firstUpdate(tb testing.TB, agent *manualNode) (out *sender, encoded [][]byte, update *message) {
	tb.Helper()
	down, up := n.connect("addr of "+agent.options.Self.Name, agent.source(), false), agent.connect("addr of relay", n.source(), true)
	down.acceptsZstd = true
	out = &sender{node: n.Node, session: down}
	update, encoded, _ = out.nextUpdate()
	for _, m := range encoded {
		agent.receiveEncoded(tb, up, m)
	}
	agent.deliver(up, update)
	return out, encoded, update
}

// After a restart of the whole fleet a relay encodes and compresses the items once, not once for each agent.
func TestAgentsThatStartAtOnceShareTheInitialUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newRelayOfManyServers()
		var shared []byte
		for i := range 50 {
			agent := newManualNode(fmt.Sprint("agent-", i), false, Peer{Addr: "addr of relay"})
			_, encoded, update := relay.firstUpdate(t, agent)
			require.Len(t, encoded, 1)
			if shared == nil {
				shared = encoded[0]
			}
			require.Same(t, &shared[0], &encoded[0][0], "the same bytes for all agents")
			require.Less(t, dataSize(update.Deltas), minCompressedBytes, "nothing is left to compress")
			require.Len(t, agent.servers.List().ByID, 240)
		}
	})
}

// What has changed since the initial update was encoded is sent in the update after it.
func TestChangesSinceTheInitialUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newRelayOfManyServers()
		relay.firstUpdate(t, newManualNode("agent-0", false, Peer{Addr: "addr of relay"}))
		canceled, cancel := context.WithCancel(t.Context())
		cancel() // no majority acknowledges the end
		relay.Deregister(canceled, "server-7")
		relay.ApplyConfig(1, documentOf(1))
		relay.Heartbeat(t.Context(), &registry.Instance{ID: "new", Service: "llm", Addr: "10.0.1.1:80", State: registry.Ready})
		agent := newManualNode("agent-1", false, Peer{Addr: "addr of relay"})
		_, encoded, _ := relay.firstUpdate(t, agent)
		require.Len(t, encoded, 1)
		servers := agent.servers.List().ByID
		assert.Contains(t, servers, "new")
		assert.NotContains(t, servers, "server-7")
		assert.EqualValues(t, 1, agent.ConfigSeq())
		assert.Equal(t, relay.items.Vector()[relay.source()], agent.items.Vector()[relay.source()])
	})
}

// An agent that has most items gets what it lacks alone, and a member of the core never gets shared bytes.
func TestOthersGetNoInitialUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newRelayOfManyServers()
		agent := newManualNode("agent", false, Peer{Addr: "addr of relay"})
		relay.firstUpdate(t, agent)
		again := relay.connect("addr of agent", agent.source(), false)
		again.acceptsZstd = true
		again.sentVersions = agent.items.Vector()
		_, encoded, _ := (&sender{node: relay.Node, session: again}).nextUpdate()
		assert.Empty(t, encoded)
		member := relay.connect("addr of member", "member/1", true)
		member.acceptsZstd = true
		_, encoded, _ = (&sender{node: relay.Node, session: member}).nextUpdate()
		assert.Empty(t, encoded)
	})
}

// The initial update is not retained while no agent starts, nor after a source of its items has ended.
func TestInitialUpdateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newRelayOfManyServers()
		relay.firstUpdate(t, newManualNode("agent-0", false, Peer{Addr: "addr of relay"}))
		require.NotEmpty(t, relay.initialUpdate.encoded)
		relay.runFor(initialUpdateTTL+tickInterval, nil)
		assert.Empty(t, relay.initialUpdate.encoded)
		relay.firstUpdate(t, newManualNode("agent-1", false, Peer{Addr: "addr of relay"}))
		require.NotEmpty(t, relay.initialUpdate.encoded)
		relay.mu.Lock()
		relay.endSourceLocked("agent-9/1")
		relay.mu.Unlock()
		assert.Empty(t, relay.initialUpdate.encoded)
	})
}

// The initial update of a relay that continues as a new incarnation does not hold its ended source.
func TestInitialUpdateIsDroppedByANewIncarnation(t *testing.T) {
	relay := newRelayOfManyServers()
	relay.firstUpdate(t, newManualNode("agent-0", false, Peer{Addr: "addr of relay"}))
	require.NotEmpty(t, relay.initialUpdate.encoded)
	old := relay.source()
	relay.mu.Lock()
	relay.startIncarnationLocked()
	relay.mu.Unlock()
	agent := newManualNode("agent-1", false, Peer{Addr: "addr of relay"})
	relay.firstUpdate(t, agent)
	assert.Zero(t, agent.items.Version(old), "the agent was sent the ended source of the relay")
}

// BenchmarkInitialUpdates measures the first updates of a relay to 50 agents that start at once.
func BenchmarkInitialUpdates(b *testing.B) {
	relay := newRelayOfManyServers()
	b.ReportAllocs()
	for b.Loop() {
		for i := range 50 {
			s := newSession(relay.now(), &hello{Source: fmt.Sprint("agent-", i, "/1"), AcceptsZstd: true}, "addr", func() uint64 { return 0 }, func() {})
			out := &sender{node: relay.Node, session: s}
			update, _, _ := out.nextUpdate()
			relay.codec.compress(update)
			encode(update)
			s.noticeTimer.Stop()
		}
		relay.advanceClock(time.Second)
	}
}
