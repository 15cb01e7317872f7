package relay

import (
	"time"

	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

// Notices inform other agents of requests that were just sent to a server, as the load that servers
// report is outdated when it arrives. Losing a notice does no harm, so notices are not stored, not
// repeated, and dropped if there is no capacity. An agent sends its notices to its relays. A relay
// forwards the notices of its agents to all other peers, and those of other relays to its agents.

const (
	// noticeBatchDelay is how long notices are collected for one message.
	noticeBatchDelay = 10 * time.Millisecond
	// maxNoticeAge is the age beyond which a notice is useless.
	maxNoticeAge = 500 * time.Millisecond
	// maxPendingNotices bounds the notices that wait to be sent on a session, and the notices in one message.
	maxPendingNotices = 512
	// noticeSize is the approximate size of a notice in bytes.
	noticeSize = 48
	// noticeBurst is how many notices an agent may send at once.
	noticeBurst = 100
	// maxNoticePrefixes bounds the prefixes of a prompt that a notice names.
	maxNoticePrefixes = 64
	// maxHops is the maximum number of hops of a notice: to a relay, to the other relays and to their agents.
	// It bounds the forwarding even if agents disagree on which of them are relays.
	maxHops = 3
	// noticeLinkFraction is the fraction of an agent's link capacity that all notices together may use.
	noticeLinkFraction = 0.01
	// maxNoticeRate bounds the rate of all notices that an agent receives, in bytes per second.
	maxNoticeRate = 16e3
	// maxNoticeRateLargeFleet replaces maxNoticeRate in a fleet of more than largeFleetAgents agents.
	maxNoticeRateLargeFleet = 3e3
	largeFleetAgents        = 150
	// minPriorityPrefill is the minimum estimated prefill time for which a notice may use the second half
	// of the burst.
	minPriorityPrefill = 30 * time.Millisecond

	bytesPerMegabit = 1e6 / 8
)

// notice reports that an agent sent a request to a server. It is encoded as an array: its fields are
// identified by their order.
type notice struct {
	//lint:ignore U1000 msgpack reads this field by reflection
	_msgpack       struct{} `msgpack:",as_array"`
	Instance       string
	Prefixes       []balancer.Segment
	PromptTokens   int
	UncachedTokens int
	AgeMs          int // time from the request to the sending of this message, in milliseconds
	Hops           int // number of times that the notice was forwarded

	sentAt time.Duration // when the request was sent, on this node's clock
}

// valid reports whether a received notice is within its bounds and still useful.
func (n *notice) valid() bool {
	age := n.age()
	return age >= 0 && age <= maxNoticeAge && n.PromptTokens >= 0 && n.UncachedTokens >= 0 && n.Hops >= 0 && n.Hops < maxHops &&
		len(n.Instance) <= maxNameBytes && len(n.Prefixes) <= maxNoticePrefixes
}

// age returns how long before the message the request was sent.
func (n *notice) age() time.Duration { return time.Duration(n.AgeMs) * time.Millisecond }

// BroadcastNotice informs the other agents of a request that was just sent. prefill is the estimated time
// that the server needs for the request's prefill. If there is no capacity, the notice is dropped; notices
// with a short prefill are dropped first.
func (n *Node) BroadcastNotice(prefillNotice balancer.PrefillNotice, prefill time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	limiter := n.noticeLimiter
	limiter.SetLimit(rate.Limit(noticeBytesPerSecond(len(n.members), n.options.LinkMbps)))
	if prefill < minPriorityPrefill && limiter.Tokens() < float64(limiter.Burst())/2 {
		return
	}
	if !limiter.AllowN(time.Now(), noticeSize) {
		return
	}
	newNotice := notice{Instance: prefillNotice.Instance, Prefixes: prefillNotice.Prefixes, PromptTokens: prefillNotice.PromptTokens, UncachedTokens: prefillNotice.UncachedTokens, sentAt: n.now()}
	for s := range n.sessions {
		s.enqueueNotice(newNotice)
	}
}

// noticeBytesPerSecond returns the rate, in bytes per second, at which each agent may receive one agent's
// notices. It depends on the number of agents and on their link capacity in megabits per second.
func noticeBytesPerSecond(agents int, linkMbps float64) float64 {
	agents = max(agents, 1)
	total := min(noticeLinkFraction*linkMbps*bytesPerMegabit, maxNoticeRate)
	if agents > largeFleetAgents {
		total = min(total, maxNoticeRateLargeFleet)
	}
	return total / float64(agents)
}

// receiveNoticesLocked passes the notices of a peer to the data plane, and forwards them.
func (n *Node) receiveNoticesLocked(from *session, notices []notice) {
	if len(notices) > maxPendingNotices {
		notices = notices[:maxPendingNotices]
	}
	now, isMember := n.now(), n.options.Core.IsMember()
	for _, receivedNotice := range notices {
		if !receivedNotice.valid() {
			continue
		}
		receivedNotice.sentAt = now - receivedNotice.age()
		if n.options.OnNotice != nil {
			n.options.OnNotice(receivedNotice.age(), &balancer.PrefillNotice{Instance: receivedNotice.Instance, Prefixes: receivedNotice.Prefixes,
				PromptTokens: receivedNotice.PromptTokens, UncachedTokens: receivedNotice.UncachedTokens})
		}
		receivedNotice.Hops++
		if isMember && receivedNotice.Hops < maxHops {
			n.sessions.forwardNotice(from, receivedNotice)
		}
	}
}

// forwardNotice forwards a notice. One that came from a relay goes to the agents, one that came from an
// agent goes to all other peers.
func (set sessionSet) forwardNotice(from *session, forwardedNotice notice) {
	for s := range set {
		if s != from && !(from.peerIsCore && s.peerIsCore) {
			s.enqueueNotice(forwardedNotice)
		}
	}
}

// enqueueNotice schedules a notice to be sent, or drops it if too many are pending.
func (s *session) enqueueNotice(pendingNotice notice) {
	if len(s.pendingNotices) >= maxPendingNotices {
		return
	}
	s.pendingNotices = append(s.pendingNotices, pendingNotice)
	if len(s.pendingNotices) == 1 {
		s.noticeTimer.Reset(noticeBatchDelay)
	}
}

// dequeueNotices removes and returns the pending notices, with their age updated.
func (s *session) dequeueNotices(now time.Duration) []notice {
	notices := s.pendingNotices
	s.pendingNotices = nil
	for i := range notices {
		notices[i].AgeMs = int((now - notices[i].sentAt).Milliseconds())
	}
	return notices
}
