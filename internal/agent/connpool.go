package agent

import (
	"bufio"
	"context"
	"net"
	"time"

	"chalkdoor.example/chalkdoor/internal/connpool"
	"chalkdoor.example/chalkdoor/internal/http1"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// defaultConnTimeout replaces a connect timeout or keepalive that the settings leave out.
	defaultConnTimeout = time.Second
	// connReadBuffer is the size in bytes of a connection's read buffer.
	connReadBuffer = 4 << 10
)

// connPool holds the connections to backends. The key is the backend and not its address, as the address of a
// removed backend may belong to another one by now. http.Transport is deliberately not used. It resends a request
// by itself when a reused connection breaks, and it doesn't report whether the last byte was written, which
// decides whether an attempt may have been executed.
//
// A connPool is safe for concurrent use.
type connPool struct {
	connectTimeout time.Duration
	keepalive      time.Duration // a connection that was idle for as long is not used again
	reuseStats     http1.ReuseStats
	conns          *connpool.Pool[*backend, *backendConn]
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	reader     *bufio.Reader
	backend    *backend
	addr       string
	idleSince  time.Time
	idleBucket int // bucket in reuseStats of the idle time before the current use; 0 if the connection is new
}

// newBackendConns returns a pool that limits the total number of connections, but not those to one backend.
func newBackendConns(maxOpen int) *connpool.Pool[*backend, *backendConn] {
	return connpool.New[*backend, *backendConn](maxOpen, maxOpen)
}

// IdleSince returns when the connection was last put into the pool.
func (c *backendConn) IdleSince() time.Time { return c.idleSince }

// newConnPool returns a pool with the limits of the configuration.
func newConnPool(config *Config) *connPool {
	limits := &config.Settings.Limits
	pool := &connPool{
		connectTimeout: milliseconds(limits.ConnectTimeoutMs),
		keepalive:      maxIdleTime(limits),
		conns:          newBackendConns(config.maxBackendConns()),
	}
	if pool.connectTimeout <= 0 {
		pool.connectTimeout = defaultConnTimeout
	}
	if pool.keepalive <= 0 {
		pool.keepalive = defaultConnTimeout
	}
	return pool
}

// maxIdleTime returns how long a connection may have been idle when it is used again. A backend closes a
// connection at the latest when the keepalive time has passed since its response, and a request has to arrive
// before that. If something closes connections sooner, reuseStats learns that from resets.
func maxIdleTime(limits *policy.Limits) time.Duration {
	margin := min(max(limits.KeepaliveMs/16, 2*limits.ConnectTimeoutMs), limits.KeepaliveMs/2)
	return milliseconds(limits.KeepaliveMs - margin)
}

// get returns the most recently used idle connection that is still usable, or opens one before the deadline. The
// error is connpool.ErrExhausted or that of the dial.
func (p *connPool) get(ctx context.Context, b *backend, addr string, deadline time.Time) (*backendConn, error) {
	for {
		conn, ok := p.conns.TakeIdle(b)
		if !ok {
			break
		}
		idleTime := time.Since(conn.idleSince)
		if conn.addr == addr && idleTime < p.keepalive && p.reuseStats.Reusable(idleTime) &&
			http1.IsIdle(conn.Conn, conn.reader) {
			conn.idleBucket = http1.IdleBucket(idleTime)
			return conn, nil
		}
		p.conns.Close(conn)
	}
	if err := p.conns.Reserve(); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.conns.Release()
		return nil, err
	}
	return &backendConn{Conn: conn, reader: bufio.NewReaderSize(conn, connReadBuffer), backend: b, addr: addr}, nil
}

// put retains a connection for another attempt, unless it received more than one response: the excess would be
// taken for the next response.
func (p *connPool) put(conn *backendConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	if conn.backend.unavailable.Load() || !http1.IsIdle(conn.Conn, conn.reader) ||
		!p.conns.PutIdle(conn.backend, conn) {
		p.conns.Close(conn)
	}
}

// close closes a connection that is not idle.
func (p *connPool) close(conn *backendConn) { p.conns.Close(conn) }

// closeIdle closes the idle connections to a backend.
func (p *connPool) closeIdle(b *backend) { p.conns.CloseIdle(b) }

// closeExpired closes the connections that have been idle for too long, and those of backends that became
// unavailable while a connection was being returned.
func (p *connPool) closeExpired() {
	p.conns.CloseExpired(func(b *backend, conn *backendConn) bool {
		return b.unavailable.Load() || time.Since(conn.idleSince) >= p.keepalive
	})
}

// count returns the number of open connections, and of the idle ones among them.
func (p *connPool) count() (open, idle int) { return p.conns.Count() }
