package rollout

import (
	"fmt"
	"math"
)

// metric is a property in which one revision can be worse than the other.
type metric int

const (
	metricFailures metric = iota
	metricRejections
	metricLateness
	metricStalls
	metricLatency // ratio of the times to the first token
	metricLength  // ratio of the numbers of events of a stream
	metricCount
)

var metricNames = [metricCount]string{"fail", "are rejected", "are late", "stall", "slower", "length"}

// String returns the metric's name as it is used in reasons.
func (m metric) String() string {
	if m >= 0 && m < metricCount {
		return metricNames[m]
	}
	return "unknown"
}

// isProportion reports whether the metric is a difference of proportions. Otherwise it is the logarithm
// of a ratio.
func (m metric) isProportion() bool { return m < metricLatency }

// minVariance is the lower bound of the variance that is assumed for a logarithm. The variance of a few
// requests is a poor estimate, and deviations by a tenth in either direction are usual.
const minVariance = 0.01

// comparison accumulates the strata of a cohort: for each metric the sums of the strata's weights, of
// their weighted differences and of the variances of these.
type comparison struct {
	baseline, canary float64 // numbers of requests of the old and the new revision
	weight           [metricCount]float64
	difference       [metricCount]float64
	variance         [metricCount]float64
}

// decay multiplies the weight of what was compared so far by a factor.
func (c *comparison) decay(factor float64) {
	c.baseline *= factor
	c.canary *= factor
	for m := range metricCount {
		c.weight[m] *= factor
		c.difference[m] *= factor
		c.variance[m] = c.variance[m] * factor * factor
	}
}

// addStratum adds the counts of one stratum of the old and the new revision.
func (c *comparison) addStratum(baseline, canary *Counts) {
	c.baseline += float64(baseline.Attempts)
	c.canary += float64(canary.Attempts)
	ran := func(counts *Counts) int { return counts.Attempts - counts.Rejected }
	c.addProportion(metricFailures, proportion{baseline.Failed, ran(baseline)}, proportion{canary.Failed, ran(canary)})
	c.addProportion(metricRejections, proportion{baseline.Rejected, baseline.Attempts}, proportion{canary.Rejected, canary.Attempts})
	c.addProportion(metricLateness, proportion{baseline.Late, baseline.CacheHits}, proportion{canary.Late, canary.CacheHits})
	c.addProportion(metricStalls, proportion{baseline.Stalled, baseline.Answered}, proportion{canary.Stalled, canary.Answered})
	c.addMean(metricLatency, baseline.firstTokenMoments(), canary.firstTokenMoments())
	c.addMean(metricLength, baseline.eventMoments(), canary.eventMoments())
}

// proportion is a number of hits among n requests.
type proportion struct{ hits, n int }

// addProportion adds the difference of two proportions by the Mantel-Haenszel method, with the
// hypergeometric variance.
func (c *comparison) addProportion(m metric, baseline, canary proportion) {
	if baseline.n == 0 || canary.n == 0 {
		return
	}
	a, b := float64(canary.n), float64(baseline.n)
	all, hits := a+b, float64(baseline.hits+canary.hits)
	c.weight[m] += a * b / all
	c.difference[m] += (float64(canary.hits)*b - float64(baseline.hits)*a) / all
	if all > 1 {
		c.variance[m] += a * b * hits * (all - hits) / (all * all * (all - 1))
	}
}

// moments are the number, the sum and the sum of squares of some samples.
type moments struct {
	n               int
	sum, sumSquares float64
}

// squaredDeviations returns the sum of the squared deviations from the mean.
func (x moments) squaredDeviations() float64 {
	return math.Max(x.sumSquares-x.sum*x.sum/float64(x.n), 0)
}

func (c *Counts) firstTokenMoments() moments {
	return moments{c.CacheHits, c.LogFirstToken, c.LogFirstTokenSquared}
}

func (c *Counts) eventMoments() moments { return moments{c.Completed, c.LogEvents, c.LogEventsSquared} }

// addMean adds the difference of two means, with the same weights as addProportion.
func (c *comparison) addMean(m metric, baseline, canary moments) {
	if baseline.n == 0 || canary.n == 0 || baseline.n+canary.n < 3 {
		return
	}
	a, b := float64(canary.n), float64(baseline.n)
	weight := a * b / (a + b)
	squaredDeviations := baseline.squaredDeviations() + canary.squaredDeviations()
	c.weight[m] += weight
	c.difference[m] += weight * (canary.sum/a - baseline.sum/b)
	c.variance[m] += weight * math.Max(squaredDeviations/(a+b-2), minVariance)
}

// regression is a metric in which the new revision is worse than tolerated, with its difference.
type regression struct {
	metric     metric
	difference float64 // between proportions, or the logarithm of a ratio
}

func (r regression) String() string {
	switch r.metric {
	case metricLatency:
		return fmt.Sprintf("first tokens take %.2f times as long", math.Exp(r.difference))
	case metricLength:
		return fmt.Sprintf("streams differ in length by a factor of %.2f", math.Exp(r.difference))
	default:
		return fmt.Sprintf("%.1f in 100 more %s", 100*r.difference, r.metric)
	}
}

// tolerances returns the difference that the spec tolerates in each metric.
func (j *JudgeSpec) tolerances() [metricCount]float64 {
	return [metricCount]float64{
		metricFailures:   j.MaxFailureIncrease,
		metricRejections: j.MaxRejectionIncrease,
		metricLateness:   j.MaxLatenessIncrease,
		metricStalls:     j.MaxStallIncrease,
		metricLatency:    math.Log(j.MaxLatencyRatio),
		metricLength:     math.Log(math.Max(j.MaxLengthRatio, 1)),
	}
}

// regression returns the first metric in which the new revision is worse than tolerated by at least the
// given number of standard deviations. ok is false if there is none.
func (c *comparison) regression(spec *JudgeSpec, deviations float64) (found regression, ok bool) {
	tolerances := spec.tolerances()
	for m := range metricCount {
		if c.weight[m] <= 0 || m == metricLength && spec.MaxLengthRatio == 0 {
			continue
		}
		difference := c.difference[m] / c.weight[m]
		if m == metricLength {
			difference = math.Abs(difference)
		}
		margin := deviations * (math.Sqrt(c.variance[m]) / c.weight[m])
		if m.isProportion() { // Bernstein's bound: a few hits among a few requests may be chance
			margin += deviations * deviations / (3 * c.weight[m])
		}
		if difference-margin > tolerances[m] {
			return regression{m, difference}, true
		}
	}
	return regression{}, false
}
