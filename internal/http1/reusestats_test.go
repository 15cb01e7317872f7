package http1

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestIdleBucket(t *testing.T) {
	for idleTime, bucket := range map[time.Duration]int{
		-time.Hour:       1,
		0:                1,
		bucketStep - 1:   1,
		bucketStep:       2,
		2*bucketStep - 1: 2,
		2 * bucketStep:   3,
		4 * bucketStep:   4,
		24 * time.Hour:   bucketCount - 1,
		1<<63 - 1:        bucketCount - 1,
	} {
		assert.Equal(t, bucket, IdleBucket(idleTime), "%v", idleTime)
	}
	assert.Equal(t, 16, bucketCount)
}

// TestReuseStats checks that connections are reused as long as they are reset no more often than new
// ones, and that the statistics decay.
func TestReuseStats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stats ReuseStats
		record := func(idleTime time.Duration, attempts, resets int) {
			for i := range attempts {
				stats.Record(IdleBucket(idleTime), i < resets)
			}
		}
		for _, idleTime := range []time.Duration{0, time.Second, time.Hour} {
			assert.True(t, stats.Reusable(idleTime), "after %v, without statistics", idleTime)
		}
		record(10*time.Millisecond, 100, 1)
		record(time.Second, 20, 15)
		assert.True(t, stats.Reusable(10*time.Millisecond))
		assert.True(t, stats.Reusable(500*time.Millisecond))
		assert.False(t, stats.Reusable(time.Second))
		assert.False(t, stats.Reusable(time.Minute), "resets after a shorter idle time were ignored")
		for range 200 { // new connections are now reset more often
			stats.Record(0, true)
		}
		assert.True(t, stats.Reusable(time.Minute))
		for range 20000 {
			stats.Record(0, false)
		}
		assert.False(t, stats.Reusable(time.Minute))
		for range 8 { // each time the statistics are halved
			<-time.After(decayInterval + time.Second)
			record(10*time.Millisecond, 1, 0)
		}
		assert.True(t, stats.Reusable(time.Minute))
	})
}

func TestReuseStatsToleratesOneReset(t *testing.T) {
	var stats ReuseStats
	stats.Record(IdleBucket(time.Second), true)
	assert.True(t, stats.Reusable(time.Second))
}
