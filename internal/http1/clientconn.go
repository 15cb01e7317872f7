package http1

import (
	"net"
	"sync"
	"sync/atomic"
)

// ClientConn is a client's connection that is not closed while a request on it is being served.
//
// net/http considers a connection idle until it has read the complete head of the next request, and so
// does the code that closes idle connections to make room for others. Either may therefore close a
// connection just after a request was read from it. If that request were forwarded, its client would
// see the connection end without a response and send the request again, and it would be executed twice.
// So if the connection is closed first, the request is dropped before it is forwarded; otherwise the
// close is deferred until the response is written. All methods are safe for concurrent use.
type ClientConn struct {
	net.Conn
	inFlight *atomic.Int64 // number of connections, of all clients, that a request keeps open

	mu             sync.Mutex // guards the fields below
	active         bool       // a request is being served
	closeRequested bool       // Close was called while a request was being served
	closed         bool       // the underlying connection was closed
}

// NewClientConn wraps an accepted connection. inFlight counts the connection from BeginRequest until
// EndRequest or, if a close was deferred, until the connection is closed.
func NewClientConn(conn net.Conn, inFlight *atomic.Int64) *ClientConn {
	return &ClientConn{Conn: conn, inFlight: inFlight}
}

// BeginRequest keeps the connection open until EndRequest. If the connection is closed or about to be
// closed, it reports false, and the request must be dropped.
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

// EndRequest allows the connection to be closed again. If a close was requested during the request, the
// HTTP server closes the connection once it has written the response.
func (c *ClientConn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	if !c.closeRequested {
		c.inFlight.Add(-1)
	}
}

// CloseRequested reports whether a close was deferred until the end of a request.
func (c *ClientConn) CloseRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeRequested
}

// Close closes the connection. While a request is being served, it only records that a close was
// requested: the HTTP server calls Close again after the response.
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

// CloseWrite closes the sending side if the connection supports that. net/http uses it so that the
// last response arrives before a reset.
func (c *ClientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Listener accepts connections as ClientConns.
type Listener struct {
	net.Listener
	InFlight *atomic.Int64 // number of connections that a request keeps open
}

// Accept waits for a connection and returns it as a *ClientConn.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewClientConn(conn, l.InFlight), nil
}
