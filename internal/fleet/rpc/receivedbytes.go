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

// countingListener accepts connections as countingConns.
type countingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
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
