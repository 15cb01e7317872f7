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
	// priorFirstTokenMs, priorPrefillMs and priorAttentionMs are what is taken for granted of a server before it is measured:
	// the fixed time of a first token, and for reading a thousand tokens and a million pairs of
	// tokens. priorDecodeMs and priorDecodePerStreamMs are a token's time, alone and for each other stream.
	priorFirstTokenMs, priorPrefillMs, priorAttentionMs = 20, 16, 0.3
	priorDecodeMs, priorDecodePerStreamMs               = 5, 0.03
	// sampleRetention is what is left of an older sample of speeds with each further one.
	sampleRetention = 0.99
	// serverSmoothing is the weight of one sample in a mean, and fleetSmoothing in one over all servers.
	serverSmoothing, fleetSmoothing = 0.15, 0.02
	// loadDecayMs is the time in which what a load report told fades to what is usual there, lagDecayMs that
	// in which a server's lag behind its estimates is forgotten.
	loadDecayMs, lagDecayMs = 300.0, 5000.0
	// unservable is an estimate for what a server cannot hold at all.
	unservable = time.Hour
)

// Segment is a part of a prompt. Its ID names the part alone, or after Chain the whole prompt up to
// and with it.
type Segment struct {
	ID     uint64 `msgpack:"ID"`
	Tokens int    `msgpack:"Tokens"`
}

// AppendPrefixes appends the parts to out with the ids of the chains that end with them, for one model:
// what a server keeps of a part depends on all before it.
func AppendPrefixes(out []Segment, model string, parts []Segment) []Segment {
	h := uint64(14695981039346656037)
	for i := range len(model) {
		h = (h ^ uint64(model[i])) * 1099511628211
	}
	for _, p := range parts {
		h = Mix64(h ^ Mix64(p.ID))
		out = append(out, Segment{h, max(p.Tokens, 0)})
	}
	return out
}

// Mix64 is the finalizer of splitmix64.
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Load is what a server's answer tells of it: requests that run, that wait, and its places.
type Load struct {
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	Slots   int `json:"Slots"`
}

// Capacity is what a server can hold. MaxPrefixes bounds the parts remembered of it, each of about
// BytesPerPrefix.
type Capacity struct {
	Slots          int // requests at once; 0: not known
	CacheTokens    int // 0: not known
	TokensPerEvent int // tokens to an event
	MaxPrefixes    int
}

// LatencyModel is what was learned of all servers of one make.
type LatencyModel struct {
	firstToken, decode linearFit
	errorMs            float64 // mean distance of first tokens from their estimates, in ms
	meanPrefillMs      float64 // mean work of a prompt, in ms
	meanDecodeMs       float64 // mean time a request runs, in ms
	meanPeerQueue      float64 // mean of others' prompts that wait at a server
	fifoRatio          float64 // part of the short prompts that waited for the long ones before them
}

// NewLatencyModel returns what is believed before anything was measured.
func NewLatencyModel() *LatencyModel {
	return &LatencyModel{
		firstToken: newLinearFit(sampleRetention, []float64{priorFirstTokenMs, priorPrefillMs, priorAttentionMs}, []float64{2, 40, 2000},
			[]float64{0.1, 0.5, 0}, []float64{500, 200, 5}),
		decode:  newLinearFit(sampleRetention, []float64{priorDecodeMs, priorDecodePerStreamMs}, []float64{2, 400}, []float64{0.1, 0}, []float64{200, 5}),
		errorMs: 30, meanPrefillMs: 50, meanDecodeMs: 500, fifoRatio: 1,
	}
}

// promptFeatures of a prompt: a fixed part, thousands of tokens to read, and millions of pairs.
func promptFeatures(cached, uncached int) [3]float64 {
	u := float64(uncached)
	return [3]float64{1, u / 1e3, u * (float64(cached) + u/2) / 1e6}
}

// prefillMs is the time in ms that the features take beyond the fixed one.
func (s *LatencyModel) prefillMs(x [3]float64) float64 {
	x[0] = 0
	return s.firstToken.predict(x)
}

// PrefillTime is how long a server reads the tokens, with so many before them kept.
func (s *LatencyModel) PrefillTime(cached, uncached int) time.Duration {
	return duration(s.prefillMs(promptFeatures(cached, uncached)))
}

// FirstTokenError is the usual distance of a first token from its estimate.
func (s *LatencyModel) FirstTokenError() time.Duration { return duration(s.errorMs) }

// TimePerOutputToken is the time between two tokens of a stream among so many others.
func (s *LatencyModel) TimePerOutputToken(others int) time.Duration {
	return duration(s.decode.predict([3]float64{1, float64(others)}))
}

// Server is one model server.
type Server struct {
	capacity       Capacity
	latency        *LatencyModel
	cache          prefixCache
	prefilling     []*Sequence  // sent and without a first token, oldest first
	queue          prefillQueue // prompts to read, own ones and those that other agents told of
	decoding       int          // that give tokens
	reservedTokens int          // of all runs, with those still to come

	load              Load
	loadAt            time.Duration
	hasLoad           bool
	ownDecodingAtLoad int     // own runs at the time of the load
	peerQueue         float64 // others' prompts that waited there
	meanPeerQueue     float64 // mean of them
	lagMs             float64 // how much later than estimated its first tokens come, in ms
	lagAt             time.Duration
}

// NewServer returns a server of which nothing is known but its shape and its make's speeds.
func NewServer(shape Capacity, speeds *LatencyModel) *Server {
	s := &Server{latency: speeds, meanPeerQueue: speeds.meanPeerQueue}
	s.SetCapacity(shape)
	return s
}

// SetCapacity changes what the server can hold.
func (s *Server) SetCapacity(shape Capacity) {
	s.capacity = shape
	room := shape.CacheTokens
	if room <= 0 {
		room = math.MaxInt32
	}
	s.cache.resize(room, shape.MaxPrefixes)
}

// ResetCache forgets what the server keeps: it holds other weights now.
func (s *Server) ResetCache() { s.cache.reset() }

// Sequence is one attempt of the agent's own at the server.
type Sequence struct {
	server                            *Server
	newPrefixes                       []Segment // that it made the server read
	cachedTokens, uncachedTokens      int
	maxOutputTokens, events           int
	sentAt, firstEventAt, lastEventAt time.Duration
	queueDelayMs, prefillMs           float64   // in ms, as estimated: of others, and its own
	queueID                           uint64    // its number in the queue
	longerAhead                       *Sequence // a much longer one that was unread when it was sent
	decodeBatch                       int
	prefilling, ended                 bool // it has no first token; it is over
}

// CachedTokens tells how many tokens of the prompt the server is taken to keep.
func (s *Server) CachedTokens(chain []Segment) (tokens int) {
	for _, p := range chain {
		if !s.cache.contains(p.ID) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// EstimateFirstToken is the time to the first token of a prompt that would be sent now, and the tokens of
// it that the server would have to read. The parts are a Chain; prompt and out count tokens.
func (s *Server) EstimateFirstToken(now time.Duration, chain []Segment, prompt, out int) (firstToken time.Duration, uncached int) {
	return s.EstimateFirstTokenCached(now, s.CachedTokens(chain), prompt, out)
}

// EstimateFirstTokenCached is Estimate where the tokens that the server keeps are known otherwise.
func (s *Server) EstimateFirstTokenCached(now time.Duration, cached, prompt, out int) (firstToken time.Duration, uncached int) {
	if s.capacity.CacheTokens > 0 && prompt+out > s.capacity.CacheTokens {
		return unservable, prompt
	}
	cached = min(cached, max(prompt-1, 0))
	uncached = prompt - cached
	x := promptFeatures(cached, uncached)
	return duration(max(s.queueDelayMs(now, s.latency.prefillMs(x))+s.latency.firstToken.predict(x)+s.LagMs(now), 0.1)), uncached
}

// queueDelayMs is the time in ms that a prompt of so much work waits for others there.
func (s *Server) queueDelayMs(now time.Duration, work float64) float64 {
	if s.latency.fifoRatio > 0.5 {
		work = math.Inf(1)
	}
	wait := s.queue.backlogMs(now, work)
	if len(s.prefilling) > 0 {
		// The oldest own prompt is not read yet: at least its reading is left, and one that is
		// overdue may be as long again.
		oldest := s.prefilling[0]
		over := millis(now-oldest.sentAt) - oldest.queueDelayMs - oldest.prefillMs - s.latency.firstToken.coefficients[0] - 2*s.latency.errorMs
		wait += max(over, 0)
	}
	others := s.peerQueueLength(now)
	wait += others * s.latency.meanPrefillMs
	if slots := s.Slots(); slots > 0 {
		over := float64(s.Running(now)+len(s.prefilling)+1-slots) + others
		wait += max(over, 0) * s.latency.meanDecodeMs / float64(slots)
	}
	if room := s.capacity.CacheTokens; room > 0 && s.reservedTokens > room {
		wait += s.latency.meanDecodeMs
	}
	return wait
}

// peerQueueLength is how many prompts of other agents are taken to wait.
func (s *Server) peerQueueLength(now time.Duration) float64 {
	usual := max(s.meanPeerQueue-s.latency.meanPeerQueue, 0) // what is usual everywhere is in every first token
	if !s.hasLoad {
		return usual
	}
	return usual + max(s.peerQueue-s.meanPeerQueue, 0)*math.Exp(-millis(now-s.loadAt)/loadDecayMs)
}

// Slots is the server's places, 0 if that is not known.
func (s *Server) Slots() int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return s.capacity.Slots
}

// Running is how many requests are taken to run there, of all agents.
func (s *Server) Running(now time.Duration) int {
	if !s.hasLoad || now-s.loadAt > duration(4*s.latency.meanDecodeMs) {
		return s.decoding
	}
	return max(s.load.Running+s.decoding-s.ownDecodingAtLoad, s.decoding)
}

// Load is what the server told last, and its age.
func (s *Server) Load(now time.Duration) (load Load, age time.Duration, ok bool) {
	return s.load, now - s.loadAt, s.hasLoad
}

// LagMs is how much later than estimated the server's first tokens come, in ms.
func (s *Server) LagMs(now time.Duration) float64 {
	return s.lagMs * math.Exp(-millis(now-s.lagAt)/lagDecayMs)
}

// QueuedPrefills is the number of prompts that are taken to wait there, own ones and others'.
func (s *Server) QueuedPrefills(now time.Duration) int { return s.queue.len(now) }

// OwnPrefills is the number of own prompts without a first token.
func (s *Server) OwnPrefills() int { return len(s.prefilling) }

// Begin takes a request that is sent to the server now.
func (s *Server) Begin(now time.Duration, chain []Segment, prompt, out int) *Sequence {
	cached := min(s.CachedTokens(chain), max(prompt-1, 0))
	work := s.latency.prefillMs(promptFeatures(cached, prompt-cached))
	r := &Sequence{server: s, cachedTokens: cached, uncachedTokens: prompt - cached, maxOutputTokens: out, sentAt: now, prefilling: true,
		queueDelayMs: s.queueDelayMs(now, work), prefillMs: work}
	for _, u := range s.prefilling {
		if u.prefillMs > 2*work+1 {
			r.longerAhead = u
		}
	}
	for i, kept := 0, true; i < len(chain); i++ {
		if kept = kept && s.cache.contains(chain[i].ID); !kept {
			r.newPrefixes = append(r.newPrefixes, chain[i])
		}
	}
	for _, p := range slices.Backward(chain) { // the first part is the last to give way
		s.cache.touch(p.ID, p.Tokens)
	}
	s.prefilling = append(s.prefilling, r)
	r.queueID = s.queue.push(now, r.prefillMs)
	s.reservedTokens += r.uncachedTokens + r.cachedTokens + r.maxOutputTokens
	s.latency.meanPrefillMs += fleetSmoothing * (r.prefillMs - s.latency.meanPrefillMs)
	return r
}

// BeginRemote takes a request that another agent sent there so long ago: the chain of its shared
// parts, its prompt, and what of that was to be read.
func (s *Server) BeginRemote(now, age time.Duration, chain []Segment, prompt, uncached int) {
	uncached = min(max(uncached, 0), max(prompt, 0))
	s.queue.push(now-max(age, 0), s.latency.prefillMs(promptFeatures(prompt-uncached, uncached)))
	for _, p := range slices.Backward(chain) {
		s.cache.touch(p.ID, max(p.Tokens, 0))
	}
}

// UncachedTokens is the tokens that the server had to read, as estimated.
func (r *Sequence) UncachedTokens() int { return r.uncachedTokens }

// PrefillTime is how long the server reads the prompt, as estimated.
func (r *Sequence) PrefillTime() time.Duration { return duration(r.prefillMs) }

// Sent tells when the request left, if that was later than its beginning: a connection came
// before it.
func (r *Sequence) Sent(now time.Duration) {
	if r.prefilling {
		r.sentAt = max(r.sentAt, now)
	}
}

// Events takes events of the answer; the first is the first token.
func (r *Sequence) Events(now time.Duration, n int) {
	if r.ended || n < 1 {
		return
	}
	r.events += n
	r.lastEventAt = now
	if !r.prefilling {
		return
	}
	s := r.server
	r.firstEventAt, r.prefilling = now, false
	s.removePrefilling(r)
	s.decoding++
	if r.longerAhead != nil {
		waited := 1.0
		if r.longerAhead.prefilling && !r.longerAhead.ended {
			waited = 0
		}
		s.latency.fifoRatio += 5 * fleetSmoothing * (waited - s.latency.fifoRatio)
		r.longerAhead = nil
	}
	s.queue.complete(r.queueID, s.latency.fifoRatio > 0.5)
	r.decodeBatch = s.Running(now)
	// What a first token takes beyond those before it.
	took := millis(now-r.sentAt) - r.queueDelayMs
	x := promptFeatures(r.cachedTokens, r.uncachedTokens)
	expect := s.latency.firstToken.predict(x)
	off := took - expect - s.LagMs(now)
	s.latency.errorMs += fleetSmoothing * (math.Abs(off) - s.latency.errorMs)
	s.lagMs = min(max(s.LagMs(now)+serverSmoothing*off, 0), 5000)
	s.lagAt = now
	s.latency.firstToken.observe(x, min(max(took, expect/4), 2*expect+20)) // a queue is not a speed
}

// End takes the end of the attempt, once. One that never ran has read nothing.
func (r *Sequence) End(now time.Duration, ran bool) {
	if r.ended {
		return
	}
	r.ended, r.longerAhead = true, nil
	s := r.server
	s.reservedTokens -= r.uncachedTokens + r.cachedTokens + r.maxOutputTokens
	if r.prefilling {
		s.removePrefilling(r)
		s.queue.complete(r.queueID, false)
		if !ran {
			for _, p := range r.newPrefixes {
				s.cache.remove(p.ID)
			}
		}
		return
	}
	s.decoding--
	s.latency.meanDecodeMs += fleetSmoothing * (millis(now-r.firstEventAt) - s.latency.meanDecodeMs)
	if more := (r.events - 1) * max(s.capacity.TokensPerEvent, 1); more > 0 {
		s.latency.decode.observe([3]float64{1, float64(r.decodeBatch)}, millis(r.lastEventAt-r.firstEventAt)/float64(more))
	}
}

// ObserveLoad takes the load that an answer told.
func (s *Server) ObserveLoad(now time.Duration, load Load) {
	if load.Running < 0 || load.Waiting < 0 || load.Slots < 0 {
		return
	}
	s.load, s.loadAt, s.hasLoad, s.ownDecodingAtLoad = load, now, true, s.decoding
	s.peerQueue = float64(max(load.Waiting-s.queue.len(now), 0))
	s.meanPeerQueue += serverSmoothing * (s.peerQueue - s.meanPeerQueue)
	s.latency.meanPeerQueue += fleetSmoothing * (s.peerQueue - s.latency.meanPeerQueue)
}

func (s *Server) removePrefilling(r *Sequence) {
	if i := slices.Index(s.prefilling, r); i >= 0 {
		s.prefilling = slices.Delete(s.prefilling, i, i+1)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration {
	return time.Duration(min(ms, 1e12) * float64(time.Millisecond))
}
