package agent

import (
	"context"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// Observer is notified of what an agent does, for reports: no decision depends on it. The loop calls it, one
// call at a time, so its methods must not block.
type Observer interface {
	// Started hands over, once and before any other call, how to read the agent's state. read is safe for
	// concurrent use; it fails once its context or the agent has ended.
	Started(read func(context.Context) (Stats, error))
	// RequestAnswered reports a final response of an outcome: "served", "refused" or "failed".
	RequestAnswered(class string, outcome string, took, remaining time.Duration, attempts int)
	// AttemptEnded reports how an attempt ended.
	AttemptEnded(status policy.Status, took time.Duration)
	// SentToWarmingUp reports an attempt to a backend in slow start.
	SentToWarmingUp()
	// ViolationPrevented reports that the loop prevented a violation of the contract, by the number of the
	// rule and by what was prevented.
	ViolationPrevented(rule int, what string)
}

// Stats is the state of an agent at a moment.
type Stats struct {
	policy.BalancerStats
	OpenRequests    int // without an answer
	Connections     int // to backends
	IdleConnections int // of those
	ProbesInFlight  int
	ListVersion     uint64
}

// noopObserver is the observer of an agent that has none.
type noopObserver struct{}

func (noopObserver) Started(func(context.Context) (Stats, error))                      {}
func (noopObserver) RequestAnswered(string, string, time.Duration, time.Duration, int) {}
func (noopObserver) AttemptEnded(policy.Status, time.Duration)                         {}
func (noopObserver) SentToWarmingUp()                                                  {}
func (noopObserver) ViolationPrevented(int, string)                                    {}

// stats reads the loop's state from another goroutine.
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
