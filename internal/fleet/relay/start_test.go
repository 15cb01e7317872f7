package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When the whole core has just started, a member becomes complete without waiting for a tick.
func TestWholeCoreStartsWithoutATick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newManualNode("h", true, Peer{Addr: "addr of h"})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { _ = relay.Run(ctx) })
		<-time.After(startCheckInterval)
		synctest.Wait()
		require.False(t, relay.isSynced(), "its configuration may be older than the core's")
		relay.MarkConfigCurrent()
		<-time.After(startCheckInterval)
		synctest.Wait()
		assert.True(t, relay.isSynced())
		assert.True(t, relay.snapshot.Synced, "the snapshot is published at once")
	})
}

// checkStart uses the same conditions as tick, and does nothing once the node has been complete.
func TestCheckStart(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	relay.MarkConfigCurrent()
	require.False(t, relay.checkStart(), "the other member may be complete")
	other := relay.connect("addr of o", "o/1", true)
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Hello: &hello{Source: "o/1", Addr: "addr of o"}})
	require.False(t, relay.checkStart(), "a hello does not report completeness")
	relay.core.hasQuorum.Store(false)
	relay.deliver(other, &message{IsCore: true})
	require.False(t, relay.checkStart(), "this node has no quorum")
	relay.core.hasQuorum.Store(true)
	require.True(t, relay.checkStart())
	relay.core.hasQuorum.Store(false)
	relay.tick()
	require.True(t, relay.checkStart())
	assert.False(t, relay.readiness.complete(), "only tick makes it complete again")
}

// Only members of the core that have just started and have not been complete use the short pause.
func TestRedialPause(t *testing.T) {
	relay, agent := newManualNode("h", true, Peer{Addr: "addr of h"}), newManualNode("a", false)
	assert.Equal(t, redialInterval, agent.redialPause())
	assert.Equal(t, startCheckInterval, relay.redialPause())
	relay.MarkConfigCurrent()
	require.True(t, relay.checkStart())
	assert.Equal(t, redialInterval, relay.redialPause())

	alone := newManualNode("o", true, Peer{Addr: "addr of o"}, Peer{Addr: "addr of p"})
	alone.advanceClock(startPeriod)
	assert.Equal(t, redialInterval, alone.redialPause(), "the others may be down for long")
}

// The clock of a node whose loops run may be advanced, as the race detector confirms.
func TestStartLoopEndsAfterStartPeriod(t *testing.T) {
	relay := newManualNode("o", true, Peer{Addr: "addr of o"}, Peer{Addr: "addr of p"})
	var wg sync.WaitGroup
	wg.Go(func() { relay.startLoop(t.Context()) })
	relay.advanceClock(startPeriod)
	wg.Wait()
	require.False(t, relay.isSynced(), "the other member may be complete")
}

func (n *manualNode) isSynced() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readiness.synced
}
