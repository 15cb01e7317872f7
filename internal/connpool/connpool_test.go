package connpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeConn is a connection that records whether it was closed.
type fakeConn struct {
	idleSince time.Time
	closed    bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func (c *fakeConn) IdleSince() time.Time { return c.idleSince }

// start is the time at which the first connection was put into a pool.
var start = time.Unix(1000, 0)

// put reserves a connection and puts it into a pool, idle since the given number of seconds after start.
func put(t *testing.T, pool *Pool[string, *fakeConn], key string, seconds int) *fakeConn {
	t.Helper()
	require.NoError(t, pool.Reserve())
	conn := &fakeConn{idleSince: start.Add(time.Duration(seconds) * time.Second)}
	require.True(t, pool.PutIdle(key, conn))
	return conn
}

// requireCount checks how many connections are open and how many of them are idle.
func requireCount(t *testing.T, pool *Pool[string, *fakeConn], open, idle int) {
	t.Helper()
	gotOpen, gotIdle := pool.Count()
	require.Equal(t, open, gotOpen, "open")
	require.Equal(t, idle, gotIdle, "idle")
}

func TestTakeIdle(t *testing.T) {
	pool := New[string, *fakeConn](9, 9)
	_, ok := pool.TakeIdle("a")
	require.False(t, ok)
	first, second := put(t, pool, "a", 1), put(t, pool, "a", 2)
	put(t, pool, "b", 3)
	for _, want := range []*fakeConn{second, first} {
		conn, ok := pool.TakeIdle("a")
		require.True(t, ok)
		require.Same(t, want, conn, "want the most recently used connection first")
	}
	_, ok = pool.TakeIdle("a")
	require.False(t, ok)
	requireCount(t, pool, 3, 1)
	pool.Close(first)
	require.True(t, first.closed)
	pool.Release()
	requireCount(t, pool, 1, 1)
}

func TestReserveEvictsLongestIdle(t *testing.T) {
	pool := New[string, *fakeConn](3, 9)
	second, first, third := put(t, pool, "a", 2), put(t, pool, "b", 1), put(t, pool, "b", 3)
	require.NoError(t, pool.Reserve())
	require.True(t, first.closed)
	require.NoError(t, pool.Reserve())
	require.True(t, second.closed)
	require.False(t, third.closed)
	require.NoError(t, pool.Reserve())
	require.ErrorIs(t, pool.Reserve(), ErrExhausted, "all connections are in use")
	requireCount(t, pool, 3, 0)
}

func TestPutIdleIsBounded(t *testing.T) {
	pool := New[string, *fakeConn](9, 1)
	put(t, pool, "a", 1)
	require.NoError(t, pool.Reserve())
	surplus := &fakeConn{}
	require.False(t, pool.PutIdle("a", surplus))
	require.False(t, surplus.closed, "the caller still uses the connection")
	requireCount(t, pool, 2, 1)
}

func TestCloseIdle(t *testing.T) {
	pool := New[string, *fakeConn](9, 9)
	conns := map[string]*fakeConn{"a": put(t, pool, "a", 1), "b": put(t, pool, "b", 2), "c": put(t, pool, "c", 3)}
	pool.CloseIdle("a")
	pool.CloseIdle("unknown")
	require.True(t, conns["a"].closed)
	requireCount(t, pool, 2, 2)
	pool.CloseIdleIf(func(key string) bool { return key != "c" })
	require.True(t, conns["b"].closed)
	require.False(t, conns["c"].closed)
	requireCount(t, pool, 1, 1)
}

func TestCloseExpired(t *testing.T) {
	pool := New[string, *fakeConn](9, 9)
	first, second, third := put(t, pool, "a", 1), put(t, pool, "a", 2), put(t, pool, "a", 3)
	other := put(t, pool, "b", 3)
	pool.CloseExpired(func(key string, conn *fakeConn) bool { return key == "b" || conn != second })
	require.True(t, first.closed)
	require.False(t, second.closed)
	require.False(t, third.closed, "a connection behind an unexpired one was closed")
	require.True(t, other.closed)
	requireCount(t, pool, 2, 2)
}
