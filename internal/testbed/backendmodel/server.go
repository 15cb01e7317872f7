// Package backendmodel models a report server: cores, a bounded queue, a cache of keys, a slow
// start, and the ways in which the server fails. It is a state machine without I/O: callers
// pass times in milliseconds and get the jobs that have ended. The emulator with its sockets
// and the simulated fleet use the same model, so results of one apply to the other.
//
// The model follows the published figures of the servers; it is not a measurement of them.
package backendmodel

import (
	"container/list"
	"math"
)

// Config describes one server. Times are in milliseconds.
type Config struct {
	Cores int
	Speed float64 // speed of a core; the work of jobs is given for a speed of 1
	Queue int     // requests that may wait; the server rejects further ones

	SlowStartFloor float64 // fraction of the capacity at the start, 0 to 1
	SlowStartMs    float64 // time from the start until the full capacity is reached

	KeyTTLMs  float64 // how long a key stays cached after its last use
	KeySaving float64 // fraction of the work that a cached key saves, 0 to 1
	MaxKeys   int     // capacity of the key cache; 0 disables it

	// The server does no work for StallForMs out of every StallEveryMs. StallAtMs is the start of one of
	// these stalls. There are none if StallForMs is 0, or StallEveryMs is not longer.
	StallEveryMs, StallForMs, StallAtMs float64

	// Once more than OverloadQueue requests per core have been waiting for OverloadAfterMs, the server is
	// OverloadSlowdown times slower until it has been idle for OverloadIdleMs, at most for MaxOverloadMs.
	OverloadQueue, OverloadAfterMs, OverloadSlowdown, OverloadIdleMs, MaxOverloadMs float64

	// A cold server that is offered more than CollapseLoadFactor times its present capacity within
	// CollapseWindowMs goes down for good. A CollapseLoadFactor of 0 disables this.
	CollapseLoadFactor, CollapseWindowMs float64
}

// Job is one request at a server. ID 0 is work that nobody waits for, such as a handshake.
type Job struct {
	ID     uint64
	Key    uint64 // 0 if the job has no key
	WorkMs float64
}

// Done is a job that has ended, and its end.
type Done struct {
	ID uint64
	At float64
}

// Load is the load that a server reports.
type Load struct {
	Inflight  int
	Util      float64 // fraction of the cores that are busy, averaged over about a second
	LatencyMs float64 // moving average of the service times
	QPS       float64 // jobs that ended, averaged over about a second
}

type runningJob struct {
	job       Job
	startedAt float64
	endsAt    float64
}

// Server is one process of a report server. It is not safe for concurrent use.
type Server struct {
	cfg       Config
	startedAt float64 // 0 if the server started long ago and is warm
	slowdown  float64 // factor by which the server is slower than configured
	now       float64
	running   []runningJob // at most Cores
	queue     []Job
	keys      map[uint64]*list.Element
	keyOrder  *list.List // elements of type usedKey, least recently used first
	collapsed bool

	// crowdedSince is the time since when more than OverloadQueue requests per core wait, overloadedAt the begin of
	// the overload, idleSince the time since when no job runs. Each is 0 if this is not the case.
	crowdedSince, overloadedAt, idleSince float64
	offered                               []offer // to a cold server within CollapseWindowMs
	offeredMs, peakColdLoad               float64 // total work of offered; see PeakColdLoad

	util, utilAt, latency, qps float64 // see Load; utilAt is the time of the last update
	keyHits, keyedJobs         int     // see KeyCounts
}

type usedKey struct {
	key    uint64
	usedAt float64
}

type offer struct{ at, work float64 }

// New returns a server that started at the given time; with 0 it is warm.
func New(cfg Config, startedAt float64) *Server {
	return &Server{cfg: cfg, startedAt: startedAt, slowdown: 1, keys: map[uint64]*list.Element{}, keyOrder: list.New()}
}

// SetSlowdown makes the server slower by a factor, for the jobs that start from now on; 1 is its configured speed.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = factor }

// Collapsed tells whether the server has collapsed.
func (s *Server) Collapsed() bool { return s.collapsed }

// Overloaded tells whether the server is slower because of a long queue.
func (s *Server) Overloaded() bool { return s.overloadedAt > 0 }

// PeakColdLoad returns the highest load that the server was offered while cold, as a fraction of the load at which it
// collapses.
func (s *Server) PeakColdLoad() float64 { return s.peakColdLoad }

// StartupFactor returns the fraction of its capacity that the server has reached since its start, 0 to 1.
func (s *Server) StartupFactor(now float64) float64 {
	if age := now - s.startedAt; s.startedAt > 0 && age < s.cfg.SlowStartMs {
		return s.cfg.SlowStartFloor + (1-s.cfg.SlowStartFloor)*max(age, 0)/s.cfg.SlowStartMs
	}
	return 1
}

// Capacity returns the work, in ms at a speed of 1, that the server can do in a millisecond.
func (s *Server) Capacity(now float64) float64 {
	c := float64(s.cfg.Cores) * s.cfg.Speed * s.StartupFactor(now) / s.slowdown
	if s.overloadedAt > 0 {
		c /= s.cfg.OverloadSlowdown
	}
	return c
}

// Offer passes a job to the server and tells whether the server accepts it. A rejected job never runs.
func (s *Server) Offer(now float64, j Job) bool {
	s.updateState(now)
	s.recordOffer(now, j)
	if s.collapsed || len(s.queue) >= s.cfg.Queue && len(s.running) >= s.cfg.Cores {
		return false
	}
	s.queue = append(s.queue, j)
	s.start(now)
	return true
}

// recordOffer counts a job against the load that a cold server survives.
func (s *Server) recordOffer(now float64, j Job) {
	if s.cfg.CollapseLoadFactor <= 0 || s.StartupFactor(now) == 1 {
		s.offered, s.offeredMs = nil, 0
		return
	}
	s.offered = append(s.offered, offer{now, j.WorkMs})
	s.offeredMs += j.WorkMs
	for len(s.offered) > 0 && s.offered[0].at <= now-s.cfg.CollapseWindowMs {
		s.offeredMs -= s.offered[0].work
		s.offered = s.offered[1:]
	}
	// The random work of a single request may be many times the mean, so allow for a few such requests.
	slack := 3 * s.offeredMs / float64(max(len(s.offered), 1))
	cold := float64(s.cfg.Cores) * s.cfg.Speed * s.StartupFactor(now)
	s.peakColdLoad = max(s.peakColdLoad, (s.offeredMs-slack)/(s.cfg.CollapseLoadFactor*cold*s.cfg.CollapseWindowMs))
	if s.offeredMs > s.cfg.CollapseLoadFactor*cold*s.cfg.CollapseWindowMs+slack {
		s.collapsed = true
	}
}

// Cancel removes a job from the queue and tells whether it was there. A job that runs is not cancelled.
func (s *Server) Cancel(now float64, id uint64) bool {
	s.updateState(now)
	for i, j := range s.queue {
		if j.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Next returns the time at which the next job ends; false if none runs.
func (s *Server) Next() (float64, bool) {
	at := math.Inf(1)
	for _, r := range s.running {
		at = min(at, r.endsAt)
	}
	return at, len(s.running) > 0
}

// Advance ends the jobs that are done by now, starts waiting ones in their place, and appends the ended ones to out in
// the order of their ends.
func (s *Server) Advance(now float64, out []Done) []Done {
	for {
		at, exists := s.Next()
		if !exists || at > now {
			s.updateState(now)
			return out
		}
		s.updateState(at)
		for i, r := range s.running {
			if r.endsAt == at {
				s.running = append(s.running[:i], s.running[i+1:]...)
				if r.job.ID != 0 {
					durationMs := at - r.startedAt
					s.latency += (durationMs - s.latency) * 0.1
					s.qps++
					out = append(out, Done{r.job.ID, at})
				}
				break
			}
		}
		s.start(at)
	}
}

// start starts waiting jobs on free cores.
func (s *Server) start(now float64) {
	for len(s.running) < s.cfg.Cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		work := j.WorkMs
		if s.useKey(now, j.Key) {
			work *= 1 - s.cfg.KeySaving
		}
		durationMs := work * float64(s.cfg.Cores) / s.Capacity(now)
		s.running = append(s.running, runningJob{j, now, s.endOf(now, durationMs)})
	}
}

// endOf returns the time at which work of a duration ends if it starts now. No work is done during stalls.
func (s *Server) endOf(now, durationMs float64) float64 {
	every, length := s.cfg.StallEveryMs, s.cfg.StallForMs
	if every <= length || length <= 0 {
		return now + durationMs
	}
	phase := math.Mod(now-s.cfg.StallAtMs, every)
	if phase < 0 {
		phase += every
	}
	if phase < length {
		now, phase = now+length-phase, length
	}
	untilStall := every - phase
	if durationMs <= untilStall {
		return now + durationMs
	}
	// Skip whole periods at once: a loop over single periods would not end where rounding leaves the phase just
	// under a period.
	durationMs -= untilStall
	periods := math.Ceil(durationMs/(every-length)) - 1
	return now + untilStall + periods*every + length + durationMs - periods*(every-length)
}

// useKey tells whether a key is cached, and caches it as the most recently used one.
func (s *Server) useKey(now float64, key uint64) bool {
	if key == 0 || s.cfg.MaxKeys <= 0 {
		return false
	}
	cached := false
	s.keyedJobs++
	if e := s.keys[key]; e != nil {
		cached = now-e.Value.(usedKey).usedAt < s.cfg.KeyTTLMs
		if cached {
			s.keyHits++
		}
		s.keyOrder.Remove(e)
	}
	s.keys[key] = s.keyOrder.PushBack(usedKey{key, now})
	if s.keyOrder.Len() > s.cfg.MaxKeys {
		delete(s.keys, s.keyOrder.Remove(s.keyOrder.Front()).(usedKey).key)
	}
	return cached
}

// updateState updates the load figures and the overload state to the present time.
func (s *Server) updateState(now float64) {
	if dt := now - s.utilAt; dt > 0 {
		w := math.Exp(-dt / 1000)
		s.util = s.util*w + float64(len(s.running))/float64(s.cfg.Cores)*(1-w)
		s.qps *= w
		s.utilAt = now
	}
	s.now = now
	if s.cfg.OverloadSlowdown <= 1 {
		return
	}
	if float64(len(s.queue)) <= s.cfg.OverloadQueue*float64(s.cfg.Cores) {
		s.crowdedSince = 0
	} else if s.crowdedSince == 0 {
		s.crowdedSince = now
	}
	if len(s.running) > 0 {
		s.idleSince = 0
	} else if s.idleSince == 0 {
		s.idleSince = now
	}
	switch {
	case s.overloadedAt == 0 && s.crowdedSince > 0 && now-s.crowdedSince >= s.cfg.OverloadAfterMs:
		s.overloadedAt = now
	case s.overloadedAt > 0 && (now-s.overloadedAt >= s.cfg.MaxOverloadMs ||
		s.idleSince > 0 && now-s.idleSince >= s.cfg.OverloadIdleMs):
		s.overloadedAt, s.crowdedSince = 0, 0
	}
}

// Load returns the load that the server reports now.
func (s *Server) Load(now float64) Load {
	s.updateState(now)
	return Load{Inflight: len(s.running) + len(s.queue), Util: s.util, LatencyMs: s.latency, QPS: s.qps}
}

// KeyCounts returns the number of started jobs with a cached key, and that of all started jobs with a key.
func (s *Server) KeyCounts() (hits, total int) { return s.keyHits, s.keyedJobs }
