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

// dialLoop dials the peers that dialTargets returns and runs the sessions with them, until ctx ends. Members of
// the core dial each other without backoff, as agreement needs their sessions and they are few.
func (n *Node) dialLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	dialed := &dialedAddrs{addrs: map[string]bool{}}
	backoff := &redialBackoff{}
	attempt := 0
	for ctx.Err() == nil {
		if n.hasUpdatedRelay() {
			backoff.reset()
		}
		pause, isDue := n.redialPause(), true
		if !n.options.Core.IsMember() {
			var remaining time.Duration
			remaining, isDue = backoff.due(time.Now())
			pause = untilNextDial(pause, remaining)
		}
		if isDue {
			attempt = n.dialDueTargets(ctx, &wg, dialed, backoff, attempt)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// untilNextDial returns the pause before the next check for peers to dial: pause, or remaining if the next
// attempt is due before.
func untilNextDial(pause, remaining time.Duration) time.Duration {
	if remaining > 0 {
		return min(pause, remaining)
	}
	return pause
}

// dialDueTargets starts an attempt for each peer that dialTargets returns, except for relays that are busy, and
// returns the number of the next attempt.
func (n *Node) dialDueTargets(ctx context.Context, wg *sync.WaitGroup, dialed *dialedAddrs, backoff *redialBackoff, attempt int) (nextAttempt int) {
	targets := n.dialTargets(attempt)
	for _, addr := range targets {
		now := time.Now()
		if backoff.isBusy(addr, now) || !dialed.begin(addr) {
			continue
		}
		backoff.began(now)
		wg.Go(func() {
			defer dialed.end(addr)
			n.dialSession(ctx, addr, backoff)
		})
	}
	if len(targets) == 0 {
		return 0
	}
	return attempt + 1
}

// hasUpdatedRelay reports whether a relay with a quorum that this node dialed has sent its first update.
func (n *Node) hasUpdatedRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sessions {
		if s.outbound && s.peerIsCore && s.peerHasQuorum && s.completenessKnown {
			return true
		}
	}
	return false
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
func (n *Node) dialSession(ctx context.Context, addr string, backoff *redialBackoff) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(helloTimeout, cancel)
	st, hangUp, err := rpc.OpenStreamWithDialer[message, message](ctx, n.options.Dialer, addr, sessionCall)
	if err != nil {
		backoff.allowSoon(time.Now())
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
	if firstMessage.RetryAfterMs > 0 {
		backoff.refused(addr, time.Duration(firstMessage.RetryAfterMs)*time.Millisecond, time.Now())
		return
	}
	if firstMessage.Hello == nil {
		backoff.allowSoon(time.Now())
		n.recordRedirect(firstMessage.Redirect)
		return
	}
	if firstMessage.Hello.validate() != nil {
		return
	}
	backoff.allowSoon(time.Now())
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
