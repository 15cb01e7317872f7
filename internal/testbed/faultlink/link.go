// Package faultlink injects network faults between parties on loopback. Each Link has an address of
// its own, at which one party reaches another, and delays, stalls, cuts or resets the traffic. The
// far party runs in this process and takes connections from Link.Accept, so a link needs only one
// socket for each connection and copies no data.
//
// A cut link is silent, as if a machine had vanished: open connections stay open but deliver
// nothing, and new ones are never established. A link that is down acts as if the far party's
// process had died: open connections are reset and new ones refused.
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

// Quality describes the delays and faults of a link.
type Quality struct {
	Delay  time.Duration // one-way delay
	Jitter time.Duration // maximum of an additional random delay, drawn for each message
	// StallRate is the fraction of messages that take StallDelay longer, like those whose packet is lost
	// and sent again.
	StallRate  float64
	StallDelay time.Duration
	// CutTo cuts the traffic to the far party, and CutFrom that from it.
	CutTo, CutFrom bool
}

// Link is the network path from one party to another. It is safe for concurrent use.
type Link struct {
	addr       *net.TCPAddr
	nearName   string
	firstDelay time.Duration // additional delay of the first message on a connection
	accepted   chan net.Conn // connections for Accept
	done       chan struct{} // closed by Close
	closeOnce  sync.Once
	serving    sync.WaitGroup // goroutines that run serve

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	quality  Quality
	changed  chan struct{}    // closed at each change of quality
	parked   chan struct{}    // receives a value when serve has stopped accepting because of a cut
	listener *net.TCPListener // nil while the link is down
	filler   net.Conn         // keeps the accept queue full while the link is cut; nil if there is none
	down     bool
	conns    map[*conn]bool // open connections
}

// Config describes a new link.
type Config struct {
	IP         net.IP        // address at which the near party reaches the link; the port is a free one
	NearName   string        // name of the near party, which the far party sees
	Seed       uint64        // seed of the random delays
	FirstDelay time.Duration // additional delay of the first message on a connection, as after a handshake
}

// New opens a link.
func New(cfg Config) (*Link, error) {
	l := &Link{addr: &net.TCPAddr{IP: cfg.IP}, nearName: cfg.NearName, firstDelay: cfg.FirstDelay,
		accepted: make(chan net.Conn), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, 7)), changed: make(chan struct{}), parked: make(chan struct{}, 1), conns: map[*conn]bool{}}
	if err := l.listen(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr returns the address to which the near party connects.
func (l *Link) Addr() net.Addr { return l.addr }

// Accept returns the next connection to the far party. With it, a Link is a net.Listener.
func (l *Link) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the link and resets all its connections.
func (l *Link) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.Down()
	})
	l.serving.Wait()
	return nil
}

// listen opens the port: at first a free one, later the same one again.
func (l *Link) listen() error {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // fillBacklog would not fill the accept queue of Multipath TCP
	opened, err := cfg.Listen(context.Background(), "tcp", l.addr.String())
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	listener := opened.(*net.TCPListener)
	l.mu.Lock()
	l.addr = listener.Addr().(*net.TCPAddr)
	l.listener, l.down = listener, false
	l.mu.Unlock()
	l.serving.Add(1)
	go func() {
		defer l.serving.Done()
		l.serve(listener)
	}()
	return nil
}

// Down simulates the death of the far party's process: open connections are reset and new ones refused.
func (l *Link) Down() {
	l.mu.Lock()
	listener, filler := l.listener, l.filler
	l.listener, l.filler, l.down = nil, nil, true
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	if filler != nil {
		filler.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// Up simulates the next start of the far party's process. It does nothing if the link is not down.
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
		listener := l.listener
		l.mu.Unlock()
		return l.fillBacklog(listener)
	}
	return nil
}

// Reset resets all open connections. New ones can be established.
func (l *Link) Reset() {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns { // reset takes the lock
		c.reset()
	}
}

// Set changes the quality, including that of open connections. If it cuts the link, no further
// connection is established once it has returned.
func (l *Link) Set(q Quality) error {
	l.mu.Lock()
	wasCut, isCut := l.quality.CutTo || l.quality.CutFrom, q.CutTo || q.CutFrom
	listener, down, filler := l.listener, l.down, l.filler
	if isCut && !wasCut {
		select { // drop the value that an earlier cut may have left
		case <-l.parked:
		default:
		}
	}
	if !isCut {
		l.filler = nil
		if wasCut && !down {
			_ = listener.SetDeadline(time.Time{}) // fails only if the listener is closed meanwhile
		}
	}
	l.quality = q
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	switch {
	case down || isCut == wasCut:
		return nil
	case isCut:
		return l.fillBacklog(listener)
	}
	if filler != nil {
		filler.Close()
	}
	return setBacklog(listener, 1024)
}

// fillBacklog prevents further connections: it shortens the accept queue to one connection and fills
// it with one of its own while nobody accepts. The kernel then drops the packets that would open
// another connection, as if the network were cut.
func (l *Link) fillBacklog(listener *net.TCPListener) error {
	if err := listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	select {
	case <-l.parked:
	case <-l.done:
		return net.ErrClosed
	}
	if err := setBacklog(listener, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.addr.String())
	if err != nil {
		return nil // a connection of the near party fills the queue
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.filler = c
	return nil
}

// setBacklog changes the length of a listener's accept queue.
func setBacklog(listener *net.TCPListener, n int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil || listenErr != nil {
		return fmt.Errorf("link: backlog: %w", errors.Join(err, listenErr))
	}
	return nil
}

// serve accepts connections and passes them to Accept, until the listener is closed.
func (l *Link) serve(listener *net.TCPListener) {
	for {
		if !l.awaitUncut() {
			return
		}
		tcpConn, err := listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // the link was cut
		}
		if err != nil {
			return // the listener is closed
		}
		c := &conn{Conn: tcpConn, link: l, firstDelay: l.firstDelay, closed: make(chan struct{})}
		l.mu.Lock()
		outdated := l.listener != listener
		if !outdated {
			l.conns[c] = true
		}
		l.mu.Unlock()
		if outdated {
			c.reset()
			return
		}
		select {
		case l.accepted <- c:
		case <-l.done:
			c.reset()
			return
		}
	}
}

// awaitUncut waits until the link is not cut. It returns false if the link is closed or goes down first.
func (l *Link) awaitUncut() bool {
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

// awaitTransit waits for as long as a message takes to the far party or from it, and while that
// direction is cut. It returns false if closed is closed first.
func (l *Link) awaitTransit(to bool, extra time.Duration, closed <-chan struct{}) bool {
	waited := false
	for {
		l.mu.Lock()
		q, changed := l.quality, l.changed
		wait := q.Delay + extra
		if q.Jitter > 0 {
			wait += time.Duration(l.rng.Int64N(int64(q.Jitter)))
		}
		if q.StallRate > 0 && l.rng.Float64() < q.StallRate {
			wait += q.StallDelay
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
		case <-closed:
			return false
		}
	}
}

// conn is the far party's end of a connection.
type conn struct {
	net.Conn   // not a *net.TCPConn, whose ReadFrom and WriteTo would bypass the link
	link       *Link
	firstDelay time.Duration // additional delay of the first message; zero after it
	closeOnce  sync.Once
	closed     chan struct{} // closed by Close

	mu     sync.Mutex // guards the fields below
	sentAt time.Time  // see Sent; zero before the first byte
	begun  bool       // whether a byte was received since the last Write
}

// From returns the name of the near party.
func (c *conn) From() string { return c.link.nearName }

// Sent returns when the near party sent the first byte since the last Write to it, no matter how
// long the link delays that byte.
func (c *conn) Sent() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt
}

// Read returns what the near party sent, once it would have arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if !c.begun {
			c.sentAt, c.begun = time.Now(), true
		}
		c.mu.Unlock()
		extra := c.firstDelay
		c.firstDelay = 0
		if !c.link.awaitTransit(true, extra, c.closed) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Write waits for as long as the message takes to arrive, and then sends it to the near party.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
	if !c.link.awaitTransit(false, 0, c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close closes the connection at once, even while the link is cut.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed already
	c.Close()
}
