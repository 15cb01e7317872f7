package agent

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long a connection may take to send a complete request. After that it may be closed before
// all others.
const newConnGrace = 250 * time.Millisecond

// maxPhaseDivisor bounds the connections of a phase that have not sent a complete request: if there are more than
// the limit divided by it, the oldest are closed before all others.
const maxPhaseDivisor = 4

// connPhase is the phase of a connection without an open request.
type connPhase int

const (
	phaseNew     connPhase = iota // it has not sent a request yet
	phaseIdle                     // between requests
	phaseReading                  // a head has arrived, its body is being read
	phaseCount
)

// clientConns limits the number of client connections. Every connection is accepted, as a client that waits in
// the accept queue gets neither a response nor a close. Beyond the limit, connections without an open request are
// closed: first those that have not sent a complete request within newConnGrace, or that are too many in their
// phase; then idle ones; then the others. In each group the oldest is closed first. So hundreds of connections
// that send nothing, or half a request, displace each other and not the clients that are served.
//
// The limit is enforced whenever a connection changes its state. A connection that is being closed no longer
// counts and is not chosen again; the server reports its close later.
//
// The limit is far below the number of descriptors. The client application has a connection limit of its
// own: if all of its connections belonged to callers that made one request and stay connected, it could not make
// another request. Only the application knows which connections are idle for good.
//
// A clientConns is safe for concurrent use.
type clientConns struct {
	softLimit int

	mu      sync.Mutex
	conns   map[net.Conn]*clientConn
	closing int // number of conns that are being closed
	// withoutRequest holds the connections without an open request by phase, the oldest first.
	withoutRequest [phaseCount]list.List
}

// clientConn is the state of one connection.
type clientConn struct {
	element *list.Element // in the list of its phase; nil while a request is open
	phase   connPhase
	since   time.Time // start of the phase
	closing bool
}

// connKey is the context key of a handler's connection.
type connKey struct{}

func newClientConns(softLimit int) *clientConns {
	return &clientConns{softLimit: softLimit, conns: map[net.Conn]*clientConn{}}
}

// withConn is the http.Server's ConnContext function. It lets a handler find its connection.
func (c *clientConns) withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// track is the http.Server's ConnState function.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = &clientConn{}
		c.enterPhaseLocked(conn, phaseNew)
	case http.StateActive:
		c.enterPhaseLocked(conn, phaseReading)
	case http.StateIdle:
		c.enterPhaseLocked(conn, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.leavePhaseLocked(conn)
		if client := c.conns[conn]; client != nil && client.closing {
			c.closing--
		}
		delete(c.conns, conn)
	}
	c.enforceLimitLocked()
}

func (c *clientConns) enforceLimitLocked() {
	for len(c.conns)-c.closing > c.softLimit {
		conn := c.nextToCloseLocked()
		if conn == nil {
			return
		}
		c.leavePhaseLocked(conn)
		c.conns[conn].closing = true
		c.closing++
		conn.Close() // the server's read fails, and the server reports the close
	}
}

// nextToCloseLocked returns the connection to close next, or nil if there is none.
func (c *clientConns) nextToCloseLocked() net.Conn {
	var oldest net.Conn
	for _, phase := range []connPhase{phaseNew, phaseReading} {
		first := c.withoutRequest[phase].Front()
		if first == nil {
			continue
		}
		conn := first.Value.(net.Conn)
		since := c.conns[conn].since
		if c.withoutRequest[phase].Len() > c.softLimit/maxPhaseDivisor || time.Since(since) > newConnGrace {
			return conn
		}
		if oldest == nil || since.Before(c.conns[oldest].since) {
			oldest = conn
		}
	}
	if first := c.withoutRequest[phaseIdle].Front(); first != nil {
		return first.Value.(net.Conn)
	}
	return oldest
}

// requestReceived records that a handler's connection has sent a complete request. The connection is not closed
// until the request is answered.
func (c *clientConns) requestReceived(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		c.leavePhaseLocked(conn)
	}
}

// setReadDeadline sets the deadline by which connections must have sent a complete request.
func (c *clientConns) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, phase := range []connPhase{phaseNew, phaseReading} {
		for element := c.withoutRequest[phase].Front(); element != nil; element = element.Next() {
			element.Value.(net.Conn).SetReadDeadline(deadline)
		}
	}
}

// enterPhaseLocked puts a connection into a phase, as the youngest one.
func (c *clientConns) enterPhaseLocked(conn net.Conn, phase connPhase) {
	c.leavePhaseLocked(conn)
	if client := c.conns[conn]; client != nil && !client.closing {
		client.phase, client.element, client.since = phase, c.withoutRequest[phase].PushBack(conn), time.Now()
	}
}

// leavePhaseLocked removes a connection from those that may be closed.
func (c *clientConns) leavePhaseLocked(conn net.Conn) {
	if client := c.conns[conn]; client != nil && client.element != nil {
		c.withoutRequest[client.phase].Remove(client.element)
		client.element = nil
	}
}
