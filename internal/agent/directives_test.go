package agent

import (
	"math"
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// fakeCoordinator records what the loop reports and returns the given directives.
type fakeCoordinator struct {
	ready        chan struct{}
	mu           sync.Mutex
	listed       []Target
	reports      int
	responses    int
	observations []Observation
	directives   Directives
}

func (f *fakeCoordinator) ListChanged(list []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = list
}

func (f *fakeCoordinator) DiscoveryReported(list []Target, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
}

func (f *fakeCoordinator) DiscoveryResponded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses++
}

func (f *fakeCoordinator) AttemptEnded(observation Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, observation)
}

func (f *fakeCoordinator) Ready() <-chan struct{} { return f.ready }

func (f *fakeCoordinator) Directives() Directives {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directives
}

func (f *fakeCoordinator) setOverrides(a *testAgent, overrides ...Override) {
	f.setDirectives(a, Directives{Overrides: overrides})
}

func (f *fakeCoordinator) setDirectives(a *testAgent, directives Directives) {
	f.mu.Lock()
	f.directives = directives
	f.mu.Unlock()
	f.ready <- struct{}{} // unbuffered, so that the loop receives it before the function posted below
	done := make(chan struct{})
	a.loop.post(func() { close(done) })
	<-done
}

// The coordinator gets the list and each attempt with the process that it was sent to. An override of that
// process is applied, but not one of another process.
func TestCoordinator(t *testing.T) {
	one, two := newBackend(t, echo), newBackend(t, echo)
	first := target("s-1", one.addr)
	first.StartedMs = 5
	coordinator := &fakeCoordinator{ready: make(chan struct{})}
	agent := startAgentWith(t, newDiscoveryServer(t, first, target("s-2", two.addr)), nil,
		func(l *eventLoop) { l.coordinator = coordinator })
	coordinator.setOverrides(agent, Override{ID: "s-1", StartedMs: 5, TTL: time.Minute},
		Override{ID: "s-2", StartedMs: 77, TTL: time.Minute}, Override{ID: "gone"})
	for range 10 {
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if one.count() != 0 || two.count() != 10 {
		t.Errorf("%d requests to the ejected process, %d to the other, want 0 and 10", one.count(), two.count())
	}
	coordinator.mu.Lock()
	if len(coordinator.listed) != 2 || len(coordinator.observations) != 10 {
		t.Fatalf("the coordinator got %d servers and %d attempts, want 2 and 10", len(coordinator.listed),
			len(coordinator.observations))
	}
	if s := coordinator.observations[0]; s.ID != "s-2" || s.StartedMs != 0 || s.Class != 2 || s.Status != policy.OK ||
		s.Latency <= 0 || s.Probe {
		t.Errorf("the coordinator got %+v", s)
	}
	coordinator.mu.Unlock()
	coordinator.setOverrides(agent, Override{ID: "s-1", StartedMs: 5, TTL: time.Minute, Trial: true})
	status, _, _ := agent.do(newRequest(agent.addr, "read", ""))
	wantStatus(t, status, 200)
	if one.count() != 1 {
		t.Errorf("%d requests on trial, want 1", one.count())
	}
}

// A zone without a share gets no requests, not even trials, while the override is valid. An expired override no
// longer applies.
func TestZoneWithoutAShare(t *testing.T) {
	near, far := newBackend(t, echo), newBackend(t, echo)
	one, other := target("s-1", near.addr), target("s-2", far.addr)
	one.Zone, other.Zone = "east", "west"
	coordinator := &fakeCoordinator{ready: make(chan struct{})}
	agent := startAgentWith(t, newDiscoveryServer(t, one, other), nil,
		func(l *eventLoop) { l.coordinator = coordinator })
	coordinator.setDirectives(agent, Directives{ZoneOverrides: []ZoneOverride{{Zone: "west", TTL: time.Minute}},
		Overrides: []Override{{ID: "s-2", ShareFactor: 1, TTL: time.Hour, Trial: true}}})
	for range 10 {
		status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
		wantStatus(t, status, 200)
	}
	if near.count() != 10 || far.count() != 0 {
		t.Errorf("%d requests in the zone and %d out of it, want 10 and 0", near.count(), far.count())
	}
	// A server's override with a longer TTL does not extend that of its zone.
	coordinator.setDirectives(agent, Directives{ZoneOverrides: []ZoneOverride{{Zone: "west", TTL: time.Millisecond}},
		Overrides: []Override{{ID: "s-2", ShareFactor: 1, TTL: time.Hour}}})
	for end := time.Now().Add(testTimeout); far.count() == 0; {
		if time.Now().After(end) {
			t.Fatal("the zone's override is still applied after its TTL")
		}
		status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
		wantStatus(t, status, 200)
	}
	before := far.count()
	coordinator.setDirectives(agent, Directives{ZoneOverrides: []ZoneOverride{{Zone: "west"}, {Zone: "east",
		ReachableShare: 1, TTL: time.Minute}}})
	status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
	wantStatus(t, status, 200)
	if far.count() != before+1 {
		t.Errorf("%d requests to the zone whose override has expired, want 1", far.count()-before)
	}
}

// A peer's report is applied only if it is later than this agent's list: a drain is applied, but not an older
// report or one about a server that is not listed here.
func TestPeerReports(t *testing.T) {
	one, two := newBackend(t, echo), newBackend(t, echo)
	first, second := target("s-1", one.addr), target("s-2", two.addr)
	second.StartedMs = 7
	coordinator := &fakeCoordinator{ready: make(chan struct{})}
	agent := startAgentWith(t, newDiscoveryServer(t, first, second), nil,
		func(l *eventLoop) { l.coordinator = coordinator })
	coordinator.setDirectives(agent, Directives{PeerReports: []Target{{ID: "s-1", State: "draining"}, {ID: "s-2",
		State: "removed", StartedMs: 6}, {ID: "s-3", State: "up"}}})
	// This report is older than the drain.
	coordinator.setDirectives(agent, Directives{PeerReports: []Target{{ID: "s-1", State: "up"}}})
	for range 6 {
		status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
		wantStatus(t, status, 200)
	}
	if one.count() != 0 || two.count() != 6 {
		t.Errorf("%d requests to the server that drains, %d to the other, want 0 and 6", one.count(), two.count())
	}
	coordinator.mu.Lock()
	defer coordinator.mu.Unlock()
	if len(coordinator.listed) != 2 || coordinator.reports == 0 && coordinator.responses > 0 {
		t.Errorf("%d servers listed, %d lists reported, %d responses", len(coordinator.listed),
			coordinator.reports, coordinator.responses)
	}
}

// Traffic weights do not change the total weight of all servers. There are none if most of the traffic was to go
// to zones that are removed or have no share.
func TestZoneTrafficWeights(t *testing.T) {
	l := &eventLoop{targets: map[string]Target{"a": {Zone: "x", State: "up", Weight: 4}, "b": {Zone: "y",
		State: "up", Weight: 2},
		"c": {Zone: "z", State: "up", Weight: 2}, "d": {Zone: "z", State: "draining", Weight: 9}}}
	list := []ZoneOverride{{Zone: "x", ShareFactor: 1, TrafficShare: 0.8, TTL: time.Minute}, {Zone: "y",
		ShareFactor: 1, TrafficShare: 0.2, TTL: time.Minute},
		{Zone: "z", ShareFactor: 1, TTL: time.Minute}}
	weights, weighted := l.zoneTrafficWeights(list)
	if !weighted || math.Abs(weights["x"]-1.6) > 1e-9 || math.Abs(weights["y"]-0.8) > 1e-9 ||
		weights["z"] != minTrafficWeight {
		t.Errorf("%v, %v", weights, weighted)
	}
	list[0].ShareFactor = 0 // gets no requests
	if weights, weighted := l.zoneTrafficWeights(list); weighted {
		t.Errorf("weighted by a zone without a share: %v", weights)
	}
	list[0].ShareFactor = 1
	delete(l.targets, "a")
	if weights, weighted := l.zoneTrafficWeights(list); weighted || weights["y"] != 1 {
		t.Errorf("weighted by a removed zone: %v", weights)
	}
	if _, weighted := l.zoneTrafficWeights(nil); weighted {
		t.Error("weighted without zone overrides")
	}
}
