package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// slotDuration is for how long requests are compared with each other only: load and mix change.
	slotDuration = 10 * time.Second
	// comparisonDecayTime is the time constant by which what was compared fades.
	comparisonDecayTime = 30 * time.Minute
	// overallDeviations is how many standard deviations a difference must lie beyond what is
	// tolerated: it is looked at thousands of times. cohortDeviations is that of one route, length
	// or class among hundreds.
	overallDeviations, cohortDeviations = 4.0, 5.0
	// maxCohorts bounds what is judged by itself.
	maxCohorts = 1024
	// minCohortRequests is how many requests of each revision a cohort needs for a verdict. What
	// fails at once does not have to be sent as many as what is fine.
	minCohortRequests = 30
	// minCohortWeight is below which a faded cohort is forgotten.
	minCohortWeight = 0.5
)

// Ruling is what the Judge concludes of the new revision. Its number is part of the status that
// operators read.
type Ruling uint8

// The rulings.
const (
	RulingInconclusive Ruling = iota // too few requests were compared
	RulingPass
	RulingFail // worse than tolerated
)

var rulingNames = [...]string{"inconclusive", "pass", "fail"}

// String is the ruling's name.
func (r Ruling) String() string { return rulingNames[min(int(r), len(rulingNames)-1)] }

// Verdict is a ruling and what it rests on.
type Verdict struct {
	Ruling           Ruling  `json:"ruling"`
	Reason           string  `json:"why,omitempty"`
	BaselineRequests float64 `json:"old"` // compared, of the old revision; older ones count less
	CanaryRequests   float64 `json:"new"` // of the new revision
	LatencyRatio     float64 `json:"slower"`
}

// Judge compares the new revision with the old one, by strata of one route, prompt length, class of
// groups and slot of time. It is not safe for concurrent use.
type Judge struct {
	slotEndsAt  time.Duration
	counts      map[Stratum]*Counts // of the slot
	comparisons map[cohort]*comparison
}

// cohort is a set of strata that is judged by itself; the zero value is all of them.
type cohort struct {
	route string // "": all
	size  int    // 1 + the class; 0: all
	class int    // 1 + the class; 0: all
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

// cohorts are those that a stratum belongs to.
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

// Add takes what an agent counted. What no agent can have counted is ignored.
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

// Tick ends the slot when it is over.
func (j *Judge) Tick(now time.Duration) {
	if j.slotEndsAt == 0 {
		j.slotEndsAt = now + slotDuration
	}
	if now < j.slotEndsAt {
		return
	}
	j.fade(now - j.slotEndsAt + slotDuration)
	j.slotEndsAt = now + slotDuration
	for _, stratum := range j.newStrata() {
		old := stratum
		old.New = false
		if baseline := j.counts[old]; baseline != nil {
			j.compare(&stratum, baseline, j.counts[stratum])
		}
	}
	clear(j.counts)
}

// fade gives what was compared before less weight, by its age.
func (j *Judge) fade(age time.Duration) {
	factor := math.Exp(-float64(age) / float64(comparisonDecayTime))
	for key, c := range j.comparisons {
		c.fade(factor)
		if c.baseline+c.canary < minCohortWeight {
			delete(j.comparisons, key)
		}
	}
}

// newStrata are the slot's strata of the new revision, sorted, so that every holder
// computes the same sums.
func (j *Judge) newStrata() []Stratum {
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

// compare adds a stratum to the comparisons of its cohorts.
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

// Verdict returns the verdict by all that was compared so far.
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
	if worst, found, ok := j.worstCohort(spec); ok {
		v.Ruling, v.Reason = RulingFail, fmt.Sprintf("%s: %s", worst, found)
	}
	return v
}

// worstCohort returns the first cohort in which the new revision is worse than tolerated.
func (j *Judge) worstCohort(spec *JudgeSpec) (worst cohort, found regression, ok bool) {
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
