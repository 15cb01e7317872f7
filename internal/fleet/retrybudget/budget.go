// Package retrybudget bounds the retries of a fleet of agents that do not coordinate. In any window the
// retries of the fleet stay within ratio x requests + slack, even while agents crash, restart or are
// partitioned from each other. Every send of a request after the first is a retry.
//
// Each agent stays within a limit that is safe without knowing the retries of the others: a fraction of
// the ratio of its own requests, plus its share of the slack. A new process has no share until a
// complete window has passed, as its predecessor may have spent the share. A fifth of the slack is not
// distributed. It is a margin for two errors: an agent counts only the windows that end with its own
// sends, and the requests of a window, if there are few, are distributed unevenly over it.
package retrybudget

import (
	"slices"
	"time"
)

const (
	// ratioFraction and slackFraction are the fractions of ratio and slack that agents use. The rest
	// is a margin for what an agent can't count exactly: sends that have not arrived, requests of the
	// previous window, and agents that it does not know of yet.
	ratioFraction, slackFraction = 0.85, 0.8
	// windowBuckets is the number of buckets per window. A count is too strict by at most one bucket.
	windowBuckets = 64
	// ringBuckets covers a window plus the oldest bucket, which is only partly in the window.
	ringBuckets = windowBuckets + 1
	// maxServices bounds the number of services that are counted; other services get no retries.
	maxServices = 1024
	// peakEpochs is the number of epochs over which the largest number of agents is kept. An epoch is
	// as long as a window.
	peakEpochs = 3
)

// Budget is the share of one process in the retry budget of a fleet. It reads no clock: its methods take
// the time as their first argument, from any clock that does not run backwards. It is not safe for
// concurrent use.
type Budget struct {
	ratio, slack float64
	window       time.Duration
	hasStarted   bool // startedAt is set
	startedAt    time.Duration
	agents       int             // number of agents that are known now
	peakAgents   [peakEpochs]int // largest number known in this epoch, in the previous one, and so on
	epoch        int64           // number of the current epoch; epoch 0 begins at time zero
	services     map[string]*serviceCounts
}

// serviceCounts counts the sends for one service in a ring of time buckets.
type serviceCounts struct {
	newest            int64 // number of the newest bucket; bucket 0 begins at time zero
	requests, retries [ringBuckets]uint32
}

// New returns the budget of a process. The process is taken to start at the time of the first method
// call. Ratio and slack are those of the fleet, the slack as a number of retries. Negative values count
// as 0, and a window is at least windowBuckets nanoseconds long.
func New(ratio float64, window time.Duration, slack float64) *Budget {
	return &Budget{
		ratio:    max(ratio, 0),
		slack:    max(slack, 0),
		window:   max(window, windowBuckets),
		services: map[string]*serviceCounts{},
	}
}

// SetAgentCount sets the number of agents that are known, including this one. The share depends on the
// largest number of the last two windows or more, since an agent that is no longer known may still send.
func (b *Budget) SetAgentCount(now time.Duration, agents int) {
	b.advanceEpoch(now)
	b.agents = agents
	b.peakAgents[0] = max(b.peakAgents[0], agents)
}

// RecordRequest counts the first send of a request. A retry by the client is a new request.
func (b *Budget) RecordRequest(now time.Duration, service string) {
	if counts := b.serviceAt(now, service); counts != nil {
		counts.requests[counts.newest%ringBuckets]++
	}
}

// TryRetry reports whether one more retry of a request is within the budget. If so, it counts the
// retry.
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

// SlackShare returns how many retries this process may send in a window beyond those that its requests
// allow.
func (b *Budget) SlackShare(now time.Duration) int {
	b.advanceEpoch(now)
	agents := slices.Max(b.peakAgents[:])
	if now-b.startedAt <= b.window || agents < 1 {
		return 0
	}
	return int(slackFraction * b.slack / float64(agents))
}

// start records the time of the first call as startedAt.
func (b *Budget) start(now time.Duration) {
	if !b.hasStarted {
		b.hasStarted, b.startedAt = true, now
	}
}

// advanceEpoch shifts peakAgents to the epoch that contains now.
func (b *Budget) advanceEpoch(now time.Duration) {
	b.start(now)
	epoch := int64(now / b.window)
	for range min(epoch-b.epoch, peakEpochs) {
		b.peakAgents = [peakEpochs]int{b.agents, b.peakAgents[0], b.peakAgents[1]}
	}
	b.epoch = max(b.epoch, epoch)
}

// serviceAt returns the counts of a service, advanced so that now is in the newest bucket. It returns nil
// if there are too many services.
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

// evictIdle removes the services that were not used for a window.
func (b *Budget) evictIdle(bucket int64) {
	for name, counts := range b.services {
		if bucket-counts.newest > windowBuckets {
			delete(b.services, name)
		}
	}
}

// advance makes the given bucket the newest one and clears the buckets up to it.
func (c *serviceCounts) advance(bucket int64) {
	for range min(max(bucket-c.newest, 0), ringBuckets) {
		c.newest++
		c.requests[c.newest%ringBuckets], c.retries[c.newest%ringBuckets] = 0, 0
	}
	c.newest = max(c.newest, bucket)
}

// totals returns the requests and retries in the window. The oldest bucket is only partly in the window:
// its retries count, its requests don't.
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
