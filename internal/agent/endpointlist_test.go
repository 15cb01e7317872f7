package agent

import (
	"testing"
	"time"
)

func TestDrain(t *testing.T) {
	old, other := newBackend(t, echo), newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", old.addr))
	agent := startAgent(t, discovery, nil)
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
	discovery.set(target("s-2", other.addr))
	draining := target("s-1", old.addr)
	draining.State = "draining"
	discovery.setAndWait(t, draining)
	before := old.count()
	for range 8 {
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if old.count() != before || other.count() < 8 {
		t.Errorf("%d arrivals after the drain, %d elsewhere", old.count()-before, other.count())
	}
	select { // its idle connection has to be closed
	case <-old.ended:
	case <-time.After(testTimeout):
		t.Error("the idle connection to the draining backend stays open")
	}
}

func TestAddressChange(t *testing.T) {
	old, moved := newBackend(t, echo), newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", old.addr))
	agent := startAgent(t, discovery, nil)
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
	discovery.setAndWait(t, target("s-1", moved.addr))
	status, _, _ = agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
	if old.count() != 1 || moved.count() != 1 {
		t.Errorf("%d arrivals at the old address, %d at the new", old.count(), moved.count())
	}
}

// While discovery is down, the last list stays in use and few calls are made. When it is back, the agent learns
// what has changed.
func TestDiscoveryOutage(t *testing.T) {
	first, second := newBackend(t, echo), newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", first.addr))
	agent := startAgent(t, discovery, nil)
	discovery.waitForWatch(t, 1)
	discovery.setDown(true)
	before := discovery.callCount()
	for discovery.callCount() == before { // the policy calls again after a backoff
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	if n := discovery.callCount() - before; n > 4 {
		t.Errorf("%d calls at once to a discovery that is down", n)
	}
	discovery.setDown(false)
	removed := target("s-1", first.addr)
	removed.State = "removed"
	discovery.set(target("s-2", second.addr))
	discovery.setAndWait(t, removed)
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
	if second.count() == 0 {
		t.Error("the new backend is not used")
	}
}

// Answers of discovery that arrive out of order do not revert the list.
func TestOlderListIsDropped(t *testing.T) {
	l := startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), nil).loop
	done := make(chan bool)
	l.post(func() {
		defer close(done)
		draining := target("s-1", "127.0.0.1:1")
		draining.State = "draining"
		l.onDiscoveryList(&TargetList{Version: 9, Servers: []Target{draining}}, true, nil)
		l.onDiscoveryList(&TargetList{Version: 8, Full: true, Servers: []Target{target("s-1", "127.0.0.1:1")}},
			false, nil)
		if !l.backends.byID["s-1"].unavailable.Load() {
			t.Error("an older list reverted a drain")
		}
		l.onDiscoveryList(&TargetList{Version: 10, Full: true}, true, nil)
		if len(l.backends.byID) != 0 || len(l.backends.byAddr) != 0 {
			t.Error("a removed backend is still known")
		}
	})
	<-done
}

func pushUpdates(c *Config) { c.Settings.Membership = "pushed" }

// If changes are pushed, the policy never requests them: the agent opens a watch by itself, and sends nothing
// more to a draining backend.
func TestPushedChangesAreWatched(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", old.addr))
	agent := startAgent(t, discovery, pushUpdates)
	discovery.waitForWatch(t, 1)
	discovery.set(target("s-2", fresh.addr))
	draining := target("s-1", old.addr)
	draining.State = "draining"
	discovery.setAndWait(t, draining)
	before := old.count()
	for range 10 {
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if old.count() != before || fresh.count() != 10 {
		t.Errorf("%d requests to the draining backend, %d to the new one", old.count()-before, fresh.count())
	}
}

// A pushed watch that fails is opened again, also after a reload.
func TestPushedWatchIsRetried(t *testing.T) {
	b, fresh := newBackend(t, echo), newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", b.addr))
	agent := startAgent(t, discovery, pushUpdates)
	discovery.waitForWatch(t, 1)
	discovery.setDown(true)
	discovery.waitCalls(t, 3)
	discovery.setDown(false)
	discovery.setAndWait(t, target("s-2", fresh.addr))

	next := newDiscoveryServer(t, target("s-2", fresh.addr))
	next.setDown(true)
	agent.loop.post(func() { agent.loop.switchDiscovery(next.Listener.Addr().String()) })
	next.waitCalls(t, fullListAttempts+1)
	next.setDown(false)
	next.waitForWatch(t, 1)
}
