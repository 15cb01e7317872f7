package agent

import (
	"context"
	"fmt"
	"os"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// Observer is told what an agent does, for reports: nothing is decided by it. The loop calls
// it, so its methods must not block.
type Observer interface {
	// Serving hands over, once and before all else, how to ask the agent for its state.
	Serving(read func(context.Context) (Stats, error))
	// Answered tells of a final answer.
	Answered(class string, verdict string, took, left time.Duration, attempts int)
	// Attempted tells how an attempt ended.
	Attempted(status policy.Status, took time.Duration)
	// SentCold tells of an attempt to a server that is not yet warm by its list.
	SentCold()
	// Guarded tells that one of the four rules would have been broken but for the loop: by
	// its number, and by what was stopped.
	Guarded(rule int, what string)
}

// Stats is what an agent holds at a moment.
type Stats struct {
	policy.Figures
	Open        int // requests without an answer
	Connections int // to backends, and of them
	Idle        int
	Probes      int // under way
	ListVersion uint64
}

// Options are what an agent may be given beside its configuration; the zero value is none.
type Options struct {
	// Reread asks for the configuration to be read again by Read.
	Reread <-chan os.Signal
	Read   func() (*Config, error)
	// Observer may be nil.
	Observer Observer
}

// deaf is the observer of an agent that has none.
type deaf struct{}

func (deaf) Serving(func(context.Context) (Stats, error))               {}
func (deaf) Answered(string, string, time.Duration, time.Duration, int) {}
func (deaf) Attempted(policy.Status, time.Duration)                     {}
func (deaf) SentCold()                                                  {}
func (deaf) Guarded(int, string)                                        {}

// stats asks the loop for its state, from another goroutine.
func (l *loop) stats(ctx context.Context) (Stats, error) {
	got := make(chan Stats, 1)
	read := func() {
		s := Stats{Figures: l.balancer.Figures(), Open: l.open, Probes: l.probes, ListVersion: l.version}
		s.Connections, s.Idle = l.sender.pool.count()
		got <- s
	}
	select {
	case l.inbox <- read:
	case <-ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", ctx.Err())
	case <-l.ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", l.ctx.Err())
	}
	select {
	case s := <-got:
		return s, nil
	case <-ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", ctx.Err())
	case <-l.ctx.Done():
		return Stats{}, fmt.Errorf("agent: state: %w", l.ctx.Err())
	}
}

// count is how many connections there are, and how many of them idle.
func (p *pool) count() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle
}
