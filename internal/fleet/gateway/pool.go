package gateway

import (
	"context"
	"net"
	"time"

	"chalkdoor.example/chalkdoor/internal/connpool"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// connectTimeout bounds the time to connect: a healthy server accepts at once.
	connectTimeout = 400 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 64
)

// pool holds the connections to servers, by instance ID. http.Transport is not used, for two reasons: it
// repeats requests by itself if an idle connection turns out to be broken, and it does not report whether
// the last byte was written, which decides whether a request may have been executed. A pool is safe for
// concurrent use.
type pool struct {
	conns *connpool.Pool[string, *conn]
	reuse http1.ReuseStats
}

func newPool(maxOpen int) *pool {
	return &pool{conns: connpool.New[string, *conn](maxOpen, maxIdlePerServer)}
}

// get returns the most recently used idle connection to a server that is still usable, or opens one if
// there is none; dialed reports whether it was opened. The caller has to pass it to put or close. The error
// is connpool.ErrExhausted or that of connecting.
func (p *pool) get(ctx context.Context, instance *registry.Instance, deadline time.Time) (c *conn, dialed bool, err error) {
	for {
		c, ok := p.conns.TakeIdle(instance.ID)
		if !ok {
			break
		}
		if p.usable(c) {
			return c, false, nil
		}
		p.close(c)
	}
	if err := p.conns.Reserve(); err != nil {
		return nil, true, err
	}
	dialer := net.Dialer{Deadline: deadline, Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", instance.Addr)
	if err != nil {
		p.conns.Release()
		return nil, true, err
	}
	return newConn(netConn, instance.ID), true, nil
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

// put returns a connection to the pool for the next request. It closes the connection if the server has
// sent unexpected bytes, which would be taken for the next response, or if enough connections are idle.
func (p *pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(c.keepAlive)
	if !http1.IsIdle(c.Conn, c.reader) || !p.conns.PutIdle(c.instanceID, c) {
		p.close(c)
	}
}

// close closes a connection and waits until its upload has ended.
func (p *pool) close(c *conn) {
	c.Close()
	c.upload.wait()
	p.conns.Release()
}

// retainListed closes the idle connections to all but the given servers, which are those listed.
func (p *pool) retainListed(servers map[string]*registry.Instance) {
	p.conns.CloseIdleIf(func(instanceID string) bool { return servers[instanceID] == nil })
}

// closeExpired closes connections that have been idle for too long.
func (p *pool) closeExpired() {
	now := time.Now()
	p.conns.CloseExpired(func(_ string, c *conn) bool { return !now.Before(c.usableUntil) })
}

// closeAll closes all idle connections.
func (p *pool) closeAll() { p.retainListed(nil) }
