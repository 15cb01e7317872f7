package agent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/http1"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// defaultConnTimeout stands for a connect time-out or keepalive of which the settings say nothing.
	defaultConnTimeout = time.Second
	// connReadBuffer is the size in bytes of a connection's read buffer.
	connReadBuffer = 4 << 10
)

// errNoDescriptor reports that as many connections are open as may be, and none of them is idle.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// connPool retains idle connections to backends and bounds the number of all. http.Transport is not used on
// purpose: it resends by itself when a reused connection breaks, and does not tell whether the last byte was
// written, on which depends whether an attempt may have been executed. It is safe for concurrent use.
type connPool struct {
	connectTimeout time.Duration
	keepalive      time.Duration // connections that were idle for longer are not used
	maxOpen        int
	ages           http1.ReuseStats

	mu   sync.Mutex
	open int // connections, idle ones included
	// idle holds the connections by backend, the most recently used last. The address is no key: that of a
	// removed backend may be another's by now.
	idle map[*backend][]*backendConn
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

func newConnPool(config *Config) *connPool {
	limits := &config.Settings.Limits
	pool := &connPool{
		connectTimeout: milliseconds(limits.ConnectTimeoutMs),
		keepalive:      maxIdleTime(limits),
		maxOpen:        config.maxBackendConns(),
		idle:           map[*backend][]*backendConn{},
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
func (p *connPool) get(ctx context.Context, to *backend, addr string, deadline time.Time) (*backendConn, error) {
	for {
		conn := p.takeIdle(to)
		if conn == nil {
			break
		}
		idleTime := time.Since(conn.idleSince)
		if conn.addr == addr && idleTime < p.keepalive && p.ages.Reusable(idleTime) && http1.IsIdle(conn.Conn, conn.reader) {
			conn.idleSlot = http1.IdleBucket(idleTime)
			return conn, nil
		}
		p.close(conn)
	}
	if !p.reserve() {
		return nil, errNoDescriptor
	}
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release()
		return nil, err
	}
	return &backendConn{Conn: conn, reader: bufio.NewReaderSize(conn, connReadBuffer), backend: to, addr: addr}, nil
}

// takeIdle removes and returns the most recently used idle connection to a backend, or nil.
func (p *connPool) takeIdle(to *backend) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	p.storeIdleLocked(to, idle[:len(idle)-1])
	return idle[len(idle)-1]
}

// reserve counts a connection that is to be opened. It closes an idle one if there are too many; false: there
// is none.
func (p *connPool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxOpen && !p.evictOldestLocked() {
		return false
	}
	p.open++
	return true
}

// release stops counting a connection.
func (p *connPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// storeIdleLocked stores the idle connections of a backend.
func (p *connPool) storeIdleLocked(of *backend, idle []*backendConn) {
	if len(idle) == 0 {
		delete(p.idle, of)
		return
	}
	p.idle[of] = idle
}

// evictOldestLocked closes the connection that has been idle longest, and reports whether there was one.
func (p *connPool) evictOldestLocked() bool {
	var oldest *backendConn
	for _, idle := range p.idle {
		if oldest == nil || idle[0].idleSince.Before(oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.storeIdleLocked(oldest.backend, p.idle[oldest.backend][1:])
	p.open--
	oldest.Close()
	return true
}

// put retains a connection for another attempt, unless it received more than one response: the rest would be
// taken for the next one.
func (p *connPool) put(conn *backendConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	if conn.backend.unavailable.Load() || !http1.IsIdle(conn.Conn, conn.reader) {
		p.close(conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[conn.backend] = append(p.idle[conn.backend], conn)
}

// close closes a connection that is not idle.
func (p *connPool) close(conn *backendConn) {
	conn.Close()
	p.release()
}

// closeIdle closes the idle connections to a backend.
func (p *connPool) closeIdle(to *backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[to] {
		p.open--
		conn.Close()
	}
	delete(p.idle, to)
}

// closeExpired closes the connections that have been idle for too long, and those of backends that became
// unavailable while a connection was being returned.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, idle := range p.idle {
		expired := 0
		for expired < len(idle) && (to.unavailable.Load() || time.Since(idle[expired].idleSince) >= p.keepalive) {
			p.open--
			idle[expired].Close()
			expired++
		}
		p.storeIdleLocked(to, idle[expired:])
	}
}

// count is the number of connections, and of the idle ones among them.
func (p *connPool) count() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return p.open, idle
}
