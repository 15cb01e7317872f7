package agent

import (
	"testing"
	"time"
)

// Just before an agent was killed it learned that a server drains, and the platform's list for the next process
// is older. The server must get no new request, even before discovery reports the drain again.
func TestSavedDrainTakesPrecedence(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	for _, c := range []struct {
		name       string
		change     func(state *SavedState)
		knowsDrain bool // expected
	}{
		{"newer", func(*SavedState) {}, true},
		{"older than the platform's", func(state *SavedState) { state.List.Version = 1 }, false},
		{"of another discovery", func(state *SavedState) { state.Discovery = "127.0.0.1:1" }, false},
		{"empty", func(state *SavedState) { state.List.Servers = nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			discovery := newDiscoveryServer(t, target("s-1", old.addr), target("s-2", fresh.addr))
			discovery.list.Version = 1
			drained := target("s-1", old.addr)
			drained.State = "draining"
			state := &SavedState{Discovery: discovery.Listener.Addr().String(), List: TargetList{Version: 2,
				Full: true, Servers: []Target{drained, target("s-2", fresh.addr)}}}
			c.change(state)
			before := old.count()
			available := make(chan bool, 1)
			agent := startAgentWith(t, discovery, nil, func(l *eventLoop) {
				l.restoredState = state
				// onReady is called at the start, before discovery can have answered.
				ready := l.onReady
				l.onReady = func() {
					select {
					case available <- !l.backends.byID["s-1"].unavailable.Load():
					default:
					}
					ready()
				}
			})
			if got := <-available; got == c.knowsDrain {
				t.Errorf("draining server available at the start: %v", got)
			}
			if c.knowsDrain {
				for range 20 {
					status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
					wantStatus(t, status, 200)
				}
				if n := old.count() - before; n > 0 {
					t.Errorf("%d requests to the draining server", n)
				}
			}
		})
	}
}

// The saved list is the current one, including changes.
func TestSavedStateHasTheCurrentList(t *testing.T) {
	fake := newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", fake.addr), target("s-2", fake.addr))
	discovery.list.Version = 1
	got := make(chan *SavedState, 1000)
	startAgentWith(t, discovery, nil, func(l *eventLoop) {
		l.saveInterval = time.Millisecond
		l.save = func(state *SavedState) {
			select {
			case got <- state:
			default:
			}
		}
	})
	if state := <-got; len(state.List.Servers) != 2 || state.Snapshot == nil ||
		state.Discovery != discovery.Listener.Addr().String() {
		t.Errorf("saved: %+v", state)
	}
	removed := target("s-2", fake.addr)
	removed.State = "removed"
	discovery.waitForWatch(t, 1)
	discovery.setAndWait(t, removed)
	for end := time.Now().Add(testTimeout); ; {
		state := <-got
		if len(state.List.Servers) == 1 && state.List.Servers[0].ID == "s-1" && state.List.Version > 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("saved: %+v", state)
		}
	}
}
