package policy

import "math"

const (
	// serverMeanWeight is the weight of one latency in a server's mean, fleetMeanWeight in a mean over all
	// servers.
	serverMeanWeight, fleetMeanWeight = 0.2, 0.005
	// baselineResponses is the number of responses before the baseline is taken for known and before any
	// concurrency limit grows: a start must not overload what it measures.
	baselineResponses = 50
	// baselineRiseDivisor slows down the rise of the baseline: overload must not become the baseline.
	baselineRiseDivisor = 250
	// maxRelativeLatency bounds what one response adds to a mean.
	maxRelativeLatency = 2
)

// latencyModel is what latencies this agent has seen. Relative latencies are parts of the latency target.
type latencyModel struct {
	expected  []float64 // mean of each class, ms
	responses float64   // served so far
	recent    float64   // relative mean of all servers
	baseline  float64   // the same while nothing is overloaded
}

func newLatencyModel(classes []Class) latencyModel {
	var model latencyModel
	for i := range classes {
		model.expected = append(model.expected, classes[i].LatencyTargetMs*overloadTargetShare/2)
	}
	return model
}

// recordClass takes a latency into its class's mean.
func (m *latencyModel) recordClass(class int, latencyMs, targetMs float64) {
	latencyMs = min(latencyMs, maxRelativeLatency*targetMs)
	m.expected[class] = movingMean(m.expected[class], latencyMs, 4*fleetMeanWeight)
}

// record takes a relative latency into the recent mean and the baseline. soleInFlight reports that the
// attempt was the only one of its agent on its server.
func (m *latencyModel) record(relative float64, soleInFlight bool, agents int) {
	m.responses++
	m.recent = movingMean(m.recent, relative, max(fleetMeanWeight, 1/m.responses))
	switch {
	case m.responses <= baselineResponses:
		// Neither one quick response nor overload at the start may set the baseline.
		m.baseline = min(m.recent, overloadTargetShare/2)
	case m.recent < m.baseline:
		m.baseline = movingMean(m.baseline, m.recent, fleetMeanWeight)
	default:
		rise := fleetMeanWeight / baselineRiseDivisor
		if soleInFlight {
			// It says more, the fewer agents there are, as those see most of the load.
			rise = fleetMeanWeight / min(2*math.Pow(float64(max(agents, 1)), 3), baselineRiseDivisor)
		}
		m.baseline = movingMean(m.baseline, m.recent, rise)
	}
}

// recordLatency takes a relative latency into a server's mean.
func (srv *server) recordLatency(relative float64) {
	srv.latencySamples++
	srv.latency = movingMean(srv.latency, relative, max(serverMeanWeight, 1/float64(srv.latencySamples)))
}

// relativeLatency is a latency as a part of the latency target, bounded.
func (b *Balancer) relativeLatency(req *request, latencyMs float64) float64 {
	return min(latencyMs/b.settings.Classes[req.class].LatencyTargetMs, maxRelativeLatency)
}
