package rollout

import (
	"fmt"
	"math"
)

// metric is a respect in which a revision can be worse.
type metric int

const (
	metricFailures metric = iota
	metricRejections
	metricLateness
	metricStalls
	metricLatency // ratio of times to the first token
	metricLength  // ratio of events of a stream
	metricCount
)

var metricNames = [metricCount]string{"fail", "are rejected", "are late", "stall", "slower", "length"}

// String is the metric's name.
func (m metric) String() string {
	if m >= 0 && m < metricCount {
		return metricNames[m]
	}
	return "unknown"
}

// isProportion reports whether the metric is a difference of proportions, rather than the logarithm
// of a ratio.
func (m metric) isProportion() bool { return m < metricLatency }

// minVariance is the least variance of a logarithm that is assumed: strata of a few requests know
// little of theirs, and a tenth either way is usual.
const minVariance = 0.01

// comparison is what the strata of a cohort came to: for each metric the sums of their weights, of
// the weighted differences and of their variances.
type comparison struct {
	baseline, canary float64 // requests of the old and the new revision
	weight           [metricCount]float64
	difference       [metricCount]float64
	variance         [metricCount]float64
}

// fade gives what was compared before less weight.
func (c *comparison) fade(factor float64) {
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
	c.addMean(metricLatency, baseline.firstTokens(), canary.firstTokens())
	c.addMean(metricLength, baseline.events(), canary.events())
}

// proportion is how many of n have a property.
type proportion struct{ hits, n int }

// addProportion adds the difference of two proportions by the method of Mantel and Haenszel, with
// the hypergeometric variance.
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

// moments are the number, the sum and the sum of squares of samples.
type moments struct {
	n           int
	sum, square float64
}

// spread is the sum of squared deviations from the mean.
func (x moments) spread() float64 { return math.Max(x.square-x.sum*x.sum/float64(x.n), 0) }

func (c *Counts) firstTokens() moments {
	return moments{c.CacheHits, c.LogFirstToken, c.LogFirstTokenSquared}
}

func (c *Counts) events() moments { return moments{c.Completed, c.LogEvents, c.LogEventsSquared} }

// addMean adds the difference of two means, weighted as the proportions are.
func (c *comparison) addMean(m metric, baseline, canary moments) {
	if baseline.n == 0 || canary.n == 0 || baseline.n+canary.n < 3 {
		return
	}
	a, b := float64(canary.n), float64(baseline.n)
	weight := a * b / (a + b)
	spread := baseline.spread() + canary.spread()
	c.weight[m] += weight
	c.difference[m] += weight * (canary.sum/a - baseline.sum/b)
	c.variance[m] += weight * math.Max(spread/(a+b-2), minVariance)
}

// regression is a metric in which the new revision is worse than is tolerated.
type regression struct {
	metric     metric
	difference float64 // of proportions, or the logarithm of a ratio
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

// tolerances are the differences that the spec tolerates.
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

// regression returns the first metric in which the new revision is worse than tolerated, by so many
// standard deviations. ok is false if there is none.
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
		chance := deviations * (math.Sqrt(c.variance[m]) / c.weight[m])
		if m.isProportion() { // the bound of Bernstein: few hits of a few requests may be chance
			chance += deviations * deviations / (3 * c.weight[m])
		}
		if difference-chance > tolerances[m] {
			return regression{m, difference}, true
		}
	}
	return regression{}, false
}
