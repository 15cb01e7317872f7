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

// limitCheckInterval is the period at which the connections of clients are checked for those that are idle,
// or at work on a head, for too long.
const limitCheckInterval = 100 * time.Millisecond

// clientTimes is since when a client's connection has been waiting, by the clock of clientConns; 0: it is not.
// It is safe for concurrent use.
type clientTimes struct {
	idleSince atomic.Int64 // no request is being served
	headSince atomic.Int64 // a head has begun
}

// exceeded reports whether a connection without a request has been waiting for longer than its limits allow.
func (t *clientTimes) exceeded(now int64, limits clientLimits) bool {
	idleSince, headSince := t.idleSince.Load(), t.headSince.Load()
	switch {
	case idleSince == 0:
		return false
	case headSince != 0: // it may have come ahead, while the request before it was being served
		return now-max(idleSince, headSince) > int64(limits.headerTime)
	}
	return now-idleSince > int64(limits.idleTime)
}

// clientConns is the connections of clients. It closes those that exceed the limits in force at the moment:
// net/http has fixed ones. Its clock counts no more than two checks for a time in which this process was
// paused, as requests that came meanwhile have not been read. It is safe for concurrent use.
type clientConns struct {
	clock atomic.Int64 // in ns, above 0

	mu    sync.Mutex
	times map[net.Conn]*clientTimes // guarded by mu
}

func newClientConns() *clientConns {
	c := &clientConns{times: map[net.Conn]*clientTimes{}}
	c.clock.Store(1)
	return c
}

// stateChanged is the ConnState of the http.Server.
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

// timesOf returns the times of a connection that Serve has accepted, nil for another.
func timesOf(conn net.Conn) *clientTimes {
	clientConn, ok := conn.(*http1.ClientConn)
	if !ok {
		return nil
	}
	framed, ok := clientConn.Conn.(*framingConn)
	if !ok {
		return nil
	}
	return &framed.times
}

// enforce closes connections until ctx ends; limits returns those in force.
func (c *clientConns) enforce(ctx context.Context, limits func() clientLimits) {
	ticker := time.NewTicker(limitCheckInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		c.check(now.Sub(last), limits())
		last = now
	}
}

// check closes the connections that exceed limits, some time after the check before.
func (c *clientConns) check(elapsed time.Duration, limits clientLimits) {
	now := c.clock.Add(int64(min(elapsed, 2*limitCheckInterval)))
	for _, conn := range c.exceeding(now, limits) {
		_ = conn.Close() // under a request that has just begun it is closed behind the response
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
