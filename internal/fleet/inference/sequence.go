package inference

import (
	"math"
	"time"
)

// Sequence is one attempt of this agent at a server, from its prefill to its end.
type Sequence struct {
	server                       *Server
	newPrefixes                  []Segment // that it adds to the KV cache
	cachedTokens, uncachedTokens int
	maxOutputTokens, events      int
	sentAt                       time.Duration
	firstEventAt, lastEventAt    time.Duration
	queueDelayMs, prefillMs      float64 // as estimated when it began: of others, and its own
	queueID                      uint64
	longerAhead                  *Sequence // a much longer one that was prefilled when it was sent
	decodeBatch                  int       // sequences that were decoded when its first token came
	prefilling, ended            bool      // it has no first token; it is over
}

// UncachedTokens is how many tokens the server had to prefill, as estimated.
func (q *Sequence) UncachedTokens() int { return q.uncachedTokens }

// PrefillTime is how long the server takes to prefill the prompt, as estimated.
func (q *Sequence) PrefillTime() time.Duration { return duration(q.prefillMs) }

// reservedTokens is how much of the KV cache the sequence may take.
func (q *Sequence) reservedTokens() int {
	return q.uncachedTokens + q.cachedTokens + q.maxOutputTokens
}

// Sent records when the request was written, if that was later than Begin: a connection had to be
// opened first.
func (q *Sequence) Sent(now time.Duration) {
	if q.prefilling {
		q.sentAt = max(q.sentAt, now)
	}
}

// Events records n events of the response; the very first is the first token.
func (q *Sequence) Events(now time.Duration, n int) {
	if q.ended || n < 1 {
		return
	}
	q.events += n
	q.lastEventAt = now
	if q.prefilling {
		q.firstToken(now)
	}
}

// firstToken ends the prefill and learns from how long it took.
func (q *Sequence) firstToken(now time.Duration) {
	s := q.server
	q.firstEventAt, q.prefilling = now, false
	s.removePrefilling(q)
	s.decoding++
	if q.longerAhead != nil {
		overtook := q.longerAhead.prefilling && !q.longerAhead.ended
		s.latency.observeOrder(!overtook)
		q.longerAhead = nil
	}
	s.queue.complete(q.queueID, s.latency.prefillsInOrder())
	q.decodeBatch = s.Running(now)
	q.learnFirstToken(now)
}

// learnFirstToken updates the service's fit and the server's lag by what the first token took
// beyond the queue before it.
func (q *Sequence) learnFirstToken(now time.Duration) {
	s, latency := q.server, q.server.latency
	tookMs := millis(now-q.sentAt) - q.queueDelayMs
	features := promptFeatures(q.cachedTokens, q.uncachedTokens)
	expectedMs := latency.firstToken.predict(features)
	deviationMs := tookMs - expectedMs - s.LagMs(now)
	latency.errorMs += fleetSmoothing * (math.Abs(deviationMs) - latency.errorMs)
	s.lagMs = min(max(s.LagMs(now)+serverSmoothing*deviationMs, 0), maxLagMs)
	s.lagAt = now
	// Outliers are clamped: an unknown queue says nothing about the speed of a server.
	latency.firstToken.observe(features, min(max(tookMs, expectedMs/4), 2*expectedMs+20))
}

// End records the end of the attempt; further calls do nothing. Of a sequence that never ran
// nothing is cached.
func (q *Sequence) End(now time.Duration, ran bool) {
	if q.ended {
		return
	}
	q.ended, q.longerAhead = true, nil
	s := q.server
	s.reservedTokens -= q.reservedTokens()
	if q.prefilling {
		q.endPrefill(ran)
		return
	}
	s.decoding--
	s.latency.meanDecodeMs += fleetSmoothing * (millis(now-q.firstEventAt) - s.latency.meanDecodeMs)
	if tokens := (q.events - 1) * max(s.capacity.TokensPerEvent, 1); tokens > 0 {
		s.latency.decode.observe(decodeFeatures(q.decodeBatch), millis(q.lastEventAt-q.firstEventAt)/float64(tokens))
	}
}

// endPrefill takes a sequence without a first token out of the server's state.
func (q *Sequence) endPrefill(ran bool) {
	s := q.server
	s.removePrefilling(q)
	s.queue.complete(q.queueID, false)
	if ran {
		return
	}
	for _, prefix := range q.newPrefixes {
		s.cache.remove(prefix.ID)
	}
}
