package relay

import (
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// receiveLoop handles the messages of a session until its stream ends, and returns the reason. firstMessage
// is a message that has already been read from the stream, or nil.
func (n *Node) receiveLoop(st *stream, s *session, firstMessage *message) error {
	if firstMessage != nil {
		if err := n.receiveMessage(s, firstMessage); err != nil {
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

// receiveMessage decodes a received message and handles it. An error ends the session.
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

// handleMessage processes a decoded message of a session.
func (n *Node) handleMessage(s *session, m *message) {
	isMember, hasQuorum, members := n.options.Core.IsMember(), n.options.Core.HasQuorum(), n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.sessions[s] {
		return // the session was with an earlier incarnation of this agent
	}
	n.recordPeerLocked(s, m)
	// Observed here as well as in tick, so that a session that is lost again before the next tick counts too.
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
	peerReportsComplete := s.peerIsCore && m.HasQuorum && m.Complete
	if peerReportsComplete && (!isMember || hasQuorum) {
		n.markCompleteLocked(s)
	}
}

// recordPeerLocked records what a peer reports about itself.
func (n *Node) recordPeerLocked(s *session, m *message) {
	s.lastMessage = n.now()
	if m.HasQuorum {
		s.lastQuorum = s.lastMessage
	}
	s.peerIsCore, s.peerHasQuorum = m.IsCore, m.HasQuorum
	if m.NoticeAllowance > 0 {
		s.noticeAllowance = m.NoticeAllowance
	}
	if m.Hello == nil { // a hello is sent before the deltas and reports no completeness
		s.peerComplete, s.completenessKnown = m.Complete, true
	}
}

// recordSentLocked records that a peer has the deltas that it sent, so that they are not sent back to it.
func (n *Node) recordSentLocked(s *session, deltas []deltasync.Delta) {
	for i := range deltas {
		delta := &deltas[i]
		if n.items.Version(delta.Source) >= delta.To {
			s.sentVersions[delta.Source] = max(s.sentVersions[delta.Source], delta.To)
		}
	}
}

// recordOwnVersionsLocked records how far this node's own source has been replicated, as a peer reports it.
// It ignores versions that this node has not published yet: they belong to an earlier incarnation or come
// from a faulty peer.
func (n *Node) recordOwnVersionsLocked(s *session, m *message) {
	publishedVersion := n.items.OwnVersion()
	if m.ReceivedVersion > s.ownReceivedVersion && m.ReceivedVersion <= publishedVersion {
		s.ownReceivedVersion = m.ReceivedVersion
		n.notifyWaitersLocked()
	}
	if m.QuorumVersion > s.ownQuorumVersion && m.QuorumVersion <= publishedVersion {
		s.ownQuorumVersion = m.QuorumVersion
		n.notifyWaitersLocked()
	}
}

// markCompleteLocked records that this node is complete. A relay with a quorum has reported itself complete
// on the session, which it does only once it has sent everything that it has (see sender).
func (n *Node) markCompleteLocked(s *session) {
	if isFirst := n.readiness.markComplete(); isFirst {
		logevent.Synced.Log("peer", s.peerAddr, "config", n.config.seq)
		n.publishSnapshotLocked()
	}
}
