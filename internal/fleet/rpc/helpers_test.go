package rpc

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

type testRequest struct {
	Text string `msgpack:"t"`
	Size int    `msgpack:"n"`
}

type testResponse struct {
	Text string `msgpack:"t"`
}

// acceptCountingListener counts the connections that it accepted.
type acceptCountingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *acceptCountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// testServer serves a mux until stop is called or the test ends.
type testServer struct {
	address  string
	listener *acceptCountingListener
	stop     func()
}

func startServer(t *testing.T, mux *Mux) *testServer {
	t.Helper()
	return startServerAt(t, mux, "127.0.0.1:0", serveSmall)
}

// serveSmall serves as a process with the smallest bounds, which these tests don't reach.
func serveSmall(ctx context.Context, listener net.Listener, mux *Mux) error {
	return Serve(ctx, listener, mux, ServerOptions{})
}

type serveFunc func(context.Context, net.Listener, *Mux) error

func startServerAt(t *testing.T, mux *Mux, addr string, serve serveFunc) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	server := &testServer{address: listener.Addr().String(), listener: &acceptCountingListener{Listener: listener}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, server.listener, mux) }()
	server.stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	t.Cleanup(server.stop)
	return server
}

func newTestPool(t *testing.T) *Pool {
	t.Helper()
	pool := NewPool()
	t.Cleanup(pool.Close)
	return pool
}

// testMux returns a mux with the calls echo, refuse and wait. The call wait sends to the channel when it starts
// and when it ends.
func testMux(waiting chan<- struct{}) *Mux {
	mux := NewMux()
	HandleUnary(mux, "echo", func(_ context.Context, request *testRequest) (*testResponse, error) {
		return &testResponse{request.Text + strings.Repeat("x", request.Size)}, nil
	})
	HandleUnary(mux, "refuse", func(context.Context, *testRequest) (*testResponse, error) {
		return nil, errors.Wrap(errors.New("the disk is full"), "save")
	})
	HandleUnary(mux, "wait", func(ctx context.Context, _ *testRequest) (*testResponse, error) {
		waiting <- struct{}{}
		<-ctx.Done()
		waiting <- struct{}{}
		return nil, ctx.Err()
	})
	return mux
}

func timeoutContext(t *testing.T, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}
