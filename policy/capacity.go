package policy

import "math"

// capacityState is a survey of the servers, taken once for each generation of the list and of the tiers,
// and the capacity that follows from it, computed once for all decisions of a moment.
type capacityState struct {
	surveyed          uint64 // one more than the generation of the last survey, which found:
	unhealthy         []*server
	warmingUp         []*server
	healthyWarmWeight float64 // of the ready servers of the best tier that are warm
	warmWeight        float64 // and of all warm ones that are not Unhealthy

	total           float64 // capacity, as of
	totalAt         float64
	totalGeneration uint64
	peak            float64 // the largest total of late, fading over the slow-start time
}

// survey finds the servers on which most decisions turn: those that are not healthy, and those that are
// warming up. Of the others their weight is enough.
func (b *Balancer) survey() {
	state := &b.capacity
	if state.surveyed == b.generation+1 {
		return
	}
	state.surveyed = b.generation + 1
	state.unhealthy, state.warmingUp = state.unhealthy[:0], state.warmingUp[:0]
	state.healthyWarmWeight, state.warmWeight = 0, 0
	for _, srv := range b.servers {
		if srv.state > Unknown {
			state.unhealthy = append(state.unhealthy, srv)
		}
		if b.slowStartFactor(srv) < 1 {
			state.warmingUp = append(state.warmingUp, srv)
			continue
		}
		if !srv.ready || srv.state == Unhealthy {
			continue
		}
		weight := srv.weight * b.effectiveShare(srv)
		state.warmWeight += weight
		if srv.state <= Unknown {
			state.healthyWarmWeight += weight
		}
	}
}

// currentWarmWeight is the weight of the warm servers of the best tier.
func (b *Balancer) currentWarmWeight() float64 {
	b.survey()
	weight := b.capacity.healthyWarmWeight
	for _, srv := range b.capacity.warmingUp { // some of which are warm by now
		if srv.ready && srv.state <= Unknown && b.slowStartFactor(srv) == 1 {
			weight += srv.weight * b.effectiveShare(srv)
		}
	}
	return weight
}

// currentCapacity is the weight of the servers that may be sent to, each by its slow-start factor.
func (b *Balancer) currentCapacity() float64 {
	state := &b.capacity
	if state.totalAt == b.now && state.totalGeneration == b.generation {
		return state.total
	}
	b.survey()
	state.peak *= math.Exp((state.totalAt - b.now) / max(b.settings.Contract.SlowStartMs, 1))
	state.total, state.totalAt, state.totalGeneration = state.warmWeight, b.now, b.generation
	for _, srv := range state.warmingUp {
		if srv.ready && srv.state < Unhealthy {
			state.total += srv.weight * b.slowStartFactor(srv) * b.effectiveShare(srv)
		}
	}
	state.peak = max(state.peak, state.total)
	return state.total
}
