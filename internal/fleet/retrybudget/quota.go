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
	// ratioPart and slackPart leave room for what an agent cannot count exactly: sends on the
	// way, requests that lie in the window before, and agents it has not heard of yet.
	ratioPart, slackPart = 0.85, 0.8
	// buckets is the resolution of a window: counts err to the strict side by one of them.
	buckets = 64
	// maxServices bounds the services counted; one beyond them gets no further sends.
	maxServices = 1024
)

// Budget is one process's part of the retry budget.
type Budget struct {
	ratio, slack float64
	window       time.Duration
	started      time.Duration
	begun        bool
	agents       int    // known now
	most         [3]int // the most known in this window, by its number epoch, and in the two before
	epoch        int64
	services     map[string]*count
}

// count holds one service's sends by bucket, as a ring; at is the newest bucket's number.
type count struct {
	at           int64
	first, again [buckets + 1]uint32
}

// New returns the budget of a process that starts now, at the first time that a method is
// given. The ratio and slack are the fleet's, the window is above 0.
func New(ratio float64, window time.Duration, slack float64) *Budget {
	return &Budget{ratio: max(ratio, 0), slack: max(slack, 0), window: max(window, buckets),
		services: map[string]*count{}}
}

// SetAgents tells how many agents are known now, this one included. The share follows the most
// of two windows at the least: who is not heard may still spend.
func (b *Budget) SetAgents(now time.Duration, n int) {
	b.roll(now)
	b.agents = n
	b.most[0] = max(b.most[0], n)
}

func (b *Budget) roll(now time.Duration) {
	b.start(now)
	for range min(int64(now/b.window)-b.epoch, int64(len(b.most))) {
		b.most = [3]int{b.agents, b.most[0], b.most[1]}
	}
	b.epoch = max(b.epoch, int64(now/b.window))
}

// First counts the first send of a request. Each try of a client is a request of its own.
func (b *Budget) First(now time.Duration, service string) {
	if c := b.of(now, service); c != nil {
		c.first[c.at%(buckets+1)]++
	}
}

// TryRepeat tells whether one more send of a request that was sent before is within the
// budget, and counts it if so.
func (b *Budget) TryRepeat(now time.Duration, service string) bool {
	c := b.of(now, service)
	if c == nil {
		return false
	}
	// Of the oldest bucket a part is past: its repeats count, its first sends don't.
	oldest := (c.at + 1) % (buckets + 1)
	var first, again uint64
	for i := range c.first {
		again += uint64(c.again[i])
		if int64(i) != oldest {
			first += uint64(c.first[i])
		}
	}
	if float64(again)+1 > ratioPart*b.ratio*float64(first)+float64(b.Share(now)) {
		return false
	}
	c.again[c.at%(buckets+1)]++
	return true
}

// Share is the part of the slack that this process may spend in a window.
func (b *Budget) Share(now time.Duration) int {
	b.roll(now)
	n := slices.Max(b.most[:])
	if now-b.started <= b.window || n < 1 {
		return 0
	}
	return int(slackPart * b.slack / float64(n))
}

func (b *Budget) start(now time.Duration) {
	if !b.begun {
		b.begun, b.started = true, now
	}
}

// of is the service's count, moved to now.
func (b *Budget) of(now time.Duration, service string) *count {
	b.start(now)
	at := int64(now / (b.window / buckets))
	c := b.services[service]
	if c == nil {
		if len(b.services) >= maxServices {
			b.forget(at)
		}
		if len(b.services) >= maxServices {
			return nil
		}
		c = &count{at: at}
		b.services[service] = c
	}
	for range min(max(at-c.at, 0), buckets+1) {
		c.at++
		c.first[c.at%(buckets+1)], c.again[c.at%(buckets+1)] = 0, 0
	}
	c.at = max(c.at, at)
	return c
}

// forget drops the services that nothing was sent to for a window.
func (b *Budget) forget(at int64) {
	for name, c := range b.services {
		if at-c.at > buckets {
			delete(b.services, name)
		}
	}
}
