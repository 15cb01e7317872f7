package rollout

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxStrata is the maximum number of strata in a report. A slot of the Judge holds twice as many.
	maxStrata = 2048
	// sizeClasses is the number of classes of prompts, by length, and groupClasses that of prompt
	// groups, by hash.
	sizeClasses, groupClasses = 8, 8
	// firstSizeBits bounds the first class of prompts: shorter than 1<<firstSizeBits = 256 tokens.
	firstSizeBits = 8
	// minLatencyMs keeps logarithms of latencies finite.
	minLatencyMs = 0.1
)

// Sample is one ended attempt as its agent observed it.
type Sample struct {
	Group            Group
	PromptTokens     int
	Server           string
	FirstToken       time.Duration // time to the first token; 0 if there was none
	FirstTokenTarget time.Duration // latency target of the first token; 0 if there is none
	LongestGap       time.Duration // longest time between two events of the stream
	GapTarget        time.Duration // target of the gaps; 0 if there is none
	Events           int           // number of events of the stream
	// CacheMiss is set if the server had to prefill shared segments that other servers have cached. The
	// time to the first token then says nothing about the revision.
	CacheMiss bool
	Failed    bool // the attempt may have run and got no complete response, though the client stayed
	Rejected  bool // the server rejected the attempt without running it
}

// Stratum identifies a set of similar attempts: those of one route, class of prompt lengths and class
// of groups, at servers of one revision. Only strata that differ in nothing but the revision are
// compared.
type Stratum struct {
	Route string `msgpack:"r"`
	Size  uint8  `msgpack:"s"` // class of the prompt's length
	Class uint8  `msgpack:"c"` // class of the prompt's group
	New   bool   `msgpack:"n"` // the servers have the new revision
}

// valid reports whether the stratum is within its bounds.
func (s *Stratum) valid() bool {
	return s.Size < sizeClasses && s.Class < groupClasses && len(s.Route) <= maxName
}

// Counts are sums over attempts. Latencies (in ms) and numbers of events are summed as logarithms, so
// that differences of their means are logarithms of ratios.
type Counts struct {
	Attempts             int     `msgpack:"n"`
	Rejected             int     `msgpack:"r"`
	Failed               int     `msgpack:"f"`
	Late                 int     `msgpack:"l"` // those of CacheHits whose first token missed its target
	Stalled              int     `msgpack:"p"` // those of Answered with a gap that missed its target
	Answered             int     `msgpack:"a"` // attempts with a first token
	CacheHits            int     `msgpack:"m"` // those of Answered without a cache miss
	LogFirstToken        float64 `msgpack:"t"` // sum over CacheHits
	LogFirstTokenSquared float64 `msgpack:"u"`
	Completed            int     `msgpack:"w"` // those of Answered that did not fail and have events
	LogEvents            float64 `msgpack:"e"` // sum over Completed
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

// plausible reports whether the counts are consistent and bounded, so that a single bad report can't
// determine the verdict.
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

// SampleRecorder counts an agent's samples of both revisions. It is not safe for concurrent use.
type SampleRecorder struct {
	counts       map[Stratum]*Counts
	serverCounts map[string]*Counts // by server that is being ramped up
}

// NewSampleRecorder returns a recorder without samples.
func NewSampleRecorder() *SampleRecorder {
	return &SampleRecorder{counts: map[Stratum]*Counts{}, serverCounts: map[string]*Counts{}}
}

// Record counts an ended attempt at a server of the new or the old revision. Attempts at a ramping
// server are also counted by server.
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

// boundedCounts returns the counts of a key, adding the key if need be. It returns nil if there are
// limit other keys already.
func boundedCounts[K comparable](counts map[K]*Counts, key K, limit int) *Counts {
	c := counts[key]
	if c == nil && len(counts) < limit {
		c = &Counts{}
		counts[key] = c
	}
	return c
}

// sizeClass returns a prompt's class by length: the first class is below 256 tokens, each further one
// ends at twice the length, and the last one is unbounded.
func sizeClass(tokens int) uint8 {
	return uint8(min(max(bits.Len(uint(max(tokens, 0)))-firstSizeBits, 0), sizeClasses-1))
}

// SampleReport is the part of a Report that has the samples of both revisions.
type SampleReport struct {
	Strata  []StratumCounts    `msgpack:"c,omitempty"`
	Servers map[string]*Counts `msgpack:"o,omitempty"` // by server that is being ramped up
}

// StratumCounts are the counts of one stratum.
type StratumCounts struct {
	Stratum
	Counts `msgpack:"Counts,noinline"` // not inlined, because some of its keys are also Stratum's
}

// Take returns the samples since the last call of Take.
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
