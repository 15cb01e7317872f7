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
	// defaultConnTimeout stands for a connect time-out or keepalive of which the settings say nothing.
	defaultConnTimeout = time.Second
	// connReadBuffer is the size in bytes of a connection's read buffer.
	connReadBuffer = 4 << 10
)

// connPool holds the connections to backends. The backend is the key and not its address: that of a removed
// backend may be another's by now. http.Transport is not used on purpose: it resends by itself when a reused
// connection breaks, and does not tell whether the last byte was written, on which depends whether an attempt
// may have been executed. It is safe for concurrent use.
type connPool struct {
	connectTimeout time.Duration
	keepalive      time.Duration // connections that were idle for longer are not used
	ages           http1.ReuseStats
	conns          *connpool.Pool[*backend, *backendConn]
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	reader    *bufio.Reader
	backend   *backend
	addr      string
	idleSince time.Time
	idleSlot  int // how long it was idle before its current use, as a bucket of ages; 0: it is new
}

// newBackendConns returns a pool of connections without a bound of those to one backend.
func newBackendConns(maxOpen int) *connpool.Pool[*backend, *backendConn] {
	return connpool.New[*backend, *backendConn](maxOpen, maxOpen)
}

// IdleSince returns when the connection was last put into the pool.
func (c *backendConn) IdleSince() time.Time { return c.idleSince }

// newConnPool returns the pool that the limits of the settings allow.
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

// maxIdleTime is how long a connection may have been idle to be used again. The backend closes it at the
// keepalive at the latest, counted from when it sent the response: a request has to arrive before that. What
// closes sooner is learned from resets.
func maxIdleTime(limits *policy.Limits) time.Duration {
	margin := min(max(limits.KeepaliveMs/16, 2*limits.ConnectTimeoutMs), limits.KeepaliveMs/2)
	return milliseconds(limits.KeepaliveMs - margin)
}

// get returns an idle connection that can be used, the most recently used first, or opens one by a deadline.
// The error is connpool.ErrExhausted or that of the connect.
func (p *connPool) get(ctx context.Context, to *backend, addr string, deadline time.Time) (*backendConn, error) {
	for {
		conn, ok := p.conns.TakeIdle(to)
		if !ok {
			break
		}
		idleTime := time.Since(conn.idleSince)
		if conn.addr == addr && idleTime < p.keepalive && p.ages.Reusable(idleTime) && http1.IsIdle(conn.Conn, conn.reader) {
			conn.idleSlot = http1.IdleBucket(idleTime)
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
	return &backendConn{Conn: conn, reader: bufio.NewReaderSize(conn, connReadBuffer), backend: to, addr: addr}, nil
}

// put retains a connection for another attempt, unless it received more than one response: the rest would be
// taken for the next one.
func (p *connPool) put(conn *backendConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	if conn.backend.unavailable.Load() || !http1.IsIdle(conn.Conn, conn.reader) || !p.conns.PutIdle(conn.backend, conn) {
		p.conns.Close(conn)
	}
}

// close closes a connection that is not idle.
func (p *connPool) close(conn *backendConn) { p.conns.Close(conn) }

// closeIdle closes the idle connections to a backend.
func (p *connPool) closeIdle(to *backend) { p.conns.CloseIdle(to) }

// closeExpired closes the connections that have been idle for too long, and those of backends that became
// unavailable while a connection was being returned.
func (p *connPool) closeExpired() {
	p.conns.CloseExpired(func(to *backend, conn *backendConn) bool {
		return to.unavailable.Load() || time.Since(conn.idleSince) >= p.keepalive
	})
}

// count is the number of connections, and of the idle ones among them.
func (p *connPool) count() (open, idle int) { return p.conns.Count() }
