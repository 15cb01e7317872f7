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

type question struct {
	Text string `msgpack:"t"`
	Size int    `msgpack:"n"`
}

type answer struct {
	Text string `msgpack:"t"`
}

// counted counts the connections that it accepted.
type counted struct {
	net.Listener
	n atomic.Int64
}

func (l *counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.n.Add(1)
	}
	return c, err
}

// peer serves a table until stop is called; the test's end calls it, too.
type peer struct {
	addr string
	ln   *counted
	stop func()
}

func start(t *testing.T, table *Mux) *peer { return startAt(t, table, "127.0.0.1:0", Serve) }

type server func(context.Context, net.Listener, *Mux) error

func startAt(t *testing.T, table *Mux, addr string, serve server) *peer {
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	p := &peer{addr: ln.Addr().String(), ln: &counted{Listener: ln}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, p.ln, table) }()
	p.stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	t.Cleanup(p.stop)
	return p
}

func pool(t *testing.T) *Pool {
	p := NewPool()
	t.Cleanup(p.Close)
	return p
}

// calls are those of the tests: echo, refuse, and wait, which says by the channel that it does.
func calls(waiting chan<- struct{}) *Mux {
	t := NewMux()
	HandleUnary(t, "echo", func(_ context.Context, q *question) (*answer, error) {
		return &answer{q.Text + strings.Repeat("x", q.Size)}, nil
	})
	HandleUnary(t, "refuse", func(context.Context, *question) (*answer, error) {
		return nil, errors.Wrap(errors.New("the disk is full"), "save")
	})
	HandleUnary(t, "wait", func(ctx context.Context, _ *question) (*answer, error) {
		waiting <- struct{}{}
		<-ctx.Done()
		waiting <- struct{}{}
		return nil, ctx.Err()
	})
	return t
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsShareConnections(t *testing.T) {
	at, p := start(t, calls(nil)), pool(t)
	ctx := within(t, 20*time.Second)
	for i := range 20 {
		a, err := Call[question, answer](ctx, p, at.addr, "echo", &question{Text: fmt.Sprint(i)})
		require.NoError(t, err)
		assert.Equal(t, fmt.Sprint(i), a.Text)
		_, err = Call[question, answer](ctx, p, at.addr, "refuse", &question{})
		require.Error(t, err)
		assert.Contains(t, err.Error(), "call refuse of agent "+at.addr+": save: the disk is full")
		_, err = Call[question, answer](ctx, p, at.addr, "other", &question{})
		require.ErrorIs(t, err, ErrUnknownMethod)
		assert.Contains(t, err.Error(), "run the same version everywhere")
	}
	assert.Equal(t, int64(1), at.ln.n.Load(), "an error of the call leaves its connection whole")
}

func TestDeclaredTwice(t *testing.T) {
	table := calls(nil)
	assert.Panics(t, func() { HandleStream(table, "echo", func(*Stream[answer, question]) error { return nil }) })
}

// A call that is cut short ends at both ends, and what comes after it is none the worse.
func TestCancelledCalls(t *testing.T) {
	waiting := make(chan struct{}, 2)
	at, p := start(t, calls(waiting)), pool(t)
	for i := range 100 {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := Call[question, answer](ctx, p, at.addr, "wait", &question{})
			done <- err
		}()
		<-waiting
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		_, err := Call[question, answer](within(t, 10*time.Second), p, at.addr, "echo", &question{})
		require.NoError(t, err, "call %d", i)
		<-waiting
	}
}

// A peer that says nothing costs no more than the call's time.
func TestSilentPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	p := pool(t)
	for _, size := range []int{1, 8 << 20} { // more than the kernel holds, too
		_, err = Call[question, answer](within(t, 100*time.Millisecond), p, ln.Addr().String(), "echo", &question{Text: strings.Repeat("x", size)})
		require.ErrorIs(t, err, context.DeadlineExceeded)
	}
	_, hangUp, err := OpenStream[question, answer](within(t, 100*time.Millisecond), ln.Addr().String(), "echo")
	require.NoError(t, err, "a stream opens without an answer")
	hangUp()
	assert.Empty(t, p.idle)
}

func TestDeadPeer(t *testing.T) {
	at, p := start(t, calls(nil)), pool(t)
	ask := func() error {
		_, err := Call[question, answer](within(t, 10*time.Second), p, at.addr, "echo", &question{})
		return err
	}
	require.NoError(t, ask())
	kept := p.idle[at.addr][0].conn
	at.stop()
	<-kept.Closed() // its end is noticed without a call
	err := ask()
	require.Error(t, err)
	assert.Contains(t, err.Error(), "connect to agent "+at.addr)
	_, _, err = OpenStream[question, answer](within(t, 10*time.Second), at.addr, "echo")
	require.Error(t, err)
	assert.Empty(t, p.idle)
	startAt(t, calls(nil), at.addr, Serve)
	assert.NoError(t, ask())
}

func TestPoolIsBounded(t *testing.T) {
	waiting := make(chan struct{}, 64)
	gate := make(chan struct{})
	table := calls(waiting)
	HandleUnary(table, "gate", func(context.Context, *question) (*answer, error) {
		waiting <- struct{}{}
		<-gate
		return &answer{}, nil
	})
	at, other, p := start(t, table), start(t, calls(nil)), pool(t)
	ctx := within(t, 20*time.Second)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			_, err := Call[question, answer](ctx, p, at.addr, "gate", &question{})
			assert.NoError(t, err)
		})
	}
	for range 16 {
		<-waiting
	}
	close(gate)
	wg.Wait()
	p.mu.Lock()
	require.Len(t, p.idle[at.addr], maxIdlePerPeer)
	// What has idled for long is not used again, and does not stay either where nobody calls any more.
	for i := range p.idle[at.addr] {
		p.idle[at.addr][i].since = time.Now().Add(-idleTimeout - time.Second)
	}
	old := p.idle[at.addr][0].conn
	p.lastSweep = time.Now().Add(-idleTimeout - time.Second)
	p.mu.Unlock()
	_, err := Call[question, answer](ctx, p, other.addr, "echo", &question{})
	require.NoError(t, err)
	<-old.Closed()
	p.mu.Lock()
	assert.Len(t, p.idle, 1)
	assert.Len(t, p.idle[other.addr], 1)
	p.idle[other.addr][0].since = time.Now().Add(-idleTimeout - time.Second)
	p.mu.Unlock()
	_, err = Call[question, answer](ctx, p, other.addr, "echo", &question{})
	require.NoError(t, err)
	assert.Equal(t, int64(2), other.ln.n.Load())
}

func TestClosedPoolKeepsNothing(t *testing.T) {
	waiting := make(chan struct{}, 2)
	at, p := start(t, calls(waiting)), NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := Call[question, answer](ctx, p, at.addr, "wait", &question{})
		done <- err
	}()
	<-waiting
	p.Close()
	cancel()
	require.Error(t, <-done)
	_, err := Call[question, answer](within(t, 10*time.Second), p, at.addr, "echo", &question{})
	assert.NoError(t, err, "the last words of a process may come after it")
	assert.Empty(t, p.idle)
	p.Close()
}

// Serve ends what is under way, and takes the listener with it.
func TestServeEnds(t *testing.T) {
	waiting := make(chan struct{}, 2)
	at, p := start(t, calls(waiting)), pool(t)
	done := make(chan error, 1)
	go func() {
		_, err := Call[question, answer](within(t, 20*time.Second), p, at.addr, "wait", &question{})
		done <- err
	}()
	<-waiting
	at.stop()
	<-waiting
	require.Error(t, <-done)
	_, err := net.Dial("tcp", at.addr)
	require.Error(t, err)
}

func TestServeTellsThatItsListenerFailed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	err = Serve(within(t, 10*time.Second), ln, NewMux())
	require.Error(t, err)
	assert.Contains(t, err.Error(), "serve calls of other agents")
}

var errLoud = errors.New("too loud")

// Both sides of a stream send as they like, and the end of either ends both.
func TestStreams(t *testing.T) {
	table := NewMux()
	ended := make(chan error, 1)
	HandleStream(table, "shout", func(s *Stream[answer, question]) (err error) {
		defer func() {
			if err != errLoud {
				<-s.Context().Done()
				ended <- err
			}
		}()
		if err := s.Send(&answer{"welcome"}); err != nil {
			return err
		}
		for {
			q, err := s.Recv()
			if err != nil {
				return err
			}
			if q.Text == "fail" {
				return errLoud
			}
			if err := s.Send(&answer{strings.ToUpper(q.Text)}); err != nil {
				return err
			}
		}
	})
	at := start(t, table)
	open := func() (*Stream[question, answer], func()) {
		s, hangUp, err := OpenStream[question, answer](within(t, 20*time.Second), at.addr, "shout")
		require.NoError(t, err)
		require.NoError(t, s.Send(&question{Text: "a"}))
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
	require.NoError(t, s.Send(&question{Text: "fail"}))
	_, err = s.Recv()
	require.Error(t, err)
	assert.Contains(t, err.Error(), "too loud")

	s, hangUp, err = OpenStream[question, answer](within(t, 20*time.Second), at.addr, "other")
	require.NoError(t, err)
	defer hangUp()
	_, err = s.Recv()
	assert.ErrorIs(t, err, ErrUnknownMethod)
}

// Close ends a stream at once, also under a Send that a peer which reads nothing holds up.
func TestCloseUnderAHeldUpSend(t *testing.T) {
	big := &answer{strings.Repeat("x", 8<<20)}
	table := NewMux()
	sending := make(chan func() error, 1)
	sent := make(chan error, 1)
	HandleStream(table, "flood", func(s *Stream[answer, question]) error {
		sending <- s.Close
		err := s.Send(big)
		sent <- err
		return err
	})
	at := start(t, table)
	s, hangUp, err := OpenStream[question, answer](within(t, 20*time.Second), at.addr, "flood")
	require.NoError(t, err)
	defer hangUp()
	require.NoError(t, s.Send(&question{}))
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
	up, hangUp2, err := OpenStream[answer, question](within(t, 20*time.Second), ln.Addr().String(), "flood")
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
func TestNoise(t *testing.T) {
	at := startAt(t, calls(nil), "127.0.0.1:0", func(ctx context.Context, ln net.Listener, table *Mux) error {
		return serve(ctx, ln, table, 50*time.Millisecond)
	})
	p := pool(t)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 60 {
		nc, err := net.Dial("tcp", at.addr)
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
	_, err := Call[question, answer](within(t, 10*time.Second), p, at.addr, "echo", &question{})
	assert.NoError(t, err)
}

// A question that is no msgpack, or an answer, is an error of its call alone.
func TestWrongMessages(t *testing.T) {
	at, p := start(t, calls(nil)), pool(t)
	ctx := within(t, 20*time.Second)
	for range 3 {
		wrong := []int{1, 2}
		_, err := Call[[]int, answer](ctx, p, at.addr, "echo", &wrong)
		require.Error(t, err)
		_, err = Call[question, []string](ctx, p, at.addr, "echo", &question{})
		require.Error(t, err)
		_, err = Call[question, answer](ctx, p, at.addr, "echo", &question{})
		require.NoError(t, err)
	}
}

func TestMessagesAreBounded(t *testing.T) {
	at, p := start(t, calls(nil)), pool(t)
	ctx := within(t, 20*time.Second)
	a, err := Call[question, answer](ctx, p, at.addr, "echo", &question{Size: 9 << 20})
	require.NoError(t, err, "a whole configuration")
	assert.Len(t, a.Text, 9<<20)
	_, err = Call[question, answer](ctx, p, at.addr, "echo", &question{Text: strings.Repeat("x", maxMessageBytes+1<<20)})
	require.Error(t, err)
	_, err = Call[question, answer](ctx, p, at.addr, "echo", &question{Size: maxMessageBytes + 1<<20})
	require.Error(t, err)
	_, err = Call[question, answer](ctx, p, at.addr, "echo", &question{})
	assert.NoError(t, err)
}

// Both ends notice a silent cut: bytes that nobody acknowledges, and a connection that idles.
func TestConnectionsNoticeACut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	out, err := DialTCP(within(t, 10*time.Second), ln.Addr().String())
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
