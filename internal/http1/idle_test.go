package http1

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTimeout bounds every wait of the tests. Only a test that fails reaches it.
const testTimeout = 10 * time.Second

// tcpPair returns both ends of a connection over loopback.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// isIdle calls IsIdle for a connection from which nothing has been read.
func isIdle(conn net.Conn) bool { return IsIdle(conn, bufio.NewReader(conn)) }

// requireNotIdle waits until a connection is no longer idle.
func requireNotIdle(t *testing.T, conn net.Conn) {
	t.Helper()
	require.Eventually(t, func() bool { return !isIdle(conn) }, testTimeout, time.Millisecond)
}

func TestIsIdle(t *testing.T) {
	t.Run("open", func(t *testing.T) {
		near, _ := tcpPair(t)
		require.True(t, isIdle(near))
		require.True(t, isIdle(near), "the first call changed the connection")
	})
	t.Run("bytes received", func(t *testing.T) {
		near, far := tcpPair(t)
		_, err := far.Write([]byte("x"))
		require.NoError(t, err)
		requireNotIdle(t, near)
		reader := bufio.NewReader(near)
		received, err := reader.ReadByte()
		require.NoError(t, err)
		require.Equal(t, byte('x'), received, "IsIdle consumed the byte")
		require.True(t, IsIdle(near, reader))
		require.NoError(t, reader.UnreadByte())
		require.False(t, IsIdle(near, reader), "with a buffered byte")
	})
	t.Run("closed by the peer", func(t *testing.T) {
		near, far := tcpPair(t)
		require.NoError(t, far.Close())
		requireNotIdle(t, near)
	})
	t.Run("reset by the peer", func(t *testing.T) {
		near, far := tcpPair(t)
		require.NoError(t, far.SetLinger(0))
		require.NoError(t, far.Close())
		requireNotIdle(t, near)
	})
	t.Run("closed", func(t *testing.T) {
		near, _ := tcpPair(t)
		require.NoError(t, near.Close())
		require.False(t, isIdle(near))
	})
	t.Run("no socket", func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		require.True(t, isIdle(near))
	})
}

func TestIsNetworkError(t *testing.T) {
	near, far := tcpPair(t)
	require.NoError(t, near.SetReadDeadline(time.Now()))
	_, err := near.Read(make([]byte, 1))
	assert.True(t, IsNetworkError(err), "a timeout")
	require.NoError(t, far.SetLinger(0))
	far.Close()
	require.NoError(t, near.SetReadDeadline(time.Time{}))
	_, err = near.Read(make([]byte, 1))
	assert.True(t, IsNetworkError(errors.Wrap(err, "read")), "a reset")
	assert.False(t, IsNetworkError(io.EOF))
	assert.False(t, IsNetworkError(Malformed("x")))
	assert.False(t, IsNetworkError(nil))
}
