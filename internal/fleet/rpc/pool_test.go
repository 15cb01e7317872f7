package rpc

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCallsShareConnections(t *testing.T) {
	server, pool := startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	for i := range 20 {
		response, err := Call[testRequest, testResponse](ctx, pool, server.address, "echo", &testRequest{Text: fmt.Sprint(i)})
		require.NoError(t, err)
		assert.Equal(t, fmt.Sprint(i), response.Text)
		_, err = Call[testRequest, testResponse](ctx, pool, server.address, "refuse", &testRequest{})
		require.Error(t, err)
		assert.Contains(t, err.Error(), "call refuse of agent "+server.address+": save: the disk is full")
		_, err = Call[testRequest, testResponse](ctx, pool, server.address, "other", &testRequest{})
		require.ErrorIs(t, err, ErrUnknownMethod)
		assert.Contains(t, err.Error(), "run the same version everywhere")
	}
	assert.Equal(t, int64(1), server.listener.accepted.Load(), "an error of the handler leaves the connection usable")
}

// A cancelled call ends on both sides, and later calls are not affected.
func TestCancelledCalls(t *testing.T) {
	waiting := make(chan struct{}, 2)
	server, pool := startServer(t, testMux(waiting)), newTestPool(t)
	for i := range 100 {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := Call[testRequest, testResponse](ctx, pool, server.address, "wait", &testRequest{})
			done <- err
		}()
		<-waiting
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, server.address, "echo", &testRequest{})
		require.NoError(t, err, "call %d", i)
		<-waiting
	}
}

// A call to a peer that does not respond ends with its context.
func TestUnresponsivePeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	pool := newTestPool(t)
	for _, size := range []int{1, 8 << 20} { // the second is more than the socket buffers hold
		_, err = Call[testRequest, testResponse](timeoutContext(t, 100*time.Millisecond), pool, listener.Addr().String(), "echo", &testRequest{Text: strings.Repeat("x", size)})
		require.ErrorIs(t, err, context.DeadlineExceeded)
	}
	_, closeStream, err := OpenStream[testRequest, testResponse](timeoutContext(t, 100*time.Millisecond), listener.Addr().String(), "echo")
	require.NoError(t, err, "a stream opens without an answer")
	closeStream()
	assert.Empty(t, pool.idle)
}

func TestStoppedPeer(t *testing.T) {
	server, pool := startServer(t, testMux(nil)), newTestPool(t)
	call := func() error {
		_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, server.address, "echo", &testRequest{})
		return err
	}
	require.NoError(t, call())
	idleConn := pool.idle[server.address][0].conn
	server.stop()
	<-idleConn.Closed() // it is detected without a call
	err := call()
	require.Error(t, err)
	assert.Contains(t, err.Error(), "connect to agent "+server.address)
	_, _, err = OpenStream[testRequest, testResponse](timeoutContext(t, 10*time.Second), server.address, "echo")
	require.Error(t, err)
	assert.Empty(t, pool.idle)
	startServerAt(t, testMux(nil), server.address, serveSmall)
	assert.NoError(t, call())
}

func TestPoolIsBounded(t *testing.T) {
	waiting := make(chan struct{}, 64)
	gate := make(chan struct{})
	mux := testMux(waiting)
	HandleUnary(mux, "gate", func(context.Context, *testRequest) (*testResponse, error) {
		waiting <- struct{}{}
		<-gate
		return &testResponse{}, nil
	})
	server, other, pool := startServer(t, mux), startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			_, err := Call[testRequest, testResponse](ctx, pool, server.address, "gate", &testRequest{})
			assert.NoError(t, err)
		})
	}
	for range 16 {
		<-waiting
	}
	close(gate)
	wg.Wait()
	pool.mu.Lock()
	require.Len(t, pool.idle[server.address], maxIdlePerPeer)
	// Connections that were idle for too long are not reused, and are closed even if their peer is not called again.
	for i := range pool.idle[server.address] {
		pool.idle[server.address][i].since = time.Now().Add(-idleTimeout - time.Second)
	}
	expired := pool.idle[server.address][0].conn
	pool.lastSweep = time.Now().Add(-idleTimeout - time.Second)
	pool.mu.Unlock()
	_, err := Call[testRequest, testResponse](ctx, pool, other.address, "echo", &testRequest{})
	require.NoError(t, err)
	<-expired.Closed()
	pool.mu.Lock()
	assert.Len(t, pool.idle, 1)
	assert.Len(t, pool.idle[other.address], 1)
	pool.idle[other.address][0].since = time.Now().Add(-idleTimeout - time.Second)
	pool.mu.Unlock()
	_, err = Call[testRequest, testResponse](ctx, pool, other.address, "echo", &testRequest{})
	require.NoError(t, err)
	assert.Equal(t, int64(2), other.listener.accepted.Load())
}

func TestClosedPoolRetainsNoConnection(t *testing.T) {
	waiting := make(chan struct{}, 2)
	server, pool := startServer(t, testMux(waiting)), NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := Call[testRequest, testResponse](ctx, pool, server.address, "wait", &testRequest{})
		done <- err
	}()
	<-waiting
	pool.Close()
	cancel()
	require.Error(t, <-done)
	_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, server.address, "echo", &testRequest{})
	assert.NoError(t, err, "a process may still send calls after it has closed the pool")
	assert.Empty(t, pool.idle)
	pool.Close()
}
