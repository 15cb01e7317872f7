package registry

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	tickInterval      = 200 * time.Millisecond
)

// testAgent is the table of an agent and the store that replicates its reports.
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
	updates, withdrawn := a.Tick(now, false)
	for _, instance := range updates {
		a.publish(instance)
	}
	for _, id := range withdrawn {
		a.store.Put(id, nil)
	}
}

// syncFrom applies the deltas that another agent has and this one lacks.
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

// endSource records that another agent's source has ended.
func (a *testAgent) endSource(now time.Duration, source string) {
	if source != a.store.OwnSource() && a.store.Version(source) > 0 {
		a.store.EndSource(source)
		a.SourceEnded(now, source)
	}
}

// startIncarnation continues the agent as a new incarnation.
func (a *testAgent) startIncarnation(now time.Duration) {
	a.incarnations++
	a.store.StartIncarnation(fmt.Sprint(a.store.OwnSource(), ".", a.incarnations))
	a.RenameOwnSource(now, a.store.OwnSource())
}

func (a *testAgent) lists(id string) bool { return a.List().ByID[id] != nil }

// state returns the state of an instance, or false if it is unknown.
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

// testFleet is a set of agents with a common clock.
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

// run ticks all agents for a duration and calls beforeTick, unless it is nil, before every tick.
func (f *testFleet) run(d time.Duration, beforeTick func()) {
	for end := f.now + d; f.now < end; {
		f.now += tickInterval
		if beforeTick != nil {
			beforeTick()
		}
		for _, a := range f.agents {
			a.tick(f.now)
		}
	}
}

// heartbeats returns a function that sends an agent the heartbeat of an instance if one is due.
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
