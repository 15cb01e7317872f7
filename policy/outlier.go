package policy

import "math"

const (
	// timeoutLatencyFactor is the number of expected latencies that a timeout must have lasted to count
	// against its server. A timeout that lasted the entire latency target always counts.
	timeoutLatencyFactor = 4.0
	// unresponsiveLatencies is the number of expected latencies without a response after which a server with
	// one attempt in flight is ejected. With more attempts in flight that time is divided by their number,
	// but by no more than unresponsiveAttempts.
	unresponsiveLatencies, unresponsiveAttempts = 8, 3
	// A server's failure rate is tolerated below baseFailureTolerance plus failureToleranceFactor times the
	// failure rate of all servers. Above that, a failure ejects the server for a time.
	baseFailureTolerance, failureToleranceFactor = 0.2, 1.5
	// failureRateWeight is the minimum weight of one outcome in a server's failure rate. Outcomes older than
	// about failureRateWindowMs hardly count.
	failureRateWeight, failureRateWindowMs = 0.15, 5000.0
)

// recordFailureRate adds an outcome, 1 for a failure and 0 otherwise, to the failure rates of the server and
// of the fleet.
func (b *Balancer) recordFailureRate(srv *server, failure float64) {
	weight := max(failureRateWeight, 1-math.Exp((srv.lastOutcomeAt-b.now)/failureRateWindowMs))
	srv.failureRate += weight * (failure - srv.failureRate)
	srv.lastOutcomeAt = b.now
	b.failureRate += fleetMeanWeight * (failure - b.failureRate)
}

// toleratesFailures reports whether the server's failure rate is tolerated: on any server some connections
// break and some responses arrive corrupt.
func (b *Balancer) toleratesFailures(srv *server) bool {
	return srv.failureRate < baseFailureTolerance+failureToleranceFactor*b.failureRate
}

// eject makes a server Unhealthy. Failures of a server that is Unhealthy already are no further ejection.
func (b *Balancer) eject(srv *server, timedOut bool) {
	if srv.RecordFailure(timedOut, b.now) {
		b.generation++
		if timedOut || !b.toleratesFailures(srv) {
			srv.RecordEjection()
			srv.relativeLatency, srv.latencySamples = 0, 0
			srv.concurrencyLimit = max(srv.concurrencyLimit/2, 1)
		}
	}
	if timedOut {
		b.suspectZone(srv.zone)
	}
	b.fetchList()
}

// transition moves a server to a health state.
func (b *Balancer) transition(srv *server, to State) {
	if srv.Transition(to, b.now) {
		b.generation++
	}
}

// ejectionTime returns how long, in milliseconds, a server stays Unhealthy before it is validated: the
// shortest latency target or, for a server that responds, serverIntervalMs if that is longer; doubled with
// each further ejection. It is 0 for a server that responds while its failure rate is tolerated or the other
// servers lack capacity: to use a server that fails some requests is better than to reject them all.
func (b *Balancer) ejectionTime(srv *server) float64 {
	if (b.saturated || b.toleratesFailures(srv)) && !srv.timedOut {
		return 0
	}
	baseMs := b.minLatencyTarget
	if !srv.timedOut {
		baseMs = max(baseMs, b.serverIntervalMs())
	}
	return srv.EjectionTime(baseMs, b.minLatencyTarget)
}

// ejectTimedOut ejects servers that have attempts in flight and have sent no response for several expected
// latencies. Otherwise servers that hang or are unreachable would stay Connected.
func (b *Balancer) ejectTimedOut() {
	for _, srv := range b.servers {
		if len(srv.inFlight) == 0 || srv.state == Unhealthy {
			continue
		}
		oldest := srv.inFlight[0]
		timeoutMs := b.latency.expectedMs[oldest.request.class] * unresponsiveLatencies /
			float64(min(len(srv.inFlight), unresponsiveAttempts))
		if b.now-max(srv.lastResponseAt, oldest.sentAt) >= timeoutMs {
			srv.timedOutSentAt = oldest.sentAt
			b.eject(srv, true)
		}
	}
}
