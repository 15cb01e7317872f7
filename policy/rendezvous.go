package policy

import "math"

const (
	// maxKeyShare is the largest part of a server's even share of requests that one part of a key may
	// bring. keyHistoryFactor is the number of requests, for each part that there may be, by which a key's
	// share is known.
	maxKeyShare, keyHistoryFactor = 0.25, 2.0
	// minKeyCount is the count under which a key is forgotten.
	minKeyCount = 0.5
	// minHashUnit keeps the logarithm of a hash finite.
	minHashUnit = 1e-18
)

// keyPopularity counts the requests of each key, fading: counts are halved when there are too many.
type keyPopularity struct {
	counts map[uint64]float64
	total  float64
}

// count counts a request of a key, after halving all counts if they have reached a limit.
func (k *keyPopularity) count(key uint64, limit float64) {
	if k.total >= limit {
		k.total /= 2
		for other := range k.counts {
			if k.counts[other] /= 2; k.counts[other] < minKeyCount {
				delete(k.counts, other)
			}
		}
	}
	k.total++
	k.counts[key]++
}

// hashKeyFor is the hash key of a request. A key with more than maxKeyShare of a server's share of this
// agent's requests is split at random into parts, each with a server order of its own: none of many agents
// has enough in flight for the load cap to move a popular key on. While little is known each key has two.
func (b *Balancer) hashKeyFor(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	maxParts := float64(len(b.aperture.servers)) / maxKeyShare
	b.keys.count(key, keyHistoryFactor*maxParts)
	parts := b.keys.counts[key] * maxParts / (b.keys.total + maxParts/2)
	if part := uint64(b.rng.Float64() * math.Ceil(parts)); part > 0 {
		return mixBits(key + part)
	}
	return key
}

// rendezvousScore orders servers by weighted rendezvous hashing, the lowest first: every agent of a zone
// finds the same order for a key, and a server's share of the keys is that of its weight.
func (b *Balancer) rendezvousScore(req *request, srv *server) float64 {
	bits := mixBits(req.hashKey ^ srv.hash)
	if req.key == 0 {
		bits = b.rng.Uint64()
	}
	weight := srv.weight * b.effectiveShare(srv) * b.effectiveTraffic(srv)
	if b.slowStartFactor(srv) < 1 {
		weight *= slowStartKeyFactor
	}
	if srv.zone == b.settings.Zone && !b.overrides.zoneWeighted {
		weight *= b.localWeight
	}
	return -math.Log(unitInterval(bits)+minHashUnit) / weight
}

// mixBits is the finalizer of splitmix64 (Steele, Lea and Flood, OOPSLA 2014).
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps the upper 53 bits to a number in [0, 1).
func unitInterval(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }
