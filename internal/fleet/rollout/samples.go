package rollout

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxStrata bounds what one report and one slot hold.
	maxStrata = 2048
	// sizeClasses and groupClasses are the numbers of classes of prompts by length and of groups by
	// hash.
	sizeClasses, groupClasses = 8, 8
	// firstSizeBits is the length of the prompts of the first class: up to 256 tokens.
	firstSizeBits = 8
	// minLatencyMs keeps logarithms of latencies finite.
	minLatencyMs = 0.1
)

// Sample is one attempt that ended, as its agent saw it.
type Sample struct {
	Group            Group
	PromptTokens     int
	Server           string
	FirstToken       time.Duration // time to it; 0: none came
	FirstTokenTarget time.Duration // 0: none is required
	LongestGap       time.Duration // between two events
	GapTarget        time.Duration // 0: none is required
	Events           int
	// CacheMiss is set if the server had to prefill shared segments that others have cached: its time
	// to the first token is no measure of the revision.
	CacheMiss bool
	Failed    bool // it may have run and has no complete response, unless the client left
	Rejected  bool // the server rejected it unrun
}

// Stratum is what is compared with its like only: attempts of one route, length and class of groups,
// at servers of one revision.
type Stratum struct {
	Route string `msgpack:"r"`
	Size  uint8  `msgpack:"s"`
	Class uint8  `msgpack:"c"`
	New   bool   `msgpack:"n"` // of the new revision
}

// valid reports whether an agent can have counted the stratum.
func (s *Stratum) valid() bool {
	return s.Size < sizeClasses && s.Class < groupClasses && len(s.Route) <= maxName
}

// Counts are sums over attempts. Latencies (in ms) and events are summed as logarithms, so that
// their means are of ratios.
type Counts struct {
	Attempts             int     `msgpack:"n"`
	Rejected             int     `msgpack:"r"`
	Failed               int     `msgpack:"f"`
	Late                 int     `msgpack:"l"` // of CacheHits: the first token missed its target
	Stalled              int     `msgpack:"p"` // of Answered: a gap missed its target
	Answered             int     `msgpack:"a"` // with a first token
	CacheHits            int     `msgpack:"m"` // of Answered
	LogFirstToken        float64 `msgpack:"t"` // of CacheHits
	LogFirstTokenSquared float64 `msgpack:"u"`
	Completed            int     `msgpack:"w"` // of Answered: did not fail
	LogEvents            float64 `msgpack:"e"` // of Completed
	LogEventsSquared     float64 `msgpack:"g"`
}

// add counts a sample.
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
	if !s.CacheMiss {
		c.addFirstToken(s)
	}
	if !s.Failed && s.Events > 0 {
		x := math.Log(float64(s.Events))
		c.Completed++
		c.LogEvents += x
		c.LogEventsSquared += x * x
	}
}

func (c *Counts) addFirstToken(s *Sample) {
	x := math.Log(math.Max(s.FirstToken.Seconds()*1e3, minLatencyMs))
	c.CacheHits++
	c.LogFirstToken += x
	c.LogFirstTokenSquared += x * x
	if s.FirstTokenTarget > 0 && s.FirstToken > s.FirstTokenTarget {
		c.Late++
	}
}

// merge adds other counts.
func (c *Counts) merge(other *Counts) {
	c.Attempts += other.Attempts
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.Late += other.Late
	c.Stalled += other.Stalled
	c.Answered += other.Answered
	c.CacheHits += other.CacheHits
	c.LogFirstToken += other.LogFirstToken
	c.LogFirstTokenSquared += other.LogFirstTokenSquared
	c.Completed += other.Completed
	c.LogEvents += other.LogEvents
	c.LogEventsSquared += other.LogEventsSquared
}

// plausible reports whether an agent can have counted that: one bad report must not decide for all.
func (c *Counts) plausible() bool {
	const maxAttempts, maxLog = 1e7, 20
	within := func(n, limit int) bool { return n >= 0 && n <= limit }
	logs := maxLog * float64(c.Attempts)
	return c.Attempts >= 0 && c.Attempts < maxAttempts &&
		within(c.Rejected, c.Attempts) && within(c.Failed, c.Attempts) && within(c.Answered, c.Attempts) &&
		within(c.CacheHits, c.Answered) && within(c.Late, c.CacheHits) &&
		within(c.Stalled, c.Answered) && within(c.Completed, c.Answered) &&
		math.Abs(c.LogFirstToken) <= logs && c.LogFirstTokenSquared >= 0 && c.LogFirstTokenSquared <= maxLog*logs &&
		math.Abs(c.LogEvents) <= logs && c.LogEventsSquared >= 0 && c.LogEventsSquared <= maxLog*logs
}

// SampleRecorder is an agent's part: what it saw of both revisions. It is not safe for concurrent
// use.
type SampleRecorder struct {
	counts       map[Stratum]*Counts
	serverCounts map[string]*Counts // of servers that are ramped up
}

// NewSampleRecorder returns a recorder that saw nothing.
func NewSampleRecorder() *SampleRecorder {
	return &SampleRecorder{counts: map[Stratum]*Counts{}, serverCounts: map[string]*Counts{}}
}

// Record counts an attempt that ended at a server of one revision. Attempts at a server
// that is ramping are also counted by server.
func (r *SampleRecorder) Record(s *Sample, isNew, ramping bool) {
	stratum := Stratum{Route: s.Group.Route, Size: sizeClass(s.PromptTokens), Class: uint8(s.Group.bucket() % groupClasses), New: isNew}
	counts := boundedCounts(r.counts, stratum, maxStrata)
	if counts == nil {
		return
	}
	counts.add(s)
	if !ramping {
		return
	}
	if counts := boundedCounts(r.serverCounts, s.Server, maxInTransition); counts != nil {
		counts.add(s)
	}
}

// boundedCounts returns the counts of a key, or nil if that would be one key too many.
func boundedCounts[K comparable](counts map[K]*Counts, key K, limit int) *Counts {
	c := counts[key]
	if c == nil && len(counts) < limit {
		c = &Counts{}
		counts[key] = c
	}
	return c
}

// sizeClass is a prompt's class by length: the first up to 256 tokens, and one for each doubling.
func sizeClass(tokens int) uint8 {
	return uint8(min(max(bits.Len(uint(max(tokens, 0)))-firstSizeBits, 0), sizeClasses-1))
}

// SampleReport is the part of a report on the samples of both revisions.
type SampleReport struct {
	Strata  []StratumCounts    `msgpack:"c,omitempty"`
	Servers map[string]*Counts `msgpack:"o,omitempty"` // by server that is ramped up
}

// StratumCounts are the counts of one stratum.
type StratumCounts struct {
	Stratum
	Counts `msgpack:"Counts,noinline"` // its keys are also some of Stratum's
}

// Take returns what was recorded since it was last called.
func (r *SampleRecorder) Take() SampleReport {
	var report SampleReport
	for stratum, counts := range r.counts {
		report.Strata = append(report.Strata, StratumCounts{stratum, *counts})
	}
	if len(r.serverCounts) > 0 {
		report.Servers = r.serverCounts
	}
	r.counts, r.serverCounts = map[Stratum]*Counts{}, map[string]*Counts{}
	return report
}
