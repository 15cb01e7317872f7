package relay

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

const (
	// unreachableLogDelay is for how long there must have been no relay before that is logged, and
	// unreachableLogInterval the time until it is logged again.
	unreachableLogDelay    = 2 * time.Second
	unreachableLogInterval = 10 * time.Second
)

// attachment tracks whether what this process publishes reaches the core: it has a session with a
// relay that has a quorum, or is one.
type attachment struct {
	attached     bool
	everAttached bool
	// since is when attached last changed, or this process started.
	since time.Duration
	// nextLog is when an absence is logged next, and heartbeats counts those of servers since it began.
	nextLog    time.Duration
	heartbeats int
}

func newAttachment(now time.Duration) attachment {
	return attachment{since: now, nextLog: now + unreachableLogDelay}
}

// observe records whether the core is reached now. It returns for how long it was not, if that has
// just ended.
func (a *attachment) observe(now time.Duration, attached bool) (lost time.Duration, regained bool) {
	if attached == a.attached {
		return 0, false
	}
	lost = now - a.since
	a.attached, a.since = attached, now
	a.everAttached = a.everAttached || attached
	if attached {
		return lost, true
	}
	a.nextLog, a.heartbeats = now+unreachableLogDelay, 0
	return 0, false
}

// reachesCore reports whether what this process publishes reaches the core in time: it does, or did a
// moment ago, so that the core has not ended this process's lease yet.
func (a *attachment) reachesCore(now time.Duration) bool {
	return a.attached || a.everAttached && now-a.since <= leaseDuration
}

// countHeartbeat counts a server's heartbeat that came while the core is not reached.
func (a *attachment) countHeartbeat() {
	if !a.attached {
		a.heartbeats++
	}
}

// shouldLog reports whether an absence is to be logged, and notes that it is.
func (a *attachment) shouldLog(now time.Duration) bool {
	if a.attached || now < a.nextLog {
		return false
	}
	a.nextLog = now + unreachableLogInterval
	return true
}

// observeAttachmentLocked records whether the core is reached, and logs an absence that lasts.
func (n *Node) observeAttachmentLocked(now time.Duration, isRelay bool, members []Peer) {
	lost, regained := n.attachment.observe(now, isRelay || n.sessions.hasResponsiveRelay(now))
	if regained && n.options.OnAttached != nil {
		n.options.OnAttached(lost)
	}
	if !n.attachment.shouldLog(now) {
		return
	}
	logevent.CoreUnreachable.Log("for", now-n.attachment.since, "seeds", n.options.SeedAddrs(),
		"members", addrsOf(members), "heartbeats", n.attachment.heartbeats)
}

// addrsOf returns the addresses of peers.
func addrsOf(peers []Peer) []string {
	addrs := make([]string, len(peers))
	for i, peer := range peers {
		addrs[i] = peer.Addr
	}
	return addrs
}
