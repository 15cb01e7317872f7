package policy

import (
	"reflect"
	"testing"
)

// newExperiencedAgent is an agent of ten servers that has served for a while; the first answers errors,
// the second nothing, the last is cold.
func newExperiencedAgent(t *testing.T) *testAgent {
	t.Helper()
	r := newTestAgent(t, testSettings(), 10)
	r.splitKeys = true
	r.updateList(UpdateDelta, Endpoint{Server: addr(9), Status: Ready, Weight: 1, StartedMs: r.now - 1000})
	for range 400 {
		r.now += 5
		id, actions := r.request(0, 1+r.balancer.rng.Uint64N(20))
		if a := findAction(actions, ActionSend); a != nil {
			status, took := OK, 20.0
			switch a.Server {
			case addr(0):
				status = Error
			case addr(1):
				status, took = Timeout, 400
			}
			r.now += 20
			r.endAttempt(id, 0, a.Server, status, took)
		}
	}
	return r
}

// restartFrom is another life with the list of the first: what it was told is returned, too.
func restartFrom(t *testing.T, r *testAgent, change func(*Snapshot, []Endpoint)) (*testAgent, *Snapshot) {
	t.Helper()
	m := r.balancer.Snapshot(r.now)
	var entries []Endpoint
	for _, s := range r.balancer.servers {
		entries = append(entries, Endpoint{Server: s.addr, Zone: s.zone, Cell: s.cell, StartedMs: s.listedStartAt, Status: Ready, Weight: 1})
	}
	if change != nil {
		change(m, entries)
	}
	b, err := New(testSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	x := &testAgent{t: t, balancer: b, now: r.now + m.AgeMs, splitKeys: true}
	b.Start(x.now, nil)
	x.updateList(UpdateCached, entries...)
	x.handle(Event{Kind: EventRestore, Snapshot: m})
	return x, m
}

func TestRestoreKnownState(t *testing.T) {
	x, m := restartFrom(t, newExperiencedAgent(t), nil)
	if len(m.Servers) != 10 || len(m.Keys) != 20 || m.Responses == 0 {
		t.Fatalf("remembers %d servers and %d keys", len(m.Servers), len(m.Keys))
	}
	for i, want := range map[int]State{0: UnhealthyPending, 1: UnhealthyPending, 2: Connected, 5: Connected} {
		if s := x.balancer.serverByAddr[addr(i)]; s.state != want {
			t.Errorf("server %d is %v, want %v", i, s.state, want)
		}
	}
	if s := x.balancer.serverByAddr[addr(2)]; s.latency == 0 || s.latencySamples > 5 || s.meanLatencyMs == 0 {
		t.Errorf("of a healthy server: %+v", s)
	}
	if x.balancer.serverByAddr[addr(9)].slowStartCredit != 0 {
		t.Errorf("a cold server comes with a credit of %.2f", x.balancer.serverByAddr[addr(9)].slowStartCredit)
	}
	if x.balancer.keys.total == 0 || x.balancer.latency.baseline == 0 || x.balancer.latency.expected[0] > 30 {
		t.Errorf("keys %.0f, calm %.2f, usual time %.0f", x.balancer.keys.total, x.balancer.latency.baseline, x.balancer.latency.expected[0])
	}
}

// What is not true any more, or never was, is not believed.
func TestRestoreDropsStaleState(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Snapshot, []Endpoint)
		states bool // still believed
		keys   bool
	}{
		{"as it was", func(*Snapshot, []Endpoint) {}, true, true},
		{"servers that started since", func(_ *Snapshot, e []Endpoint) {
			for i := range e {
				e[i].StartedMs = 998_000
			}
		}, false, true},
		{"replaced servers", func(_ *Snapshot, e []Endpoint) {
			for i := range e {
				e[i].Server = addr(100 + i)
			}
		}, false, true},
		{"older than its bound", func(m *Snapshot, _ []Endpoint) { m.AgeMs = snapshotMaxAgeMs + 1 }, false, true},
		{"much older", func(m *Snapshot, _ []Endpoint) { m.AgeMs = snapshotKeysMaxAgeMs + 1 }, false, false},
		{"of an age that makes no sense", func(m *Snapshot, _ []Endpoint) { m.AgeMs = -1 }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _ := restartFrom(t, newExperiencedAgent(t), c.change)
			known := 0
			for _, s := range x.balancer.servers {
				if s.state != Unknown {
					known++
				}
			}
			if (known > 0) != c.states || (x.balancer.keys.total > 0) != c.keys {
				t.Errorf("%d states and %.0f requests of keys", known, x.balancer.keys.total)
			}
		})
	}
}

// Numbers from a damaged memory make no state that the agent could not have come to.
func TestRestoreOfInvalidSnapshot(t *testing.T) {
	nan := 0.0
	nan /= nan
	x, _ := restartFrom(t, newExperiencedAgent(t), func(m *Snapshot, _ []Endpoint) {
		m.Demand, m.PeakCapacity, m.AdmittedShare, m.BaselineLatency, m.RecentLatency = nan, -1, 7, 1e300, nan
		m.ExpectedLatencyMs = []float64{nan, -5, 1e300, 4}
		for i := range m.Servers {
			s := &m.Servers[i]
			s.State, s.Ejections, s.FailureRate, s.Latency, s.MeanLatencyMs, s.LatencySamples, s.ConcurrencyLimit = 77, -9, nan, 1e300, nan, -3, nan
		}
		m.Keys = append(m.Keys, KeyCount{5, nan}, KeyCount{6, -3})
	})
	if x.balancer.admission.demand != 0 || x.balancer.admission.admittedShare > 1 || x.balancer.latency.baseline > overloadTargetShare {
		t.Errorf("demand %v, admitted %v, calm %v", x.balancer.admission.demand, x.balancer.admission.admittedShare, x.balancer.latency.baseline)
	}
	for _, s := range x.balancer.servers {
		if s.state > Unhealthy || s.latencySamples < 0 || !(s.concurrencyLimit >= minConcurrency && s.concurrencyLimit <= 64) || !(s.failureRate >= 0 && s.failureRate <= 1) {
			t.Errorf("server %+v", s)
		}
	}
	for range 200 {
		x.now += 5
		id, actions := x.request(0, 3)
		if a := findAction(actions, ActionSend); a != nil {
			x.endAttempt(id, 0, a.Server, OK, 5)
		}
	}
}

// A server that was out and is well again waits for one validation, and no longer.
func TestRestoredEjectionDelaysByOneValidation(t *testing.T) {
	x, _ := restartFrom(t, newExperiencedAgent(t), nil)
	back := 0.0
	from := x.now
	for back == 0 && x.now < from+maxEjectionMs {
		x.now += 5
		id, actions := x.request(0, x.balancer.rng.Uint64())
		if a := findAction(actions, ActionSend); a != nil {
			x.endAttempt(id, 0, a.Server, OK, 5)
			if a.Server == addr(0) {
				back = x.now - from
			}
		}
	}
	if s := x.balancer.serverByAddr[addr(0)]; s.state != Connected || back > 2*x.balancer.minLatencyTarget {
		t.Errorf("%v, asked again after %.0f ms, one aim is %.0f", s.state, back, x.balancer.minLatencyTarget)
	}
}

// Equal memories and events give equal actions, and an agent with nothing to recall acts as
// one that is not asked to.
func TestRestoreIsDeterministic(t *testing.T) {
	run := func(m *Snapshot, tell bool) (all []Action) {
		r := newTestAgent(t, testSettings(), 10)
		if tell {
			r.handle(Event{Kind: EventRestore, Snapshot: m})
		}
		for i := range 300 {
			r.now += 5
			r.lastID++
			actions := r.handle(Event{Kind: EventRequest, Request: r.lastID, Class: i % 2, Key: uint64(i%17) + 1, RemainingMs: 600})
			all = append(all, actions...)
			if a := findAction(actions, ActionSend); a != nil {
				all = append(all, r.endAttempt(r.lastID, 0, a.Server, []Status{OK, OK, Error}[i%3], 20)...)
			}
		}
		return all
	}
	m := newExperiencedAgent(t).balancer.Snapshot(1e6)
	if !reflect.DeepEqual(run(m, true), run(m, true)) {
		t.Error("one memory, two ways to act")
	}
	if !reflect.DeepEqual(run(nil, true), run(nil, false)) {
		t.Error("nothing to recall changes what is done")
	}
}
