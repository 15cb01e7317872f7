package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/http1"
)

// limitCheckInterval is how often client connections are checked for exceeded time limits.
const limitCheckInterval = 100 * time.Millisecond

// clientTimes holds the times from which the timeouts of a client's connection count, by the clock of
// clientConns. It is safe for concurrent use.
type clientTimes struct {
	idleSince atomic.Int64 // when the connection became idle; 0 while a request is in progress
	headSince atomic.Int64 // when the incomplete head began to arrive; 0 if there is none
}

// exceeded reports whether a connection without a request in progress has been waiting for longer than the
// limits allow.
func (t *clientTimes) exceeded(now int64, limits clientLimits) bool {
	idleSince, headSince := t.idleSince.Load(), t.headSince.Load()
	switch {
	case idleSince == 0:
		return false
	case headSince != 0: // it may have begun to arrive during the previous request
		return now-max(idleSince, headSince) > int64(limits.headerTimeout)
	}
	return now-idleSince > int64(limits.idleTimeout)
}

// clientConns tracks the connections of clients and closes those that exceed the current time limits; the
// timeouts of net/http can't change while it serves. The clock advances by at most two check intervals per
// check: if the process was paused, requests that arrived in the meantime have not been read yet. It is safe
// for concurrent use.
type clientConns struct {
	clock atomic.Int64 // in nanoseconds, never 0

	mu    sync.Mutex
	times map[net.Conn]*clientTimes // by open connection; guarded by mu
}

func newClientConns() *clientConns {
	c := &clientConns{times: map[net.Conn]*clientTimes{}}
	c.clock.Store(1)
	return c
}

// stateChanged is the ConnState callback of the http.Server. It records when a connection becomes idle.
func (c *clientConns) stateChanged(conn net.Conn, state http.ConnState) {
	times := timesOf(conn)
	if times == nil {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		times.idleSince.Store(c.clock.Load())
	default:
		times.idleSince.Store(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.times[conn] = times
	case http.StateClosed, http.StateHijacked:
		delete(c.times, conn)
	}
}

// timesOf returns the times of a connection that Serve has accepted, or nil for any other connection.
func timesOf(conn net.Conn) *clientTimes {
	clientConn, ok := conn.(*http1.ClientConn)
	if !ok {
		return nil
	}
	framed := framingConnOf(clientConn)
	if framed == nil {
		return nil
	}
	return &framed.times
}

// framingConnOf returns the connection that Serve has accepted and wrapped, or nil for any other connection.
func framingConnOf(conn *http1.ClientConn) *framingConn {
	framed, _ := conn.Conn.(*framingConn)
	return framed
}

// enforce closes connections that exceed their limits, until ctx ends. The function limits returns the
// current ones.
func (c *clientConns) enforce(ctx context.Context, limits func() clientLimits) {
	ticker := time.NewTicker(limitCheckInterval)
	defer ticker.Stop()
	lastCheck := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		c.check(now.Sub(lastCheck), limits())
		lastCheck = now
	}
}

// check closes the connections that exceed limits; elapsed is the time since the previous check.
func (c *clientConns) check(elapsed time.Duration, limits clientLimits) {
	now := c.clock.Add(int64(min(elapsed, 2*limitCheckInterval)))
	for _, conn := range c.exceeding(now, limits) {
		_ = conn.Close() // if a request has just begun, the close is deferred until its response
	}
}

// exceeding returns the connections that exceed limits.
func (c *clientConns) exceeding(now int64, limits clientLimits) (conns []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, times := range c.times {
		if times.exceeded(now, limits) {
			conns = append(conns, conn)
		}
	}
	return conns
}
