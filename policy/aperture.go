package policy

import "math"

const (
	// An aperture has as many servers as the agent gets requests in apertureKeepaliveShare of the keepalive
	// time, but at least minAperture.
	apertureKeepaliveShare, minAperture = 0.2, 16
	// arrivalWindowMs is the time over which the rate of arrivals is averaged.
	arrivalWindowMs = 2000.0
	// The aperture is formed again if its target size has grown by more than the factor apertureGrowth or
	// shrunk by more than apertureShrinkage.
	apertureGrowth, apertureShrinkage = 1.3, 1.5
	// Up to subsetThreshold servers, the tiers of a request are formed from all of them. With more servers,
	// they are formed from a subset of subsetSize.
	subsetThreshold, subsetSize = 64, 48
)

// aperture is the set of servers to which an agent with little traffic restricts itself if connections have a
// price (deterministic subsetting). It is so small that a connection is used again before it is closed.
type aperture struct {
	servers    []*server // in the order of the hash ring
	size       float64   // target size when it was formed
	updates    uint64    // discoveryState.updates when it was formed
	arrivals   float64   // number of recent requests, decaying over arrivalWindowMs
	arrivalsAt float64   // when arrivals was updated
}

// updateAperture forms the aperture again if the list or the traffic has changed. The choice of servers
// depends on the agent's index, so that the agents together use all servers evenly. The size grows with the
// agent's traffic, so that each agent sends about the same load to each server that it uses.
func (b *Balancer) updateAperture() {
	state := &b.aperture
	state.arrivals = state.arrivals * math.Exp((state.arrivalsAt-b.now)/arrivalWindowMs)
	state.arrivalsAt = b.now
	serverCount := float64(len(b.hashRing))
	targetSize := serverCount
	if b.settings.Prices.Handshake > 0 && b.settings.Limits.KeepaliveMs > 0 {
		rate := state.arrivals / arrivalWindowMs
		targetSize = min(max(rate*b.settings.Limits.KeepaliveMs*apertureKeepaliveShare, minAperture),
			serverCount)
	}
	if state.updates == b.discovery.updates && targetSize <= state.size*apertureGrowth &&
		targetSize >= state.size/apertureShrinkage {
		return
	}
	state.updates, state.size = b.discovery.updates, targetSize
	b.generation++
	state.servers = state.servers[:0]
	for _, srv := range b.hashRing {
		position := unitInterval(mixBits(srv.hash ^ mixBits(uint64(b.settings.AgentIndex)+1)))
		if srv.inAperture = targetSize >= serverCount || position < targetSize/serverCount; srv.inAperture {
			state.servers = append(state.servers, srv)
		}
	}
}

// subsetFor returns the subset of the ring for a request: the servers that follow the key's position. A
// position is an index into the ring and not a hash, so that each server is in equally many subsets; adding
// or removing a server shifts a subset by one server at most. The result is valid until the next call.
func (b *Balancer) subsetFor(req *request, ring []*server) []*server {
	if len(ring) <= subsetThreshold {
		return ring
	}
	bits := mixBits(mixBits(req.hashKey))
	if req.key == 0 {
		bits = b.rng.Uint64()
	}
	start := int(unitInterval(bits) * float64(len(ring)))
	b.subset = append(b.subset[:0], ring[start:min(start+subsetSize, len(ring))]...)
	return append(b.subset, ring[:subsetSize-len(b.subset)]...)
}
