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
	// noticeEvery is how long notices are gathered for one message.
	noticeEvery = 10 * time.Millisecond
	// noticeAge is from when on a notice tells nothing any more.
	noticeAge = 500 * time.Millisecond
	// maxNotices bounds those that wait for a session, noticeBytes is about what one takes.
	maxNotices, noticeBytes = 512, 48
	// maxParts bounds the parts of a prompt that a notice names.
	maxParts = 64
	// maxHops bounds how far a notice goes, whoever takes whom for a hub.
	maxHops = 3
	// noticeLink is the part of an agent's link that all notices may take, noticeMost and, of a
	// large fleet, noticeLarge the most of it in bytes a second.
	noticeLink, noticeMost, noticeLarge, largeFleet = 0.01, 16e3, 3e3, 150
	// noticeWork is how long a request must keep its server reading to be told of first.
	noticeWork = 30 * time.Millisecond
)

// notice is a request that an agent sent to a server.
type notice struct {
	//lint:ignore U1000 msgpack reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Instance string
	Chain    []balancer.Part
	Prompt   int
	Uncached int
	AgeMs    int // when it was passed on
	Hops     int // from its agent to a hub, from that to other hubs, from those to their agents

	at time.Duration // when it was sent, by the own clock
}

// Notify tells the other agents of a request that was just sent and keeps its server reading for
// about work. What there is no room for is dropped, the shorter ones first.
func (h *Hub) Notify(n balancer.Notice, work time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit.SetLimit(rate.Limit(h.noticeRate()))
	if work < noticeWork && h.limit.Tokens() < float64(h.limit.Burst())/2 || !h.limit.AllowN(time.Now(), noticeBytes) {
		return
	}
	out := notice{Instance: n.Instance, Chain: n.Chain, Prompt: n.Prompt, Uncached: n.Uncached, at: h.now()}
	for s := range h.sessions {
		s.addNotice(out)
	}
}

// noticeRate is the bytes a second that this agent may have all others take.
func (h *Hub) noticeRate() float64 {
	agents := max(len(h.members), 1)
	all := min(noticeLink*h.o.LinkMbps*1e6/8, noticeMost)
	if agents > largeFleet {
		all = min(all, noticeLarge)
	}
	return all / float64(agents)
}

// receiveNotices takes notices of a peer and passes them on.
func (h *Hub) receiveNotices(s *session, notices []notice) {
	if len(notices) > maxNotices {
		notices = notices[:maxNotices]
	}
	now, core := h.now(), h.o.Core.IsCore()
	for _, n := range notices {
		age := time.Duration(n.AgeMs) * time.Millisecond
		if age < 0 || age > noticeAge || n.Prompt < 0 || n.Uncached < 0 || n.Hops < 0 || n.Hops >= maxHops ||
			len(n.Instance) > maxName || len(n.Chain) > maxParts {
			continue
		}
		n.at = now - age
		if h.o.OnNotice != nil {
			h.o.OnNotice(age, &balancer.Notice{Instance: n.Instance, Chain: n.Chain, Prompt: n.Prompt, Uncached: n.Uncached})
		}
		if n.Hops++; !core || n.Hops >= maxHops {
			continue
		}
		for other := range h.sessions {
			if other != s && !(s.core && other.core) {
				other.addNotice(n)
			}
		}
	}
}

// addNotice has a notice sent soon. The hub's lock is held.
func (s *session) addNotice(n notice) {
	if len(s.pendingNotices) >= maxNotices {
		return
	}
	if s.pendingNotices = append(s.pendingNotices, n); len(s.pendingNotices) == 1 {
		s.noticeTimer.Reset(noticeEvery)
	}
}

// takeNotices are the notices to send now. The hub's lock is held.
func (h *Hub) takeNotices(s *session) []notice {
	out := s.pendingNotices
	s.pendingNotices = nil
	now := h.now()
	for i := range out {
		out[i].AgeMs = int((now - out[i].at).Milliseconds())
	}
	return out
}
