package policy

import "math"

const (
	// apertureKeepaliveShare is the part of the keepalive time in which an agent sends as many requests as
	// its aperture has servers, minAperture how many those are at least.
	apertureKeepaliveShare, minAperture = 0.2, 16
	// arrivalWindowMs is the time over which the rate of arrivals is averaged.
	arrivalWindowMs = 2000.0
	// The aperture changes when its wanted size grew by apertureGrowth or shrank by apertureShrinkage.
	apertureGrowth, apertureShrinkage = 1.3, 1.5
	// subsetThreshold is the number of servers up to which the tiers of a request are formed of all,
	// subsetSize of how many they are formed where there are more.
	subsetThreshold, subsetSize = 64, 48
)

// aperture is the set of servers to which an agent of little traffic restricts itself where connections have
// a price (deterministic subsetting): so few that a connection is used again before it is closed.
type aperture struct {
	servers    []*server // in the order of the hash ring
	size       float64   // as wanted when it was formed, of the list after so many
	updates    uint64    // updates
	arrivals   float64   // requests that arrived, fading over arrivalWindowMs
	arrivalsAt float64
}

// updateAperture forms the aperture anew where the list or the traffic has changed. The set follows from the
// agent's index, so that all agents together use all servers alike, and grows with its traffic, so that each
// agent brings a server as much.
func (b *Balancer) updateAperture() {
	state := &b.aperture
	state.arrivals = state.arrivals * math.Exp((state.arrivalsAt-b.now)/arrivalWindowMs)
	state.arrivalsAt = b.now
	listed := float64(len(b.hashRing))
	wanted := listed
	if b.settings.Prices.Handshake > 0 && b.settings.Limits.KeepaliveMs > 0 {
		rate := state.arrivals / arrivalWindowMs
		wanted = min(max(rate*b.settings.Limits.KeepaliveMs*apertureKeepaliveShare, minAperture), listed)
	}
	if state.updates == b.discovery.updates && wanted <= state.size*apertureGrowth &&
		wanted >= state.size/apertureShrinkage {
		return
	}
	state.updates, state.size = b.discovery.updates, wanted
	b.generation++
	state.servers = state.servers[:0]
	for _, srv := range b.hashRing {
		position := unitInterval(mixBits(srv.hash ^ mixBits(uint64(b.settings.AgentIndex)+1)))
		if srv.inAperture = wanted >= listed || position < wanted/listed; srv.inAperture {
			state.servers = append(state.servers, srv)
		}
	}
}

// subsetFor is the subset of the ring for a request: the servers that follow its key's place. Places are by
// count and not by hash, so that each server is in as many subsets as the next; a change of the list moves
// each by one at most. The result is valid until the next call.
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
