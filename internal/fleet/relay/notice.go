package relay

import (
	"time"

	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

// Notices tell other agents of requests that were sent, as loads that servers tell are old when
// they come. They are news that nobody misses who does not get it: they are not kept, not
// repeated, and dropped where there is no room. An agent gives them to its hubs; a hub passes
// those of its agents on to all its sessions, and those of other hubs to its agents.

const (
	// noticeBatchDelay is how long notices are gathered for one message.
	noticeBatchDelay = 10 * time.Millisecond
	// maxNoticeAge is from when on a notice tells nothing any more.
	maxNoticeAge = 500 * time.Millisecond
	// maxPendingNotices bounds those that wait for a session, noticeSize is about what one takes.
	maxPendingNotices, noticeSize = 512, 48
	// maxNoticePrefixes bounds the parts of a prompt that a notice names.
	maxNoticePrefixes = 64
	// maxHops bounds how far a notice goes, whoever takes whom for a hub.
	maxHops = 3
	// noticeLinkFraction is the part of an agent's link that all notices may take, maxNoticeRate and, of a
	// large fleet, maxNoticeRateLargeFleet the most of it in bytes a second.
	noticeLinkFraction, maxNoticeRate, maxNoticeRateLargeFleet, largeFleetAgents = 0.01, 16e3, 3e3, 150
	// minPriorityPrefill is how long a request must keep its server reading to be told of first.
	minPriorityPrefill = 30 * time.Millisecond
)

// notice is a request that an agent sent to a server.
type notice struct {
	//lint:ignore U1000 msgpack reads this field by reflection
	_msgpack       struct{} `msgpack:",as_array"`
	Instance       string
	Prefixes       []balancer.Segment
	PromptTokens   int
	UncachedTokens int
	AgeMs          int // when it was passed on
	Hops           int // from its agent to a hub, from that to other hubs, from those to their agents

	sentAt time.Duration // when it was sent, by the own clock
}

// BroadcastNotice tells the other agents of a request that was just sent and keeps its server reading for
// about work. What there is no room for is dropped, the shorter ones first.
func (h *Node) BroadcastNotice(n balancer.PrefillNotice, work time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noticeLimiter.SetLimit(rate.Limit(h.noticeBytesPerSecondLocked()))
	if work < minPriorityPrefill && h.noticeLimiter.Tokens() < float64(h.noticeLimiter.Burst())/2 || !h.noticeLimiter.AllowN(time.Now(), noticeSize) {
		return
	}
	out := notice{Instance: n.Instance, Prefixes: n.Prefixes, PromptTokens: n.PromptTokens, UncachedTokens: n.UncachedTokens, sentAt: h.now()}
	for s := range h.sessions {
		s.enqueueNotice(out)
	}
}

// noticeBytesPerSecondLocked is the bytes a second that this agent may have all others take.
func (h *Node) noticeBytesPerSecondLocked() float64 {
	agents := max(len(h.members), 1)
	all := min(noticeLinkFraction*h.options.LinkMbps*1e6/8, maxNoticeRate)
	if agents > largeFleetAgents {
		all = min(all, maxNoticeRateLargeFleet)
	}
	return all / float64(agents)
}

// receiveNoticesLocked takes notices of a peer and passes them on.
func (h *Node) receiveNoticesLocked(s *session, notices []notice) {
	if len(notices) > maxPendingNotices {
		notices = notices[:maxPendingNotices]
	}
	now, core := h.now(), h.options.Core.IsMember()
	for _, n := range notices {
		age := time.Duration(n.AgeMs) * time.Millisecond
		if age < 0 || age > maxNoticeAge || n.PromptTokens < 0 || n.UncachedTokens < 0 || n.Hops < 0 || n.Hops >= maxHops ||
			len(n.Instance) > maxNameBytes || len(n.Prefixes) > maxNoticePrefixes {
			continue
		}
		n.sentAt = now - age
		if h.options.OnNotice != nil {
			h.options.OnNotice(age, &balancer.PrefillNotice{Instance: n.Instance, Prefixes: n.Prefixes, PromptTokens: n.PromptTokens, UncachedTokens: n.UncachedTokens})
		}
		if n.Hops++; !core || n.Hops >= maxHops {
			continue
		}
		for other := range h.sessions {
			if other != s && !(s.peerIsCore && other.peerIsCore) {
				other.enqueueNotice(n)
			}
		}
	}
}

// enqueueNotice has a notice sent soon. The hub's lock is held.
func (s *session) enqueueNotice(n notice) {
	if len(s.pendingNotices) >= maxPendingNotices {
		return
	}
	if s.pendingNotices = append(s.pendingNotices, n); len(s.pendingNotices) == 1 {
		s.noticeTimer.Reset(noticeBatchDelay)
	}
}

// dequeueNoticesLocked are the notices to send now. The hub's lock is held.
func (h *Node) dequeueNoticesLocked(s *session) []notice {
	out := s.pendingNotices
	s.pendingNotices = nil
	now := h.now()
	for i := range out {
		out[i].AgeMs = int((now - out[i].sentAt).Milliseconds())
	}
	return out
}
