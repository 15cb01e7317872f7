package http1

import (
	"net"
	"sync"
	"sync/atomic"
)

// ClientConn is a connection of a client that is not closed under a request.
//
// net/http counts a connection as idle until it has read the complete head of the next request, and so
// does the code that closes idle connections to make room: either may close one whose head is read
// already. The request would be forwarded, and its client, which sees the connection end without a
// response, would send it again: it would be executed twice. So each request is either dropped before
// it is forwarded, if the connection was closed first, or the close is deferred until its response is
// written. All methods are safe for concurrent use.
type ClientConn struct {
	net.Conn
	inFlight *atomic.Int64 // connections that a request keeps open, of all clients

	mu             sync.Mutex // guards the fields below
	active         bool       // a request is being served
	closeRequested bool       // while one was being served
	closed         bool
}

// NewClientConn returns the connection as a Listener accepts it. It counts in inFlight from
// BeginRequest until EndRequest or, if a close was deferred, until that close.
func NewClientConn(conn net.Conn, inFlight *atomic.Int64) *ClientConn {
	return &ClientConn{Conn: conn, inFlight: inFlight}
}

// BeginRequest keeps the connection open until EndRequest. It reports false if the connection is
// closed or about to be: then the request must be dropped.
func (c *ClientConn) BeginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closeRequested {
		return false
	}
	c.active = true
	c.inFlight.Add(1)
	return true
}

// EndRequest allows the connection to be closed again. The HTTP server closes it after it has written
// the response, if CloseRequested.
func (c *ClientConn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	if !c.closeRequested {
		c.inFlight.Add(-1)
	}
}

// CloseRequested reports whether a close was deferred because of a request.
func (c *ClientConn) CloseRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeRequested
}

// Close closes the connection. While a request is being served it only records that: the HTTP server
// closes the connection again after the response.
func (c *ClientConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		c.closeRequested = true
		return nil
	}
	if c.closeRequested && !c.closed {
		c.inFlight.Add(-1)
	}
	c.closed = true
	return c.Conn.Close()
}

// CloseWrite closes the sending side, if the connection can do that. net/http uses it to let a last
// response arrive before a reset.
func (c *ClientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Listener accepts connections as ClientConns.
type Listener struct {
	net.Listener
	InFlight *atomic.Int64 // counts the connections that a request keeps open
}

// Accept waits for a connection and returns it as a *ClientConn.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewClientConn(conn, l.InFlight), nil
}
