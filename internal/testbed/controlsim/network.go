package controlsim

import (
	"bytes"
	"context"
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
