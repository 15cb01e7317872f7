package relay

import (
	"context"
	"maps"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// heartbeatInterval is the longest pause between two messages on a session.
	heartbeatInterval = 300 * time.Millisecond
	// sessionTimeout ends a session on which no byte has come for so long.
	sessionTimeout = time.Second
	// messageTimeout is how long one message may take, however steadily its bytes come: the longest
	// that rpc accepts, 16 MB, needs 26 s at 640 KB/s.
	messageTimeout = 30 * time.Second
	// maxSessions bounds the sessions of a process.
	maxSessions = 1024
	// timerUnset is the duration of a timer that nothing has set yet.
	timerUnset = time.Hour
)

// session is a session with one peer. Its fields are guarded by the node's lock, but for the
// channel and the timer.
type session struct {
	peerAddr string
	source   string // of the peer's incarnation
	outbound bool   // this node dialed
	started  time.Duration
	cancel   context.CancelFunc

	// What the peer last reported of itself.
	peerIsCore         bool
	acceptsZstd        bool // it understands compressed deltas
	acceptsConfigDiffs bool // it understands differences between configurations
	peerHasQuorum      bool
	peerComplete       bool          // see readiness
	completenessKnown  bool          // it has reported whether it is complete
	lastQuorum         time.Duration // when it last reported that it has a quorum, or the session began

	// What shows that the peer is alive.
	lastMessage   time.Duration // when the last complete message came
	bytesReceived func() uint64
	observedBytes uint64        // bytesReceived at the last check
	lastProgress  time.Duration // when a check found that it had risen

	// How far the replication is.
	sent             deltasync.Vector // what the peer has, or was sent
	acknowledged     deltasync.Vector // what the peer itself has acknowledged
	pendingAcks      map[string]bool  // sources of which it sent deltas that are not acknowledged yet
	ownReceived      uint64           // version of the own source that the peer has
	ownQuorumVersion uint64           // version of the own source that a majority has, as the peer reports
	wake             chan struct{}    // wakes the sender: something is due to this peer alone

	freshness sessionFreshness

	leasePollSent uint64       // ID of the last question on leases that was sent
	leaseAnswer   *leaseAnswer // to the peer's question, not sent yet; nil: there is none

	pendingNotices []notice
	noticeTimer    *time.Timer // fires when the pending notices are to be sent
}

// newSession returns a session with the peer that sent a hello. The caller stops its noticeTimer.
func newSession(now time.Duration, peer *hello, peerAddr string, bytesReceived func() uint64, cancel context.CancelFunc) *session {
	s := &session{
		peerAddr:           peerAddr,
		source:             peer.Source,
		started:            now,
		cancel:             cancel,
		peerIsCore:         peer.IsCore,
		acceptsZstd:        peer.AcceptsZstd,
		acceptsConfigDiffs: peer.AcceptsConfigDiffs,
		lastQuorum:         now,
		lastMessage:        now,
		bytesReceived:      bytesReceived,
		sent:               maps.Clone(peer.Vector),
		acknowledged:       deltasync.Vector{},
		pendingAcks:        map[string]bool{},
		wake:               make(chan struct{}, 1),
		noticeTimer:        time.NewTimer(timerUnset),
	}
	if s.sent == nil {
		s.sent = deltasync.Vector{}
	}
	return s
}

// timedOut reports whether a peer is to be given up: no byte has come for too long, or one message
// takes too long.
func (s *session) timedOut(now time.Duration) bool {
	if received := s.bytesReceived(); received != s.observedBytes {
		s.observedBytes, s.lastProgress = received, now
	}
	return now-max(s.lastMessage, s.lastProgress) > sessionTimeout || now-s.lastMessage > messageTimeout
}

// sessionSet is all sessions of a node.
type sessionSet map[*session]bool

// closeTimedOut closes the sessions with peers that have timed out.
func (set sessionSet) closeTimedOut(now time.Duration) {
	for s := range set {
		if s.timedOut(now) {
			s.cancel()
		}
	}
}

// hasResponsiveRelay reports whether a relay with a quorum has been sending messages until now.
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

// wholeCoreIncomplete reports whether there are sessions with all other members of the core, and none
// of them is complete: then nobody is.
func (set sessionSet) wholeCoreIncomplete(selfAddr string, members []Peer) bool {
	complete := map[string]bool{} // by address, of those that have reported it
	for s := range set {
		if s.completenessKnown {
			complete[s.peerAddr] = complete[s.peerAddr] || s.peerComplete
		}
	}
	for _, member := range members {
		if isComplete, known := complete[member.Addr]; member.Addr != selfAddr && (!known || isComplete) {
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

// forgetSource drops what is recorded of a source that has ended.
func (set sessionSet) forgetSource(source string) {
	for s := range set {
		delete(s.sent, source)
		delete(s.acknowledged, source)
		delete(s.pendingAcks, source)
	}
}

// acknowledgedBy returns the newest version of a source that the core member at an address has
// acknowledged, 0 if none.
func (set sessionSet) acknowledgedBy(addr, source string) uint64 {
	version := uint64(0)
	for s := range set {
		if s.peerIsCore && s.peerAddr == addr {
			version = max(version, s.acknowledged[source])
		}
	}
	return version
}

// notifyQuorumAdvanced wakes the senders to the agent whose source a majority has a newer version of.
func (set sessionSet) notifyQuorumAdvanced(source string) {
	for s := range set {
		if !s.peerIsCore && s.source == source {
			s.wakeSender()
		}
	}
}

// wakeSender has the session's sender look for what its peer lacks.
func (s *session) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default: // it has been woken already
	}
}
