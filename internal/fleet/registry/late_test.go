package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A server that deregisters and continues to serve and to send heartbeats: it is off the list at once
// and remains off, at every agent, whatever calls of it come later and with what number.
func TestDeregisteredServerThatKeepsServing(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 5))
	f.syncAll()
	require.True(t, b.lists("s"))
	b.call(f.now, Instance{ID: "s", State: Deregistered}) // at another agent than its home
	require.False(t, b.lists("s"))
	f.syncAll()
	require.False(t, a.lists("s"))
	seq := uint64(6)
	f.run(30*time.Second, func() {
		for _, in := range []Instance{ready("s", seq), ready("s", 3), draining("s", seq+1), draining("s", 2)} {
			a.call(f.now, in)
			b.call(f.now, in)
		}
		seq += 2
		f.syncAll()
		for _, agent := range f.agents {
			state, known := agent.state("s")
			require.True(t, known)
			require.Equal(t, Deregistered, state)
			require.False(t, agent.lists("s"))
		}
	})
}

// Heartbeats that come seconds late, with a lower number than the drain or with a higher one that was
// assigned before, undo no drain, neither at the agent that received it nor at others.
func TestLateHeartbeatsUndoNoDrain(t *testing.T) {
	for _, seq := range []uint64{1, 9, 10, 11, 1000} {
		t.Run(fmt.Sprint(seq), func(t *testing.T) {
			f := newTestFleet("a", "b", "c")
			f.agents[0].call(f.now, ready("s", 9))
			f.syncAll()
			f.agents[1].call(f.now, draining("s", 10))
			f.syncAll()
			f.run(10*time.Second, func() {
				for _, agent := range f.agents {
					agent.call(f.now, ready("s", seq))
				}
				f.syncAll()
				for i, agent := range f.agents {
					state, known := agent.state("s")
					require.True(t, known, "agent %d", i)
					require.Equal(t, Draining, state, "agent %d", i)
				}
			})
			f.agents[2].call(f.now, Instance{ID: "s", State: Deregistered})
			f.syncAll()
			f.agents[0].call(f.now, draining("s", seq))
			f.syncAll()
			for i, agent := range f.agents {
				state, _ := agent.state("s")
				assert.Equal(t, Deregistered, state, "agent %d", i)
			}
		})
	}
}

// A server that crashed comes back at its address under a new ID: the new one is listed with its first
// heartbeat, and the old one is off the list once it has missed its heartbeats.
func TestCrashedServerIsListedUnderItsNewID(t *testing.T) {
	old, next := ready("s/1", 0), ready("s/2", 0)
	f := newTestFleet("home of the old", "home of the new")
	a, b := f.agents[0], f.agents[1]
	f.run(10*heartbeatInterval, f.heartbeats(a, &old))
	f.syncAll()
	beats := f.heartbeats(b, &next)
	beats()
	require.True(t, b.lists("s/2"), "at once")
	f.syncAll()
	require.True(t, a.lists("s/2"))
	f.run(3*heartbeatInterval+heartbeatInterval/2+tickInterval, beats)
	f.syncAll()
	for i, agent := range f.agents {
		assert.True(t, agent.lists("s/2"), "agent %d", i)
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// Its last heartbeat again, or an earlier one, seconds late, revives it nowhere.
	a.call(f.now, ready("s/1", old.Seq))
	b.call(f.now, ready("s/1", old.Seq-1))
	f.syncAll()
	for i, agent := range f.agents {
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// One that expired and sends heartbeats again is listed again.
	b.call(f.now, ready("s/1", old.Seq+1))
	assert.True(t, b.lists("s/1"))
}

// A server that does not count its calls is listed again, too, when it sends heartbeats again.
func TestUnnumberedHeartbeatRevivesExpiredServer(t *testing.T) {
	f := newTestFleet("a")
	a := f.agents[0]
	a.call(f.now, ready("s", 0))
	f.run(5*heartbeatInterval, nil)
	require.False(t, a.lists("s"))
	a.call(f.now, ready("s", 0))
	assert.True(t, a.lists("s"))
}
