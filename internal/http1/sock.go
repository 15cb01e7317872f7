package http1

import (
	"net"
	"sync"
	"sync/atomic"
)

// ClientSock is a client's connection that is not closed under a request.
//
// net/http counts a connection as idle until it has read the whole head of the next
// request, and so does whoever makes room: what closes idle connections may meet one of
// which the head is read already. The request would go on to a backend, and its client,
// which sees the connection end without an answer, would send it once more: an effect
// twice. So a request is either dropped here before it is sent on, when the connection was
// closed first, or the close waits for its answer.
type ClientSock struct {
	net.Conn
	held *atomic.Int64 // connections that a request keeps open, of all

	mu     sync.Mutex
	active bool // a request of it is with the loop
	asked  bool // to close, while one was
	closed bool
}

// Begin tells whether the connection is open and is to stay so, and keeps it so until End.
func (c *ClientSock) Begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.asked {
		return false
	}
	c.active = true
	c.held.Add(1)
	return true
}

// End lets it close again. One that was to be closed meanwhile is closed by the server,
// when it has written the answer.
func (c *ClientSock) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	if !c.asked {
		c.held.Add(-1)
	}
}

// Closing tells whether the connection was to be closed while a request was open on it.
func (c *ClientSock) Closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

// Close closes the connection, or has it closed once its request is answered.
func (c *ClientSock) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		c.asked = true
		return nil
	}
	if c.asked && !c.closed {
		c.held.Add(-1)
	}
	c.closed = true
	return c.Conn.Close()
}

// CloseWrite is what net/http uses to let a last answer arrive before a reset.
func (c *ClientSock) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Listener accepts ClientSocks.
type Listener struct {
	net.Listener
	Held *atomic.Int64 // connections that a request keeps open
}

func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &ClientSock{Conn: c, held: l.Held}, nil
}

// NewClientSock returns the connection as a Listener accepts it.
func NewClientSock(c net.Conn, held *atomic.Int64) *ClientSock {
	return &ClientSock{Conn: c, held: held}
}
