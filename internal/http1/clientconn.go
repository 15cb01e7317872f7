package http1

import (
	"net"
	"sync"
	"sync/atomic"
)

// ClientConn is a client's connection that is not closed under a request.
//
// net/http counts a connection as idle until it has read the whole head of the next
// request, and so does whoever makes room: what closes idle connections may meet one of
// which the head is read already. The request would go on to a backend, and its client,
// which sees the connection end without an answer, would send it once more: an effect
// twice. So a request is either dropped here before it is sent on, when the connection was
// closed first, or the close waits for its answer.
type ClientConn struct {
	net.Conn
	inFlight *atomic.Int64 // connections that a request keeps open, of all

	mu             sync.Mutex
	active         bool // a request of it is with the loop
	closeRequested bool // to close, while one was
	closed         bool
}

// BeginRequest tells whether the connection is open and is to stay so, and keeps it so until End.
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

// EndRequest lets it close again. One that was to be closed meanwhile is closed by the server,
// when it has written the answer.
func (c *ClientConn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	if !c.closeRequested {
		c.inFlight.Add(-1)
	}
}

// CloseRequested tells whether the connection was to be closed while a request was open on it.
func (c *ClientConn) CloseRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeRequested
}

// Close closes the connection, or has it closed once its request is answered.
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

// CloseWrite is what net/http uses to let a last answer arrive before a reset.
func (c *ClientConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Listener accepts ClientSocks.
type Listener struct {
	net.Listener
	InFlight *atomic.Int64 // connections that a request keeps open
}

func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &ClientConn{Conn: conn, inFlight: l.InFlight}, nil
}

// NewClientConn returns the connection as a Listener accepts it.
func NewClientConn(conn net.Conn, inFlight *atomic.Int64) *ClientConn {
	return &ClientConn{Conn: conn, inFlight: inFlight}
}
