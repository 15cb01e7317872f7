package relay

import (
	"context"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// redialInterval is the pause between two checks for peers to dial.
	redialInterval = 150 * time.Millisecond
	// maxRedirects bounds the addresses that are used from one redirect.
	maxRedirects = 16
)

// dialedAddrs is the set of addresses that this node is dialing, or has dialed and has a session with.
type dialedAddrs struct {
	mu    sync.Mutex
	addrs map[string]bool // guarded by mu
}

// begin adds an address, and returns false if the set already contains it.
func (d *dialedAddrs) begin(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addrs[addr] {
		return false
	}
	d.addrs[addr] = true
	return true
}

// end removes an address.
func (d *dialedAddrs) end(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.addrs, addr)
}

// dialLoop dials the peers that dialTargets returns and runs the sessions with them, until ctx ends.
func (n *Node) dialLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	dialed := &dialedAddrs{addrs: map[string]bool{}}
	attempt := 0
	for ctx.Err() == nil {
		targets := n.dialTargets(attempt)
		for _, addr := range targets {
			if !dialed.begin(addr) {
				continue
			}
			wg.Go(func() {
				defer dialed.end(addr)
				n.dialSession(ctx, addr)
			})
		}
		attempt++
		if len(targets) == 0 {
			attempt = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(n.redialPause()):
		}
	}
}

// redialPause returns the pause before the next check for peers to dial. It is short for a member of the core
// that has just started: if the whole core has just started, no member becomes complete before these sessions
// are established.
func (n *Node) redialPause() time.Duration {
	isMember := n.options.Core.IsMember()
	n.mu.Lock()
	defer n.mu.Unlock()
	if isMember && !n.readiness.synced && n.isStarting() {
		return startCheckInterval
	}
	return redialInterval
}

// dialSession dials the agent at an address and runs a session with it until the session or ctx ends. Errors
// before the session begins are not logged, as dialLoop tries again.
func (n *Node) dialSession(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(helloTimeout, cancel)
	st, hangUp, err := rpc.OpenStreamWithDialer[message, message](ctx, n.options.Dialer, addr, sessionCall)
	if err != nil {
		return
	}
	defer hangUp()
	isMember := n.options.Core.IsMember()
	n.mu.Lock()
	ownHello := n.newHelloLocked(isMember)
	n.mu.Unlock()
	if st.Send(&message{Hello: ownHello, IsCore: isMember, HasQuorum: n.options.Core.HasQuorum()}) != nil {
		return
	}
	firstMessage, err := st.Recv()
	if err != nil || !timeout.Stop() {
		return
	}
	if firstMessage.Hello == nil {
		n.recordRedirect(firstMessage.Redirect)
		return
	}
	if firstMessage.Hello.validate() != nil {
		return
	}
	logevent.SessionStarted.Log("peer", addr)
	err = n.runSession(ctx, st, firstMessage.Hello, addr, ownHello, firstMessage, func() {})
	logevent.SessionEnded.Log("peer", addr, "err", err)
}

// recordRedirect records the relays named by an agent that is not a relay itself.
func (n *Node) recordRedirect(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstream.redirectAddrs = nil
	for _, peer := range peers[:min(len(peers), maxRedirects)] {
		n.upstream.redirectAddrs = append(n.upstream.redirectAddrs, peer.Addr)
	}
}
