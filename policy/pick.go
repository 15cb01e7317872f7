package policy

import "math"

// This file picks the server: tiers, then the capped hash of the key.

// spot is where a key's hash starts. A key with more than keyPart of a server's share of
// this agent's requests is split at random into parts, each with an order of its own: of
// many agents none has enough in flight for the cap to move a popular key on. While little is
// known each key has two parts.
func (b *Balancer) spot(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	all := float64(len(b.near)) / keyPart
	b.countKey(key, keyMemory*all)
	parts := b.keys[key] * all / (b.keyed + all/2)
	if i := uint64(b.rng.Float64() * math.Ceil(parts)); i > 0 {
		return mix(key + i)
	}
	return key
}

// rank is the server's tier for the request.
func (b *Balancer) rank(s *server, r *request) int {
	lapse := b.aimMin
	switch {
	case b.set.Classes[r.class].Effect == SingleShot && !b.stray(s):
		lapse = math.Inf(1) // what must not run twice does not check a server while others are healthy
	case !b.set.Limits.Probing:
		lapse = 0
	case s.silent:
		lapse = holdMost // its probe tells
	}
	return s.Rank(b.now, lapse)
}

// pick walks the best tier that has anyone in the order of the key's hash and
// takes the first server that is under its cap and has room.
//
// On a large fleet the tiers are formed of a sample of the aperture, the same at all agents
// for a key. Where few there are healthy and warm a sample of all takes its place, and only
// where few of that are, too, all servers are ranked.
func (b *Balancer) pick(r *request) *server {
	if s := b.trial(r); s != nil {
		return s
	}
	if len(b.near) < len(b.ring) || len(b.ring) > tierMost {
		for _, ring := range [][]*server{b.near, b.ring} {
			if s, enough := b.pickOf(r, b.window(r, ring), 2); s != nil || enough {
				return s
			}
		}
	}
	s, _ := b.pickOf(r, b.servers, 6)
	return s
}

// window is the sample for a request: the servers that follow its key's place on the ring.
// Places are by count and not by hash, so that each server is in as many samples as the
// next; a change of the list moves each by one at the most.
func (b *Balancer) window(r *request, ring []*server) []*server {
	if len(ring) <= tierMost {
		return ring
	}
	x := mix(mix(r.spot))
	if r.key == 0 {
		x = b.rng.Uint64()
	}
	at := int(float64(x>>11) / (1 << 53) * float64(len(ring)))
	b.sampleOf = append(b.sampleOf[:0], ring[at:min(at+tierSample, len(ring))]...)
	return append(b.sampleOf, ring[:tierSample-len(b.sampleOf)]...)
}

// focus keeps the aperture: the servers that an agent of little traffic keeps to, where
// connections have a price. The set follows from the agent's number, so that all together use
// all servers alike, and grows with its traffic, so that each brings a server as much.
func (b *Balancer) focus() {
	b.came = b.came * math.Exp((b.cameAt-b.now)/cameMemory)
	b.cameAt = b.now
	n := float64(len(b.ring))
	want := n
	if b.set.Prices.Handshake > 0 && b.set.Limits.KeepaliveMs > 0 {
		rate := b.came / cameMemory // requests a ms
		want = min(max(rate*b.set.Limits.KeepaliveMs*aperture, apertureLeast), n)
	}
	if b.focused == b.listed && want <= b.wanted*1.3 && want >= b.wanted/1.5 {
		return
	}
	b.focused, b.wanted = b.listed, want
	b.epoch++
	b.near = b.near[:0]
	for _, s := range b.ring {
		s.near = want >= n || float64(mix(s.hash^mix(uint64(b.set.Index)+1))>>11)/(1<<53) < want/n
		if s.near {
			b.near = append(b.near, s)
		}
	}
}

// pickOf is the pick among some servers, in so many passes of two a tier. Without a pick it
// tells whether a tier had enough warm servers to wait for: cold ones may not be sent all.
func (b *Balancer) pickOf(r *request, servers []*server, passes int) (best *server, enough bool) {
	waits := b.waits(r)
	for pass := range passes {
		// Of each tier those that rest come last, unless most do: then all are crowded.
		rank, rest := pass/2, pass%2 == 0
		tier, resting, warm, cold := b.tier[:0], 0.0, 0, 0
		r.tierWeight = 0
		var near [keyServers]*server
		for _, s := range servers {
			if b.rank(s, r) != rank || !b.maySend(r, s, false) {
				continue
			}
			r.tierWeight += s.weight * b.ramp(s) * b.share(s) * b.pull(s)
			if b.ramp(s) < 1 {
				cold++
			} else {
				warm++
			}
			if rest && b.now < s.restUntil {
				resting += s.weight * b.ramp(s) * b.share(s) * b.pull(s)
				continue
			}
			if !b.earned(s, r) || !waits && !b.hasRoom(s, r) {
				continue
			}
			s.score = b.score(r, s)
			tier = append(tier, s)
			for i, at := 0, s; i < keyServers && at != nil; i++ {
				if near[i] == nil || at.score < near[i].score {
					near[i], at = at, near[i]
				}
			}
		}
		b.tier = tier
		if r.tierWeight == 0 || rest && (len(tier) == 0 || resting > r.tierWeight/2) {
			continue // an empty tier passes down
		}
		r.tierWeight *= float64(len(b.servers)) / float64(len(servers))
		if waits && len(tier) > keyServers {
			r.near, r.epoch = near, b.epoch
			tier = r.near[:]
		}
		for _, s := range tier {
			if (best == nil || s.score < best.score) && b.takes(s, r) {
				best = s
			}
		}
		return best, warm > 0 && 2*warm >= cold
	}
	return nil, false
}

// waits tells whether the request still waits for the servers nearest its key.
func (b *Balancer) waits(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 && b.now-r.arrived < keyWait*(r.aimAt-r.arrived)
}

// score orders servers by weighted rendezvous hashing: every agent of a zone
// finds the same order for a key, and a server's share of keys is that of its weight.
func (b *Balancer) score(r *request, s *server) float64 {
	x := mix(r.spot ^ s.hash)
	if r.key == 0 {
		x = b.rng.Uint64()
	}
	u := float64(x>>11) / (1 << 53)
	w := s.weight * b.share(s) * b.pull(s)
	if b.ramp(s) < 1 {
		w *= coldPull
	}
	if s.zone == b.set.Zone && !b.parted {
		w *= b.own
	}
	return -math.Log(u+1e-18) / w
}

// takes tells whether the server is under its cap in the tier of the request's
// last pick and has room.
func (b *Balancer) takes(s *server, r *request) bool {
	share := s.weight * b.ramp(s) * b.share(s) * b.pull(s) / r.tierWeight
	return float64(len(s.out)) < math.Ceil(capFactor*float64(b.inflight+1)*share) && b.hasRoom(s, r)
}

// hasRoom bounds what a server holds of this agent: its window, one at a time
// until it is validated, and a cold server's credit.
func (b *Balancer) hasRoom(s *server, r *request) bool {
	if s.state >= UnhealthyPending && (len(s.out) == 0 || !b.stray(s)) {
		return len(s.out) == 0
	}
	// A window under one is kept by pausing: with many agents even one attempt of
	// each can be too much, and a server that tipped needs rest to recover.
	if len(s.out) >= max(int(s.window), 1) || s.window < 1 && b.now-s.sentAt < s.rtt/s.window {
		return false
	}
	return b.earned(s, r)
}

// earned tells whether a server is warm, or the agent may send it the request by its credit.
func (b *Balancer) earned(s *server, r *request) bool {
	return b.ramp(s) == 1 || s.credit >= 1 ||
		b.warmWeight() == 0 && (b.now-s.sentAt)*b.flow*s.weight*b.ramp(s) >= b.set.Contract.ColdMs
}
