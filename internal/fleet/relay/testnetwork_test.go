package relay

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// fakeCore is a Core whose answers a test sets.
type fakeCore struct {
	isMember, hasQuorum atomic.Bool
	members             atomic.Pointer[[]Peer]
}

func newFakeCore(isMember, hasQuorum bool, members ...Peer) *fakeCore {
	core := &fakeCore{}
	core.isMember.Store(isMember)
	core.hasQuorum.Store(hasQuorum)
	core.members.Store(&members)
	return core
}

func (c *fakeCore) IsMember() bool { return c.isMember.Load() }

func (c *fakeCore) HasQuorum() bool { return c.hasQuorum.Load() }

func (c *fakeCore) Members() []Peer { return *c.members.Load() }

// testNetwork connects the agents of a cluster. Each is reached through a proxy, which knows the caller
// by the address in its hello. A link that is cut blocks all bytes and closes no connection.
type testNetwork struct {
	ctx     context.Context
	wg      sync.WaitGroup
	mu      sync.Mutex
	addrs   []string
	cut     map[[2]string]bool          // from, to
	rates   map[[2]string]*rate.Limiter // of slow links, in bytes a second
	changed chan struct{}
}

// setRate bounds what a link carries, in bytes per second.
func (n *testNetwork) setRate(from, to string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[[2]string{from, to}] = rate.NewLimiter(rate.Limit(bytesPerSecond), copyBufferBytes)
}

// throttle waits until a link has carried so many bytes. It returns false if the network is closed first.
func (n *testNetwork) throttle(from, to string, bytes int) bool {
	n.mu.Lock()
	limiter := n.rates[[2]string{from, to}]
	n.mu.Unlock()
	return limiter == nil || limiter.WaitN(n.ctx, bytes) == nil
}

// copyBufferBytes is how much a link carries at once.
const copyBufferBytes = 64 << 10

func (n *testNetwork) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitOpen waits until a link is not cut. It returns false if the network is closed first.
func (n *testNetwork) awaitOpen(from, to string) bool {
	for {
		n.mu.Lock()
		cut, changed := n.cut[[2]string{from, to}], n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return false
		}
	}
}

// serveProxy proxies connections to an agent until the cluster is closed.
func (n *testNetwork) serveProxy(listener net.Listener, agent *testAgent) {
	n.wg.Go(func() {
		<-n.ctx.Done()
		listener.Close()
	})
	n.wg.Go(func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.proxyConn(caller, agent) })
		}
	})
}

// proxyConn proxies one connection to an agent, by the links between the caller and the agent.
func (n *testNetwork) proxyConn(caller net.Conn, agent *testAgent) {
	backendAddr := agent.backendAddr.Load()
	if backendAddr == nil { // it has not started
		caller.Close()
		return
	}
	backend, err := net.Dial("tcp", *backendAddr)
	if err != nil {
		caller.Close()
		return
	}
	stop := context.AfterFunc(n.ctx, func() { caller.Close(); backend.Close() })
	defer stop()
	callerAddr, identified := "", make(chan struct{})
	identify := sync.OnceFunc(func() { close(identified) })
	var received []byte
	var copies sync.WaitGroup
	copies.Go(func() {
		defer identify()
		forwardBytes(backend, caller, func(chunk []byte) bool {
			if callerAddr == "" {
				received = append(received, chunk...)
				if callerAddr = n.addrIn(received, agent.Addr); callerAddr != "" {
					identify()
				}
			}
			return n.awaitOpen(callerAddr, agent.Addr) && n.throttle(callerAddr, agent.Addr, len(chunk))
		})
	})
	copies.Go(func() {
		forwardBytes(caller, backend, func(chunk []byte) bool {
			<-identified // the answering side sends nothing before the hello
			return n.awaitOpen(agent.Addr, callerAddr) && n.throttle(agent.Addr, callerAddr, len(chunk))
		})
	})
	copies.Wait()
}

// addrIn returns the address of an agent that is in received bytes, but for the one that received
// them; empty if there is none.
func (n *testNetwork) addrIn(received []byte, ownAddr string) (addr string) {
	for _, candidate := range n.addrs {
		if candidate != ownAddr && bytes.Contains(received, []byte(candidate)) {
			addr = candidate
		}
	}
	return addr
}

// forwardBytes copies what pass allows from src to dst until either fails or pass returns false. Then
// it closes both.
func forwardBytes(dst, src net.Conn, pass func([]byte) bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := src.Read(buffer)
		if count > 0 {
			if !pass(buffer[:count]) {
				return
			}
			if _, err := dst.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
