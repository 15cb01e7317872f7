package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/connpool"
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

// testPool is a pool with room for two connections, and servers to connect to.
type testPool struct {
	*pool
	t       *testing.T
	harness *testHarness
}

func newTestPool(t *testing.T) *testPool {
	t.Helper()
	return &testPool{pool: newPool(2), t: t, harness: newHarness(t, 3, alwaysSucceed)}
}

// getFrom gets a connection to the server with the given number.
func (p *testPool) getFrom(server int) (*conn, bool, error) {
	instance := p.harness.servers[server].instance
	return p.get(context.Background(), instance, time.Now().Add(testTimeout))
}

// requireDialed gets a connection, and checks that it is a new one.
func (p *testPool) requireDialed(server int) *conn {
	p.t.Helper()
	conn, dialed, err := p.getFrom(server)
	require.NoError(p.t, err)
	require.True(p.t, dialed)
	p.t.Cleanup(func() { conn.Close() })
	return conn
}

// requireExhausted checks that no connection can be opened.
func (p *testPool) requireExhausted(server int) {
	p.t.Helper()
	_, _, err := p.getFrom(server)
	require.ErrorIs(p.t, err, connpool.ErrExhausted)
}

func TestPoolEvictsOnlyIdleConnections(t *testing.T) {
	pool := newTestPool(t)
	firstConn := pool.requireDialed(0)
	pool.requireDialed(1)
	pool.requireExhausted(2)
	pool.put(firstConn)
	pool.requireDialed(2)
	pool.requireExhausted(0)
}

func TestPoolReusesConnections(t *testing.T) {
	pool := newTestPool(t)
	firstConn := pool.requireDialed(1)
	pool.put(firstConn)
	reusedConn, dialed, err := pool.getFrom(1)
	require.NoError(t, err)
	require.False(t, dialed)
	require.Equal(t, firstConn, reusedConn)
	firstConn.keepAlive = 0 // expires at once
	pool.put(firstConn)
	pool.requireDialed(1)
}

func TestPoolCloses(t *testing.T) {
	pool := newTestPool(t)
	expiredConn, unlistedConn := pool.requireDialed(1), pool.requireDialed(2)
	pool.put(expiredConn)
	pool.put(unlistedConn)
	expiredConn.usableUntil = time.Now()
	pool.closeExpired()
	open, _ := pool.conns.Count()
	require.Equal(t, 1, open)
	pool.retainListed(pool.harness.serverList(pool.harness.servers[2]).ByID)
	open, idle := pool.conns.Count()
	require.Zero(t, open)
	require.Zero(t, idle)
}

// requireNoUsableConn waits until the gateway has no idle connection to a server that may carry a request.
func (h *testHarness) requireNoUsableConn(server *testServer) {
	h.t.Helper()
	conns := h.gateway.pool.conns
	require.Eventually(h.t, func() bool {
		conn, ok := conns.TakeIdle(server.instance.ID)
		if !ok {
			open, _ := conns.Count()
			return open == 0 // put has closed it as unusable
		}
		usable := http1.IsIdle(conn.Conn, conn.reader)
		return conns.PutIdle(server.instance.ID, conn) && !usable
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
