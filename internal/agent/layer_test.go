package agent

import (
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// fakeLayer notes what the loop tells it, and decides as told.
type fakeLayer struct {
	ready  chan struct{}
	mu     sync.Mutex
	listed []Target
	sights []Sight
	table  []Standing
}

func (f *fakeLayer) Listed(list []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = list
}

func (f *fakeLayer) Attempted(s Sight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sights = append(f.sights, s)
}

func (f *fakeLayer) Ready() <-chan struct{} { return f.ready }

func (f *fakeLayer) Standings() []Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *fakeLayer) decide(a *testAgent, table ...Standing) {
	f.mu.Lock()
	f.table = table
	f.mu.Unlock()
	f.ready <- struct{}{} // unbuffered: the loop has it, and what is posted next comes after
	done := make(chan struct{})
	a.loop.post(func() { close(done) })
	<-done
}

// The layer is told of the list and of each attempt, with the process it went to; what it
// decides of that process is acted on, and what it decided of another is not.
func TestLayer(t *testing.T) {
	one, two := newBackend(t, serving), newBackend(t, serving)
	first := target("s-1", one.addr)
	first.StartedMs = 5
	layer := &fakeLayer{ready: make(chan struct{})}
	a := startAgentWith(t, newDiscoveryServer(t, first, target("s-2", two.addr)), nil, func(l *loop) { l.layer = layer })
	layer.decide(a, Standing{ID: "s-1", StartedMs: 5, Left: time.Minute}, Standing{ID: "s-2", StartedMs: 77, Left: time.Minute}, Standing{ID: "gone"})
	for range 10 {
		status, _, _ := a.ask(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if one.count() != 0 || two.count() != 10 {
		t.Errorf("%d requests to the ejected process, %d to the other, want 0 and 10", one.count(), two.count())
	}
	layer.mu.Lock()
	if len(layer.listed) != 2 || len(layer.sights) != 10 {
		t.Fatalf("told of %d servers and %d attempts, want 2 and 10", len(layer.listed), len(layer.sights))
	}
	if s := layer.sights[0]; s.ID != "s-2" || s.StartedMs != 0 || s.Class != 2 || s.Status != policy.OK || s.Took <= 0 || s.Probe {
		t.Errorf("told of %+v", s)
	}
	layer.mu.Unlock()
	layer.decide(a, Standing{ID: "s-1", StartedMs: 5, Left: time.Minute, Try: true})
	status, _, _ := a.ask(newRequest(a.addr, "read", ""))
	wantStatus(t, status, 200)
	if one.count() != 1 {
		t.Errorf("%d requests on trial, want 1", one.count())
	}
}
