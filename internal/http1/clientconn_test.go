package http1

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTestClientConn returns a ClientConn, its peer and the count of connections in flight.
func newTestClientConn(t *testing.T) (conn *ClientConn, peer net.Conn, inFlight *atomic.Int64) {
	t.Helper()
	near, far := tcpPair(t)
	inFlight = new(atomic.Int64)
	return NewClientConn(near, inFlight), far, inFlight
}

// requireEnd waits until the peer of a connection reads its end.
func requireEnd(t *testing.T, peer net.Conn) {
	t.Helper()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err := peer.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

func TestClientConnWithoutRequest(t *testing.T) {
	conn, peer, inFlight := newTestClientConn(t)
	require.NoError(t, conn.Close())
	requireEnd(t, peer)
	assert.False(t, conn.BeginRequest())
	assert.Zero(t, inFlight.Load())
}

// TestClientConnClosedDuringRequest checks that the close is deferred until the response is written.
func TestClientConnClosedDuringRequest(t *testing.T) {
	conn, peer, inFlight := newTestClientConn(t)
	require.True(t, conn.BeginRequest())
	assert.Equal(t, int64(1), inFlight.Load())
	assert.False(t, conn.CloseRequested())
	require.NoError(t, conn.Close())
	require.NoError(t, conn.Close(), "second call")
	assert.True(t, conn.CloseRequested())
	_, err := conn.Write([]byte("response"))
	require.NoError(t, err)
	received := make([]byte, len("response"))
	_, err = io.ReadFull(peer, received)
	require.NoError(t, err)
	assert.Equal(t, "response", string(received))

	conn.EndRequest()
	assert.Equal(t, int64(1), inFlight.Load(), "the connection counts until it is closed")
	assert.False(t, conn.BeginRequest(), "a further request was accepted")
	require.NoError(t, conn.CloseWrite())
	require.NoError(t, conn.Close())
	requireEnd(t, peer)
	assert.Zero(t, inFlight.Load())
	assert.Error(t, conn.Close())
	assert.Zero(t, inFlight.Load())
}

func TestClientConnConsecutiveRequests(t *testing.T) {
	conn, _, inFlight := newTestClientConn(t)
	for range 3 {
		require.True(t, conn.BeginRequest())
		conn.EndRequest()
	}
	assert.Zero(t, inFlight.Load())
}

// TestClientConnCloseWrite checks that CloseWrite does nothing on a connection without half-close.
func TestClientConnCloseWrite(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	assert.NoError(t, NewClientConn(near, new(atomic.Int64)).CloseWrite())
}

func TestListener(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var inFlight atomic.Int64
	listener := &Listener{Listener: tcpListener, InFlight: &inFlight}
	dialed, err := net.Dial("tcp", tcpListener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	conn := accepted.(*ClientConn)
	require.True(t, conn.BeginRequest())
	assert.Equal(t, int64(1), inFlight.Load())
	conn.EndRequest()
	require.NoError(t, conn.Close())
	require.NoError(t, listener.Close())
	_, err = listener.Accept()
	assert.Error(t, err)
}
