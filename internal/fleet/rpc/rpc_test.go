package rpc

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

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

// acceptCounter counts the connections that it accepted.
type acceptCounter struct {
	net.Listener
	accepted atomic.Int64
}

func (l *acceptCounter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// testServer serves a table until stop is called; the test's end calls it, too.
type testServer struct {
	address  string
	listener *acceptCounter
	stop     func()
}

func startServer(t *testing.T, table *Mux) *testServer {
	return startServerAt(t, table, "127.0.0.1:0", Serve)
}

type serveFunc func(context.Context, net.Listener, *Mux) error

func startServerAt(t *testing.T, table *Mux, addr string, serve serveFunc) *testServer {
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	p := &testServer{address: ln.Addr().String(), listener: &acceptCounter{Listener: ln}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, p.listener, table) }()
	p.stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	t.Cleanup(p.stop)
	return p
}

func newTestPool(t *testing.T) *Pool {
	p := NewPool()
	t.Cleanup(p.Close)
	return p
}

// testMux are those of the tests: echo, refuse, and wait, which says by the channel that it does.
func testMux(waiting chan<- struct{}) *Mux {
	t := NewMux()
	HandleUnary(t, "echo", func(_ context.Context, q *testRequest) (*testResponse, error) {
		return &testResponse{q.Text + strings.Repeat("x", q.Size)}, nil
	})
	HandleUnary(t, "refuse", func(context.Context, *testRequest) (*testResponse, error) {
		return nil, errors.Wrap(errors.New("the disk is full"), "save")
	})
	HandleUnary(t, "wait", func(ctx context.Context, _ *testRequest) (*testResponse, error) {
		waiting <- struct{}{}
		<-ctx.Done()
		waiting <- struct{}{}
		return nil, ctx.Err()
	})
	return t
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsShareConnections(t *testing.T) {
	at, p := startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	for i := range 20 {
		a, err := Call[testRequest, testResponse](ctx, p, at.address, "echo", &testRequest{Text: fmt.Sprint(i)})
		require.NoError(t, err)
		assert.Equal(t, fmt.Sprint(i), a.Text)
		_, err = Call[testRequest, testResponse](ctx, p, at.address, "refuse", &testRequest{})
		require.Error(t, err)
		assert.Contains(t, err.Error(), "call refuse of agent "+at.address+": save: the disk is full")
		_, err = Call[testRequest, testResponse](ctx, p, at.address, "other", &testRequest{})
		require.ErrorIs(t, err, ErrUnknownMethod)
		assert.Contains(t, err.Error(), "run the same version everywhere")
	}
	assert.Equal(t, int64(1), at.listener.accepted.Load(), "an error of the call leaves its connection whole")
}

func TestRegisterTwicePanics(t *testing.T) {
	table := testMux(nil)
	assert.Panics(t, func() { HandleStream(table, "echo", func(*Stream[testResponse, testRequest]) error { return nil }) })
}

// A call that is cut short ends at both ends, and what comes after it is none the worse.
func TestCancelledCalls(t *testing.T) {
	waiting := make(chan struct{}, 2)
	at, p := startServer(t, testMux(waiting)), newTestPool(t)
	for i := range 100 {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := Call[testRequest, testResponse](ctx, p, at.address, "wait", &testRequest{})
			done <- err
		}()
		<-waiting
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, at.address, "echo", &testRequest{})
		require.NoError(t, err, "call %d", i)
		<-waiting
	}
}

// A peer that says nothing costs no more than the call's time.
func TestUnresponsivePeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	p := newTestPool(t)
	for _, size := range []int{1, 8 << 20} { // more than the kernel holds, too
		_, err = Call[testRequest, testResponse](timeoutContext(t, 100*time.Millisecond), p, ln.Addr().String(), "echo", &testRequest{Text: strings.Repeat("x", size)})
		require.ErrorIs(t, err, context.DeadlineExceeded)
	}
	_, hangUp, err := OpenStream[testRequest, testResponse](timeoutContext(t, 100*time.Millisecond), ln.Addr().String(), "echo")
	require.NoError(t, err, "a stream opens without an answer")
	hangUp()
	assert.Empty(t, p.idle)
}

func TestStoppedPeer(t *testing.T) {
	at, p := startServer(t, testMux(nil)), newTestPool(t)
	ask := func() error {
		_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, at.address, "echo", &testRequest{})
		return err
	}
	require.NoError(t, ask())
	kept := p.idle[at.address][0].conn
	at.stop()
	<-kept.Closed() // its end is noticed without a call
	err := ask()
	require.Error(t, err)
	assert.Contains(t, err.Error(), "connect to agent "+at.address)
	_, _, err = OpenStream[testRequest, testResponse](timeoutContext(t, 10*time.Second), at.address, "echo")
	require.Error(t, err)
	assert.Empty(t, p.idle)
	startServerAt(t, testMux(nil), at.address, Serve)
	assert.NoError(t, ask())
}

func TestPoolIsBounded(t *testing.T) {
	waiting := make(chan struct{}, 64)
	gate := make(chan struct{})
	table := testMux(waiting)
	HandleUnary(table, "gate", func(context.Context, *testRequest) (*testResponse, error) {
		waiting <- struct{}{}
		<-gate
		return &testResponse{}, nil
	})
	at, other, p := startServer(t, table), startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			_, err := Call[testRequest, testResponse](ctx, p, at.address, "gate", &testRequest{})
			assert.NoError(t, err)
		})
	}
	for range 16 {
		<-waiting
	}
	close(gate)
	wg.Wait()
	p.mu.Lock()
	require.Len(t, p.idle[at.address], maxIdlePerPeer)
	// What has idled for long is not used again, and does not stay either where nobody calls any more.
	for i := range p.idle[at.address] {
		p.idle[at.address][i].since = time.Now().Add(-idleTimeout - time.Second)
	}
	old := p.idle[at.address][0].conn
	p.lastSweep = time.Now().Add(-idleTimeout - time.Second)
	p.mu.Unlock()
	_, err := Call[testRequest, testResponse](ctx, p, other.address, "echo", &testRequest{})
	require.NoError(t, err)
	<-old.Closed()
	p.mu.Lock()
	assert.Len(t, p.idle, 1)
	assert.Len(t, p.idle[other.address], 1)
	p.idle[other.address][0].since = time.Now().Add(-idleTimeout - time.Second)
	p.mu.Unlock()
	_, err = Call[testRequest, testResponse](ctx, p, other.address, "echo", &testRequest{})
	require.NoError(t, err)
	assert.Equal(t, int64(2), other.listener.accepted.Load())
}

func TestClosedPoolRetainsNoConnection(t *testing.T) {
	waiting := make(chan struct{}, 2)
	at, p := startServer(t, testMux(waiting)), NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := Call[testRequest, testResponse](ctx, p, at.address, "wait", &testRequest{})
		done <- err
	}()
	<-waiting
	p.Close()
	cancel()
	require.Error(t, <-done)
	_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, at.address, "echo", &testRequest{})
	assert.NoError(t, err, "the last words of a process may come after it")
	assert.Empty(t, p.idle)
	p.Close()
}

// Serve ends what is under way, and takes the listener with it.
func TestServeEndsCallsInFlight(t *testing.T) {
	waiting := make(chan struct{}, 2)
	at, p := startServer(t, testMux(waiting)), newTestPool(t)
	done := make(chan error, 1)
	go func() {
		_, err := Call[testRequest, testResponse](timeoutContext(t, 20*time.Second), p, at.address, "wait", &testRequest{})
		done <- err
	}()
	<-waiting
	at.stop()
	<-waiting
	require.Error(t, <-done)
	_, err := net.Dial("tcp", at.address)
	require.Error(t, err)
}

func TestServeReturnsListenerErrors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	err = Serve(timeoutContext(t, 10*time.Second), ln, NewMux())
	require.Error(t, err)
	assert.Contains(t, err.Error(), "serve calls of other agents")
}

var errRejected = errors.New("too loud")

// Both sides of a stream send as they like, and the end of either ends both.
func TestStreams(t *testing.T) {
	table := NewMux()
	ended := make(chan error, 1)
	HandleStream(table, "shout", func(s *Stream[testResponse, testRequest]) (err error) {
		defer func() {
			if err != errRejected {
				<-s.Context().Done()
				ended <- err
			}
		}()
		if err := s.Send(&testResponse{"welcome"}); err != nil {
			return err
		}
		for {
			q, err := s.Recv()
			if err != nil {
				return err
			}
			if q.Text == "fail" {
				return errRejected
			}
			if err := s.Send(&testResponse{strings.ToUpper(q.Text)}); err != nil {
				return err
			}
		}
	})
	at := startServer(t, table)
	open := func() (*Stream[testRequest, testResponse], func()) {
		s, hangUp, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), at.address, "shout")
		require.NoError(t, err)
		require.NoError(t, s.Send(&testRequest{Text: "a"}))
		for _, want := range []string{"welcome", "A"} {
			a, err := s.Recv()
			require.NoError(t, err)
			assert.Equal(t, want, a.Text)
		}
		return s, hangUp
	}
	s, hangUp := open()
	hangUp()
	require.Error(t, <-ended)
	_, err := s.Recv()
	require.Error(t, err)

	s, hangUp = open()
	s.Close()
	require.Error(t, <-ended)
	hangUp()

	s, hangUp = open()
	defer hangUp()
	require.NoError(t, s.Send(&testRequest{Text: "fail"}))
	_, err = s.Recv()
	require.Error(t, err)
	assert.Contains(t, err.Error(), "too loud")

	s, hangUp, err = OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), at.address, "other")
	require.NoError(t, err)
	defer hangUp()
	_, err = s.Recv()
	assert.ErrorIs(t, err, ErrUnknownMethod)
}

// Close ends a stream at once, also under a Send that a peer which reads nothing holds up.
func TestCloseDuringBlockedSend(t *testing.T) {
	big := &testResponse{strings.Repeat("x", 8<<20)}
	table := NewMux()
	sending := make(chan func() error, 1)
	sent := make(chan error, 1)
	HandleStream(table, "flood", func(s *Stream[testResponse, testRequest]) error {
		sending <- s.Close
		err := s.Send(big)
		sent <- err
		return err
	})
	at := startServer(t, table)
	s, hangUp, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), at.address, "flood")
	require.NoError(t, err)
	defer hangUp()
	require.NoError(t, s.Send(&testRequest{}))
	stop := <-sending
	// The reading end takes one message and no more: its owner asks for none.
	begin := time.Now()
	closed := make(chan struct{})
	go func() { stop(); close(closed) }()
	<-closed
	require.Error(t, <-sent)
	assert.Less(t, time.Since(begin), tcpUserTimeout/2, "not only when the kernel gives up")

	// The same at the side that opened it.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	up, hangUp2, err := OpenStream[testResponse, testRequest](timeoutContext(t, 20*time.Second), ln.Addr().String(), "flood")
	require.NoError(t, err)
	defer hangUp2()
	go func() { sent <- up.Send(big) }()
	nc, err := ln.Accept()
	require.NoError(t, err)
	defer nc.Close()
	_, err = io.ReadFull(nc, make([]byte, 64<<10)) // it is under way
	require.NoError(t, err)
	begin = time.Now()
	up.Close()
	require.Error(t, <-sent)
	assert.Less(t, time.Since(begin), tcpUserTimeout/2)
}

// Bytes that are no calls end their connection and nothing else.
func TestRandomBytes(t *testing.T) {
	at := startServerAt(t, testMux(nil), "127.0.0.1:0", func(ctx context.Context, ln net.Listener, table *Mux) error {
		return serve(ctx, ln, table, 50*time.Millisecond)
	})
	p := newTestPool(t)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 60 {
		nc, err := net.Dial("tcp", at.address)
		require.NoError(t, err)
		noise := make([]byte, 1+r.IntN(4096))
		for j := range noise {
			noise[j] = byte(r.Uint32())
		}
		_, _ = nc.Write(noise) // it may be closed by now
		require.NoError(t, nc.(*net.TCPConn).CloseWrite())
		require.NoError(t, nc.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = io.Copy(io.Discard, nc)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "connection %d stays open", i)
		nc.Close()
	}
	_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, at.address, "echo", &testRequest{})
	assert.NoError(t, err)
}

// A question that is no msgpack, or an answer, is an error of its call alone.
func TestMalformedMessages(t *testing.T) {
	at, p := startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	for range 3 {
		wrong := []int{1, 2}
		_, err := Call[[]int, testResponse](ctx, p, at.address, "echo", &wrong)
		require.Error(t, err)
		_, err = Call[testRequest, []string](ctx, p, at.address, "echo", &testRequest{})
		require.Error(t, err)
		_, err = Call[testRequest, testResponse](ctx, p, at.address, "echo", &testRequest{})
		require.NoError(t, err)
	}
}

func TestMessagesAreBounded(t *testing.T) {
	at, p := startServer(t, testMux(nil)), newTestPool(t)
	ctx := timeoutContext(t, 20*time.Second)
	a, err := Call[testRequest, testResponse](ctx, p, at.address, "echo", &testRequest{Size: 9 << 20})
	require.NoError(t, err, "a whole configuration")
	assert.Len(t, a.Text, 9<<20)
	_, err = Call[testRequest, testResponse](ctx, p, at.address, "echo", &testRequest{Text: strings.Repeat("x", maxMessageBytes+1<<20)})
	require.Error(t, err)
	_, err = Call[testRequest, testResponse](ctx, p, at.address, "echo", &testRequest{Size: maxMessageBytes + 1<<20})
	require.Error(t, err)
	_, err = Call[testRequest, testResponse](ctx, p, at.address, "echo", &testRequest{})
	assert.NoError(t, err)
}

// Both ends notice a silent cut: bytes that nobody acknowledges, and a connection that idles.
func TestConnectionsDetectPartitions(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	out, err := DialTCP(timeoutContext(t, 10*time.Second), ln.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := cutDetectingListener{ln}.Accept()
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
