package rollout

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// slotDuration is for how long requests are compared with each other only: load and mix change.
	slotDuration = 10 * time.Second
	// comparisonDecayTime is the time in which what was compared fades, and z how many deviations a difference
	// has to lie beyond what is borne: it is looked at thousands of times. cohortDeviations is that of one
	// kind, size or group among hundreds.
	comparisonDecayTime, overallDeviations, cohortDeviations = 30 * time.Minute, 4.0, 5.0
	// maxStrata bounds what one report and one slot hold, maxCohorts what is compared by itself.
	maxStrata, maxCohorts = 2048, 1024
	// sizeClasses and classes are the classes of prompts by their length and of groups by their hash.
	sizeClasses, groupClasses = 8, 8
)

// Sample is one attempt that ended, as its agent saw it.
type Sample struct {
	Group            Group
	PromptTokens     int // tokens
	Server           string
	FirstToken       time.Duration // to the first token; 0: none came
	FirstTokenTarget time.Duration // in which it had to come
	LongestGap       time.Duration // the longest between two events
	GapTarget        time.Duration // 0: none is asked for
	Events           int
	CacheMiss        bool // the server had to read shared parts that others keep: its first token tells nothing
	Failed           bool // it may have run and has no whole answer, but for the client's own leaving
	Rejected         bool // the server turned it away unrun
}

// Stratum is what is compared with its like only: attempts of one kind, length and class of groups at
// servers of one side.
type Stratum struct {
	Route string `msgpack:"r"`
	Size  uint8  `msgpack:"s"`
	Class uint8  `msgpack:"c"`
	New   bool   `msgpack:"n"`
}

// Counts are sums over attempts. Times and events count as logarithms: of ratios.
type Counts struct {
	Attempts             int     `msgpack:"n"` // attempts
	Rejected             int     `msgpack:"r"`
	Failed               int     `msgpack:"f"`
	Late                 int     `msgpack:"l"`
	Stalled              int     `msgpack:"p"`
	Answered             int     `msgpack:"a"` // with a first token
	CacheHits            int     `msgpack:"m"` // of them, from kept parts
	LogFirstToken        float64 `msgpack:"t"` // ms
	LogFirstTokenSquared float64 `msgpack:"u"`
	Completed            int     `msgpack:"w"` // answered, and not failed
	LogEvents            float64 `msgpack:"e"` // events
	LogEventsSquared     float64 `msgpack:"g"`
}

func (c *Counts) add(s *Sample) {
	c.Attempts++
	if s.Rejected {
		c.Rejected++
		return
	}
	if s.Failed {
		c.Failed++
	}
	if s.FirstToken <= 0 {
		return
	}
	c.Answered++
	if s.GapTarget > 0 && s.LongestGap > s.GapTarget {
		c.Stalled++
	}
	x := math.Log(math.Max(s.FirstToken.Seconds()*1e3, 0.1))
	if !s.CacheMiss {
		c.CacheHits, c.LogFirstToken, c.LogFirstTokenSquared = c.CacheHits+1, c.LogFirstToken+x, c.LogFirstTokenSquared+x*x
		if s.FirstTokenTarget > 0 && s.FirstToken > s.FirstTokenTarget {
			c.Late++
		}
	}
	if !s.Failed && s.Events > 0 {
		x = math.Log(float64(s.Events))
		c.Completed, c.LogEvents, c.LogEventsSquared = c.Completed+1, c.LogEvents+x, c.LogEventsSquared+x*x
	}
}

func (c *Counts) merge(o *Counts) {
	c.Attempts, c.Rejected, c.Failed, c.Late, c.Stalled = c.Attempts+o.Attempts, c.Rejected+o.Rejected, c.Failed+o.Failed, c.Late+o.Late, c.Stalled+o.Stalled
	c.Answered, c.CacheHits, c.LogFirstToken, c.LogFirstTokenSquared = c.Answered+o.Answered, c.CacheHits+o.CacheHits, c.LogFirstToken+o.LogFirstToken, c.LogFirstTokenSquared+o.LogFirstTokenSquared
	c.Completed, c.LogEvents, c.LogEventsSquared = c.Completed+o.Completed, c.LogEvents+o.LogEvents, c.LogEventsSquared+o.LogEventsSquared
}

// plausible refuses what no agent can have counted: one bad report must not decide for all.
func (c *Counts) plausible() bool {
	most := 20 * float64(c.Attempts)
	return c.Attempts >= 0 && c.Attempts < 1e7 && c.Rejected >= 0 && c.Failed >= 0 && c.Late >= 0 && c.Stalled >= 0 && c.Completed >= 0 &&
		c.Rejected <= c.Attempts && c.Failed <= c.Attempts && c.Answered <= c.Attempts && c.CacheHits >= 0 && c.CacheHits <= c.Answered && c.Late <= c.CacheHits &&
		c.Stalled <= c.Answered && c.Completed <= c.Answered && math.Abs(c.LogFirstToken) <= most && c.LogFirstTokenSquared >= 0 && c.LogFirstTokenSquared <= 20*most &&
		math.Abs(c.LogEvents) <= most && c.LogEventsSquared >= 0 && c.LogEventsSquared <= 20*most
}

// SampleRecorder is an agent's part: what it saw of both sides. It is not safe for concurrent use.
type SampleRecorder struct {
	counts       map[Stratum]*Counts
	serverCounts map[string]*Counts
}

// NewSampleRecorder returns one that saw nothing.
func NewSampleRecorder() *SampleRecorder {
	return &SampleRecorder{counts: map[Stratum]*Counts{}, serverCounts: map[string]*Counts{}}
}

// Record takes an attempt that ended at a server of one side; own: the server is on its way in.
func (m *SampleRecorder) Record(s *Sample, isNew, own bool) {
	c := Stratum{Route: s.Group.Route, Size: sizeClass(s.PromptTokens), Class: uint8(s.Group.bucket() % groupClasses), New: isNew}
	if m.counts[c] == nil {
		if len(m.counts) >= maxStrata {
			return
		}
		m.counts[c] = &Counts{}
	}
	m.counts[c].add(s)
	if !own {
		return
	}
	if m.serverCounts[s.Server] == nil {
		if len(m.serverCounts) >= maxInTransition {
			return
		}
		m.serverCounts[s.Server] = &Counts{}
	}
	m.serverCounts[s.Server].add(s)
}

// sizeClass is a prompt's class: to 256 tokens, and for each doubling.
func sizeClass(tokens int) uint8 {
	return uint8(min(max(bits.Len(uint(max(tokens, 0)))-8, 0), sizeClasses-1))
}

// SampleReport is what a report tells of both sides.
type SampleReport struct {
	Strata  []StratumCounts    `msgpack:"c,omitempty"`
	Servers map[string]*Counts `msgpack:"o,omitempty"` // by server on its way in
}

// StratumCounts is the counts of a cell.
type StratumCounts struct {
	Stratum
	Counts `msgpack:"Counts,noinline"` // its keys are also some of Cell's
}

// Take hands out what is new since it was taken last.
func (m *SampleRecorder) Take() SampleReport {
	var s SampleReport
	for cell, c := range m.counts {
		s.Strata = append(s.Strata, StratumCounts{cell, *c})
	}
	if len(m.serverCounts) > 0 {
		s.Servers = m.serverCounts
	}
	m.counts, m.serverCounts = map[Stratum]*Counts{}, map[string]*Counts{}
	return s
}

// Ruling is what the judge holds of the new revision.
type Ruling uint8

// The rulings. Open: too few requests were compared.
const (
	RulingInconclusive Ruling = iota
	RulingPass
	RulingFail
)

// Verdict is a ruling and what it rests on.
type Verdict struct {
	Ruling           Ruling  `json:"ruling"`
	Reason           string  `json:"why,omitempty"`
	BaselineRequests float64 `json:"old"` // requests compared, faded
	CanaryRequests   float64 `json:"new"`
	LatencyRatio     float64 `json:"slower"` // ratio of times to the first token
}

// Judge compares the new revision with the old one: by strata of one kind, length, class of groups
// and slot of time, put together as Mantel and Haenszel do. It is not safe for concurrent use.
type Judge struct {
	slotEndsAt  time.Duration // of the slot
	counts      map[Stratum]*Counts
	comparisons map[cohort]*comparison
}

// cohort is a set of strata that is judged by itself; the zero value is all of them.
type cohort struct {
	route string
	size  int // 1 + the class; 0: all
	class int
}

const (
	metricFailures = iota
	metricRejections
	metricLateness
	metricStalls
	metricLatency
	metricLength
	metricCount
)

var metricNames = [metricCount]string{"fail", "are turned away", "are late", "pause too long", "slower", "length"}

// comparison is what strata came to. For each measure the weights of the strata, the weighted differences
// and their variance.
type comparison struct {
	baseline, canary     float64
	weight               [metricCount]float64
	difference, variance [metricCount]float64
}

// NewJudge returns one that has compared nothing.
func NewJudge() *Judge {
	return &Judge{counts: map[Stratum]*Counts{}, comparisons: map[cohort]*comparison{}}
}

// Add takes what an agent saw.
func (j *Judge) Add(cells []StratumCounts) {
	for i := range cells[:min(len(cells), maxStrata)] {
		c := &cells[i]
		if !c.plausible() || c.Size >= sizeClasses || c.Class >= groupClasses || len(c.Route) > maxName {
			continue
		}
		if j.counts[c.Stratum] == nil {
			if len(j.counts) >= 2*maxStrata {
				continue
			}
			j.counts[c.Stratum] = &Counts{}
		}
		j.counts[c.Stratum].merge(&c.Counts)
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
	fade := math.Exp(-float64(now-j.slotEndsAt+slotDuration) / float64(comparisonDecayTime))
	j.slotEndsAt = now + slotDuration
	for f, s := range j.comparisons {
		s.baseline, s.canary = s.baseline*fade, s.canary*fade
		for i := range metricCount {
			s.weight[i], s.difference[i], s.variance[i] = s.weight[i]*fade, s.difference[i]*fade, s.variance[i]*fade*fade
		}
		if s.baseline+s.canary < 0.5 {
			delete(j.comparisons, f)
		}
	}
	// In one order, so that sums come out alike whoever adds them up.
	var order []Stratum
	for cell := range j.counts {
		if cell.New {
			order = append(order, cell)
		}
	}
	slices.SortFunc(order, func(a, b Stratum) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Class, b.Class))
	})
	for _, cell := range order {
		was := cell
		was.New = false
		o, n := j.counts[was], j.counts[cell]
		if o == nil {
			continue
		}
		size, class := int(cell.Size)+1, int(cell.Class)+1
		for _, f := range []cohort{{}, {route: cell.Route}, {route: cell.Route, size: size}, {route: cell.Route, class: class}} {
			s := j.comparisons[f]
			if s == nil {
				if len(j.comparisons) >= maxCohorts {
					continue
				}
				s = &comparison{}
				j.comparisons[f] = s
			}
			s.addStratum(o, n)
		}
	}
	clear(j.counts)
}

// addStratum adds one stratum.
func (s *comparison) addStratum(o, n *Counts) {
	s.baseline, s.canary = s.baseline+float64(o.Attempts), s.canary+float64(n.Attempts)
	part := func(m, xo, no, xn, nn int) {
		if no == 0 || nn == 0 {
			return
		}
		a, b := float64(nn), float64(no)
		all, hit := a+b, float64(xo+xn)
		s.weight[m] += a * b / all
		s.difference[m] += (float64(xn)*b - float64(xo)*a) / all
		if all > 1 {
			s.variance[m] += a * b * hit * (all - hit) / (all * all * (all - 1))
		}
	}
	part(metricFailures, o.Failed, o.Attempts-o.Rejected, n.Failed, n.Attempts-n.Rejected)
	part(metricRejections, o.Rejected, o.Attempts, n.Rejected, n.Attempts)
	part(metricLateness, o.Late, o.CacheHits, n.Late, n.CacheHits)
	part(metricStalls, o.Stalled, o.Answered, n.Stalled, n.Answered)
	mean := func(m, no int, so, qo float64, nn int, sn, qn float64) {
		if no == 0 || nn == 0 || no+nn < 3 {
			return
		}
		a, b := float64(nn), float64(no)
		w := a * b / (a + b)
		spread := math.Max(qo-so*so/b, 0) + math.Max(qn-sn*sn/a, 0)
		s.weight[m] += w
		s.difference[m] += w * (sn/a - so/b)
		// Strata of a few requests know little of their spread: it is taken to be no less than a
		// tenth either way.
		s.variance[m] += w * math.Max(spread/(a+b-2), 0.01)
	}
	mean(metricLatency, o.CacheHits, o.LogFirstToken, o.LogFirstTokenSquared, n.CacheHits, n.LogFirstToken, n.LogFirstTokenSquared)
	mean(metricLength, o.Completed, o.LogEvents, o.LogEventsSquared, n.Completed, n.LogEvents, n.LogEventsSquared)
}

// regression is the measure in which the new side is surely worse than is borne, -1 if there is none.
func (s *comparison) regression(spec *JudgeSpec, z float64) (measure int, diff float64) {
	borne := [metricCount]float64{spec.MaxFailureIncrease, spec.MaxRejectionIncrease, spec.MaxLatenessIncrease, spec.MaxStallIncrease, math.Log(spec.MaxLatencyRatio), math.Log(math.Max(spec.MaxLengthRatio, 1))}
	for m := range metricCount {
		if s.weight[m] <= 0 || m == metricLength && spec.MaxLengthRatio == 0 {
			continue
		}
		d, dev := s.difference[m]/s.weight[m], math.Sqrt(s.variance[m])/s.weight[m]
		if m == metricLength {
			d = math.Abs(d)
		}
		chance := z * dev
		if m < metricLatency { // as Bernstein bounds it: few of a few may be chance
			chance += z * z / (3 * s.weight[m])
		}
		if d-chance > borne[m] {
			return m, d
		}
	}
	return -1, 0
}

// Verdict is what holds by now.
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
		// What fails at once need not be sent as many requests as what is fine.
		if n < float64(min(spec.MinSamples, 30)) {
			return v
		}
	}
	var names []cohort
	for f := range j.comparisons {
		names = append(names, f)
	}
	slices.SortFunc(names, func(a, b cohort) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.size, b.size), cmp.Compare(a.class, b.class))
	})
	for _, f := range names {
		s, limit := j.comparisons[f], cohortDeviations
		if f == (cohort{}) {
			limit = overallDeviations
		}
		if math.Min(s.baseline, s.canary) < 30 {
			continue
		}
		if m, d := s.regression(spec, limit); m >= 0 {
			v.Ruling, v.Reason = RulingFail, fmt.Sprintf("%s: %s", f, describeRegression(m, d))
			return v
		}
	}
	return v
}

func (f cohort) String() string {
	switch {
	case f == cohort{}:
		return "all requests"
	case f.size > 0:
		return fmt.Sprintf("route %s, prompts up to %d tokens", f.route, 1<<(f.size+7)-1)
	case f.class > 0:
		return fmt.Sprintf("route %s, groups of class %d", f.route, f.class-1)
	}
	return "route " + f.route
}

func describeRegression(m int, d float64) string {
	switch m {
	case metricLatency:
		return fmt.Sprintf("first tokens take %.2f times as long", math.Exp(d))
	case metricLength:
		return fmt.Sprintf("streams differ in length by a factor of %.2f", math.Exp(d))
	}
	return fmt.Sprintf("%.1f in 100 more %s", 100*d, metricNames[m])
}
