// Package backendmodel holds what the laboratory takes a report server to be: cores, a bounded
// queue, a memory of keys, a ramp after its start, and the ways in which it fails. It is a
// state machine without I/O: times in milliseconds go in, what has ended comes out. The
// emulator's sockets and the simulated fleet run the same one, so that what is learned in
// one holds in the other.
//
// It is a model by the published figures of the servers, and not a measurement of them.
package backendmodel

import (
	"container/list"
	"math"
)

// Config is one server's make. Times are in milliseconds.
type Config struct {
	Cores int
	Speed float64 // of a core; work is given for a speed of 1
	Queue int     // requests that may wait; beyond them it turns away

	ColdFrom float64 // part of its capacity that it starts with
	ColdMs   float64 // time until it has all

	KeyTTLMs  float64 // for how long it knows a key that it met
	KeySaving float64 // part of the work that a known key saves
	KeyMost   int     // keys that it remembers

	StallEveryMs, StallForMs, StallAtMs float64 // it stands still now and then; 0: never

	// A server with over ChokeQueue requests a core waiting for ChokeAfterMs is ChokeFactor
	// times slower until it has been idle for ChokeIdleMs, or for ChokeMostMs.
	ChokeQueue, ChokeAfterMs, ChokeFactor, ChokeIdleMs, ChokeMostMs float64

	// A cold server that is offered more than TipMultiple times its present capacity within
	// TipMs goes down for good. 0: never.
	TipMultiple, TipMs float64
}

// Job is one request at a server. ID 0 is work that nobody waits for, such as a handshake.
type Job struct {
	ID     uint64
	Key    uint64 // 0: none
	WorkMs float64
}

// Done is a job that has run.
type Done struct {
	ID uint64
	At float64
}

// Load is what a server reports of itself.
type Load struct {
	Inflight  int
	Util      float64 // part of the cores at work, over about a second
	LatencyMs float64 // mean service time of late
	QPS       float64
}

type running struct {
	job  Job
	from float64
	ends float64
}

// Server is one process of a report server. It is not safe for concurrent use.
type Server struct {
	cfg     Config
	started float64 // 0: long ago
	slow    float64 // times slower than its make
	now     float64
	busy    []running // at most Cores
	queue   []Job
	keys    map[uint64]*list.Element
	order   *list.List // of keyAt, oldest first
	down    bool

	crowded, chokedAt, idleFrom float64 // since when; 0: not
	offered                     []offer // to a cold server, within TipMs
	sum, pressed                float64

	util, utilAt, latency, qps float64
	known, met                 int
}

type keyAt struct {
	key uint64
	at  float64
}

type offer struct{ at, work float64 }

// New returns a server that started at the time given; 0 is long ago.
func New(cfg Config, started float64) *Server {
	return &Server{cfg: cfg, started: started, slow: 1, keys: map[uint64]*list.Element{}, order: list.New()}
}

// Slow makes it so many times slower for what it begins from now on; 1 is its make.
func (s *Server) Slow(times float64) { s.slow = times }

// Down tells whether it has toppled.
func (s *Server) Down() bool { return s.down }

// Choked tells whether it is slower for having been crowded.
func (s *Server) Choked() bool { return s.chokedAt > 0 }

// Pressed is the most that it was offered while cold, as a part of what topples it.
func (s *Server) Pressed() float64 { return s.pressed }

// Ramp is the part of its capacity that it has.
func (s *Server) Ramp(now float64) float64 {
	if age := now - s.started; s.started > 0 && age < s.cfg.ColdMs {
		return s.cfg.ColdFrom + (1-s.cfg.ColdFrom)*max(age, 0)/s.cfg.ColdMs
	}
	return 1
}

// Capacity is the work, in ms at a speed of 1, that it can do in a millisecond.
func (s *Server) Capacity(now float64) float64 {
	c := float64(s.cfg.Cores) * s.cfg.Speed * s.Ramp(now) / s.slow
	if s.chokedAt > 0 {
		c /= s.cfg.ChokeFactor
	}
	return c
}

// Offer hands it a job. It tells whether it takes it; one that is turned away never runs.
func (s *Server) Offer(now float64, j Job) bool {
	s.settle(now)
	s.press(now, j)
	if s.down || len(s.queue) >= s.cfg.Queue && len(s.busy) >= s.cfg.Cores {
		return false
	}
	s.queue = append(s.queue, j)
	s.start(now)
	return true
}

// press counts work against the budget of a cold server.
func (s *Server) press(now float64, j Job) {
	if s.cfg.TipMultiple <= 0 || s.Ramp(now) == 1 {
		s.offered, s.sum = nil, 0
		return
	}
	s.offered = append(s.offered, offer{now, j.WorkMs})
	s.sum += j.WorkMs
	for len(s.offered) > 0 && s.offered[0].at <= now-s.cfg.TipMs {
		s.sum -= s.offered[0].work
		s.offered = s.offered[1:]
	}
	// What is drawn for a single request may be many times the mean: some slack for chance.
	slack := 3 * s.sum / float64(max(len(s.offered), 1))
	cold := float64(s.cfg.Cores) * s.cfg.Speed * s.Ramp(now)
	s.pressed = max(s.pressed, (s.sum-slack)/(s.cfg.TipMultiple*cold*s.cfg.TipMs))
	if s.sum > s.cfg.TipMultiple*cold*s.cfg.TipMs+slack {
		s.down = true
	}
}

// Cancel drops a job that still waits; one that runs goes on. It tells whether it waited.
func (s *Server) Cancel(now float64, id uint64) bool {
	s.settle(now)
	for i, j := range s.queue {
		if j.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Next is when the next job ends; false while nothing runs.
func (s *Server) Next() (float64, bool) {
	at := math.Inf(1)
	for _, r := range s.busy {
		at = min(at, r.ends)
	}
	return at, len(s.busy) > 0
}

// Advance ends all jobs that are done by now, in order, and starts those that waited.
func (s *Server) Advance(now float64, out []Done) []Done {
	for {
		at, some := s.Next()
		if !some || at > now {
			s.settle(now)
			return out
		}
		s.settle(at)
		for i, r := range s.busy {
			if r.ends == at {
				s.busy = append(s.busy[:i], s.busy[i+1:]...)
				if r.job.ID != 0 {
					took := at - r.from
					s.latency += (took - s.latency) * 0.1
					s.qps++
					out = append(out, Done{r.job.ID, at})
				}
				break
			}
		}
		s.start(at)
	}
}

// start puts waiting jobs on free cores.
func (s *Server) start(now float64) {
	for len(s.busy) < s.cfg.Cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		work := j.WorkMs
		if s.knows(now, j.Key) {
			work *= 1 - s.cfg.KeySaving
		}
		took := work * float64(s.cfg.Cores) / s.Capacity(now)
		s.busy = append(s.busy, running{j, now, s.after(now, took)})
	}
}

// after is when work that takes so long ends, past the times at which it stands still.
func (s *Server) after(now, took float64) float64 {
	every, length := s.cfg.StallEveryMs, s.cfg.StallForMs
	if every <= length || length <= 0 {
		return now + took
	}
	phase := math.Mod(now-s.cfg.StallAtMs, every)
	if phase < 0 {
		phase += every
	}
	if phase < length {
		now, phase = now+length-phase, length
	}
	free := every - phase
	if took <= free {
		return now + took
	}
	// Whole periods at once: step by step a phase that is rounded to just under a period
	// would be gone through without end.
	took -= free
	periods := math.Ceil(took/(every-length)) - 1
	return now + free + periods*every + length + took - periods*(every-length)
}

// knows tells whether it still remembers a key, and lets it remember it.
func (s *Server) knows(now float64, key uint64) bool {
	if key == 0 || s.cfg.KeyMost <= 0 {
		return false
	}
	known := false
	s.met++
	if e := s.keys[key]; e != nil {
		known = now-e.Value.(keyAt).at < s.cfg.KeyTTLMs
		if known {
			s.known++
		}
		s.order.Remove(e)
	}
	s.keys[key] = s.order.PushBack(keyAt{key, now})
	if s.order.Len() > s.cfg.KeyMost {
		delete(s.keys, s.order.Remove(s.order.Front()).(keyAt).key)
	}
	return known
}

// settle brings figures that change with time up to now.
func (s *Server) settle(now float64) {
	if dt := now - s.utilAt; dt > 0 {
		w := math.Exp(-dt / 1000)
		s.util = s.util*w + float64(len(s.busy))/float64(s.cfg.Cores)*(1-w)
		s.qps *= w
		s.utilAt = now
	}
	s.now = now
	if s.cfg.ChokeFactor <= 1 {
		return
	}
	if float64(len(s.queue)) <= s.cfg.ChokeQueue*float64(s.cfg.Cores) {
		s.crowded = 0
	} else if s.crowded == 0 {
		s.crowded = now
	}
	if len(s.busy) > 0 {
		s.idleFrom = 0
	} else if s.idleFrom == 0 {
		s.idleFrom = now
	}
	switch {
	case s.chokedAt == 0 && s.crowded > 0 && now-s.crowded >= s.cfg.ChokeAfterMs:
		s.chokedAt = now
	case s.chokedAt > 0 && (now-s.chokedAt >= s.cfg.ChokeMostMs || s.idleFrom > 0 && now-s.idleFrom >= s.cfg.ChokeIdleMs):
		s.chokedAt, s.crowded = 0, 0
	}
}

// Load is what it reports now.
func (s *Server) Load(now float64) Load {
	s.settle(now)
	return Load{Inflight: len(s.busy) + len(s.queue), Util: s.util, LatencyMs: s.latency, QPS: s.qps}
}

// Keys is how many jobs with a key it has begun, and of how many of them it knew it.
func (s *Server) Keys() (known, met int) { return s.known, s.met }
