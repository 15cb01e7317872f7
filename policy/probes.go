package policy

import "slices"

const (
	// maxProbesInFlight bounds the probes in flight, maxProbesPerRequest the probes that a request earns, and
	// probeCostBudget the points that probes may deduct from the result.
	maxProbesInFlight, maxProbesPerRequest, probeCostBudget = 2, 0.1, 0.006
	// While less than rejectingProbeShare of the requests is admitted, the probe rate is multiplied by
	// rejectingProbeFactor: to reject requests for which there is capacity costs more than probes.
	rejectingProbeShare, rejectingProbeFactor = 0.9, 3.0
	// sampleDraws is the number of random draws to find a server that can be sampled.
	sampleDraws = 4
	// minProbePrice avoids a division by zero.
	minProbePrice = 1e-9
)

// probeBudget limits probes. Each costs one token, and requests earn tokens.
type probeBudget struct {
	tokens         float64
	inFlight       int
	validationTurn bool // the last available probe was left to validation
}

// available reports whether a probe may be sent.
func (p *probeBudget) available() bool { return p.tokens >= 1 && p.inFlight < maxProbesInFlight }

// sendProbe probes a server.
func (b *Balancer) sendProbe(srv *server) {
	srv.probing = true
	b.probes.inFlight++
	b.probes.tokens--
	b.emit(Action{Kind: ActionProbe, Server: srv.addr})
}

// probeRate returns the number of probes that each request earns, which depends on their price. It is higher
// while requests are rejected, because rejections need current load data.
func (b *Balancer) probeRate() float64 {
	rate := min(maxProbesPerRequest, probeCostBudget/max(b.settings.Prices.Probe, minProbePrice))
	if b.admission.admittedShare < rejectingProbeShare {
		rate *= rejectingProbeFactor
	}
	return rate
}

// sampleLoad probes a random server of the aperture for its load. Every second probe is left to validation.
func (b *Balancer) sampleLoad() {
	servers := b.aperture.servers
	if !b.settings.Limits.AllowProbes || !b.probes.available() || len(servers) == 0 ||
		!slices.Contains(b.settings.LoadReport.Metrics, "util") {
		return
	}
	if b.probes.validationTurn = !b.probes.validationTurn; b.probes.validationTurn {
		return
	}
	for range sampleDraws {
		srv := servers[b.rng.IntN(len(servers))]
		if b.representsLoad(srv) {
			srv.samplingLoad = true
			b.sendProbe(srv)
			return
		}
	}
}

// representsLoad reports whether the load of the server represents the fleet's. The load of a lost zone does
// not, and that of a server in slow start hardly does, as it gets no more than its credit.
func (b *Balancer) representsLoad(srv *server) bool {
	warm := b.slowStartFactor(srv) == 1 ||
		b.capacity.healthyWarmWeight == 0 && b.rng.Float64() < b.slowStartFactor(srv)
	return srv.ready && srv.state < Unhealthy && !srv.zoneSuspected && !srv.probing && warm &&
		b.effectiveShare(srv) > 0
}

// reportedMetric returns the named value of a load report, and false if the report has no such value.
func (b *Balancer) reportedMetric(report []float32, name string) (float64, bool) {
	i := slices.Index(b.settings.LoadReport.Metrics, name)
	if i < 0 || i >= len(report) {
		return 0, false
	}
	return finiteOrZero(float64(report[i])), true
}
