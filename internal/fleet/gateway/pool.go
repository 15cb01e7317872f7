package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// connectTimeout bounds a connect: a healthy server takes it at once.
	connectTimeout = 400 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 64
)

// errPoolExhausted means that as many connections to servers are in use as may be open.
var errPoolExhausted = errors.New("no descriptor left for a connection")

// pool keeps idle connections to servers and bounds the number of all open ones. http.Transport is not
// used, for two reasons: it repeats requests by itself if an idle connection turns out to be broken,
// and it does not tell whether the last byte was written, which decides whether a request may have
// been executed. A pool is safe for concurrent use.
type pool struct {
	maxOpen int
	reuse   http1.ReuseStats

	mu   sync.Mutex         // guards the fields below
	idle map[string][]*conn // by instance ID; the most recently used last
	open int                // connections, idle or in use
}

func newPool(maxOpen int) *pool { return &pool{maxOpen: maxOpen, idle: map[string][]*conn{}} }

// get returns an idle connection to a server that is still usable, the most recently used first, or
// opens one; dialed tells which. The caller has to give it back by put or close.
func (p *pool) get(ctx context.Context, instance *registry.Instance, deadline time.Time) (c *conn, dialed bool, err error) {
	for {
		p.mu.Lock()
		c := p.takeIdleLocked(instance.ID)
		if c == nil {
			break // with the lock held
		}
		p.mu.Unlock()
		if p.usable(c) {
			return c, false, nil
		}
		p.close(c)
	}
	if p.open >= p.maxOpen && !p.evictLocked() {
		p.mu.Unlock()
		return nil, true, errPoolExhausted
	}
	p.open++
	p.mu.Unlock()
	dialer := net.Dialer{Deadline: deadline, Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", instance.Addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, true, err
	}
	return newConn(netConn, instance.ID), true, nil
}

// takeIdleLocked removes the most recently used idle connection to a server; nil if there is none.
func (p *pool) takeIdleLocked(instanceID string) *conn {
	list := p.idle[instanceID]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	p.setIdleLocked(instanceID, list[:last])
	return list[last]
}

// usable reports whether a connection that was idle may carry a request.
func (p *pool) usable(c *conn) bool {
	now := time.Now()
	idleTime := now.Sub(c.idleSince)
	if !now.Before(c.usableUntil) || !p.reuse.Reusable(idleTime) || !http1.IsIdle(c.Conn, c.reader) {
		return false
	}
	c.idleBucket = http1.IdleBucket(idleTime)
	return true
}

// setIdleLocked replaces the idle connections to a server.
func (p *pool) setIdleLocked(instanceID string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, instanceID)
		return
	}
	p.idle[instanceID] = list
}

// evictLocked closes the connection that has been idle longest. It reports false if none is idle.
func (p *pool) evictLocked() bool {
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdleLocked(oldest.instanceID, p.idle[oldest.instanceID][1:])
	p.open--
	oldest.Close()
	return true
}

// put returns a connection for the next request. It closes one that has brought bytes which were not
// asked for, as they would be taken for the next response.
func (p *pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(c.keepAlive)
	if !http1.IsIdle(c.Conn, c.reader) {
		p.close(c)
		return
	}
	p.mu.Lock()
	if len(p.idle[c.instanceID]) >= maxIdlePerServer {
		p.mu.Unlock()
		p.close(c)
		return
	}
	p.idle[c.instanceID] = append(p.idle[c.instanceID], c)
	p.mu.Unlock()
}

// close closes a connection and waits until nothing is written to it any more.
func (p *pool) close(c *conn) {
	c.Close()
	c.upload.wait()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// retainListed closes the idle connections to servers that are no longer listed.
func (p *pool) retainListed(listed map[string]*registry.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instanceID, list := range p.idle {
		if listed[instanceID] != nil {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		p.open -= len(list)
		delete(p.idle, instanceID)
	}
}

// closeExpired closes connections that have been idle for too long.
func (p *pool) closeExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for instanceID, list := range p.idle {
		expired := 0
		for expired < len(list) && !now.Before(list[expired].usableUntil) {
			list[expired].Close()
			expired++
		}
		p.open -= expired
		p.setIdleLocked(instanceID, list[expired:])
	}
}

// closeAll closes all idle connections.
func (p *pool) closeAll() { p.retainListed(nil) }
