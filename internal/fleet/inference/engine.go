// Package inference models what a server of a language model holds and has to do, as far as one
// agent can know it: the prompts that it was sent and has not read yet, the streams it runs,
// the prompt parts it keeps, and the load that its answers tell, which is old when it comes and
// holds the work of all agents. From these it estimates when a server would give the first token
// of a prompt. How fast servers are is learned from the agent's own attempts.
//
// It is pure: events and times of one steady clock go in. It is not safe for concurrent use.
package inference

import (
	"math"
	"slices"
	"time"
)

const (
	// firstMs, readMs and pairMs are what is taken for granted of a server before it is measured:
	// the fixed time of a first token, and for reading a thousand tokens and a million pairs of
	// tokens. tokenMs and slotMs are a token's time, alone and for each other stream.
	firstMs, readMs, pairMs = 20, 16, 0.3
	tokenMs, slotMs         = 5, 0.03
	// forget is what is left of an older sample of speeds with each further one.
	forget = 0.99
	// smooth is the weight of one sample in a mean, and fleetSmooth in one over all servers.
	smooth, fleetSmooth = 0.15, 0.02
	// loadMs is the time in which what a load report told fades to what is usual there, lagMs that
	// in which a server's lag behind its estimates is forgotten.
	loadMs, lagMs = 300.0, 5000.0
	// never is an estimate for what a server cannot hold at all.
	never = time.Hour
)

// Part is a part of a prompt. Its ID names the part alone, or after Chain the whole prompt up to
// and with it.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain appends the parts to out with the ids of the chains that end with them, for one model:
// what a server keeps of a part depends on all before it.
func Chain(out []Part, model string, parts []Part) []Part {
	h := uint64(14695981039346656037)
	for i := range len(model) {
		h = (h ^ uint64(model[i])) * 1099511628211
	}
	for _, p := range parts {
		h = Mix(h ^ Mix(p.ID))
		out = append(out, Part{h, max(p.Tokens, 0)})
	}
	return out
}

// Mix is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Load is what a server's answer tells of it: requests that run, that wait, and its places.
type Load struct{ Running, Waiting, Slots int }

// Shape is what a server can hold. MaxParts bounds the parts remembered of it, each of about
// BytesPerPart.
type Shape struct {
	Slots       int // requests at once; 0: not known
	CacheTokens int // 0: not known
	Stride      int // tokens to an event
	MaxParts    int
}

// Speeds is what was learned of all servers of one make.
type Speeds struct {
	first, token fit
	err          float64 // mean distance of first tokens from their estimates, in ms
	work         float64 // mean work of a prompt, in ms
	hold         float64 // mean time a request runs, in ms
	wait         float64 // mean of others' prompts that wait at a server
	order        float64 // part of the short prompts that waited for the long ones before them
}

// NewSpeeds returns what is believed before anything was measured.
func NewSpeeds() *Speeds {
	return &Speeds{
		first: newFit(forget, []float64{firstMs, readMs, pairMs}, []float64{2, 40, 2000},
			[]float64{0.1, 0.5, 0}, []float64{500, 200, 5}),
		token: newFit(forget, []float64{tokenMs, slotMs}, []float64{2, 400}, []float64{0.1, 0}, []float64{200, 5}),
		err:   30, work: 50, hold: 500, order: 1,
	}
}

// features of a prompt: a fixed part, thousands of tokens to read, and millions of pairs.
func features(cached, uncached int) [3]float64 {
	u := float64(uncached)
	return [3]float64{1, u / 1e3, u * (float64(cached) + u/2) / 1e6}
}

// read is the time in ms that the features take beyond the fixed one.
func (s *Speeds) read(x [3]float64) float64 {
	x[0] = 0
	return s.first.value(x)
}

// ReadTime is how long a server reads the tokens, with so many before them kept.
func (s *Speeds) ReadTime(cached, uncached int) time.Duration {
	return duration(s.read(features(cached, uncached)))
}

// Error is the usual distance of a first token from its estimate.
func (s *Speeds) Error() time.Duration { return duration(s.err) }

// TokenTime is the time between two tokens of a stream among so many others.
func (s *Speeds) TokenTime(others int) time.Duration {
	return duration(s.token.value([3]float64{1, float64(others)}))
}

// Server is one model server.
type Server struct {
	shape  Shape
	speeds *Speeds
	kept   kept
	unread []*Run // sent and without a first token, oldest first
	queue  queue  // prompts to read, own ones and those that other agents told of
	runs   int    // that give tokens
	tokens int    // of all runs, with those still to come

	load          Load
	loadAt        time.Duration
	loaded        bool
	ownRunning    int     // own runs at the time of the load
	othersWaiting float64 // others' prompts that waited there
	usual         float64 // mean of them
	lag           float64 // how much later than estimated its first tokens come, in ms
	lagAt         time.Duration
}

// NewServer returns a server of which nothing is known but its shape and its make's speeds.
func NewServer(shape Shape, speeds *Speeds) *Server {
	s := &Server{speeds: speeds, usual: speeds.wait}
	s.Reshape(shape)
	return s
}

// Reshape changes what the server can hold.
func (s *Server) Reshape(shape Shape) {
	s.shape = shape
	room := shape.CacheTokens
	if room <= 0 {
		room = math.MaxInt32
	}
	s.kept.resize(room, shape.MaxParts)
}

// Reset forgets what the server keeps: it holds other weights now.
func (s *Server) Reset() { s.kept.reset() }

// Run is one attempt of the agent's own at the server.
type Run struct {
	server           *Server
	parts            []Part // that it made the server read
	cached, uncached int
	out, events      int
	at, first, last  time.Duration
	before, work     float64 // in ms, as estimated: of others, and its own
	job              uint64  // its number in the queue
	behind           *Run    // a much longer one that was unread when it was sent
	batch            int
	reading, ended   bool // it has no first token; it is over
}

// Cached tells how many tokens of the prompt the server is taken to keep.
func (s *Server) Cached(chain []Part) (tokens int) {
	for _, p := range chain {
		if !s.kept.has(p.ID) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// Estimate is the time to the first token of a prompt that would be sent now, and the tokens of
// it that the server would have to read. The parts are a Chain; prompt and out count tokens.
func (s *Server) Estimate(now time.Duration, chain []Part, prompt, out int) (firstToken time.Duration, uncached int) {
	return s.EstimateWith(now, s.Cached(chain), prompt, out)
}

// EstimateWith is Estimate where the tokens that the server keeps are known otherwise.
func (s *Server) EstimateWith(now time.Duration, cached, prompt, out int) (firstToken time.Duration, uncached int) {
	if s.shape.CacheTokens > 0 && prompt+out > s.shape.CacheTokens {
		return never, prompt
	}
	cached = min(cached, max(prompt-1, 0))
	uncached = prompt - cached
	x := features(cached, uncached)
	return duration(max(s.before(now, s.speeds.read(x))+s.speeds.first.value(x)+s.Lag(now), 0.1)), uncached
}

// before is the time in ms that a prompt of so much work waits for others there.
func (s *Server) before(now time.Duration, work float64) float64 {
	if s.speeds.order > 0.5 {
		work = math.Inf(1)
	}
	wait := s.queue.left(now, work)
	if len(s.unread) > 0 {
		// The oldest own prompt is not read yet: at least its reading is left, and one that is
		// overdue may be as long again.
		oldest := s.unread[0]
		over := millis(now-oldest.at) - oldest.before - oldest.work - s.speeds.first.at[0] - 2*s.speeds.err
		wait += max(over, 0)
	}
	others := s.others(now)
	wait += others * s.speeds.work
	if slots := s.Slots(); slots > 0 {
		over := float64(s.Running(now)+len(s.unread)+1-slots) + others
		wait += max(over, 0) * s.speeds.hold / float64(slots)
	}
	if room := s.shape.CacheTokens; room > 0 && s.tokens > room {
		wait += s.speeds.hold
	}
	return wait
}

// others is how many prompts of other agents are taken to wait.
func (s *Server) others(now time.Duration) float64 {
	usual := max(s.usual-s.speeds.wait, 0) // what is usual everywhere is in every first token
	if !s.loaded {
		return usual
	}
	return usual + max(s.othersWaiting-s.usual, 0)*math.Exp(-millis(now-s.loadAt)/loadMs)
}

// Slots is the server's places, 0 if that is not known.
func (s *Server) Slots() int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return s.shape.Slots
}

// Running is how many requests are taken to run there, of all agents.
func (s *Server) Running(now time.Duration) int {
	if !s.loaded || now-s.loadAt > duration(4*s.speeds.hold) {
		return s.runs
	}
	return max(s.load.Running+s.runs-s.ownRunning, s.runs)
}

// Load is what the server told last, and its age.
func (s *Server) Load(now time.Duration) (load Load, age time.Duration, ok bool) {
	return s.load, now - s.loadAt, s.loaded
}

// Lag is how much later than estimated the server's first tokens come, in ms.
func (s *Server) Lag(now time.Duration) float64 {
	return s.lag * math.Exp(-millis(now-s.lagAt)/lagMs)
}

// Queued is the number of prompts that are taken to wait there, own ones and others'.
func (s *Server) Queued(now time.Duration) int { return s.queue.len(now) }

// Unread is the number of own prompts without a first token.
func (s *Server) Unread() int { return len(s.unread) }

// Begin takes a request that is sent to the server now.
func (s *Server) Begin(now time.Duration, chain []Part, prompt, out int) *Run {
	cached := min(s.Cached(chain), max(prompt-1, 0))
	work := s.speeds.read(features(cached, prompt-cached))
	r := &Run{server: s, cached: cached, uncached: prompt - cached, out: out, at: now, reading: true,
		before: s.before(now, work), work: work}
	for _, u := range s.unread {
		if u.work > 2*work+1 {
			r.behind = u
		}
	}
	for i, kept := 0, true; i < len(chain); i++ {
		if kept = kept && s.kept.has(chain[i].ID); !kept {
			r.parts = append(r.parts, chain[i])
		}
	}
	for _, p := range slices.Backward(chain) { // the first part is the last to give way
		s.kept.use(p.ID, p.Tokens)
	}
	s.unread = append(s.unread, r)
	r.job = s.queue.add(now, r.work)
	s.tokens += r.uncached + r.cached + r.out
	s.speeds.work += fleetSmooth * (r.work - s.speeds.work)
	return r
}

// Foreign takes a request that another agent sent there so long ago: the chain of its shared
// parts, its prompt, and what of that was to be read.
func (s *Server) Foreign(now, age time.Duration, chain []Part, prompt, uncached int) {
	uncached = min(max(uncached, 0), max(prompt, 0))
	s.queue.add(now-max(age, 0), s.speeds.read(features(prompt-uncached, uncached)))
	for _, p := range slices.Backward(chain) {
		s.kept.use(p.ID, max(p.Tokens, 0))
	}
}

// Uncached is the tokens that the server had to read, as estimated.
func (r *Run) Uncached() int { return r.uncached }

// Work is how long the server reads the prompt, as estimated.
func (r *Run) Work() time.Duration { return duration(r.work) }

// Sent tells when the request left, if that was later than its beginning: a connection came
// before it.
func (r *Run) Sent(now time.Duration) {
	if r.reading {
		r.at = max(r.at, now)
	}
}

// Events takes events of the answer; the first is the first token.
func (r *Run) Events(now time.Duration, n int) {
	if r.ended || n < 1 {
		return
	}
	r.events += n
	r.last = now
	if !r.reading {
		return
	}
	s := r.server
	r.first, r.reading = now, false
	s.forgetUnread(r)
	s.runs++
	if r.behind != nil {
		waited := 1.0
		if r.behind.reading && !r.behind.ended {
			waited = 0
		}
		s.speeds.order += 5 * fleetSmooth * (waited - s.speeds.order)
		r.behind = nil
	}
	s.queue.read(r.job, s.speeds.order > 0.5)
	r.batch = s.Running(now)
	// What a first token takes beyond those before it.
	took := millis(now-r.at) - r.before
	x := features(r.cached, r.uncached)
	expect := s.speeds.first.value(x)
	off := took - expect - s.Lag(now)
	s.speeds.err += fleetSmooth * (math.Abs(off) - s.speeds.err)
	s.lag = min(max(s.Lag(now)+smooth*off, 0), 5000)
	s.lagAt = now
	s.speeds.first.add(x, min(max(took, expect/4), 2*expect+20)) // a queue is not a speed
}

// End takes the end of the attempt, once. One that never ran has read nothing.
func (r *Run) End(now time.Duration, ran bool) {
	if r.ended {
		return
	}
	r.ended, r.behind = true, nil
	s := r.server
	s.tokens -= r.uncached + r.cached + r.out
	if r.reading {
		s.forgetUnread(r)
		s.queue.read(r.job, false)
		if !ran {
			for _, p := range r.parts {
				s.kept.forget(p.ID)
			}
		}
		return
	}
	s.runs--
	s.speeds.hold += fleetSmooth * (millis(now-r.first) - s.speeds.hold)
	if more := (r.events - 1) * max(s.shape.Stride, 1); more > 0 {
		s.speeds.token.add([3]float64{1, float64(r.batch)}, millis(r.last-r.first)/float64(more))
	}
}

// Heard takes the load that an answer told.
func (s *Server) Heard(now time.Duration, load Load) {
	if load.Running < 0 || load.Waiting < 0 || load.Slots < 0 {
		return
	}
	s.load, s.loadAt, s.loaded, s.ownRunning = load, now, true, s.runs
	s.othersWaiting = float64(max(load.Waiting-s.queue.len(now), 0))
	s.usual += smooth * (s.othersWaiting - s.usual)
	s.speeds.wait += fleetSmooth * (s.othersWaiting - s.speeds.wait)
}

func (s *Server) forgetUnread(r *Run) {
	if i := slices.Index(s.unread, r); i >= 0 {
		s.unread = slices.Delete(s.unread, i, i+1)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration {
	return time.Duration(min(ms, 1e12) * float64(time.Millisecond))
}
