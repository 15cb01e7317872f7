package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/http1"
)

// newFramingConn wraps a connection as Serve does, with the default limits.
func newFramingConn(conn net.Conn, rejected *atomic.Int64) *framingConn {
	return &framingConn{Conn: conn, rejected: rejected, clock: new(atomic.Int64), limits: func() clientLimits { return limitsOf(nil) }, mayDeny: func() bool { return true }}
}

// withLimits returns a new configuration with the given limits.
func (h *testHarness) withLimits(limits config.Limits) *config.Document {
	document := h.document("")
	document.Limits = limits
	return document
}

// requestOfHeadSize returns a request whose head has the given size in bytes.
func requestOfHeadSize(size int) string {
	const field = "X-Padding: %s\r\n"
	paddingSize := size - len(requestHead("GET", "/safe/x", fmt.Sprintf(field, "")))
	return requestHead("GET", "/safe/x", fmt.Sprintf(field, strings.Repeat("p", paddingSize)))
}

func TestLimitsOfConfiguration(t *testing.T) {
	defaults := clientLimits{defaultHeaderBytes, defaultMaxBodyBytes, defaultHeaderTimeout, defaultIdleTimeout}
	assert.Equal(t, defaults, limitsOf(nil))
	assert.Equal(t, defaults, limitsOf(&config.Document{Limits: config.Limits{HeaderBytes: -1, IdleMs: -5}}))
	assert.Equal(t, clientLimits{16384, 65536, 3 * time.Second, 120 * time.Second},
		limitsOf(&config.Document{Limits: config.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderMs: 3000, IdleMs: 120_000}}))
	largeLimits := limitsOf(&config.Document{
		Limits: config.Limits{HeaderBytes: 1 << 40, HeaderMs: 1 << 62, IdleMs: 1 << 62},
	})
	assert.Equal(t, int64(maxHeaderBytes), largeLimits.headerBytes)
	assert.Positive(t, largeLimits.headerTimeout)
	assert.Positive(t, largeLimits.idleTimeout)
}

// TestHeadOverTheLimit checks that the size of a head is limited by the configuration in force when the head
// arrives, also on a connection that was opened before.
func TestHeadOverTheLimit(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	harness.update(harness.withLimits(config.Limits{HeaderBytes: 1000}))
	client := harness.dial()
	send := func(client *testClient, size int) int {
		client.write(requestOfHeadSize(size))
		resp, _ := client.readResponse()
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, send(client, 990))
	harness.update(harness.withLimits(config.Limits{HeaderBytes: 100_000}))
	require.Equal(t, http.StatusOK, send(client, 90_000), "a limit above defaultHeaderBytes must apply")
	harness.update(harness.withLimits(config.Limits{HeaderBytes: 1000}))
	rejected := harness.gateway.Counters.Rejected.Load()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, send(client, 1010))
	client.requireClosed()
	assert.Equal(t, rejected+1, harness.gateway.Counters.Rejected.Load())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, send(harness.dial(), 200_000))
	assert.Equal(t, int64(2), harness.requestCount(), "only the requests within the limit may be executed")
}

// TestHeadOverTheLimitBehindAnother checks that a pipelined request whose head is too long is rejected only
// after the response to the request before it.
func TestHeadOverTheLimitBehindAnother(t *testing.T) {
	release := make(chan struct{})
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		<-release
		return call.respondSuccess()
	})
	harness.update(harness.withLimits(config.Limits{HeaderBytes: 1000}))
	client := harness.dial()
	client.write(requestHead("GET", "/safe/x", "") + requestOfHeadSize(2000))
	harness.nextCall()
	close(release)
	resp, _ := client.readResponse()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	resp, _ = client.readResponse()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
	client.requireClosed()
}

// TestSlowHeadsAndIdleConnectionsAreClosed checks that connections are closed if a head is not complete within
// header-ms or if they are idle for longer than idle-ms, and that changed limits apply to open connections.
func TestSlowHeadsAndIdleConnectionsAreClosed(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	slowClient, unusedClient, usedClient := harness.dial(), harness.dial(), harness.dial()
	usedClient.write(requestHead("GET", "/safe/x", ""))
	resp, _ := usedClient.readResponse()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	slowClient.write("GET /safe/x HTTP/1.1\r\nHost: h.exa")
	harness.update(harness.withLimits(config.Limits{HeaderMs: 1, IdleMs: 1}))
	for _, client := range []*testClient{slowClient, unusedClient, usedClient} {
		client.requireClosed()
	}
	require.Eventually(t, func() bool { return harness.gateway.clientConns.count() == 0 }, testTimeout, time.Millisecond)
}

// TestRequestInFlightIsNotIdle checks that the connection of a request that takes longer than idle-ms and
// header-ms stays open until the response is sent.
func TestRequestInFlightIsNotIdle(t *testing.T) {
	release := make(chan struct{})
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		<-release
		return call.respondSuccess()
	})
	client, idleClient := harness.dial(), harness.dial()
	client.write(requestHead("GET", "/safe/x", "") + "GET /sa") // with the start of the next request
	harness.nextCall()
	harness.update(harness.withLimits(config.Limits{HeaderMs: 1, IdleMs: 1}))
	idleClient.requireClosed() // which shows that the connections have been checked
	close(release)
	resp, _ := client.readResponse()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	client.requireClosed()
}

// timedConn is a client's connection whose state tests report in place of net/http.
type timedConn struct {
	*http1.ClientConn
	framing *framingConn
}

func newTimedConn(t *testing.T) timedConn {
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	framing := newFramingConn(near, new(atomic.Int64))
	return timedConn{http1.NewClientConn(framing, new(atomic.Int64)), framing}
}

func TestClientConnLimits(t *testing.T) {
	limits := clientLimits{headerTimeout: 3 * time.Second, idleTimeout: 120 * time.Second}
	conns, conn := newClientConns(), newTimedConn(t)
	exceeded := func(after time.Duration) bool {
		now := conns.clock.Add(int64(after))
		return len(conns.exceeding(now, limits)) > 0
	}
	conns.stateChanged(conn.ClientConn, http.StateNew)
	assert.False(t, exceeded(100*time.Second), "a connection must stay open when idle for over 75 s")
	assert.True(t, exceeded(21*time.Second))
	conns.stateChanged(conn.ClientConn, http.StateActive)
	assert.False(t, exceeded(time.Hour), "a connection must stay open during a request")
	conns.stateChanged(conn.ClientConn, http.StateIdle)
	assert.False(t, exceeded(119*time.Second))
	conn.framing.times.headSince.Store(conns.clock.Load())
	assert.False(t, exceeded(2*time.Second), "the time of a head must count from its first byte")
	assert.True(t, exceeded(2*time.Second))
	limits.headerTimeout = 5 * time.Second
	assert.False(t, exceeded(0), "a changed limit must apply at once")

	// The time of a pipelined head counts from the response to the request before it.
	conns.stateChanged(conn.ClientConn, http.StateActive)
	conns.clock.Add(int64(time.Hour))
	conns.stateChanged(conn.ClientConn, http.StateIdle)
	assert.False(t, exceeded(4*time.Second))
	assert.True(t, exceeded(2*time.Second))

	conns.stateChanged(conn.ClientConn, http.StateClosed)
	assert.Zero(t, conns.count())
	conns.stateChanged(nil, http.StateNew) // another kind of connection
	assert.Zero(t, conns.count())
}

// TestPauseIsNoIdleTime checks that a pause of the process does not count as idle time: what clients sent in
// the meantime has to be read before their connections may be closed.
func TestPauseIsNoIdleTime(t *testing.T) {
	limits := clientLimits{headerTimeout: time.Second, idleTimeout: time.Second}
	conns, conn := newClientConns(), newTimedConn(t)
	conns.stateChanged(conn.ClientConn, http.StateNew)
	conns.check(time.Minute, limits)
	assert.True(t, conn.BeginRequest(), "the connection must still be open")
	conn.EndRequest()
	for range int(limits.idleTimeout/limitCheckInterval) + 1 {
		conns.check(limitCheckInterval, limits)
	}
	assert.False(t, conn.BeginRequest(), "the connection must be closed")
}

// count returns the number of open connections.
func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}
