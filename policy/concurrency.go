package policy

import "math/bits"

const (
	// overloadTargetShare is the part of the latency target that a mean latency may take,
	// overloadBaselineFactor how many times the fleet's baseline, before a server counts as overloaded.
	overloadTargetShare, overloadBaselineFactor = 0.5, 1.5
	// severeOverloadFactor is how many times that latency a severely overloaded server takes.
	severeOverloadFactor = 2.5
	// initialConcurrency is the concurrency limit of a server of which no latency is known, minConcurrency
	// what is left to a server however overloaded: enough to see when it no longer is.
	initialConcurrency, minConcurrency = 2.0, 0.1
	// latencyDecrease and rejectionDecrease are the multiplicative decreases of the concurrency limit.
	latencyDecrease, rejectionDecrease = 0.85, 0.7
	// overloadInFlightFactor is how many times the mean of the reported requests in flight a server may
	// have.
	overloadInFlightFactor = 1.5
	// maxOverloadStreak bounds the doubling of an overloaded server's pause.
	maxOverloadStreak = 4
	// fewAgentsBits is the length in bits of the number of agents up to which pauses are not doubled.
	fewAgentsBits = 4
)

// sendingState is how this agent's attempts follow each other.
type sendingState struct {
	lastAt   float64
	interval float64 // mean time between attempts

	warmRate   float64 // requests sent to a warm server of weight one, fading over the slow-start time,
	warmRateAt float64 // as of
}

// hasCapacity bounds what a server has in flight of this agent: by its concurrency limit, one at a time until
// it is validated, and by its slow-start credit.
func (b *Balancer) hasCapacity(srv *server) bool {
	if srv.state >= UnhealthyPending && (len(srv.inFlight) == 0 || !b.toleratesFailures(srv)) {
		return len(srv.inFlight) == 0
	}
	if len(srv.inFlight) >= max(int(srv.concurrencyLimit), 1) {
		return false
	}
	// A limit under one is enforced by pauses: of many agents even one attempt of each can be too much, and
	// a server that collapsed needs idle time to recover.
	if srv.concurrencyLimit < 1 && b.now-srv.lastSentAt < srv.meanLatencyMs/srv.concurrencyLimit {
		return false
	}
	return b.slowStartAllows(srv)
}

// overloadLatency is the mean relative latency from which a server counts as overloaded. A few agents see
// most of the load, and need not fear to overload a server that answers well within the target. A server
// that warms up is slow before it is overloaded.
func (b *Balancer) overloadLatency(srv *server) float64 {
	least := 2 * overloadTargetShare / (2 + float64(b.settings.AgentCount))
	relative := min(overloadTargetShare, max(overloadBaselineFactor*b.latency.baseline, least))
	return relative / b.slowStartFactor(srv)
}

// adjustConcurrency moves a server's concurrency limit after a served attempt: additive increase while it is
// used and the latency is low, multiplicative decrease once a latency while the server is overloaded.
func (b *Balancer) adjustConcurrency(srv *server, overloadLatency, latencyMs float64) {
	switch {
	case srv.latency > overloadLatency && b.now-srv.limitReducedAt > latencyMs:
		least := 1.0
		if srv.latency > severeOverloadFactor*overloadLatency {
			least = minConcurrency
		}
		b.reduceConcurrency(srv, latencyDecrease, least)
	case srv.latency < overloadLatency && float64(len(srv.inFlight)+2) > srv.concurrencyLimit &&
		b.latency.responses > baselineResponses:
		srv.concurrencyLimit += min(1/srv.concurrencyLimit, srv.concurrencyLimit)
	}
}

// reduceConcurrency multiplies a server's concurrency limit, down to a least value.
func (b *Balancer) reduceConcurrency(srv *server, factor, least float64) {
	srv.concurrencyLimit = min(srv.concurrencyLimit, max(srv.concurrencyLimit*factor, least))
	srv.limitReducedAt = b.now
}

// reportsOverload reports whether a server reports far more requests in flight than the others do on average:
// a cap by what all agents have in flight there.
func (b *Balancer) reportsOverload(srv *server, report []float32) bool {
	inFlight, ok := b.reportedMetric(report, "inflight")
	if !ok {
		return false
	}
	inFlight /= srv.weight
	b.meanReported = movingMean(b.meanReported, inFlight, 4*fleetMeanWeight)
	return inFlight > overloadInFlightFactor*b.meanReported+1
}

// pause lets an overloaded server miss about one turn of this agent. An agent that meets it twice a
// minute cannot follow its load by a concurrency limit; but all agents together send it less by the part
// of them that found it overloaded. Each time in a row doubles the turns, or the queue of a server that
// became slower under its load would stay. Of few agents each follows by its limit, and a pause would
// leave the server idle: fewer than 16 double nothing.
func (b *Balancer) pause(srv *server) {
	b.adjustLocalWeight(srv, true)
	turns := b.turnMs() * float64(int(1)<<srv.overloadStreak)
	srv.pausedUntil = b.now + min(turns, b.settings.Contract.SlowStartMs)*(0.5+b.rng.Float64())
	agentBits := bits.Len(uint(b.settings.AgentCount))
	srv.overloadStreak = min(srv.overloadStreak+1, maxOverloadStreak, max(agentBits-fewAgentsBits, 0))
}

// turnMs is the mean time between two of this agent's attempts to the same server.
func (b *Balancer) turnMs() float64 { return b.sending.interval * float64(len(b.aperture.servers)) }
