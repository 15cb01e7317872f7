package agent

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long a connection may take to send a request with its body before it is closed in favor
// of all others.
const newConnGrace = 250 * time.Millisecond

// maxPhaseShare is the part of the limit, as a divisor, that connections of one phase may take before they are
// closed in favor of others.
const maxPhaseShare = 4

// connPhase is what a connection without an open request does.
type connPhase int

const (
	phaseSilent  connPhase = iota // it has sent no request yet
	phaseIdle                     // between requests
	phaseReading                  // a head has arrived, its body is being read
	phaseCount
)

// clientConns limits the clients' connections. Every client is accepted, as one that waits in the accept queue
// gets neither a response nor a close. Near the limit connections without an open request are closed: first
// those that have not sent a complete request within newConnGrace, or of which there are too many, then idle
// ones, then the others, and of each the oldest. So hundreds that connect and send nothing, or half a request,
// displace each other and not the clients that are served.
//
// It acts whenever a connection changes its state. One that is being closed no longer counts and is not chosen
// again: the server reports the close later.
//
// The limit is far below the descriptors: the application has a limit of its own, and if all it may have are
// connections of callers that made one request and stay, it can't make another. Only the application knows
// which of them are idle for good. It is safe for concurrent use.
type clientConns struct {
	softLimit int

	mu      sync.Mutex
	conns   map[net.Conn]*clientConn
	closing int // of them
	// withoutRequest are the connections without an open request, in each phase the oldest first.
	withoutRequest [phaseCount]list.List
}

// clientConn is the state of one connection.
type clientConn struct {
	element *list.Element // of its phase's list; nil while a request is open
	phase   connPhase
	since   time.Time // of the phase
	closing bool
}

// connKey is the context key of a handler's connection.
type connKey struct{}

func newClientConns(softLimit int) *clientConns {
	return &clientConns{softLimit: softLimit, conns: map[net.Conn]*clientConn{}}
}

// withConn is the http.Server's ConnContext: it lets a handler find its connection.
func (c *clientConns) withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// track is the http.Server's ConnState.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = &clientConn{}
		c.enterPhaseLocked(conn, phaseSilent)
	case http.StateActive:
		c.enterPhaseLocked(conn, phaseReading)
	case http.StateIdle:
		c.enterPhaseLocked(conn, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.leavePhaseLocked(conn)
		if tracked := c.conns[conn]; tracked != nil && tracked.closing {
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
		conn.Close() // the server's read fails then, and it reports the close
	}
}

// nextToCloseLocked is the connection to close next, nil if there is none.
func (c *clientConns) nextToCloseLocked() net.Conn {
	var oldest net.Conn
	for _, phase := range []connPhase{phaseSilent, phaseReading} {
		first := c.withoutRequest[phase].Front()
		if first == nil {
			continue
		}
		conn := first.Value.(net.Conn)
		since := c.conns[conn].since
		if c.withoutRequest[phase].Len() > c.softLimit/maxPhaseShare || time.Since(since) > newConnGrace {
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

// requestReceived notes that a handler's connection has sent a complete request: it stays until that is
// answered.
func (c *clientConns) requestReceived(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		c.leavePhaseLocked(conn)
	}
}

// setReadDeadline gives the connections that have not sent a complete request a deadline for it.
func (c *clientConns) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, phase := range []connPhase{phaseSilent, phaseReading} {
		for element := c.withoutRequest[phase].Front(); element != nil; element = element.Next() {
			element.Value.(net.Conn).SetReadDeadline(deadline)
		}
	}
}

// enterPhaseLocked makes a connection the youngest of a phase.
func (c *clientConns) enterPhaseLocked(conn net.Conn, phase connPhase) {
	c.leavePhaseLocked(conn)
	if tracked := c.conns[conn]; tracked != nil && !tracked.closing {
		tracked.phase, tracked.element, tracked.since = phase, c.withoutRequest[phase].PushBack(conn), time.Now()
	}
}

// leavePhaseLocked excludes a connection from those that may be closed.
func (c *clientConns) leavePhaseLocked(conn net.Conn) {
	if tracked := c.conns[conn]; tracked != nil && tracked.element != nil {
		c.withoutRequest[tracked.phase].Remove(tracked.element)
		tracked.element = nil
	}
}
