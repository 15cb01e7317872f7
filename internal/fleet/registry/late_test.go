package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// A server that has deregistered but continues to send heartbeats leaves the list at once. It is listed
// again at no agent, whatever later calls it sends and whatever their sequence numbers.
func TestDeregisteredServerThatKeepsServing(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 5))
	fleet.syncAll()
	require.True(t, second.lists("s"))
	second.call(fleet.now, Instance{ID: "s", State: Deregistered}) // to an agent that is not its home
	require.False(t, second.lists("s"))
	fleet.syncAll()
	require.False(t, first.lists("s"))
	seq := uint64(6)
	fleet.run(30*time.Second, func() {
		for _, instance := range []Instance{ready("s", seq), ready("s", 3), draining("s", seq+1), draining("s", 2)} {
			first.call(fleet.now, instance)
			second.call(fleet.now, instance)
		}
		seq += 2
		fleet.syncAll()
		for _, agent := range fleet.agents {
			state, known := agent.state("s")
			require.True(t, known)
			require.Equal(t, Deregistered, state)
			require.False(t, agent.lists("s"))
		}
	})
}

// Heartbeats that were sent before a drain and arrive seconds after it do not undo it at any agent, whether
// their sequence numbers are lower or higher than the drain's.
func TestLateHeartbeatsUndoNoDrain(t *testing.T) {
	for _, seq := range []uint64{1, 9, 10, 11, 1000} {
		t.Run(fmt.Sprint(seq), func(t *testing.T) {
			fleet := newTestFleet("a", "b", "c")
			fleet.agents[0].call(fleet.now, ready("s", 9))
			fleet.syncAll()
			fleet.agents[1].call(fleet.now, draining("s", 10))
			fleet.syncAll()
			fleet.run(10*time.Second, func() {
				for _, agent := range fleet.agents {
					agent.call(fleet.now, ready("s", seq))
				}
				fleet.syncAll()
				for i, agent := range fleet.agents {
					state, known := agent.state("s")
					require.True(t, known, "agent %d", i)
					require.Equal(t, Draining, state, "agent %d", i)
				}
			})
			fleet.agents[2].call(fleet.now, Instance{ID: "s", State: Deregistered})
			fleet.syncAll()
			fleet.agents[0].call(fleet.now, draining("s", seq))
			fleet.syncAll()
			for i, agent := range fleet.agents {
				state, _ := agent.state("s")
				assert.Equal(t, Deregistered, state, "agent %d", i)
			}
		})
	}
}

// A server that crashed returns at the same address under a new ID. The new ID is listed after its first
// heartbeat, and the old one leaves the list after it has missed its heartbeats.
func TestCrashedServerIsListedUnderItsNewID(t *testing.T) {
	oldInstance, newInstance := ready("s/1", 0), ready("s/2", 0)
	fleet := newTestFleet("old home", "new home")
	first, second := fleet.agents[0], fleet.agents[1]
	fleet.run(10*heartbeatInterval, fleet.heartbeats(first, &oldInstance))
	fleet.syncAll()
	sendHeartbeats := fleet.heartbeats(second, &newInstance)
	sendHeartbeats()
	require.True(t, second.lists("s/2"), "listed after its first heartbeat")
	fleet.syncAll()
	require.True(t, first.lists("s/2"))
	fleet.run(3*heartbeatInterval+heartbeatInterval/2+tickInterval, sendHeartbeats)
	fleet.syncAll()
	for i, agent := range fleet.agents {
		assert.True(t, agent.lists("s/2"), "agent %d", i)
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// Its last heartbeat or an earlier one that arrives seconds late does not list it again at any agent.
	first.call(fleet.now, ready("s/1", oldInstance.Seq))
	second.call(fleet.now, ready("s/1", oldInstance.Seq-1))
	fleet.syncAll()
	for i, agent := range fleet.agents {
		assert.False(t, agent.lists("s/1"), "agent %d", i)
	}
	// An expired server that sends a new heartbeat is listed again.
	second.call(fleet.now, ready("s/1", oldInstance.Seq+1))
	assert.True(t, second.lists("s/1"))
}

// An expired server that does not number its calls is also listed again after a heartbeat.
func TestUnnumberedHeartbeatRevivesExpiredServer(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	agent.call(fleet.now, ready("s", 0))
	fleet.run(5*heartbeatInterval, nil)
	require.False(t, agent.lists("s"))
	agent.call(fleet.now, ready("s", 0))
	assert.True(t, agent.lists("s"))
}

// An agent that knows of a drain or an end never lists the server again, in whatever order the calls of
// the server and the deltas between two agents arrive.
func TestLateCallsUndoNoFinalState(t *testing.T) {
	for name, calls := range map[string][]Instance{
		"drain": {ready("s", 2), ready("s", 3), draining("s", 4)},
		"leave": {ready("s", 2), ready("s", 3), {ID: "s", State: Deregistered}},
		"both":  {ready("s", 2), draining("s", 3), {ID: "s", State: Deregistered}},
	} {
		t.Run(name, func(t *testing.T) {
			result := interleave.Explore(100, 1e6, func(run *interleave.Run) error { return newLateCalls(run, calls).play() })
			require.NoError(t, result.Err, result.Trace)
			assert.True(t, result.Exhausted, result.String())
			t.Log(result)
		})
	}
	result := interleave.Explore(100, 1e6, func(run *interleave.Run) error {
		defective := newLateCalls(run, []Instance{ready("s", 2), draining("s", 3)})
		defective.forgetful = true
		return defective.play()
	})
	assert.Error(t, result.Err, "agents that forget final states have to be detected")
}

// lateCalls is one order of the calls of server "s" to two agents, and of their replication.
type lateCalls struct {
	run       *interleave.Run
	fleet     *testFleet
	remaining []addressedCall
	syncs     []int  // by agent: the remaining syncs from the other agent
	final     []bool // by agent: whether it knows of a final state
	forgetful bool   // a seeded defect: agents forget final states
}

// addressedCall is a call of a server to one agent.
type addressedCall struct {
	instance Instance
	to       int
}

func newLateCalls(run *interleave.Run, calls []Instance) *lateCalls {
	l := &lateCalls{run: run, fleet: newTestFleet("a", "b"), syncs: []int{2, 1}, final: []bool{false, false}}
	l.fleet.agents[0].call(l.fleet.now, ready("s", 1))
	l.fleet.syncAll()
	for _, instance := range calls {
		l.remaining = append(l.remaining, addressedCall{instance, run.Choose(2)})
	}
	return l
}

// play performs all steps in the order that the run chooses, and returns an error if an agent lists the
// server again.
func (l *lateCalls) play() error {
	for {
		steps := l.enabledSteps()
		if len(steps) == 0 {
			break
		}
		steps[l.run.Choose(len(steps))]()
		for i, agent := range l.fleet.agents {
			agent.tick(l.fleet.now)
			if l.final[i] && agent.lists("s") {
				return fmt.Errorf("agent %d lists the server after it knew of its final state", i)
			}
		}
	}
	l.fleet.syncAll()
	for i, agent := range l.fleet.agents {
		if agent.lists("s") {
			return fmt.Errorf("agent %d lists the server after the last sync", i)
		}
	}
	return nil
}

// enabledSteps returns the possible next steps: any remaining call, and any remaining sync of an agent.
func (l *lateCalls) enabledSteps() (steps []func()) {
	for i := range l.remaining {
		steps = append(steps, func() { l.deliver(i) })
	}
	for to := range l.syncs {
		if l.syncs[to] > 0 {
			steps = append(steps, func() { l.sync(to) })
		}
	}
	return steps
}

func (l *lateCalls) deliver(i int) {
	call := l.remaining[i]
	l.remaining = append(l.remaining[:i:i], l.remaining[i+1:]...)
	agent := l.fleet.agents[call.to]
	agent.call(l.fleet.now, call.instance)
	if call.instance.State == Ready {
		return
	}
	l.final[call.to] = true
	if l.forgetful {
		delete(agent.entries, "s")
		delete(agent.local, "s")
	}
}

func (l *lateCalls) sync(to int) {
	l.fleet.agents[to].syncFrom(l.fleet.now, l.fleet.agents[1-to])
	l.final[to] = l.final[to] || l.final[1-to]
	l.syncs[to]--
}

// A late call does not keep a server listed that no longer sends heartbeats.
func TestLateCallIsNoHeartbeat(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	fleet.run(5*heartbeatInterval, fleet.heartbeats(agent, &instance))
	fleet.run(10*heartbeatInterval, func() { agent.call(fleet.now, ready("s", 2)) })
	assert.False(t, agent.lists("s"))
}
