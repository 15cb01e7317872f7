package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// cutOffHub is a hub that had all and was cut off from the core for twenty seconds.
func cutOffHub(t *testing.T) *still {
	h := newStill("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"}, Peer{Addr: "addr of p"})
	o := h.meet("addr of o", "o/1", true)
	h.says(o, &message{Core: true, Linked: true, Full: true})
	h.Commit(5, document(5))
	h.tick()
	require.True(t, h.hasAll())
	h.core.linked.Store(false)
	delete(h.sessions, o)
	h.run(20*time.Second, nil)
	require.False(t, h.hasAll(), "others may know more")
	require.True(t, h.last.Fresh, "it serves on with what it has")
	h.core.linked.Store(true)
	return h
}

// A hub that was cut off does not say that it has all before one that does has told it all.
func TestAReturningHubSynchronizesFirst(t *testing.T) {
	h := cutOffHub(t)
	h.run(2*tickEvery, nil)
	require.False(t, h.hasAll(), "it has just come back")
	o := h.meet("addr of o", "o/2", true)
	h.says(o, &message{Core: true, Linked: true, Hello: &hello{Source: "o/2", Addr: "addr of o"}})
	// What the other has takes long to come.
	received := uint64(0)
	o.received = func() uint64 { return received }
	h.run(5*aloneFor, func() { received++ })
	require.False(t, h.hasAll(), "it is being told")
	newer := deltasync.Delta{Source: configSource, Upto: 9, Items: []deltasync.Item{{Key: configKey, Ver: 9, Data: encode(&Config{9, document(9)})}}}
	h.says(o, &message{Core: true, Linked: true, Full: true, Deltas: []deltasync.Delta{newer}})
	assert.True(t, h.hasAll())
	assert.Equal(t, uint64(9), h.last.Seq)
	h.Commit(7, document(7)) // by its own disk, late
	assert.Equal(t, uint64(9), h.last.Seq)
}

// Nobody who knows more shows up: a hub that was cut off goes by what it has, as at a start.
func TestAReturningHubThatMeetsNobody(t *testing.T) {
	h := cutOffHub(t)
	h.Newest()
	h.run(aloneFor+2*tickEvery, nil)
	assert.True(t, h.hasAll())
}

// The same holds for one that starts anew with a list from disk, while it is being told.
func TestARestartedHubIsNotFullWhileItIsTold(t *testing.T) {
	h := newStill("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	h.Newest()
	o := h.meet("addr of o", "o/1", true)
	received := uint64(0)
	o.received = func() uint64 { return received }
	h.run(5*aloneFor, func() { received++ })
	require.False(t, h.hasAll())
	require.False(t, h.last.Fresh)
	h.says(o, &message{Core: true, Linked: true, Full: true})
	assert.True(t, h.hasAll())
}

// An agent that has a newer configuration than its restarted hub gives it to the hub, and takes
// nothing older from it.
func TestAnAgentIsNotSetBackByItsHub(t *testing.T) {
	agent, hub := newStill("a", false), newStill("h", true, Peer{Addr: "addr of h"})
	agent.Commit(9, document(9))
	hub.Commit(5, document(5))
	older := deltasync.Delta{Source: configSource, Upto: 5, Items: []deltasync.Item{{Key: configKey, Ver: 5, Data: encode(&Config{5, document(5)})}}}
	x := agent.meet("addr of h", "h/1", true)
	agent.says(x, &message{Core: true, Linked: true, Full: true, Deltas: []deltasync.Delta{older}})
	assert.Equal(t, uint64(9), agent.last.Seq)
	assert.Equal(t, int64(9), agent.last.Doc.Revision)
	agent.mu.Lock()
	vector := agent.set.Vector()
	agent.mu.Unlock()
	hub.mu.Lock()
	for _, d := range hub.set.DeltasSince(vector) {
		assert.NotEqual(t, configSource, d.Source, "a hub sends no older configuration")
	}
	hub.mu.Unlock()
	hub.pull(agent)
	assert.Equal(t, uint64(9), hub.last.Seq)
}
