package balancer

import (
	"math"
	"time"
)

// The costs are fractions of a request's value.
const (
	// latenessCost is the cost of missing the latency target.
	latenessCost = 0.7
	// recomputeCost is the cost of prefilling a thousand shared tokens that another server has cached.
	recomputeCost = 0.06
	// crossZoneCost is the cost of a server in another zone, connectionCost that of a new connection,
	// and slowStartCost that of a server in slow start.
	crossZoneCost, connectionCost, slowStartCost = 0.01, 0.004, 0.3
	// prefillCost is the cost of a millisecond of prefill to the requests behind it, and
	// congestionCost is the additional cost if all of them are late.
	prefillCost, congestionCost = 0.0005, 0.02
	// firstTokenCost is the cost of each millisecond until the first token. tieBreakCost is the bound
	// of a random cost that keeps agents with the same knowledge from picking the same server.
	firstTokenCost, tieBreakCost = 1e-5, 1e-6
)

// The spread of the time to the first token around its estimate is taken to be spreadShare of the
// estimate plus spreadErrorShare of the mean error.
const spreadShare, spreadErrorShare = 0.1, 0.6

// estimateCost sets the candidate's estimated time to the first token, its probability to be late
// and its cost. Each millisecond of the request's prefill costs other requests prefillCostPerMs.
func (p *Picker) estimateCost(
	now time.Duration, svc *service, pick *pickContext, c *candidate, prefillCostPerMs float64,
) {
	s := c.server
	cached := s.inference.CachedTokens(p.prefixScratch)
	recomputed := 0
	if cached < pick.sharedTokens && pick.key != 0 {
		if !c.inSubset {
			recomputed = pick.sharedTokens - cached
		} else if pick.keySeenAt > s.listedAt {
			cached = pick.sharedTokens // other agents send requests with this key there too
		}
	}
	firstToken, uncached := s.inference.EstimateFirstTokenCached(now, cached, pick.PromptTokens, pick.MaxOutputTokens)
	c.firstToken = firstToken
	firstTokenMs := millis(firstToken)
	spreadMs := spreadShare*firstTokenMs + spreadErrorShare*millis(svc.latency.FirstTokenError())
	c.lateProbability = 1 / (1 + math.Exp((millis(pick.timeToTarget())-firstTokenMs)/spreadMs))
	c.cost = latenessCost*c.lateProbability + recomputeCost*float64(recomputed)/1e3 +
		prefillCostPerMs*millis(svc.latency.PrefillTime(pick.PromptTokens-uncached, uncached)) +
		firstTokenMs*firstTokenCost + p.rng.Float64()*tieBreakCost
	if s.instance.Zone != p.options.Zone {
		c.cost += crossZoneCost
	}
	if s.inFlight >= s.openConnections {
		c.cost += connectionCost
	}
	if now < s.slowStartUntil {
		c.cost += slowStartCost
	}
}
