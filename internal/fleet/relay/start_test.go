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

// Where the whole core has just started, a member is complete without waiting for a tick.
func TestWholeCoreStartsWithoutATick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newManualNode("h", true, Peer{Addr: "addr of h"})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = relay.Run(ctx) })
		<-time.After(startCheckInterval)
		synctest.Wait()
		require.False(t, relay.isSynced(), "its configuration may be older than the core's")
		relay.MarkConfigCurrent()
		<-time.After(startCheckInterval)
		synctest.Wait()
		assert.True(t, relay.isSynced())
		assert.True(t, relay.snapshot.Synced, "it is published at once")
	})
}

// The look at the start keeps to the same conditions as a tick, and ends with the first completion.
func TestCheckStart(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	relay.MarkConfigCurrent()
	require.False(t, relay.checkStart(), "it may be that the other is complete")
	other := relay.connect("addr of o", "o/1", true)
	relay.deliver(other, &message{IsCore: true, HasQuorum: true, Hello: &hello{Source: "o/1", Addr: "addr of o"}})
	require.False(t, relay.checkStart(), "a hello tells nothing of it")
	relay.core.hasQuorum.Store(false)
	relay.deliver(other, &message{IsCore: true})
	require.False(t, relay.checkStart(), "without a quorum")
	relay.core.hasQuorum.Store(true)
	require.True(t, relay.checkStart())
	relay.core.hasQuorum.Store(false)
	relay.tick()
	require.True(t, relay.checkStart())
	assert.False(t, relay.readiness.complete(), "only tick completes it once more")
}

// Only members of the core that have not been complete dial in a hurry.
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

func (n *manualNode) isSynced() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readiness.synced
}
