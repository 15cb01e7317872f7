package policy

import "math"

const (
	// timeoutLatencyFactor is how many expected latencies a time-out must have lasted to count against its
	// server; one that lasted the entire latency target always does.
	timeoutLatencyFactor = 4.0
	// unresponsiveLatencies is after how many expected latencies without a response a server with one
	// attempt in flight is ejected; further attempts, up to unresponsiveAttempts, shorten that.
	unresponsiveLatencies, unresponsiveAttempts = 8, 3
	// baseFailureTolerance is the part of its attempts that a server may fail, beyond
	// failureToleranceFactor times what all servers fail, before a failure ejects it for a time.
	baseFailureTolerance, failureToleranceFactor = 0.2, 1.5
	// failureRateWeight is the least weight of one outcome in a server's failure rate; outcomes older than
	// about failureRateWindowMs no longer count.
	failureRateWeight, failureRateWindowMs = 0.15, 5000.0
)

// recordFailureRate takes an outcome, 1 for a failure and 0 otherwise, into the failure rates of the server
// and of the fleet.
func (b *Balancer) recordFailureRate(srv *server, failure float64) {
	weight := max(failureRateWeight, 1-math.Exp((srv.lastOutcomeAt-b.now)/failureRateWindowMs))
	srv.failureRate += weight * (failure - srv.failureRate)
	srv.lastOutcomeAt = b.now
	b.failureRate += fleetMeanWeight * (failure - b.failureRate)
}

// toleratesFailures reports whether the server fails no more than any may: connections break, and responses
// arrive corrupt.
func (b *Balancer) toleratesFailures(srv *server) bool {
	return srv.failureRate < baseFailureTolerance+failureToleranceFactor*b.failureRate
}

// eject makes a server Unhealthy. The failures of one moment count as one ejection.
func (b *Balancer) eject(srv *server, timedOut bool) {
	if srv.RecordFailure(timedOut, b.now) {
		b.generation++
		if timedOut || !b.toleratesFailures(srv) {
			srv.RecordEjection()
			srv.latency, srv.latencySamples = 0, 0
			srv.concurrencyLimit = max(srv.concurrencyLimit/2, 1)
		}
	}
	if timedOut {
		b.suspectZone(srv.zone)
	}
	b.fetchList()
}

// transition puts a server into a health state.
func (b *Balancer) transition(srv *server, to State) {
	if srv.Transition(to, b.now) {
		b.generation++
	}
}

// ejectionTime is how long a server stays Unhealthy before it is validated: the shortest latency target,
// or a turn of this agent where it meets the server seldom, doubled with each further ejection. While the
// others lack capacity it is 0 for a server that responds: one that fails some requests is better than to
// reject them all.
func (b *Balancer) ejectionTime(srv *server) float64 {
	if (b.saturated || b.toleratesFailures(srv)) && !srv.timedOut {
		return 0
	}
	base := b.minLatencyTarget
	if !srv.timedOut {
		base = max(base, b.turnMs())
	}
	return srv.EjectionTime(base, b.minLatencyTarget)
}

// ejectTimedOut ejects servers that took attempts and have sent no response for several expected latencies:
// hung or unreachable, they would stay Connected.
func (b *Balancer) ejectTimedOut() {
	for _, srv := range b.servers {
		if len(srv.inFlight) == 0 || srv.state == Unhealthy {
			continue
		}
		oldest := srv.inFlight[0]
		tolerated := b.latency.expected[oldest.request.class] * unresponsiveLatencies /
			float64(min(len(srv.inFlight), unresponsiveAttempts))
		if b.now-max(srv.lastResponseAt, oldest.sentAt) >= tolerated {
			srv.timedOutFrom = oldest.sentAt
			b.eject(srv, true)
		}
	}
}
