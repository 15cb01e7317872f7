package rollout

import (
	"time"

	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

// RoutingRules is what a record asks of an agent. It is immutable.
type RoutingRules struct {
	Version                uint64
	Rollout                uint64
	Active                 bool
	Service                string
	Model                  string
	From                   int
	To                     int
	SpreadServers          int     // replicas that a group of a server on its way out is spread over
	WarmupPromptsPerSecond float64 // shared prompts a second that one filling server is made to read, by all agents

	unrestricted   bool // no stock was taken: all have their whole share
	targetRevision int
	draining       map[string]DrainStep
	replacedAddrs  map[string]bool // addresses of servers that were handed over
	ramping        map[string]RampStep
	fullShare      map[uint64]bool
}

// Rules compiles the record for an agent's choice of servers.
func (r *Record) Rules() *RoutingRules {
	u := &RoutingRules{Version: r.Version, Rollout: r.Number, Active: r.Active(), Service: r.Spec.Service, Model: r.Spec.Model,
		From: r.Spec.From, To: r.Spec.To, SpreadServers: r.Spec.Safety.MinReplicas, WarmupPromptsPerSecond: r.Spec.Pace.WarmupPromptsPerSecond, targetRevision: r.targetRevision(),
		unrestricted: r.Phase == PhaseForward && !r.Initialized, draining: map[string]DrainStep{}, replacedAddrs: map[string]bool{}, ramping: map[string]RampStep{}, fullShare: map[uint64]bool{}}
	for _, l := range r.Draining {
		u.draining[l.ID] = l.Step
		if l.Step == DrainReplacing {
			u.replacedAddrs[l.Addr] = true
		}
	}
	for _, e := range r.Ramping {
		u.ramping[e.ID] = e.Step
	}
	for _, h := range r.FullShare {
		u.fullShare[h] = true
	}
	return u
}

// Share is the part of its requests that a server of the service gets, by the revision of the model
// that it holds: 0 for a new one that the holder has not taken in yet, 1 for all that the rollout
// doesn't touch.
func (u *RoutingRules) Share(id, addr string, revision int) float64 {
	if !u.Active || u.unrestricted {
		return 1
	}
	if step, ok := u.draining[id]; ok {
		return step.share()
	}
	if step, ok := u.ramping[id]; ok {
		return step.share()
	}
	switch {
	case revision == u.targetRevision:
		if u.fullShare[hashID(id)] {
			return 1
		}
		return 0
	case revision == u.To && u.targetRevision == u.From && u.replacedAddrs[addr]:
		return 0 // handed over before the way back, and up with what is left
	}
	return 1
}

// AcceptsSession tells whether a session is among an entering server's share of the sessions of its keys: the
// same ones at every agent, and each larger share holds the smaller. Of a leaving server the share
// is one of the requests of all its keys, drawn anew for each: the others go to the Floor servers
// that come next for the key, so that all its groups find replicas.
func AcceptsSession(id string, session uint64, share float64) bool {
	if share >= 1 || share <= 0 {
		return share >= 1
	}
	return unitInterval(inference.Mix64(hashID(id)+session*0x9e3779b97f4a7c15)) < share
}

// unitInterval maps a hash to 0 up to 1.
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// IsWarming tells whether a server is made to read shared prompts at a pace: a request with a part
// that it doesn't hold needs leave from the agent's Filler.
func (u *RoutingRules) IsWarming(id string) bool {
	step, ok := u.ramping[id]
	return ok && step == RampWarming
}

// ShouldMigrate tells whether streams at a server that may be resumed are to be passed on.
func (u *RoutingRules) ShouldMigrate(id string) bool {
	step, ok := u.draining[id]
	return ok && step == DrainMigrating
}

// IsDraining tells whether a server is on its way out: the groups that it serves are spread over Floor
// others, and its requests under way are told.
func (u *RoutingRules) IsDraining(id string) bool { _, ok := u.draining[id]; return ok }

// IsRamping tells whether a server is on its way in: what it does is told by itself.
func (u *RoutingRules) IsRamping(id string) bool { _, ok := u.ramping[id]; return ok }

// ClosedServers are the servers that get no new work.
func (u *RoutingRules) ClosedServers() []string {
	var ids []string
	for id, step := range u.draining {
		if step.share() == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Classify tells a revision's: isNew for the one that the rollout moves to, known for either.
func (u *RoutingRules) Classify(revision int) (isNew, known bool) {
	return revision == u.To, u.Active && (revision == u.To || revision == u.From)
}

// WarmupLimiter keeps an agent's part of the pace at which servers fill. It is not safe for concurrent use.
type WarmupLimiter struct {
	limits map[string]*rate.Limiter
}

// NewWarmupLimiter returns one that knows no server.
func NewWarmupLimiter() *WarmupLimiter { return &WarmupLimiter{limits: map[string]*rate.Limiter{}} }

// Allow tells whether one more prompt may be read by a filling server, of so many agents.
func (f *WarmupLimiter) Allow(now time.Duration, u *RoutingRules, id string, agents int) bool {
	pace := rate.Limit(u.WarmupPromptsPerSecond / float64(max(agents, 1)))
	l := f.limits[id]
	if l == nil {
		for old := range f.limits {
			if !u.IsWarming(old) {
				delete(f.limits, old)
			}
		}
		if len(f.limits) >= maxInTransition {
			return false
		}
		l = rate.NewLimiter(pace, 1)
		f.limits[id] = l
	}
	at := time.Unix(0, 0).Add(now)
	if l.Limit() != pace {
		l.SetLimitAt(at, pace)
	}
	return l.AllowN(at, 1)
}

const (
	// sessionFilterBits is the size of one filter of sessions, sessionFilterCapacity how many it takes, probes how
	// many bits each sets: one in a hundred strangers is mistaken.
	sessionFilterBits, sessionFilterCapacity, filterHashes = 1 << 18, 1 << 14, 4
	// sessionWindow is for how long a session that is silent is remembered, at least.
	sessionWindow = 10 * time.Minute
)

// SessionAffinity keeps sessions on one revision while a server of it serves: by what this agent sent
// before and, where it knows nothing, by a hash against the part that the new revision can do. A
// session that nobody remembers moves once, when that part passes its hash. It takes 128 KB and is
// not safe for concurrent use.
type SessionAffinity struct {
	startedAt time.Duration
	seen      [2][2]bloomFilter // by age and side
	count     int
}

type bloomFilter struct{ bits []uint64 }

func (f *bloomFilter) forEachBit(session uint64, fn func(word *uint64, bit uint64)) {
	if f.bits == nil {
		f.bits = make([]uint64, sessionFilterBits/64)
	}
	h := inference.Mix64(session)
	step := inference.Mix64(h) | 1
	for range filterHashes {
		fn(&f.bits[h%sessionFilterBits/64], 1<<(h%64))
		h += step
	}
}

func (f *bloomFilter) contains(session uint64) bool {
	if f.bits == nil {
		return false
	}
	all := true
	f.forEachBit(session, func(word *uint64, bit uint64) { all = all && *word&bit != 0 })
	return all
}

// Record takes that a request of a session was answered by a revision.
func (s *SessionAffinity) Record(now time.Duration, session uint64, isNew bool) {
	side := 0
	if isNew {
		side = 1
	}
	if s.count >= sessionFilterCapacity || now-s.startedAt > sessionWindow {
		s.seen[1] = s.seen[0]
		s.seen[0] = [2]bloomFilter{}
		s.count, s.startedAt = 0, now
	}
	if !s.seen[0][side].contains(session) {
		s.count++
	}
	s.seen[0][side].forEachBit(session, func(word *uint64, bit uint64) { *word |= bit })
}

// PrefersNew tells whether a session is to run at the new revision first, of which the part cut of all
// that can be done is done there.
func (s *SessionAffinity) PrefersNew(session uint64, cut float64) bool {
	for _, age := range s.seen {
		if a, b := age[0].contains(session), age[1].contains(session); a != b {
			return b
		}
	}
	return unitInterval(inference.Mix64(session^0x5e55)) < cut
}

// NewCapacityShare is the part of all that can be done that the new revision can do, by the capacities of the
// servers of each side, each times its share.
func NewCapacityShare(old, fresh float64) float64 {
	if old+fresh <= 0 {
		return 0
	}
	return fresh / (old + fresh)
}
