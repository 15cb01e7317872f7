package relay

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// fakeCore is a Core whose answers are set by the test.
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

// testNetwork connects the agents of a cluster. Each agent is reached through a proxy, which identifies the
// caller by the address in its hello. A link that is cut holds back all bytes but closes no connection.
type testNetwork struct {
	ctx     context.Context
	wg      sync.WaitGroup
	mu      sync.Mutex
	addrs   []string
	cut     map[[2]string]bool          // whether a link is cut, by the addresses of its sender and receiver
	rates   map[[2]string]*rate.Limiter // limiters of slow links in bytes per second, by the same addresses
	changed chan struct{}               // closed and replaced when a link is cut or restored
}

// setRate limits the rate of a link, in bytes per second.
func (n *testNetwork) setRate(from, to string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[[2]string{from, to}] = rate.NewLimiter(rate.Limit(bytesPerSecond), copyBufferBytes)
}

// throttle waits until the rate of a link allows the given number of bytes. It returns false if the network
// is closed first.
func (n *testNetwork) throttle(from, to string, bytes int) bool {
	n.mu.Lock()
	limiter := n.rates[[2]string{from, to}]
	n.mu.Unlock()
	return limiter == nil || limiter.WaitN(n.ctx, bytes) == nil
}

// copyBufferBytes is the maximum number of bytes that a link forwards at once.
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

// proxyConn proxies one connection to an agent, subject to the links between the caller and the agent.
func (n *testNetwork) proxyConn(caller net.Conn, agent *testAgent) {
	backendAddr := agent.backendAddr.Load()
	if backendAddr == nil { // the agent has not been started
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
	var receivedBytes []byte
	var copies sync.WaitGroup
	copies.Go(func() {
		defer identify()
		forwardBytes(backend, caller, func(chunk []byte) bool {
			if callerAddr == "" {
				receivedBytes = append(receivedBytes, chunk...)
				if callerAddr = n.addrIn(receivedBytes, agent.Addr); callerAddr != "" {
					identify()
				}
			}
			return n.awaitOpen(callerAddr, agent.Addr) && n.throttle(callerAddr, agent.Addr, len(chunk))
		})
	})
	copies.Go(func() {
		forwardBytes(caller, backend, func(chunk []byte) bool {
			<-identified // the agent sends nothing before it has received the caller's hello
			return n.awaitOpen(agent.Addr, callerAddr) && n.throttle(agent.Addr, callerAddr, len(chunk))
		})
	})
	copies.Wait()
}

// addrIn returns the address of an agent that appears in the received bytes, other than the receiver's own
// address. It returns an empty string if there is none.
func (n *testNetwork) addrIn(receivedBytes []byte, ownAddr string) (addr string) {
	for _, candidate := range n.addrs {
		if candidate != ownAddr && bytes.Contains(receivedBytes, []byte(candidate)) {
			addr = candidate
		}
	}
	return addr
}

// forwardBytes copies bytes from src to dst until either fails or pass returns false for a chunk. Then it
// closes both.
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
