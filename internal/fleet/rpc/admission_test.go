package rpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/pipenetwork"
)

// heldUpServer is a server whose short calls wait until it is released.
type heldUpServer struct {
	network  pipenetwork.Network
	stats    ServerStats
	priority bool // whether new connections are those of priority callers
	released chan struct{}
}

// withHeldUpServer runs a test in virtual time with a server that has the smallest bounds.
func withHeldUpServer(t *testing.T, test func(*testing.T, *heldUpServer)) {
	synctest.Test(t, func(t *testing.T) {
		server := &heldUpServer{network: pipenetwork.Network{}, released: make(chan struct{})}
		mux := NewMux()
		HandleUnary(mux, "held up", func(context.Context, *testRequest) (*testResponse, error) {
			<-server.released
			return &testResponse{}, nil
		})
		HandleUnary(mux, "echo", func(_ context.Context, request *testRequest) (*testResponse, error) {
			return &testResponse{request.Text}, nil
		})
		HandleStream(mux, "refuse", func(st *Stream[testResponse, testRequest]) error { return st.Send(&testResponse{"later"}) })
		listener := server.network.Listen("server")
		ctx, cancel := context.WithCancel(t.Context())
		var serving sync.WaitGroup
		serving.Go(func() {
			assert.NoError(t, Serve(ctx, listener, mux, ServerOptions{Stats: &server.stats,
				IsPriority: func(net.Addr) bool { return server.priority }}))
		})
		test(t, server)
		cancel()
		serving.Wait()
		assert.Zero(t, server.stats.Connections.Load()+server.stats.Reserved.Load()+server.stats.Calls.Load(), "all is given back")
	})
}

// abandonCall makes a call and leaves before it is answered.
func (s *heldUpServer) abandonCall(t *testing.T) {
	pool := NewPoolWithDialer(s.network)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := Call[testRequest, testResponse](ctx, pool, "server", "held up", &testRequest{})
	require.Error(t, err)
	synctest.Wait()
}

// echo calls the server on a new connection.
func (s *heldUpServer) echo(t *testing.T) error {
	pool := NewPoolWithDialer(s.network)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := Call[testRequest, testResponse](ctx, pool, "server", "echo", &testRequest{})
	pool.Close()
	synctest.Wait()
	return err
}

// A call that is held up counts until its handler ends, even if its caller left long ago. Further calls are refused
// at once, except for those of priority callers.
func TestShortCallsAreBounded(t *testing.T) {
	withHeldUpServer(t, func(t *testing.T, server *heldUpServer) {
		for range minConnections / callsDivisor {
			server.abandonCall(t)
		}
		assert.EqualValues(t, minConnections/callsDivisor, server.stats.Calls.Load())
		assert.EqualValues(t, minConnections/callsDivisor, server.stats.Connections.Load(), "the handlers still run")
		begin := time.Now()
		require.ErrorContains(t, server.echo(t), errBusy.Error())
		assert.Zero(t, time.Since(begin), "refused at once")
		assert.EqualValues(t, 1, server.stats.RefusedCalls.Load())
		server.priority = true
		require.NoError(t, server.echo(t))
		server.priority = false
		close(server.released)
		synctest.Wait()
		require.NoError(t, server.echo(t))
	})
}

// A connection over the bound is closed at once, except for those of priority callers, which have a reserve.
func TestConnectionsAreBounded(t *testing.T) {
	withHeldUpServer(t, func(t *testing.T, server *heldUpServer) {
		open := func() net.Conn {
			conn, err := server.network.Dial(t.Context(), "server")
			require.NoError(t, err)
			t.Cleanup(func() { conn.Close() })
			synctest.Wait()
			return conn
		}
		first := open()
		for range minConnections - 1 {
			open()
		}
		assert.EqualValues(t, minConnections, server.stats.Connections.Load())
		begin := time.Now()
		require.Error(t, server.echo(t))
		assert.Zero(t, time.Since(begin), "closed at once")
		assert.EqualValues(t, 1, server.stats.RefusedConnections.Load())

		server.priority = true
		for range minConnections / priorityDivisor {
			require.NoError(t, server.echo(t))
			open()
		}
		assert.EqualValues(t, minConnections/priorityDivisor, server.stats.Reserved.Load())
		require.Error(t, server.echo(t), "the reserve is bounded, too")
		server.priority = false
		first.Close()
		synctest.Wait()
		require.NoError(t, server.echo(t), "a connection has ended, so there is capacity again")
		close(server.released)
	})
}

// The bounds follow from the memory limit. The smallest member of the core of a fleet of 300 has to serve all of
// its 294 agents if it is the only one left, and their short calls besides.
func TestBoundsFollowFromTheMemoryLimit(t *testing.T) {
	t.Parallel()
	for memoryMB, want := range map[int64]int64{0: minConnections, 16: minConnections, 102: 510, 184: 920, 4096: maxConnections} {
		admitted := newAdmission(ServerOptions{MemoryBytes: memoryMB * bytesPerMB})
		assert.Equal(t, want, admitted.maxConnections, "%d MB", memoryMB)
		assert.Equal(t, want/priorityDivisor, admitted.maxReserved, "%d MB", memoryMB)
		assert.Equal(t, want/callsDivisor, admitted.maxCalls, "%d MB", memoryMB)
	}
}

// A handler that ends a stream without receiving what the caller has sent keeps no connection of callers that left.
func TestStreamEndsWithItsHandler(t *testing.T) {
	withHeldUpServer(t, func(t *testing.T, server *heldUpServer) {
		defer close(server.released)
		st, hangUp, err := OpenStreamWithDialer[testRequest, testResponse](t.Context(), server.network, "server", "refuse")
		require.NoError(t, err)
		sent := make(chan error, 1)
		go func() { sent <- st.Send(&testRequest{Text: "hello"}) }()
		synctest.Wait()
		answer, err := st.Recv()
		require.NoError(t, err)
		assert.Equal(t, "later", answer.Text)
		hangUp()
		synctest.Wait()
		assert.Zero(t, server.stats.Connections.Load())
	})
}
