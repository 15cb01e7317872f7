package agent

import (
	"testing"
	"time"
)

// Just before it was killed an agent was told that a server drains; the platform's list for
// its next start is older. Nothing new may go there, also before discovery says so again.
func TestKeptListOfADrainWins(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	for _, c := range []struct {
		name   string
		change func(k *SavedState)
		drains bool // believed
	}{
		{"newer", func(*SavedState) {}, true},
		{"older than the platform's", func(k *SavedState) { k.List.Version = 1 }, false},
		{"of another discovery", func(k *SavedState) { k.Discovery = "127.0.0.1:1" }, false},
		{"empty", func(k *SavedState) { k.List.Servers = nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDiscoveryServer(t, target("s-1", old.addr), target("s-2", fresh.addr))
			d.list.Version = 1
			drained := target("s-1", old.addr)
			drained.State = "draining"
			k := &SavedState{Discovery: d.Listener.Addr().String(), List: TargetList{Version: 2, Full: true, Servers: []Target{drained, target("s-2", fresh.addr)}}}
			c.change(k)
			before := old.count()
			usable := make(chan bool, 1)
			a := startAgentWith(t, d, nil, func(l *eventLoop) {
				l.restored = k
				// As of the start, before discovery can have said anything.
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
				t.Errorf("at the start the drained server counts as usable: %v", got)
			}
			if c.drains {
				for range 20 {
					status, _, _ := a.do(newRequest(a.addr, "order", "x"))
					wantStatus(t, status, 200)
				}
				if n := old.count() - before; n > 0 {
					t.Errorf("%d requests to the drained server", n)
				}
			}
		})
	}
}

// What is handed over to be kept is the list as it stands, changes included.
func TestWhatIsKeptIsTheListOfNow(t *testing.T) {
	b := newBackend(t, echo)
	d := newDiscoveryServer(t, target("s-1", b.addr), target("s-2", b.addr))
	d.list.Version = 1
	got := make(chan *SavedState, 1000)
	startAgentWith(t, d, nil, func(l *eventLoop) {
		l.saveInterval = time.Millisecond
		l.save = func(k *SavedState) {
			select {
			case got <- k:
			default:
			}
		}
	})
	if k := <-got; len(k.List.Servers) != 2 || k.Snapshot == nil || k.Discovery != d.Listener.Addr().String() {
		t.Errorf("kept: %+v", k)
	}
	gone := target("s-2", b.addr)
	gone.State = "removed"
	d.waitForWatch(t, 1)
	d.setAndWait(t, gone)
	for end := time.Now().Add(testTimeout); ; {
		k := <-got
		if len(k.List.Servers) == 1 && k.List.Servers[0].ID == "s-1" && k.List.Version > 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("kept: %+v", k)
		}
	}
}
