package policy

import "slices"

const (
	// maxProbesInFlight bounds the probes in flight, maxProbesPerRequest those that a request earns, and
	// probeCostBudget what they may take off the result.
	maxProbesInFlight, maxProbesPerRequest, probeCostBudget = 2, 0.1, 0.006
	// While less than mostlyAdmitted of the requests are admitted, probes may be rejectingProbeFactor times
	// as many: to reject requests for which there is capacity costs more.
	mostlyAdmitted, rejectingProbeFactor = 0.9, 3.0
	// sampleDraws is the number of servers that are drawn to find one that can be sampled.
	sampleDraws = 4
	// minProbePrice guards a division by the price.
	minProbePrice = 1e-9
)

// probeBudget bounds the probes: tokens are earned by requests.
type probeBudget struct {
	tokens         float64
	inFlight       int
	validationTurn bool // the last earned probe was left to validation
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

// probeRate is the probes that each request earns, by their price. Where requests are rejected by what
// probes tell, it has to be current.
func (b *Balancer) probeRate() float64 {
	rate := min(maxProbesPerRequest, probeCostBudget/max(b.settings.Prices.Probe, minProbePrice))
	if b.admission.admittedShare < mostlyAdmitted {
		rate *= rejectingProbeFactor
	}
	return rate
}

// sampleLoad probes a random server of the aperture for its load. Every second probe is left to validation.
func (b *Balancer) sampleLoad() {
	nearby := b.aperture.servers
	if !b.settings.Limits.AllowProbes || !b.probes.available() || len(nearby) == 0 ||
		!slices.Contains(b.settings.LoadReport.Metrics, "util") {
		return
	}
	if b.probes.validationTurn = !b.probes.validationTurn; b.probes.validationTurn {
		return
	}
	for range sampleDraws {
		srv := nearby[b.rng.IntN(len(nearby))]
		if b.representsLoad(srv) {
			srv.samplingLoad = true
			b.sendProbe(srv)
			return
		}
	}
}

// representsLoad reports whether the load of the server represents the fleet's. That of a lost zone does not,
// and that of a server that warms up hardly, as it gets no more than its credit.
func (b *Balancer) representsLoad(srv *server) bool {
	warm := b.slowStartFactor(srv) == 1 ||
		b.capacity.healthyWarmWeight == 0 && b.rng.Float64() < b.slowStartFactor(srv)
	return srv.ready && srv.state < Unhealthy && !srv.zoneSuspected && !srv.probing && warm &&
		b.effectiveShare(srv) > 0
}

// reportedMetric is a value of a load report; false if the report has none of that name.
func (b *Balancer) reportedMetric(report []float32, name string) (float64, bool) {
	i := slices.Index(b.settings.LoadReport.Metrics, name)
	if i < 0 || i >= len(report) {
		return 0, false
	}
	return finiteOrZero(float64(report[i])), true
}
