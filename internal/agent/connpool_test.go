package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/connpool"
	"chalkdoor.example/chalkdoor/policy"
)

func TestConnectionIsReused(t *testing.T) {
	agent, fake := startWithBackend(t, echo)
	for range 3 {
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.arrivals != 3 || fake.maxConns != 1 || len(fake.ended) != 0 {
		t.Errorf("%d arrivals, %d connections at once, %d ended", fake.arrivals, fake.maxConns, len(fake.ended))
	}
}

// An idle connection that the backend has closed must be noticed before it carries a request: a non-idempotent
// request would end as a reset and fail.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		echo(c, req, n)
		return n > 0
	})
	wantServed := func() {
		t.Helper()
		status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	wantServed()
	select {
	case <-fake.ended:
	case <-time.After(testTimeout):
		t.Fatal("the backend did not close")
	}
	wantServed()
	if fake.count() != 2 {
		t.Errorf("%d arrivals, want 2", fake.count())
	}
}

// A reused connection breaks on a request whose last byte was written, so the request may have been executed. It
// must not be sent again without the policy, not even with an idempotency key or without a body, which make
// http.Transport resend it.
func TestNoSilentResend(t *testing.T) {
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		return n == 0 && echo(c, req, n)
	})
	status, _, _ := agent.do(newRequest(agent.addr, "order", ""))
	wantStatus(t, status, 200)
	status, _, _ = agent.do(newRequest(agent.addr, "order", ""))
	wantStatus(t, status, 502)
	if fake.count() != 2 {
		t.Errorf("%d arrivals, want 2", fake.count())
	}
}

// Idle client connections are closed in favor of new ones, and attempts beyond the limit open no connections:
// neither side can use up the descriptors.
func TestDescriptorLimit(t *testing.T) {
	release := make(chan struct{})
	fake := newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		<-release
		return echo(c, req, n)
	})
	agent := startAgent(t, newDiscoveryServer(t, target("s-1", fake.addr)), func(c *Config) { c.Sockets = minSockets })
	maxConns := agent.loop.config.maxClientConns()
	for range 2 * maxConns { // clients that stay connected and idle
		c, err := net.Dial("tcp", agent.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	close(release)
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)

	p, one, two := testSender(2).pool, &backend{}, &backend{}
	deadline := time.Now().Add(testTimeout)
	x, err := p.get(t.Context(), one, fake.addr, deadline)
	if err != nil {
		t.Fatal(err)
	}
	y, err := p.get(t.Context(), one, fake.addr, deadline)
	if err != nil {
		t.Fatal(err)
	}
	defer y.Close()
	if _, err := p.get(t.Context(), one, fake.addr, deadline); err != connpool.ErrExhausted {
		t.Errorf("third connection of at most two: %v", err)
	}
	p.put(x)
	z, err := p.get(t.Context(), two, newBackend(t, echo).addr, deadline) // closes the idle one
	if err != nil {
		t.Fatal(err)
	}
	z.Close()
	if open, _ := p.count(); open != 2 {
		t.Errorf("%d connections counted, want 2", open)
	}
}

// A new backend at the address of a removed one gets none of its connections.
func TestAddressOfARemovedBackend(t *testing.T) {
	fake := newBackend(t, echo)
	p, old, successor := testSender(8).pool, &backend{}, &backend{}
	x, err := p.get(t.Context(), old, fake.addr, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	p.put(x)
	y, err := p.get(t.Context(), successor, fake.addr, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	if x == y {
		t.Error("the new backend got the connection")
	}
	p.put(y)
	old.unavailable.Store(true)
	p.closeExpired()
	if open, idle := p.count(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle, want 1 and 1", open, idle)
	}
	if z, ok := p.conns.TakeIdle(successor); !ok || z != y {
		t.Error("the idle connection is not that of the new backend")
	}
}

// Connections that were idle for a while are dropped without notice, and the next request on one ends as a reset.
// After a few resets the agent opens new connections instead, but still reuses those that were idle only for a
// moment.
func TestIdleConnectionsThatBreakAreNotUsed(t *testing.T) {
	var mu sync.Mutex
	last, broken := map[net.Conn]time.Time{}, 0
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		at, idleConn := last[c]
		if idleConn && time.Since(at) > 100*time.Millisecond {
			broken++
			return resetConn(c)
		}
		last[c] = time.Now()
		return echo(c, req, n)
	})
	failed := 0
	for range 30 {
		time.Sleep(120 * time.Millisecond)
		if status, _, _ := agent.do(newRequest(agent.addr, "order", "x")); status != 200 {
			failed++
		}
	}
	if failed == 0 || failed > 6 || failed != broken {
		t.Errorf("%d of 30 failed, %d connections were broken", failed, broken)
	}
	conns := len(last)
	for range 5 {
		agent.do(newRequest(agent.addr, "order", "x"))
	}
	mu.Lock()
	defer mu.Unlock()
	if len(last) > conns+1 {
		t.Errorf("%d new connections for requests without a pause", len(last)-conns)
	}
	if fake.count() != 35 {
		t.Errorf("%d arrivals, want 35", fake.count())
	}
}

// An idle connection is used for most of the keepalive time, but never so late that the request could arrive
// after the backend's close.
func TestMaxIdleTime(t *testing.T) {
	for _, c := range []struct {
		keepalive, connect float64
		want               time.Duration
	}{
		{10000, 100, 9375 * time.Millisecond},
		{2000, 100, 1800 * time.Millisecond},
		{300, 100, 150 * time.Millisecond},
		{0, 100, 0},
	} {
		if got := maxIdleTime(&policy.Limits{KeepaliveMs: c.keepalive, ConnectTimeoutMs: c.connect}); got != c.want {
			t.Errorf("keepalive %v ms, connect timeout %v ms: used for %v, want %v", c.keepalive, c.connect,
				got, c.want)
		}
	}
}
