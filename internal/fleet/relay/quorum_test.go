package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// shortTimeout bounds calls that must not be acknowledged.
const shortTimeout = 400 * time.Millisecond

// An agent and its relay are partitioned away together, which neither knows yet: a drain or a
// deregistration that only they have is not acknowledged, and is once the partition heals.
func TestPartitionedDrainIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 2)
	a := l.edgeAgents[0]
	hub := l.relayOf(a)
	require.True(t, a.heartbeat(server("s", 1)))
	require.True(t, hub.heartbeat(server("r", 1)))
	l.eventually("listed", listsServer("s"))
	l.eventually("listed", listsServer("r"))
	for _, other := range l.all() {
		if other != a && other != hub {
			other.setPartitioned(true, a, hub)
		}
	}
	require.True(t, hub.HasQuorum(), "it has not noticed")
	assert.False(t, a.node.Heartbeat(timeoutContext(t, shortTimeout), drainingServer("s", 2)))
	assert.False(t, a.node.Deregister(timeoutContext(t, shortTimeout), "s"))
	assert.False(t, hub.node.Heartbeat(timeoutContext(t, shortTimeout), drainingServer("r", 2)))
	assert.False(t, listsServer("s")(hub), "it takes effect locally all the same")
	for _, other := range l.all() {
		if other != a && other != hub {
			assert.True(t, listsServer("s")(other), other.Name)
			other.setPartitioned(false, a, hub)
		}
	}
	require.True(t, a.heartbeat(drainingServer("s", 3)))
	require.True(t, hub.heartbeat(drainingServer("r", 3)))
	l.eventually("gone", not(listsServer("s")))
	l.eventually("gone", not(listsServer("r")))
}

// Two of five relays are partitioned away together: what only they have is not acknowledged.
func TestMinorityAcknowledgesNoDrain(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 5, 1)
	minority, rest := l.coreMembers[:2], l.coreMembers[2:]
	require.True(t, minority[0].heartbeat(server("s", 1)))
	l.eventually("listed", listsServer("s"))
	for _, h := range minority {
		h.setPartitioned(true, rest...)
		h.setPartitioned(true, l.edgeAgents...)
	}
	assert.False(t, minority[0].node.Heartbeat(timeoutContext(t, shortTimeout), drainingServer("s", 2)))
	assert.False(t, listsServer("s")(minority[1]), "it has received the drain")
	assert.False(t, minority[1].node.Deregister(timeoutContext(t, shortTimeout), "s"))
	require.True(t, rest[0].heartbeat(drainingServer("s", 3)), "the majority acknowledges")
	for _, h := range minority {
		h.setPartitioned(false, rest...)
		h.setPartitioned(false, l.edgeAgents...)
	}
	require.True(t, minority[0].heartbeat(drainingServer("s", 4)))
	l.eventually("gone", not(listsServer("s")))
}

// Once a drain is acknowledged, a majority of the core has it.
func TestAcknowledgedDrainIsOnAMajority(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 5, 2)
	for i, a := range l.all() {
		id := fmt.Sprint("s", i)
		require.True(t, a.heartbeat(server(id, 1)))
		l.eventually("listed", listsServer(id))
		require.True(t, a.heartbeat(drainingServer(id, 2)))
		holding := 0
		for _, h := range l.coreMembers {
			if !listsServer(id)(h) {
				holding++
			}
		}
		assert.GreaterOrEqual(t, holding, 3, a.Name)
	}
}

// The quorum version is the newest that a majority has acknowledged; without a known core there is
// none.
func TestQuorumVersion(t *testing.T) {
	for _, c := range []struct {
		hubs int      // of core members, this process the first
		held []uint64 // acknowledged by the others
		want uint64
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
		{3, []uint64{1 << 60, 0}, 9}, // a version that is unknown here proves nothing
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			var peers []Peer
			for i := range c.hubs {
				peers = append(peers, Peer{Addr: fmt.Sprint("addr of ", i)})
			}
			h := newManualNode("0", true, peers...)
			h.mu.Lock()
			h.applyDeltasLocked([]deltasync.Delta{initialDelta("x/1", "1", present, "2", present, "3", present, "4", present, "5", present, "6", present, "7", present, "8", present, "9", present)})
			h.mu.Unlock()
			agent := h.connect("addr of x", "x/1", false)
			stranger := h.connect("addr of y", "y/1", true) // a former core member
			h.deliver(stranger, &message{IsCore: true, Acknowledged: deltasync.Vector{"x/1": 9}})
			for i, version := range c.held {
				peer := h.connect(fmt.Sprint("addr of ", i+1), fmt.Sprint("peer/", i), true)
				peer.sent["x/1"] = 9 // sent, which proves nothing
				h.deliver(peer, &message{IsCore: true, Acknowledged: deltasync.Vector{"x/1": version}})
			}
			h.deliver(agent, &message{Acknowledged: deltasync.Vector{"x/1": 9}})
			assert.Equal(t, c.want, h.quorumVersionLocked("x/1", peers))
		})
	}
}

// Quorum versions are accepted from core members only.
func TestOnlyCoreMembersReportQuorumVersions(t *testing.T) {
	s := newManualNode("a", false)
	x := s.connect("addr of b", "b/1", false)
	require.True(t, s.Heartbeat(t.Context(), server("s", 1)))
	s.deliver(x, &message{HasQuorum: true, ReceivedVersion: s.items.OwnVersion() + 1, QuorumVersion: s.items.OwnVersion() + 1})
	assert.False(t, s.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 2)), "no relay")
	s.deliver(x, &message{IsCore: true, HasQuorum: true, ReceivedVersion: s.items.OwnVersion()})
	assert.False(t, s.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 3)), "one relay that has it is not enough")
	s.deliver(x, &message{IsCore: true, QuorumVersion: s.items.OwnVersion()})
	assert.True(t, s.Heartbeat(t.Context(), drainingServer("s", 4)))
}

// A core member acknowledges once what it has of what another sent, also what it had already; it
// acknowledges nothing that it ignored.
func TestAcknowledgements(t *testing.T) {
	h := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	o := h.connect("addr of o", "o/1", true)
	taken := func() deltasync.Vector {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.takeAcknowledgementsLocked(o)
	}
	h.deliver(o, &message{IsCore: true, Deltas: []deltasync.Delta{initialDelta("x/1", "k", present, "l", present)}})
	assert.Equal(t, deltasync.Vector{"x/1": 2}, taken())
	assert.Empty(t, taken())
	h.deliver(o, &message{IsCore: true, Deltas: []deltasync.Delta{initialDelta("x/1", "k", present)}})
	assert.Equal(t, deltasync.Vector{"x/1": 2}, taken(), "it had it already")
	h.deliver(o, &message{IsCore: true, Deltas: []deltasync.Delta{{Source: "y/1", From: 5, To: 6, Items: []deltasync.Item{{Key: "k", Version: 6, Data: present}}}}})
	assert.Empty(t, taken(), "there is a gap before it")
	assert.NotContains(t, o.acknowledged, "y/1")
	a := h.connect("addr of a", "a/1", false)
	h.deliver(a, &message{Deltas: []deltasync.Delta{initialDelta("a/1", "k", present)}})
	assert.Empty(t, a.pendingAcks, "agents need no acknowledgement")
}
