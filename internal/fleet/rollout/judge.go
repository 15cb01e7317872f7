package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// slotDuration is the length of a time slot. Requests are compared only within a slot, because the
	// load and the mix of requests change over time.
	slotDuration = 10 * time.Second
	// comparisonDecayTime is the time constant of the exponential decay of earlier comparisons.
	comparisonDecayTime = 30 * time.Minute
	// overallDeviations is the number of standard deviations by which a difference over all requests
	// must exceed what is tolerated; it is so high because it is tested thousands of times.
	// cohortDeviations is the number for a single route, length or class, of which there are hundreds.
	overallDeviations, cohortDeviations = 4.0, 5.0
	// maxCohorts is the maximum number of cohorts.
	maxCohorts = 1024
	// minCohortRequests is the number of requests of each revision that a cohort needs for RulingFail. It
	// is lower than what RulingPass needs, so that a revision that fails from the start gets few requests.
	minCohortRequests = 30
	// minCohortWeight is the number of requests below which a decayed cohort is forgotten.
	minCohortWeight = 0.5
)

// Ruling is the Judge's conclusion about the new revision. Its number is part of the status that
// operators read.
type Ruling uint8

// The rulings.
const (
	RulingInconclusive Ruling = iota // too few requests were compared
	RulingPass
	RulingFail // worse than tolerated
)

var rulingNames = [...]string{"inconclusive", "pass", "fail"}

// String returns the ruling's name.
func (r Ruling) String() string { return rulingNames[min(int(r), len(rulingNames)-1)] }

// Verdict is a ruling and its grounds.
type Verdict struct {
	Ruling           Ruling  `json:"ruling"`
	Reason           string  `json:"why,omitempty"`
	BaselineRequests float64 `json:"old"`    // compared requests of the old revision; older ones count less
	CanaryRequests   float64 `json:"new"`    // likewise of the new revision
	LatencyRatio     float64 `json:"slower"` // time to the first token, new to old; 1 if unknown
}

// Judge compares the new revision with the old one by strata and time slots: requests are compared only
// if they have the same route, class of prompt lengths, class of groups and slot. It is not safe for
// concurrent use.
type Judge struct {
	slotEndsAt  time.Duration
	counts      map[Stratum]*Counts // of the current slot
	comparisons map[cohort]*comparison
}

// cohort is a set of strata that is judged on its own. The zero value is the set of all strata.
type cohort struct {
	route string // "" for all routes
	size  int    // 1 + the class of prompt lengths; 0 for all
	class int    // 1 + the class of groups; 0 for all
}

func (c cohort) String() string {
	switch {
	case c == cohort{}:
		return "all requests"
	case c.size > 0:
		return fmt.Sprintf("route %s, prompts up to %d tokens", c.route, 1<<(c.size+firstSizeBits-1)-1)
	case c.class > 0:
		return fmt.Sprintf("route %s, groups of class %d", c.route, c.class-1)
	}
	return "route " + c.route
}

func compareCohorts(a, b cohort) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.size, b.size), cmp.Compare(a.class, b.class))
}

// cohorts returns the cohorts that the stratum belongs to.
func (s *Stratum) cohorts() [4]cohort {
	return [4]cohort{
		{},
		{route: s.Route},
		{route: s.Route, size: int(s.Size) + 1},
		{route: s.Route, class: int(s.Class) + 1},
	}
}

// NewJudge returns a judge that has compared nothing.
func NewJudge() *Judge {
	return &Judge{counts: map[Stratum]*Counts{}, comparisons: map[cohort]*comparison{}}
}

// Add adds an agent's counts. Implausible ones are ignored.
func (j *Judge) Add(strata []StratumCounts) {
	for i := range strata[:min(len(strata), maxStrata)] {
		s := &strata[i]
		if !s.plausible() || !s.valid() {
			continue
		}
		if counts := boundedCounts(j.counts, s.Stratum, 2*maxStrata); counts != nil {
			counts.merge(&s.Counts)
		}
	}
}

// Tick ends the current slot if its time is over: it compares the slot's strata.
func (j *Judge) Tick(now time.Duration) {
	if j.slotEndsAt == 0 {
		j.slotEndsAt = now + slotDuration
	}
	if now < j.slotEndsAt {
		return
	}
	j.decay(now - j.slotEndsAt + slotDuration)
	j.slotEndsAt = now + slotDuration
	for _, stratum := range j.newRevisionStrata() {
		old := stratum
		old.New = false
		if baseline := j.counts[old]; baseline != nil {
			j.compare(&stratum, baseline, j.counts[stratum])
		}
	}
	clear(j.counts)
}

// decay reduces the weight of the earlier comparisons by the time that has passed since.
func (j *Judge) decay(age time.Duration) {
	factor := math.Exp(-float64(age) / float64(comparisonDecayTime))
	for key, c := range j.comparisons {
		c.decay(factor)
		if c.baseline+c.canary < minCohortWeight {
			delete(j.comparisons, key)
		}
	}
}

// newRevisionStrata returns the slot's strata of the new revision, sorted so that every holder computes
// the same sums.
func (j *Judge) newRevisionStrata() []Stratum {
	var strata []Stratum
	for stratum := range j.counts {
		if stratum.New {
			strata = append(strata, stratum)
		}
	}
	slices.SortFunc(strata, func(a, b Stratum) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Class, b.Class))
	})
	return strata
}

// compare adds the counts of a stratum to the comparisons of its cohorts.
func (j *Judge) compare(stratum *Stratum, baseline, canary *Counts) {
	for _, key := range stratum.cohorts() {
		c := j.comparisons[key]
		if c == nil {
			if len(j.comparisons) >= maxCohorts {
				continue
			}
			c = &comparison{}
			j.comparisons[key] = c
		}
		c.addStratum(baseline, canary)
	}
}

// Verdict returns the verdict on all comparisons so far.
func (j *Judge) Verdict(spec *JudgeSpec) Verdict {
	all := j.comparisons[cohort{}]
	if all == nil {
		return Verdict{LatencyRatio: 1, Reason: fmt.Sprintf("0 of %d requests were compared", spec.MinSamples)}
	}
	v := Verdict{Ruling: RulingPass, BaselineRequests: all.baseline, CanaryRequests: all.canary, LatencyRatio: 1}
	if all.weight[metricLatency] > 0 {
		v.LatencyRatio = math.Exp(all.difference[metricLatency] / all.weight[metricLatency])
	}
	if n := math.Min(all.baseline, all.canary); n < float64(spec.MinSamples) {
		v.Ruling, v.Reason = RulingInconclusive, fmt.Sprintf("%.0f of %d requests were compared", n, spec.MinSamples)
		if n < float64(min(spec.MinSamples, minCohortRequests)) {
			return v
		}
	}
	if failing, found, ok := j.failingCohort(spec); ok {
		v.Ruling, v.Reason = RulingFail, fmt.Sprintf("%s: %s", failing, found)
	}
	return v
}

// failingCohort returns the first cohort, in sorted order, in which the new revision is worse than
// tolerated.
func (j *Judge) failingCohort(spec *JudgeSpec) (failing cohort, found regression, ok bool) {
	keys := make([]cohort, 0, len(j.comparisons))
	for key := range j.comparisons {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareCohorts)
	for _, key := range keys {
		c, deviations := j.comparisons[key], cohortDeviations
		if key == (cohort{}) {
			deviations = overallDeviations
		}
		if math.Min(c.baseline, c.canary) < minCohortRequests {
			continue
		}
		if found, ok := c.regression(spec, deviations); ok {
			return key, found, true
		}
	}
	return cohort{}, regression{}, false
}
