package agent

import (
	"testing"
	"time"
)

// An agent learned just before it was killed that a server drains; the platform's list for its next
// process is older. The server must get nothing new, also before discovery reports the drain again.
func TestSavedDrainTakesPrecedence(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	for _, c := range []struct {
		name   string
		change func(k *SavedState)
		drains bool // expected to be known
	}{
		{"newer", func(*SavedState) {}, true},
		{"older than the platform's", func(k *SavedState) { k.List.Version = 1 }, false},
		{"of another discovery", func(k *SavedState) { k.Discovery = "127.0.0.1:1" }, false},
		{"empty", func(k *SavedState) { k.List.Servers = nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			discovery := newDiscoveryServer(t, target("s-1", old.addr), target("s-2", fresh.addr))
			discovery.list.Version = 1
			drained := target("s-1", old.addr)
			drained.State = "draining"
			k := &SavedState{Discovery: discovery.Listener.Addr().String(), List: TargetList{Version: 2,
				Full: true, Servers: []Target{drained, target("s-2", fresh.addr)}}}
			c.change(k)
			before := old.count()
			usable := make(chan bool, 1)
			agent := startAgentWith(t, discovery, nil, func(l *eventLoop) {
				l.restoredState = k
				// As of the start, before discovery can have answered.
				ready := l.onReady
				l.onReady = func() {
					select {
					case usable <- !l.backends.byID["s-1"].unavailable.Load():
					default:
					}
					ready()
				}
			})
			if got := <-usable; got == c.drains {
				t.Errorf("at the start the draining server counts as available: %v", got)
			}
			if c.drains {
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

// The saved list is the current one, changes included.
func TestSavedStateHasTheCurrentList(t *testing.T) {
	fake := newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", fake.addr), target("s-2", fake.addr))
	discovery.list.Version = 1
	got := make(chan *SavedState, 1000)
	startAgentWith(t, discovery, nil, func(l *eventLoop) {
		l.saveInterval = time.Millisecond
		l.save = func(k *SavedState) {
			select {
			case got <- k:
			default:
			}
		}
	})
	if k := <-got; len(k.List.Servers) != 2 || k.Snapshot == nil || k.Discovery != discovery.Listener.Addr().String() {
		t.Errorf("saved: %+v", k)
	}
	removed := target("s-2", fake.addr)
	removed.State = "removed"
	discovery.waitForWatch(t, 1)
	discovery.setAndWait(t, removed)
	for end := time.Now().Add(testTimeout); ; {
		k := <-got
		if len(k.List.Servers) == 1 && k.List.Servers[0].ID == "s-1" && k.List.Version > 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("saved: %+v", k)
		}
	}
}
