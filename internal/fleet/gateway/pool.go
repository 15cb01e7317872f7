package gateway

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// connectTimeout bounds a connect: a server that is there takes it at once.
	connectTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged: a server behind a cut says nothing.
	tcpUserTimeout = 3 * time.Second
	// defaultKeepAlive is how long a connection may have idled to be used again, where the server does not
	// say; keepAliveMargin is taken off what it says.
	defaultKeepAlive, keepAliveMargin = 8 * time.Second, 500 * time.Millisecond
	// maxIdlePerServer bounds the idle connections kept to one server.
	maxIdlePerServer = 64
)

var errPoolExhausted = errors.New("no descriptor left for a connection")

// conn is a connection to one server.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	instanceID  string
	usableUntil time.Time     // when it may not be used any more; idle
	idleSince   time.Time     // idle since
	keepAlive   time.Duration // as the server says
	idleBucket  int
	// upload is the sending of the request that is under way.
	upload upload
}

// pool keeps idle connections to servers and bounds all there are. http.Transport is not used on
// purpose: it sends again by itself on a broken kept connection, and does not tell whether the
// last byte was written, on which hangs whether a request may have run.
type pool struct {
	maxOpen int

	mu    sync.Mutex
	idle  map[string][]*conn // by instance; the most recently used last
	open  int
	reuse http1.ReuseStats
}

func newPool(most int) *pool { return &pool{maxOpen: most, idle: map[string][]*conn{}} }

// get returns an idle connection that is still good, the most recently used first, or opens one;
// fresh tells which.
func (p *pool) get(ctx context.Context, in *registry.Instance, until time.Time) (cn *conn, fresh bool, err error) {
	for {
		p.mu.Lock()
		list := p.idle[in.ID]
		if len(list) == 0 {
			break
		}
		cn := list[len(list)-1]
		p.setIdleLocked(in.ID, list[:len(list)-1])
		p.mu.Unlock()
		now := time.Now()
		age := now.Sub(cn.idleSince)
		if now.Before(cn.usableUntil) && p.reuse.Reusable(age) && http1.IsIdle(cn.Conn, cn.reader) {
			cn.idleBucket = http1.IdleBucket(age)
			return cn, false, nil
		}
		p.close(cn)
	}
	if p.open >= p.maxOpen && !p.evictLocked() {
		p.mu.Unlock()
		return nil, true, errPoolExhausted
	}
	p.open++
	p.mu.Unlock()
	dialer := net.Dialer{Deadline: until, Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", in.Addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, true, err
	}
	return newConn(nc, in.ID), true, nil
}

// newConn is a connection that was just opened to a server.
func newConn(nc net.Conn, id string) *conn {
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, 4<<10), instanceID: id, keepAlive: defaultKeepAlive}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Best effort: time-outs of requests bound them, too.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// setIdleLocked keeps what is idle of a server. The lock is held.
func (p *pool) setIdleLocked(id string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, id)
		return
	}
	p.idle[id] = list
}

// evictLocked closes the connection that has been idle longest. The lock is held.
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

// put keeps a connection for the next request, unless it brought more than it was asked for: the
// rest would be taken for the next answer.
func (p *pool) put(cn *conn) {
	cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	cn.usableUntil = cn.idleSince.Add(cn.keepAlive)
	if !http1.IsIdle(cn.Conn, cn.reader) {
		p.close(cn)
		return
	}
	p.mu.Lock()
	if len(p.idle[cn.instanceID]) >= maxIdlePerServer {
		p.mu.Unlock()
		p.close(cn)
		return
	}
	p.idle[cn.instanceID] = append(p.idle[cn.instanceID], cn)
	p.mu.Unlock()
}

// close ends a connection, and waits for what is still being written on it, which that ends.
func (p *pool) close(cn *conn) {
	cn.Close()
	cn.upload.wait()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// retainListed closes the idle connections to servers that are not listed any more.
func (p *pool) retainListed(listed map[string]*registry.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		if listed[id] == nil {
			for _, cn := range list {
				cn.Close()
			}
			p.open -= len(list)
			delete(p.idle, id)
		}
	}
}

// closeExpired closes connections that have idled too long.
func (p *pool) closeExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		n := 0
		for n < len(list) && !now.Before(list[n].usableUntil) {
			list[n].Close()
			n++
		}
		p.open -= n
		p.setIdleLocked(id, list[n:])
	}
}

func (p *pool) closeAll() { p.retainListed(nil) }

// parseKeepAlive reads for how long a server keeps the connection, from Keep-Alive: timeout=N.
func parseKeepAlive(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 && n < 3600 {
				return max(time.Duration(n)*time.Second-keepAliveMargin, 0)
			}
		}
	}
	return defaultKeepAlive
}
