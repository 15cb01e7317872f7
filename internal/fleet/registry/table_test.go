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

func (a *testAgent) publish(in *Instance) {
	if in != nil {
		data, err := msgpack.Marshal(in)
		if err != nil {
			panic(err)
		}
		a.store.Put(in.ID, data)
	}
}

func (a *testAgent) call(now time.Duration, in Instance) {
	if in.State == Deregistered {
		told, _ := a.Deregister(now, in.ID)
		a.publish(told)
		return
	}
	told, _ := a.Heartbeat(now, &in)
	a.publish(told)
}

func (a *testAgent) tick(now time.Duration) {
	tell, untell := a.Tick(now)
	for _, in := range tell {
		a.publish(in)
	}
	for _, id := range untell {
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
		in := new(Instance)
		if err := msgpack.Unmarshal(c.Item.Data, in); err != nil {
			panic(err)
		}
		a.Report(now, c.Source, in)
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
	in := ready(id, seq)
	in.State = Draining
	return in
}

// testFleet is agents with a common clock.
type testFleet struct {
	agents []*testAgent
	now    time.Duration
}

func newTestFleet(names ...string) *testFleet {
	f := &testFleet{now: time.Second}
	for _, name := range names {
		f.agents = append(f.agents, newTestAgent(name))
	}
	return f
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
func (f *testFleet) heartbeats(a *testAgent, in *Instance) func() {
	next := f.now
	return func() {
		if f.now >= next {
			next += heartbeatInterval
			in.Seq++
			a.call(f.now, *in)
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
		return func(r *interleave.Run) error {
			f := newTestFleet("a", "b")
			f.agents[0].call(f.now, ready("s", 1))
			f.syncAll()
			var left []call
			for _, in := range calls {
				left = append(left, call{in, r.Choose(2)})
			}
			syncs := []int{2, 1}
			final := []bool{false, false}
			for {
				var able []func()
				for i, c := range left {
					able = append(able, func() {
						f.agents[c.to].call(f.now, c.in)
						if c.in.State != Ready {
							final[c.to] = true
							if forgetful {
								delete(f.agents[c.to].entries, "s")
								delete(f.agents[c.to].local, "s")
							}
						}
						left = append(left[:i:i], left[i+1:]...)
					})
				}
				for to := range syncs {
					if syncs[to] > 0 {
						able = append(able, func() {
							f.agents[to].syncFrom(f.now, f.agents[1-to])
							final[to] = final[to] || final[1-to]
							syncs[to]--
						})
					}
				}
				if len(able) == 0 {
					break
				}
				able[r.Choose(len(able))]()
				for i, a := range f.agents {
					a.tick(f.now)
					if final[i] && a.lists("s") {
						return fmt.Errorf("agent %d lists what it knew to end", i)
					}
				}
			}
			f.syncAll()
			for i, a := range f.agents {
				if a.lists("s") {
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
			res := interleave.Explore(100, 1e6, play(calls...))
			require.NoError(t, res.Err, res.Trace)
			assert.True(t, res.Exhausted, res.String())
			t.Log(res)
		})
	}
	forgetful = true
	res := interleave.Explore(100, 1e6, play(ready("s", 2), draining("s", 3)))
	assert.Error(t, res.Err, "an agent that forgets final states is found")
}

// Several servers call several agents in any order, late calls too; agents replicate to each other, end,
// start new incarnations and fall behind. A server that is known to drain or to have ended is never
// listed again. In the end all agents list exactly the servers that send heartbeats, and forget the
// others.
func TestTablesOfSeveralAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet("a", "b", "c")
		ids := []string{"s0", "s1", "s2"}
		seq := map[string]uint64{}
		ends := map[string]bool{}               // has reported that it drains or ends
		var late []Instance                     // calls in flight
		known := []map[string]State{{}, {}, {}} // by agent: final states
		agent := rapid.IntRange(0, 2)
		id := rapid.SampledFrom(ids)
		start := f.now
		t.Repeat(map[string]func(*rapid.T){
			"beat": func(t *rapid.T) {
				s := id.Draw(t, "server")
				seq[s]++
				in := ready(s, seq[s])
				if ends[s] {
					in.State = Draining
				}
				if rapid.Bool().Draw(t, "late") {
					late = append(late, in)
					return
				}
				f.agents[agent.Draw(t, "at")].call(f.now, in)
			},
			"drain": func(t *rapid.T) {
				s, at := id.Draw(t, "server"), agent.Draw(t, "at")
				seq[s]++
				ends[s] = true
				f.agents[at].call(f.now, draining(s, seq[s]))
				st, ok := f.agents[at].state(s)
				require.True(t, ok && st >= Draining, "%s at %d: %v", s, at, st)
			},
			"leave": func(t *rapid.T) {
				s, at := id.Draw(t, "server"), agent.Draw(t, "at")
				seq[s]++
				ends[s] = true
				f.agents[at].call(f.now, Instance{ID: s, State: Deregistered})
				st, ok := f.agents[at].state(s)
				require.True(t, ok && st == Deregistered, "%s at %d: %v", s, at, st)
			},
			"arrive": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				f.agents[agent.Draw(t, "at")].call(f.now, rapid.SampledFrom(late).Draw(t, "call"))
			},
			"pull": func(t *rapid.T) {
				f.agents[agent.Draw(t, "to")].syncFrom(f.now, f.agents[agent.Draw(t, "from")])
			},
			"end": func(t *rapid.T) {
				f.agents[agent.Draw(t, "at")].endSource(f.now, f.agents[agent.Draw(t, "of")].store.OwnSource())
			},
			"rebase": func(t *rapid.T) { f.agents[agent.Draw(t, "agent")].startIncarnation(f.now) },
			"time": func(t *rapid.T) {
				if f.now-start < tombstoneRetention-5*time.Second {
					f.run(time.Duration(rapid.IntRange(1, 25).Draw(t, "ticks"))*tickInterval, nil)
				}
			},
			"freeze": func(t *rapid.T) {
				if f.now-start < tombstoneRetention-5*time.Second {
					f.now += 3 * time.Second
				}
			},
			"": func(t *rapid.T) {
				for i, a := range f.agents {
					for _, s := range ids {
						st, ok := a.state(s)
						if was, is := known[i][s]; is {
							require.True(t, ok && st >= was, "%s at %d: %v after %v", s, i, st, was)
							require.False(t, a.lists(s))
						}
						if ok && st >= Draining {
							known[i][s] = st
						}
					}
					for s := range a.local {
						require.Contains(t, a.entries, s)
					}
				}
			},
		})
		// In the end some continue to send heartbeats; an agent that others ended continues as a new incarnation.
		selves := map[string]bool{}
		for _, a := range f.agents {
			a.startIncarnation(f.now)
			selves[a.store.OwnSource()] = true
		}
		for _, a := range f.agents {
			for _, source := range a.store.Sources() {
				if !selves[source] {
					a.endSource(f.now, source)
				}
			}
		}
		f.syncAll()
		alive := map[string]bool{}
		var each []func()
		for _, s := range ids {
			st := Ready
			for _, a := range f.agents {
				if is, ok := a.state(s); ok {
					st = max(st, is)
				}
			}
			if st < Draining && !ends[s] && rapid.Bool().Draw(t, "alive") {
				alive[s] = true
				in := ready(s, seq[s]+uint64(len(late)))
				each = append(each, f.heartbeats(f.agents[agent.Draw(t, "home")], &in))
			}
		}
		check := func() {
			for i, a := range f.agents {
				for _, s := range ids {
					require.Equal(t, alive[s], a.lists(s), "%s at %d", s, i)
				}
			}
		}
		next := f.now
		all := func() {
			for _, e := range each {
				e()
			}
			if f.now >= next {
				next += heartbeatInterval
				f.syncAll()
			}
		}
		f.run(15*heartbeatInterval, all)
		check()
		f.run(2*tombstoneRetention, all)
		check()
		for i, a := range f.agents {
			require.Len(t, a.entries, len(alive), "agent %d retains what has ended", i)
			require.LessOrEqual(t, len(a.local), len(alive))
		}
	})
}

// A home expires a server by its own clock, after three and a half heartbeat intervals without one.
func TestExpiryByTheClockOfTheHomeAgent(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	in := ready("s", 0)
	f.run(10*heartbeatInterval, f.heartbeats(a, &in))
	b.syncFrom(f.now, a)
	require.True(t, a.lists("s"))
	// Heartbeats that change nothing are not replicated.
	f.run(time.Minute, f.heartbeats(a, &in))
	require.True(t, b.lists("s"), "a partition between agents empties no list")
	f.run(3*heartbeatInterval, nil)
	require.True(t, a.lists("s"))
	f.run(heartbeatInterval+tickInterval, nil)
	require.False(t, a.lists("s"))
	require.True(t, b.lists("s"))
	b.syncFrom(f.now, a)
	require.False(t, b.lists("s"))
	// A heartbeat revives it, at whatever agent; an earlier one does not.
	b.call(f.now, ready("s", in.Seq-1))
	require.False(t, b.lists("s"))
	b.call(f.now, ready("s", in.Seq+1))
	require.True(t, b.lists("s"))
	a.syncFrom(f.now, b)
	require.True(t, a.lists("s"))
}

// A late call does not renew a server that sends no heartbeats.
func TestLateCallIsNoHeartbeat(t *testing.T) {
	f := newTestFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	f.run(5*heartbeatInterval, f.heartbeats(a, &in))
	f.run(10*heartbeatInterval, func() { a.call(f.now, ready("s", 2)) })
	assert.False(t, a.lists("s"))
}

// A home that was frozen received no heartbeats, and expires nobody for that.
func TestFrozenAgentExpiresNobody(t *testing.T) {
	f := newTestFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	f.run(heartbeatInterval, f.heartbeats(a, &in))
	f.now += time.Minute
	a.tick(f.now)
	require.True(t, a.lists("s"))
	f.run(3*heartbeatInterval, nil)
	require.True(t, a.lists("s"))
	f.run(heartbeatInterval, nil)
	require.False(t, a.lists("s"))
}

// The servers of an agent that has ended are retained for four heartbeat intervals, in which they call
// another agent.
func TestOrphansAreRetainedForFourHeartbeats(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	for _, s := range []string{"stays", "dies", "drains"} {
		a.call(f.now, ready(s, 1))
	}
	a.call(f.now, draining("drains", 2))
	b.syncFrom(f.now, a)
	f.agents = f.agents[1:]
	b.endSource(f.now, "a")
	f.run(4*heartbeatInterval-tickInterval, nil)
	require.True(t, b.lists("stays"))
	require.True(t, b.lists("dies"))
	in := ready("stays", 5)
	f.run(4*tickInterval, f.heartbeats(b, &in))
	assert.True(t, b.lists("stays"))
	assert.False(t, b.lists("dies"))
	st, ok := b.state("drains")
	assert.True(t, ok && st == Draining, "a final state outlives its source")
	assert.Empty(t, b.store.DeltasSince(deltasync.Vector{"b": 1}), "nothing but the server that called is published")
}

// A freeze does not count against orphans: their next calls may not have been received in it.
func TestOrphansOutliveAFreeze(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 1))
	b.syncFrom(f.now, a)
	f.agents = f.agents[1:]
	b.endSource(f.now, "a")
	f.run(heartbeatInterval, nil)
	f.now += time.Minute
	b.tick(f.now)
	f.run(2*heartbeatInterval, nil)
	assert.True(t, b.lists("s"))
	f.run(2*heartbeatInterval, nil)
	assert.False(t, b.lists("s"))
}

// Two agents end; the server that both report is dropped with the later one.
func TestOrphansOfTwoAgents(t *testing.T) {
	f := newTestFleet("a", "b", "c")
	a, b, c := f.agents[0], f.agents[1], f.agents[2]
	a.call(f.now, ready("s", 1))
	b.call(f.now, ready("s", 2))
	f.syncAll()
	f.agents = f.agents[2:]
	c.endSource(f.now, "b")
	f.run(2*heartbeatInterval, nil)
	c.endSource(f.now, "a")
	f.run(3*heartbeatInterval, nil)
	assert.True(t, c.lists("s"))
	f.run(2*heartbeatInterval, nil)
	assert.False(t, c.lists("s"))
	f.run(tickInterval, nil)
	assert.Empty(t, c.entries)
}

// A server that moved and then crashed with its new home is not retained by the report of its old home.
func TestMovedServerExpiresWithItsNewHome(t *testing.T) {
	f := newTestFleet("a", "b", "c")
	a, b, c := f.agents[0], f.agents[1], f.agents[2]
	a.call(f.now, ready("s", 1))
	f.syncAll()
	b.call(f.now, ready("s", 2))
	f.syncAll()
	f.run(tickInterval, nil)
	assert.Zero(t, a.LocalCount())
	assert.Equal(t, 1, b.LocalCount())
	f.agents = []*testAgent{a, c}
	a.endSource(f.now, "b")
	c.endSource(f.now, "b")
	f.run(2*heartbeatInterval, f.syncAll)
	assert.True(t, c.lists("s"), "it may yet call another agent")
	f.run(20*heartbeatInterval, f.syncAll)
	assert.False(t, a.lists("s"))
	assert.False(t, c.lists("s"))
	assert.Empty(t, a.entries)
	assert.Empty(t, c.entries)
}

// A late call makes another agent the owner briefly; the home that has received newer ones still reports
// when the server expires.
func TestHomeAgentReportsExpiryAfterALateCall(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	in := ready("s", 0)
	f.run(20*heartbeatInterval, f.heartbeats(a, &in))
	f.syncAll()
	b.call(f.now, ready("s", 3)) // late: only the first call was replicated
	f.syncAll()
	f.agents = f.agents[:1] // the other agent takes no part
	f.run(5*heartbeatInterval, nil)
	assert.False(t, a.lists("s"))
	b.syncFrom(f.now, a)
	assert.False(t, b.lists("s"))
}

// A server that moves is listed all the time.
func TestMovingServersStayListed(t *testing.T) {
	f := newTestFleet("a", "b", "c")
	in := ready("s", 0)
	f.agents[0].call(f.now, in)
	f.syncAll()
	for i := range 30 {
		at := f.agents[i%3]
		f.run(heartbeatInterval, func() {
			f.syncAll()
			for _, a := range f.agents {
				require.True(t, a.lists("s"))
			}
		})
		in.Seq++
		at.call(f.now, in)
	}
	f.syncAll()
	f.run(tickInterval, nil)
	homes := 0
	for _, a := range f.agents {
		homes += a.LocalCount()
	}
	assert.Equal(t, 1, homes)
}

// Servers from disk are listed until their next heartbeats are due, and all other reports supersede them.
func TestRestore(t *testing.T) {
	f := newTestFleet("a", "b")
	a := f.agents[0]
	for _, s := range []string{"back", "dies", "drained"} {
		in := ready(s, 7)
		require.True(t, a.Restore(f.now, &in))
		require.False(t, a.Restore(f.now, &in), "it is known")
		a.publish(&in)
	}
	a.call(f.now, draining("drained", 9))
	f.syncAll()
	beats := ready("back", 8)
	f.run(2*heartbeatInterval, func() { f.syncAll() })
	assert.True(t, f.agents[1].lists("dies"), "two heartbeat intervals are a chance to call again")
	each := f.heartbeats(a, &beats)
	f.run(2*heartbeatInterval, func() { each(); f.syncAll() })
	for i, ag := range f.agents {
		assert.True(t, ag.lists("back"), "%d", i)
		assert.False(t, ag.lists("dies"), "%d", i)
		assert.False(t, ag.lists("drained"), "%d", i)
	}
	in := ready("back", 7)
	assert.False(t, f.agents[1].Restore(f.now, &in))
}

// It expires at the same age whenever the process started.
func TestRestoredInstanceExpires(t *testing.T) {
	for _, start := range []time.Duration{1, time.Second, time.Hour} {
		f := newTestFleet("a")
		f.now = start
		in := ready("s", 7)
		require.True(t, f.agents[0].Restore(f.now, &in))
		f.run(restoredHeartbeats*heartbeatInterval-tickInterval, nil)
		assert.True(t, f.agents[0].lists("s"), "%v", start)
		f.run(2*tickInterval, nil)
		assert.False(t, f.agents[0].lists("s"), "%v", start)
	}
}

// A new incarnation retains its servers, their homes and the final states that it reported.
func TestRenameOwnSource(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 1))
	a.call(f.now, draining("d", 1))
	f.syncAll()
	a.startIncarnation(f.now)
	told := a.store.OwnVersion()
	a.call(f.now, ready("s", 2))
	assert.Equal(t, told, a.store.OwnVersion(), "it is published already")
	b.endSource(f.now, "a")
	f.syncAll()
	in := ready("s", 2)
	f.run(10*heartbeatInterval, f.heartbeats(a, &in))
	for _, ag := range f.agents {
		assert.True(t, ag.lists("s"))
		assert.False(t, ag.lists("d"))
		assert.Len(t, ag.entries["s"].reports, 1)
	}
	assert.Equal(t, "a.1", a.entries["s"].owner)
	assert.Equal(t, 1, a.LocalCount())
	f.run(10*heartbeatInterval, f.syncAll)
	assert.False(t, b.lists("s"))
}

// It is remembered for tombstoneRetention that an instance drained or ended, and not for ever.
func TestTombstones(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 5))
	a.call(f.now, draining("s", 6))
	b.call(f.now, Instance{ID: "unknown", State: Deregistered})
	f.syncAll()
	told := a.store.OwnVersion()
	a.call(f.now, ready("s", 7))
	b.call(f.now, ready("s", 7))
	assert.Equal(t, told, a.store.OwnVersion(), "late calls are not published either")
	assert.Equal(t, uint64(1), b.store.OwnVersion())
	f.run(tombstoneRetention-heartbeatInterval, func() {
		a.call(f.now, ready("s", 7))
		b.call(f.now, ready("s", 8))
		b.call(f.now, draining("s", 2))
		a.call(f.now, ready("unknown", 9))
		f.syncAll()
		for _, ag := range f.agents {
			require.Empty(t, ag.List().ByID)
		}
	})
	f.run(tombstoneRetention, f.syncAll)
	for _, ag := range f.agents {
		assert.Empty(t, ag.entries)
		assert.Zero(t, ag.LocalCount())
	}
	for _, d := range a.store.DeltasSince(nil) {
		for _, it := range d.Items {
			assert.Nil(t, it.Data, it.Key)
		}
	}
}

// A drain is remembered from when it was reported, also of a server that had expired long before.
func TestTombstoneOfAnExpiredServer(t *testing.T) {
	f := newTestFleet("a")
	a := f.agents[0]
	a.call(f.now, ready("s", 1))
	f.run(tombstoneRetention, nil)
	st, ok := a.state("s")
	require.True(t, ok && st == Expired)
	a.call(f.now, draining("s", 9))
	f.run(tombstoneRetention-heartbeatInterval, nil)
	a.call(f.now, ready("s", 8))
	assert.False(t, a.lists("s"))
}

// A server that was revived expires again.
func TestRevivedServerExpiresAgain(t *testing.T) {
	f := newTestFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	for range 30 { // longer than tombstoneRetention
		f.run(heartbeatInterval, f.heartbeats(a, &in))
		require.True(t, a.lists("s"))
		f.run(5*heartbeatInterval, nil)
		require.False(t, a.lists("s"))
		_, ok := a.state("s")
		require.True(t, ok)
	}
}

// The table is bounded, whatever adds to it.
func TestInstancesAreBounded(t *testing.T) {
	f := newTestFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	for i := range 2 * maxInstances {
		switch in := ready(fmt.Sprint("s", i), 1); i % 4 {
		case 0:
			a.call(f.now, in)
		case 1:
			a.Report(f.now, "x", &in)
		case 2:
			a.call(f.now, Instance{ID: in.ID, State: Deregistered})
		case 3:
			a.Restore(f.now, &in)
		}
	}
	assert.Len(t, a.entries, maxInstances)
	assert.LessOrEqual(t, a.LocalCount(), maxInstances)
	b.syncFrom(f.now, a)
	f.agents = f.agents[:1]
	a.SourceEnded(f.now, "x")
	f.run(10*heartbeatInterval, nil)
	assert.Empty(t, a.List().ByID)
	f.run(tombstoneRetention, nil)
	assert.Empty(t, a.entries)
	assert.Empty(t, a.local)
	a.call(f.now, ready("late", 1))
	assert.True(t, a.lists("late"), "there is capacity again")
}

func TestValid(t *testing.T) {
	for name, spoil := range map[string]func(*Instance){
		"no id":           func(in *Instance) { in.ID = "" },
		"huge id":         func(in *Instance) { in.ID = strings.Repeat("x", 1<<20) },
		"huge service":    func(in *Instance) { in.Service = strings.Repeat("x", 1<<20) },
		"huge address":    func(in *Instance) { in.Addr = strings.Repeat("x", 1<<20) },
		"huge zone":       func(in *Instance) { in.Zone = strings.Repeat("x", 1<<20) },
		"huge revision":   func(in *Instance) { in.Revision = strings.Repeat("x", 1<<20) },
		"unknown state":   func(in *Instance) { in.State = Deregistered + 1 },
		"negative slots":  func(in *Instance) { in.Slots = -1 },
		"absurd slots":    func(in *Instance) { in.Slots = math.MaxInt },
		"negative cold":   func(in *Instance) { in.WarmUp = -1 },
		"endless cold":    func(in *Instance) { in.WarmUp = math.MaxInt64 },
		"too many models": func(in *Instance) { in.Models = make([]Model, 1<<16) },
		"huge model":      func(in *Instance) { in.Models = []Model{{Name: strings.Repeat("x", 1<<20)}} },
	} {
		in := ready("s", 1)
		in.Models = []Model{{"m", 1}}
		require.True(t, in.Valid())
		spoil(&in)
		assert.False(t, in.Valid(), name)
	}
	gone := Instance{ID: "s", State: Deregistered}
	assert.True(t, gone.Valid(), "an end needs no more than the ID")
}

// A list is immutable and changes only with its version.
func TestListsAreImmutable(t *testing.T) {
	f := newTestFleet("a")
	a := f.agents[0]
	empty := a.List()
	a.call(f.now, ready("s2", 1))
	a.call(f.now, ready("s1", 1))
	in := ready("s0", 1)
	in.Service = "other"
	a.call(f.now, in)
	one := a.List()
	assert.Same(t, one, a.List())
	assert.Greater(t, one.Version, empty.Version)
	a.call(f.now, ready("s1", 2)) // a heartbeat that changes nothing
	assert.Same(t, one, a.List())
	a.call(f.now, draining("s2", 2))
	assert.Empty(t, empty.ByID)
	assert.Len(t, one.ByID, 3)
	assert.Equal(t, []string{"s1", "s2"}, []string{one.ByService["llm"][0].ID, one.ByService["llm"][1].ID})
	two := a.List()
	assert.Greater(t, two.Version, one.Version)
	assert.Len(t, two.ByService["llm"], 1)
	assert.Len(t, two.ByService["other"], 1)
	views := a.Views(f.now + heartbeatInterval)
	require.Len(t, views, 3)
	assert.Equal(t, View{Instance: views[1].Instance, Owner: "a", Local: true, SinceHeartbeat: heartbeatInterval}, views[1])
	assert.Equal(t, "s1", views[1].ID)
}

// Changes of a server are published, repetitions are not.
func TestOnlyChangesArePublished(t *testing.T) {
	f := newTestFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	f.run(time.Minute, f.heartbeats(a, &in))
	assert.Equal(t, uint64(1), a.store.OwnVersion())
	in.WarmUp = time.Second // passes by itself
	f.run(heartbeatInterval, f.heartbeats(a, &in))
	assert.Equal(t, uint64(1), a.store.OwnVersion())
	in.Models = []Model{{"m", 2}}
	f.run(heartbeatInterval, f.heartbeats(a, &in))
	assert.Equal(t, uint64(2), a.store.OwnVersion())
	assert.Equal(t, in.Models, a.List().ByID["s"].Models)
}

// A full table rejects calls of unknown servers, and takes those of the servers in it.
func TestFullTableRejectsUnknownServers(t *testing.T) {
	a := newTestAgent("a")
	now := time.Second
	known := ready("known", 1)
	_, err := a.Heartbeat(now, &known)
	require.NoError(t, err)
	for i := range maxInstances - 1 {
		in := ready(fmt.Sprint("s", i), 1)
		require.True(t, a.Report(now, "x", &in))
	}
	late, drains := ready("late", 1), draining("late", 2)
	_, err = a.Heartbeat(now, &late)
	require.ErrorIs(t, err, ErrFull)
	_, err = a.Heartbeat(now, &drains)
	require.ErrorIs(t, err, ErrFull, "its end would be lost")
	_, err = a.Deregister(now, "late")
	require.ErrorIs(t, err, ErrFull)
	require.False(t, a.Report(now, "x", &late))
	assert.Len(t, a.entries, maxInstances)
	known = ready("known", 2)
	_, err = a.Heartbeat(now, &known)
	require.NoError(t, err)
	told, err := a.Deregister(now, "known")
	require.NoError(t, err)
	assert.Equal(t, Deregistered, told.State)
	_, err = a.Deregister(now, "s0")
	require.NoError(t, err)
	assert.False(t, a.lists("s0"))
}
