package registry

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/interleave"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	tickInterval      = 200 * time.Millisecond
)

// testAgent is a table with the replicated items of its agent.
type testAgent struct {
	*Table
	store        *deltasync.Store
	incarnations int
}

func newTestAgent(name string) *testAgent {
	return &testAgent{Table: NewTable(name, heartbeatInterval), store: deltasync.NewStore(name)}
}

func (a *testAgent) publish(instance *Instance) {
	if instance != nil {
		data, err := msgpack.Marshal(instance)
		if err != nil {
			panic(err)
		}
		a.store.Put(instance.ID, data)
	}
}

func (a *testAgent) call(now time.Duration, instance Instance) {
	if instance.State == Deregistered {
		update, _ := a.Deregister(now, instance.ID)
		a.publish(update)
		return
	}
	update, _ := a.Heartbeat(now, &instance)
	a.publish(update)
}

func (a *testAgent) tick(now time.Duration) {
	updates, withdrawn := a.Tick(now)
	for _, instance := range updates {
		a.publish(instance)
	}
	for _, id := range withdrawn {
		a.store.Put(id, nil)
	}
}

// syncFrom applies what another agent has.
func (a *testAgent) syncFrom(now time.Duration, from *testAgent) {
	for _, c := range a.store.Apply(from.store.DeltasSince(a.store.Vector())) {
		if c.Item.Data == nil {
			a.Withdraw(now, c.Source, c.Item.Key)
			continue
		}
		instance := new(Instance)
		if err := msgpack.Unmarshal(c.Item.Data, instance); err != nil {
			panic(err)
		}
		a.Report(now, c.Source, instance)
	}
}

// endSource ends the source of another agent.
func (a *testAgent) endSource(now time.Duration, source string) {
	if source != a.store.OwnSource() && a.store.Version(source) > 0 {
		a.store.EndSource(source)
		a.SourceEnded(now, source)
	}
}

// startIncarnation continues as a new incarnation.
func (a *testAgent) startIncarnation(now time.Duration) {
	a.incarnations++
	a.store.StartIncarnation(fmt.Sprint(a.store.OwnSource(), ".", a.incarnations))
	a.RenameOwnSource(now, a.store.OwnSource())
}

func (a *testAgent) lists(id string) bool { return a.List().ByID[id] != nil }

// state returns the state of an instance, or false if nothing is known of it.
func (a *testAgent) state(id string) (State, bool) {
	for _, v := range a.Views(1 << 40) {
		if v.ID == id {
			return v.State, true
		}
	}
	return 0, false
}

func ready(id string, seq uint64) Instance {
	return Instance{ID: id, Service: "llm", Addr: "10.0.0.1:80", Zone: "z", Slots: 8, Seq: seq}
}

func draining(id string, seq uint64) Instance {
	instance := ready(id, seq)
	instance.State = Draining
	return instance
}

// testFleet is agents with a common clock.
type testFleet struct {
	agents []*testAgent
	now    time.Duration
}

func newTestFleet(names ...string) *testFleet {
	fleet := &testFleet{now: time.Second}
	for _, name := range names {
		fleet.agents = append(fleet.agents, newTestAgent(name))
	}
	return fleet
}

// syncAll replicates everything to all agents.
func (f *testFleet) syncAll() {
	for range 2 {
		for _, to := range f.agents {
			for _, from := range f.agents {
				if to != from {
					to.syncFrom(f.now, from)
				}
			}
		}
	}
}

// run ticks all agents for a duration and calls each before every tick.
func (f *testFleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; {
		f.now += tickInterval
		if each != nil {
			each()
		}
		for _, a := range f.agents {
			a.tick(f.now)
		}
	}
}

// heartbeats returns a function that calls an agent whenever a heartbeat is due.
func (f *testFleet) heartbeats(a *testAgent, instance *Instance) func() {
	next := f.now
	return func() {
		if f.now >= next {
			next += heartbeatInterval
			instance.Seq++
			a.call(f.now, *instance)
		}
	}
}

// In whatever order the calls of a server, late ones too, and the deltas between two agents arrive: an
// agent that knows of a drain or an end never lists the server again.
func TestLateCallsUndoNoFinalState(t *testing.T) {
	type call struct {
		in Instance
		to int
	}
	forgetful := false // a seeded defect
	play := func(calls ...Instance) func(*interleave.Run) error {
		return func(run *interleave.Run) error {
			fleet := newTestFleet("a", "b")
			fleet.agents[0].call(fleet.now, ready("s", 1))
			fleet.syncAll()
			var remaining []call
			for _, instance := range calls {
				remaining = append(remaining, call{instance, run.Choose(2)})
			}
			syncs := []int{2, 1}
			final := []bool{false, false}
			for {
				var enabled []func()
				for i, pending := range remaining {
					enabled = append(enabled, func() {
						fleet.agents[pending.to].call(fleet.now, pending.in)
						if pending.in.State != Ready {
							final[pending.to] = true
							if forgetful {
								delete(fleet.agents[pending.to].entries, "s")
								delete(fleet.agents[pending.to].local, "s")
							}
						}
						remaining = append(remaining[:i:i], remaining[i+1:]...)
					})
				}
				for to := range syncs {
					if syncs[to] > 0 {
						enabled = append(enabled, func() {
							fleet.agents[to].syncFrom(fleet.now, fleet.agents[1-to])
							final[to] = final[to] || final[1-to]
							syncs[to]--
						})
					}
				}
				if len(enabled) == 0 {
					break
				}
				enabled[run.Choose(len(enabled))]()
				for i, agent := range fleet.agents {
					agent.tick(fleet.now)
					if final[i] && agent.lists("s") {
						return fmt.Errorf("agent %d lists what it knew to end", i)
					}
				}
			}
			fleet.syncAll()
			for i, agent := range fleet.agents {
				if agent.lists("s") {
					return fmt.Errorf("agent %d lists it at the end", i)
				}
			}
			return nil
		}
	}
	for name, calls := range map[string][]Instance{
		"drain": {ready("s", 2), ready("s", 3), draining("s", 4)},
		"leave": {ready("s", 2), ready("s", 3), {ID: "s", State: Deregistered}},
		"both":  {ready("s", 2), draining("s", 3), {ID: "s", State: Deregistered}},
	} {
		t.Run(name, func(t *testing.T) {
			result := interleave.Explore(100, 1e6, play(calls...))
			require.NoError(t, result.Err, result.Trace)
			assert.True(t, result.Exhausted, result.String())
			t.Log(result)
		})
	}
	forgetful = true
	result := interleave.Explore(100, 1e6, play(ready("s", 2), draining("s", 3)))
	assert.Error(t, result.Err, "an agent that forgets final states is found")
}

// Several servers call several agents in any order, late calls too; agents replicate to each other, end,
// start new incarnations and fall behind. A server that is known to drain or to have ended is never
// listed again. In the end all agents list exactly the servers that send heartbeats, and forget the
// others.
func TestTablesOfSeveralAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newTestFleet("a", "b", "c")
		ids := []string{"s0", "s1", "s2"}
		seq := map[string]uint64{}
		hasEnded := map[string]bool{}                 // has reported that it drains or ends
		var inFlight []Instance                       // calls in flight
		finalStates := []map[string]State{{}, {}, {}} // by agent: final states
		drawAgent := rapid.IntRange(0, 2)
		drawID := rapid.SampledFrom(ids)
		start := fleet.now
		t.Repeat(map[string]func(*rapid.T){
			"beat": func(t *rapid.T) {
				id := drawID.Draw(t, "server")
				seq[id]++
				instance := ready(id, seq[id])
				if hasEnded[id] {
					instance.State = Draining
				}
				if rapid.Bool().Draw(t, "late") {
					inFlight = append(inFlight, instance)
					return
				}
				fleet.agents[drawAgent.Draw(t, "at")].call(fleet.now, instance)
			},
			"drain": func(t *rapid.T) {
				id, at := drawID.Draw(t, "server"), drawAgent.Draw(t, "at")
				seq[id]++
				hasEnded[id] = true
				fleet.agents[at].call(fleet.now, draining(id, seq[id]))
				state, ok := fleet.agents[at].state(id)
				require.True(t, ok && state >= Draining, "%s at %d: %v", id, at, state)
			},
			"leave": func(t *rapid.T) {
				id, at := drawID.Draw(t, "server"), drawAgent.Draw(t, "at")
				seq[id]++
				hasEnded[id] = true
				fleet.agents[at].call(fleet.now, Instance{ID: id, State: Deregistered})
				state, ok := fleet.agents[at].state(id)
				require.True(t, ok && state == Deregistered, "%s at %d: %v", id, at, state)
			},
			"arrive": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip()
				}
				fleet.agents[drawAgent.Draw(t, "at")].call(fleet.now, rapid.SampledFrom(inFlight).Draw(t, "call"))
			},
			"pull": func(t *rapid.T) {
				fleet.agents[drawAgent.Draw(t, "to")].syncFrom(fleet.now, fleet.agents[drawAgent.Draw(t, "from")])
			},
			"end": func(t *rapid.T) {
				fleet.agents[drawAgent.Draw(t, "at")].endSource(fleet.now, fleet.agents[drawAgent.Draw(t, "of")].store.OwnSource())
			},
			"rebase": func(t *rapid.T) { fleet.agents[drawAgent.Draw(t, "agent")].startIncarnation(fleet.now) },
			"time": func(t *rapid.T) {
				if fleet.now-start < tombstoneRetention-5*time.Second {
					fleet.run(time.Duration(rapid.IntRange(1, 25).Draw(t, "ticks"))*tickInterval, nil)
				}
			},
			"freeze": func(t *rapid.T) {
				if fleet.now-start < tombstoneRetention-5*time.Second {
					fleet.now += 3 * time.Second
				}
			},
			"": func(t *rapid.T) {
				for i, agent := range fleet.agents {
					for _, id := range ids {
						state, ok := agent.state(id)
						if was, is := finalStates[i][id]; is {
							require.True(t, ok && state >= was, "%s at %d: %v after %v", id, i, state, was)
							require.False(t, agent.lists(id))
						}
						if ok && state >= Draining {
							finalStates[i][id] = state
						}
					}
					for id := range agent.local {
						require.Contains(t, agent.entries, id)
					}
				}
			},
		})
		// In the end some continue to send heartbeats; an agent that others ended continues as a new incarnation.
		selves := map[string]bool{}
		for _, agent := range fleet.agents {
			agent.startIncarnation(fleet.now)
			selves[agent.store.OwnSource()] = true
		}
		for _, agent := range fleet.agents {
			for _, source := range agent.store.Sources() {
				if !selves[source] {
					agent.endSource(fleet.now, source)
				}
			}
		}
		fleet.syncAll()
		alive := map[string]bool{}
		var each []func()
		for _, id := range ids {
			state := Ready
			for _, agent := range fleet.agents {
				if is, ok := agent.state(id); ok {
					state = max(state, is)
				}
			}
			if state < Draining && !hasEnded[id] && rapid.Bool().Draw(t, "alive") {
				alive[id] = true
				instance := ready(id, seq[id]+uint64(len(inFlight)))
				each = append(each, fleet.heartbeats(fleet.agents[drawAgent.Draw(t, "home")], &instance))
			}
		}
		check := func() {
			for i, agent := range fleet.agents {
				for _, id := range ids {
					require.Equal(t, alive[id], agent.lists(id), "%s at %d", id, i)
				}
			}
		}
		next := fleet.now
		all := func() {
			for _, e := range each {
				e()
			}
			if fleet.now >= next {
				next += heartbeatInterval
				fleet.syncAll()
			}
		}
		fleet.run(15*heartbeatInterval, all)
		check()
		fleet.run(2*tombstoneRetention, all)
		check()
		for i, agent := range fleet.agents {
			require.Len(t, agent.entries, len(alive), "agent %d retains what has ended", i)
			require.LessOrEqual(t, len(agent.local), len(alive))
		}
	})
}

// A home expires a server by its own clock, after three and a half heartbeat intervals without one.
func TestExpiryByTheClockOfTheHomeAgent(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	instance := ready("s", 0)
	fleet.run(10*heartbeatInterval, fleet.heartbeats(first, &instance))
	second.syncFrom(fleet.now, first)
	require.True(t, first.lists("s"))
	// Heartbeats that change nothing are not replicated.
	fleet.run(time.Minute, fleet.heartbeats(first, &instance))
	require.True(t, second.lists("s"), "a partition between agents empties no list")
	fleet.run(3*heartbeatInterval, nil)
	require.True(t, first.lists("s"))
	fleet.run(heartbeatInterval+tickInterval, nil)
	require.False(t, first.lists("s"))
	require.True(t, second.lists("s"))
	second.syncFrom(fleet.now, first)
	require.False(t, second.lists("s"))
	// A heartbeat revives it, at whatever agent; an earlier one does not.
	second.call(fleet.now, ready("s", instance.Seq-1))
	require.False(t, second.lists("s"))
	second.call(fleet.now, ready("s", instance.Seq+1))
	require.True(t, second.lists("s"))
	first.syncFrom(fleet.now, second)
	require.True(t, first.lists("s"))
}

// A late call does not renew a server that sends no heartbeats.
func TestLateCallIsNoHeartbeat(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	fleet.run(5*heartbeatInterval, fleet.heartbeats(agent, &instance))
	fleet.run(10*heartbeatInterval, func() { agent.call(fleet.now, ready("s", 2)) })
	assert.False(t, agent.lists("s"))
}

// A home that was frozen received no heartbeats, and expires nobody for that.
func TestFrozenAgentExpiresNobody(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
	fleet.now += time.Minute
	agent.tick(fleet.now)
	require.True(t, agent.lists("s"))
	fleet.run(3*heartbeatInterval, nil)
	require.True(t, agent.lists("s"))
	fleet.run(heartbeatInterval, nil)
	require.False(t, agent.lists("s"))
}

// The servers of an agent that has ended are retained for four heartbeat intervals, in which they call
// another agent.
func TestOrphansAreRetainedForFourHeartbeats(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	for _, s := range []string{"stays", "dies", "drains"} {
		first.call(fleet.now, ready(s, 1))
	}
	first.call(fleet.now, draining("drains", 2))
	second.syncFrom(fleet.now, first)
	fleet.agents = fleet.agents[1:]
	second.endSource(fleet.now, "a")
	fleet.run(4*heartbeatInterval-tickInterval, nil)
	require.True(t, second.lists("stays"))
	require.True(t, second.lists("dies"))
	instance := ready("stays", 5)
	fleet.run(4*tickInterval, fleet.heartbeats(second, &instance))
	assert.True(t, second.lists("stays"))
	assert.False(t, second.lists("dies"))
	state, ok := second.state("drains")
	assert.True(t, ok && state == Draining, "a final state outlives its source")
	assert.Empty(t, second.store.DeltasSince(deltasync.Vector{"b": 1}), "nothing but the server that called is published")
}

// A freeze does not count against orphans: their next calls may not have been received in it.
func TestOrphansOutliveAFreeze(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 1))
	second.syncFrom(fleet.now, first)
	fleet.agents = fleet.agents[1:]
	second.endSource(fleet.now, "a")
	fleet.run(heartbeatInterval, nil)
	fleet.now += time.Minute
	second.tick(fleet.now)
	fleet.run(2*heartbeatInterval, nil)
	assert.True(t, second.lists("s"))
	fleet.run(2*heartbeatInterval, nil)
	assert.False(t, second.lists("s"))
}

// Two agents end; the server that both report is dropped with the later one.
func TestOrphansOfTwoAgents(t *testing.T) {
	fleet := newTestFleet("a", "b", "c")
	first, second, third := fleet.agents[0], fleet.agents[1], fleet.agents[2]
	first.call(fleet.now, ready("s", 1))
	second.call(fleet.now, ready("s", 2))
	fleet.syncAll()
	fleet.agents = fleet.agents[2:]
	third.endSource(fleet.now, "b")
	fleet.run(2*heartbeatInterval, nil)
	third.endSource(fleet.now, "a")
	fleet.run(3*heartbeatInterval, nil)
	assert.True(t, third.lists("s"))
	fleet.run(2*heartbeatInterval, nil)
	assert.False(t, third.lists("s"))
	fleet.run(tickInterval, nil)
	assert.Empty(t, third.entries)
}

// A server that moved and then crashed with its new home is not retained by the report of its old home.
func TestMovedServerExpiresWithItsNewHome(t *testing.T) {
	fleet := newTestFleet("a", "b", "c")
	first, second, third := fleet.agents[0], fleet.agents[1], fleet.agents[2]
	first.call(fleet.now, ready("s", 1))
	fleet.syncAll()
	second.call(fleet.now, ready("s", 2))
	fleet.syncAll()
	fleet.run(tickInterval, nil)
	assert.Zero(t, first.LocalCount())
	assert.Equal(t, 1, second.LocalCount())
	fleet.agents = []*testAgent{first, third}
	first.endSource(fleet.now, "b")
	third.endSource(fleet.now, "b")
	fleet.run(2*heartbeatInterval, fleet.syncAll)
	assert.True(t, third.lists("s"), "it may yet call another agent")
	fleet.run(20*heartbeatInterval, fleet.syncAll)
	assert.False(t, first.lists("s"))
	assert.False(t, third.lists("s"))
	assert.Empty(t, first.entries)
	assert.Empty(t, third.entries)
}

// A late call makes another agent the owner briefly; the home that has received newer ones still reports
// when the server expires.
func TestHomeAgentReportsExpiryAfterALateCall(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	instance := ready("s", 0)
	fleet.run(20*heartbeatInterval, fleet.heartbeats(first, &instance))
	fleet.syncAll()
	second.call(fleet.now, ready("s", 3)) // late: only the first call was replicated
	fleet.syncAll()
	fleet.agents = fleet.agents[:1] // the other agent takes no part
	fleet.run(5*heartbeatInterval, nil)
	assert.False(t, first.lists("s"))
	second.syncFrom(fleet.now, first)
	assert.False(t, second.lists("s"))
}

// A server that moves is listed all the time.
func TestMovingServersStayListed(t *testing.T) {
	fleet := newTestFleet("a", "b", "c")
	instance := ready("s", 0)
	fleet.agents[0].call(fleet.now, instance)
	fleet.syncAll()
	for i := range 30 {
		agent := fleet.agents[i%3]
		fleet.run(heartbeatInterval, func() {
			fleet.syncAll()
			for _, agent := range fleet.agents {
				require.True(t, agent.lists("s"))
			}
		})
		instance.Seq++
		agent.call(fleet.now, instance)
	}
	fleet.syncAll()
	fleet.run(tickInterval, nil)
	homes := 0
	for _, agent := range fleet.agents {
		homes += agent.LocalCount()
	}
	assert.Equal(t, 1, homes)
}

// Servers from disk are listed until their next heartbeats are due, and all other reports supersede them.
func TestRestore(t *testing.T) {
	fleet := newTestFleet("a", "b")
	agent := fleet.agents[0]
	for _, s := range []string{"back", "dies", "drained"} {
		instance := ready(s, 7)
		require.True(t, agent.Restore(fleet.now, &instance))
		require.False(t, agent.Restore(fleet.now, &instance), "it is known")
		agent.publish(&instance)
	}
	agent.call(fleet.now, draining("drained", 9))
	fleet.syncAll()
	sendHeartbeats := ready("back", 8)
	fleet.run(2*heartbeatInterval, func() { fleet.syncAll() })
	assert.True(t, fleet.agents[1].lists("dies"), "two heartbeat intervals are a chance to call again")
	each := fleet.heartbeats(agent, &sendHeartbeats)
	fleet.run(2*heartbeatInterval, func() { each(); fleet.syncAll() })
	for i, agent := range fleet.agents {
		assert.True(t, agent.lists("back"), "%d", i)
		assert.False(t, agent.lists("dies"), "%d", i)
		assert.False(t, agent.lists("drained"), "%d", i)
	}
	instance := ready("back", 7)
	assert.False(t, fleet.agents[1].Restore(fleet.now, &instance))
}

// It expires at the same age whenever the process started.
func TestRestoredInstanceExpires(t *testing.T) {
	for _, start := range []time.Duration{1, time.Second, time.Hour} {
		t.Run(start.String(), func(t *testing.T) {
			fleet := newTestFleet("a")
			fleet.now = start
			instance := ready("s", 7)
			require.True(t, fleet.agents[0].Restore(fleet.now, &instance))
			fleet.run(restoredHeartbeats*heartbeatInterval-tickInterval, nil)
			assert.True(t, fleet.agents[0].lists("s"), "%v", start)
			fleet.run(2*tickInterval, nil)
			assert.False(t, fleet.agents[0].lists("s"), "%v", start)
		})
	}
}

// A new incarnation retains its servers, their homes and the final states that it reported.
func TestRenameOwnSource(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 1))
	first.call(fleet.now, draining("d", 1))
	fleet.syncAll()
	first.startIncarnation(fleet.now)
	update := first.store.OwnVersion()
	first.call(fleet.now, ready("s", 2))
	assert.Equal(t, update, first.store.OwnVersion(), "it is published already")
	second.endSource(fleet.now, "a")
	fleet.syncAll()
	instance := ready("s", 2)
	fleet.run(10*heartbeatInterval, fleet.heartbeats(first, &instance))
	for _, agent := range fleet.agents {
		assert.True(t, agent.lists("s"))
		assert.False(t, agent.lists("d"))
		assert.Len(t, agent.entries["s"].reports, 1)
	}
	assert.Equal(t, "a.1", first.entries["s"].owner)
	assert.Equal(t, 1, first.LocalCount())
	fleet.run(10*heartbeatInterval, fleet.syncAll)
	assert.False(t, second.lists("s"))
}

// It is remembered for tombstoneRetention that an instance drained or ended, and not for ever.
func TestTombstones(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	first.call(fleet.now, ready("s", 5))
	first.call(fleet.now, draining("s", 6))
	second.call(fleet.now, Instance{ID: "unknown", State: Deregistered})
	fleet.syncAll()
	update := first.store.OwnVersion()
	first.call(fleet.now, ready("s", 7))
	second.call(fleet.now, ready("s", 7))
	assert.Equal(t, update, first.store.OwnVersion(), "late calls are not published either")
	assert.Equal(t, uint64(1), second.store.OwnVersion())
	fleet.run(tombstoneRetention-heartbeatInterval, func() {
		first.call(fleet.now, ready("s", 7))
		second.call(fleet.now, ready("s", 8))
		second.call(fleet.now, draining("s", 2))
		first.call(fleet.now, ready("unknown", 9))
		fleet.syncAll()
		for _, agent := range fleet.agents {
			require.Empty(t, agent.List().ByID)
		}
	})
	fleet.run(tombstoneRetention, fleet.syncAll)
	for _, agent := range fleet.agents {
		assert.Empty(t, agent.entries)
		assert.Zero(t, agent.LocalCount())
	}
	for _, d := range first.store.DeltasSince(nil) {
		for _, it := range d.Items {
			assert.Nil(t, it.Data, it.Key)
		}
	}
}

// A drain is remembered from when it was reported, also of a server that had expired long before.
func TestTombstoneOfAnExpiredServer(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	agent.call(fleet.now, ready("s", 1))
	fleet.run(tombstoneRetention, nil)
	state, ok := agent.state("s")
	require.True(t, ok && state == Expired)
	agent.call(fleet.now, draining("s", 9))
	fleet.run(tombstoneRetention-heartbeatInterval, nil)
	agent.call(fleet.now, ready("s", 8))
	assert.False(t, agent.lists("s"))
}

// A server that was revived expires again.
func TestRevivedServerExpiresAgain(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	for range 30 { // longer than tombstoneRetention
		fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
		require.True(t, agent.lists("s"))
		fleet.run(5*heartbeatInterval, nil)
		require.False(t, agent.lists("s"))
		_, ok := agent.state("s")
		require.True(t, ok)
	}
}

// The table is bounded, whatever adds to it.
func TestInstancesAreBounded(t *testing.T) {
	fleet := newTestFleet("a", "b")
	first, second := fleet.agents[0], fleet.agents[1]
	for i := range 2 * maxInstances {
		switch instance := ready(fmt.Sprint("s", i), 1); i % 4 {
		case 0:
			first.call(fleet.now, instance)
		case 1:
			first.Report(fleet.now, "x", &instance)
		case 2:
			first.call(fleet.now, Instance{ID: instance.ID, State: Deregistered})
		case 3:
			first.Restore(fleet.now, &instance)
		}
	}
	assert.Len(t, first.entries, maxInstances)
	assert.LessOrEqual(t, first.LocalCount(), maxInstances)
	second.syncFrom(fleet.now, first)
	fleet.agents = fleet.agents[:1]
	first.SourceEnded(fleet.now, "x")
	fleet.run(10*heartbeatInterval, nil)
	assert.Empty(t, first.List().ByID)
	fleet.run(tombstoneRetention, nil)
	assert.Empty(t, first.entries)
	assert.Empty(t, first.local)
	first.call(fleet.now, ready("late", 1))
	assert.True(t, first.lists("late"), "there is capacity again")
}

func TestValid(t *testing.T) {
	for name, spoil := range map[string]func(*Instance){
		"no ID":            func(instance *Instance) { instance.ID = "" },
		"huge ID":          func(instance *Instance) { instance.ID = strings.Repeat("x", 1<<20) },
		"huge service":     func(instance *Instance) { instance.Service = strings.Repeat("x", 1<<20) },
		"huge address":     func(instance *Instance) { instance.Addr = strings.Repeat("x", 1<<20) },
		"huge zone":        func(instance *Instance) { instance.Zone = strings.Repeat("x", 1<<20) },
		"huge revision":    func(instance *Instance) { instance.Revision = strings.Repeat("x", 1<<20) },
		"unknown state":    func(instance *Instance) { instance.State = Deregistered + 1 },
		"negative slots":   func(instance *Instance) { instance.Slots = -1 },
		"absurd slots":     func(instance *Instance) { instance.Slots = math.MaxInt },
		"negative warm-up": func(instance *Instance) { instance.WarmUp = -1 },
		"endless warm-up":  func(instance *Instance) { instance.WarmUp = math.MaxInt64 },
		"too many models":  func(instance *Instance) { instance.Models = make([]Model, 1<<16) },
		"huge model":       func(instance *Instance) { instance.Models = []Model{{Name: strings.Repeat("x", 1<<20)}} },
	} {
		t.Run(name, func(t *testing.T) {
			instance := ready("s", 1)
			instance.Models = []Model{{"m", 1}}
			require.True(t, instance.Valid())
			spoil(&instance)
			assert.False(t, instance.Valid())
		})
	}
	ended := Instance{ID: "s", State: Deregistered}
	assert.True(t, ended.Valid(), "an end needs no more than the ID")
}

// A list is immutable and changes only with its version.
func TestListsAreImmutable(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	empty := agent.List()
	agent.call(fleet.now, ready("s2", 1))
	agent.call(fleet.now, ready("s1", 1))
	instance := ready("s0", 1)
	instance.Service = "other"
	agent.call(fleet.now, instance)
	first := agent.List()
	assert.Same(t, first, agent.List())
	assert.Greater(t, first.Version, empty.Version)
	agent.call(fleet.now, ready("s1", 2)) // a heartbeat that changes nothing
	assert.Same(t, first, agent.List())
	agent.call(fleet.now, draining("s2", 2))
	assert.Empty(t, empty.ByID)
	assert.Len(t, first.ByID, 3)
	assert.Equal(t, []string{"s1", "s2"}, []string{first.ByService["llm"][0].ID, first.ByService["llm"][1].ID})
	second := agent.List()
	assert.Greater(t, second.Version, first.Version)
	assert.Len(t, second.ByService["llm"], 1)
	assert.Len(t, second.ByService["other"], 1)
	views := agent.Views(fleet.now + heartbeatInterval)
	require.Len(t, views, 3)
	assert.Equal(t, View{Instance: views[1].Instance, Owner: "a", Local: true, SinceHeartbeat: heartbeatInterval}, views[1])
	assert.Equal(t, "s1", views[1].ID)
}

// Changes of a server are published, repetitions are not.
func TestOnlyChangesArePublished(t *testing.T) {
	fleet := newTestFleet("a")
	agent := fleet.agents[0]
	instance := ready("s", 0)
	fleet.run(time.Minute, fleet.heartbeats(agent, &instance))
	assert.Equal(t, uint64(1), agent.store.OwnVersion())
	instance.WarmUp = time.Second // passes by itself
	fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
	assert.Equal(t, uint64(1), agent.store.OwnVersion())
	instance.Models = []Model{{"m", 2}}
	fleet.run(heartbeatInterval, fleet.heartbeats(agent, &instance))
	assert.Equal(t, uint64(2), agent.store.OwnVersion())
	assert.Equal(t, instance.Models, agent.List().ByID["s"].Models)
}

// A full table rejects calls of unknown servers, and takes those of the servers in it.
func TestFullTableRejectsUnknownServers(t *testing.T) {
	agent := newTestAgent("a")
	now := time.Second
	known := ready("known", 1)
	_, err := agent.Heartbeat(now, &known)
	require.NoError(t, err)
	for i := range maxInstances - 1 {
		instance := ready(fmt.Sprint("s", i), 1)
		require.True(t, agent.Report(now, "x", &instance))
	}
	late, drains := ready("late", 1), draining("late", 2)
	_, err = agent.Heartbeat(now, &late)
	require.ErrorIs(t, err, ErrFull)
	_, err = agent.Heartbeat(now, &drains)
	require.ErrorIs(t, err, ErrFull, "its end would be lost")
	_, err = agent.Deregister(now, "late")
	require.ErrorIs(t, err, ErrFull)
	require.False(t, agent.Report(now, "x", &late))
	assert.Len(t, agent.entries, maxInstances)
	known = ready("known", 2)
	_, err = agent.Heartbeat(now, &known)
	require.NoError(t, err)
	update, err := agent.Deregister(now, "known")
	require.NoError(t, err)
	assert.Equal(t, Deregistered, update.State)
	_, err = agent.Deregister(now, "s0")
	require.NoError(t, err)
	assert.False(t, agent.lists("s0"))
}
