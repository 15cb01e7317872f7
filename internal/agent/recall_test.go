package agent

import (
	"testing"
	"time"
)

// Just before it was killed an agent was told that a server drains; the platform's list for
// its next start is older. Nothing new may go there, also before discovery says so again.
func TestKeptListOfADrainWins(t *testing.T) {
	old, fresh := newBackend(t, serving), newBackend(t, serving)
	for _, c := range []struct {
		name   string
		change func(k *Kept)
		drains bool // believed
	}{
		{"newer", func(*Kept) {}, true},
		{"older than the platform's", func(k *Kept) { k.List.Version = 1 }, false},
		{"of another discovery", func(k *Kept) { k.Discovery = "127.0.0.1:1" }, false},
		{"empty", func(k *Kept) { k.List.Servers = nil }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDiscoveryServer(t, target("s-1", old.addr), target("s-2", fresh.addr))
			d.list.Version = 1
			drained := target("s-1", old.addr)
			drained.State = "draining"
			k := &Kept{Discovery: d.Listener.Addr().String(), List: List{Version: 2, Full: true, Servers: []Target{drained, target("s-2", fresh.addr)}}}
			c.change(k)
			before := old.count()
			usable := make(chan bool, 1)
			a := startAgentWith(t, d, nil, func(l *loop) {
				l.recall = k
				// As of the start, before discovery can have said anything.
				ready := l.ready
				l.ready = func() {
					select {
					case usable <- !l.table.byID["s-1"].closed.Load():
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
					status, _, _ := a.ask(newRequest(a.addr, "order", "x"))
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
	b := newBackend(t, serving)
	d := newDiscoveryServer(t, target("s-1", b.addr), target("s-2", b.addr))
	d.list.Version = 1
	got := make(chan *Kept, 1000)
	startAgentWith(t, d, nil, func(l *loop) {
		l.rememberEvery = time.Millisecond
		l.remember = func(k *Kept) {
			select {
			case got <- k:
			default:
			}
		}
	})
	if k := <-got; len(k.List.Servers) != 2 || k.Memory == nil || k.Discovery != d.Listener.Addr().String() {
		t.Errorf("kept: %+v", k)
	}
	gone := target("s-2", b.addr)
	gone.State = "removed"
	d.wait(t, 1)
	d.told(t, gone)
	for end := time.Now().Add(patience); ; {
		k := <-got
		if len(k.List.Servers) == 1 && k.List.Servers[0].ID == "s-1" && k.List.Version > 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("kept: %+v", k)
		}
	}
}
