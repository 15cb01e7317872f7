package policy

import "math"

const (
	// maxKeyShare is the largest fraction of a server's even share of the requests that one key, or one part
	// of a popular key, may bring. keyHistoryFactor is the number of requests over which keys are counted, as
	// a multiple of the largest number of parts.
	maxKeyShare, keyHistoryFactor = 0.25, 2.0
	// minKeyCount is the count below which a key is forgotten.
	minKeyCount = 0.5
	// minHashUnit keeps the logarithm of a hash finite.
	minHashUnit = 1e-18
)

// keyPopularity counts the requests of each key. All counts are halved when their total reaches a limit, so
// that older requests count less.
type keyPopularity struct {
	counts map[uint64]float64
	total  float64
}

// count counts a request of a key, after halving all counts if their total has reached the limit.
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

// hashKeyFor returns the hash key of a request. A key with more than maxKeyShare of a server's even share of
// this agent's requests is split at random into parts, each with its own order of servers: with many agents,
// none has enough attempts in flight for the load cap to move a popular key to other servers. While few
// requests have been counted, each key has two parts.
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

// rendezvousScore returns the server's score for the request by weighted rendezvous hashing; the lowest score
// comes first. All agents of a zone get the same order for a key, and a server's share of the keys is
// proportional to its weight.
func (b *Balancer) rendezvousScore(req *request, srv *server) float64 {
	bits := mixBits(req.hashKey ^ srv.hash)
	if req.key == 0 {
		bits = b.rng.Uint64()
	}
	weight := srv.weight * b.effectiveShare(srv) * b.effectiveTrafficWeight(srv)
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
