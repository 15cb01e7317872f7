package agent

import (
	"context"
	"fmt"
	"log/slog"
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
	policy.BalancerStats
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

// Layer is how an agent acts together with others. Its methods must not block. What it says
// enters the module as an event, and nothing else of the agent acts on it; but the list goes on
// by what neighbours were told while discovery can't be heard here.
type Layer interface {
	// Listed tells of the whole list as the agent has it, at each change of it.
	Listed([]Target)
	// Told tells what discovery itself has told: changes, or the whole list.
	Told(list []Target, whole bool)
	// Heard tells that discovery has answered a call. It may be called from any goroutine.
	Heard()
	// Attempted tells of the end of an attempt.
	Attempted(Sight)
	// Ready receives when there are new orders, and Orders are those.
	Ready() <-chan struct{}
	Orders() Orders
}

// Orders are what the layer wants of an agent now; they take the place of those before.
type Orders struct {
	// Standings are of servers, whole: one not named has its whole share.
	Standings []Standing
	// Zones are of zones, whole: one not named has its whole share.
	Zones []ZoneStanding
	// Ask asks discovery for the whole list, once.
	Ask bool
	// Told is what neighbours were told of servers: ID, State and StartedMs.
	Told []Target
}

// ZoneStanding is what the layer decided of a zone.
type ZoneStanding struct {
	Zone  string
	Share float64 // part of the shares of its servers that is used; 0: nothing is sent there
	Reach float64 // part of it that is in reach: what is not takes its demand with it
	// Pull is the part of this site's traffic that is to go there, where that is decided for
	// all zones; 0 for all: it is not.
	Pull float64
	Left time.Duration // that it holds
}

// Sight is the end of an attempt or of a probe, with the server that it was sent to.
type Sight struct {
	ID        string
	Zone      string
	Probe     bool
	StartedMs float64 // of the process that it was sent to, by the list
	Class     int
	Status    policy.Status
	Took      time.Duration
	Util      float64 // of a probe: how busy the server says that it is; negative: not told
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
	Memory    *policy.Snapshot
	Discovery string // whose list it is: versions of another are not its
	List      List
}

// kept is what the loop has now.
func (l *loop) kept() *Kept {
	k := &Kept{Memory: l.balancer.Snapshot(l.now()), Discovery: l.disc.addr, List: List{Version: l.version, Full: true}}
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

// obey hands the module what the layer decided, and takes over what neighbours were told.
func (l *loop) obey(o Orders) {
	l.hearsay(o.Told)
	if o.Ask && !l.fetching {
		l.fetching = true
		go l.disc.fetch()
	}
	var out []policy.Override
	at := map[string]int{}
	for _, s := range o.Standings {
		// A server that is not listed, or listed as another process by now, is left out.
		if b := l.table.byID[s.ID]; b != nil && b.startedMs == s.StartedMs {
			at[s.ID] = len(out)
			out = append(out, policy.Override{Server: b.name, ShareFactor: s.Part, TrafficWeight: 1, ExpiresMs: l.until(s.Left), Trial: s.Try, Probe: s.Probe})
		}
	}
	// A zone's share, and its pull, are ones of each of its servers. Pulls are measured so that
	// all servers together weigh as much as without.
	whole, within := 0.0, 0.0
	pulls, pulled := l.pulls(o.Zones)
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		t, b := l.targets[id], l.table.byID[id]
		if b == nil || t.State != "up" {
			continue
		}
		whole += t.Weight
		within += t.Weight
		i := slices.IndexFunc(o.Zones, func(z ZoneStanding) bool { return z.Zone == t.Zone })
		if i < 0 || o.Zones[i].Left <= 0 {
			continue
		}
		z := o.Zones[i]
		within -= t.Weight * (1 - z.Reach)
		j, named := at[id]
		if !named {
			j = len(out)
			out = append(out, policy.Override{Server: b.name, ShareFactor: 1, ExpiresMs: l.until(z.Left)})
		}
		s := &out[j]
		s.ShareFactor *= z.Share
		s.TrafficWeight = pulls[z.Zone]
		s.ExpiresMs = min(s.ExpiresMs, l.until(z.Left)) // neither outlasts its own time
		s.Trial, s.Probe = s.Trial && z.Share > 0, s.Probe && z.Share > 0
	}
	l.handle(&policy.Event{Kind: policy.EventOverrides, Overrides: out, ReachableShare: within / max(whole, 1e-9), ZoneWeighted: pulled})
}

// leastPull is what a server weighs at the least, as a part of the mean, where its zone is to get
// nothing of this site's traffic: it is still there when all else fails.
const leastPull = 0.01

// leastDecided is which part of a site's traffic must have somewhere to go by the decided parts:
// where most of it was to go to what is not there any more, the little that went elsewhere says
// nothing of how the rest is to be spread.
const leastDecided = 0.5

// pulls is what a server of each zone weighs by the decided parts, as a part of the mean; 1, and
// false, where none are decided.
func (l *loop) pulls(list []ZoneStanding) (of map[string]float64, decided bool) {
	of = map[string]float64{}
	weight, sum, by := map[string]float64{}, 0.0, 0.0
	for _, t := range l.targets {
		if t.State == "up" {
			weight[t.Zone] += t.Weight
		}
	}
	for _, z := range list {
		if of[z.Zone] = 1; weight[z.Zone] > 0 && z.Left > 0 {
			sum += weight[z.Zone] * z.Share
			by += z.Share * z.Pull
		}
	}
	if by < leastDecided || sum <= 0 {
		return of, false
	}
	for _, z := range list {
		if weight[z.Zone] > 0 {
			of[z.Zone] = max(z.Pull/weight[z.Zone]*sum/by, leastPull)
		}
	}
	return of, true
}

// until is the module's time at which so much has passed.
func (l *loop) until(left time.Duration) float64 { return l.now() + float64(left.Microseconds())/1000 }

// hearsay takes over what neighbours were told of servers that are listed here: later
// processes, drains and removals. Addresses may differ between agents, so of a server that is
// not listed here nothing can be used.
func (l *loop) hearsay(told []Target) {
	changed := List{Version: l.version}
	order := []string{"up", "draining", "removed"}
	for _, n := range told {
		t, ok := l.targets[n.ID]
		is, was := slices.Index(order, n.State), slices.Index(order, t.State)
		if !ok || n.StartedMs < t.StartedMs || n.StartedMs == t.StartedMs && is <= was {
			continue
		}
		t.State, t.StartedMs = n.State, n.StartedMs
		changed.Servers = append(changed.Servers, t)
	}
	if len(changed.Servers) > 0 {
		l.log(slog.LevelInfo, "list goes on by what neighbours were told", "servers", len(changed.Servers))
		l.list(&changed, policy.UpdateDelta, false)
	}
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
		s := Stats{BalancerStats: l.balancer.Stats(), Open: l.open, Probes: l.probes, ListVersion: l.version}
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
