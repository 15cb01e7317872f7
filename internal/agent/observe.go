package agent

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
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
	// Recall is what an earlier life had learned; nil: nothing.
	Recall *Kept
	// Remember is handed what has been learned, from the loop, each RememberEvery and at the
	// end; it must not block. It may be nil.
	Remember      func(*Kept)
	RememberEvery time.Duration
	// Layer may be nil: the agent acts alone.
	Layer Layer
}

// Layer is how an agent acts together with others. The loop calls it, so its methods must
// not block. What it says enters the module as an event, and nothing else of the agent acts
// on it.
type Layer interface {
	// Listed tells of the whole list at each change of it.
	Listed([]Target)
	// Attempted tells of the end of an attempt.
	Attempted(Sight)
	// Ready receives when there are new standings, and Standings are those, whole.
	Ready() <-chan struct{}
	Standings() []Standing
}

// Sight is the end of an attempt or of a probe, with the server that it was sent to.
type Sight struct {
	ID        string
	Probe     bool
	StartedMs float64 // of the process that it was sent to, by the list
	Class     int
	Status    policy.Status
	Took      time.Duration
}

// Standing is what the layer decided of one process of a server, as policy.Standing.
type Standing struct {
	ID        string
	StartedMs float64
	Part      float64
	Left      time.Duration // that it holds
	Try       bool
	Probe     bool
}

// Kept is what an agent hands to its next life: what it has learned, and the list as it was
// told. The list that the platform hands to a new start may be older, and name servers as up
// of which the agent had been told that they drain.
type Kept struct {
	Memory    *policy.Memory
	Discovery string // whose list it is: versions of another are not its
	List      List
}

// kept is what the loop has now.
func (l *loop) kept() *Kept {
	k := &Kept{Memory: l.balancer.Memory(l.now()), Discovery: l.disc.addr, List: List{Version: l.version, Full: true}}
	for _, t := range l.targets {
		k.List.Servers = append(k.List.Servers, t)
	}
	return k
}

// note keeps what a list says of each server.
func (l *loop) note(list *List, full bool) {
	if l.remember == nil && l.layer == nil {
		return
	}
	if full || l.targets == nil {
		l.targets = map[string]Target{}
	}
	for _, t := range list.Servers {
		if l.targets[t.ID] = t; t.State == "removed" {
			delete(l.targets, t.ID)
		}
	}
	if l.layer != nil {
		l.layer.Listed(slices.Collect(maps.Values(l.targets)))
	}
}

// stand hands the module what the layer decided; a server that is not listed, or listed as
// another process by now, is left out.
func (l *loop) stand(table []Standing) {
	var out []policy.Standing
	for _, s := range table {
		if b := l.table.byID[s.ID]; b != nil && b.startedMs == s.StartedMs {
			out = append(out, policy.Standing{Server: b.name, Part: s.Part, UntilMs: l.now() + float64(s.Left.Microseconds())/1000,
				Try: s.Try, Probe: s.Probe})
		}
	}
	l.handle(&policy.Event{Kind: policy.EvStandings, Standings: out})
}

// firstList is the list to start with: the platform's, or the kept one where that is of the
// same discovery and newer.
func (l *loop) firstList() *List {
	if k := l.recall; k != nil && k.Discovery == l.cfg.Discovery && k.List.Version > l.cfg.Known.Version && len(k.List.Servers) > 0 {
		return &k.List
	}
	return &l.cfg.Known
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
