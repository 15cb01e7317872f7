package inference

import (
	"math"
	"time"
)

// Sequence is one attempt of this agent at a server, from its prefill to its end.
type Sequence struct {
	server                       *Server
	newPrefixes                  []Segment // the prefixes that it adds to the KV cache
	cachedTokens, uncachedTokens int       // of the prompt, as estimated when it began
	maxOutputTokens, events      int
	sentAt                       time.Duration
	firstEventAt, lastEventAt    time.Duration
	queueDelayMs, prefillMs      float64   // waiting for other prompts and own prefill, as estimated when it began
	queueID                      uint64    // ID of its prompt in Server.queue
	longerSequence               *Sequence // sequence before it with a much longer prefill; nil if none
	decodeBatch                  int       // number of sequences being decoded when its first token came
	prefilling, ended            bool      // prefilling is true until its first token
}

// UncachedTokens returns the estimated number of prompt tokens that the server had to prefill.
func (q *Sequence) UncachedTokens() int { return q.uncachedTokens }

// PrefillTime returns the estimated time that the server takes to prefill the prompt.
func (q *Sequence) PrefillTime() time.Duration { return duration(q.prefillMs) }

// reservedTokens returns how many tokens of the KV cache the sequence may occupy.
func (q *Sequence) reservedTokens() int {
	return q.uncachedTokens + q.cachedTokens + q.maxOutputTokens
}

// Sent records when the request was written. That is later than Begin if a connection had to be
// opened first.
func (q *Sequence) Sent(now time.Duration) {
	if q.prefilling {
		q.sentAt = max(q.sentAt, now)
	}
}

// Events records n events of the response. The first event of all contains the first token.
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

// firstToken ends the prefill and updates the latency model with its duration.
func (q *Sequence) firstToken(now time.Duration) {
	s := q.server
	q.firstEventAt, q.prefilling = now, false
	s.removePrefilling(q)
	s.decoding++
	if q.longerSequence != nil {
		overtook := q.longerSequence.prefilling && !q.longerSequence.ended
		s.latency.observeOrder(!overtook)
		q.longerSequence = nil
	}
	s.queue.complete(q.queueID, s.latency.prefillsInOrder())
	q.decodeBatch = s.Running(now)
	q.learnFirstToken(now)
}

// learnFirstToken updates the service's latency model and the server's lag with the time to the
// first token, less the estimated queue delay.
func (q *Sequence) learnFirstToken(now time.Duration) {
	s, latency := q.server, q.server.latency
	measuredMs := millis(now-q.sentAt) - q.queueDelayMs
	features := promptFeatures(q.cachedTokens, q.uncachedTokens)
	expectedMs := latency.firstToken.predict(features)
	deviationMs := measuredMs - expectedMs - s.LagMs(now)
	latency.errorMs += fleetSmoothing * (math.Abs(deviationMs) - latency.errorMs)
	s.lagMs = min(max(s.LagMs(now)+serverSmoothing*deviationMs, 0), maxLagMs)
	s.lagAt = now
	// Outliers are clamped: they may be due to an unknown queue rather than to the server's speed.
	latency.firstToken.observe(features, min(max(measuredMs, expectedMs/4), 2*expectedMs+20))
}

// End records the end of the attempt; further calls do nothing. If the sequence never ran, the
// prefixes that it would have added to the KV cache are removed.
func (q *Sequence) End(now time.Duration, ran bool) {
	if q.ended {
		return
	}
	q.ended, q.longerSequence = true, nil
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

// endPrefill removes a sequence that has ended without a first token from the server's state.
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
