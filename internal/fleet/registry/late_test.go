package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A server that says first that it leaves, and serves and beats on: it is off the list at once and
// stays off, at every agent, whatever calls of it come later and with what number.
func TestAServerThatLeavesFirstAndServesOn(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 5))
	f.sync()
	require.True(t, b.lists("s"))
	b.call(f.now, Instance{ID: "s", State: Gone}) // at another agent than it beats
	require.False(t, b.lists("s"))
	f.sync()
	require.False(t, a.lists("s"))
	seq := uint64(6)
	f.run(30*time.Second, func() {
		for _, in := range []Instance{ready("s", seq), ready("s", 3), draining("s", seq+1), draining("s", 2)} {
			a.call(f.now, in)
			b.call(f.now, in)
		}
		seq += 2
		f.sync()
		for _, agent := range f.agents {
			state, known := agent.state("s")
			require.True(t, known)
			require.Equal(t, Gone, state)
			require.False(t, agent.lists("s"))
		}
	})
}

// Beats that come seconds late, with a lower number than the drain or with a higher one that was
// given before it was decided, undo no drain, at the agent that took it and at others.
func TestBeatsThatComeSecondsLateUndoNoDrain(t *testing.T) {
	for _, seq := range []uint64{1, 9, 10, 11, 1000} {
		t.Run(fmt.Sprint(seq), func(t *testing.T) {
			f := newFleet("a", "b", "c")
			f.agents[0].call(f.now, ready("s", 9))
			f.sync()
			f.agents[1].call(f.now, draining("s", 10))
			f.sync()
			f.run(10*time.Second, func() {
				for _, agent := range f.agents {
					agent.call(f.now, ready("s", seq))
				}
				f.sync()
				for i, agent := range f.agents {
					state, known := agent.state("s")
					require.True(t, known, "agent %d", i)
					require.Equal(t, Draining, state, "agent %d", i)
				}
			})
			f.agents[2].call(f.now, Instance{ID: "s", State: Gone})
			f.sync()
			f.agents[0].call(f.now, draining("s", seq))
			f.sync()
			for i, agent := range f.agents {
				state, _ := agent.state("s")
				assert.Equal(t, Gone, state, "agent %d", i)
			}
		})
	}
}

// A server that crashed comes back at its address under a new id: the new one is listed with its
// first beat, and the old one is off the list when its beats have been missed.
func TestACrashedServerIsListedUnderItsNewID(t *testing.T) {
	old, next := ready("s/1", 0), ready("s/2", 0)
	f := newFleet("home of the old", "home of the new")
	a, b := f.agents[0], f.agents[1]
	f.run(10*beat, f.beats(a, &old))
	f.sync()
	beats := f.beats(b, &next)
	beats()
	require.True(t, b.lists("s/2"), "at once")
	f.sync()
	require.True(t, a.lists("s/2"))
	f.run(3*beat+beat/2+tick, beats)
	f.sync()
	for i, agent := range f.agents {
		assert.True(t, agent.lists("s/2"), "agent %d", i)
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// A repeat of its last beat, or one from before, seconds late, brings it back at none.
	a.call(f.now, ready("s/1", old.Seq))
	b.call(f.now, ready("s/1", old.Seq-1))
	f.sync()
	for i, agent := range f.agents {
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// One that was lost and beats on is listed again.
	b.call(f.now, ready("s/1", old.Seq+1))
	assert.True(t, b.lists("s/1"))
}

// A server that gives no numbers is listed again, too, when it beats again.
func TestABeatWithoutNumberBringsALostServerBack(t *testing.T) {
	f := newFleet("a")
	a := f.agents[0]
	a.call(f.now, ready("s", 0))
	f.run(5*beat, nil)
	require.False(t, a.lists("s"))
	a.call(f.now, ready("s", 0))
	assert.True(t, a.lists("s"))
}
