package relay

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRedialDelay is the mean delay after an attempt to start a session that has no result yet. It doubles
	// with each further attempt, up to maxRedialDelay.
	minRedialDelay = redialInterval
	maxRedialDelay = 16 * minRedialDelay
	// maxRetryAfter bounds the delay for which a busy relay may refuse this agent.
	maxRetryAfter = 5 * time.Second
	// maxEagerRefusals is how many relays may refuse an agent in a row before its dials are delayed as if they had
	// no answer: then the whole core is busy.
	maxEagerRefusals = 2
)

// redialBackoff spreads the attempts of an agent to start a session, so that relays that are too busy to answer
// in time are not called ever more often. It is safe for concurrent use.
type redialBackoff struct {
	mu        sync.Mutex
	delay     time.Duration        // mean delay after the latest attempt; 0 if there was none since reset
	next      time.Time            // the earliest time of the next attempt
	refusals  int                  // relays that refused this agent in a row
	busyUntil map[string]time.Time // when relays that refused this agent may be dialed again, by address
}

// due reports whether an attempt may begin now. If not, remaining is the time until it may.
func (b *redialBackoff) due(now time.Time) (remaining time.Duration, isDue bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining = b.next.Sub(now)
	return remaining, remaining <= 0
}

// isBusy reports whether the relay at an address has asked not to be dialed yet.
func (b *redialBackoff) isBusy(addr string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.busyUntil[addr])
}

// began records that an attempt begins, and schedules the next one.
func (b *redialBackoff) began(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = min(max(2*b.delay, minRedialDelay), maxRedialDelay)
	b.next = now.Add(jitter(b.delay))
}

// allowSoon records that an attempt ended in a way that is no sign of a busy relay: no connection was established,
// or there was an answer in time, be it of a relay or not. If the node still needs a relay, it dials one soon.
func (b *redialBackoff) allowSoon(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay /= 2
	if soon := now.Add(jitter(minRedialDelay)); soon.Before(b.next) {
		b.next = soon
	}
}

// refused records that the relay at an address is busy and asked to be dialed again after a delay. Another relay
// may be dialed soon, unless several have refused in a row.
func (b *redialBackoff) refused(addr string, retryAfter time.Duration, now time.Time) {
	if b.countRefusal() <= maxEagerRefusals {
		b.allowSoon(now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busyUntil == nil {
		b.busyUntil = map[string]time.Time{}
	}
	for other, until := range b.busyUntil {
		if now.After(until) {
			delete(b.busyUntil, other)
		}
	}
	b.busyUntil[addr] = now.Add(min(max(retryAfter, minRedialDelay), maxRetryAfter))
}

// countRefusal counts a refusal and returns how many there were in a row.
func (b *redialBackoff) countRefusal() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusals++
	return b.refusals
}

// reset records that a relay has sent its first update.
func (b *redialBackoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay, b.refusals, b.next, b.busyUntil = 0, 0, time.Time{}, nil
}

// jitter returns a random duration between half and one and a half of mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }
