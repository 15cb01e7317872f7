package rpc

import (
	"net"
	"sync/atomic"

	"storj.io/drpc/drpcctx"
)

// countingConn counts the bytes that a connection has received, so that progress is visible before a
// long message is complete.
type countingConn struct {
	net.Conn
	// isPriority reports whether the caller is a priority caller. It is asked anew at each call, as a machine may join
	// the core after it has connected. It is set before the connection is served, and nil at the caller's side.
	isPriority func() bool
	received   atomic.Uint64
}

// isPriorityNow reports whether the caller is a priority caller now.
func (c *countingConn) isPriorityNow() bool { return c.isPriority != nil && c.isPriority() }

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(uint64(n))
	}
	return n, err
}

// Received returns how many bytes the stream's connection has received so far, including those of a
// message that is not complete yet. It may be called by any goroutine.
func (s *Stream[Out, In]) Received() uint64 {
	transport, _ := drpcctx.Transport(s.stream.Context())
	conn, ok := transport.(*countingConn)
	if !ok {
		return 0
	}
	return conn.received.Load()
}
