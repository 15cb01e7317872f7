package policy

import "math"

const (
	// loadCapFactor bounds the load of one server (bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018):
	// how far above its even share of the agent's attempts it may go before a request moves on to the next
	// in its key's order.
	loadCapFactor = 3.0
	// affinityWaitShare is the part of its target time that a request may wait for one of the
	// affinityServers first in its key's order: to go on at once would bring the key to other caches just
	// when time is short.
	affinityWaitShare, affinityServers = 0.25, 2
	// passesPerTier is the number of passes over a tier: one without the paused servers, one with them.
	passesPerTier = 2
	// allTiers is the number of health tiers.
	allTiers = 3
)

// pick chooses the server of a request, or nil: of the best tier that has any, the first in the order of the
// key's rendezvous hash that is under its load cap and has capacity.
//
// On a large fleet the tiers are formed of a subset of the aperture, the same at all agents for a key. Where
// few servers there are healthy and warm a subset of all servers takes its place, and only where that has
// few, too, all servers are considered.
func (b *Balancer) pick(req *request) *server {
	if srv := b.pickTrial(req); srv != nil {
		return srv
	}
	if len(b.aperture.servers) < len(b.hashRing) || len(b.hashRing) > subsetThreshold {
		for _, ring := range [][]*server{b.aperture.servers, b.hashRing} {
			if srv, enough := b.pickAmong(req, b.subsetFor(req, ring), 1); srv != nil || enough {
				return srv
			}
		}
	}
	srv, _ := b.pickAmong(req, b.servers, allTiers)
	return srv
}

// pickAmong is the pick among some servers and the best of their tiers. Without a pick, enough tells
// whether a tier had enough warm servers to wait for: those that warm up may not be sent everything.
func (b *Balancer) pickAmong(req *request, servers []*server, tiers int) (best *server, enough bool) {
	waits := b.waitsForAffinity(req)
	for pass := range tiers * passesPerTier {
		skipPaused := pass%passesPerTier == 0
		tier := b.formTier(req, servers, pass/passesPerTier, skipPaused, waits)
		if req.tierWeight == 0 {
			continue // an empty tier
		}
		if skipPaused && (len(tier.candidates) == 0 || tier.pausedWeight > req.tierWeight/2) {
			continue // with most of a tier paused all of it is overloaded, and none is passed over
		}
		req.tierWeight *= float64(len(b.servers)) / float64(len(servers))
		candidates := tier.candidates
		if waits && len(candidates) > affinityServers {
			req.preferred, req.preferredAt = tier.preferred, b.generation
			candidates = req.preferred[:]
		}
		for _, srv := range candidates {
			if (best == nil || srv.rendezvous < best.rendezvous) && b.belowLoadCap(srv, req) {
				best = srv
			}
		}
		return best, tier.warm > 0 && 2*tier.warm >= tier.warmingUp
	}
	return nil, false
}

// healthTier is a health tier as one request sees it.
type healthTier struct {
	candidates      []*server                // scratch space: valid until the next one is formed
	preferred       [affinityServers]*server // the first of them in the key's order
	pausedWeight    float64                  // of servers left out as they are paused
	warm, warmingUp int
}

// formTier collects the servers of one priority that the request may be sent to, scores them, and notes the
// tier's weight in the request.
func (b *Balancer) formTier(req *request, servers []*server, priority int,
	skipPaused, waits bool) healthTier {
	formed := healthTier{candidates: b.candidates[:0]}
	candidates, tierWeight := formed.candidates, 0.0
	for _, srv := range servers {
		if b.priorityFor(srv, req) != priority || !b.maySend(req, srv, false) {
			continue
		}
		slowStart := b.slowStartFactor(srv)
		weight := b.currentWeight(srv, slowStart)
		tierWeight += weight
		if slowStart < 1 {
			formed.warmingUp++
		} else {
			formed.warm++
		}
		if skipPaused && b.now < srv.pausedUntil {
			formed.pausedWeight += weight
			continue
		}
		if !b.slowStartAllows(srv) || !waits && !b.hasCapacity(srv) {
			continue
		}
		srv.rendezvous = b.rendezvousScore(req, srv)
		candidates = append(candidates, srv)
		formed.prefer(srv)
	}
	b.candidates, formed.candidates = candidates, candidates
	req.tierWeight = tierWeight
	return formed
}

// prefer inserts a server among the preferred ones if it precedes any of them.
func (t *healthTier) prefer(srv *server) {
	for i := 0; i < affinityServers && srv != nil; i++ {
		if t.preferred[i] == nil || srv.rendezvous < t.preferred[i].rendezvous {
			t.preferred[i], srv = srv, t.preferred[i]
		}
	}
}

// priorityFor is the server's tier for the request.
func (b *Balancer) priorityFor(srv *server, req *request) int {
	lapseMs := b.minLatencyTarget
	switch {
	case b.settings.Classes[req.class].Idempotency == NonIdempotent && !b.toleratesFailures(srv):
		lapseMs = math.Inf(1) // such a request validates no server while others are healthy
	case !b.settings.Limits.AllowProbes:
		lapseMs = 0
	case srv.timedOut:
		lapseMs = maxEjectionMs // a probe validates it
	}
	return srv.Priority(b.now, lapseMs)
}

// waitsForAffinity reports whether the request still waits for the first servers in its key's order.
func (b *Balancer) waitsForAffinity(req *request) bool {
	return req.key != 0 && len(req.attempts) == 0 &&
		b.now-req.arrivedAt < affinityWaitShare*(req.targetAt-req.arrivedAt)
}

// currentWeight is the server's weight by its slow-start factor and by overrides.
func (b *Balancer) currentWeight(srv *server, slowStart float64) float64 {
	return srv.weight * slowStart * b.effectiveShare(srv) * b.effectiveTraffic(srv)
}

// belowLoadCap reports whether the server is under its load cap, in the tier of the request's last pick,
// and has capacity.
func (b *Balancer) belowLoadCap(srv *server, req *request) bool {
	share := b.currentWeight(srv, b.slowStartFactor(srv)) / req.tierWeight
	return float64(len(srv.inFlight)) < math.Ceil(loadCapFactor*float64(b.inFlight+1)*share) &&
		b.hasCapacity(srv)
}
