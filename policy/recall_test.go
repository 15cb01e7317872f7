package policy

import (
	"reflect"
	"testing"
)

// knowing is an agent of ten servers that has served for a while; the first answers errors,
// the second nothing, the last is cold.
func knowing(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, testSettings(), 10)
	r.popular = true
	r.list(ListDelta, Entry{Server: addr(9), Health: Ready, Weight: 1, SinceMs: r.now - 1000})
	for range 400 {
		r.now += 5
		id, actions := r.ask(0, 1+r.b.rng.Uint64N(20))
		if a := find(actions, ActSend); a != nil {
			status, took := OK, 20.0
			switch a.Server {
			case addr(0):
				status = Error
			case addr(1):
				status, took = Timeout, 400
			}
			r.now += 20
			r.outcome(id, 0, a.Server, status, took)
		}
	}
	return r
}

// next is another life with the list of the first: what it was told is returned, too.
func next(t *testing.T, r *rig, change func(*Memory, []Entry)) (*rig, *Memory) {
	t.Helper()
	m := r.b.Memory(r.now)
	var entries []Entry
	for _, s := range r.b.servers {
		entries = append(entries, Entry{Server: s.id, Zone: s.zone, Cell: s.cell, SinceMs: s.listedAt, Health: Ready, Weight: 1})
	}
	if change != nil {
		change(m, entries)
	}
	b, err := New(testSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	x := &rig{t: t, b: b, now: r.now + m.AgeMs, popular: true}
	b.Start(x.now, nil)
	x.list(ListCached, entries...)
	x.do(Event{Kind: EvRecall, Memory: m})
	return x, m
}

func TestRecallBringsBackWhatWasKnown(t *testing.T) {
	x, m := next(t, knowing(t), nil)
	if len(m.Servers) != 10 || len(m.Keys) != 20 || m.Answers == 0 {
		t.Fatalf("remembers %d servers and %d keys", len(m.Servers), len(m.Keys))
	}
	for i, want := range map[int]State{0: UnhealthyPending, 1: UnhealthyPending, 2: Connected, 5: Connected} {
		if s := x.b.byAddr[addr(i)]; s.state != want {
			t.Errorf("server %d is %v, want %v", i, s.state, want)
		}
	}
	if s := x.b.byAddr[addr(2)]; s.lat == 0 || s.samples > 5 || s.rtt == 0 {
		t.Errorf("of a healthy server: %+v", s)
	}
	if x.b.byAddr[addr(9)].credit != 0 {
		t.Errorf("a cold server comes with a credit of %.2f", x.b.byAddr[addr(9)].credit)
	}
	if x.b.keyed == 0 || x.b.calmLat == 0 || x.b.expect[0] > 30 {
		t.Errorf("keys %.0f, calm %.2f, usual time %.0f", x.b.keyed, x.b.calmLat, x.b.expect[0])
	}
}

// What is not true any more, or never was, is not believed.
func TestRecallDropsWhatCannotBeTrue(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Memory, []Entry)
		states bool // still believed
		keys   bool
	}{
		{"as it was", func(*Memory, []Entry) {}, true, true},
		{"servers that started since", func(_ *Memory, e []Entry) {
			for i := range e {
				e[i].SinceMs = 998_000
			}
		}, false, true},
		{"replaced servers", func(_ *Memory, e []Entry) {
			for i := range e {
				e[i].Server = addr(100 + i)
			}
		}, false, true},
		{"older than its bound", func(m *Memory, _ []Entry) { m.AgeMs = recallMost + 1 }, false, true},
		{"much older", func(m *Memory, _ []Entry) { m.AgeMs = recallKeys + 1 }, false, false},
		{"of an age that makes no sense", func(m *Memory, _ []Entry) { m.AgeMs = -1 }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _ := next(t, knowing(t), c.change)
			known := 0
			for _, s := range x.b.servers {
				if s.state != Unknown {
					known++
				}
			}
			if (known > 0) != c.states || (x.b.keyed > 0) != c.keys {
				t.Errorf("%d states and %.0f requests of keys", known, x.b.keyed)
			}
		})
	}
}

// Numbers from a damaged memory make no state that the agent could not have come to.
func TestRecallOfNonsense(t *testing.T) {
	nan := 0.0
	nan /= nan
	x, _ := next(t, knowing(t), func(m *Memory, _ []Entry) {
		m.Demand, m.Peak, m.Admitted, m.CalmLat, m.FleetLat = nan, -1, 7, 1e300, nan
		m.Expect = []float64{nan, -5, 1e300, 4}
		for i := range m.Servers {
			s := &m.Servers[i]
			s.State, s.Strikes, s.Failing, s.Lat, s.RTTMs, s.Samples, s.Window = 77, -9, nan, 1e300, nan, -3, nan
		}
		m.Keys = append(m.Keys, KeyMemory{5, nan}, KeyMemory{6, -3})
	})
	if x.b.demand != 0 || x.b.admitted > 1 || x.b.calmLat > crowdShare {
		t.Errorf("demand %v, admitted %v, calm %v", x.b.demand, x.b.admitted, x.b.calmLat)
	}
	for _, s := range x.b.servers {
		if s.state > Unhealthy || s.samples < 0 || !(s.window >= leastWindow && s.window <= 64) || !(s.failing >= 0 && s.failing <= 1) {
			t.Errorf("server %+v", s)
		}
	}
	for range 200 {
		x.now += 5
		id, actions := x.ask(0, 3)
		if a := find(actions, ActSend); a != nil {
			x.outcome(id, 0, a.Server, OK, 5)
		}
	}
}

// A server that was out and is well again waits for one validation, and no longer.
func TestRecalledVerdictDelaysByOneValidationAtMost(t *testing.T) {
	x, _ := next(t, knowing(t), nil)
	back := 0.0
	from := x.now
	for back == 0 && x.now < from+holdMost {
		x.now += 5
		id, actions := x.ask(0, x.b.rng.Uint64())
		if a := find(actions, ActSend); a != nil {
			x.outcome(id, 0, a.Server, OK, 5)
			if a.Server == addr(0) {
				back = x.now - from
			}
		}
	}
	if s := x.b.byAddr[addr(0)]; s.state != Connected || back > 2*x.b.aimMin {
		t.Errorf("%v, asked again after %.0f ms, one aim is %.0f", s.state, back, x.b.aimMin)
	}
}

// Equal memories and events give equal actions, and an agent with nothing to recall acts as
// one that is not asked to.
func TestRecallIsDeterministic(t *testing.T) {
	run := func(m *Memory, tell bool) (all []Action) {
		r := newRig(t, testSettings(), 10)
		if tell {
			r.do(Event{Kind: EvRecall, Memory: m})
		}
		for i := range 300 {
			r.now += 5
			r.id++
			actions := r.do(Event{Kind: EvRequest, Request: r.id, Class: i % 2, Key: uint64(i%17) + 1, LeftMs: 600})
			all = append(all, actions...)
			if a := find(actions, ActSend); a != nil {
				all = append(all, r.outcome(r.id, 0, a.Server, []Status{OK, OK, Error}[i%3], 20)...)
			}
		}
		return all
	}
	m := knowing(t).b.Memory(1e6)
	if !reflect.DeepEqual(run(m, true), run(m, true)) {
		t.Error("one memory, two ways to act")
	}
	if !reflect.DeepEqual(run(nil, true), run(nil, false)) {
		t.Error("nothing to recall changes what is done")
	}
}
