// Package retrybudget keeps the retry budget that all agents share, without asking any of them: over
// any window the sends beyond the first of each request stay within ratio x requests + slack,
// summed over the fleet, also while agents die, start again or cannot hear each other.
//
// Each agent holds to a part that holds by itself: further sends up to a part of the ratio of
// its own first ones, and its share of the slack. A new process has no share until a whole
// window has passed, as its predecessor may have spent it. A fifth of the slack is given to
// nobody: it covers that each agent counts the windows that end with its own sends, and that a
// few requests lie unevenly in them. It is pure and not safe for concurrent use.
package retrybudget

import (
	"slices"
	"time"
)

const (
	// ratioFraction and slackFraction leave room for what an agent cannot count exactly: sends on the
	// way, requests that lie in the window before, and agents it has not heard of yet.
	ratioFraction, slackFraction = 0.85, 0.8
	// windowBuckets is the resolution of a window: counts err to the strict side by one of them.
	windowBuckets = 64
	// maxServices bounds the services counted; one beyond them gets no further sends.
	maxServices = 1024
)

// Budget is one process's part of the retry budget.
type Budget struct {
	ratio, slack float64
	window       time.Duration
	startedAt    time.Duration
	hasStarted   bool
	agents       int    // known now
	peakAgents   [3]int // the most known in this window, by its number epoch, and in the two before
	epoch        int64
	services     map[string]*serviceCounts
}

// serviceCounts holds one service's sends by bucket, as a ring; at is the newest bucket's number.
type serviceCounts struct {
	newest            int64
	requests, retries [windowBuckets + 1]uint32
}

// New returns the budget of a process that starts now, at the first time that a method is
// given. The ratio and slack are the fleet's, the window is above 0.
func New(ratio float64, window time.Duration, slack float64) *Budget {
	return &Budget{ratio: max(ratio, 0), slack: max(slack, 0), window: max(window, windowBuckets),
		services: map[string]*serviceCounts{}}
}

// SetAgentCount tells how many agents are known now, this one included. The share follows the most
// of two windows at the least: who is not heard may still spend.
func (b *Budget) SetAgentCount(now time.Duration, agents int) {
	b.advanceEpoch(now)
	b.agents = agents
	b.peakAgents[0] = max(b.peakAgents[0], agents)
}

func (b *Budget) advanceEpoch(now time.Duration) {
	b.start(now)
	for range min(int64(now/b.window)-b.epoch, int64(len(b.peakAgents))) {
		b.peakAgents = [3]int{b.agents, b.peakAgents[0], b.peakAgents[1]}
	}
	b.epoch = max(b.epoch, int64(now/b.window))
}

// RecordRequest counts the first send of a request. Each try of a client is a request of its own.
func (b *Budget) RecordRequest(now time.Duration, service string) {
	if counts := b.serviceAt(now, service); counts != nil {
		counts.requests[counts.newest%(windowBuckets+1)]++
	}
}

// TryRetry tells whether one more send of a request that was sent before is within the
// budget, and counts it if so.
func (b *Budget) TryRetry(now time.Duration, service string) bool {
	counts := b.serviceAt(now, service)
	if counts == nil {
		return false
	}
	// Of the oldest bucket a part is past: its repeats count, its first sends don't.
	oldest := (counts.newest + 1) % (windowBuckets + 1)
	var requests, retries uint64
	for i := range counts.requests {
		retries += uint64(counts.retries[i])
		if int64(i) != oldest {
			requests += uint64(counts.requests[i])
		}
	}
	if float64(retries)+1 > ratioFraction*b.ratio*float64(requests)+float64(b.SlackShare(now)) {
		return false
	}
	counts.retries[counts.newest%(windowBuckets+1)]++
	return true
}

// SlackShare is the part of the slack that this process may spend in a window.
func (b *Budget) SlackShare(now time.Duration) int {
	b.advanceEpoch(now)
	agents := slices.Max(b.peakAgents[:])
	if now-b.startedAt <= b.window || agents < 1 {
		return 0
	}
	return int(slackFraction * b.slack / float64(agents))
}

func (b *Budget) start(now time.Duration) {
	if !b.hasStarted {
		b.hasStarted, b.startedAt = true, now
	}
}

// serviceAt is the service's count, moved to now.
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
	for range min(max(bucket-counts.newest, 0), windowBuckets+1) {
		counts.newest++
		counts.requests[counts.newest%(windowBuckets+1)], counts.retries[counts.newest%(windowBuckets+1)] = 0, 0
	}
	counts.newest = max(counts.newest, bucket)
	return counts
}

// evictIdle drops the services that nothing was sent to for a window.
func (b *Budget) evictIdle(bucket int64) {
	for name, counts := range b.services {
		if bucket-counts.newest > windowBuckets {
			delete(b.services, name)
		}
	}
}
