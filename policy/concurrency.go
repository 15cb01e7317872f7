package policy

import "math/bits"

const (
	// A server counts as overloaded if its mean relative latency is above overloadTargetShare or above
	// overloadBaselineFactor times the fleet's baseline.
	overloadTargetShare, overloadBaselineFactor = 0.5, 1.5
	// severeOverloadFactor is the multiple of that latency above which a server is severely overloaded.
	severeOverloadFactor = 2.5
	// initialConcurrency is the concurrency limit of a server whose latency is unknown. minConcurrency is the
	// lowest limit of a severely overloaded server: enough to detect when it has recovered.
	initialConcurrency, minConcurrency = 2.0, 0.1
	// latencyDecrease and rejectionDecrease are the factors by which a high latency and a rejection decrease
	// the concurrency limit.
	latencyDecrease, rejectionDecrease = 0.85, 0.7
	// overloadInFlightFactor is the multiple of the mean reported requests in flight above which a server
	// counts as overloaded.
	overloadInFlightFactor = 1.5
	// maxOverloadStreak limits how often the pause of an overloaded server is doubled.
	maxOverloadStreak = 4
	// fewAgentsBits is the bit length of the largest number of agents with which pauses are not doubled.
	fewAgentsBits = 4
)

// sendingState holds when and how often this agent sends requests.
type sendingState struct {
	lastAt         float64 // time of the last attempt; zero before the first
	meanIntervalMs float64 // mean time between attempts

	warmRate   float64 // recent arrivals for a warm server of weight one, decaying over the slow-start time
	warmRateAt float64 // when warmRate was updated
}

// hasCapacity reports whether this agent may have another attempt in flight on the server: by the server's
// concurrency limit and slow-start credit, and one at a time on a server that is not validated yet and whose
// failure rate is not tolerated.
func (b *Balancer) hasCapacity(srv *server) bool {
	if srv.state >= UnhealthyPending && (len(srv.inFlight) == 0 || !b.toleratesFailures(srv)) {
		return len(srv.inFlight) == 0
	}
	if len(srv.inFlight) >= max(int(srv.concurrencyLimit), 1) {
		return false
	}
	// A limit below one is enforced by a pause between attempts: with many agents, even one attempt of each
	// can be too much, and a collapsed server needs idle time to recover.
	if srv.concurrencyLimit < 1 && b.now-srv.lastSentAt < srv.meanLatencyMs/srv.concurrencyLimit {
		return false
	}
	return b.slowStartAllows(srv)
}

// overloadLatency returns the mean relative latency above which a server counts as overloaded. It has a lower
// bound that is higher the fewer agents there are: each of a few agents sees most of the load, so a server
// that answers well within the target is not overloaded. A server in slow start is slow before it is
// overloaded.
func (b *Balancer) overloadLatency(srv *server) float64 {
	lowerBound := 2 * overloadTargetShare / (2 + float64(b.settings.AgentCount))
	warmLatency := min(overloadTargetShare, max(overloadBaselineFactor*b.latency.baseline, lowerBound))
	return warmLatency / b.slowStartFactor(srv)
}

// adjustConcurrency adjusts a server's concurrency limit after a served attempt: additive increase while the
// limit is used and the latency is low, multiplicative decrease while the server is overloaded, at most once
// in the time of one latency.
func (b *Balancer) adjustConcurrency(srv *server, overloadLatency, latencyMs float64) {
	switch {
	case srv.relativeLatency > overloadLatency && b.now-srv.limitReducedAt > latencyMs:
		lowestLimit := 1.0
		if srv.relativeLatency > severeOverloadFactor*overloadLatency {
			lowestLimit = minConcurrency
		}
		b.reduceConcurrency(srv, latencyDecrease, lowestLimit)
	case srv.relativeLatency < overloadLatency && float64(len(srv.inFlight)+2) > srv.concurrencyLimit &&
		b.latency.responses > baselineResponses:
		srv.concurrencyLimit += min(1/srv.concurrencyLimit, srv.concurrencyLimit)
	}
}

// reduceConcurrency multiplies a server's concurrency limit by factor, but not below lowestLimit.
func (b *Balancer) reduceConcurrency(srv *server, factor, lowestLimit float64) {
	srv.concurrencyLimit = min(srv.concurrencyLimit, max(srv.concurrencyLimit*factor, lowestLimit))
	srv.limitReducedAt = b.now
}

// reportsOverload reports whether a server reports far more requests in flight, by all agents, than the
// servers do on average.
func (b *Balancer) reportsOverload(srv *server, report []float32) bool {
	inFlight, ok := b.reportedMetric(report, "inflight")
	if !ok {
		return false
	}
	inFlight /= srv.weight
	b.meanReportedInFlight = movingMean(b.meanReportedInFlight, inFlight, 4*fleetMeanWeight)
	return inFlight > overloadInFlightFactor*b.meanReportedInFlight+1
}

// pause makes this agent skip an overloaded server for about serverIntervalMs. An agent that sends to a
// server twice a minute cannot follow its load with a concurrency limit. But together the agents send it
// less, by the fraction of them that found it overloaded. The pause doubles each time in a row, because
// otherwise the queue of a server that became slower under load would remain. With fewer than 16 agents it
// does not double: each of them follows the load with its limit, and long pauses would leave the server idle.
func (b *Balancer) pause(srv *server) {
	b.adjustLocalWeight(srv, true)
	pauseMs := b.serverIntervalMs() * float64(int(1)<<srv.overloadStreak)
	srv.pausedUntil = b.now + min(pauseMs, b.settings.Contract.SlowStartMs)*(0.5+b.rng.Float64())
	agentBits := bits.Len(uint(b.settings.AgentCount))
	srv.overloadStreak = min(srv.overloadStreak+1, maxOverloadStreak, max(agentBits-fewAgentsBits, 0))
}

// serverIntervalMs returns the mean time between two attempts of this agent on the same server.
func (b *Balancer) serverIntervalMs() float64 {
	return b.sending.meanIntervalMs * float64(len(b.aperture.servers))
}
