package relay

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

const (
	// unreachableLogDelay is how long the core must have been unreachable before that is logged.
	unreachableLogDelay = 2 * time.Second
	// unreachableLogInterval is the time between two log lines about the same loss of contact.
	unreachableLogInterval = 10 * time.Second
)

// attachment tracks whether this process reaches the core with what it publishes: it has a session with
// a relay that has a quorum, or is such a relay itself.
type attachment struct {
	attached     bool
	everAttached bool
	// since is when attached last changed; before the first change it is when this process started.
	since time.Duration
	// nextLog is the earliest time for the next log line about an unreachable core.
	nextLog time.Duration
	// heartbeats is the number of server heartbeats since the core became unreachable.
	heartbeats int
}

func newAttachment(now time.Duration) attachment {
	return attachment{since: now, nextLog: now + unreachableLogDelay}
}

// observe records whether the core is reached now. If it is reached again, or for the first time, regained
// is true and lost is how long it was not reached.
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

// reachesCore reports whether this process reaches the core now, or did within the last leaseDuration. In
// the latter case the core has not ended this process's lease yet.
func (a *attachment) reachesCore(now time.Duration) bool {
	return a.attached || a.everAttached && now-a.since <= leaseDuration
}

// countHeartbeat counts a server's heartbeat if the core is not reached.
func (a *attachment) countHeartbeat() {
	if !a.attached {
		a.heartbeats++
	}
}

// shouldLog reports whether it is time to log that the core is not reached, and schedules the next log line.
func (a *attachment) shouldLog(now time.Duration) bool {
	if a.attached || now < a.nextLog {
		return false
	}
	a.nextLog = now + unreachableLogInterval
	return true
}

// observeAttachmentLocked records whether the core is reached, and logs when it has not been for some time.
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
