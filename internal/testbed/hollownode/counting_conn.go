package hollownode

import (
	"net"
	"strings"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcwire"
)

// conn counts the frames of one connection. One goroutine may read and one may write.
type conn struct {
	net.Conn
	tap     *trafficCounter
	current atomic.Pointer[callCounter] // of the call in progress
	in, out frameParser

	// Used by the reader only.
	call        string // its name, as far as it has arrived
	awaitsHello bool   // a session whose first message, which identifies the caller, has not arrived
	pending     int    // bytes that are not counted yet
	hello       []byte
}

// Read reads and counts what was received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.write(p[:n], c.received)
	return n, err
}

// Write writes and counts what was sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.write(p[:n], c.sent)
	return n, err
}

func (c *conn) received(frame *frameParser) {
	if frame.kind == drpcwire.KindInvoke {
		c.pending += frame.size
		if c.call += string(frame.data); !frame.done {
			return
		}
		call := c.call
		c.call = ""
		if c.awaitsHello = call == sessionCall; c.awaitsHello {
			c.hello, c.in.wantedBytes = nil, maxHelloBytes
			return
		}
		count := c.tap.counterOf(call)
		count.bytesIn.Add(int64(c.pending))
		c.pending = 0
		count.calls.Add(1)
		c.current.Store(count)
		return
	}
	if c.awaitsHello {
		c.pending += frame.size
		if frame.kind != drpcwire.KindMessage {
			return
		}
		if c.hello = append(c.hello, frame.data[:min(len(frame.data), maxHelloBytes-len(c.hello))]...); !frame.done {
			return
		}
		count := c.tap.counterOf(sessionCall + callerKind(c.hello))
		count.calls.Add(1)
		count.in.Add(1)
		count.bytesIn.Add(int64(c.pending))
		c.current.Store(count)
		c.awaitsHello, c.pending, c.hello, c.in.wantedBytes = false, 0, nil, 0
		return
	}
	if count := c.current.Load(); count != nil {
		count.bytesIn.Add(int64(frame.size))
		if frame.kind == drpcwire.KindMessage && frame.done {
			count.in.Add(1)
		}
	}
}

func (c *conn) sent(frame *frameParser) {
	if count := c.current.Load(); count != nil {
		count.bytesOut.Add(int64(frame.size))
		if frame.kind == drpcwire.KindMessage && frame.done {
			count.out.Add(1)
		}
	}
}

type countingListener struct {
	net.Listener
	tap *trafficCounter
}

// Accept accepts a connection and counts its traffic.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tc, ok := c.(*net.TCPConn); ok {
		if raw, err := tc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { // best effort, as in package rpc
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
			})
		}
	}
	return &conn{Conn: c, tap: l.tap}, nil
}

// callerKind is the kind of a session's caller by its first message: a source is named after its machine. The message's
// own claim can't be used, because a member of the core may not know yet that it is one.
func callerKind(first []byte) string {
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
