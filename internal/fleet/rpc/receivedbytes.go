package rpc

import (
	"net"
	"sync/atomic"

	"storj.io/drpc/drpcctx"
)

// countingConn counts the bytes that a connection has brought, so that the arrival of a part of a
// long message is seen before the message is whole.
type countingConn struct {
	net.Conn
	received atomic.Uint64
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(uint64(n))
	}
	return n, err
}

// countingListener accepts connections that count what they bring.
type countingListener struct{ net.Listener }

// Accept waits for the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c}, nil
}

// Received is how many bytes the stream's connection has brought so far, those of a message that is
// not yet whole included. It may be called by any goroutine.
func (s *Stream[Out, In]) Received() uint64 {
	transport, _ := drpcctx.Transport(s.stream.Context())
	conn, ok := transport.(*countingConn)
	if !ok {
		return 0
	}
	return conn.received.Load()
}
