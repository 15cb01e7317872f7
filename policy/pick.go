package policy

import "math"

// This file picks the server: tiers, then the capped hash of the key.

// hashKeyFor is where a key's hash starts. A key with more than maxKeyShare of a server's share of
// this agent's requests is split at random into parts, each with an order of its own: of
// many agents none has enough in flight for the cap to move a popular key on. While little is
// known each key has two parts.
func (b *Balancer) hashKeyFor(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	all := float64(len(b.aperture)) / maxKeyShare
	b.countKey(key, keyHistoryFactor*all)
	parts := b.keyCounts[key] * all / (b.keyTotal + all/2)
	if i := uint64(b.rng.Float64() * math.Ceil(parts)); i > 0 {
		return mixBits(key + i)
	}
	return key
}

// priorityFor is the server's tier for the request.
func (b *Balancer) priorityFor(s *server, r *request) int {
	lapse := b.minLatencyTarget
	switch {
	case b.settings.Classes[r.class].Idempotency == NonIdempotent && !b.toleratesFailures(s):
		lapse = math.Inf(1) // what must not run twice does not check a server while others are healthy
	case !b.settings.Limits.AllowProbes:
		lapse = 0
	case s.timedOut:
		lapse = maxEjectionMs // its probe tells
	}
	return s.Priority(b.now, lapse)
}

// pick walks the best tier that has anyone in the order of the key's hash and
// takes the first server that is under its cap and has room.
//
// On a large fleet the tiers are formed of a sample of the aperture, the same at all agents
// for a key. Where few there are healthy and warm a sample of all takes its place, and only
// where few of that are, too, all servers are ranked.
func (b *Balancer) pick(r *request) *server {
	if s := b.pickTrial(r); s != nil {
		return s
	}
	if len(b.aperture) < len(b.hashRing) || len(b.hashRing) > subsetThreshold {
		for _, ring := range [][]*server{b.aperture, b.hashRing} {
			if s, enough := b.pickAmong(r, b.subsetFor(r, ring), 2); s != nil || enough {
				return s
			}
		}
	}
	s, _ := b.pickAmong(r, b.servers, 6)
	return s
}

// subsetFor is the sample for a request: the servers that follow its key's place on the ring.
// Places are by count and not by hash, so that each server is in as many samples as the
// next; a change of the list moves each by one at the most.
func (b *Balancer) subsetFor(r *request, ring []*server) []*server {
	if len(ring) <= subsetThreshold {
		return ring
	}
	x := mixBits(mixBits(r.hashKey))
	if r.key == 0 {
		x = b.rng.Uint64()
	}
	at := int(float64(x>>11) / (1 << 53) * float64(len(ring)))
	b.subset = append(b.subset[:0], ring[at:min(at+subsetSize, len(ring))]...)
	return append(b.subset, ring[:subsetSize-len(b.subset)]...)
}

// updateAperture keeps the aperture: the servers that an agent of little traffic keeps to, where
// connections have a price. The set follows from the agent's number, so that all together use
// all servers alike, and grows with its traffic, so that each brings a server as much.
func (b *Balancer) updateAperture() {
	b.recentArrivals = b.recentArrivals * math.Exp((b.arrivalsAt-b.now)/arrivalWindowMs)
	b.arrivalsAt = b.now
	n := float64(len(b.hashRing))
	want := n
	if b.settings.Prices.Handshake > 0 && b.settings.Limits.KeepaliveMs > 0 {
		rate := b.recentArrivals / arrivalWindowMs // requests a ms
		want = min(max(rate*b.settings.Limits.KeepaliveMs*apertureKeepaliveShare, minAperture), n)
	}
	if b.apertureVersion == b.listVersion && want <= b.apertureSize*1.3 && want >= b.apertureSize/1.5 {
		return
	}
	b.apertureVersion, b.apertureSize = b.listVersion, want
	b.generation++
	b.aperture = b.aperture[:0]
	for _, s := range b.hashRing {
		s.inAperture = want >= n || float64(mixBits(s.hash^mixBits(uint64(b.settings.AgentIndex)+1))>>11)/(1<<53) < want/n
		if s.inAperture {
			b.aperture = append(b.aperture, s)
		}
	}
}

// pickAmong is the pick among some servers, in so many passes of two a tier. Without a pick it
// tells whether a tier had enough warm servers to wait for: cold ones may not be sent all.
func (b *Balancer) pickAmong(r *request, servers []*server, passes int) (best *server, enough bool) {
	waits := b.waitsForAffinity(r)
	for pass := range passes {
		// Of each tier those that rest come last, unless most do: then all are crowded.
		rank, rest := pass/2, pass%2 == 0
		tier, resting, warm, cold := b.candidates[:0], 0.0, 0, 0
		r.tierWeight = 0
		var near [affinityServers]*server
		for _, s := range servers {
			if b.priorityFor(s, r) != rank || !b.maySend(r, s, false) {
				continue
			}
			r.tierWeight += s.weight * b.slowStartFactor(s) * b.effectiveShare(s) * b.effectiveTraffic(s)
			if b.slowStartFactor(s) < 1 {
				cold++
			} else {
				warm++
			}
			if rest && b.now < s.pausedUntil {
				resting += s.weight * b.slowStartFactor(s) * b.effectiveShare(s) * b.effectiveTraffic(s)
				continue
			}
			if !b.slowStartAllows(s, r) || !waits && !b.hasCapacity(s, r) {
				continue
			}
			s.rendezvous = b.rendezvousScore(r, s)
			tier = append(tier, s)
			for i, at := 0, s; i < affinityServers && at != nil; i++ {
				if near[i] == nil || at.rendezvous < near[i].rendezvous {
					near[i], at = at, near[i]
				}
			}
		}
		b.candidates = tier
		if r.tierWeight == 0 || rest && (len(tier) == 0 || resting > r.tierWeight/2) {
			continue // an empty tier passes down
		}
		r.tierWeight *= float64(len(b.servers)) / float64(len(servers))
		if waits && len(tier) > affinityServers {
			r.preferred, r.preferredAt = near, b.generation
			tier = r.preferred[:]
		}
		for _, s := range tier {
			if (best == nil || s.rendezvous < best.rendezvous) && b.belowLoadCap(s, r) {
				best = s
			}
		}
		return best, warm > 0 && 2*warm >= cold
	}
	return nil, false
}

// waitsForAffinity tells whether the request still waits for the servers nearest its key.
func (b *Balancer) waitsForAffinity(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 && b.now-r.arrivedAt < affinityWaitShare*(r.targetAt-r.arrivedAt)
}

// rendezvousScore orders servers by weighted rendezvous hashing: every agent of a zone
// finds the same order for a key, and a server's share of keys is that of its weight.
func (b *Balancer) rendezvousScore(r *request, s *server) float64 {
	x := mixBits(r.hashKey ^ s.hash)
	if r.key == 0 {
		x = b.rng.Uint64()
	}
	u := float64(x>>11) / (1 << 53)
	w := s.weight * b.effectiveShare(s) * b.effectiveTraffic(s)
	if b.slowStartFactor(s) < 1 {
		w *= slowStartKeyFactor
	}
	if s.zone == b.settings.Zone && !b.zoneWeighted {
		w *= b.localWeight
	}
	return -math.Log(u+1e-18) / w
}

// belowLoadCap tells whether the server is under its cap in the tier of the request's
// last pick and has room.
func (b *Balancer) belowLoadCap(s *server, r *request) bool {
	share := s.weight * b.slowStartFactor(s) * b.effectiveShare(s) * b.effectiveTraffic(s) / r.tierWeight
	return float64(len(s.inFlight)) < math.Ceil(loadCapFactor*float64(b.inFlight+1)*share) && b.hasCapacity(s, r)
}

// hasCapacity bounds what a server holds of this agent: its window, one at a time
// until it is validated, and a cold server's credit.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	if s.state >= UnhealthyPending && (len(s.inFlight) == 0 || !b.toleratesFailures(s)) {
		return len(s.inFlight) == 0
	}
	// A window under one is kept by pausing: with many agents even one attempt of
	// each can be too much, and a server that tipped needs rest to recover.
	if len(s.inFlight) >= max(int(s.concurrencyLimit), 1) || s.concurrencyLimit < 1 && b.now-s.lastSentAt < s.meanLatencyMs/s.concurrencyLimit {
		return false
	}
	return b.slowStartAllows(s, r)
}

// slowStartAllows tells whether a server is warm, or the agent may send it the request by its credit.
func (b *Balancer) slowStartAllows(s *server, r *request) bool {
	return b.slowStartFactor(s) == 1 || s.slowStartCredit >= 1 ||
		b.currentWarmWeight() == 0 && (b.now-s.lastSentAt)*b.warmSendRate*s.weight*b.slowStartFactor(s) >= b.settings.Contract.SlowStartMs
}
