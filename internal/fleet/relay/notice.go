package relay

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

// Notices inform other agents of requests that were just sent to a server, as the load that servers
// report is outdated when it arrives. Losing a notice does no harm, so notices are not stored, not
// repeated, and dropped if there is no capacity. An agent sends its notices to its relays. A relay
// forwards the notices of its agents to all other peers, and those of other relays to its agents.
//
// A relay grants each of its agents a rate of notices. An agent that has just started knows too few other
// agents to divide the capacity by their number itself.

const (
	// minNoticeBatchDelay is how long notices are collected for one message, at least. A relay with many
	// sessions adds noticeBatchDelayPerSession for each, as every message costs it the same work for each
	// of them, up to maxNoticeBatchDelay.
	minNoticeBatchDelay        = 10 * time.Millisecond
	noticeBatchDelayPerSession = time.Millisecond
	maxNoticeBatchDelay        = 100 * time.Millisecond
	// maxNoticeAge is the age beyond which a notice is useless.
	maxNoticeAge = 500 * time.Millisecond
	// maxPendingNotices bounds the notices that wait to be sent on a session, and the notices in one message.
	maxPendingNotices = 128
	// noticeSize is the approximate size of a notice in bytes.
	noticeSize = 48
	// noticeBurstPeriod is the time whose notices an agent may send at once, but at least minNoticeBurst and
	// at most maxNoticeBurst notices.
	noticeBurstPeriod = 30 * time.Second
	minNoticeBurst    = 2
	maxNoticeBurst    = 100
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
	allowance := n.ownNoticeAllowanceLocked()
	if allowance == 0 {
		return
	}
	limiter, at := n.noticeLimiter, n.limiterTime()
	setNoticeRate(limiter, at, allowance, 1)
	if prefill < minPriorityPrefill && limiter.TokensAt(at) < float64(limiter.Burst())/2 {
		return
	}
	if !limiter.AllowN(at, noticeSize) {
		return
	}
	newNotice := notice{Instance: prefillNotice.Instance, Prefixes: prefillNotice.Prefixes, PromptTokens: prefillNotice.PromptTokens, UncachedTokens: prefillNotice.UncachedTokens, sentAt: n.now()}
	delay := n.sessions.noticeBatchDelay()
	for s := range n.sessions {
		s.enqueueNotice(newNotice, delay)
	}
}

// ownNoticeAllowanceLocked returns the rate of this node's own notices, in bytes per second: what a relay has
// granted, or on a relay what it grants to others. It is 0 until a relay has granted a rate.
func (n *Node) ownNoticeAllowanceLocked() (allowance uint32) {
	if n.options.Self.IsCore {
		return n.grantedNoticeAllowanceLocked()
	}
	for s := range n.sessions {
		if s.peerIsCore {
			allowance = max(allowance, s.noticeAllowance)
		}
	}
	return allowance
}

// grantedNoticeAllowanceLocked returns the rate of notices that this relay grants to each agent, in bytes per
// second: the agent's share of what every agent may receive.
func (n *Node) grantedNoticeAllowanceLocked() uint32 {
	return uint32(math.Ceil(noticeBytesPerSecond(n.fleetSizeLocked(), n.options.LinkMbps)))
}

// fleetSizeLocked returns the number of agents in the fleet. After a restart of the whole fleet a relay counts
// those that it remembers, as it does not know all present ones yet.
func (n *Node) fleetSizeLocked() int {
	return max(len(n.members), len(n.memberAddrs.lastSeen), len(n.sessions))
}

// newNoticeLimiter returns a limiter that admits a complete burst once setNoticeRate has set its rate.
func newNoticeLimiter() *rate.Limiter { return rate.NewLimiter(0, math.MaxInt32) }

// setNoticeRate makes a limiter admit the notices of the given number of agents with an allowance each.
func setNoticeRate(limiter *rate.Limiter, at time.Time, allowance uint32, agents int) {
	burst := float64(allowance) * noticeBurstPeriod.Seconds() / noticeSize
	burst = min(max(burst, minNoticeBurst), maxNoticeBurst)
	limiter.SetLimitAt(at, rate.Limit(allowance)*rate.Limit(agents))
	limiter.SetBurstAt(at, int(burst)*noticeSize*agents)
}

// limiterTime returns the time on the node's clock in the form that limiters use.
func (n *Node) limiterTime() time.Time { return time.Unix(0, 0).Add(n.now()) }

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
	delay := n.sessions.noticeBatchDelay()
	fromAgent, at := isMember && !from.peerIsCore, n.limiterTime()
	if fromAgent {
		setNoticeRate(n.forwardedNoticeLimiter, at, n.grantedNoticeAllowanceLocked(), len(n.sessions))
	}
	for _, receivedNotice := range notices {
		if !receivedNotice.valid() {
			continue
		}
		if fromAgent && !n.forwardedNoticeLimiter.AllowN(at, noticeSize) {
			return // the agents send more than they were granted
		}
		receivedNotice.sentAt = now - receivedNotice.age()
		if n.options.OnNotice != nil {
			n.options.OnNotice(receivedNotice.age(), &balancer.PrefillNotice{Instance: receivedNotice.Instance, Prefixes: receivedNotice.Prefixes,
				PromptTokens: receivedNotice.PromptTokens, UncachedTokens: receivedNotice.UncachedTokens})
		}
		receivedNotice.Hops++
		if isMember && receivedNotice.Hops < maxHops {
			n.sessions.forwardNotice(from, receivedNotice, delay)
		}
	}
}

// noticeBatchDelay returns how long notices are collected for one message.
func (set sessionSet) noticeBatchDelay() time.Duration {
	return min(max(time.Duration(len(set))*noticeBatchDelayPerSession, minNoticeBatchDelay), maxNoticeBatchDelay)
}

// forwardNotice forwards a notice. One that came from a relay goes to the agents, one that came from an
// agent goes to all other peers.
func (set sessionSet) forwardNotice(from *session, forwardedNotice notice, delay time.Duration) {
	for s := range set {
		if s != from && !(from.peerIsCore && s.peerIsCore) {
			s.enqueueNotice(forwardedNotice, delay)
		}
	}
}

// enqueueNotice schedules a notice to be sent after a delay, or drops it if too many are pending.
func (s *session) enqueueNotice(pendingNotice notice, delay time.Duration) {
	if len(s.pendingNotices) >= maxPendingNotices {
		return
	}
	s.pendingNotices = append(s.pendingNotices, pendingNotice)
	if len(s.pendingNotices) == 1 {
		s.noticeTimer.Reset(delay)
	}
}

// dequeueNotices removes the pending notices, and returns those that are still useful with their age updated.
func (s *session) dequeueNotices(now time.Duration) []notice {
	notices := s.pendingNotices
	s.pendingNotices = nil
	for i := range notices {
		notices[i].AgeMs = int((now - notices[i].sentAt).Milliseconds())
	}
	return slices.DeleteFunc(notices, func(pending notice) bool { return pending.age() > maxNoticeAge })
}
