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

// connPool keeps idle connections to backends and bounds all there are. http.Transport
// is not used on purpose: it sends again by itself on a broken kept connection, and
// does not tell whether the last byte was written, on which hangs whether an attempt
// may have run.
type connPool struct {
	connectTimeout time.Duration
	keepalive      time.Duration // idle connections older than this are not used again
	maxOpen        int

	mu sync.Mutex
	// By backend, not by address: one that has gone may leave its address to another.
	// The most recently used last.
	idle map[*backend][]*backendConn
	open int
	ages http1.ReuseStats
}

type backendConn struct {
	net.Conn
	reader    *bufio.Reader
	backend   *backend
	addr      string
	idleSince time.Time // idle since
	idleSlot  int       // how long it idled before its last use, as ages tells times apart
}

var errNoDescriptor = errors.New("no descriptor left for a connection")

func newConnPool(c *Config) *connPool {
	p := &connPool{
		connectTimeout: milliseconds(c.Settings.Limits.ConnectTimeoutMs),
		keepalive:      maxIdleTime(&c.Settings.Limits),
		maxOpen:        c.maxBackendConns(),
		idle:           map[*backend][]*backendConn{},
	}
	if p.connectTimeout <= 0 {
		p.connectTimeout = time.Second
	}
	if p.keepalive <= 0 {
		p.keepalive = time.Second
	}
	return p
}

// maxIdleTime is how long a connection may have idled to be used again. The backend closes
// it at keepalive at the latest, which it counts from when it sent the answer: a request
// has to arrive before that. What closes sooner, ages learns.
func maxIdleTime(l *policy.Limits) time.Duration {
	margin := min(max(l.KeepaliveMs/16, 2*l.ConnectTimeoutMs), l.KeepaliveMs/2)
	return milliseconds(l.KeepaliveMs - margin)
}

// get returns an idle connection that is still good, the most recently used
// first, or opens one.
func (p *connPool) get(ctx context.Context, b *backend, addr string, until time.Time) (*backendConn, error) {
	for {
		p.mu.Lock()
		list := p.idle[b]
		if len(list) == 0 {
			break
		}
		cn := list[len(list)-1]
		p.storeIdleLocked(b, list[:len(list)-1])
		p.mu.Unlock()
		age := time.Since(cn.idleSince)
		if cn.addr == addr && age < p.keepalive && p.ages.Reusable(age) && http1.IsIdle(cn.Conn, cn.reader) {
			cn.idleSlot = http1.IdleBucket(age)
			return cn, nil
		}
		p.close(cn)
	}
	if p.open >= p.maxOpen && !p.evictOldestLocked() {
		p.mu.Unlock()
		return nil, errNoDescriptor
	}
	p.open++
	p.mu.Unlock()
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &backendConn{Conn: nc, reader: bufio.NewReaderSize(nc, 4<<10), backend: b, addr: addr}, nil
}

// storeIdleLocked stores what is idle of a backend. The lock is held.
func (p *connPool) storeIdleLocked(b *backend, list []*backendConn) {
	if len(list) == 0 {
		delete(p.idle, b)
		return
	}
	p.idle[b] = list
}

// evictOldestLocked closes the connection that has been idle longest, to make room for
// another backend's. The lock is held.
func (p *connPool) evictOldestLocked() bool {
	var oldest *backendConn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
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

// put keeps a connection for the next attempt, unless it brought more than it was
// asked for: the rest would be taken for the next answer.
func (p *connPool) put(cn *backendConn) {
	cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	if cn.backend.unavailable.Load() || !http1.IsIdle(cn.Conn, cn.reader) {
		p.close(cn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[cn.backend] = append(p.idle[cn.backend], cn)
}

func (p *connPool) close(cn *backendConn) {
	cn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes the idle connections to a backend.
func (p *connPool) closeIdle(b *backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle[b] {
		p.open--
		cn.Close()
	}
	delete(p.idle, b)
}

// closeExpired closes connections that have idled too long, and those of backends that were
// closed while a connection was on its way back.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for b, list := range p.idle {
		n := 0
		for n < len(list) && (b.unavailable.Load() || time.Since(list[n].idleSince) >= p.keepalive) {
			p.open--
			list[n].Close()
			n++
		}
		p.storeIdleLocked(b, list[n:])
	}
}
