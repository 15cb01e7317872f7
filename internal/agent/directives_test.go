package agent

import (
	"math"
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// fakeCoordinator records what the loop reports, and returns the given directives.
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

func (f *fakeCoordinator) DiscoveryReported(list []Target, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
}

func (f *fakeCoordinator) DiscoveryResponded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses++
}

func (f *fakeCoordinator) AttemptEnded(s Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, s)
}

func (f *fakeCoordinator) Ready() <-chan struct{} { return f.ready }

func (f *fakeCoordinator) Directives() Directives {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directives
}

func (f *fakeCoordinator) override(a *testAgent, table ...Override) {
	f.direct(a, Directives{Overrides: table})
}

func (f *fakeCoordinator) direct(a *testAgent, o Directives) {
	f.mu.Lock()
	f.directives = o
	f.mu.Unlock()
	f.ready <- struct{}{} // unbuffered: the loop has it before what is posted next
	done := make(chan struct{})
	a.loop.post(func() { close(done) })
	<-done
}

// The coordinator gets the list and each attempt, with the process it was sent to; an override of that
// process is applied, and one of another process is not.
func TestCoordinator(t *testing.T) {
	one, two := newBackend(t, echo), newBackend(t, echo)
	first := target("s-1", one.addr)
	first.StartedMs = 5
	layer := &fakeCoordinator{ready: make(chan struct{})}
	agent := startAgentWith(t, newDiscoveryServer(t, first, target("s-2", two.addr)), nil,
		func(l *eventLoop) { l.coordinator = layer })
	layer.override(agent, Override{ID: "s-1", StartedMs: 5, TTL: time.Minute}, Override{ID: "s-2", StartedMs: 77,
		TTL: time.Minute}, Override{ID: "gone"})
	for range 10 {
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if one.count() != 0 || two.count() != 10 {
		t.Errorf("%d requests to the ejected process, %d to the other, want 0 and 10", one.count(), two.count())
	}
	layer.mu.Lock()
	if len(layer.listed) != 2 || len(layer.observations) != 10 {
		t.Fatalf("told of %d servers and %d attempts, want 2 and 10", len(layer.listed), len(layer.observations))
	}
	if s := layer.observations[0]; s.ID != "s-2" || s.StartedMs != 0 || s.Class != 2 || s.Status != policy.OK ||
		s.Latency <= 0 || s.Probe {
		t.Errorf("told of %+v", s)
	}
	layer.mu.Unlock()
	layer.override(agent, Override{ID: "s-1", StartedMs: 5, TTL: time.Minute, Trial: true})
	status, _, _ := agent.do(newRequest(agent.addr, "read", ""))
	wantStatus(t, status, 200)
	if one.count() != 1 {
		t.Errorf("%d requests on trial, want 1", one.count())
	}
}

// A zone without a share gets no requests while that holds, not even a trial, and its part of the
// fleet is out of reach; an expired override no longer holds.
func TestZoneWithoutAShare(t *testing.T) {
	near, far := newBackend(t, echo), newBackend(t, echo)
	one, other := target("s-1", near.addr), target("s-2", far.addr)
	one.Zone, other.Zone = "east", "west"
	layer := &fakeCoordinator{ready: make(chan struct{})}
	agent := startAgentWith(t, newDiscoveryServer(t, one, other), nil, func(l *eventLoop) { l.coordinator = layer })
	layer.direct(agent, Directives{ZoneOverrides: []ZoneOverride{{Zone: "west", TTL: time.Minute}},
		Overrides: []Override{{ID: "s-2", ShareFactor: 1, TTL: time.Hour, Trial: true}}})
	for range 10 {
		status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
		wantStatus(t, status, 200)
	}
	if near.count() != 10 || far.count() != 0 {
		t.Errorf("%d requests in the zone and %d out of it, want 10 and 0", near.count(), far.count())
	}
	// A server's override that holds for longer does not extend its zone's.
	layer.direct(agent, Directives{ZoneOverrides: []ZoneOverride{{Zone: "west", TTL: time.Millisecond}},
		Overrides: []Override{{ID: "s-2", ShareFactor: 1, TTL: time.Hour}}})
	for end := time.Now().Add(testTimeout); far.count() == 0; {
		if time.Now().After(end) {
			t.Fatal("the zone's standing outlasts its time")
		}
		status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
		wantStatus(t, status, 200)
	}
	before := far.count()
	layer.direct(agent, Directives{ZoneOverrides: []ZoneOverride{{Zone: "west"}, {Zone: "east",
		ReachableShare: 1, TTL: time.Minute}}})
	status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
	wantStatus(t, status, 200)
	if far.count() != before+1 {
		t.Errorf("%d requests to the zone whose standing has lapsed, want 1", far.count()-before)
	}
}

// A report of a peer is applied only if it is later than this agent's list: a drain is, one that is
// older or of a server that is not listed here is not.
func TestPeerReports(t *testing.T) {
	one, two := newBackend(t, echo), newBackend(t, echo)
	first, second := target("s-1", one.addr), target("s-2", two.addr)
	second.StartedMs = 7
	layer := &fakeCoordinator{ready: make(chan struct{})}
	agent := startAgentWith(t, newDiscoveryServer(t, first, second), nil, func(l *eventLoop) { l.coordinator = layer })
	layer.direct(agent, Directives{PeerReports: []Target{{ID: "s-1", State: "draining"}, {ID: "s-2",
		State: "removed", StartedMs: 6}, {ID: "s-3", State: "up"}}})
	layer.direct(agent, Directives{PeerReports: []Target{{ID: "s-1", State: "up"}}}) // from before the drain
	for range 6 {
		status, _, _ := agent.do(newRequest(agent.addr, "read", "x"))
		wantStatus(t, status, 200)
	}
	if one.count() != 0 || two.count() != 6 {
		t.Errorf("%d requests to the server that drains, %d to the other, want 0 and 6", one.count(), two.count())
	}
	layer.mu.Lock()
	defer layer.mu.Unlock()
	if len(layer.listed) != 2 || layer.reports == 0 && layer.responses > 0 {
		t.Errorf("%d servers listed, told %d times, heard %d times", len(layer.listed), layer.reports, layer.responses)
	}
}

// Traffic weights leave the sum of all servers' weights as it is; where most of the traffic was to go
// to zones that are removed, or without a share, there are none.
func TestZoneTrafficWeights(t *testing.T) {
	l := &eventLoop{targets: map[string]Target{"a": {Zone: "x", State: "up", Weight: 4}, "b": {Zone: "y",
		State: "up", Weight: 2},
		"c": {Zone: "z", State: "up", Weight: 2}, "d": {Zone: "z", State: "draining", Weight: 9}}}
	list := []ZoneOverride{{Zone: "x", ShareFactor: 1, TrafficShare: 0.8, TTL: time.Minute}, {Zone: "y",
		ShareFactor: 1, TrafficShare: 0.2, TTL: time.Minute},
		{Zone: "z", ShareFactor: 1, TTL: time.Minute}}
	of, decided := l.zoneTrafficWeights(list)
	if !decided || math.Abs(of["x"]-1.6) > 1e-9 || math.Abs(of["y"]-0.8) > 1e-9 || of["z"] != minTrafficWeight {
		t.Errorf("%v, %v", of, decided)
	}
	list[0].ShareFactor = 0 // out of use
	if of, decided := l.zoneTrafficWeights(list); decided {
		t.Errorf("weighted by a zone without a share: %v", of)
	}
	list[0].ShareFactor = 1
	delete(l.targets, "a")
	if of, decided := l.zoneTrafficWeights(list); decided || of["y"] != 1 {
		t.Errorf("weighted by a removed zone: %v", of)
	}
	if _, decided := l.zoneTrafficWeights(nil); decided {
		t.Error("weighted without zone overrides")
	}
}
