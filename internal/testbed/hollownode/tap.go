package hollownode

import (
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcwire"
)

// session is the call that carries the feed; its callers are told apart by what they begin with.
const session = "feed.session"

const (
	fromCore  = "/core"
	fromAgent = "/agent"
	// corePrefix begins the names of machines of the core.
	corePrefix = "core-"
	// maxCall and maxHello bound what is kept of a frame to read it.
	maxCall, maxHello = 64, 1 << 20
	// userTimeout is what package rpc gives the connections that it accepts, as far as it sees their type.
	userTimeout = 1500
)

// Count is what went over one call, as the process that is called sees it.
type Count struct {
	Calls    int64 `msgpack:"c" json:"calls"`
	In       int64 `msgpack:"i" json:"messages-in"`
	Out      int64 `msgpack:"o" json:"messages-out"`
	BytesIn  int64 `msgpack:"a" json:"bytes-in"`
	BytesOut int64 `msgpack:"b" json:"bytes-out"`
}

func (c Count) plus(o Count) Count {
	return Count{c.Calls + o.Calls, c.In + o.In, c.Out + o.Out, c.BytesIn + o.BytesIn, c.BytesOut + o.BytesOut}
}

func (c Count) minus(o Count) Count {
	return Count{c.Calls - o.Calls, c.In - o.In, c.Out - o.Out, c.BytesIn - o.BytesIn, c.BytesOut - o.BytesOut}
}

// Messages and Bytes are of both directions, without those of TCP and IP.
func (c Count) Messages() int64 { return c.In + c.Out }
func (c Count) Bytes() int64    { return c.BytesIn + c.BytesOut }

// Traffic is counts by call.
type Traffic map[string]Count

func (t Traffic) minus(o Traffic) Traffic {
	out := Traffic{}
	for call, c := range t {
		if d := c.minus(o[call]); d != (Count{}) {
			out[call] = d
		}
	}
	return out
}

func (t Traffic) add(o Traffic) {
	for call, c := range o {
		t[call] = t[call].plus(c)
	}
}

// tap counts what goes over the connections that a listener accepts.
type tap struct {
	mu    sync.Mutex
	calls map[string]*counter
}

type counter struct{ calls, in, out, bytesIn, bytesOut atomic.Int64 }

func newTap() *tap { return &tap{calls: map[string]*counter{}} }

func (t *tap) of(call string) *counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[call]
	if c == nil {
		c = &counter{}
		t.calls[call] = c
	}
	return c
}

// read is what was counted up to now.
func (t *tap) read() Traffic {
	t.mu.Lock()
	calls := maps.Clone(t.calls)
	t.mu.Unlock()
	out := Traffic{}
	for call, c := range calls {
		out[call] = Count{c.calls.Load(), c.in.Load(), c.out.Load(), c.bytesIn.Load(), c.bytesOut.Load()}
	}
	return out
}

func (t *tap) listener(ln net.Listener) net.Listener { return &tapped{ln, t} }

type tapped struct {
	net.Listener
	tap *tap
}

func (l *tapped) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tc, ok := c.(*net.TCPConn); ok {
		if raw, err := tc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { // best effort, as in package rpc
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
			})
		}
	}
	return &conn{Conn: c, tap: l.tap}, nil
}

// conn counts the frames of one connection. One goroutine reads and one writes.
type conn struct {
	net.Conn
	tap     *tap
	current atomic.Pointer[counter] // of the call under way
	in, out frames

	// Of the reader.
	call    string // its name, as far as it came
	waiting bool   // a session whose first message tells who calls
	pending int    // bytes of what is not counted yet
	hello   []byte
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.feed(p[:n], c.received)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.feed(p[:n], c.sent)
	return n, err
}

func (c *conn) received(f *frames) {
	if f.kind == drpcwire.KindInvoke {
		c.pending += f.size
		if c.call += string(f.data); !f.done {
			return
		}
		call := c.call
		c.call = ""
		if c.waiting = call == session; c.waiting {
			c.hello, c.in.keep = nil, maxHello
			return
		}
		count := c.tap.of(call)
		count.bytesIn.Add(int64(c.pending))
		c.pending = 0
		count.calls.Add(1)
		c.current.Store(count)
		return
	}
	if c.waiting {
		c.pending += f.size
		if f.kind != drpcwire.KindMessage {
			return
		}
		if c.hello = append(c.hello, f.data[:min(len(f.data), maxHello-len(c.hello))]...); !f.done {
			return
		}
		count := c.tap.of(session + caller(c.hello))
		count.calls.Add(1)
		count.in.Add(1)
		count.bytesIn.Add(int64(c.pending))
		c.current.Store(count)
		c.waiting, c.pending, c.hello, c.in.keep = false, 0, nil, 0
		return
	}
	if count := c.current.Load(); count != nil {
		count.bytesIn.Add(int64(f.size))
		if f.kind == drpcwire.KindMessage && f.done {
			count.in.Add(1)
		}
	}
}

func (c *conn) sent(f *frames) {
	if count := c.current.Load(); count != nil {
		count.bytesOut.Add(int64(f.size))
		if f.kind == drpcwire.KindMessage && f.done {
			count.out.Add(1)
		}
	}
}

// caller tells who begins a session, by the first message: a source is named after its machine. That
// it is of the core it may not know itself yet.
func caller(first []byte) string {
	var m struct {
		Hello struct {
			Source string `msgpack:"s"`
		} `msgpack:"h"`
	}
	if err := msgpack.Unmarshal(first, &m); err == nil && strings.HasPrefix(m.Hello.Source, corePrefix) {
		return fromCore
	}
	return fromAgent
}

// frames cuts a stream of bytes into drpc's frames: a byte of control, three varints (stream,
// message, length) and the data.
type frames struct {
	head [1 + 3*10]byte
	n    int // bytes of head
	left uint64
	body bool
	keep int // bytes of the data that are wanted, beside a call's name

	size int
	kind drpcwire.Kind
	done bool
	data []byte
}

// feed has each takes each frame that ends in p. What is no frame ends the counting.
func (f *frames) feed(p []byte, each func(*frames)) {
	for len(p) > 0 {
		if !f.body {
			if f.n == len(f.head) {
				return
			}
			f.head[f.n] = p[0]
			f.n++
			p = p[1:]
			if !f.parse() {
				continue
			}
		}
		k := int(min(uint64(len(p)), f.left))
		keep := f.keep
		if f.kind == drpcwire.KindInvoke {
			keep = maxCall
		}
		f.data = append(f.data, p[:min(k, max(keep-len(f.data), 0))]...)
		f.left -= uint64(k)
		f.size += k
		p = p[k:]
		if f.left == 0 {
			each(f)
			f.n, f.body, f.data = 0, false, f.data[:0]
		}
	}
}

// parse reads the head once it is whole.
func (f *frames) parse() bool {
	rest := f.head[1:f.n]
	var v [3]uint64
	for i := range v {
		var ok bool
		var err error
		if rest, v[i], ok, err = drpcwire.ReadVarint(rest); !ok || err != nil {
			return false
		}
	}
	f.kind, f.done = drpcwire.Kind(f.head[0]&0b01111110>>1), f.head[0]&1 > 0
	f.left, f.size, f.body = v[2], f.n, true
	return true
}
