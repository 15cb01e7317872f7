package agent

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// clientConns makes room among the clients' connections when there are nearly as
// many as may be. Every client is accepted: one that waits in the accept queue has
// neither an answer nor a close. Those with no request open give way: first the ones
// that have not brought a whole one in the moment that it takes, or that are too many,
// then those that idle, then the rest, and of each the oldest. So hundreds that
// connect and say nothing, or half of something, push out each other, and not the
// clients that are served.
//
// It looks whenever a connection changes its state. One that is being closed no
// longer counts and is not chosen again: the server notices the close only later.
//
// It makes room long before the descriptors run out: the application has a limit of
// its own, and where all it may hold are connections of callers that asked once and
// stay, it can't bring another request. Which of them idle for good only it knows.
type clientConns struct {
	softLimit int // from here on room is made
	mu        sync.Mutex
	conns     map[net.Conn]*clientConn
	closing   int
	// Connections with no request open, by how readily they give way.
	withoutRequest [3]list.List
}

const (
	phaseSilent  = iota // nothing whole has come yet
	phaseIdle           // between requests
	phaseReading        // a head has come, its body is being read
)

// newConnGrace is how long a connection may take to bring a request, and its body, before
// it gives way to all others.
const newConnGrace = 250 * time.Millisecond

// clientConn is one connection; at is its place in kind, nil while a request is open.
type clientConn struct {
	element *list.Element
	phase   int
	since   time.Time // of that kind
	closing bool
}

type connKey struct{}

func newClientConns(most int) *clientConns {
	return &clientConns{softLimit: most, conns: map[net.Conn]*clientConn{}}
}

// withConn lets a handler find its connection.
func (c *clientConns) withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// track follows the server's states.
func (c *clientConns) track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[nc] = &clientConn{}
		c.markWaitingLocked(nc, phaseSilent)
	case http.StateActive:
		c.markWaitingLocked(nc, phaseReading)
	case http.StateIdle:
		c.markWaitingLocked(nc, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.markBusyLocked(nc)
		if x := c.conns[nc]; x != nil && x.closing {
			c.closing--
		}
		delete(c.conns, nc)
	}
	for len(c.conns)-c.closing > c.softLimit {
		old := c.nextToCloseLocked()
		if old == nil {
			break
		}
		c.markBusyLocked(old)
		c.conns[old].closing = true
		c.closing++
		old.Close() // the server's read then fails, and it reports the close
	}
}

// nextToCloseLocked is the connection to give way next, nil if there is none.
func (c *clientConns) nextToCloseLocked() net.Conn {
	var oldest net.Conn
	for _, kind := range []int{phaseSilent, phaseReading} {
		e := c.withoutRequest[kind].Front()
		if e == nil {
			continue
		}
		nc := e.Value.(net.Conn)
		if c.withoutRequest[kind].Len() > c.softLimit/4 || time.Since(c.conns[nc].since) > newConnGrace {
			return nc
		}
		if oldest == nil || c.conns[nc].since.Before(c.conns[oldest].since) {
			oldest = nc
		}
	}
	if e := c.withoutRequest[phaseIdle].Front(); e != nil {
		return e.Value.(net.Conn)
	}
	return oldest
}

// requestReceived tells that the handler's connection has brought a whole request: it stays
// until that is answered.
func (c *clientConns) requestReceived(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if nc, ok := ctx.Value(connKey{}).(net.Conn); ok {
		c.markBusyLocked(nc)
	}
}

// setReadDeadline gives those that still have to bring a request until a time for it.
func (c *clientConns) setReadDeadline(by time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range []int{phaseSilent, phaseReading} {
		for e := c.withoutRequest[kind].Front(); e != nil; e = e.Next() {
			e.Value.(net.Conn).SetReadDeadline(by)
		}
	}
}

// markWaitingLocked puts a connection last among those of a kind.
func (c *clientConns) markWaitingLocked(nc net.Conn, kind int) {
	c.markBusyLocked(nc)
	if x := c.conns[nc]; x != nil && !x.closing {
		x.phase, x.element, x.since = kind, c.withoutRequest[kind].PushBack(nc), time.Now()
	}
}

// markBusyLocked takes a connection off those that may give way.
func (c *clientConns) markBusyLocked(nc net.Conn) {
	if x := c.conns[nc]; x != nil && x.element != nil {
		c.withoutRequest[x.phase].Remove(x.element)
		x.element = nil
	}
}
