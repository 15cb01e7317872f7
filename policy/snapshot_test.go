package policy

import (
	"reflect"
	"testing"
)

// newExperiencedAgent returns an agent with ten servers after some traffic. The first server responds with
// errors, the second does not respond, and the last is in slow start.
func newExperiencedAgent(t *testing.T) *testAgent {
	t.Helper()
	agent := newTestAgent(t, testSettings(), 10)
	agent.splitKeys = true
	agent.updateList(UpdateDelta, Endpoint{Server: addr(9), Status: Ready, Weight: 1,
		StartedMs: agent.now - 1000})
	for range 400 {
		agent.now += 5
		id, actions := agent.request(0, 1+agent.balancer.rng.Uint64N(20))
		if a := findAction(actions, ActionSend); a != nil {
			status, latencyMs := OK, 20.0
			switch a.Server {
			case addr(0):
				status = Error
			case addr(1):
				status, latencyMs = Timeout, 400
			}
			agent.now += 20
			agent.endAttempt(id, 0, a.Server, status, latencyMs)
		}
	}
	return agent
}

// restartFrom starts another process with the list and the snapshot of the first one, after change has
// modified both. It returns the new agent and the snapshot.
func restartFrom(t *testing.T, r *testAgent, change func(*Snapshot, []Endpoint)) (*testAgent, *Snapshot) {
	t.Helper()
	m := r.balancer.Snapshot(r.now)
	var entries []Endpoint
	for _, s := range r.balancer.servers {
		entries = append(entries, Endpoint{Server: s.addr, Zone: s.zone, Cell: s.cell,
			StartedMs: s.listedStartAt, Status: Ready, Weight: 1})
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
	agent, m := restartFrom(t, newExperiencedAgent(t), nil)
	if len(m.Servers) != 10 || len(m.Keys) != 20 || m.Responses == 0 {
		t.Fatalf("a snapshot of %d servers and %d keys", len(m.Servers), len(m.Keys))
	}
	for i, want := range map[int]State{0: UnhealthyPending, 1: UnhealthyPending, 2: Connected, 5: Connected} {
		if s := agent.balancer.serverByAddr[addr(i)]; s.state != want {
			t.Errorf("server %d is %v, want %v", i, s.state, want)
		}
	}
	if s := agent.balancer.serverByAddr[addr(2)]; s.relativeLatency == 0 || s.latencySamples > 5 ||
		s.meanLatencyMs == 0 {
		t.Errorf("the healthy server was restored as %+v", s)
	}
	if agent.balancer.serverByAddr[addr(9)].slowStartCredit != 0 {
		t.Errorf("a server in slow start has a credit of %.2f",
			agent.balancer.serverByAddr[addr(9)].slowStartCredit)
	}
	if agent.balancer.keys.total == 0 || agent.balancer.latency.baseline == 0 ||
		agent.balancer.latency.expectedMs[0] > 30 {
		t.Errorf("keys %.0f, baseline %.2f, expected latency %.0f", agent.balancer.keys.total,
			agent.balancer.latency.baseline, agent.balancer.latency.expectedMs[0])
	}
}

// State that no longer holds, or that is invalid, is not restored.
func TestRestoreDropsStaleState(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Snapshot, []Endpoint)
		states bool // whether server states are restored
		keys   bool // whether keys are restored
	}{
		{"unchanged", func(*Snapshot, []Endpoint) {}, true, true},
		{"restarted servers", func(_ *Snapshot, e []Endpoint) {
			for i := range e {
				e[i].StartedMs = 998_000
			}
		}, false, true},
		{"replaced servers", func(_ *Snapshot, e []Endpoint) {
			for i := range e {
				e[i].Server = addr(100 + i)
			}
		}, false, true},
		{"old", func(m *Snapshot, _ []Endpoint) { m.AgeMs = snapshotMaxAgeMs + 1 }, false, true},
		{"too old", func(m *Snapshot, _ []Endpoint) { m.AgeMs = snapshotKeysMaxAgeMs + 1 }, false, false},
		{"invalid age", func(m *Snapshot, _ []Endpoint) { m.AgeMs = -1 }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent, _ := restartFrom(t, newExperiencedAgent(t), c.change)
			known := 0
			for _, s := range agent.balancer.servers {
				if s.state != Unknown {
					known++
				}
			}
			if (known > 0) != c.states || (agent.balancer.keys.total > 0) != c.keys {
				t.Errorf("restored %d server states and %.0f key requests", known, agent.balancer.keys.total)
			}
		})
	}
}

// Invalid numbers in a damaged snapshot do not put the agent into an invalid state.
func TestRestoreOfInvalidSnapshot(t *testing.T) {
	nan := 0.0
	nan /= nan
	agent, _ := restartFrom(t, newExperiencedAgent(t), func(m *Snapshot, _ []Endpoint) {
		m.Demand, m.PeakCapacity, m.AdmittedShare, m.BaselineLatency, m.RecentLatency = nan, -1, 7, 1e300, nan
		m.ExpectedLatencyMs = []float64{nan, -5, 1e300, 4}
		for i := range m.Servers {
			s := &m.Servers[i]
			s.State, s.Ejections, s.FailureRate, s.Latency, s.MeanLatencyMs, s.LatencySamples,
				s.ConcurrencyLimit = 77, -9, nan, 1e300, nan, -3, nan
		}
		m.Keys = append(m.Keys, KeyCount{5, nan}, KeyCount{6, -3})
	})
	if agent.balancer.admission.demand != 0 || agent.balancer.admission.admittedShare > 1 ||
		agent.balancer.latency.baseline > overloadTargetShare {
		t.Errorf("demand %v, admitted %v, baseline %v", agent.balancer.admission.demand,
			agent.balancer.admission.admittedShare, agent.balancer.latency.baseline)
	}
	for _, s := range agent.balancer.servers {
		if s.state > Unhealthy || s.latencySamples < 0 || !(s.concurrencyLimit >= minConcurrency &&
			s.concurrencyLimit <= 64) || !(s.failureRate >= 0 && s.failureRate <= 1) {
			t.Errorf("invalid state of a server: %+v", s)
		}
	}
	for range 200 {
		agent.now += 5
		id, actions := agent.request(0, 3)
		if a := findAction(actions, ActionSend); a != nil {
			agent.endAttempt(id, 0, a.Server, OK, 5)
		}
	}
}

// A server that was ejected in the snapshot and has recovered waits for no more than one validation.
func TestRestoredEjectionDelaysByOneValidation(t *testing.T) {
	agent, _ := restartFrom(t, newExperiencedAgent(t), nil)
	usedAfterMs := 0.0
	from := agent.now
	for usedAfterMs == 0 && agent.now < from+maxEjectionMs {
		agent.now += 5
		id, actions := agent.request(0, agent.balancer.rng.Uint64())
		if a := findAction(actions, ActionSend); a != nil {
			agent.endAttempt(id, 0, a.Server, OK, 5)
			if a.Server == addr(0) {
				usedAfterMs = agent.now - from
			}
		}
	}
	if s := agent.balancer.serverByAddr[addr(0)]; s.state != Connected ||
		usedAfterMs > 2*agent.balancer.minLatencyTarget {
		t.Errorf("state %v, used again after %.0f ms, want at most two latency targets of %.0f ms", s.state,
			usedAfterMs, agent.balancer.minLatencyTarget)
	}
}

// Equal snapshots and events give equal actions. An agent with an empty snapshot acts like one without a
// snapshot.
func TestRestoreIsDeterministic(t *testing.T) {
	run := func(m *Snapshot, restore bool) (all []Action) {
		agent := newTestAgent(t, testSettings(), 10)
		if restore {
			agent.handle(Event{Kind: EventRestore, Snapshot: m})
		}
		for i := range 300 {
			agent.now += 5
			agent.lastID++
			actions := agent.handle(Event{Kind: EventRequest, Request: agent.lastID, Class: i % 2,
				Key: uint64(i%17) + 1, RemainingMs: 600})
			all = append(all, actions...)
			if a := findAction(actions, ActionSend); a != nil {
				all = append(all, agent.endAttempt(agent.lastID, 0, a.Server,
					[]Status{OK, OK, Error}[i%3], 20)...)
			}
		}
		return all
	}
	m := newExperiencedAgent(t).balancer.Snapshot(1e6)
	if !reflect.DeepEqual(run(m, true), run(m, true)) {
		t.Error("equal snapshots gave different actions")
	}
	if !reflect.DeepEqual(run(nil, true), run(nil, false)) {
		t.Error("an empty snapshot changed the actions")
	}
}
