package policy

import (
	"math"
	"math/bits"
	"slices"
)

// This file holds what outcomes and probes say about servers, and what follows from it.

func (b *Balancer) onAttemptEnded(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.server
	a.ended = true
	r.inFlight--
	b.inFlight--
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if ev.Status.NotExecuted() {
		r.maybeExecuted--
	}
	r.reachedServer = r.reachedServer || ev.Status != ConnectFailed && ev.Status != NotSent
	b.observeAttempt(a, ev)
	if r.finished || ev.Final || ev.Status == OK {
		b.finish(r)
	} else {
		b.retryElsewhere(r, ev.Status)
	}
}

// observeAttempt takes what an attempt's end says about its server.
func (b *Balancer) observeAttempt(a *attempt, ev *Event) {
	s := a.server
	switch ev.Status {
	case OK:
		b.recordFailureRate(s, 0)
		b.onServed(a, ev)
	case Error, Reset:
		b.recordFailureRate(s, 1)
		s.lastResponseAt = b.now
		b.eject(s, false)
	case ConnectFailed:
		// One that says no is there; one that lets the connect run out is not.
		b.recordFailureRate(s, 1)
		s.timedOutFrom = a.sentAt
		b.eject(s, ev.LatencyMs >= b.settings.Limits.ConnectTimeoutMs)
		if s.unreachableSince == 0 {
			s.unreachableSince = b.now
		}
	case Timeout:
		// A server that answered others meanwhile is not to blame for a costly
		// request; it counts as slow. One that was given less time than answers take is not
		// to blame at all: clients that come again near their end would put out whole zones.
		if ev.LatencyMs < b.expectedLatency[a.request.class] {
			break
		}
		b.pause(s)
		if s.lastResponseAt > a.sentAt {
			b.recordLatency(s, b.relativeLatency(a.request, ev.LatencyMs))
		} else if ev.LatencyMs >= min(timeoutLatencyFactor*b.expectedLatency[a.request.class], b.settings.Classes[a.request.class].LatencyTargetMs) {
			s.timedOutFrom = a.sentAt
			b.eject(s, true)
		}
	case Rejected:
		s.lastResponseAt = b.now
		b.reduceConcurrency(s, 0.7, 1)
		b.pause(s)
	}
}

// adjustLocalWeight moves the own zone's weight up while the part of what is sent there and not
// served in time is under the price of crossing, and down while it is above: one zone may
// have more traffic than its servers can carry.
func (b *Balancer) adjustLocalWeight(s *server, missed bool) {
	if s.zone != b.settings.Zone {
		return
	}
	x := b.settings.Prices.CrossZone
	if missed {
		x--
	}
	b.localWeight = min(max(b.localWeight*(1+localWeightStep*x), localWeightMin), localWeightMax)
}

// reportsOverload tells whether a server reports well more requests than the mean of the others:
// the cap by what all agents have in flight there.
func (b *Balancer) reportsOverload(s *server, report []float32) bool {
	x, ok := b.reportedMetric(report, "inflight")
	if !ok {
		return false
	}
	x /= s.weight
	b.meanReported = movingMean(b.meanReported, x, 4*fleetMeanWeight)
	return x > overloadInFlightFactor*b.meanReported+1
}

// pause lets a crowded server miss about one turn of this agent. One that sees it twice a
// minute cannot follow its crowd by window; but all agents together send it less by the
// part of them that met it crowded. Each time in a row doubles the turns, or the queue of one
// that turned slower under its crowd would stay. Of few agents each follows by its window, and
// a rest would leave the server idle: up to 15 double nothing.
func (b *Balancer) pause(s *server) {
	b.adjustLocalWeight(s, true)
	turns := b.sendInterval * float64(len(b.aperture)) * float64(int(1)<<s.overloadStreak)
	s.pausedUntil = b.now + min(turns, b.settings.Contract.SlowStartMs)*(0.5+b.rng.Float64())
	s.overloadStreak = min(s.overloadStreak+1, maxOverloadStreak, max(bits.Len(uint(b.settings.AgentCount))-4, 0))
}

func (b *Balancer) onServed(a *attempt, ev *Event) {
	s, r, rtt := a.server, a.request, ev.LatencyMs
	b.retryTokens = min(b.retryTokens+retryBudgetRatio, retryBudgetMax)
	b.onResponse(s)
	s.meanLatencyMs = movingMean(s.meanLatencyMs, rtt, serverMeanWeight)
	c := &b.settings.Classes[r.class]
	b.expectedLatency[r.class] = movingMean(b.expectedLatency[r.class], min(rtt, 2*c.LatencyTargetMs), 4*fleetMeanWeight)
	gain := 0.0
	if b.now <= r.targetAt {
		b.adjustLocalWeight(s, false)
		b.classOnTime[r.class] += 1 - mixDecay
		gain = 1
	}
	if !r.finished {
		b.recordGoodput(gain)
	}
	x := b.relativeLatency(r, rtt)
	b.responses++
	b.fleetLatency = movingMean(b.fleetLatency, x, max(fleetMeanWeight, 1/b.responses))
	switch {
	case b.responses <= baselineResponses:
		// One quick answer must not set the measure, nor a crowd at the start.
		b.baselineLatency = min(b.fleetLatency, overloadTargetShare/2)
	case b.fleetLatency < b.baselineLatency:
		b.baselineLatency = movingMean(b.baselineLatency, b.fleetLatency, fleetMeanWeight)
	default:
		// Hardly, or a crowd would become the measure; an attempt that was alone of its agent
		// tells the more the fewer agents there are, as those see most of the load.
		rise := fleetMeanWeight / 250
		if a.soleInFlight {
			rise = fleetMeanWeight / min(2*math.Pow(float64(max(b.settings.AgentCount, 1)), 3), 250)
		}
		b.baselineLatency = movingMean(b.baselineLatency, b.fleetLatency, rise)
	}
	b.recordLatency(s, x)
	if late := b.now > r.targetAt; b.reportsOverload(s, ev.LoadReport) || late {
		b.pause(s)
	} else {
		s.overloadStreak = max(s.overloadStreak-1, 0)
	}
	limit := b.overloadLatency(s)
	counts, changed := s.RecordSuccess(a.sentAt, b.now)
	if !counts {
		return
	}
	if changed {
		b.generation++
	}
	switch {
	case s.latency > limit && b.now-s.limitReducedAt > rtt:
		least := 1.0
		if s.latency > severeOverloadFactor*limit {
			least = minConcurrency
		}
		b.reduceConcurrency(s, 0.85, least)
	case s.latency < limit && float64(len(s.inFlight)+2) > s.concurrencyLimit && b.responses > baselineResponses:
		s.concurrencyLimit += min(1/s.concurrencyLimit, s.concurrencyLimit)
	}
}

// overloadLatency is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load, and need not fear to crowd a server that
// answers well within the aim. A cold server is slow before it is crowded.
func (b *Balancer) overloadLatency(s *server) float64 {
	least := 2 * overloadTargetShare / (2 + float64(b.settings.AgentCount))
	return min(overloadTargetShare, max(overloadBaselineFactor*b.baselineLatency, least)) / b.slowStartFactor(s)
}

// onResponse notes an answer. A server that no connect reached for long may be a new
// process, cold and not yet listed as such: it is ramped as if it had started now. Quick
// answers do not clear it: a cold server is quick while it has little.
func (b *Balancer) onResponse(s *server) {
	if s.unreachableSince > 0 && b.now-s.unreachableSince > b.settings.Contract.CollapseAfterMs {
		s.assumedStartAt, s.concurrencyLimit, s.slowStartCredit = b.now, 1, 0
		b.generation++
	}
	s.lastResponseAt, s.unreachableSince = b.now, 0
	if s.zoneSuspected {
		b.clearZoneSuspicion(s.zone)
	}
}

// toleratesFailures tells whether the server fails no more than may happen to any: connections break,
// and answers come spoilt.
func (b *Balancer) toleratesFailures(s *server) bool {
	return s.failureRate < baseFailureTolerance+failureToleranceFactor*b.failureRate
}

// eject makes a server Unhealthy. Failures of one moment count as one strike.
func (b *Balancer) eject(s *server, silent bool) {
	if s.RecordFailure(silent, b.now) {
		b.generation++
		if silent || !b.toleratesFailures(s) {
			s.RecordEjection()
			s.latency, s.latencySamples, s.concurrencyLimit = 0, 0, max(s.concurrencyLimit/2, 1)
		}
	}
	if silent {
		b.suspectZone(s.zone)
	}
	b.fetchList()
}

// suspectZone passes over a failure domain of which several servers have fallen silent and
// none has answered since. Probes, or an answer, clear all that are only suspected.
func (b *Balancer) suspectZone(zone int) {
	heard, lost := 0.0, 0
	for _, s := range b.servers {
		if s.zone == zone && s.ready {
			heard = max(heard, s.lastResponseAt)
		}
	}
	for _, s := range b.servers {
		if s.zone == zone && s.ready && s.state >= UnhealthyPending && s.timedOut && s.timedOutFrom > heard {
			lost++
		}
	}
	if lost < zoneSuspicionCount {
		return
	}
	for _, s := range b.servers {
		if s.zone == zone && s.ready && s.state <= Unknown {
			b.transition(s, UnhealthyPending)
			s.timedOut, s.zoneSuspected = true, true
		}
	}
}

// clearZoneSuspicion takes back a suspicion that an answer from the zone has refuted.
func (b *Balancer) clearZoneSuspicion(zone int) {
	for _, s := range b.servers {
		if s.zone == zone && s.zoneSuspected {
			if s.zoneSuspected = false; s.state == UnhealthyPending {
				b.transition(s, Unknown)
				s.timedOut = false
			}
		}
	}
}

// ejectionTime is how long a server stays Unhealthy before it is validated again: one aim, or a
// turn of the agent's own where it meets the server seldom, doubled with each further strike.
// While the others have no room there is none: a server that fails some requests is better
// than refusing them all. One that answers nothing is not.
func (b *Balancer) ejectionTime(s *server) float64 {
	if (b.saturated || b.toleratesFailures(s)) && !s.timedOut {
		return 0
	}
	unit := b.minLatencyTarget
	if !s.timedOut {
		unit = max(unit, b.sendInterval*float64(len(b.aperture)))
	}
	return s.EjectionTime(unit, b.minLatencyTarget)
}

// ejectTimedOut demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) ejectTimedOut() {
	for _, s := range b.servers {
		if len(s.inFlight) == 0 || s.state == Unhealthy {
			continue
		}
		a := s.inFlight[0]
		if b.now-max(s.lastResponseAt, a.sentAt) >= b.expectedLatency[a.request.class]*8/float64(min(len(s.inFlight), 3)) {
			s.timedOutFrom = a.sentAt
			b.eject(s, true)
		}
	}
}

// validateUnhealthy is what each request triggers: servers that were Unhealthy long
// enough are refreshed to pending and validated in the background.
func (b *Balancer) validateUnhealthy() {
	b.survey()
	for _, s := range b.unhealthy {
		// One attempt that hangs must not keep out a server that answers the others.
		free := len(s.inFlight) == 0 || !s.timedOut && b.toleratesFailures(s)
		if s.ready && free && s.BeginValidation(b.ejectionTime(s), b.now) {
			b.generation++
			b.fetchList()
		}
		// That the process runs, all that a probe can tell, is known of one that answered.
		pending := s.state == UnhealthyPending && s.ready && s.timedOut && (b.reachableShare == 1 || b.effectiveShare(s) > 0)
		if pending && b.settings.Limits.AllowProbes && !s.probing && b.probeTokens >= 1 && b.probesInFlight < maxProbesInFlight {
			b.sendProbe(s)
		}
	}
}

func (b *Balancer) onProbeEnded(ev *Event) {
	s := b.serverByAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probesInFlight--
	if ev.Status == OK && s.samplingLoad { // those that are validated are no fair sample
		b.recordUtilization(s, ev.LoadReport)
	}
	s.samplingLoad = false
	switch {
	case ev.Status == NotSent || s.state == Unhealthy: // no more is known than before
	case s.state <= Unknown:
		if ev.Status == Timeout || ev.Status == ConnectFailed {
			b.transition(s, UnhealthyPending) // it may only stand still: a second probe tells
		}
	case ev.Status == OK:
		b.onResponse(s)
		b.transition(s, Connected)
	case ev.Status != Rejected:
		b.eject(s, true)
	}
}
