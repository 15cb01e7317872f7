package agent

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// requestUntilServedBy makes requests until a backend has served one. Other backends may serve the earlier ones.
func requestUntilServedBy(t *testing.T, a *testAgent, b *fakeBackend) {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.count() == 0; {
		if time.Now().After(end) {
			t.Fatal("the backend got no request")
		}
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
}

// If the address of discovery changes, the agent stops calling the old discovery at once and fetches the full
// list of the new one. That has versions of its own, here lower ones, and lacks the old backend. Late answers of
// the old discovery are dropped.
func TestReloadChangesDiscovery(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	discovery := newDiscoveryServer(t, target("s-1", old.addr))
	discovery.list.Version = 1000
	agent := startAgent(t, discovery, nil)
	discovery.waitForWatch(t, 1000)
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)

	next := newDiscoveryServer(t, target("s-2", fresh.addr))
	before := agent.loop.discovery
	agent.loop.post(func() { agent.loop.switchDiscovery(next.Listener.Addr().String()) })
	next.waitForWatch(t, 1) // the watch continues from the new list's version
	requestUntilServedBy(t, agent, fresh)
	if before.ctx.Err() == nil {
		t.Error("the old discovery is still called")
	}
	calls, served := discovery.callCount(), old.count()
	before.onList(&TargetList{Version: 2000, Full: true, Servers: []Target{target("s-1", old.addr)}}, true, nil)
	next.setAndWait(t, target("s-3", fresh.addr))
	for range 10 {
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if discovery.callCount() != calls || old.count() != served {
		t.Errorf("%d calls to the old discovery, %d requests to its backend, after the switch",
			discovery.callCount()-calls, old.count()-served)
	}
	done := make(chan bool)
	agent.loop.post(func() {
		defer close(done)
		if agent.loop.backends.byID["s-1"] != nil || agent.loop.backends.byID["s-3"] == nil {
			t.Error("the backends are not the new discovery's")
		}
	})
	<-done
}

// While the new discovery is down, the backends stay in use, and the agent reaches the discovery later.
func TestReloadToADiscoveryThatIsDown(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	agent := startAgent(t, newDiscoveryServer(t, target("s-1", old.addr)), nil)
	next := newDiscoveryServer(t, target("s-2", fresh.addr))
	next.setDown(true)
	agent.loop.post(func() { agent.loop.switchDiscovery(next.Listener.Addr().String()) })
	for next.callCount() < fullListAttempts+1 {
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	next.setDown(false)
	requestUntilServedBy(t, agent, fresh)
}

// An invalid file changes nothing and is read again until it is valid. Further signals read it again.
func TestReloadRetriesUntilTheFileIsValid(t *testing.T) {
	signals, used := make(chan os.Signal, 1), make(chan string, 10)
	var reads atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reload(ctx, signals, func() (*Config, error) {
			if reads.Add(1) <= 3 {
				return nil, errors.New("half-written")
			}
			return &Config{Discovery: "new"}, nil
		}, &Config{Discovery: "old"}, func(d string) { used <- d })
	}()
	signals <- syscall.SIGHUP
	for want := int64(4); want < 6; want++ {
		select {
		case d := <-used:
			if d != "new" || reads.Load() != want {
				t.Errorf("used %q after %d reads", d, reads.Load())
			}
		case <-time.After(testTimeout):
			t.Fatal("the valid file is not used")
		}
		signals <- syscall.SIGHUP
	}
	cancel()
	<-ended
}
