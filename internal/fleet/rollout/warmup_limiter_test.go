package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestWarmupIsRateLimited(t *testing.T) {
	r := startedRecord(t)
	r.Initialized = true
	r.Ramping = []RampingServer{{ID: "a"}, {ID: "b"}}
	u := r.Rules()
	f := NewWarmupLimiter()
	const agents = 4
	n := 0
	for at := time.Duration(0); at < 100*time.Second; at += 10 * time.Millisecond {
		if f.Allow(at, u, "a", agents) {
			n++
		}
	}
	assert.InDelta(t, 100*u.WarmupPromptsPerSecond/agents, n, 3)
	for i := range 10 * maxInTransition {
		f.Allow(0, u, fmt.Sprint("x", i), agents)
	}
	assert.LessOrEqual(t, len(f.limits), maxInTransition)
}
