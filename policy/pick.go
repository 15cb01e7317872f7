package policy

import "math"

const (
	// loadCapFactor is the load cap of a server (bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018), as
	// a multiple of its even share of the agent's attempts in flight. A request moves on from a server at
	// its cap to the next one in its key's order.
	loadCapFactor = 3.0
	// affinityWaitShare is the fraction of its time to the latency target for which a request may wait for
	// the first affinityServers in its key's order: moving on at once would load the key into the caches of
	// other servers just when time is short.
	affinityWaitShare, affinityServers = 0.25, 2
	// passesPerTier is the number of passes over a tier: one without the paused servers, one with them.
	passesPerTier = 2
	// tierCount is the number of health tiers.
	tierCount = 3
)

// pick returns the server for a request, or nil if none has capacity. A server that is due for a trial comes
// first. Otherwise it is the first server in the rendezvous order of the key that is below its load cap and
// has capacity, from the best health tier that is not empty.
//
// On a large fleet the tiers are formed from a subset of the aperture, which depends on the key and not on
// the agent. If too few servers of the subset are healthy and warm, a subset of all servers is used instead,
// and if that has too few as well, all servers are.
func (b *Balancer) pick(req *request) *server {
	if srv := b.pickTrial(req); srv != nil {
		return srv
	}
	if len(b.aperture.servers) < len(b.hashRing) || len(b.hashRing) > subsetThreshold {
		for _, ring := range [][]*server{b.aperture.servers, b.hashRing} {
			if srv, enoughWarm := b.pickAmong(req, b.subsetFor(req, ring), 1); srv != nil || enoughWarm {
				return srv
			}
		}
	}
	srv, _ := b.pickAmong(req, b.servers, tierCount)
	return srv
}

// pickAmong picks one of the given servers from the best tier that is not empty; only the given number of
// tiers is tried. If it picks none, enoughWarm reports whether that tier has enough warm servers to wait for:
// servers in slow start must not be sent all requests.
func (b *Balancer) pickAmong(req *request, servers []*server, tiers int) (best *server, enoughWarm bool) {
	waiting := b.waitsForAffinity(req)
	for pass := range tiers * passesPerTier {
		skipPaused := pass%passesPerTier == 0
		tier := b.formTier(req, servers, pass/passesPerTier, skipPaused, waiting)
		if req.tierWeight == 0 {
			continue // an empty tier
		}
		if skipPaused && (len(tier.candidates) == 0 || tier.pausedWeight > req.tierWeight/2) {
			continue // if most of a tier is paused, all of it is overloaded, and paused servers are used
		}
		req.tierWeight *= float64(len(b.servers)) / float64(len(servers))
		candidates := tier.candidates
		if waiting && len(candidates) > affinityServers {
			req.preferredServers, req.preferredGeneration = tier.preferredServers, b.generation
			candidates = req.preferredServers[:]
		}
		for _, srv := range candidates {
			if (best == nil || srv.rendezvous < best.rendezvous) && b.belowLoadCap(srv, req) {
				best = srv
			}
		}
		return best, tier.warmCount > 0 && 2*tier.warmCount >= tier.warmingUpCount
	}
	return nil, false
}

// healthTier holds the servers of one health tier to which a request may be sent.
type healthTier struct {
	candidates                []*server                // scratch space: valid until the next tier is formed
	preferredServers          [affinityServers]*server // first candidates in the key's order
	pausedWeight              float64                  // weight of the servers left out as paused
	warmCount, warmingUpCount int                      // numbers of servers, paused ones included
}

// formTier collects the servers of one priority to which the request may be sent, computes their rendezvous
// scores and stores the tier's weight in the request. With waiting, servers without capacity are candidates
// as well.
func (b *Balancer) formTier(req *request, servers []*server, priority int,
	skipPaused, waiting bool) healthTier {
	tier := healthTier{candidates: b.candidates[:0]}
	candidates, tierWeight := tier.candidates, 0.0
	for _, srv := range servers {
		if b.priorityFor(srv, req) != priority || !b.maySend(req, srv, false) {
			continue
		}
		slowStart := b.slowStartFactor(srv)
		weight := b.currentWeight(srv, slowStart)
		tierWeight += weight
		if slowStart < 1 {
			tier.warmingUpCount++
		} else {
			tier.warmCount++
		}
		if skipPaused && b.now < srv.pausedUntil {
			tier.pausedWeight += weight
			continue
		}
		if !b.slowStartAllows(srv) || !waiting && !b.hasCapacity(srv) {
			continue
		}
		srv.rendezvous = b.rendezvousScore(req, srv)
		candidates = append(candidates, srv)
		tier.prefer(srv)
	}
	b.candidates, tier.candidates = candidates, candidates
	req.tierWeight = tierWeight
	return tier
}

// prefer inserts the server into the preferred ones if its score is lower than that of any of them.
func (t *healthTier) prefer(srv *server) {
	for i := 0; i < affinityServers && srv != nil; i++ {
		if t.preferredServers[i] == nil || srv.rendezvous < t.preferredServers[i].rendezvous {
			t.preferredServers[i], srv = srv, t.preferredServers[i]
		}
	}
}

// priorityFor returns the health tier of the server for the request.
func (b *Balancer) priorityFor(srv *server, req *request) int {
	pendingMs := b.minLatencyTarget
	switch {
	case b.settings.Classes[req.class].Idempotency == NonIdempotent && !b.toleratesFailures(srv):
		pendingMs = math.Inf(1) // such requests do not validate a server while others are healthy
	case !b.settings.Limits.AllowProbes:
		pendingMs = 0
	case srv.timedOut:
		pendingMs = maxEjectionMs // a probe validates it
	}
	return srv.Priority(b.now, pendingMs)
}

// waitsForAffinity reports whether the request still waits for the first servers in its key's order.
func (b *Balancer) waitsForAffinity(req *request) bool {
	return req.key != 0 && len(req.attempts) == 0 &&
		b.now-req.arrivedAt < affinityWaitShare*(req.targetAt-req.arrivedAt)
}

// currentWeight returns the server's weight, scaled by its slow-start factor and its override.
func (b *Balancer) currentWeight(srv *server, slowStart float64) float64 {
	return srv.weight * slowStart * b.effectiveShare(srv) * b.effectiveTrafficWeight(srv)
}

// belowLoadCap reports whether the server has capacity and is below its load cap in the tier of the
// request's last pick.
func (b *Balancer) belowLoadCap(srv *server, req *request) bool {
	share := b.currentWeight(srv, b.slowStartFactor(srv)) / req.tierWeight
	return float64(len(srv.inFlight)) < math.Ceil(loadCapFactor*float64(b.inFlight+1)*share) &&
		b.hasCapacity(srv)
}
