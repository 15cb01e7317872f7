package http1

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// bucketStep is the first bound between idle times that are told apart; each further one
	// is twice the one before.
	bucketStep = 5 * time.Millisecond
	// resetMargin is how much more often than new ones kept connections may break before a
	// new one is worth its handshake.
	resetMargin = 0.04
	// decayInterval is after how long what was seen counts half.
	decayInterval = 10 * time.Second
)

// ReuseStats learns for how long a connection may have idled to be used again. A backend
// says at the latest when it closes one; some close sooner, and something on the way
// may forget a connection without a word to either end. The next request on it then
// ends as a reset, and an unsafe one has failed.
type ReuseStats struct {
	mu        sync.Mutex
	decayedAt time.Time
	// Attempts and breaks without a byte of an answer, by idle time; first the new ones.
	attempts, resets [16]float64
}

// IdleBucket is the slot of an idle time, from 1 on.
func IdleBucket(idleTime time.Duration) int {
	return min(1+bits.Len64(uint64(max(idleTime, 0)/bucketStep)), len(ReuseStats{}.attempts)-1)
}

// Record takes an attempt's end; slot is 0 for a new connection.
func (a *ReuseStats) Record(bucket int, reset bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := time.Now(); now.Sub(a.decayedAt) > decayInterval {
		a.decayedAt = now
		for i := range a.attempts {
			a.attempts[i] /= 2
			a.resets[i] /= 2
		}
	}
	a.attempts[bucket]++
	if reset {
		a.resets[bucket]++
	}
}

// Reusable tells whether a connection that idled so long is as good as a new one. Where a
// shorter time breaks them a longer one does.
func (a *ReuseStats) Reusable(idleTime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := resetMargin + a.resets[0]/max(a.attempts[0], 10)
	for i := 1; i <= IdleBucket(idleTime); i++ {
		if a.resets[i]-math.Sqrt(a.resets[i]) > limit*a.attempts[i] { // beyond chance
			return false
		}
	}
	return true
}
