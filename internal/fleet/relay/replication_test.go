package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// briefly is how long a call may wait that is not to be acknowledged.
const briefly = 400 * time.Millisecond

// An agent and its hub are cut off together, which neither knows yet: a drain or a leave that they
// alone hold is not acknowledged, and is once they are joined again.
func TestADrainBehindACutIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 2)
	a := l.agents[0]
	hub := l.hubOf(a)
	require.True(t, a.call(server("s", 1)))
	require.True(t, hub.call(server("r", 1)))
	l.eventually("listed", lists("s"))
	l.eventually("listed", lists("r"))
	for _, other := range l.all() {
		if other != a && other != hub {
			other.cutOff(true, a, hub)
		}
	}
	require.True(t, hub.Linked(), "it has not noticed")
	assert.False(t, a.hub.Beat(within(t, briefly), drains("s", 2)))
	assert.False(t, a.hub.Leave(within(t, briefly), "s"))
	assert.False(t, hub.hub.Beat(within(t, briefly), drains("r", 2)))
	assert.False(t, lists("s")(hub), "what is known is in force all the same")
	for _, other := range l.all() {
		if other != a && other != hub {
			assert.True(t, lists("s")(other), other.Name)
			other.cutOff(false, a, hub)
		}
	}
	require.True(t, a.call(drains("s", 3)))
	require.True(t, hub.call(drains("r", 3)))
	l.eventually("gone", not(lists("s")))
	l.eventually("gone", not(lists("r")))
}

// Two of five hubs are cut off together: what both hold is not acknowledged.
func TestAMinorityAcknowledgesNoDrain(t *testing.T) {
	t.Parallel()
	l := started(t, 5, 1)
	minority, rest := l.hubs[:2], l.hubs[2:]
	require.True(t, minority[0].call(server("s", 1)))
	l.eventually("listed", lists("s"))
	for _, h := range minority {
		h.cutOff(true, rest...)
		h.cutOff(true, l.agents...)
	}
	assert.False(t, minority[0].hub.Beat(within(t, briefly), drains("s", 2)))
	assert.False(t, lists("s")(minority[1]), "it has the news")
	assert.False(t, minority[1].hub.Leave(within(t, briefly), "s"))
	require.True(t, rest[0].call(drains("s", 3)), "the majority acknowledges")
	for _, h := range minority {
		h.cutOff(false, rest...)
		h.cutOff(false, l.agents...)
	}
	require.True(t, minority[0].call(drains("s", 4)))
	l.eventually("gone", not(lists("s")))
}

// When a drain is acknowledged a majority of the core's machines hold it.
func TestAnAcknowledgedDrainIsHeldByAMajority(t *testing.T) {
	t.Parallel()
	l := started(t, 5, 2)
	for i, a := range l.all() {
		id := fmt.Sprint("s", i)
		require.True(t, a.call(server(id, 1)))
		l.eventually("listed", lists(id))
		require.True(t, a.call(drains(id, 2)))
		holding := 0
		for _, h := range l.hubs {
			if !lists(id)(h) {
				holding++
			}
		}
		assert.GreaterOrEqual(t, holding, 3, a.Name)
	}
}

// The replicated version is the newest that a majority holds, by its own words; without a known core
// there is none.
func TestReplicatedVersion(t *testing.T) {
	for _, c := range []struct {
		hubs int      // of the core, this process the first
		held []uint64 // by the others, as they said
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
		{3, []uint64{1 << 60, 0}, 9}, // what is not known here proves nothing
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			var peers []Peer
			for i := range c.hubs {
				peers = append(peers, Peer{Addr: fmt.Sprint("addr of ", i)})
			}
			h := newStill("0", true, peers...)
			h.mu.Lock()
			h.apply([]deltasync.Delta{delta("x/1", "1", one, "2", one, "3", one, "4", one, "5", one, "6", one, "7", one, "8", one, "9", one)})
			h.mu.Unlock()
			agent := h.meet("addr of x", "x/1", false)
			stranger := h.meet("addr of y", "y/1", true) // a machine of an earlier core
			h.says(stranger, &message{Core: true, Held: deltasync.Vector{"x/1": 9}})
			for i, version := range c.held {
				peer := h.meet(fmt.Sprint("addr of ", i+1), fmt.Sprint("peer/", i), true)
				peer.has["x/1"] = 9 // sent, which proves nothing
				h.says(peer, &message{Core: true, Held: deltasync.Vector{"x/1": version}})
			}
			h.says(agent, &message{Held: deltasync.Vector{"x/1": 9}})
			assert.Equal(t, c.want, h.replicatedVersion("x/1", peers))
		})
	}
}

// A process takes the word of a machine of the core, and that of no other.
func TestOnlyHubsTellWhatIsReplicated(t *testing.T) {
	s := newStill("a", false)
	x := s.meet("addr of b", "b/1", false)
	require.True(t, s.Beat(t.Context(), server("s", 1)))
	s.says(x, &message{Linked: true, Got: s.set.OwnVersion() + 1, Replicated: s.set.OwnVersion() + 1})
	assert.False(t, s.Beat(within(t, 50*time.Millisecond), drains("s", 2)), "no hub")
	s.says(x, &message{Core: true, Linked: true, Got: s.set.OwnVersion()})
	assert.False(t, s.Beat(within(t, 50*time.Millisecond), drains("s", 3)), "one hub that has it is not enough")
	s.says(x, &message{Core: true, Replicated: s.set.OwnVersion()})
	assert.True(t, s.Beat(t.Context(), drains("s", 4)))
}

// A machine of the core acknowledges what it holds of what another sent, once, and what it had
// already too; it acknowledges nothing that it passed over.
func TestAcknowledgements(t *testing.T) {
	h := newStill("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	o := h.meet("addr of o", "o/1", true)
	taken := func() deltasync.Vector {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.acknowledge(o)
	}
	h.says(o, &message{Core: true, Deltas: []deltasync.Delta{delta("x/1", "k", one, "l", one)}})
	assert.Equal(t, deltasync.Vector{"x/1": 2}, taken())
	assert.Empty(t, taken())
	h.says(o, &message{Core: true, Deltas: []deltasync.Delta{delta("x/1", "k", one)}})
	assert.Equal(t, deltasync.Vector{"x/1": 2}, taken(), "it had it")
	h.says(o, &message{Core: true, Deltas: []deltasync.Delta{{Source: "y/1", From: 5, Upto: 6, Items: []deltasync.Item{{Key: "k", Ver: 6, Data: one}}}}})
	assert.Empty(t, taken(), "there is a gap before it")
	assert.NotContains(t, o.held, "y/1")
	a := h.meet("addr of a", "a/1", false)
	h.says(a, &message{Deltas: []deltasync.Delta{delta("a/1", "k", one)}})
	assert.Empty(t, a.unacked, "agents need none")
}
