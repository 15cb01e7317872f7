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
	// windowBytes bounds the bytes of one direction that are under way or not read yet.
	windowBytes = 256 << 10
	// segmentBytes is how much one segment carries.
	segmentBytes = 64 << 10
	// ackTimeout is how long sent bytes may stay unacknowledged, keepaliveTimeout how long an idle connection
	// lives across a cut.
	ackTimeout, keepaliveTimeout = 1500 * time.Millisecond, 2 * time.Second
	// connectTimeout bounds a connect.
	connectTimeout = 300 * time.Millisecond
	// scanInterval is how often connections look for what has timed out.
	scanInterval = 100 * time.Millisecond
	// backlog bounds the connections that wait to be accepted.
	backlog = 128
)

// linkState is what one direction between two hosts does with segments.
type linkState uint8

const (
	linkOpen    linkState = iota
	linkSilent            // segments are held up until the link opens again
	linkRejects           // a firewall answers each with a reset
)

// direction is one direction between two hosts.
type direction struct{ from, to string }

// network is the wire between hosts. It models what TCP shows to programs: order, windows, closed
// ports, resets, and the time-outs that internal/fleet/rpc asks of the kernel.
type network struct {
	mu           sync.Mutex
	hosts        map[string]*host
	links        map[direction]linkState
	blockedSince map[direction]time.Time // since when a link isn't open
	bandwidth    int                     // bytes a second of each direction of a connection; 0: no bound
	conns        map[*conn]bool
	callWatches  map[*callWatch]bool
}

// callWatch waits for a call that arrives at a host.
type callWatch struct {
	host    *host
	name    []byte
	arrived chan struct{}
}

// watchCall gives a channel that is closed once a call of a name has arrived at a host.
func (n *network) watchCall(h *host, call string) (arrived <-chan struct{}, forget func()) {
	w := &callWatch{host: h, name: []byte(call), arrived: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callWatches[w] = true
	return w.arrived, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.callWatches, w)
	}
}

func (n *network) notifyWatchesLocked(at *host, data []byte) {
	for w := range n.callWatches {
		if w.host == at && bytes.Contains(data, w.name) {
			close(w.arrived)
			delete(n.callWatches, w)
		}
	}
}

// host is the kernel's side of a machine: it outlives the processes of the machine.
type host struct {
	network  *network
	addr     string
	powered  bool
	paused   bool
	resumed  chan struct{} // closed when frozen ends
	listener *listener     // of the process that runs; nil: the port is closed
}

func newNetwork() *network {
	return &network{hosts: map[string]*host{}, links: map[direction]linkState{}, blockedSince: map[direction]time.Time{}, conns: map[*conn]bool{},
		callWatches: map[*callWatch]bool{}}
}

func (n *network) addHost(addr string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &host{network: n, addr: addr, powered: true}
	n.hosts[addr] = h
	return h
}

// expireConns looks for time-outs until ctx ends.
func (n *network) expireConns(ctx context.Context) {
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.expireAt(time.Now())
		}
	}
}

// expireAt breaks connections whose bytes stay unacknowledged or whose keepalive probes stay unanswered.
func (n *network) expireAt(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if !c.unackedSince.IsZero() && now.Sub(c.unackedSince) >= ackTimeout || n.unreachableFor(c, now) >= keepaliveTimeout {
			c.breakLocked(syscall.ETIMEDOUT)
		}
	}
}

// unreachableFor is how long probes of a connection and their answers have not come through.
func (n *network) unreachableFor(c *conn, now time.Time) (longest time.Duration) {
	for _, r := range []direction{{c.local.addr, c.remote.addr}, {c.remote.addr, c.local.addr}} {
		if since, is := n.blockedSince[r]; is {
			longest = max(longest, now.Sub(since))
		}
	}
	if !c.remote.powered {
		longest = max(longest, now.Sub(c.lastReceived))
	}
	return longest
}

// setLink changes one direction between two hosts. What was held up goes on when it opens.
func (n *network) setLink(from, to string, state linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := direction{from, to}
	if state == linkOpen {
		delete(n.links, r)
		delete(n.blockedSince, r)
	} else {
		n.links[r] = state
		if _, is := n.blockedSince[r]; !is {
			n.blockedSince[r] = time.Now()
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
	h.powered, h.listener = false, nil
	for c := range n.conns {
		if c.local == h {
			c.breakLocked(syscall.ECONNRESET)
		}
	}
	h.resumeLocked()
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

// closeProcess closes a host's port and all connections of its process.
func (n *network) closeProcess(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.listener = nil
	h.resumeLocked()
	for c := range n.conns {
		if c.local == h {
			c.closeLocked()
		}
	}
}

// pause holds up all that the process of a host does with the network.
func (n *network) pause(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !h.paused {
		h.paused, h.resumed = true, make(chan struct{})
	}
}

func (n *network) resume(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.resumeLocked()
}

func (h *host) resumeLocked() {
	if h.paused {
		h.paused = false
		close(h.resumed)
	}
}

// waitResumed waits until the host's process is not frozen.
func (h *host) waitResumed(ctx context.Context) error {
	for {
		h.network.mu.Lock()
		frozen, thawed := h.paused, h.resumed
		h.network.mu.Unlock()
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
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &listener{host: h, pending: make(chan *conn, backlog), closed: make(chan struct{})}
	h.listener = l
	return l
}

// listener is the port of one process.
type listener struct {
	host    *host
	pending chan *conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		select {
		case c := <-l.pending:
			if l.host.waitResumed(context.Background()) == nil {
				return c, nil
			}
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.host.network.mu.Lock()
	defer l.host.network.mu.Unlock()
	if l.host.listener == l {
		l.host.listener = nil
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
	done <-chan struct{} // of the process
}

// Dial connects to the port of another host. A silent path costs connectTimeout.
func (d dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := d.sleep(ctx, linkDelay); err != nil {
		return nil, dialError(addr, err)
	}
	if err := d.host.waitResumed(ctx); err != nil {
		return nil, dialError(addr, syscall.ETIMEDOUT)
	}
	c, err := d.host.network.connect(d.host, addr)
	if errors.Is(err, errNoResponse) {
		<-ctx.Done()
		return nil, dialError(addr, syscall.ETIMEDOUT)
	}
	if perr := d.sleep(ctx, linkDelay); err == nil && perr != nil {
		_ = c.Close()
		return nil, dialError(addr, perr)
	}
	if err != nil {
		return nil, dialError(addr, err)
	}
	return c, nil
}

func (d dialer) sleep(ctx context.Context, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-d.done:
		return syscall.ECANCELED
	case <-ctx.Done():
		return ctx.Err()
	}
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "sim", Addr: address(addr), Err: err}
}

// errNoResponse tells that a connect is lost on the way.
var errNoResponse = errors.New("no answer")

func (n *network) connect(from *host, addr string) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.hosts[addr]
	there, back := n.links[direction{from.addr, addr}], n.links[direction{addr, from.addr}]
	switch {
	case !from.powered:
		return nil, syscall.ENETUNREACH
	case there == linkRejects:
		return nil, syscall.ECONNREFUSED
	case there == linkSilent || back != linkOpen || to == nil || !to.powered:
		return nil, errNoResponse
	case to.listener == nil:
		return nil, syscall.ECONNREFUSED
	}
	now := time.Now()
	a, b := &conn{network: n, local: from, remote: to, lastReceived: now}, &conn{network: n, local: to, remote: from, lastReceived: now}
	a.cond, b.cond = sync.NewCond(&n.mu), sync.NewCond(&n.mu)
	a.peer, b.peer = b, a
	select {
	case to.listener.pending <- b:
	default:
		return nil, errNoResponse
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
	network       *network
	local, remote *host
	peer          *conn
	cond          *sync.Cond

	inFlight      []segment // on their way to the peer
	inFlightBytes int       // bytes of them
	linkFreeAt    time.Time // when the link has sent all of them
	unackedSince  time.Time // since when sent bytes are not acknowledged; zero: all are
	lastReceived  time.Time // when something last came in

	received    []byte // not read yet
	receivedFIN bool   // the peer's end of the stream has arrived
	err         error  // broken, or closed here
	closed      bool   // by its own process
}

// Read waits for bytes.
func (c *conn) Read(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.local.paused:
		case len(c.received) > 0:
			n := copy(b, c.received)
			if c.received = c.received[n:]; len(c.received) == 0 {
				c.received = nil
			}
			c.peer.cond.Broadcast()
			return n, nil
		case c.receivedFIN:
			return 0, io.EOF
		}
		c.waitLocked()
	}
}

// waitLocked waits for a change of the connection, or for the end of a freeze.
func (c *conn) waitLocked() {
	if !c.local.paused {
		c.cond.Wait()
		return
	}
	thawed := c.local.resumed
	c.network.mu.Unlock()
	<-thawed
	c.network.mu.Lock()
}

// Write waits while the window is full.
func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	done := 0
	for done < len(b) {
		room := windowBytes - c.inFlightBytes - len(c.peer.received)
		switch {
		case c.err != nil:
			return done, c.err
		case c.local.paused || room <= 0:
			c.waitLocked()
			continue
		}
		n := min(room, segmentBytes, len(b)-done)
		c.sendLocked(segment{data: append([]byte(nil), b[done:done+n]...)})
		done += n
	}
	return done, nil
}

// sendLocked puts a segment on its way.
func (c *conn) sendLocked(s segment) {
	now := time.Now()
	begin := now
	if c.linkFreeAt.After(begin) {
		begin = c.linkFreeAt
	}
	if c.network.bandwidth > 0 {
		begin = begin.Add(time.Duration(len(s.data)) * time.Second / time.Duration(c.network.bandwidth))
	}
	c.linkFreeAt = begin
	s.due = begin.Add(linkDelay)
	if c.unackedSince.IsZero() {
		c.unackedSince = now
	}
	c.inFlight = append(c.inFlight, s)
	c.inFlightBytes += len(s.data)
	time.AfterFunc(s.due.Sub(now), func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.deliverLocked()
	})
}

// deliverLocked brings to the peer what is due, if the link is open.
func (c *conn) deliverLocked() {
	now := time.Now()
	for len(c.inFlight) > 0 && !c.inFlight[0].due.After(now) {
		switch c.network.links[direction{c.local.addr, c.remote.addr}] {
		case linkSilent:
			return
		case linkRejects:
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
		s := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.inFlightBytes -= len(s.data)
		c.peer.received = append(c.peer.received, s.data...)
		c.peer.receivedFIN = c.peer.receivedFIN || s.fin
		c.peer.lastReceived = now
		c.network.notifyWatchesLocked(c.remote, s.data)
		if c.network.links[direction{c.remote.addr, c.local.addr}] == linkOpen {
			c.unackedSince = now // of what is left
		}
		c.peer.cond.Broadcast()
	}
	c.acknowledgeLocked()
}

// acknowledgeLocked notes that all that was sent has arrived and its acknowledgement, too.
func (c *conn) acknowledgeLocked() {
	if len(c.inFlight) == 0 && c.network.links[direction{c.remote.addr, c.local.addr}] == linkOpen {
		c.unackedSince = time.Time{}
		if c.closed {
			delete(c.network.conns, c)
		}
	}
}

// breakLocked ends this end at once: what it sent and has not arrived is lost. The other end learns
// it from the answer to its next segment.
func (c *conn) breakLocked(err error) {
	if c.err == nil {
		c.err = &net.OpError{Op: "read", Net: "sim", Addr: address(c.remote.addr), Err: err}
	}
	c.inFlight, c.inFlightBytes, c.received = nil, 0, nil
	delete(c.network.conns, c)
	c.cond.Broadcast()
}

// closeLocked is what the process's Close does, or the kernel after its end: what was sent goes on
// its way, and an end follows it. Where bytes were not read it is a reset.
func (c *conn) closeLocked() {
	if c.err != nil || c.closed {
		c.closed = true
		return
	}
	unread := len(c.received) > 0
	c.closed, c.received, c.err = true, nil, net.ErrClosed
	if unread {
		c.breakLocked(net.ErrClosed)
		if c.network.links[direction{c.local.addr, c.remote.addr}] == linkOpen && c.peer.err == nil {
			c.peer.breakLocked(syscall.ECONNRESET)
		}
		return
	}
	c.sendLocked(segment{fin: true})
	c.cond.Broadcast()
}

// Close never waits, but that a frozen process can't close anything: its end follows the thaw.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if !c.local.paused {
		c.closeLocked()
		return nil
	}
	thawed := c.local.resumed
	go func() { // ends with the freeze, at the run's end at the latest
		<-thawed
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
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
