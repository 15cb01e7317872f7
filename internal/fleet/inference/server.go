package inference

import (
	"math"
	"slices"
	"time"
)

const (
	// loadDecayMs is the time constant with which a reported load decays to the server's mean.
	loadDecayMs = 300.0
	// lagDecayMs is the time constant with which a server's lag decays, and maxLagMs is its limit.
	lagDecayMs, maxLagMs = 5000.0, 5000.0
	// A reported number of running requests is used for loadLifetimeFactor times the mean decode time.
	loadLifetimeFactor = 4
	// minEstimateMs is the shortest time to the first token that is estimated.
	minEstimateMs = 0.1
	// unservableEstimate is the estimate for a prompt that does not fit into a server's KV cache.
	unservableEstimate = time.Hour
)

// Load is the load that a server reports with a response.
type Load struct {
	Running int `json:"Running"` // requests that run
	Waiting int `json:"Waiting"` // requests that wait
	Slots   int `json:"Slots"`   // requests that can run at once; zero if unknown
}

// valid reports whether no number of the load is negative.
func (l Load) valid() bool { return l.Running >= 0 && l.Waiting >= 0 && l.Slots >= 0 }

// Capacity describes how much a server can hold. In all fields but MaxPrefixes zero means unknown.
type Capacity struct {
	Slots          int // requests that can run at once
	CacheTokens    int // capacity of the KV cache in tokens
	TokensPerEvent int // tokens in one event of a response stream
	// MaxPrefixes bounds the number of prefixes that are tracked for the server. Each takes about
	// BytesPerPrefix of memory.
	MaxPrefixes int
}

// Server is the estimated state of one model server.
type Server struct {
	capacity       Capacity
	latency        *LatencyModel
	cache          prefixCache
	prefilling     []*Sequence  // sequences of this agent without a first token, oldest first
	queue          prefillQueue // prompts of this and other agents that have to be prefilled
	decoding       int          // number of sequences of this agent that have a first token
	reservedTokens int          // KV cache tokens of this agent's sequences, including output that may still come

	load              Load // the last reported load
	loadAt            time.Duration
	hasLoad           bool
	ownDecodingAtLoad int     // value of decoding when the load was reported
	peerQueue         float64 // prompts of other agents that waited when the load was reported
	meanPeerQueue     float64 // smoothed peerQueue
	lagMs             float64 // by how much first tokens come later than estimated, as of lagAt
	lagAt             time.Duration
}

// NewServer returns a server with the given capacity to which nothing was sent yet. The latency model is
// shared by all servers of its service.
func NewServer(capacity Capacity, latency *LatencyModel) *Server {
	s := &Server{latency: latency, meanPeerQueue: latency.meanPeerQueue}
	s.SetCapacity(capacity)
	return s
}

// SetCapacity changes the server's capacity. Tracked prefixes that exceed it are evicted.
func (s *Server) SetCapacity(capacity Capacity) {
	s.capacity = capacity
	maxTokens := capacity.CacheTokens
	if maxTokens <= 0 {
		maxTokens = math.MaxInt32
	}
	s.cache.resize(maxTokens, capacity.MaxPrefixes)
}

// ResetCache removes all tracked prefixes. It is called when the server has loaded other weights.
func (s *Server) ResetCache() { s.cache.reset() }

// CachedTokens returns the estimated number of tokens at the start of the prompt that are cached.
func (s *Server) CachedTokens(prefixes []Segment) (tokens int) {
	for _, prefix := range prefixes {
		if !s.cache.contains(prefix.ID) {
			break
		}
		tokens += prefix.Tokens
	}
	return tokens
}

// EstimateFirstToken estimates the time to the first token of a prompt that is sent now, and how
// many of its tokens the server has to prefill. The prefixes come from AppendPrefixes; prompt and
// output are numbers of tokens.
func (s *Server) EstimateFirstToken(
	now time.Duration, prefixes []Segment, prompt, output int,
) (firstToken time.Duration, uncached int) {
	return s.EstimateFirstTokenCached(now, s.CachedTokens(prefixes), prompt, output)
}

// EstimateFirstTokenCached is EstimateFirstToken for a given number of cached tokens.
func (s *Server) EstimateFirstTokenCached(
	now time.Duration, cached, prompt, output int,
) (firstToken time.Duration, uncached int) {
	if s.capacity.CacheTokens > 0 && prompt+output > s.capacity.CacheTokens {
		return unservableEstimate, prompt
	}
	cached = min(cached, max(prompt-1, 0)) // at least one token of a prompt is always computed
	uncached = prompt - cached
	features := promptFeatures(cached, uncached)
	ms := s.queueDelayMs(now, s.latency.prefillMs(features)) + s.latency.firstToken.predict(features) + s.LagMs(now)
	return duration(max(ms, minEstimateMs)), uncached
}

// queueDelayMs estimates how long a prompt that is sent now and takes prefillMs waits for other
// prompts.
func (s *Server) queueDelayMs(now time.Duration, prefillMs float64) float64 {
	maxEachMs := prefillMs // interleaved prefills each delay the prompt by its own prefill time at most
	if s.latency.prefillsInOrder() {
		maxEachMs = math.Inf(1)
	}
	delayMs := s.queue.backlogMs(now, maxEachMs)
	delayMs += s.overdueMs(now)
	peers := s.peerQueueLength(now)
	delayMs += peers * s.latency.meanPrefillMs
	if slots := s.Slots(); slots > 0 {
		excessRequests := float64(s.Running(now)+len(s.prefilling)+1-slots) + peers
		delayMs += max(excessRequests, 0) * s.latency.meanDecodeMs / float64(slots)
	}
	if limit := s.capacity.CacheTokens; limit > 0 && s.reservedTokens > limit {
		delayMs += s.latency.meanDecodeMs
	}
	return delayMs
}

// overdueMs returns by how much the oldest prefill of this agent is overdue, 0 if it is not. The
// prefill is assumed to take that long again.
func (s *Server) overdueMs(now time.Duration) float64 {
	if len(s.prefilling) == 0 {
		return 0
	}
	oldest := s.prefilling[0]
	fixedMs := s.latency.firstToken.coefficients[0]
	overdueMs := millis(now-oldest.sentAt) - oldest.queueDelayMs - oldest.prefillMs - fixedMs - 2*s.latency.errorMs
	return max(overdueMs, 0)
}

// peerQueueLength estimates how many prompts of other agents wait, beyond the mean of all servers.
func (s *Server) peerQueueLength(now time.Duration) float64 {
	// The mean queue of all servers is left out: the learned first-token times already include it.
	meanExcess := max(s.meanPeerQueue-s.latency.meanPeerQueue, 0)
	if !s.hasLoad {
		return meanExcess
	}
	return meanExcess + max(s.peerQueue-s.meanPeerQueue, 0)*math.Exp(-millis(now-s.loadAt)/loadDecayMs)
}

// Slots returns how many requests the server can run at once, or 0 if that is unknown. The number
// that the server reports takes precedence over the configured one.
func (s *Server) Slots() int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return s.capacity.Slots
}

// Running estimates how many requests of all agents are being decoded.
func (s *Server) Running(now time.Duration) int {
	if !s.hasLoad || now-s.loadAt > duration(loadLifetimeFactor*s.latency.meanDecodeMs) {
		return s.decoding
	}
	return max(s.load.Running+s.decoding-s.ownDecodingAtLoad, s.decoding)
}

// Load returns the load that the server reported last, and its age. ok is false if it reported none.
func (s *Server) Load(now time.Duration) (load Load, age time.Duration, ok bool) {
	return s.load, now - s.loadAt, s.hasLoad
}

// LagMs returns by how many milliseconds the server's first tokens come later than estimated.
func (s *Server) LagMs(now time.Duration) float64 {
	return s.lagMs * math.Exp(-millis(now-s.lagAt)/lagDecayMs)
}

// QueuedPrefills estimates how many prompts of this and other agents the server still has to prefill.
func (s *Server) QueuedPrefills(now time.Duration) int { return s.queue.len(now) }

// OwnPrefills returns the number of this agent's sequences without a first token.
func (s *Server) OwnPrefills() int { return len(s.prefilling) }

// Begin records that this agent sends a request to the server now. The prefixes come from
// AppendPrefixes; prompt and output are numbers of tokens.
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
		longerSequence:  s.latestLongerSequence(prefillMs),
		newPrefixes:     s.uncachedPrefixes(prefixes),
	}
	s.touch(prefixes)
	s.prefilling = append(s.prefilling, q)
	q.queueID = s.queue.push(now, q.prefillMs)
	s.reservedTokens += q.reservedTokens()
	s.latency.meanPrefillMs += fleetSmoothing * (q.prefillMs - s.latency.meanPrefillMs)
	return q
}

// latestLongerSequence returns the latest sequence without a first token whose prefill is much
// longer than prefillMs, or nil.
func (s *Server) latestLongerSequence(prefillMs float64) *Sequence {
	for _, other := range slices.Backward(s.prefilling) {
		if other.prefillMs > 2*prefillMs+1 {
			return other
		}
	}
	return nil
}

// uncachedPrefixes returns the first of the prompt's prefixes that is not cached, and all after it.
func (s *Server) uncachedPrefixes(prefixes []Segment) []Segment {
	for i, prefix := range prefixes {
		if !s.cache.contains(prefix.ID) {
			return slices.Clone(prefixes[i:])
		}
	}
	return nil
}

// touch marks the prefixes as used now, in an order in which the first one is evicted last.
func (s *Server) touch(prefixes []Segment) {
	for _, prefix := range slices.Backward(prefixes) {
		s.cache.touch(prefix.ID, max(prefix.Tokens, 0))
	}
}

// BeginRemote records a request that another agent sent to the server; age is the time since then.
// The prefixes are those that it shares with other requests; prompt and uncached are numbers of tokens.
func (s *Server) BeginRemote(now, age time.Duration, prefixes []Segment, prompt, uncached int) {
	uncached = min(max(uncached, 0), max(prompt, 0))
	s.queue.push(now-max(age, 0), s.latency.prefillMs(promptFeatures(prompt-uncached, uncached)))
	s.touch(prefixes)
}

// ObserveLoad records the load that a response reported. An invalid load is ignored.
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

// removePrefilling removes a sequence from the list of those without a first token.
func (s *Server) removePrefilling(q *Sequence) {
	if i := slices.Index(s.prefilling, q); i >= 0 {
		s.prefilling = slices.Delete(s.prefilling, i, i+1)
	}
}
