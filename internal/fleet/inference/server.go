package inference

import (
	"math"
	"slices"
	"time"
)

const (
	// loadDecayMs is the time constant by which a reported load returns to what is usual there.
	loadDecayMs = 300.0
	// lagDecayMs is the time constant by which a server's lag is forgotten, and maxLagMs its limit.
	lagDecayMs, maxLagMs = 5000.0, 5000.0
	// loadLifetime is for how many mean decode times a reported number of running requests is valid.
	loadLifetime = 4
	// minEstimateMs is the shortest time to a first token that is estimated.
	minEstimateMs = 0.1
	// unservable is the estimate for a prompt that does not fit into a server's KV cache.
	unservable = time.Hour
)

// Load is the load that a server reports with a response: the requests that run and that wait,
// and how many it runs at once.
type Load struct {
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	Slots   int `json:"Slots"`
}

// valid reports whether a server can have sent the load.
func (l Load) valid() bool { return l.Running >= 0 && l.Waiting >= 0 && l.Slots >= 0 }

// Capacity is what a server can hold. Zero means unknown, but for MaxPrefixes.
type Capacity struct {
	Slots          int // requests at once
	CacheTokens    int // tokens in the KV cache
	TokensPerEvent int // tokens of a response event
	// MaxPrefixes bounds the prefixes that are tracked for the server, each of about
	// BytesPerPrefix.
	MaxPrefixes int
}

// Server is the estimated state of one model server.
type Server struct {
	capacity       Capacity
	latency        *LatencyModel
	cache          prefixCache
	prefilling     []*Sequence  // sent and without a first token, oldest first
	queue          prefillQueue // prompts to prefill, of this agent and of others
	decoding       int          // sequences of this agent that have a first token
	reservedTokens int          // of all sequences, with the output that may still come

	load              Load
	loadAt            time.Duration
	hasLoad           bool
	ownDecodingAtLoad int
	peerQueue         float64 // prompts of other agents that waited when the load was reported
	meanPeerQueue     float64
	lagMs             float64 // how much later than estimated its first tokens come
	lagAt             time.Duration
}

// NewServer returns a server of which only the capacity and the service's latencies are known.
func NewServer(capacity Capacity, latency *LatencyModel) *Server {
	s := &Server{latency: latency, meanPeerQueue: latency.meanPeerQueue}
	s.SetCapacity(capacity)
	return s
}

// SetCapacity changes what the server can hold. Tracked prefixes beyond it are dropped.
func (s *Server) SetCapacity(capacity Capacity) {
	s.capacity = capacity
	maxTokens := capacity.CacheTokens
	if maxTokens <= 0 {
		maxTokens = math.MaxInt32
	}
	s.cache.resize(maxTokens, capacity.MaxPrefixes)
}

// ResetCache forgets the cached prefixes: the server has loaded other weights.
func (s *Server) ResetCache() { s.cache.reset() }

// CachedTokens is how many tokens at the head of the prompt are estimated to be cached.
func (s *Server) CachedTokens(prefixes []Segment) (tokens int) {
	for _, prefix := range prefixes {
		if !s.cache.contains(prefix.ID) {
			break
		}
		tokens += prefix.Tokens
	}
	return tokens
}

// EstimateFirstToken is the time to the first token of a prompt that would be sent now, and how
// many of its tokens the server would have to prefill. The prefixes come from AppendPrefixes;
// prompt and output count tokens.
func (s *Server) EstimateFirstToken(now time.Duration, prefixes []Segment, prompt, output int) (firstToken time.Duration, uncached int) {
	return s.EstimateFirstTokenCached(now, s.CachedTokens(prefixes), prompt, output)
}

// EstimateFirstTokenCached is EstimateFirstToken for a given number of cached tokens.
func (s *Server) EstimateFirstTokenCached(now time.Duration, cached, prompt, output int) (firstToken time.Duration, uncached int) {
	if s.capacity.CacheTokens > 0 && prompt+output > s.capacity.CacheTokens {
		return unservable, prompt
	}
	cached = min(cached, max(prompt-1, 0)) // the last token is always computed
	uncached = prompt - cached
	features := promptFeatures(cached, uncached)
	ms := s.queueDelayMs(now, s.latency.prefillMs(features)) + s.latency.firstToken.predict(features) + s.LagMs(now)
	return duration(max(ms, minEstimateMs)), uncached
}

// queueDelayMs is how long a prompt with so much prefill of its own waits for others.
func (s *Server) queueDelayMs(now time.Duration, prefillMs float64) float64 {
	longest := prefillMs // where prefills are interleaved, none delays it by more than its own
	if s.latency.prefillsInOrder() {
		longest = math.Inf(1)
	}
	delay := s.queue.backlogMs(now, longest)
	delay += s.overdueMs(now)
	peers := s.peerQueueLength(now)
	delay += peers * s.latency.meanPrefillMs
	if slots := s.Slots(); slots > 0 {
		excess := float64(s.Running(now)+len(s.prefilling)+1-slots) + peers
		delay += max(excess, 0) * s.latency.meanDecodeMs / float64(slots)
	}
	if limit := s.capacity.CacheTokens; limit > 0 && s.reservedTokens > limit {
		delay += s.latency.meanDecodeMs
	}
	return delay
}

// overdueMs is by how much the oldest prefill of this agent is overdue: it may take as long again.
func (s *Server) overdueMs(now time.Duration) float64 {
	if len(s.prefilling) == 0 {
		return 0
	}
	oldest := s.prefilling[0]
	fixed := s.latency.firstToken.coefficients[0]
	overdue := millis(now-oldest.sentAt) - oldest.queueDelayMs - oldest.prefillMs - fixed - 2*s.latency.errorMs
	return max(overdue, 0)
}

// peerQueueLength is how many prompts of other agents are estimated to wait.
func (s *Server) peerQueueLength(now time.Duration) float64 {
	// What is usual at all servers is part of every first token that was learned from.
	usual := max(s.meanPeerQueue-s.latency.meanPeerQueue, 0)
	if !s.hasLoad {
		return usual
	}
	return usual + max(s.peerQueue-s.meanPeerQueue, 0)*math.Exp(-millis(now-s.loadAt)/loadDecayMs)
}

// Slots is how many requests the server runs at once, 0 if that is unknown. What the server
// reports takes precedence over the configuration.
func (s *Server) Slots() int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return s.capacity.Slots
}

// Running is how many requests of all agents are estimated to be decoded.
func (s *Server) Running(now time.Duration) int {
	if !s.hasLoad || now-s.loadAt > duration(loadLifetime*s.latency.meanDecodeMs) {
		return s.decoding
	}
	return max(s.load.Running+s.decoding-s.ownDecodingAtLoad, s.decoding)
}

// Load is the load that the server reported last, and its age. ok is false if there was none.
func (s *Server) Load(now time.Duration) (load Load, age time.Duration, ok bool) {
	return s.load, now - s.loadAt, s.hasLoad
}

// LagMs is how much later than estimated the server's first tokens come, in milliseconds.
func (s *Server) LagMs(now time.Duration) float64 {
	return s.lagMs * math.Exp(-millis(now-s.lagAt)/lagDecayMs)
}

// QueuedPrefills is the estimated number of prompts of all agents that are not prefilled.
func (s *Server) QueuedPrefills(now time.Duration) int { return s.queue.len(now) }

// OwnPrefills is the number of this agent's prompts without a first token.
func (s *Server) OwnPrefills() int { return len(s.prefilling) }

// Begin records a request that this agent sends to the server now.
func (s *Server) Begin(now time.Duration, prefixes []Segment, prompt, output int) *Sequence {
	cached := min(s.CachedTokens(prefixes), max(prompt-1, 0))
	prefillMs := s.latency.prefillMs(promptFeatures(cached, prompt-cached))
	q := &Sequence{
		server:          s,
		cachedTokens:    cached,
		uncachedTokens:  prompt - cached,
		maxOutputTokens: output,
		sentAt:          now,
		prefilling:      true,
		queueDelayMs:    s.queueDelayMs(now, prefillMs),
		prefillMs:       prefillMs,
		longerAhead:     s.longerPrefill(prefillMs),
		newPrefixes:     s.uncachedPrefixes(prefixes),
	}
	s.touch(prefixes)
	s.prefilling = append(s.prefilling, q)
	q.queueID = s.queue.push(now, q.prefillMs)
	s.reservedTokens += q.reservedTokens()
	s.latency.meanPrefillMs += fleetSmoothing * (q.prefillMs - s.latency.meanPrefillMs)
	return q
}

// longerPrefill is the latest prefill in flight that is much longer, or nil.
func (s *Server) longerPrefill(prefillMs float64) *Sequence {
	for _, other := range slices.Backward(s.prefilling) {
		if other.prefillMs > 2*prefillMs+1 {
			return other
		}
	}
	return nil
}

// uncachedPrefixes is the tail of the prompt's prefixes that the server does not hold.
func (s *Server) uncachedPrefixes(prefixes []Segment) []Segment {
	for i, prefix := range prefixes {
		if !s.cache.contains(prefix.ID) {
			return slices.Clone(prefixes[i:])
		}
	}
	return nil
}

// touch marks the prefixes as used, so that the first one is evicted last.
func (s *Server) touch(prefixes []Segment) {
	for _, prefix := range slices.Backward(prefixes) {
		s.cache.touch(prefix.ID, max(prefix.Tokens, 0))
	}
}

// BeginRemote records a request that another agent sent to the server age ago: its shared
// prefixes, the tokens of its prompt, and how many of them were not cached.
func (s *Server) BeginRemote(now, age time.Duration, prefixes []Segment, prompt, uncached int) {
	uncached = min(max(uncached, 0), max(prompt, 0))
	s.queue.push(now-max(age, 0), s.latency.prefillMs(promptFeatures(prompt-uncached, uncached)))
	s.touch(prefixes)
}

// ObserveLoad records the load that a response reported. Invalid loads are ignored.
func (s *Server) ObserveLoad(now time.Duration, load Load) {
	if !load.valid() {
		return
	}
	s.load, s.loadAt, s.hasLoad = load, now, true
	s.ownDecodingAtLoad = s.decoding
	s.peerQueue = float64(max(load.Waiting-s.queue.len(now), 0))
	s.meanPeerQueue += serverSmoothing * (s.peerQueue - s.meanPeerQueue)
	s.latency.meanPeerQueue += fleetSmoothing * (s.peerQueue - s.latency.meanPeerQueue)
}

// removePrefilling takes a sequence off the list of those without a first token.
func (s *Server) removePrefilling(q *Sequence) {
	if i := slices.Index(s.prefilling, q); i >= 0 {
		s.prefilling = slices.Delete(s.prefilling, i, i+1)
	}
}
