package policy

import "math"

const (
	// goodputWindow is the number of ended requests by which an agent knows what part of them is answered
	// in time. Under 1/sheddingFactor of them it sheds some, and never rejects more than maxRejection.
	goodputWindow, sheddingFactor, maxRejection = 20.0, 1.5, 0.8
	// targetUtilization is the utilization to which admission limits warm servers. capacityLossMargin is
	// what is taken off it by the part of the capacity that was lost of late: keys that move cost more.
	targetUtilization, capacityLossMargin = 0.92, 0.8
	// utilizationWindow is the number of probes over which utilization is averaged. utilizationPrior idle
	// ones are assumed at the start, so that one overloaded server is not taken for all.
	utilizationWindow, utilizationPrior = 4.0, 1.0
	// queueLimitPerWeight is the requests in flight, for a weight of one, from which a server's queue
	// counts as overload.
	queueLimitPerWeight = 4.0
)

// admissionState is what admission control knows: the goodput of this agent's requests, and the demand on
// the fleet by its servers' utilization.
type admissionState struct {
	ended, onTime float64 // ended requests, fading, and those of them that were answered in time

	samples       float64 // load reports taken
	demand        float64 // load on the fleet if nothing were rejected; 0: not known
	saturation    float64 // part of the sampled servers whose queues are overloaded
	admittedShare float64 // part of the new requests that was not rejected of late
}

func newAdmissionState() admissionState {
	return admissionState{ended: goodputWindow / 2, onTime: goodputWindow / 2}
}

// recordEnd counts an ended request and the part of its value that it earned.
func (a *admissionState) recordEnd(earned float64) {
	a.ended += 1 - a.ended/goodputWindow
	a.onTime += earned - a.onTime/goodputWindow
}

// sheddingShare is the part of the requests to shed at once. Where many are answered too late the servers
// are overloaded and work in vain, and only less load lets them recover. An agent that sends little sees no
// server's overload, but it does see the part of its own requests that is answered in time.
func (a *admissionState) sheddingShare() float64 {
	return min(max(a.ended-sheddingFactor*a.onTime, 0)/(a.ended+1), maxRejection)
}

// admissionShare is the part of the requests for which the listed servers have capacity. It is known from
// probes and follows the list at once, before the remaining servers are overloaded.
func (b *Balancer) admissionShare() float64 {
	if b.admission.demand == 0 {
		return 1
	}
	capacity := b.currentCapacity()
	utilization := targetUtilization - capacityLossMargin*(1-capacity/max(b.capacity.peak, capacity))
	return min(max(utilization*capacity/b.admission.demand, 1-maxRejection), 1)
}

// recordUtilization takes a server's load report into the demand on the fleet.
func (b *Balancer) recordUtilization(srv *server, report []float32) {
	utilization, ok := b.reportedMetric(report, "util")
	if !ok || !srv.ready {
		return
	}
	state := &b.admission
	state.samples++
	weight := max(1/utilizationWindow, 1/(state.samples+utilizationPrior))
	if inFlight, ok := b.reportedMetric(report, "inflight"); ok {
		// The utilization of an overloaded server does not tell by how much it is overloaded. On a large
		// fleet its queue counts as far as others are overloaded, too: a few slow servers, which have
		// long queues, are no lack of capacity.
		excess := math.Sqrt(max(inFlight/(queueLimitPerWeight*srv.weight), 1)) - 1
		state.saturation += (min(math.Ceil(excess), 1) - state.saturation) * weight
		utilization *= 1 + excess*min(state.saturation*max(subsetThreshold/float64(len(b.hashRing)), 1), 1)
	}
	// An agent that rejects more than others sees their load as what is left of its own: it returns to
	// them by the free capacity that it sees.
	admitted := state.admittedShare + (1-state.admittedShare)*max(1-utilization/targetUtilization, 0)
	demand := utilization * b.currentCapacity() / max(admitted, 1-maxRejection)
	state.demand += (demand - state.demand) * weight
}

// onRequest admits a request to the pending ones, or rejects it.
func (b *Balancer) onRequest(event *Event) {
	if event.Class < 0 || event.Class >= len(b.settings.Classes) || b.requests[event.Request] != nil {
		return
	}
	req := b.newRequest(event)
	b.requests[req.id] = req
	b.aperture.arrivals++
	b.updateAperture()
	req.hashKey = b.hashKeyFor(req.key)
	b.mix.countTenant(req.tenant)
	b.mix.countClass(b.settings.Classes, req.class)
	b.mix.updateWorstClass()
	b.probes.tokens = min(b.probes.tokens+b.probeRate(), maxProbesInFlight)
	b.sampleLoad()
	b.validateUnhealthy()
	b.pending = append(b.pending, req)
	b.admit(req, event.IsRetry)
}

// newRequest is the state of a request that arrives now.
func (b *Balancer) newRequest(event *Event) *request {
	req := &request{
		id:             event.Request,
		class:          event.Class,
		tenant:         event.Tenant,
		key:            event.Key,
		arrivedAt:      b.now,
		firstArrivedAt: b.now,
		admissionDraw:  b.rng.Float64(),
	}
	remaining := max(event.RemainingMs, 0)
	req.deadline = b.now + remaining - min(b.settings.RoundMs, remaining/4)
	if event.IsRetry {
		b.unserved.restoreRetry(req)
	}
	req.targetAt = min(req.firstArrivedAt+b.settings.Classes[req.class].LatencyTargetMs, req.deadline)
	return req
}

// admit rejects a pending request at once if there is no capacity or no time for it.
func (b *Balancer) admit(req *request, isRetry bool) {
	shedding, lacking := b.admission.sheddingShare(), 1-b.admissionShare()
	rejection := max(shedding, lacking)
	marked := b.settings.Clients.MarksRetry
	if marked && !isRetry { // rejected or not, see accrueSlowStart
		b.accrueSlowStart()
	}
	if !isRetry { // a retry of a rejected request is rejected again, and is no further demand
		b.admission.admittedShare = movingMean(b.admission.admittedShare, 1-rejection, 4*fleetMeanWeight)
	}
	if req.admissionDraw < rejection {
		// A rejection for lack of capacity is no sign of overload, nor are those of one client that
		// retries again and again.
		if shedding > lacking && !isRetry {
			b.admission.recordEnd(0)
		}
		b.endUnserved(req)
		return
	}
	if !marked {
		b.accrueSlowStart()
	}
	// The more is rejected, the surer of its answer a request has to be that is let in.
	if b.cannotFinish(req, 1+lacking) {
		b.endUnserved(req)
	}
}

// cannotFinish reports whether a request, sent now, has less time left than so many expected latencies.
func (b *Balancer) cannotFinish(req *request, latencies float64) bool {
	return b.now+latencies*b.latency.expected[req.class] > req.targetAt || b.now >= req.deadline
}
