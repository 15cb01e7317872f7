// Package faultlink is a network between parties on loopback that can be made worse: each Link
// stands at an address of its own, where one party reaches another, and delays, stalls, cuts
// or resets what passes. The far party runs in this process and takes connections from
// Link.Accept, so that a link costs one socket for each connection and no copy.
//
// A cut is silence, as of a machine that is gone: open connections stay open and bring
// nothing, and new ones never come up. Closing a Link's far end is a process that died: open
// connections are reset and new ones refused.
package faultlink

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Quality is how a link is at a moment.
type Quality struct {
	Delay  time.Duration // one way
	Jitter time.Duration // of it, up to so much more, drawn for each message
	// Stall is the part of messages that are held up by Stalled more: a lost packet that
	// is sent again.
	Stall   float64
	Stalled time.Duration
	// CutTo and CutFrom cut what goes to the far party, and what comes from it.
	CutTo, CutFrom bool
}

// Link is one party's way to another. It is safe for concurrent use.
type Link struct {
	addr    *net.TCPAddr
	near    string
	first   time.Duration // what the first message on a connection takes more
	accept  chan net.Conn
	done    chan struct{}
	closing sync.Once
	owner   sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	quality Quality
	changed chan struct{} // closed at each change of quality
	parked  chan struct{} // told when a cut keeps the serving goroutine from accepting
	ln      *net.TCPListener
	filler  net.Conn // keeps the accept queue full while the link is cut
	down    bool
	conns   map[*conn]bool
}

// Config is how a link is made.
type Config struct {
	IP    net.IP        // where the near party reaches it, at a free port
	Near  string        // who that is, for the far party
	Seed  uint64        // of what is drawn
	First time.Duration // the first message on a connection takes so much longer, as after a handshake
}

// New opens a link.
func New(cfg Config) (*Link, error) {
	l := &Link{addr: &net.TCPAddr{IP: cfg.IP}, near: cfg.Near, first: cfg.First, accept: make(chan net.Conn), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, 7)), changed: make(chan struct{}), parked: make(chan struct{}, 1), conns: map[*conn]bool{}}
	if err := l.listen(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr is where the near party connects.
func (l *Link) Addr() net.Addr { return l.addr }

// Accept returns the next connection, for the far party; it makes a Link a net.Listener.
func (l *Link) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the link and all its connections.
func (l *Link) Close() error {
	l.closing.Do(func() {
		close(l.done)
		l.Down()
	})
	l.owner.Wait()
	return nil
}

// listen opens the port, the same as before where there was one.
func (l *Link) listen() error {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // whose accept queue is not the one that fill fills
	any, err := cfg.Listen(context.Background(), "tcp", l.addr.String())
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	ln := any.(*net.TCPListener)
	l.mu.Lock()
	l.addr = ln.Addr().(*net.TCPAddr)
	l.ln, l.down = ln, false
	l.mu.Unlock()
	l.owner.Add(1)
	go func() {
		defer l.owner.Done()
		l.serve(ln)
	}()
	return nil
}

// Down is the death of the far party's process: connections are reset, new ones refused.
func (l *Link) Down() {
	l.mu.Lock()
	ln, filler := l.ln, l.filler
	l.ln, l.filler, l.down = nil, nil, true
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	if filler != nil {
		filler.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// Up is its next start. It does nothing to a link that is not down.
func (l *Link) Up() error {
	l.mu.Lock()
	down := l.down
	cut := l.quality.CutTo || l.quality.CutFrom
	l.mu.Unlock()
	select {
	case <-l.done:
		return net.ErrClosed
	default:
	}
	if !down {
		return nil
	}
	if err := l.listen(); err != nil {
		return err
	}
	if cut {
		l.mu.Lock()
		ln := l.ln
		l.mu.Unlock()
		return l.fill(ln)
	}
	return nil
}

// Reset resets all open connections; new ones come up.
func (l *Link) Reset() {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns { // each takes the lock
		c.reset()
	}
}

// Set changes the quality, also of open connections. When it returns from a cut no further
// connection comes up.
func (l *Link) Set(q Quality) error {
	l.mu.Lock()
	was, is := l.quality.CutTo || l.quality.CutFrom, q.CutTo || q.CutFrom
	ln, down, filler := l.ln, l.down, l.filler
	if is && !was {
		select { // of an earlier cut
		case <-l.parked:
		default:
		}
	}
	if !is {
		l.filler = nil
		if was && !down {
			_ = ln.SetDeadline(time.Time{}) // of a listener that is closed just now
		}
	}
	l.quality = q
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	switch {
	case down || is == was:
		return nil
	case is:
		return l.fill(ln)
	}
	if filler != nil {
		filler.Close()
	}
	return backlog(ln, 1024)
}

// fill lets no further connection come up: it shortens the accept queue to one, takes that
// place while nobody accepts, and the kernel drops what would open another, as a network
// that is cut does.
func (l *Link) fill(ln *net.TCPListener) error {
	if err := ln.SetDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	select {
	case <-l.parked:
	case <-l.done:
		return net.ErrClosed
	}
	if err := backlog(ln, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.addr.String())
	if err != nil {
		return nil // a client has taken the place
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.filler = c
	return nil
}

// backlog changes the length of a listener's accept queue.
func backlog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	var bad error
	if err := raw.Control(func(fd uintptr) { bad = syscall.Listen(int(fd), n) }); err != nil || bad != nil {
		return fmt.Errorf("link: backlog: %w", errors.Join(err, bad))
	}
	return nil
}

// serve hands connections to the far party.
func (l *Link) serve(ln *net.TCPListener) {
	for {
		if !l.open() {
			return
		}
		nc, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // a cut
		}
		if err != nil {
			return // closed
		}
		c := &conn{Conn: nc, link: l, delay: l.first, gone: make(chan struct{})}
		l.mu.Lock()
		late := l.ln != ln
		if !late {
			l.conns[c] = true
		}
		l.mu.Unlock()
		if late {
			c.reset()
			return
		}
		select {
		case l.accept <- c:
		case <-l.done:
			c.reset()
			return
		}
	}
}

// open waits until the link is not cut; false if it is closed or down before.
func (l *Link) open() bool {
	for {
		l.mu.Lock()
		cut, changed, down := l.quality.CutTo || l.quality.CutFrom, l.changed, l.down
		l.mu.Unlock()
		if down {
			return false
		}
		if !cut {
			return true
		}
		select {
		case l.parked <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// way waits as long as a message takes, and while that way is cut; false if gone is closed.
func (l *Link) way(to bool, more time.Duration, gone <-chan struct{}) bool {
	waited := false
	for {
		l.mu.Lock()
		q, changed := l.quality, l.changed
		wait := q.Delay + more
		if q.Jitter > 0 {
			wait += time.Duration(l.rng.Int64N(int64(q.Jitter)))
		}
		if q.Stall > 0 && l.rng.Float64() < q.Stall {
			wait += q.Stalled
		}
		l.mu.Unlock()
		cut := to && q.CutTo || !to && q.CutFrom
		if !cut && (waited || wait <= 0) {
			return true
		}
		var timer <-chan time.Time
		if !cut {
			t := time.NewTimer(wait)
			defer t.Stop()
			timer, changed, waited = t.C, nil, true
		}
		select {
		case <-timer:
		case <-changed:
		case <-gone:
			return false
		}
	}
}

// conn is the far party's end of a connection.
type conn struct {
	net.Conn // only as such: what a TCP connection copies by itself would not pass here
	link     *Link
	delay    time.Duration // of the first message
	once     sync.Once
	gone     chan struct{}

	mu     sync.Mutex
	sentAt time.Time // the first byte of the message that is read now
	begun  bool      // since the last write
}

// From names the near party.
func (c *conn) From() string { return c.link.near }

// Sent is when the near party sent the first byte since it was last answered, however long the
// link has held it.
func (c *conn) Sent() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt
}

// Read brings what the near party sent when it would have arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if !c.begun {
			c.sentAt, c.begun = time.Now(), true
		}
		c.mu.Unlock()
		more := c.delay
		c.delay = 0
		if !c.link.way(true, more, c.gone) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Write sends to the near party, and returns when it would have arrived.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
	if !c.link.way(false, 0, c.gone) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close ends the connection; while the link is cut the near party is not told.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.gone) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// reset ends it with a reset.
func (c *conn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0) // of a connection that is closed already
	c.Close()
}
