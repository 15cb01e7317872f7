package policy

import "math"

const (
	// goodputWindow is the number of ended requests over which goodput is averaged. Load is shed if less than
	// 1/sheddingFactor of them were answered in time. At most the fraction maxRejection is rejected.
	goodputWindow, sheddingFactor, maxRejection = 20.0, 1.5, 0.8
	// targetUtilization is the utilization of warm servers up to which requests are admitted. It is reduced
	// by capacityLossMargin times the fraction of the capacity that was lost recently, because keys that
	// move to other servers cost more.
	targetUtilization, capacityLossMargin = 0.92, 0.8
	// utilizationWindow is the number of probes over which utilization is averaged. At the start,
	// utilizationPrior probes of idle servers are assumed, so that one overloaded server does not make the
	// fleet look overloaded.
	utilizationWindow, utilizationPrior = 4.0, 1.0
	// queueLimitPerWeight is the number of requests in flight per unit of weight above which a server's
	// queue counts as overloaded.
	queueLimitPerWeight = 4.0
)

// admissionState is the state of admission control: the goodput of this agent's requests, and the demand on
// the fleet, estimated from the utilization of its servers.
type admissionState struct {
	// endedCount and onTimeCount count the ended requests and those answered in time; older ones count less.
	endedCount, onTimeCount float64

	samples       float64 // number of load reports
	demand        float64 // load on the fleet if nothing were rejected; zero if unknown
	saturation    float64 // fraction of the sampled servers whose queues are overloaded
	admittedShare float64 // fraction of the recent new requests that was admitted
}

func newAdmissionState() admissionState {
	return admissionState{endedCount: goodputWindow / 2, onTimeCount: goodputWindow / 2}
}

// recordEnd counts an ended request; earned is 1 if it was answered in time, and 0 otherwise.
func (a *admissionState) recordEnd(earned float64) {
	a.endedCount += 1 - a.endedCount/goodputWindow
	a.onTimeCount += earned - a.onTimeCount/goodputWindow
}

// sheddingShare returns the fraction of requests to reject because many are answered too late. Overloaded
// servers then work in vain, and only less load lets them recover. An agent that sends few requests cannot
// see that a server is overloaded, but it can see which fraction of its own requests is answered in time.
func (a *admissionState) sheddingShare() float64 {
	return min(max(a.endedCount-sheddingFactor*a.onTimeCount, 0)/(a.endedCount+1), maxRejection)
}

// admissionShare returns the fraction of requests for which the listed servers have capacity. The demand is
// measured by probes. A change of the list takes effect at once, before the remaining servers are overloaded.
func (b *Balancer) admissionShare() float64 {
	if b.admission.demand == 0 {
		return 1
	}
	capacity := b.currentCapacity()
	utilization := targetUtilization - capacityLossMargin*(1-capacity/max(b.capacity.peak, capacity))
	return min(max(utilization*capacity/b.admission.demand, 1-maxRejection), 1)
}

// recordUtilization updates the estimate of the demand on the fleet from a server's load report.
func (b *Balancer) recordUtilization(srv *server, report []float32) {
	utilization, ok := b.reportedMetric(report, "util")
	if !ok || !srv.ready {
		return
	}
	state := &b.admission
	state.samples++
	weight := max(1/utilizationWindow, 1/(state.samples+utilizationPrior))
	if inFlight, ok := b.reportedMetric(report, "inflight"); ok {
		// The utilization of an overloaded server does not show by how much it is overloaded, but its queue
		// does. On a large fleet the queue counts in proportion to the fraction of overloaded servers: a few
		// slow servers with long queues do not mean that the fleet lacks capacity.
		excess := math.Sqrt(max(inFlight/(queueLimitPerWeight*srv.weight), 1)) - 1
		state.saturation += (min(math.Ceil(excess), 1) - state.saturation) * weight
		utilization *= 1 + excess*min(state.saturation*max(subsetThreshold/float64(len(b.hashRing)), 1), 1)
	}
	// The measured load is divided by the fraction that was admitted. An agent that rejects more than the
	// others would overestimate the demand, as their load is in the measurement as well. Free capacity
	// therefore raises the fraction.
	admitted := state.admittedShare + (1-state.admittedShare)*max(1-utilization/targetUtilization, 0)
	demand := utilization * b.currentCapacity() / max(admitted, 1-maxRejection)
	state.demand += (demand - state.demand) * weight
}

// onRequest adds a request to the pending ones, or rejects it.
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

// newRequest returns the state of a request that arrives now.
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
		b.unservedRequests.restoreRetry(req)
	}
	req.targetAt = min(req.firstArrivedAt+b.settings.Classes[req.class].LatencyTargetMs, req.deadline)
	return req
}

// admit rejects a new pending request at once if there is no capacity or not enough time for it.
func (b *Balancer) admit(req *request, isRetry bool) {
	shedding, shortage := b.admission.sheddingShare(), 1-b.admissionShare()
	rejection := max(shedding, shortage)
	retriesMarked := b.settings.Clients.MarksRetry
	if retriesMarked && !isRetry { // even if it is rejected, see accrueSlowStart
		b.accrueSlowStart()
	}
	if !isRetry { // a retry of a rejected request is rejected again and adds no demand
		b.admission.admittedShare = movingMean(b.admission.admittedShare, 1-rejection, 4*fleetMeanWeight)
	}
	if req.admissionDraw < rejection {
		// Rejections for lack of capacity are no sign of overload, nor are those of a client that retries
		// repeatedly.
		if shedding > shortage && !isRetry {
			b.admission.recordEnd(0)
		}
		b.endUnserved(req)
		return
	}
	if !retriesMarked {
		b.accrueSlowStart()
	}
	// The more requests are rejected, the more time an admitted one must have left, so that it is answered.
	if b.cannotFinish(req, 1+shortage) {
		b.endUnserved(req)
	}
}

// cannotFinish reports whether a request that is sent now has less time left than the given number of
// expected latencies.
func (b *Balancer) cannotFinish(req *request, latencies float64) bool {
	return b.now+latencies*b.latency.expectedMs[req.class] > req.targetAt || b.now >= req.deadline
}
