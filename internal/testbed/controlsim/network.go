package controlsim

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// linkDelay is the one-way latency of a segment.
	linkDelay = 500 * time.Microsecond
	// windowBytes bounds the bytes in one direction of a connection that are in flight or unread.
	windowBytes = 256 << 10
	// segmentBytes is the maximum size of a segment.
	segmentBytes = 64 << 10
	// ackTimeout is the time after which unacknowledged bytes break a connection (TCP_USER_TIMEOUT).
	ackTimeout = 1500 * time.Millisecond
	// keepaliveTimeout is the time after which a partition breaks an idle connection.
	keepaliveTimeout = 2 * time.Second
	// connectTimeout bounds a connect.
	connectTimeout = 300 * time.Millisecond
	// scanInterval is the pause between two searches for expired connections.
	scanInterval = 100 * time.Millisecond
	// acceptBacklog bounds the connections that wait to be accepted.
	acceptBacklog = 128
)

// linkState tells how a link treats segments. Higher states are more severe.
type linkState uint8

const (
	linkOpen    linkState = iota
	linkDrops             // segments are dropped; their retransmissions arrive once the link is open
	linkRejects           // each segment is answered with a reset, as by a firewall
)

// direction identifies a link: one direction between two hosts.
type direction struct{ from, to string }

// network connects hosts. It models the behavior of TCP that programs can observe: order, windows, closed ports,
// resets, and the timeouts that package rpc sets on its sockets. Its lock also guards hosts, listeners and connections.
type network struct {
	mu           sync.Mutex
	hosts        map[string]*host
	controlHosts map[string]*host // by the addresses of their control APIs
	links        map[direction]linkState
	blockedSince map[direction]time.Time // by link: time since when it isn't open
	bandwidth    int                     // bytes per second and direction of a connection; 0 if unlimited
	qualities    qualities               // of degraded links
	conns        map[*conn]bool
	callWatches  map[*callWatch]bool
}

// callWatch waits for an rpc call to arrive at a host.
type callWatch struct {
	host    *host
	name    []byte        // name of the call, as contained in its segment
	arrived chan struct{} // closed when the call arrives
}

// watchCall returns a channel that is closed once a call with a name has arrived at a host. The caller calls
// forget when it no longer waits.
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

// notifyWatchesLocked ends the watches for the calls in a segment that has arrived at a host.
func (n *network) notifyWatchesLocked(at *host, segment []byte) {
	for w := range n.callWatches {
		if w.host == at && bytes.Contains(segment, w.name) {
			close(w.arrived)
			delete(n.callWatches, w)
		}
	}
}

// host is the kernel of a machine. It outlives the processes of the machine. Its fields are guarded by the network's
// lock.
type host struct {
	network         *network
	addr            string
	powered         bool
	paused          bool
	resumed         chan struct{} // closed when the pause ends
	listener        *listener     // rpc port of the process; nil if the port is closed
	controlListener *listener     // port of its control API; nil if the port is closed
	processor       processor     // set before the first process starts
	processorFreeAt time.Time     // time at which the processor has executed all work so far
}

// newNetwork returns a network that draws losses from a random source.
func newNetwork(random *rand.Rand) *network {
	return &network{hosts: map[string]*host{}, controlHosts: map[string]*host{}, links: map[direction]linkState{},
		qualities: newQualities(random), blockedSince: map[direction]time.Time{}, conns: map[*conn]bool{},
		callWatches: map[*callWatch]bool{}}
}

// addHost adds a host that is powered on and has no open ports.
func (n *network) addHost(addr string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &host{network: n, addr: addr, powered: true}
	n.hosts[addr] = h
	return h
}

// expireConns breaks connections that time out, until ctx ends.
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

// expireAt breaks the connections whose bytes or keepalive probes were not acknowledged in time.
func (n *network) expireAt(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if !c.unackedSince.IsZero() && now.Sub(c.unackedSince) >= ackTimeout ||
			n.unreachableFor(c, now) >= keepaliveTimeout {
			c.breakLocked(syscall.ETIMEDOUT)
		}
	}
}

// unreachableFor returns the time for which keepalive probes of a connection, or the responses to them, have been lost.
func (n *network) unreachableFor(c *conn, now time.Time) (longest time.Duration) {
	for _, link := range []direction{{c.local.addr, c.remote.addr}, {c.remote.addr, c.local.addr}} {
		if since, blocked := n.blockedSince[link]; blocked {
			longest = max(longest, now.Sub(since))
		}
	}
	if !c.remote.powered {
		longest = max(longest, now.Sub(c.lastReceived))
	}
	return longest
}

// setLink sets the state of a link. Delayed segments are delivered when it opens.
func (n *network) setLink(from, to string, state linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := direction{from, to}
	if state == linkOpen {
		delete(n.links, link)
		delete(n.blockedSince, link)
	} else {
		n.links[link] = state
		if _, blocked := n.blockedSince[link]; !blocked {
			n.blockedSince[link] = time.Now()
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

// resetConns resets all connections between two hosts, like the restart of a stateful firewall between them.
func (n *network) resetConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local.addr == a && c.remote.addr == b || c.local.addr == b && c.remote.addr == a {
			c.breakLocked(syscall.ECONNRESET)
		}
	}
}

// powerOff makes a host stop responding, and drops its connections without notifying the other ends.
func (n *network) powerOff(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.powered, h.listener, h.controlListener, h.processorFreeAt = false, nil, nil, time.Time{}
	for c := range n.conns {
		if c.local == h {
			c.breakLocked(syscall.ECONNRESET)
		}
	}
	h.resumeLocked()
}

// powerOn makes a host respond again. It resets the connections from before its power loss at their next segment.
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

// closeProcess closes the ports and all connections of a host's process, as the kernel does when a process ends.
func (n *network) closeProcess(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.listener, h.controlListener, h.processorFreeAt = nil, nil, time.Time{}
	h.resumeLocked()
	for c := range n.conns {
		if c.local == h {
			c.closeLocked()
		}
	}
}

// pause blocks the network and disk operations of a host's process.
func (n *network) pause(h *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !h.paused {
		h.paused, h.resumed = true, make(chan struct{})
	}
}

// resume ends a pause.
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

// waitResumed waits until the host's process is not paused. It returns the error of ctx if ctx ends before.
func (h *host) waitResumed(ctx context.Context) error {
	for {
		h.network.mu.Lock()
		paused, resumed := h.paused, h.resumed
		h.network.mu.Unlock()
		if !paused {
			return nil
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// errNoResponse is returned by connect if the request or its response is lost. The caller then waits for its timeout.
var errNoResponse = errors.New("no response")

// connect opens a connection to the listener at an address and returns its local end.
func (n *network) connect(from *host, addr string) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, port := n.portLocked(addr)
	if to != nil {
		addr = to.addr // links are between hosts
	}
	outbound, inbound := n.links[direction{from.addr, addr}], n.links[direction{addr, from.addr}]
	switch {
	case !from.powered:
		return nil, syscall.ENETUNREACH
	case outbound == linkRejects:
		return nil, syscall.ECONNREFUSED
	case outbound == linkDrops || inbound != linkOpen || to == nil || !to.powered:
		return nil, errNoResponse
	case port == nil:
		return nil, syscall.ECONNREFUSED
	case n.qualities.isLost(direction{from.addr, addr}) || n.qualities.isLost(direction{addr, from.addr}):
		return nil, errNoResponse // the kernel would retry only after connectTimeout
	}
	local, remote := n.newConn(from, to), n.newConn(to, from)
	local.peer, remote.peer = remote, local
	select {
	case port.pending <- remote:
	default: // the backlog is full
		return nil, errNoResponse
	}
	n.conns[local], n.conns[remote] = true, true
	return local, nil
}

// portLocked returns the host of an address and the open port there; nil if the port is closed.
func (n *network) portLocked(addr string) (*host, *listener) {
	if h := n.controlHosts[addr]; h != nil {
		return h, h.controlListener
	}
	if h := n.hosts[addr]; h != nil {
		return h, h.listener
	}
	return nil, nil
}

// newConn returns one end of a connection, without its peer.
func (n *network) newConn(local, remote *host) *conn {
	return &conn{network: n, local: local, remote: remote, lastReceived: time.Now(), cond: sync.NewCond(&n.mu)}
}
