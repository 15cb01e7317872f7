package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/http1"
)

func TestParseKeepAlive(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"":                     defaultKeepAlive,
		"timeout=5":            5*time.Second - keepAliveMargin,
		"max=100, timeout=30":  30*time.Second - keepAliveMargin,
		"timeout=0":            0,
		"timeout=x":            defaultKeepAlive,
		"timeout=-1":           defaultKeepAlive,
		"timeout=999999999999": defaultKeepAlive,
	} {
		require.Equal(t, want, parseKeepAlive(field), field)
	}
}

func TestPool(t *testing.T) {
	harness := newHarness(t, 3, alwaysSucceed)
	ctx := context.Background()
	pool := newPool(2)
	get := func(server *testServer) (*conn, bool, error) {
		return pool.get(ctx, server.instance, time.Now().Add(testTimeout))
	}
	call, fresh, err := get(harness.servers[0])
	require.NoError(t, err)
	require.True(t, fresh)
	b, _, err := get(harness.servers[1])
	require.NoError(t, err)
	_, _, err = get(harness.servers[2])
	require.ErrorIs(t, err, errPoolExhausted)
	// An idle one gives way to a new one, those in use don't.
	pool.put(call)
	c, fresh, err := get(harness.servers[2])
	require.NoError(t, err)
	require.True(t, fresh)
	_, _, err = get(harness.servers[0])
	require.ErrorIs(t, err, errPoolExhausted)
	// The same connection is used again.
	pool.put(b)
	again, fresh, err := get(harness.servers[1])
	require.NoError(t, err)
	require.False(t, fresh)
	require.Equal(t, b, again)
	// Not one whose time is over.
	b.keepAlive = 0
	pool.put(b)
	b, fresh, err = get(harness.servers[1])
	require.NoError(t, err)
	require.True(t, fresh)
	pool.put(b)
	pool.put(c)
	b.usableUntil = time.Now()
	pool.closeExpired()
	require.Equal(t, 1, pool.open)
	pool.retainListed(harness.serverList(harness.servers[2]).ByID)
	require.Zero(t, pool.open)
	require.Empty(t, pool.idle)
}

// requireNoUsableConn waits until the gateway has no idle connection to a server that may carry a request.
func (h *testHarness) requireNoUsableConn(server *testServer) {
	h.t.Helper()
	pool := h.gateway.pool
	require.Eventually(h.t, func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		for _, conn := range pool.idle[server.instance.ID] {
			return !http1.IsIdle(conn.Conn, conn.reader)
		}
		return pool.open == 0 // it was not usable when it was put back
	}, testTimeout, time.Millisecond)
}

func TestIdleConnectionClosedByServer(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool { return call.respondSuccess() && n > 0 })
	_, _ = harness.roundTrip(postRequest("/once/x", "", "1"))
	firstCall := harness.nextCall()
	harness.requireNoUsableConn(firstCall.server)
	resp, body := harness.roundTrip(postRequest("/once/x", "", "2"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "served 2", body)
	require.EqualValues(t, 2, harness.servers[0].connCount.Load())
}

func TestConnectionReuse(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
		if strings.Contains(call.requestLine, "/last") {
			return call.respond(200, sealField+"Connection: close\r\n", "")
		}
		return call.respondSuccess()
	})
	client := harness.dial()
	roundTrip := func(path string) {
		client.write(postRequest(path, "", "1"))
		_, _ = client.readResponse()
	}
	for range 5 {
		roundTrip("/once/x")
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
	roundTrip("/once/last")
	roundTrip("/once/x")
	require.EqualValues(t, 2, harness.servers[0].connCount.Load())
}
