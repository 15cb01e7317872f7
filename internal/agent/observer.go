package agent

import (
	"context"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// Observer is notified of what an agent does, for reports; no decision depends on it. The loop calls the methods
// one at a time, so they must not block.
type Observer interface {
	// Started passes the function that reads the agent's state. It is called once, before all other methods. read
	// is safe for concurrent use; it fails once its context is done or the agent has ended.
	Started(read func(context.Context) (Stats, error))
	// RequestAnswered reports the final response to a request. outcome is "served", "refused" or "failed".
	RequestAnswered(class string, outcome string, took, remaining time.Duration, attempts int)
	// AttemptEnded reports the end of an attempt.
	AttemptEnded(status policy.Status, took time.Duration)
	// SentToWarmingUp reports an attempt to a backend in slow start.
	SentToWarmingUp()
	// ViolationPrevented reports that the loop prevented a violation of the contract: the number of the rule and
	// a description.
	ViolationPrevented(rule int, description string)
}

// Stats is the state of an agent at one moment.
type Stats struct {
	policy.BalancerStats
	OpenRequests    int // requests that are not answered yet
	Connections     int // open connections to backends
	IdleConnections int // idle ones among them
	ProbesInFlight  int
	ListVersion     uint64
}

// noopObserver is used if an agent has no observer.
type noopObserver struct{}

func (noopObserver) Started(func(context.Context) (Stats, error))                      {}
func (noopObserver) RequestAnswered(string, string, time.Duration, time.Duration, int) {}
func (noopObserver) AttemptEnded(policy.Status, time.Duration)                         {}
func (noopObserver) SentToWarmingUp()                                                  {}
func (noopObserver) ViolationPrevented(int, string)                                    {}

// stats returns the loop's state to another goroutine.
func (l *eventLoop) stats(ctx context.Context) (Stats, error) {
	answer := make(chan Stats, 1)
	read := func() { answer <- l.currentStats() }
	select {
	case l.inbox <- read:
	case <-ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", ctx.Err())
	case <-l.ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", l.ctx.Err())
	}
	select {
	case stats := <-answer:
		return stats, nil
	case <-ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", ctx.Err())
	case <-l.ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", l.ctx.Err())
	}
}

func (l *eventLoop) currentStats() Stats {
	stats := Stats{
		BalancerStats:  l.balancer.Stats(),
		OpenRequests:   l.openRequests,
		ProbesInFlight: l.probesInFlight,
		ListVersion:    l.listVersion,
	}
	stats.Connections, stats.IdleConnections = l.sender.pool.count()
	return stats
}
