package rpc

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestRegisterTwicePanics(t *testing.T) {
	mux := testMux(nil)
	assert.Panics(t, func() { HandleStream(mux, "echo", func(*Stream[testResponse, testRequest]) error { return nil }) })
}

// Serve ends calls in flight and closes the listener.
func TestServeEndsCallsInFlight(t *testing.T) {
	waiting := make(chan struct{}, 2)
	server, pool := startServer(t, testMux(waiting)), newTestPool(t)
	done := make(chan error, 1)
	go func() {
		_, err := Call[testRequest, testResponse](timeoutContext(t, 20*time.Second), pool, server.address, "wait", &testRequest{})
		done <- err
	}()
	<-waiting
	server.stop()
	<-waiting
	require.Error(t, <-done)
	_, err := net.Dial("tcp", server.address)
	require.Error(t, err)
}

func TestServeReturnsListenerErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	err = Serve(timeoutContext(t, 10*time.Second), listener, NewMux(), ServerOptions{})
	require.Error(t, err)
	assert.Contains(t, err.Error(), "serve calls of other agents")
}

// Bytes that are not a call end only their own connection.
func TestRandomBytes(t *testing.T) {
	server := startServerAt(t, testMux(nil), "127.0.0.1:0", func(ctx context.Context, listener net.Listener, mux *Mux) error {
		return serve(ctx, listener, mux, ServerOptions{}, 50*time.Millisecond)
	})
	pool := newTestPool(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 60 {
		conn, err := net.Dial("tcp", server.address)
		require.NoError(t, err)
		noise := make([]byte, 1+rng.IntN(4096))
		for j := range noise {
			noise[j] = byte(rng.Uint32())
		}
		_, _ = conn.Write(noise) // the server may have closed it already
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = io.Copy(io.Discard, conn)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "connection %d stays open", i)
		conn.Close()
	}
	_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, server.address, "echo", &testRequest{})
	assert.NoError(t, err)
}

// A request or response that can't be decoded fails only its own call.
func TestMalformedMessages(t *testing.T) {
	server, pool := startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	for range 3 {
		wrong := []int{1, 2}
		_, err := Call[[]int, testResponse](ctx, pool, server.address, "echo", &wrong)
		require.Error(t, err)
		_, err = Call[testRequest, []string](ctx, pool, server.address, "echo", &testRequest{})
		require.Error(t, err)
		_, err = Call[testRequest, testResponse](ctx, pool, server.address, "echo", &testRequest{})
		require.NoError(t, err)
	}
}

func TestMessagesAreBounded(t *testing.T) {
	server, pool := startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	response, err := Call[testRequest, testResponse](ctx, pool, server.address, "echo", &testRequest{Size: 9 << 20})
	require.NoError(t, err, "a complete configuration fits")
	assert.Len(t, response.Text, 9<<20)
	_, err = Call[testRequest, testResponse](ctx, pool, server.address, "echo", &testRequest{Text: strings.Repeat("x", maxMessageBytes+1<<20)})
	require.Error(t, err)
	_, err = Call[testRequest, testResponse](ctx, pool, server.address, "echo", &testRequest{Size: maxMessageBytes + 1<<20})
	require.Error(t, err)
	_, err = Call[testRequest, testResponse](ctx, pool, server.address, "echo", &testRequest{})
	assert.NoError(t, err)
}

// Both sides detect a partition: by sent bytes that are not acknowledged, and by probes when idle.
func TestConnectionsDetectPartitions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	out, err := DialTCP(timeoutContext(t, 10*time.Second), listener.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := partitionDetectingListener{listener}.Accept()
	require.NoError(t, err)
	defer in.Close()
	for name, c := range map[string]net.Conn{"dialed": out, "accepted": in} {
		raw, err := c.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) {
			ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			assert.NoError(t, err)
			assert.Equal(t, int(tcpUserTimeout.Milliseconds()), ms, name)
			on, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
			assert.NoError(t, err)
			assert.Equal(t, 1, on, name)
		}))
	}
}
