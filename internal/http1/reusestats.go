package http1

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// bucketStep is the upper bound of the first bucket of idle times. The bound doubles from each bucket
	// to the next.
	bucketStep = 5 * time.Millisecond
	// bucketCount is the number of buckets, including the one for new connections.
	bucketCount = 16
	// resetMargin is by how much the reset rate of reused connections may exceed that of new ones, as a
	// fraction of the attempts, before a new connection is worth its handshake.
	resetMargin = 0.04
	// minNewAttempts is the minimum divisor for the reset rate of new connections: with fewer attempts,
	// the rate is computed as if there had been this many.
	minNewAttempts = 10
	// decayInterval is the minimum time between two halvings of the statistics.
	decayInterval = 10 * time.Second
)

// ReuseStats learns how long a connection may be idle and still be reused. A server may announce after
// what time it closes idle connections, but some close them earlier, and a middlebox may drop a
// connection without notifying either end. The next request on it then ends with a reset, and fails if
// it is not idempotent. The zero value has no statistics. It is safe for concurrent use.
type ReuseStats struct {
	mu        sync.Mutex // guards the fields below
	decayedAt time.Time  // time of the last halving
	// attempts counts the attempts, and resets those that ended with a reset before the first byte of a
	// response, by bucket of the idle time. Bucket 0 is for new connections.
	attempts, resets [bucketCount]float64
}

// IdleBucket returns the bucket of an idle time, at least 1.
func IdleBucket(idleTime time.Duration) int {
	return min(1+bits.Len64(uint64(max(idleTime, 0)/bucketStep)), bucketCount-1)
}

// Record counts an attempt on a connection and whether it ended with a reset before the first byte of a
// response. The bucket is that of the time for which the connection had been idle, or 0 if it was new.
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

// Reusable reports whether a connection that has been idle for the given time is about as reliable as a
// new one. Connections that are reset after a shorter idle time count as reset after a longer one, too.
func (s *ReuseStats) Reusable(idleTime time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxResetRate := resetMargin + s.resets[0]/max(s.attempts[0], minNewAttempts)
	for bucket := 1; bucket <= IdleBucket(idleTime); bucket++ {
		// The standard deviation of a count is its square root: that many resets may be chance.
		significantResets := s.resets[bucket] - math.Sqrt(s.resets[bucket])
		if significantResets > maxResetRate*s.attempts[bucket] {
			return false
		}
	}
	return true
}
