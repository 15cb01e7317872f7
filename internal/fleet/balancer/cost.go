package balancer

import (
	"math"
	"time"
)

// Costs are parts of a request's value.
const (
	// latenessCost is lost by a request that misses its latency target.
	latenessCost = 0.7
	// recomputeCost is that of a thousand shared tokens that another server has cached.
	recomputeCost = 0.06
	// crossZoneCost is that of leaving the zone, connectionCost that of a new connection, and
	// slowStartCost that of a server in slow start.
	crossZoneCost, connectionCost, slowStartCost = 0.01, 0.004, 0.3
	// prefillCost is what a millisecond of prefill takes from the requests behind it, and
	// congestionCost what it takes in addition where all of them are late.
	prefillCost, congestionCost = 0.0005, 0.02
	// firstTokenCost is that of a millisecond until a first token that is in time, and tieBreakCost
	// keeps agents that know the same from picking the same server.
	firstTokenCost, tieBreakCost = 1e-5, 1e-6
)

// spreadShare and spreadErrorShare are how far first tokens scatter around their estimate, as
// parts of the estimate and of the mean error.
const spreadShare, spreadErrorShare = 0.1, 0.6

// estimateCost computes what the request costs at the candidate, where a millisecond of its
// prefill costs others prefillCostPerMs.
func (p *Picker) estimateCost(now time.Duration, svc *service, pick *pickContext, c *candidate, prefillCostPerMs float64) {
	s := c.server
	cached := s.inference.CachedTokens(p.prefixScratch)
	recomputed := 0
	if cached < pick.sharedTokens && pick.key != 0 {
		if !c.inSubset {
			recomputed = pick.sharedTokens - cached
		} else if pick.keySeenAt > s.listedAt {
			cached = pick.sharedTokens // other agents send the key there, too
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
