package agent

import (
	"testing"
	"time"
)

func pushUpdates(c *Config) { c.Settings.Membership = "pushed" }

// Where changes are pushed the module never asks for them: the agent watches by itself,
// and sends nothing more to a backend that it is told drains.
func TestPushedChangesAreWatched(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	d := newDiscoveryServer(t, target("s-1", old.addr))
	a := startAgent(t, d, pushUpdates)
	d.waitForWatch(t, 1)
	d.set(target("s-2", fresh.addr))
	drains := target("s-1", old.addr)
	drains.State = "draining"
	d.setAndWait(t, drains)
	before := old.count()
	for range 10 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if old.count() != before || fresh.count() != 10 {
		t.Errorf("%d requests to the draining backend, %d to the new one", old.count()-before, fresh.count())
	}
}

// A pushed watch that breaks is opened again, after a reload too.
func TestPushedWatchComesBack(t *testing.T) {
	b, fresh := newBackend(t, echo), newBackend(t, echo)
	d := newDiscoveryServer(t, target("s-1", b.addr))
	a := startAgent(t, d, pushUpdates)
	d.waitForWatch(t, 1)
	d.setDown(true)
	d.waitCalls(t, 3)
	d.setDown(false)
	d.setAndWait(t, target("s-2", fresh.addr))

	next := newDiscoveryServer(t, target("s-2", fresh.addr))
	next.setDown(true)
	a.loop.post(func() { a.loop.switchDiscovery(next.Listener.Addr().String()) })
	next.waitCalls(t, fullListAttempts+1)
	next.setDown(false)
	next.waitForWatch(t, 1)
}

// waitCalls waits until discovery was asked so often, answered or not.
func (d *fakeDiscovery) waitCalls(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); d.callCount() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d calls, want %d", d.callCount(), n)
		}
	}
}

// The pauses grow to a bound and differ from one agent to the next.
func TestPushPause(t *testing.T) {
	for _, c := range []struct {
		failures    int
		least, most time.Duration
	}{{1, minWatchBackoff / 2, minWatchBackoff}, {3, 2 * minWatchBackoff, 4 * minWatchBackoff}, {1000, maxWatchBackoff / 2, maxWatchBackoff}} {
		seen := map[time.Duration]bool{}
		for range 100 {
			p := watchBackoff(c.failures)
			if seen[p] = true; p < c.least || p > c.most {
				t.Errorf("pause of %v after %d failures, want %v to %v", p, c.failures, c.least, c.most)
			}
		}
		if len(seen) < 50 {
			t.Errorf("%d pauses of 100 differ after %d failures", len(seen), c.failures)
		}
	}
}
