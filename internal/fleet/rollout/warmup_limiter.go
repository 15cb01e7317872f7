package rollout

import (
	"time"

	"golang.org/x/time/rate"
)

// WarmupLimiter limits the rate of shared prompts that one agent makes new servers prefill. It is not
// safe for concurrent use.
type WarmupLimiter struct {
	limits map[string]*rate.Limiter // by server
}

// NewWarmupLimiter returns a limiter without servers.
func NewWarmupLimiter() *WarmupLimiter { return &WarmupLimiter{limits: map[string]*rate.Limiter{}} }

// Allow reports whether a warming server may prefill one more prompt of this agent. Each of the agents
// gets an equal share of the rate.
func (w *WarmupLimiter) Allow(now time.Duration, rules *RoutingRules, id string, agents int) bool {
	limit := rate.Limit(rules.WarmupPromptsPerSecond / float64(max(agents, 1)))
	limiter := w.limits[id]
	if limiter == nil {
		w.prune(rules)
		if len(w.limits) >= maxInTransition {
			return false
		}
		limiter = rate.NewLimiter(limit, 1)
		w.limits[id] = limiter
	}
	at := time.Unix(0, 0).Add(now)
	if limiter.Limit() != limit {
		limiter.SetLimitAt(at, limit)
	}
	return limiter.AllowN(at, 1)
}

// prune forgets the servers that are no longer warming.
func (w *WarmupLimiter) prune(rules *RoutingRules) {
	for id := range w.limits {
		if !rules.IsWarming(id) {
			delete(w.limits, id)
		}
	}
}
