package policy

import "math"

const (
	// serverMeanWeight is the weight of one latency in the moving mean of a server, fleetMeanWeight its
	// weight in a moving mean over all servers.
	serverMeanWeight, fleetMeanWeight = 0.2, 0.005
	// baselineResponses is the number of responses after which the baseline counts as known. Until then no
	// concurrency limit grows, so that a start does not overload the servers that it measures.
	baselineResponses = 50
	// baselineRiseDivisor slows down the rise of the baseline, so that overload does not become the baseline.
	baselineRiseDivisor = 250
	// maxRelativeLatency bounds the relative latency that one response adds to a mean.
	maxRelativeLatency = 2
)

// latencyModel holds the latencies that this agent has measured.
type latencyModel struct {
	expectedMs []float64 // mean latency of each class, ms
	responses  float64   // number of served attempts so far
	recentMean float64   // mean relative latency over all servers
	baseline   float64   // mean relative latency over all servers without overload
}

func newLatencyModel(classes []Class) latencyModel {
	var model latencyModel
	for i := range classes {
		model.expectedMs = append(model.expectedMs, classes[i].LatencyTargetMs*overloadTargetShare/2)
	}
	return model
}

// recordClass adds a latency to the mean of its class.
func (m *latencyModel) recordClass(class int, latencyMs, targetMs float64) {
	latencyMs = min(latencyMs, maxRelativeLatency*targetMs)
	m.expectedMs[class] = movingMean(m.expectedMs[class], latencyMs, 4*fleetMeanWeight)
}

// record adds a relative latency to the recent mean and the baseline. soleInFlight says that, when sent, the
// attempt was the only one of its agent in flight on its server.
func (m *latencyModel) record(relativeLatency float64, soleInFlight bool, agents int) {
	m.responses++
	m.recentMean = movingMean(m.recentMean, relativeLatency, max(fleetMeanWeight, 1/m.responses))
	switch {
	case m.responses <= baselineResponses:
		// Neither one quick response nor overload at the start may set the baseline.
		m.baseline = min(m.recentMean, overloadTargetShare/2)
	case m.recentMean < m.baseline:
		m.baseline = movingMean(m.baseline, m.recentMean, fleetMeanWeight)
	default:
		rise := fleetMeanWeight / baselineRiseDivisor
		if soleInFlight {
			// Such a latency says more the fewer agents there are, as each of a few sees most of the load.
			rise = fleetMeanWeight / min(2*math.Pow(float64(max(agents, 1)), 3), baselineRiseDivisor)
		}
		m.baseline = movingMean(m.baseline, m.recentMean, rise)
	}
}

// recordLatency adds a relative latency to the server's mean.
func (srv *server) recordLatency(relativeLatency float64) {
	srv.latencySamples++
	srv.relativeLatency = movingMean(srv.relativeLatency, relativeLatency,
		max(serverMeanWeight, 1/float64(srv.latencySamples)))
}

// relativeLatency returns a latency as a fraction of the latency target, at most maxRelativeLatency.
func (b *Balancer) relativeLatency(req *request, latencyMs float64) float64 {
	return min(latencyMs/b.settings.Classes[req.class].LatencyTargetMs, maxRelativeLatency)
}
