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
	beat = 1200 * time.Millisecond
	tick = 200 * time.Millisecond
)

// agent is a table with the feed of its agent.
type agent struct {
	*Table
	set   *deltasync.Store
	lives int
}

func newAgent(name string) *agent {
	return &agent{Table: NewTable(name, beat), set: deltasync.NewStore(name)}
}

func (a *agent) put(in *Instance) {
	if in != nil {
		data, err := msgpack.Marshal(in)
		if err != nil {
			panic(err)
		}
		a.set.Put(in.ID, data)
	}
}

func (a *agent) call(now time.Duration, in Instance) {
	if in.State == Gone {
		told, _ := a.Leave(now, in.ID)
		a.put(told)
		return
	}
	told, _ := a.Beat(now, &in)
	a.put(told)
}

func (a *agent) tick(now time.Duration) {
	tell, untell := a.Tick(now)
	for _, in := range tell {
		a.put(in)
	}
	for _, id := range untell {
		a.set.Put(id, nil)
	}
}

// pull takes what another agent has.
func (a *agent) pull(now time.Duration, from *agent) {
	for _, c := range a.set.Apply(from.set.DeltasSince(a.set.Vector())) {
		if c.Item.Data == nil {
			a.Untell(now, c.Source, c.Item.Key)
			continue
		}
		in := new(Instance)
		if err := msgpack.Unmarshal(c.Item.Data, in); err != nil {
			panic(err)
		}
		a.Tell(now, c.Source, in)
	}
}

// end takes that another agent's source has ended.
func (a *agent) end(now time.Duration, source string) {
	if source != a.set.OwnSource() && a.set.Version(source) > 0 {
		a.set.EndSource(source)
		a.Ended(now, source)
	}
}

// rebase goes on as a new life.
func (a *agent) rebase(now time.Duration) {
	a.lives++
	a.set.StartIncarnation(fmt.Sprint(a.set.OwnSource(), ".", a.lives))
	a.Renamed(now, a.set.OwnSource())
}

func (a *agent) lists(id string) bool { return a.List().ByID[id] != nil }

// state is what is known of an instance, false if nothing is.
func (a *agent) state(id string) (State, bool) {
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

// fleet is agents whose clocks go together.
type fleet struct {
	agents []*agent
	now    time.Duration
}

func newFleet(names ...string) *fleet {
	f := &fleet{now: time.Second}
	for _, name := range names {
		f.agents = append(f.agents, newAgent(name))
	}
	return f
}

// sync has all know all.
func (f *fleet) sync() {
	for range 2 {
		for _, to := range f.agents {
			for _, from := range f.agents {
				if to != from {
					to.pull(f.now, from)
				}
			}
		}
	}
}

// run ticks all for that long; each is what happens at each tick.
func (f *fleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; {
		f.now += tick
		if each != nil {
			each()
		}
		for _, a := range f.agents {
			a.tick(f.now)
		}
	}
}

// beats calls an agent whenever a beat is due.
func (f *fleet) beats(a *agent, in *Instance) func() {
	next := f.now
	return func() {
		if f.now >= next {
			next += beat
			in.Seq++
			a.call(f.now, *in)
		}
	}
}

// Whatever order the calls of a server, late ones too, and the feed between two agents come in: an
// agent that knows of a drain or an end never lists the server again.
func TestLateCallsUndoNoEnd(t *testing.T) {
	type call struct {
		in Instance
		to int
	}
	forgetful := false // a seeded defect
	play := func(calls ...Instance) func(*interleave.Run) error {
		return func(r *interleave.Run) error {
			f := newFleet("a", "b")
			f.agents[0].call(f.now, ready("s", 1))
			f.sync()
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
								delete(f.agents[c.to].all, "s")
								delete(f.agents[c.to].homes, "s")
							}
						}
						left = append(left[:i:i], left[i+1:]...)
					})
				}
				for to := range syncs {
					if syncs[to] > 0 {
						able = append(able, func() {
							f.agents[to].pull(f.now, f.agents[1-to])
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
			f.sync()
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
		"leave": {ready("s", 2), ready("s", 3), {ID: "s", State: Gone}},
		"both":  {ready("s", 2), draining("s", 3), {ID: "s", State: Gone}},
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
	assert.Error(t, res.Err, "an agent that forgets ends is found")
}

// Several servers call several agents in any order, late calls too; agents tell each other, end,
// go on as new lives and fall behind. What drains or is gone never comes back where it is known;
// in the end all list the servers that beat, and those alone, and forget the others.
func TestTablesOfSeveralAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b", "c")
		ids := []string{"s0", "s1", "s2"}
		seq := map[string]uint64{}
		ends := map[string]bool{}               // said that it drains or leaves
		var late []Instance                     // calls on their way
		known := []map[string]State{{}, {}, {}} // by agent: ends
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
				f.agents[at].call(f.now, Instance{ID: s, State: Gone})
				st, ok := f.agents[at].state(s)
				require.True(t, ok && st == Gone, "%s at %d: %v", s, at, st)
			},
			"arrive": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				f.agents[agent.Draw(t, "at")].call(f.now, rapid.SampledFrom(late).Draw(t, "call"))
			},
			"pull": func(t *rapid.T) {
				f.agents[agent.Draw(t, "to")].pull(f.now, f.agents[agent.Draw(t, "from")])
			},
			"end": func(t *rapid.T) {
				f.agents[agent.Draw(t, "at")].end(f.now, f.agents[agent.Draw(t, "of")].set.OwnSource())
			},
			"rebase": func(t *rapid.T) { f.agents[agent.Draw(t, "agent")].rebase(f.now) },
			"time": func(t *rapid.T) {
				if f.now-start < deadFor-5*time.Second {
					f.run(time.Duration(rapid.IntRange(1, 25).Draw(t, "ticks"))*tick, nil)
				}
			},
			"freeze": func(t *rapid.T) {
				if f.now-start < deadFor-5*time.Second {
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
					for s := range a.homes {
						require.Contains(t, a.all, s)
					}
				}
			},
		})
		// In the end some beat on; a life that others took for ended goes on as a new one.
		selves := map[string]bool{}
		for _, a := range f.agents {
			a.rebase(f.now)
			selves[a.set.OwnSource()] = true
		}
		for _, a := range f.agents {
			for _, source := range a.set.Sources() {
				if !selves[source] {
					a.end(f.now, source)
				}
			}
		}
		f.sync()
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
				each = append(each, f.beats(f.agents[agent.Draw(t, "home")], &in))
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
				next += beat
				f.sync()
			}
		}
		f.run(15*beat, all)
		check()
		f.run(2*deadFor, all)
		check()
		for i, a := range f.agents {
			require.Len(t, a.all, len(alive), "agent %d keeps what has ended", i)
			require.LessOrEqual(t, len(a.homes), len(alive))
		}
	})
}

// A home takes a server for lost by its own clock, when no beat came for three and a half.
func TestSilenceByTheClockOfTheHome(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	in := ready("s", 0)
	f.run(10*beat, f.beats(a, &in))
	b.pull(f.now, a)
	require.True(t, a.lists("s"))
	// The news of beats reaches nobody: they change nothing.
	f.run(time.Minute, f.beats(a, &in))
	require.True(t, b.lists("s"), "a cut between agents empties no list")
	f.run(3*beat, nil)
	require.True(t, a.lists("s"))
	f.run(beat+tick, nil)
	require.False(t, a.lists("s"))
	require.True(t, b.lists("s"))
	b.pull(f.now, a)
	require.False(t, b.lists("s"))
	// A beat brings it back, wherever it comes; one from before doesn't.
	b.call(f.now, ready("s", in.Seq-1))
	require.False(t, b.lists("s"))
	b.call(f.now, ready("s", in.Seq+1))
	require.True(t, b.lists("s"))
	a.pull(f.now, b)
	require.True(t, a.lists("s"))
}

// A late call proves nothing of a server that has fallen silent.
func TestALateCallIsNoBeat(t *testing.T) {
	f := newFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	f.run(5*beat, f.beats(a, &in))
	f.run(10*beat, func() { a.call(f.now, ready("s", 2)) })
	assert.False(t, a.lists("s"))
}

// A home that was frozen heard nobody, and takes nobody for lost by that.
func TestAFrozenHomeLosesNobody(t *testing.T) {
	f := newFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	f.run(beat, f.beats(a, &in))
	f.now += time.Minute
	a.tick(f.now)
	require.True(t, a.lists("s"))
	f.run(3*beat, nil)
	require.True(t, a.lists("s"))
	f.run(beat, nil)
	require.False(t, a.lists("s"))
}

// The servers of an agent that has ended are kept for four beats, in which they call another.
func TestOrphansAreKeptFourBeats(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	for _, s := range []string{"stays", "dies", "drains"} {
		a.call(f.now, ready(s, 1))
	}
	a.call(f.now, draining("drains", 2))
	b.pull(f.now, a)
	f.agents = f.agents[1:]
	b.end(f.now, "a")
	f.run(4*beat-tick, nil)
	require.True(t, b.lists("stays"))
	require.True(t, b.lists("dies"))
	in := ready("stays", 5)
	f.run(4*tick, f.beats(b, &in))
	assert.True(t, b.lists("stays"))
	assert.False(t, b.lists("dies"))
	st, ok := b.state("drains")
	assert.True(t, ok && st == Draining, "an end outlives who told it")
	assert.Empty(t, b.set.DeltasSince(deltasync.Vector{"b": 1}), "nothing but the server that called is told")
}

// Nor does a freeze cost orphans their time: news of their next calls was not heard in it.
func TestOrphansOutliveAFreeze(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 1))
	b.pull(f.now, a)
	f.agents = f.agents[1:]
	b.end(f.now, "a")
	f.run(beat, nil)
	f.now += time.Minute
	b.tick(f.now)
	f.run(2*beat, nil)
	assert.True(t, b.lists("s"))
	f.run(2*beat, nil)
	assert.False(t, b.lists("s"))
}

// Two agents end; what both told of a server goes with the later one.
func TestOrphansOfTwoAgents(t *testing.T) {
	f := newFleet("a", "b", "c")
	a, b, c := f.agents[0], f.agents[1], f.agents[2]
	a.call(f.now, ready("s", 1))
	b.call(f.now, ready("s", 2))
	f.sync()
	f.agents = f.agents[2:]
	c.end(f.now, "b")
	f.run(2*beat, nil)
	c.end(f.now, "a")
	f.run(3*beat, nil)
	assert.True(t, c.lists("s"))
	f.run(2*beat, nil)
	assert.False(t, c.lists("s"))
	f.run(tick, nil)
	assert.Empty(t, c.all)
}

// A server that moved and then died with its new home is not kept by what its old home told.
func TestAMovedServerDiesWithItsNewHome(t *testing.T) {
	f := newFleet("a", "b", "c")
	a, b, c := f.agents[0], f.agents[1], f.agents[2]
	a.call(f.now, ready("s", 1))
	f.sync()
	b.call(f.now, ready("s", 2))
	f.sync()
	f.run(tick, nil)
	assert.Zero(t, a.Homes())
	assert.Equal(t, 1, b.Homes())
	f.agents = []*agent{a, c}
	a.end(f.now, "b")
	c.end(f.now, "b")
	f.run(2*beat, f.sync)
	assert.True(t, c.lists("s"), "it may call another agent yet")
	f.run(20*beat, f.sync)
	assert.False(t, a.lists("s"))
	assert.False(t, c.lists("s"))
	assert.Empty(t, a.all)
	assert.Empty(t, c.all)
}

// A late call makes another agent the owner for a moment; the home that heard newer ones still
// tells when the server falls silent.
func TestTheHomeTellsSilenceAfterALateCall(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	in := ready("s", 0)
	f.run(20*beat, f.beats(a, &in))
	f.sync()
	b.call(f.now, ready("s", 3)) // late: the feed tells the first call only
	f.sync()
	f.agents = f.agents[:1] // the other agent has no part in it
	f.run(5*beat, nil)
	assert.False(t, a.lists("s"))
	b.pull(f.now, a)
	assert.False(t, b.lists("s"))
}

// A server that moves is listed all the time.
func TestMovingServersStayListed(t *testing.T) {
	f := newFleet("a", "b", "c")
	in := ready("s", 0)
	f.agents[0].call(f.now, in)
	f.sync()
	for i := range 30 {
		at := f.agents[i%3]
		f.run(beat, func() {
			f.sync()
			for _, a := range f.agents {
				require.True(t, a.lists("s"))
			}
		})
		in.Seq++
		at.call(f.now, in)
	}
	f.sync()
	f.run(tick, nil)
	homes := 0
	for _, a := range f.agents {
		homes += a.Homes()
	}
	assert.Equal(t, 1, homes)
}

// What is known from disk is listed until the next beats are due, and gives way to all other news.
func TestRestore(t *testing.T) {
	f := newFleet("a", "b")
	a := f.agents[0]
	for _, s := range []string{"back", "dies", "drained"} {
		in := ready(s, 7)
		require.True(t, a.Restore(f.now, &in))
		require.False(t, a.Restore(f.now, &in), "it is known")
		a.put(&in)
	}
	a.call(f.now, draining("drained", 9))
	f.sync()
	beats := ready("back", 8)
	f.run(2*beat, func() { f.sync() })
	assert.True(t, f.agents[1].lists("dies"), "two beats are a chance to call again")
	each := f.beats(a, &beats)
	f.run(2*beat, func() { each(); f.sync() })
	for i, ag := range f.agents {
		assert.True(t, ag.lists("back"), "%d", i)
		assert.False(t, ag.lists("dies"), "%d", i)
		assert.False(t, ag.lists("drained"), "%d", i)
	}
	in := ready("back", 7)
	assert.False(t, f.agents[1].Restore(f.now, &in))
}

// It expires at the same age whenever the process started.
func TestRestoreExpiresByBeats(t *testing.T) {
	for _, start := range []time.Duration{1, time.Second, time.Hour} {
		f := newFleet("a")
		f.now = start
		in := ready("s", 7)
		require.True(t, f.agents[0].Restore(f.now, &in))
		f.run(restoreBeats*beat-tick, nil)
		assert.True(t, f.agents[0].lists("s"), "%v", start)
		f.run(2*tick, nil)
		assert.False(t, f.agents[0].lists("s"), "%v", start)
	}
}

// A new life of the own agent keeps its servers, their homes and the ends that it told.
func TestRenamed(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 1))
	a.call(f.now, draining("d", 1))
	f.sync()
	a.rebase(f.now)
	told := a.set.OwnVersion()
	a.call(f.now, ready("s", 2))
	assert.Equal(t, told, a.set.OwnVersion(), "it is told already")
	b.end(f.now, "a")
	f.sync()
	in := ready("s", 2)
	f.run(10*beat, f.beats(a, &in))
	for _, ag := range f.agents {
		assert.True(t, ag.lists("s"))
		assert.False(t, ag.lists("d"))
		assert.Len(t, ag.all["s"].by, 1)
	}
	assert.Equal(t, "a.1", a.all["s"].owner)
	assert.Equal(t, 1, a.Homes())
	f.run(10*beat, f.sync)
	assert.False(t, b.lists("s"))
}

// It is remembered for long that an instance drained or left, and not for good.
func TestTombstones(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	a.call(f.now, ready("s", 5))
	a.call(f.now, draining("s", 6))
	b.call(f.now, Instance{ID: "unknown", State: Gone})
	f.sync()
	told := a.set.OwnVersion()
	a.call(f.now, ready("s", 7))
	b.call(f.now, ready("s", 7))
	assert.Equal(t, told, a.set.OwnVersion(), "what is late is not told either")
	assert.Equal(t, uint64(1), b.set.OwnVersion())
	f.run(deadFor-beat, func() {
		a.call(f.now, ready("s", 7))
		b.call(f.now, ready("s", 8))
		b.call(f.now, draining("s", 2))
		a.call(f.now, ready("unknown", 9))
		f.sync()
		for _, ag := range f.agents {
			require.Empty(t, ag.List().ByID)
		}
	})
	f.run(deadFor, f.sync)
	for _, ag := range f.agents {
		assert.Empty(t, ag.all)
		assert.Zero(t, ag.Homes())
	}
	for _, d := range a.set.DeltasSince(nil) {
		for _, it := range d.Items {
			assert.Nil(t, it.Data, it.Key)
		}
	}
}

// A drain is remembered from when it was told, also of a server that was lost long before.
func TestATombstoneOfALostServer(t *testing.T) {
	f := newFleet("a")
	a := f.agents[0]
	a.call(f.now, ready("s", 1))
	f.run(deadFor, nil)
	st, ok := a.state("s")
	require.True(t, ok && st == Lost)
	a.call(f.now, draining("s", 9))
	f.run(deadFor-beat, nil)
	a.call(f.now, ready("s", 8))
	assert.False(t, a.lists("s"))
}

// A lost one that came back is lost anew.
func TestLostAgain(t *testing.T) {
	f := newFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	for range 30 { // longer than anything is remembered
		f.run(beat, f.beats(a, &in))
		require.True(t, a.lists("s"))
		f.run(5*beat, nil)
		require.False(t, a.lists("s"))
		_, ok := a.state("s")
		require.True(t, ok)
	}
}

// Everything is bounded, whoever brings it.
func TestInstancesAreBounded(t *testing.T) {
	f := newFleet("a", "b")
	a, b := f.agents[0], f.agents[1]
	for i := range 2 * maxInstances {
		switch in := ready(fmt.Sprint("s", i), 1); i % 4 {
		case 0:
			a.call(f.now, in)
		case 1:
			a.Tell(f.now, "x", &in)
		case 2:
			a.call(f.now, Instance{ID: in.ID, State: Gone})
		case 3:
			a.Restore(f.now, &in)
		}
	}
	assert.Len(t, a.all, maxInstances)
	assert.LessOrEqual(t, a.Homes(), maxInstances)
	b.pull(f.now, a)
	f.agents = f.agents[:1]
	a.Ended(f.now, "x")
	f.run(10*beat, nil)
	assert.Empty(t, a.List().ByID)
	f.run(deadFor, nil)
	assert.Empty(t, a.all)
	assert.Empty(t, a.homes)
	a.call(f.now, ready("late", 1))
	assert.True(t, a.lists("late"), "there is room again")
}

func TestSound(t *testing.T) {
	for name, spoil := range map[string]func(*Instance){
		"no id":           func(in *Instance) { in.ID = "" },
		"huge id":         func(in *Instance) { in.ID = strings.Repeat("x", 1<<20) },
		"huge service":    func(in *Instance) { in.Service = strings.Repeat("x", 1<<20) },
		"huge address":    func(in *Instance) { in.Addr = strings.Repeat("x", 1<<20) },
		"huge zone":       func(in *Instance) { in.Zone = strings.Repeat("x", 1<<20) },
		"huge revision":   func(in *Instance) { in.Revision = strings.Repeat("x", 1<<20) },
		"unknown state":   func(in *Instance) { in.State = Gone + 1 },
		"negative slots":  func(in *Instance) { in.Slots = -1 },
		"absurd slots":    func(in *Instance) { in.Slots = math.MaxInt },
		"negative cold":   func(in *Instance) { in.Cold = -1 },
		"endless cold":    func(in *Instance) { in.Cold = math.MaxInt64 },
		"too many models": func(in *Instance) { in.Models = make([]Model, 1<<16) },
		"huge model":      func(in *Instance) { in.Models = []Model{{Name: strings.Repeat("x", 1<<20)}} },
	} {
		in := ready("s", 1)
		in.Models = []Model{{"m", 1}}
		require.True(t, in.Sound())
		spoil(&in)
		assert.False(t, in.Sound(), name)
	}
	gone := Instance{ID: "s", State: Gone}
	assert.True(t, gone.Sound(), "an end needs no more than the id")
}

// A list is one moment's and changes by its version only.
func TestLists(t *testing.T) {
	f := newFleet("a")
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
	a.call(f.now, ready("s1", 2)) // a beat that tells nothing new
	assert.Same(t, one, a.List())
	a.call(f.now, draining("s2", 2))
	assert.Empty(t, empty.ByID)
	assert.Len(t, one.ByID, 3)
	assert.Equal(t, []string{"s1", "s2"}, []string{one.ByService["llm"][0].ID, one.ByService["llm"][1].ID})
	two := a.List()
	assert.Greater(t, two.Version, one.Version)
	assert.Len(t, two.ByService["llm"], 1)
	assert.Len(t, two.ByService["other"], 1)
	views := a.Views(f.now + beat)
	require.Len(t, views, 3)
	assert.Equal(t, View{Instance: views[1].Instance, Owner: "a", Here: true, Age: beat}, views[1])
	assert.Equal(t, "s1", views[1].ID)
}

// What changes of a server is told, what doesn't is not.
func TestOnlyChangesAreTold(t *testing.T) {
	f := newFleet("a")
	a := f.agents[0]
	in := ready("s", 0)
	f.run(time.Minute, f.beats(a, &in))
	assert.Equal(t, uint64(1), a.set.OwnVersion())
	in.Cold = time.Second // passes by itself
	f.run(beat, f.beats(a, &in))
	assert.Equal(t, uint64(1), a.set.OwnVersion())
	in.Models = []Model{{"m", 2}}
	f.run(beat, f.beats(a, &in))
	assert.Equal(t, uint64(2), a.set.OwnVersion())
	assert.Equal(t, in.Models, a.List().ByID["s"].Models)
}

// A call that a full table can't take is told so; the calls of servers that it knows go on.
func TestAFullTableRefusesUnknownServers(t *testing.T) {
	a := newAgent("a")
	now := time.Second
	known := ready("known", 1)
	_, err := a.Beat(now, &known)
	require.NoError(t, err)
	for i := range maxInstances - 1 {
		in := ready(fmt.Sprint("s", i), 1)
		require.True(t, a.Tell(now, "x", &in))
	}
	late, drains := ready("late", 1), draining("late", 2)
	_, err = a.Beat(now, &late)
	require.ErrorIs(t, err, ErrFull)
	_, err = a.Beat(now, &drains)
	require.ErrorIs(t, err, ErrFull, "its end would be lost")
	_, err = a.Leave(now, "late")
	require.ErrorIs(t, err, ErrFull)
	require.False(t, a.Tell(now, "x", &late))
	assert.Len(t, a.all, maxInstances)
	known = ready("known", 2)
	_, err = a.Beat(now, &known)
	require.NoError(t, err)
	told, err := a.Leave(now, "known")
	require.NoError(t, err)
	assert.Equal(t, Gone, told.State)
	_, err = a.Leave(now, "s0")
	require.NoError(t, err)
	assert.False(t, a.lists("s0"))
}
