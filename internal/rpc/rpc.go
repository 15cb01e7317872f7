// Package rpc carries the calls between the system's own processes over drpc. Every call is
// declared once in a Table; messages are msgpack, so that fields may be added later.
//
// drpc holds one call at a time on a connection, so a Pool keeps a few connections to each
// peer. A call is bounded by its context; a peer behind a cut is noticed by TCP_USER_TIMEOUT.
package rpc

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before a connection is given up.
	userTimeout = 1500 * time.Millisecond
	// connectTimeout bounds a connect: a packet that a machine without power lost is sent again only
	// after a second, a new try is at once.
	connectTimeout = 300 * time.Millisecond
	// idlePerPeer bounds the idle connections kept to one peer.
	idlePerPeer = 4
	// idleFor is how long a connection may idle and be used again.
	idleFor = 20 * time.Second
	// maxMessage bounds one message: a whole configuration and some more.
	maxMessage = 16 << 20
)

// ErrUnknownCall answers a call that the peer's table lacks: it is of another version.
var ErrUnknownCall = errors.New("the peer does not know the call: run the same version everywhere")

// codec is drpc's Encoding with msgpack.
type codec struct{}

func (codec) Marshal(msg drpc.Message) ([]byte, error) { return msgpack.Marshal(msg) }
func (codec) Unmarshal(buf []byte, msg drpc.Message) error {
	return msgpack.Unmarshal(buf, msg)
}

// Table declares the calls that a process answers. It is filled before it is served.
type Table struct {
	calls map[string]func(stream drpc.Stream) error
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{calls: map[string]func(drpc.Stream) error{}} }

// Unary declares a call with one question and one answer. An error of fn reaches the caller as text.
func Unary[Q, A any](t *Table, name string, fn func(context.Context, *Q) (*A, error)) {
	t.add(name, func(s drpc.Stream) error {
		q := new(Q)
		if err := s.MsgRecv(q, codec{}); err != nil {
			return err
		}
		a, err := fn(s.Context(), q)
		if err != nil {
			return err
		}
		return s.MsgSend(a, codec{})
	})
}

// Stream is one side of a call on which both sides send messages as they come.
type Stream[Out, In any] struct{ s drpc.Stream }

// Send sends one message. It may not be called by two goroutines at once.
func (s *Stream[Out, In]) Send(m *Out) error { return s.s.MsgSend(m, codec{}) }

// Recv waits for one message.
func (s *Stream[Out, In]) Recv() (*In, error) {
	m := new(In)
	return m, s.s.MsgRecv(m, codec{})
}

// Context ends with the stream.
func (s *Stream[Out, In]) Context() context.Context { return s.s.Context() }

// Close ends the stream.
func (s *Stream[Out, In]) Close() error { return s.s.Close() }

// Streaming declares a call on which both sides send messages as they come.
func Streaming[Out, In any](t *Table, name string, fn func(*Stream[Out, In]) error) {
	t.add(name, func(s drpc.Stream) error { return fn(&Stream[Out, In]{s}) })
}

func (t *Table) add(name string, fn func(drpc.Stream) error) {
	if t.calls[name] != nil {
		panic("rpc: call declared twice: " + name)
	}
	t.calls[name] = fn
}

// HandleRPC is drpc's handler.
func (t *Table) HandleRPC(stream drpc.Stream, rpc string) error {
	fn := t.calls[rpc]
	if fn == nil {
		return ErrUnknownCall
	}
	return fn(stream)
}

// options bound what a peer may make a process hold.
func options() drpcmanager.Options {
	return drpcmanager.Options{WriterBufferSize: 4 << 10, Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// Serve answers calls until ctx ends; then it closes the listener and its connections.
func Serve(ctx context.Context, ln net.Listener, t *Table) error {
	srv := drpcserver.NewWithOptions(t, drpcserver.Options{Manager: options()})
	err := srv.Serve(ctx, tuned{ln})
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return errors.Wrap(err, "serve calls of other agents")
}

type tuned struct{ net.Listener }

func (l tuned) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		tune(c)
	}
	return c, err
}

// tune has a connection notice a silent cut.
func tune(c net.Conn) {
	tc, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) }) // best effort: calls have time-outs too
}

func setUserTimeout(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}

// Dial opens a TCP connection that notices a silent cut.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) })
		}}
	return d.DialContext(ctx, "tcp", addr)
}

// Pool keeps connections to peers. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

type idleConn struct {
	c     *drpcconn.Conn
	since time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]idleConn{}} }

// Call asks the peer at addr. The context must bound it.
func Call[Q, A any](ctx context.Context, p *Pool, addr, name string, q *Q) (*A, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to agent %s", addr)
	}
	a := new(A)
	if err := c.Invoke(ctx, name, codec{}, q, a); err != nil {
		p.put(addr, c)
		return nil, errors.Wrapf(err, "call %s of agent %s", name, addr)
	}
	p.put(addr, c)
	return a, nil
}

// Open starts a stream with the peer at addr, on a connection of its own that ends with it.
func Open[Out, In any](ctx context.Context, addr, name string) (*Stream[Out, In], func(), error) {
	nc, err := Dial(ctx, addr)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to agent %s", addr)
	}
	c := drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: options()})
	s, err := c.NewStream(ctx, name, codec{})
	if err != nil {
		c.Close()
		return nil, nil, errors.Wrapf(err, "open %s at agent %s", name, addr)
	}
	return &Stream[Out, In]{s}, func() { c.Close() }, nil
}

func (p *Pool) get(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	now := time.Now()
	p.mu.Lock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		last := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		select {
		case <-last.c.Closed():
			continue
		default:
		}
		if now.Sub(last.since) > idleFor {
			go last.c.Close()
			continue
		}
		p.mu.Unlock()
		return last.c, nil
	}
	delete(p.idle, addr)
	p.mu.Unlock()
	nc, err := Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: options()}), nil
}

// put keeps a connection that is still whole; drpc closes one whose call was cut short.
func (p *Pool) put(addr string, c *drpcconn.Conn) {
	select {
	case <-c.Closed():
		return
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[addr]) >= idlePerPeer {
		go c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], idleConn{c, time.Now()})
}

// Close closes all idle connections; calls made later fail or close theirs.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, ic := range list {
			ic.c.Close()
		}
	}
	p.idle = map[string][]idleConn{}
}
