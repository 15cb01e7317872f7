package policy

import (
	"cmp"
	"math"
	"slices"
)

// This file holds what is let in, and in which order it is sent.

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.settings.Classes) || b.requests[ev.Request] != nil {
		return
	}
	c := &b.settings.Classes[ev.Class]
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key,
		arrivedAt: b.now, firstArrivedAt: b.now, admissionDraw: b.rng.Float64()}
	left := max(ev.RemainingMs, 0)
	r.deadline = b.now + left - min(b.settings.RoundMs, left/4)
	if ev.IsRetry {
		b.restoreRetry(r)
	}
	r.targetAt = min(r.firstArrivedAt+c.LatencyTargetMs, r.deadline)
	b.requests[r.id] = r
	b.recentArrivals++
	b.updateAperture()
	r.hashKey = b.hashKeyFor(r.key)
	b.countTenant(r.tenant)
	b.countClass(r.class)
	for i := range b.classOnTime {
		if b.classOnTime[i]*b.classShares[b.worstClass] < b.classOnTime[b.worstClass]*b.classShares[i] {
			b.worstClass = i
		}
	}
	b.probeTokens = min(b.probeTokens+b.probeRate(), maxProbesInFlight)
	b.sampleLoad()
	b.validateUnhealthy()
	b.pending = append(b.pending, r)
	shed, full := b.sheddingShare(), 1-b.admissionShare()
	if b.settings.Clients.MarksRetry && !ev.IsRetry { // of what comes, refused or not: see earn
		b.accrueSlowStart()
	}
	if !ev.IsRetry { // who comes again is refused again, and no further demand
		b.admittedShare = movingMean(b.admittedShare, 1-max(shed, full), 4*fleetMeanWeight)
	}
	if r.admissionDraw < max(shed, full) {
		// A refusal for want of room is no sign of a crowd, nor are those of one client that
		// comes again and again.
		if shed > full && !ev.IsRetry {
			b.recordGoodput(0)
		}
		b.endUnserved(r)
		return
	}
	if !b.settings.Clients.MarksRetry {
		b.accrueSlowStart()
	}
	if b.cannotFinish(r, 1+full) {
		b.endUnserved(r)
	}
}

// sheddingShare is the part of requests to refuse at once. Where much is served too late the
// servers are crowded and work for nothing, and only less load lets them recover; an
// agent that sees little knows no server's crowd, but its own part served in time.
func (b *Balancer) sheddingShare() float64 {
	return min(max(b.attempted-sheddingFactor*b.goodput, 0)/(b.attempted+1), maxRejection)
}

// admissionShare is the part of the requests that the listed servers have room for: known from
// probes, and told anew when servers go, before the rest is crowded.
func (b *Balancer) admissionShare() float64 {
	if b.demand == 0 {
		return 1
	}
	have := b.currentCapacity()
	most := targetUtilization - capacityLossMargin*(1-have/max(b.peakCapacity, have))
	return min(max(most*have/b.demand, 1-maxRejection), 1)
}

// recordUtilization takes a warm server's utilization into the load that the whole fleet would bear
// were nothing refused, in units of a warm server of weight one.
func (b *Balancer) recordUtilization(s *server, report []float32) {
	util, ok := b.reportedMetric(report, "util")
	if !ok || !s.ready {
		return
	}
	b.loadSamples++
	weight := max(1/utilizationWindow, 1/(b.loadSamples+utilizationPrior))
	if held, ok := b.reportedMetric(report, "inflight"); ok {
		// A full server can't say by its utilization how much too much it gets.
		// On a large fleet it counts as far as others are full too: a few slow ones, which
		// have long queues, are no want of room.
		over := math.Sqrt(max(held/(queueLimitPerWeight*s.weight), 1)) - 1
		b.saturation += (min(math.Ceil(over), 1) - b.saturation) * weight
		util *= 1 + over*min(b.saturation*max(subsetThreshold/float64(len(b.hashRing)), 1), 1)
	}
	// Who refuses more than others takes their load for what is left of its own: it comes
	// back to them by the room that it sees.
	admitted := b.admittedShare + (1-b.admittedShare)*max(1-util/targetUtilization, 0)
	demand := util * b.currentCapacity() / max(admitted, 1-maxRejection)
	b.demand += (demand - b.demand) * weight
}

// probeRate is the probes that each request earns, by their price. Where requests are
// refused for what probes tell, it must be true of now.
func (b *Balancer) probeRate() float64 {
	rate := min(maxProbesPerRequest, probeCostBudget/max(b.settings.Prices.Probe, 1e-9))
	if b.admittedShare < 0.9 {
		rate *= rejectingProbeFactor
	}
	return rate
}

// sampleLoad probes a server at random for its load.
func (b *Balancer) sampleLoad() {
	if !b.settings.Limits.AllowProbes || b.probeTokens < 1 || b.probesInFlight >= maxProbesInFlight || len(b.aperture) == 0 ||
		!slices.Contains(b.settings.LoadReport.Metrics, "util") {
		return
	}
	if b.validationTurn = !b.validationTurn; b.validationTurn {
		return // this probe is for validation, if any server waits for it
	}
	for range sampleDraws {
		// A lost zone tells nothing of the load, and a cold server little, as it gets no more
		// than its credit.
		s := b.aperture[b.rng.IntN(len(b.aperture))]
		warm := b.slowStartFactor(s) == 1 || b.warmHealthyWeight == 0 && b.rng.Float64() < b.slowStartFactor(s)
		if s.ready && s.state < Unhealthy && !s.zoneSuspected && !s.probing && warm && b.effectiveShare(s) > 0 {
			s.samplingLoad = true
			b.sendProbe(s)
			return
		}
	}
}

// valueOf is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) valueOf(r *request) float64 {
	c := &b.settings.Classes[r.class]
	o := &b.settings.Objective
	v := c.Value * (o.Overall + o.WorstWindow)
	if r.class == b.worstClass {
		v += o.WorstClass * b.meanValue / b.classShares[r.class]
	}
	if b.now+b.expectedLatency[r.class] > r.targetAt {
		v *= b.settings.Prices.LateFailure
	}
	if b.overQuota(r.tenant) {
		v *= b.settings.OverQuotaValue
	}
	return v / b.expectedLatency[r.class]
}

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.pending {
		r.value = b.valueOf(r)
	}
	slices.SortFunc(b.pending, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id))
	})
	// A request that waits for the servers of its key finds no room where the next
	// does: it is passed over. Of those that take any server a few failures tell.
	b.saturated = false
	for i, failures := 0, 0; i < len(b.pending) && failures < 4; {
		r := b.pending[i]
		if b.waitsForAffinity(r) && r.preferredAt == b.generation && !b.belowLoadCap(r.preferred[0], r) && !b.belowLoadCap(r.preferred[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.maySend(r, s, true) {
			b.send(r, s)
			b.pending = slices.Delete(b.pending, i, i+1)
			continue
		}
		i++
		if !b.waitsForAffinity(r) {
			failures++
		}
		b.saturated = failures > 0
	}
	for len(b.pending) > maxPending {
		b.endUnserved(b.pending[len(b.pending)-1])
	}
}

// cannotFinish tells whether a request, sent now, has no time left for so many of the usual answer
// times. The more is refused, the surer one that is let in has to be of its answer.
func (b *Balancer) cannotFinish(r *request, times float64) bool {
	return b.now+times*b.expectedLatency[r.class] > r.targetAt || b.now >= r.deadline
}

// expirePending ends held requests that can no longer earn anything: refused early,
// before they cost server work.
func (b *Balancer) expirePending() {
	for i := 0; i < len(b.pending); {
		r := b.pending[i]
		waited := !r.reachedServer && b.now-r.arrivedAt > unsentTimeShare*(r.deadline-r.arrivedAt)
		if waited || b.cannotFinish(r, 1) {
			b.endUnserved(r)
			continue
		}
		i++
	}
}
