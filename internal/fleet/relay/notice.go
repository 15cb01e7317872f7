package relay

import (
	"time"

	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

// Notices inform other agents of requests that were just sent to a server, as the loads that servers
// report are old when they arrive. A notice that is lost harms nobody, so notices are not stored,
// not repeated, and dropped where there is no capacity. An agent sends them to its relays; a relay
// forwards those of its agents to all its sessions, and those of other relays to its agents.

const (
	// noticeBatchDelay is how long notices are collected for one message.
	noticeBatchDelay = 10 * time.Millisecond
	// maxNoticeAge is the age from which on a notice is of no use.
	maxNoticeAge = 500 * time.Millisecond
	// maxPendingNotices bounds the notices that wait for a session, and those of one message.
	maxPendingNotices = 512
	// noticeSize is about the bytes that a notice takes.
	noticeSize = 48
	// noticeBurst is how many notices an agent may send at once.
	noticeBurst = 100
	// maxNoticePrefixes bounds the prefixes of a prompt that a notice names.
	maxNoticePrefixes = 64
	// maxHops bounds how far a notice is forwarded, whoever takes whom for a relay.
	maxHops = 3
	// noticeLinkFraction is the fraction of an agent's link that all notices together may take.
	noticeLinkFraction = 0.01
	// maxNoticeRate bounds what all notices together may take, in bytes per second.
	maxNoticeRate = 16e3
	// maxNoticeRateLargeFleet is that bound in a fleet of more than largeFleetAgents.
	maxNoticeRateLargeFleet = 3e3
	largeFleetAgents        = 150
	// minPriorityPrefill is from which estimated prefill time on a notice may use the second half of
	// the burst.
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
	AgeMs          int // milliseconds since the request was sent, when this was forwarded
	Hops           int // from its agent to a relay, from that to other relays, from those to their agents

	sentAt time.Duration // when the request was sent, by the own clock
}

// valid reports whether a received notice is within its bounds and still of use.
func (n *notice) valid() bool {
	age := n.age()
	return age >= 0 && age <= maxNoticeAge && n.PromptTokens >= 0 && n.UncachedTokens >= 0 && n.Hops >= 0 && n.Hops < maxHops &&
		len(n.Instance) <= maxNameBytes && len(n.Prefixes) <= maxNoticePrefixes
}

// age is how long ago the request was sent when the notice was forwarded.
func (n *notice) age() time.Duration { return time.Duration(n.AgeMs) * time.Millisecond }

// BroadcastNotice informs the other agents of a request that was just sent, and that keeps its server in
// prefill for an estimated time. A notice for which there is no capacity is dropped, those with a
// short prefill first.
func (n *Node) BroadcastNotice(sent balancer.PrefillNotice, prefill time.Duration) {
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
	out := notice{Instance: sent.Instance, Prefixes: sent.Prefixes, PromptTokens: sent.PromptTokens, UncachedTokens: sent.UncachedTokens, sentAt: n.now()}
	for s := range n.sessions {
		s.enqueueNotice(out)
	}
}

// noticeBytesPerSecond is what the notices of one agent may cost each receiver, in a fleet of so many
// agents whose links have a capacity in megabits per second.
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
	for _, received := range notices {
		if !received.valid() {
			continue
		}
		received.sentAt = now - received.age()
		if n.options.OnNotice != nil {
			n.options.OnNotice(received.age(), &balancer.PrefillNotice{Instance: received.Instance, Prefixes: received.Prefixes,
				PromptTokens: received.PromptTokens, UncachedTokens: received.UncachedTokens})
		}
		received.Hops++
		if isMember && received.Hops < maxHops {
			n.sessions.forwardNotice(from, received)
		}
	}
}

// forwardNotice sends a notice on: one of a relay to the agents, one of an agent to all.
func (set sessionSet) forwardNotice(from *session, forwarded notice) {
	for s := range set {
		if s != from && !(from.peerIsCore && s.peerIsCore) {
			s.enqueueNotice(forwarded)
		}
	}
}

// enqueueNotice has a notice sent soon, or drops it if too many are pending.
func (s *session) enqueueNotice(pending notice) {
	if len(s.pendingNotices) >= maxPendingNotices {
		return
	}
	s.pendingNotices = append(s.pendingNotices, pending)
	if len(s.pendingNotices) == 1 {
		s.noticeTimer.Reset(noticeBatchDelay)
	}
}

// dequeueNotices returns the pending notices with their present age.
func (s *session) dequeueNotices(now time.Duration) []notice {
	notices := s.pendingNotices
	s.pendingNotices = nil
	for i := range notices {
		notices[i].AgeMs = int((now - notices[i].sentAt).Milliseconds())
	}
	return notices
}
