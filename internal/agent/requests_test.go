package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

func TestServed(t *testing.T) {
	var mu sync.Mutex
	var seen http.Header
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		seen = req.Header.Clone()
		mu.Unlock()
		return echo(c, req, n)
	})
	req := newRequest(agent.addr, "send", "hello")
	req.URL.RawQuery = "a=1&b=%20"
	status, header, body := agent.do(req)
	wantStatus(t, status, 200)
	if want := "POST /api/00000000000000a1?a=1&b=%20 hello"; body != want {
		t.Errorf("body %q, want %q", body, want)
	}
	if header.Get("Content-Length") != fmt.Sprint(len(body)) {
		t.Errorf("Content-Length %q", header.Get("Content-Length"))
	}
	mu.Lock()
	defer mu.Unlock()
	if seen.Get("Request-Id") != req.Header.Get("Request-Id") || seen.Get("Idempotency-Key") != "k1" {
		t.Errorf("the backend got %v", seen)
	}
	var remaining int
	if _, err := fmt.Sscan(seen.Get("Request-Timeout-Ms"), &remaining); err != nil || remaining < 1 ||
		remaining > 4000 {
		t.Errorf("the backend got a timeout of %q ms", seen.Get("Request-Timeout-Ms"))
	}
	if fake.count() != 1 {
		t.Errorf("%d arrivals, want 1", fake.count())
	}
}

// If a backend does not respond, the request fails in time and its connection is closed: a late response would be
// taken for that of the next request.
func TestUnresponsiveBackend(t *testing.T) {
	agent, fake := startWithBackend(t, func(net.Conn, *http.Request, int) bool { return true })
	req := newRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "600")
	start := time.Now()
	status, _, _ := agent.do(req)
	if status != 502 && status != 504 {
		t.Errorf("answered %d, want a failure", status)
	}
	if took := time.Since(start); took < 400*time.Millisecond {
		t.Errorf("gave up after %v", took)
	}
	select {
	case <-fake.ended:
	case <-time.After(testTimeout):
		t.Error("the connection stays open")
	}
	if fake.count() != 1 {
		t.Errorf("%d arrivals, want 1", fake.count())
	}
}

// The backstop answers before the deadline if the policy does not.
func TestBackstop(t *testing.T) {
	l, err := newEventLoop(t.Context(), startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")),
		nil).loop.config, func() {})
	if err != nil {
		t.Fatal(err)
	}
	// The policy does not know this request, as if it had lost it.
	c := &clientRequest{class: 2, deadline: time.Now().Add(time.Second), response: make(chan response, 1)}
	r := &pendingRequest{id: 1, client: c}
	l.requests[1], l.openRequests = r, 1
	l.onBackstop(r)
	if got := <-c.response; got.outcome != failed || got.status != 504 {
		t.Errorf("answered %+v, want a failure with status 504", got)
	}
	l.respond(r, response{outcome: served})
	if len(c.response) != 0 || l.counters.backstops != 1 || l.openRequests != 0 || len(l.requests) != 0 {
		t.Errorf("%d further answers, counters %+v, %d open", len(c.response), l.counters, l.openRequests)
	}
}

// If a client closes its connection, the attempt is cancelled.
func TestClientGone(t *testing.T) {
	arrived := make(chan struct{}, 10)
	agent, fake := startWithBackend(t, func(net.Conn, *http.Request, int) bool {
		arrived <- struct{}{}
		return true
	})
	ctx, closeClient := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		req := newRequest(agent.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", "60000") // longer than the test waits for the cancellation
		_, err := testClient.Do(req.WithContext(ctx))
		failed <- err
	}()
	<-arrived
	closeClient()
	<-failed
	select {
	case <-fake.ended:
	case <-time.After(testTimeout):
		t.Fatal("the attempt is not cancelled")
	}
	if counts := agent.readCounters(); counts.clientsGone != 1 || counts.backstops != 0 {
		t.Errorf("counters %+v", counts)
	}
}
