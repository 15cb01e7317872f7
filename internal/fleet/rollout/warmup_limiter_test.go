package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestWarmupIsRateLimited(t *testing.T) {
	const agents, seconds = 4, 100
	record := startedRecord(t)
	record.Initialized = true
	record.Ramping = []RampingServer{{ID: "a"}, {ID: "b"}}
	rules := record.Rules()
	limiter := NewWarmupLimiter()
	allowed := 0
	for now := time.Duration(0); now < seconds*time.Second; now += 10 * time.Millisecond {
		if limiter.Allow(now, rules, "a", agents) {
			allowed++
		}
	}
	assert.InDelta(t, seconds*rules.WarmupPromptsPerSecond/agents, allowed, 3)
	for i := range 10 * maxInTransition {
		limiter.Allow(0, rules, fmt.Sprint("x", i), agents)
	}
	assert.LessOrEqual(t, len(limiter.limits), maxInTransition)
}
