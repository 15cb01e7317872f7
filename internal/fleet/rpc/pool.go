package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
)

// Pool holds connections to peers for unary calls. It is safe for concurrent use.
type Pool struct {
	dialer Dialer

	mu        sync.Mutex
	idle      map[string][]idleConn // idle connections by address, those that are idle for the longest time first
	closed    bool
	lastSweep time.Time // time at which expired connections to all peers were last removed
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time // time at which it became idle
}

// NewPool returns an empty pool of TCP connections.
func NewPool() *Pool { return NewPoolWithDialer(TCPDialer{}) }

// NewPoolWithDialer returns an empty pool that opens its connections with a dialer.
func NewPoolWithDialer(dialer Dialer) *Pool {
	return &Pool{dialer: dialer, idle: map[string][]idleConn{}}
}

// Call calls the peer at an address. The context has to bound the time of the call. If Call returns an
// error that is not the handler's, the call may have run or not.
func Call[Request, Response any](ctx context.Context, pool *Pool, address, name string, request *Request) (*Response, error) {
	conn, err := pool.get(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to agent %s", address)
	}
	response := new(Response)
	switch err := conn.Invoke(ctx, name, msgpackEncoding{}, request, response); {
	case err == nil:
		pool.put(address, conn)
		return response, nil
	case drpcerr.Code(err) != 0: // the handler's error: the exchange is complete
		pool.put(address, conn)
		return nil, errors.Wrapf(decodeError(err), "call %s of agent %s", name, address)
	default: // the rest of the exchange may still arrive, so the connection can't be reused
		_ = conn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.Wrapf(err, "call %s of agent %s", name, address)
	}
}

// get returns the connection that has been idle for the shortest time, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	expired := p.removeExpiredLocked(address, time.Now())
	conn := p.takeIdleLocked(address)
	p.mu.Unlock()
	closeAll(expired)
	if conn != nil {
		return conn, nil
	}
	netConn, err := p.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()}), nil
}

// takeIdleLocked removes and returns an idle connection that is open, or nil if there is none. The caller
// holds p.mu.
func (p *Pool) takeIdleLocked(address string) *drpcconn.Conn {
	for list := p.idle[address]; len(list) > 0; list = p.idle[address] {
		last := list[len(list)-1]
		p.setIdleLocked(address, list[:len(list)-1])
		if !isClosed(last.conn) {
			return last.conn
		}
	}
	return nil
}

// put returns a connection to the pool if it is open and there is capacity. Once per idleTimeout it also
// closes expired connections to all peers, including those that nobody calls any more.
func (p *Pool) put(address string, conn *drpcconn.Conn) {
	if isClosed(conn) {
		return
	}
	now := time.Now()
	p.mu.Lock()
	expired := p.sweepLocked(now)
	if p.closed || len(p.idle[address]) >= maxIdlePerPeer {
		expired = append(expired, idleConn{conn: conn})
	} else {
		p.idle[address] = append(p.idle[address], idleConn{conn, now})
	}
	p.mu.Unlock()
	closeAll(expired)
}

// sweepLocked removes and returns the expired connections to all peers, at most once per idleTimeout. The
// caller holds p.mu.
func (p *Pool) sweepLocked(now time.Time) (expired []idleConn) {
	if now.Sub(p.lastSweep) <= idleTimeout {
		return nil
	}
	p.lastSweep = now
	for address := range p.idle {
		expired = append(expired, p.removeExpiredLocked(address, now)...)
	}
	return expired
}

// removeExpiredLocked removes and returns the connections to a peer that were idle for longer than
// idleTimeout. The caller holds p.mu.
func (p *Pool) removeExpiredLocked(address string, now time.Time) []idleConn {
	list, expired := p.idle[address], 0
	for expired < len(list) && now.Sub(list[expired].since) > idleTimeout {
		expired++
	}
	p.setIdleLocked(address, list[expired:])
	return list[:expired]
}

// setIdleLocked sets the idle connections to a peer. The caller holds p.mu.
func (p *Pool) setIdleLocked(address string, list []idleConn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// Close closes all idle connections. Calls in flight and later calls still work, and close their
// connections when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]idleConn{}, true
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func closeAll(list []idleConn) {
	for _, idle := range list {
		_ = idle.conn.Close()
	}
}
