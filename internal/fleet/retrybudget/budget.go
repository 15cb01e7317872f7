// Package retrybudget bounds the retries of a fleet of agents that don't coordinate: over any window the
// sends after the first of each request stay within ratio x requests + slack, summed over the fleet,
// even while agents die, restart or are partitioned from each other.
//
// Each agent stays within a part that is safe without the others: retries up to a fraction of the ratio
// of its own requests, plus its share of the slack. A new process has no share until a complete window
// has passed, as its predecessor may have spent it. A fifth of the slack is not distributed: it covers
// that each agent counts the windows that end with its own sends, and that a few requests are unevenly
// distributed over them.
package retrybudget

import (
	"slices"
	"time"
)

const (
	// ratioFraction and slackFraction leave room for what an agent can't count exactly: sends that have
	// not arrived, requests of the window before, and agents that it does not know of yet.
	ratioFraction, slackFraction = 0.85, 0.8
	// windowBuckets is the resolution of a window: counts are too strict by one of them at most.
	windowBuckets = 64
	// ringBuckets is a window, and the bucket of which a part has passed out of it.
	ringBuckets = windowBuckets + 1
	// maxServices bounds the services that are counted; others get no retries.
	maxServices = 1024
	// peakEpochs is over how many windows the share follows the largest number of agents.
	peakEpochs = 3
)

// Budget is the part of the retry budget of one process. It is pure: it takes the time as the first
// argument of its methods, any clock that does not run backwards. It is not safe for concurrent use.
type Budget struct {
	ratio, slack float64
	window       time.Duration
	hasStarted   bool // startedAt is set
	startedAt    time.Duration
	agents       int             // known now
	peakAgents   [peakEpochs]int // the most known in this epoch, the one before, and so on
	epoch        int64           // windows since time zero
	services     map[string]*serviceCounts
}

// serviceCounts are the sends for one service by bucket of time, as a ring.
type serviceCounts struct {
	newest            int64 // number of the newest bucket since time zero
	requests, retries [ringBuckets]uint32
}

// New returns the budget of a process that starts at the time of the first call of a method. Ratio and
// slack are those of the fleet; the slack is in retries. Negative ones count as 0, and a window below
// the resolution as the least one.
func New(ratio float64, window time.Duration, slack float64) *Budget {
	return &Budget{
		ratio:    max(ratio, 0),
		slack:    max(slack, 0),
		window:   max(window, windowBuckets),
		services: map[string]*serviceCounts{},
	}
}

// SetAgentCount sets how many agents are known, this one included. The share follows the largest number
// of at least two windows: an agent that is no longer known may still send.
func (b *Budget) SetAgentCount(now time.Duration, agents int) {
	b.advanceEpoch(now)
	b.agents = agents
	b.peakAgents[0] = max(b.peakAgents[0], agents)
}

// RecordRequest counts the first send of a request. Each attempt of a client is a request of its own.
func (b *Budget) RecordRequest(now time.Duration, service string) {
	if counts := b.serviceAt(now, service); counts != nil {
		counts.requests[counts.newest%ringBuckets]++
	}
}

// TryRetry reports whether one more send of a request that was sent before is within the budget, and
// counts it if so.
func (b *Budget) TryRetry(now time.Duration, service string) bool {
	counts := b.serviceAt(now, service)
	if counts == nil {
		return false
	}
	requests, retries := counts.totals()
	if float64(retries)+1 > ratioFraction*b.ratio*float64(requests)+float64(b.SlackShare(now)) {
		return false
	}
	counts.retries[counts.newest%ringBuckets]++
	return true
}

// SlackShare returns how many retries beyond the ratio this process may send in a window.
func (b *Budget) SlackShare(now time.Duration) int {
	b.advanceEpoch(now)
	agents := slices.Max(b.peakAgents[:])
	if now-b.startedAt <= b.window || agents < 1 {
		return 0
	}
	return int(slackFraction * b.slack / float64(agents))
}

// start records the time of the first call.
func (b *Budget) start(now time.Duration) {
	if !b.hasStarted {
		b.hasStarted, b.startedAt = true, now
	}
}

// advanceEpoch moves the peaks of the number of agents to the epoch of now.
func (b *Budget) advanceEpoch(now time.Duration) {
	b.start(now)
	epoch := int64(now / b.window)
	for range min(epoch-b.epoch, peakEpochs) {
		b.peakAgents = [peakEpochs]int{b.agents, b.peakAgents[0], b.peakAgents[1]}
	}
	b.epoch = max(b.epoch, epoch)
}

// serviceAt returns the counts of a service with now in the newest bucket; nil if there are too many
// services.
func (b *Budget) serviceAt(now time.Duration, service string) *serviceCounts {
	b.start(now)
	bucket := int64(now / (b.window / windowBuckets))
	counts := b.services[service]
	if counts == nil {
		if len(b.services) >= maxServices {
			b.evictIdle(bucket)
		}
		if len(b.services) >= maxServices {
			return nil
		}
		counts = &serviceCounts{newest: bucket}
		b.services[service] = counts
	}
	counts.advance(bucket)
	return counts
}

// evictIdle removes the services that nothing was sent to for a window.
func (b *Budget) evictIdle(bucket int64) {
	for name, counts := range b.services {
		if bucket-counts.newest > windowBuckets {
			delete(b.services, name)
		}
	}
}

// advance makes a bucket the newest one and clears those between.
func (c *serviceCounts) advance(bucket int64) {
	for range min(max(bucket-c.newest, 0), ringBuckets) {
		c.newest++
		c.requests[c.newest%ringBuckets], c.retries[c.newest%ringBuckets] = 0, 0
	}
	c.newest = max(c.newest, bucket)
}

// totals returns the requests and retries of the window. A part of the oldest bucket has passed out of
// it: its retries count, its requests don't.
func (c *serviceCounts) totals() (requests, retries uint64) {
	oldest := (c.newest + 1) % ringBuckets
	for i := range c.requests {
		retries += uint64(c.retries[i])
		if int64(i) != oldest {
			requests += uint64(c.requests[i])
		}
	}
	return requests, retries
}
