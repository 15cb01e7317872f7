package http1

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// bucketStep is the upper bound of the first bucket of idle times; each further bound is twice the
	// one before.
	bucketStep = 5 * time.Millisecond
	// bucketCount is the number of buckets, the one of new connections included.
	bucketCount = 16
	// resetMargin is how much more often than new connections reused ones may be reset, as a fraction
	// of the attempts, before a new one is worth its handshake.
	resetMargin = 0.04
	// minNewAttempts is how many attempts on new connections the fraction of their resets is taken of
	// at the least.
	minNewAttempts = 10
	// decayInterval is after how long the statistics are halved.
	decayInterval = 10 * time.Second
)

// ReuseStats learns after how long an idle connection must not be used again. A server says at the
// latest when it closes one; some close earlier, and a middlebox may drop a connection without a
// notice to either end. The next request on it then ends with a reset, and one that is not idempotent
// has failed. The zero value has seen nothing. It is safe for concurrent use.
type ReuseStats struct {
	mu        sync.Mutex // guards the fields below
	decayedAt time.Time
	// attempts, and those that ended with a reset before the first byte of a response, by bucket of
	// the idle time; bucket 0 is for new connections.
	attempts, resets [bucketCount]float64
}

// IdleBucket returns the bucket of an idle time: 1 or above.
func IdleBucket(idleTime time.Duration) int {
	return min(1+bits.Len64(uint64(max(idleTime, 0)/bucketStep)), bucketCount-1)
}

// Record counts an attempt on a connection that had been idle for a time of the given bucket, 0 if it
// was new, and whether it ended with a reset before the first byte of a response.
func (s *ReuseStats) Record(bucket int, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.decayedAt) > decayInterval {
		s.decayedAt = now
		for i := range s.attempts {
			s.attempts[i] /= 2
			s.resets[i] /= 2
		}
	}
	s.attempts[bucket]++
	if reset {
		s.resets[bucket]++
	}
}

// Reusable reports whether a connection that has been idle for the given time is as good as a new one.
// If connections are reset after a shorter time, they are after a longer one.
func (s *ReuseStats) Reusable(idleTime time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := resetMargin + s.resets[0]/max(s.attempts[0], minNewAttempts)
	for bucket := 1; bucket <= IdleBucket(idleTime); bucket++ {
		// One standard deviation of a count is its square root: less is chance.
		certain := s.resets[bucket] - math.Sqrt(s.resets[bucket])
		if certain > limit*s.attempts[bucket] {
			return false
		}
	}
	return true
}
