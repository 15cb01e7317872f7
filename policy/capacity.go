package policy

import "math"

// capacityState caches a survey of the servers, taken once for each generation, and the capacity computed
// from it, once for each generation and time.
type capacityState struct {
	surveyVersion     uint64    // Balancer.generation at the last survey, plus one; zero if there was none
	unhealthyServers  []*server // servers that are UnhealthyPending or Unhealthy
	warmingUpServers  []*server // servers in slow start
	healthyWarmWeight float64   // weight of the ready, warm servers that are Connected or Unknown
	warmWeight        float64   // weight of the ready, warm servers that are not Unhealthy

	totalCapacity   float64 // capacity of all servers, see currentCapacity
	totalAt         float64 // when totalCapacity was computed
	totalGeneration uint64  // Balancer.generation when totalCapacity was computed
	peak            float64 // recent maximum of totalCapacity, decaying over the slow-start time
}

// survey lists the servers that most decisions depend on, which are the unhealthy ones and those in slow
// start, and sums up the weights of the others. It does nothing if the last survey is of this generation.
func (b *Balancer) survey() {
	state := &b.capacity
	if state.surveyVersion == b.generation+1 {
		return
	}
	state.surveyVersion = b.generation + 1
	state.unhealthyServers, state.warmingUpServers = state.unhealthyServers[:0], state.warmingUpServers[:0]
	state.healthyWarmWeight, state.warmWeight = 0, 0
	for _, srv := range b.servers {
		if srv.state > Unknown {
			state.unhealthyServers = append(state.unhealthyServers, srv)
		}
		if b.slowStartFactor(srv) < 1 {
			state.warmingUpServers = append(state.warmingUpServers, srv)
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

// currentWarmWeight returns the weight of the warm servers that are Connected or Unknown.
func (b *Balancer) currentWarmWeight() float64 {
	b.survey()
	weight := b.capacity.healthyWarmWeight
	for _, srv := range b.capacity.warmingUpServers { // some may be warm by now
		if srv.ready && srv.state <= Unknown && b.slowStartFactor(srv) == 1 {
			weight += srv.weight * b.effectiveShare(srv)
		}
	}
	return weight
}

// currentCapacity returns the weight of the servers that may be sent requests, each scaled by its slow-start
// factor.
func (b *Balancer) currentCapacity() float64 {
	state := &b.capacity
	if state.totalAt == b.now && state.totalGeneration == b.generation {
		return state.totalCapacity
	}
	b.survey()
	state.peak *= math.Exp((state.totalAt - b.now) / max(b.settings.Contract.SlowStartMs, 1))
	state.totalCapacity, state.totalAt, state.totalGeneration = state.warmWeight, b.now, b.generation
	for _, srv := range state.warmingUpServers {
		if srv.ready && srv.state < Unhealthy {
			state.totalCapacity += srv.weight * b.slowStartFactor(srv) * b.effectiveShare(srv)
		}
	}
	state.peak = max(state.peak, state.totalCapacity)
	return state.totalCapacity
}
