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
	priority bool // whether a priority caller opened it; set before it is served
	received atomic.Uint64
}

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
