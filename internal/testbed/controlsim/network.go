package controlsim

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// linkDelay is how long a segment takes within a region, one way.
	linkDelay = 500 * time.Microsecond
	// window bounds the bytes of one direction that are under way or not read yet.
	window = 256 << 10
	// segmentSize is how much one segment carries.
	segmentSize = 64 << 10
	// userTimeout is how long sent bytes may stay unacknowledged, keepAlive how long an idle connection
	// lives across a cut.
	userTimeout, keepAlive = 1500 * time.Millisecond, 2 * time.Second
	// connectTimeout bounds a connect.
	connectTimeout = 300 * time.Millisecond
	// scanEvery is how often connections look for what has timed out.
	scanEvery = 100 * time.Millisecond
	// backlog bounds the connections that wait to be accepted.
	backlog = 128
)

// linkState is what one direction between two hosts does with segments.
type linkState uint8

const (
	linkOpen    linkState = iota
	linkSilent            // segments are held up until the link opens again
	linkRefuses           // a firewall answers each with a reset
)

// route is one direction between two hosts.
type route struct{ from, to string }

// network is the wire between hosts. It models what TCP shows to programs: order, windows, closed
// ports, resets, and the time-outs that internal/fleet/rpc asks of the kernel.
type network struct {
	mu        sync.Mutex
	hosts     map[string]*host
	links     map[route]linkState
	blocked   map[route]time.Time // since when a link isn't open
	bandwidth int                 // bytes a second of each direction of a connection; 0: no bound
	conns     map[*conn]bool
	watches   map[*callWatch]bool
}

// callWatch waits for a call that arrives at a host.
type callWatch struct {
	host    *host
	name    []byte
	arrived chan struct{}
}

// watch gives a channel that is closed once a call of a name has arrived at a host.
func (n *network) watch(h *host, call string) (arrived <-chan struct{}, forget func()) {
	w := &callWatch{host: h, name: []byte(call), arrived: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watches[w] = true
	return w.arrived, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.watches, w)
	}
}

func (n *network) arrivedLocked(at *host, data []byte) {
	for w := range n.watches {
		if w.host == at && bytes.Contains(data, w.name) {
			close(w.arrived)
			delete(n.watches, w)
		}
	}
}

// host is the kernel's side of a machine: it outlives the processes of the machine.
type host struct {
	net     *network
	addr    string
	powered bool
	frozen  bool
	thawed  chan struct{} // closed when frozen ends
	ports   *listener     // of the process that runs; nil: the port is closed
}

func newNetwork() *network {
	return &network{hosts: map[string]*host{}, links: map[route]linkState{}, blocked: map[route]time.Time{}, conns: map[*conn]bool{},
		watches: map[*callWatch]bool{}}
}

func (n *network) addHost(addr string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &host{net: n, addr: addr, powered: true}
	n.hosts[addr] = h
	return h
}

// run looks for time-outs until ctx ends.
func (n *network) run(ctx context.Context) {
	tick := time.NewTicker(scanEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.scan(time.Now())
		}
	}
}

// scan breaks connections whose bytes stay unacknowledged or whose keepalive probes stay unanswered.
func (n *network) scan(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if !c.unacked.IsZero() && now.Sub(c.unacked) >= userTimeout || n.cutFor(c, now) >= keepAlive {
			c.breakLocked(syscall.ETIMEDOUT)
		}
	}
}

// cutFor is how long probes of a connection and their answers have not come through.
func (n *network) cutFor(c *conn, now time.Time) (longest time.Duration) {
	for _, r := range []route{{c.local.addr, c.remote.addr}, {c.remote.addr, c.local.addr}} {
		if since, is := n.blocked[r]; is {
			longest = max(longest, now.Sub(since))
		}
	}
	if !c.remote.powered {
		longest = max(longest, now.Sub(c.heard))
	}
	return longest
}

// setLink changes one direction between two hosts. What was held up goes on when it opens.
func (n *network) setLink(from, to string, state linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := route{from, to}
	if state == linkOpen {
		delete(n.links, r)
		delete(n.blocked, r)
	} else {
		n.links[r] = state
		if _, is := n.blocked[r]; !is {
			n.blocked[r] = time.Now()
		}
	}
	for c := range n.conns {
		if c.local.addr == from && c.remote.addr == to {
			c.deliverLocked()
		}
		if c.local.addr == to && c.remote.addr == from {
			c.acknowledgeLocked()
		}
	}
}

// resetConns breaks all connections between two hosts, as a device between them that forgets them.
func (n *network) resetConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local.addr == a && c.remote.addr == b || c.local.addr == b && c.remote.addr == a {
			c.breakLocked(syscall.ECONNRESET)
		}
	}
}

// powerOff has a host send and answer nothing any more; it forgets its connections.
func (n *network) powerOff(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.powered, h.ports = false, nil
	for c := range n.conns {
		if c.local == h {
			c.breakLocked(syscall.ECONNRESET)
		}
	}
	h.thawLocked()
}

// powerOn has a host answer again: connections of its earlier life are reset by their next segment.
func (n *network) powerOn(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.powered = true
	for c := range n.conns {
		if c.remote == h {
			c.deliverLocked()
		}
	}
}

// endProcess closes a host's port and all connections of its process.
func (n *network) endProcess(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.ports = nil
	h.thawLocked()
	for c := range n.conns {
		if c.local == h {
			c.closeLocked()
		}
	}
}

// freeze holds up all that the process of a host does with the network.
func (n *network) freeze(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !h.frozen {
		h.frozen, h.thawed = true, make(chan struct{})
	}
}

func (n *network) thaw(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.thawLocked()
}

func (h *host) thawLocked() {
	if h.frozen {
		h.frozen = false
		close(h.thawed)
	}
}

// awake waits until the host's process is not frozen.
func (h *host) awake(ctx context.Context) error {
	for {
		h.net.mu.Lock()
		frozen, thawed := h.frozen, h.thawed
		h.net.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// listen opens the port of a host for one process.
func (h *host) listen() *listener {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	l := &listener{host: h, waiting: make(chan *conn, backlog), closed: make(chan struct{})}
	h.ports = l
	return l
}

// listener is the port of one process.
type listener struct {
	host    *host
	waiting chan *conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		select {
		case c := <-l.waiting:
			if l.host.awake(context.Background()) == nil {
				return c, nil
			}
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	if l.host.ports == l {
		l.host.ports = nil
	}
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.host.addr) }

// address is a net.Addr of the simulated network.
type address string

func (address) Network() string  { return "sim" }
func (a address) String() string { return string(a) }

// dialer dials for one process.
type dialer struct {
	host *host
	end  <-chan struct{} // of the process
}

// Dial connects to the port of another host. A silent path costs connectTimeout.
func (d dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := d.pause(ctx, linkDelay); err != nil {
		return nil, dialError(addr, err)
	}
	if err := d.host.awake(ctx); err != nil {
		return nil, dialError(addr, syscall.ETIMEDOUT)
	}
	c, err := d.host.net.connect(d.host, addr)
	if errors.Is(err, errNoAnswer) {
		<-ctx.Done()
		return nil, dialError(addr, syscall.ETIMEDOUT)
	}
	if perr := d.pause(ctx, linkDelay); err == nil && perr != nil {
		_ = c.Close()
		return nil, dialError(addr, perr)
	}
	if err != nil {
		return nil, dialError(addr, err)
	}
	return c, nil
}

func (d dialer) pause(ctx context.Context, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-d.end:
		return syscall.ECANCELED
	case <-ctx.Done():
		return ctx.Err()
	}
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "sim", Addr: address(addr), Err: err}
}

// errNoAnswer tells that a connect is lost on the way.
var errNoAnswer = errors.New("no answer")

func (n *network) connect(from *host, addr string) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.hosts[addr]
	there, back := n.links[route{from.addr, addr}], n.links[route{addr, from.addr}]
	switch {
	case !from.powered:
		return nil, syscall.ENETUNREACH
	case there == linkRefuses:
		return nil, syscall.ECONNREFUSED
	case there == linkSilent || back != linkOpen || to == nil || !to.powered:
		return nil, errNoAnswer
	case to.ports == nil:
		return nil, syscall.ECONNREFUSED
	}
	now := time.Now()
	a, b := &conn{net: n, local: from, remote: to, heard: now}, &conn{net: n, local: to, remote: from, heard: now}
	a.cond, b.cond = sync.NewCond(&n.mu), sync.NewCond(&n.mu)
	a.peer, b.peer = b, a
	select {
	case to.ports.waiting <- b:
	default:
		return nil, errNoAnswer
	}
	n.conns[a], n.conns[b] = true, true
	return a, nil
}

// segment is a part of a stream on its way.
type segment struct {
	data []byte
	due  time.Time
	fin  bool
}

// conn is one end of a connection. Its fields belong to the network's lock.
type conn struct {
	net           *network
	local, remote *host
	peer          *conn
	cond          *sync.Cond

	sent    []segment // on their way to the peer
	flying  int       // bytes of them
	free    time.Time // when the link has sent all of them
	unacked time.Time // since when sent bytes are not acknowledged; zero: all are
	heard   time.Time // when something last came in

	arrived []byte // not read yet
	ended   bool   // the peer's end of the stream has arrived
	err     error  // broken, or closed here
	closed  bool   // by its own process
}

// Read waits for bytes.
func (c *conn) Read(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.local.frozen:
		case len(c.arrived) > 0:
			n := copy(b, c.arrived)
			if c.arrived = c.arrived[n:]; len(c.arrived) == 0 {
				c.arrived = nil
			}
			c.peer.cond.Broadcast()
			return n, nil
		case c.ended:
			return 0, io.EOF
		}
		c.wait()
	}
}

// wait waits for a change of the connection, or for the end of a freeze.
func (c *conn) wait() {
	if !c.local.frozen {
		c.cond.Wait()
		return
	}
	thawed := c.local.thawed
	c.net.mu.Unlock()
	<-thawed
	c.net.mu.Lock()
}

// Write waits while the window is full.
func (c *conn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	done := 0
	for done < len(b) {
		room := window - c.flying - len(c.peer.arrived)
		switch {
		case c.err != nil:
			return done, c.err
		case c.local.frozen || room <= 0:
			c.wait()
			continue
		}
		n := min(room, segmentSize, len(b)-done)
		c.sendLocked(segment{data: append([]byte(nil), b[done:done+n]...)})
		done += n
	}
	return done, nil
}

// sendLocked puts a segment on its way.
func (c *conn) sendLocked(s segment) {
	now := time.Now()
	begin := now
	if c.free.After(begin) {
		begin = c.free
	}
	if c.net.bandwidth > 0 {
		begin = begin.Add(time.Duration(len(s.data)) * time.Second / time.Duration(c.net.bandwidth))
	}
	c.free = begin
	s.due = begin.Add(linkDelay)
	if c.unacked.IsZero() {
		c.unacked = now
	}
	c.sent = append(c.sent, s)
	c.flying += len(s.data)
	time.AfterFunc(s.due.Sub(now), func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.deliverLocked()
	})
}

// deliverLocked brings to the peer what is due, if the link is open.
func (c *conn) deliverLocked() {
	now := time.Now()
	for len(c.sent) > 0 && !c.sent[0].due.After(now) {
		switch c.net.links[route{c.local.addr, c.remote.addr}] {
		case linkSilent:
			return
		case linkRefuses:
			c.breakLocked(syscall.ECONNRESET)
			return
		}
		if !c.remote.powered {
			return
		}
		if c.peer.err != nil { // the other end knows of no such connection
			c.breakLocked(syscall.ECONNRESET)
			return
		}
		s := c.sent[0]
		c.sent = c.sent[1:]
		c.flying -= len(s.data)
		c.peer.arrived = append(c.peer.arrived, s.data...)
		c.peer.ended = c.peer.ended || s.fin
		c.peer.heard = now
		c.net.arrivedLocked(c.remote, s.data)
		if c.net.links[route{c.remote.addr, c.local.addr}] == linkOpen {
			c.unacked = now // of what is left
		}
		c.peer.cond.Broadcast()
	}
	c.acknowledgeLocked()
}

// acknowledgeLocked notes that all that was sent has arrived and its acknowledgement, too.
func (c *conn) acknowledgeLocked() {
	if len(c.sent) == 0 && c.net.links[route{c.remote.addr, c.local.addr}] == linkOpen {
		c.unacked = time.Time{}
		if c.closed {
			delete(c.net.conns, c)
		}
	}
}

// breakLocked ends this end at once: what it sent and has not arrived is lost. The other end learns
// it from the answer to its next segment.
func (c *conn) breakLocked(err error) {
	if c.err == nil {
		c.err = &net.OpError{Op: "read", Net: "sim", Addr: address(c.remote.addr), Err: err}
	}
	c.sent, c.flying, c.arrived = nil, 0, nil
	delete(c.net.conns, c)
	c.cond.Broadcast()
}

// closeLocked is what the process's Close does, or the kernel after its end: what was sent goes on
// its way, and an end follows it. Where bytes were not read it is a reset.
func (c *conn) closeLocked() {
	if c.err != nil || c.closed {
		c.closed = true
		return
	}
	unread := len(c.arrived) > 0
	c.closed, c.arrived, c.err = true, nil, net.ErrClosed
	if unread {
		c.breakLocked(net.ErrClosed)
		if c.net.links[route{c.local.addr, c.remote.addr}] == linkOpen && c.peer.err == nil {
			c.peer.breakLocked(syscall.ECONNRESET)
		}
		return
	}
	c.sendLocked(segment{fin: true})
	c.cond.Broadcast()
}

// Close never waits, but that a frozen process can't close anything: its end follows the thaw.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if !c.local.frozen {
		c.closeLocked()
		return nil
	}
	thawed := c.local.thawed
	go func() { // ends with the freeze, at the run's end at the latest
		<-thawed
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.closeLocked()
	}()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local.addr) }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote.addr) }

// The calls of rpc set no deadlines.
func (c *conn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *conn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
