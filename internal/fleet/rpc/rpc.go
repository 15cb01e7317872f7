// Package rpc carries the calls between the system's own processes over drpc. Every call is
// declared once in a Table; messages are msgpack, so that fields may be added later.
//
// drpc holds one call at a time on a connection, so a Pool keeps a few connections to each
// peer. A call is bounded by its context; a peer behind a cut is noticed by TCP_USER_TIMEOUT, and
// by probes where nothing is sent. Errors of the other side arrive as text, but for ErrUnknownMethod.
package rpc

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before a connection is given up.
	tcpUserTimeout = 1500 * time.Millisecond
	// connectTimeout bounds a connect: a packet that a machine without power lost is sent again only
	// after a second, a new try is at once.
	connectTimeout = 300 * time.Millisecond
	// maxIdlePerPeer bounds the idle connections kept to one peer.
	maxIdlePerPeer = 4
	// idleTimeout is how long a connection may idle and be used again.
	idleTimeout = 20 * time.Second
	// maxMessageBytes bounds one message: a whole configuration and some more.
	maxMessageBytes = 16 << 20
	// maxRetainedBuffer is how much of a message's buffer a stream holds on to.
	maxRetainedBuffer = 64 << 10
	// maxConnections bounds the connections that are answered at once; more wait.
	maxConnections = 2048

	// The codes of errors that the other side answered: its connection is whole.
	codeFailed, codeUnknownMethod = 1, drpcerr.Unimplemented
)

// ErrUnknownMethod answers a call that the peer's table lacks: it is of another version.
var ErrUnknownMethod = errors.New("the peer does not know the call: run the same version everywhere")

// msgpackEncoding is drpc's Encoding with msgpack.
type msgpackEncoding struct{}

func (msgpackEncoding) Marshal(msg drpc.Message) ([]byte, error) { return msgpack.Marshal(msg) }
func (msgpackEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	return msgpack.Unmarshal(buf, msg)
}

// Mux declares the calls that a process answers. It is filled before it is served.
type Mux struct {
	handlers map[string]func(stream drpc.Stream) error
}

// NewMux returns an empty table.
func NewMux() *Mux { return &Mux{handlers: map[string]func(drpc.Stream) error{}} }

// HandleUnary declares a call with one question and one answer. An error of fn reaches the caller as text.
func HandleUnary[Q, A any](t *Mux, name string, fn func(context.Context, *Q) (*A, error)) {
	t.register(name, func(s drpc.Stream) error {
		q := new(Q)
		if err := s.MsgRecv(q, msgpackEncoding{}); err != nil {
			return err
		}
		a, err := fn(s.Context(), q)
		if err != nil {
			return drpcerr.WithCode(err, codeFailed)
		}
		return s.MsgSend(a, msgpackEncoding{})
	})
}

// Stream is one side of a call on which both sides send messages as they come. It has a connection
// of its own.
type Stream[Out, In any] struct{ stream drpc.Stream }

// Send sends one message. It may not be called by two goroutines at once.
func (s *Stream[Out, In]) Send(m *Out) error { return s.stream.MsgSend(m, msgpackEncoding{}) }

// Recv waits for one message.
func (s *Stream[Out, In]) Recv() (*In, error) {
	m := new(In)
	return m, decodeError(s.stream.MsgRecv(m, msgpackEncoding{}))
}

// Context ends with the stream.
func (s *Stream[Out, In]) Context() context.Context { return s.stream.Context() }

// Close ends the stream and its connection, at once: also under a Send that a peer holds up which
// doesn't read. It may be called by any goroutine, and more than once.
func (s *Stream[Out, In]) Close() error {
	if tr, ok := drpcctx.Transport(s.stream.Context()); ok {
		return tr.Close()
	}
	return s.stream.Close()
}

// HandleStream declares a call on which both sides send messages as they come.
func HandleStream[Out, In any](t *Mux, name string, fn func(*Stream[Out, In]) error) {
	t.register(name, func(s drpc.Stream) error { return fn(&Stream[Out, In]{s}) })
}

func (t *Mux) register(name string, fn func(drpc.Stream) error) {
	if t.handlers[name] != nil {
		panic("rpc: call declared twice: " + name)
	}
	t.handlers[name] = fn
}

// HandleRPC is drpc's handler.
func (t *Mux) HandleRPC(stream drpc.Stream, rpc string) error {
	fn := t.handlers[rpc]
	if fn == nil {
		return drpcerr.WithCode(ErrUnknownMethod, codeUnknownMethod)
	}
	return fn(stream)
}

// decodeError gives an error that came as text its kind back.
func decodeError(err error) error {
	if err != nil && drpcerr.Code(err) == codeUnknownMethod {
		return ErrUnknownMethod
	}
	return err
}

// managerOptions bound what a peer may make a process hold.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{WriterBufferSize: 4 << 10, Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: maxRetainedBuffer}}
}

// Serve answers calls until ctx ends; then it closes the listener and its connections.
func Serve(ctx context.Context, ln net.Listener, t *Mux) error {
	return serve(ctx, ln, t, 2*idleTimeout) // after which no Pool uses a connection again
}

// serve closes connections on which nothing was asked for as long as quiet: also those that brought
// what is no call, of which drpc doesn't read on.
func serve(ctx context.Context, ln net.Listener, t *Mux, quiet time.Duration) error {
	o := managerOptions()
	o.InactivityTimeout = quiet
	srv := drpcserver.NewWithOptions(t, drpcserver.Options{Manager: o})
	err := srv.Serve(ctx, countingListener{netutil.LimitListener(cutDetectingListener{ln}, maxConnections)})
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return errors.Wrap(err, "serve calls of other agents")
}

type cutDetectingListener struct{ net.Listener }

func (l cutDetectingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		configureCutDetection(c)
	}
	return c, err
}

// configureCutDetection has a connection notice a silent cut.
func configureCutDetection(c net.Conn) {
	tc, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tc.SetKeepAliveConfig(keepAlive)
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) }) // best effort: calls have time-outs too
}

// keepAlive notice the cut of a connection on which nothing is sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func setUserTimeout(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
}

// Dialer opens connections to the other processes. What it returns notices a silent cut by itself.
type Dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCPDialer is the Dialer of processes on machines.
type TCPDialer struct{}

// Dial opens a TCPDialer connection that notices a silent cut.
func (TCPDialer) Dial(ctx context.Context, addr string) (net.Conn, error) { return DialTCP(ctx, addr) }

// DialTCP opens a TCPDialer connection that notices a silent cut.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) })
		}}
	return d.DialContext(ctx, "tcp", addr)
}

// Pool keeps connections to peers. It is safe for concurrent use.
type Pool struct {
	dialer Dialer

	mu        sync.Mutex
	idle      map[string][]idleConn
	closed    bool
	lastSweep time.Time // when what has idled for long was last closed
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// NewPool returns an empty pool of TCPDialer connections.
func NewPool() *Pool { return NewPoolWithDialer(TCPDialer{}) }

// NewPoolWithDialer returns an empty pool of a dialer's connections.
func NewPoolWithDialer(d Dialer) *Pool { return &Pool{dialer: d, idle: map[string][]idleConn{}} }

// Call asks the peer at addr. The context must bound it.
func Call[Q, A any](ctx context.Context, p *Pool, addr, name string, q *Q) (*A, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to agent %s", addr)
	}
	a := new(A)
	switch err := c.Invoke(ctx, name, msgpackEncoding{}, q, a); {
	case err == nil:
		p.put(addr, c)
		return a, nil
	case drpcerr.Code(err) != 0:
		p.put(addr, c)
		return nil, errors.Wrapf(decodeError(err), "call %s of agent %s", name, addr)
	default: // cut short: what drpc says of its connection now may not be the last word
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.Wrapf(err, "call %s of agent %s", name, addr)
	}
}

// OpenStream starts a stream with the peer at addr, on a TCPDialer connection of its own that ends with it.
func OpenStream[Out, In any](ctx context.Context, addr, name string) (*Stream[Out, In], func(), error) {
	return OpenStreamWithDialer[Out, In](ctx, TCPDialer{}, addr, name)
}

// OpenStreamWithDialer starts a stream as Open does, on a connection of a dialer.
func OpenStreamWithDialer[Out, In any](ctx context.Context, d Dialer, addr, name string) (*Stream[Out, In], func(), error) {
	nc, err := d.Dial(ctx, addr)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to agent %s", addr)
	}
	c := drpcconn.NewWithOptions(&countingConn{Conn: nc}, drpcconn.Options{Manager: managerOptions()})
	s, err := c.NewStream(ctx, name, msgpackEncoding{})
	if err != nil {
		c.Close()
		return nil, nil, errors.Wrapf(err, "open %s at agent %s", name, addr)
	}
	return &Stream[Out, In]{s}, func() { c.Close() }, nil
}

func (p *Pool) get(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	old := p.removeExpired(addr, time.Now())
	var c *drpcconn.Conn
	for list := p.idle[addr]; c == nil && len(list) > 0; list = p.idle[addr] {
		c = list[len(list)-1].conn
		p.setIdle(addr, list[:len(list)-1])
		if isClosed(c) {
			c = nil
		}
	}
	p.mu.Unlock()
	closeAll(old)
	if c != nil {
		return c, nil
	}
	nc, err := p.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()}), nil
}

// put keeps a connection that is still whole, if there is room, and now and then looks for those
// to peers that nobody calls any more.
func (p *Pool) put(addr string, c *drpcconn.Conn) {
	if isClosed(c) {
		return
	}
	now := time.Now()
	p.mu.Lock()
	var old []idleConn
	if now.Sub(p.lastSweep) > idleTimeout {
		p.lastSweep = now
		for addr := range p.idle {
			old = append(old, p.removeExpired(addr, now)...)
		}
	}
	if p.closed || len(p.idle[addr]) >= maxIdlePerPeer {
		old = append(old, idleConn{conn: c})
	} else {
		p.idle[addr] = append(p.idle[addr], idleConn{c, now})
	}
	p.mu.Unlock()
	closeAll(old)
}

// removeExpired takes out what has idled for too long. It has the lock, as keep does.
func (p *Pool) removeExpired(addr string, now time.Time) []idleConn {
	list, n := p.idle[addr], 0
	for n < len(list) && now.Sub(list[n].since) > idleTimeout {
		n++
	}
	p.setIdle(addr, list[n:])
	return list[:n]
}

func (p *Pool) setIdle(addr string, list []idleConn) {
	if p.idle[addr] = list; len(list) == 0 {
		delete(p.idle, addr)
	}
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

func closeAll(list []idleConn) {
	for _, ic := range list {
		_ = ic.conn.Close()
	}
}

// Close closes all idle connections; calls made later fail or close theirs.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]idleConn{}, true
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}
