package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// helloTimeout bounds the wait for the first message of a session.
const helloTimeout = time.Second

var (
	errSelfSession     = errors.New("session of a process with itself")
	errEarlierSession  = errors.New("session was begun by an earlier incarnation")
	errTooManySessions = errors.New("too many sessions at this relay: use another")
)

// serveSession serves a session that a peer dialed.
func (n *Node) serveSession(st *stream) error {
	timeout := time.AfterFunc(helloTimeout, func() { _ = st.Close() })
	first, err := st.Recv()
	timeout.Stop()
	if err != nil {
		return errors.Wrap(err, "wait for hello")
	}
	if err := first.Hello.validate(); err != nil {
		return err
	}
	if !n.options.Core.IsMember() {
		return st.Send(&message{Redirect: n.knownCoreMembers()})
	}
	return n.runSession(st.Context(), st, first.Hello, first.Hello.Addr, nil, nil)
}

// runSession runs a session until its stream or ctx ends, and returns the reason. peer is the peer's
// hello. If this node dialed the peer, own is this node's hello and first is the message that carried the
// peer's hello; otherwise both are nil.
func (n *Node) runSession(ctx context.Context, st *stream, peer *hello, peerAddr string, own *hello, first *message) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := n.addSession(st, peer, peerAddr, own, cancel)
	if err != nil {
		return err
	}
	defer s.noticeTimer.Stop()
	defer n.removeSession(s)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { // in a goroutine, as cancel is called with the lock held and Close may block
		<-ctx.Done()
		_ = st.Close()
	})
	running.Go(func() {
		defer cancel()
		if err := n.sendLoop(ctx, st, s); err != nil && ctx.Err() == nil {
			logevent.SessionSendFailed.Log("peer", peerAddr, "err", err)
		}
	})
	return n.receiveLoop(st, s, first)
}

// addSession adds a session with the peer that sent a hello. own is this node's hello if it dialed the
// peer, otherwise nil.
func (n *Node) addSession(st *stream, peer *hello, peerAddr string, own *hello, cancel context.CancelFunc) (*session, error) {
	members := n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case peer.Source == n.items.OwnSource():
		return nil, errSelfSession
	case own != nil && own.Source != n.items.OwnSource():
		return nil, errEarlierSession
	case len(n.sessions) >= maxSessions:
		return nil, errTooManySessions
	}
	if n.items.Ended(peer.Source) {
		n.publishEndLocked(peer.Source) // the peer was unreachable when its end was announced
	}
	s := newSession(n.now(), peer, peerAddr, st.Received, cancel)
	s.outbound = own != nil
	for source, version := range peer.Vector {
		n.recordAcknowledgedLocked(s, source, version, members)
	}
	n.sessions[s] = true
	return s, nil
}

// removeSession removes a session that has ended.
func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
	n.notifyWaitersLocked()
}
