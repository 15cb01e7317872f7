package relay

import (
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// receiveLoop handles the messages of a session until its stream ends, and returns why it did. first
// is a message that came already, or nil.
func (n *Node) receiveLoop(st *stream, s *session, first *message) error {
	if first != nil {
		if err := n.receiveMessage(s, first); err != nil {
			return err
		}
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		if err := n.receiveMessage(s, m); err != nil {
			return err
		}
	}
}

// receiveMessage handles a message as it came. An error ends the session.
func (n *Node) receiveMessage(s *session, m *message) error {
	if err := n.codec.decompress(m); err != nil {
		return err
	}
	if err := n.restoreConfig(m); err != nil {
		return err
	}
	n.handleMessage(s, m)
	return nil
}

// handleMessage takes a message of a session.
func (n *Node) handleMessage(s *session, m *message) {
	isMember, hasQuorum, members := n.options.Core.IsMember(), n.options.Core.HasQuorum(), n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.sessions[s] {
		return // it was with an earlier incarnation of this agent
	}
	n.recordPeerLocked(s, m)
	// A session that is lost again before the next tick counts too.
	n.observeAttachmentLocked(s.lastMessage, isMember && hasQuorum, members)
	n.applyDeltasLocked(m.Deltas)
	n.recordSentLocked(s, m.Deltas)
	if isMember && s.peerIsCore {
		n.recordReplicationLocked(s, m, members)
	}
	n.receiveNoticesLocked(s, m.Notices)
	n.recordOwnVersionsLocked(s, m)
	n.receiveFreshnessLocked(s, m)
	n.receiveLeasePollLocked(s, m, isMember, members)
	peerCompletes := s.peerIsCore && m.HasQuorum && m.Complete
	if peerCompletes && (!isMember || hasQuorum) {
		n.markCompleteLocked(s)
	}
}

// recordPeerLocked records what a peer reports of itself.
func (n *Node) recordPeerLocked(s *session, m *message) {
	s.lastMessage = n.now()
	if m.HasQuorum {
		s.lastQuorum = s.lastMessage
	}
	s.peerIsCore, s.peerHasQuorum = m.IsCore, m.HasQuorum
	if m.Hello == nil { // a hello is sent before the deltas and reports no completeness
		s.peerComplete, s.completenessKnown = m.Complete, true
	}
}

// recordSentLocked records that a peer has what it sent itself, so that it is not sent back.
func (n *Node) recordSentLocked(s *session, deltas []deltasync.Delta) {
	for i := range deltas {
		delta := &deltas[i]
		if n.items.Version(delta.Source) >= delta.To {
			s.sent[delta.Source] = max(s.sent[delta.Source], delta.To)
		}
	}
}

// recordOwnVersionsLocked records how far the own source has been replicated, as a peer reports. Versions
// that this node has not published yet are of an earlier incarnation, or of a faulty peer.
func (n *Node) recordOwnVersionsLocked(s *session, m *message) {
	published := n.items.OwnVersion()
	if m.ReceivedVersion > s.ownReceived && m.ReceivedVersion <= published {
		s.ownReceived = m.ReceivedVersion
		n.notifyWaitersLocked()
	}
	if m.QuorumVersion > s.ownQuorumVersion && m.QuorumVersion <= published {
		s.ownQuorumVersion = m.QuorumVersion
		n.notifyWaitersLocked()
	}
}

// markCompleteLocked records that a complete relay with a quorum has sent all that it has: it reports
// that it is complete only after that (see sender).
func (n *Node) markCompleteLocked(s *session) {
	if first := n.readiness.markComplete(); first {
		logevent.Synced.Log("peer", s.peerAddr, "config", n.config.seq)
		n.publishSnapshotLocked()
	}
}
