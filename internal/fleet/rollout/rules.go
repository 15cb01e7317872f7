package rollout

import (
	"time"

	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

// Rules is what a record asks of an agent. It is immutable.
type Rules struct {
	Version uint64
	Number  uint64
	Active  bool
	Service string
	Model   string
	From    int
	To      int
	Floor   int     // replicas that a group of a server on its way out is spread over
	Fill    float64 // shared prompts a second that one filling server is made to read, by all agents

	all    bool // no stock was taken: all have their whole share
	target int
	out    map[string]LeaveStep
	gone   map[string]bool // addresses of servers that were handed over
	in     map[string]EnterStep
	full   map[uint64]bool
}

// Rules compiles the record for an agent's choice of servers.
func (r *Record) Rules() *Rules {
	u := &Rules{Version: r.Version, Number: r.Number, Active: r.Active(), Service: r.Spec.Service, Model: r.Spec.Model,
		From: r.Spec.From, To: r.Spec.To, Floor: r.Spec.Keep.Floor, Fill: r.Spec.Pace.FillPerS, target: r.target(),
		all: r.Phase == Forward && !r.Begun, out: map[string]LeaveStep{}, gone: map[string]bool{}, in: map[string]EnterStep{}, full: map[uint64]bool{}}
	for _, l := range r.Out {
		u.out[l.ID] = l.Step
		if l.Step == Replacing {
			u.gone[l.Addr] = true
		}
	}
	for _, e := range r.In {
		u.in[e.ID] = e.Step
	}
	for _, h := range r.Full {
		u.full[h] = true
	}
	return u
}

// Share is the part of its requests that a server of the service gets, by the revision of the model
// that it holds: 0 for a new one that the holder has not taken in yet, 1 for all that the rollout
// doesn't touch.
func (u *Rules) Share(id, addr string, revision int) float64 {
	if !u.Active || u.all {
		return 1
	}
	if step, ok := u.out[id]; ok {
		return step.share()
	}
	if step, ok := u.in[id]; ok {
		return step.share()
	}
	switch {
	case revision == u.target:
		if u.full[hashID(id)] {
			return 1
		}
		return 0
	case revision == u.To && u.target == u.From && u.gone[addr]:
		return 0 // handed over before the way back, and up with what is left
	}
	return 1
}

// Takes tells whether a session is among an entering server's share of the sessions of its keys: the
// same ones at every agent, and each larger share holds the smaller. Of a leaving server the share
// is one of the requests of all its keys, drawn anew for each: the others go to the Floor servers
// that come next for the key, so that all its groups find replicas.
func Takes(id string, session uint64, share float64) bool {
	if share >= 1 || share <= 0 {
		return share >= 1
	}
	return part(inference.Mix64(hashID(id)+session*0x9e3779b97f4a7c15)) < share
}

// part maps a hash to 0 up to 1.
func part(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// Filling tells whether a server is made to read shared prompts at a pace: a request with a part
// that it doesn't hold needs leave from the agent's Filler.
func (u *Rules) Filling(id string) bool {
	step, ok := u.in[id]
	return ok && step == Filling
}

// Pass tells whether streams at a server that may be resumed are to be passed on.
func (u *Rules) Pass(id string) bool { step, ok := u.out[id]; return ok && step == Passing }

// Leaving tells whether a server is on its way out: the groups that it serves are spread over Floor
// others, and its requests under way are told.
func (u *Rules) Leaving(id string) bool { _, ok := u.out[id]; return ok }

// Entering tells whether a server is on its way in: what it does is told by itself.
func (u *Rules) Entering(id string) bool { _, ok := u.in[id]; return ok }

// Out are the servers that get no new work.
func (u *Rules) Out() []string {
	var ids []string
	for id, step := range u.out {
		if step.share() == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Side tells a revision's: isNew for the one that the rollout moves to, known for either.
func (u *Rules) Side(revision int) (isNew, known bool) {
	return revision == u.To, u.Active && (revision == u.To || revision == u.From)
}

// Filler keeps an agent's part of the pace at which servers fill. It is not safe for concurrent use.
type Filler struct {
	limits map[string]*rate.Limiter
}

// NewFiller returns one that knows no server.
func NewFiller() *Filler { return &Filler{limits: map[string]*rate.Limiter{}} }

// Allow tells whether one more prompt may be read by a filling server, of so many agents.
func (f *Filler) Allow(now time.Duration, u *Rules, id string, agents int) bool {
	pace := rate.Limit(u.Fill / float64(max(agents, 1)))
	l := f.limits[id]
	if l == nil {
		for old := range f.limits {
			if !u.Filling(old) {
				delete(f.limits, old)
			}
		}
		if len(f.limits) >= maxMoving {
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
	// sessionBits is the size of one filter of sessions, sessionMost how many it takes, probes how
	// many bits each sets: one in a hundred strangers is mistaken.
	sessionBits, sessionMost, probes = 1 << 18, 1 << 14, 4
	// sessionWindow is for how long a session that is silent is remembered, at least.
	sessionWindow = 10 * time.Minute
)

// Sessions keeps sessions on one revision while a server of it serves: by what this agent sent
// before and, where it knows nothing, by a hash against the part that the new revision can do. A
// session that nobody remembers moves once, when that part passes its hash. It takes 128 KB and is
// not safe for concurrent use.
type Sessions struct {
	began time.Duration
	ran   [2][2]filter // by age and side
	count int
}

type filter struct{ bits []uint64 }

func (f *filter) each(session uint64, fn func(word *uint64, bit uint64)) {
	if f.bits == nil {
		f.bits = make([]uint64, sessionBits/64)
	}
	h := inference.Mix64(session)
	step := inference.Mix64(h) | 1
	for range probes {
		fn(&f.bits[h%sessionBits/64], 1<<(h%64))
		h += step
	}
}

func (f *filter) has(session uint64) bool {
	if f.bits == nil {
		return false
	}
	all := true
	f.each(session, func(word *uint64, bit uint64) { all = all && *word&bit != 0 })
	return all
}

// Ran takes that a request of a session was answered by a revision.
func (s *Sessions) Ran(now time.Duration, session uint64, isNew bool) {
	side := 0
	if isNew {
		side = 1
	}
	if s.count >= sessionMost || now-s.began > sessionWindow {
		s.ran[1] = s.ran[0]
		s.ran[0] = [2]filter{}
		s.count, s.began = 0, now
	}
	if !s.ran[0][side].has(session) {
		s.count++
	}
	s.ran[0][side].each(session, func(word *uint64, bit uint64) { *word |= bit })
}

// New tells whether a session is to run at the new revision first, of which the part cut of all
// that can be done is done there.
func (s *Sessions) New(session uint64, cut float64) bool {
	for _, age := range s.ran {
		if a, b := age[0].has(session), age[1].has(session); a != b {
			return b
		}
	}
	return part(inference.Mix64(session^0x5e55)) < cut
}

// Cut is the part of all that can be done that the new revision can do, by the capacities of the
// servers of each side, each times its share.
func Cut(old, fresh float64) float64 {
	if old+fresh <= 0 {
		return 0
	}
	return fresh / (old + fresh)
}
