package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// helloTimeout bounds the wait for the first message of a session.
const helloTimeout = time.Second

var (
	errSelfSession     = errors.New("session of a process with itself")
	errEarlierSession  = errors.New("session was dialed by an earlier incarnation")
	errTooManySessions = errors.New("too many sessions at this relay: use another")
)

// serveSession serves a session that a peer dialed. The hello is decoded only once the session may start.
func (n *Node) serveSession(st *stream) error {
	synced, admitted := n.admission.awaitSlot(st)
	if !admitted {
		return n.admission.refuse(st)
	}
	defer synced()
	timeout := time.AfterFunc(helloTimeout, func() { _ = st.Close() })
	firstMessage, err := st.Recv()
	timeout.Stop()
	if err != nil {
		return errors.Wrap(err, "wait for hello")
	}
	if err := firstMessage.Hello.validate(); err != nil {
		return err
	}
	if !n.options.Core.IsMember() {
		return st.Send(&message{Redirect: n.knownCoreMembers()})
	}
	if err := st.Context().Err(); err != nil {
		return errors.Wrap(err, "peer left before its session began")
	}
	return n.runSession(st.Context(), st, firstMessage.Hello, firstMessage.Hello.Addr, nil, nil, synced)
}

// runSession runs a session until its stream or ctx ends, and returns the reason. If this node dialed the
// peer, ownHello is this node's hello and firstMessage is the message that carried the peer's hello;
// otherwise both are nil. synced is called once the first update was sent.
func (n *Node) runSession(ctx context.Context, st *stream, peerHello *hello, peerAddr string, ownHello *hello, firstMessage *message, synced func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := n.addSession(st, peerHello, peerAddr, ownHello, cancel)
	if err != nil {
		return err
	}
	defer s.noticeTimer.Stop()
	defer n.removeSession(s)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { // in a goroutine, as cancel is called with the lock held and Close may block
		<-ctx.Done()
		_ = st.Close()
	})
	wg.Go(func() {
		defer cancel()
		if err := n.sendLoop(ctx, st, s, synced); err != nil && ctx.Err() == nil {
			logevent.SessionSendFailed.Log("peer", peerAddr, "err", err)
		}
	})
	return n.receiveLoop(st, s, firstMessage)
}

// addSession adds a session with the peer that sent peerHello. ownHello is this node's hello if it dialed
// the peer, otherwise nil.
func (n *Node) addSession(st *stream, peerHello *hello, peerAddr string, ownHello *hello, cancel context.CancelFunc) (*session, error) {
	members := n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case peerHello.Source == n.items.OwnSource():
		return nil, errSelfSession
	case ownHello != nil && ownHello.Source != n.items.OwnSource():
		return nil, errEarlierSession
	case len(n.sessions) >= n.admission.maxSessions && !containsAddr(members, peerHello.Addr):
		return nil, errTooManySessions
	}
	if n.items.Ended(peerHello.Source) {
		n.publishEndLocked(peerHello.Source) // the peer was unreachable when its end was announced
	}
	s := newSession(n.now(), peerHello, peerAddr, st.Received, cancel)
	s.outbound = ownHello != nil
	for source, version := range peerHello.Vector {
		n.recordAcknowledgedLocked(s, source, version, members)
	}
	n.sessions[s] = true
	return s, nil
}

// containsAddr reports whether one of the peers has an address.
func containsAddr(peers []Peer, addr string) bool {
	return slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Addr == addr })
}

// removeSession removes a session that has ended.
func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
	n.notifyWaitersLocked()
}
