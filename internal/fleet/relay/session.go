package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// heartbeatInterval is the longest pause between two messages on a session.
	heartbeatInterval = 300 * time.Millisecond
	// sessionTimeout is how long a session may receive no byte before it is closed.
	sessionTimeout = time.Second
	// messageTimeout bounds the time for one message, even if its bytes arrive steadily. The longest
	// message that rpc accepts, 16 MB, takes 26 s at 640 KB/s.
	messageTimeout = 30 * time.Second
	// timerUnset is the initial duration of a timer that is reset before it is needed.
	timerUnset = time.Hour
)

// session is a session with one peer. The node's lock guards its fields, except for the channel and
// the timer.
type session struct {
	peerAddr  string
	source    string // the source of the peer's incarnation
	outbound  bool   // whether this node dialed the peer
	startTime time.Duration
	cancel    context.CancelFunc

	// What the peer last reported about itself.
	peerIsCore         bool
	acceptsZstd        bool // the peer can read compressed deltas
	acceptsConfigDiffs bool // the peer accepts configuration diffs
	peerHasQuorum      bool
	peerComplete       bool          // see readiness
	completenessKnown  bool          // the peer has reported whether it is complete
	lastQuorum         time.Duration // when the peer last reported a quorum; before it does, the session's start

	// Signs that the peer is alive.
	lastMessage   time.Duration // when the last complete message arrived
	bytesReceived func() uint64 // returns the number of bytes received on the session
	observedBytes uint64        // value of bytesReceived at the last check
	lastProgress  time.Duration // when a check last found that bytesReceived had risen

	// Progress of the replication.
	sentVersions deltasync.Vector // versions that the peer has or was sent
	// initialUpdateChecked is set once it was decided whether the peer gets an initialUpdate.
	initialUpdateChecked bool
	ackedVersions        deltasync.Vector // versions that the peer has acknowledged
	pendingAcks          map[string]bool  // sources whose deltas from the peer are not acknowledged yet
	ownReceivedVersion   uint64           // version of this node's own source that the peer has
	ownQuorumVersion     uint64           // version of the own source that a majority has, as the peer reports
	wake                 chan struct{}    // wakes the sender when there is something to send to this peer only

	freshness sessionFreshness

	leasePollSent uint64       // ID of the last lease question sent to the peer
	leaseAnswer   *leaseAnswer // unsent answer to the peer's lease question; nil if there is none

	noticeAllowance uint32      // rate of notices that the peer grants to this node, in bytes per second; 0 before a grant
	pendingNotices  []*notice   // shared with other sessions
	noticeTimer     *time.Timer // fires when the pending notices are due to be sent
}

// newSession returns a session with the peer that sent a hello. The caller must stop its noticeTimer.
func newSession(now time.Duration, peerHello *hello, peerAddr string, bytesReceived func() uint64, cancel context.CancelFunc) *session {
	s := &session{
		peerAddr:           peerAddr,
		source:             peerHello.Source,
		startTime:          now,
		cancel:             cancel,
		peerIsCore:         peerHello.IsCore,
		acceptsZstd:        peerHello.AcceptsZstd,
		acceptsConfigDiffs: peerHello.AcceptsConfigDiffs,
		lastQuorum:         now,
		lastMessage:        now,
		bytesReceived:      bytesReceived,
		sentVersions:       maps.Clone(peerHello.Vector),
		ackedVersions:      deltasync.Vector{},
		pendingAcks:        map[string]bool{},
		wake:               make(chan struct{}, 1),
		noticeTimer:        time.NewTimer(timerUnset),
	}
	if s.sentVersions == nil {
		s.sentVersions = deltasync.Vector{}
	}
	return s
}

// timedOut reports whether the session should be closed, because no byte has arrived for too long or
// one message is taking too long.
func (s *session) timedOut(now time.Duration) bool {
	if receivedBytes := s.bytesReceived(); receivedBytes != s.observedBytes {
		s.observedBytes, s.lastProgress = receivedBytes, now
	}
	return now-max(s.lastMessage, s.lastProgress) > sessionTimeout || now-s.lastMessage > messageTimeout
}

// sessionSet holds all sessions of a node.
type sessionSet map[*session]bool

// closeTimedOut closes the sessions with peers that have timed out.
func (set sessionSet) closeTimedOut(now time.Duration) {
	for s := range set {
		if s.timedOut(now) {
			s.cancel()
		}
	}
}

// hasResponsiveRelay reports whether a relay with a quorum has sent a message within the session timeout.
func (set sessionSet) hasResponsiveRelay(now time.Duration) bool {
	for s := range set {
		if s.peerIsCore && s.peerHasQuorum && now-s.lastMessage <= sessionTimeout {
			return true
		}
	}
	return false
}

// awaitingInitialSync reports whether some relay is still sending its first deltas.
func (set sessionSet) awaitingInitialSync() bool {
	for s := range set {
		if s.peerIsCore && !s.completenessKnown {
			return true
		}
	}
	return false
}

// wholeCoreIncomplete reports whether all other members of the core have reported on their sessions that
// they are incomplete. If this node is incomplete too, no member of the core is complete.
func (set sessionSet) wholeCoreIncomplete(selfAddr string, members []Peer) bool {
	completeByAddr := map[string]bool{} // by address; only of peers that have reported whether they are complete
	for s := range set {
		if s.completenessKnown {
			completeByAddr[s.peerAddr] = completeByAddr[s.peerAddr] || s.peerComplete
		}
	}
	for _, member := range members {
		if isComplete, known := completeByAddr[member.Addr]; member.Addr != selfAddr && (!known || isComplete) {
			return false
		}
	}
	return true
}

// sources returns the sources of all peers.
func (set sessionSet) sources() map[string]bool {
	sources := make(map[string]bool, len(set)+1)
	for s := range set {
		sources[s.source] = true
	}
	return sources
}

// addrs returns the addresses of all peers.
func (set sessionSet) addrs() map[string]bool {
	addrs := make(map[string]bool, len(set))
	for s := range set {
		addrs[s.peerAddr] = true
	}
	return addrs
}

// forgetSource deletes the records about a source that has ended.
func (set sessionSet) forgetSource(source string) {
	for s := range set {
		delete(s.sentVersions, source)
		delete(s.ackedVersions, source)
		delete(s.pendingAcks, source)
	}
}

// memberVersions returns the newest version of a source that each member of the core is known to have, 0 if none
// is: ownVersion for the one at selfAddr, and what the others have acknowledged. It passes over the sessions once,
// as a relay may have hundreds.
func (set sessionSet) memberVersions(members []Peer, source, selfAddr string, ownVersion uint64) []uint64 {
	versions := make([]uint64, len(members))
	for s := range set {
		if !s.peerIsCore {
			continue
		}
		if i := slices.IndexFunc(members, func(member Peer) bool { return member.Addr == s.peerAddr }); i >= 0 {
			versions[i] = max(versions[i], s.ackedVersions[source])
		}
	}
	for i, member := range members {
		if member.Addr == selfAddr {
			versions[i] = ownVersion
		}
	}
	return versions
}

// notifyQuorumAdvanced wakes the senders to the agent with the given source, because a majority now has a
// newer version of that source.
func (set sessionSet) notifyQuorumAdvanced(source string) {
	for s := range set {
		if !s.peerIsCore && s.source == source {
			s.wakeSender()
		}
	}
}

// wakeSender makes the session's sender check what its peer lacks.
func (s *session) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default: // a wakeup is already pending
	}
}
