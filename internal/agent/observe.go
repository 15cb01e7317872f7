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
	// Started hands over, once and before all else, how to ask the agent for its state.
	Started(read func(context.Context) (Stats, error))
	// RequestAnswered tells of a final answer.
	RequestAnswered(class string, verdict string, took, left time.Duration, attempts int)
	// AttemptEnded tells how an attempt ended.
	AttemptEnded(status policy.Status, took time.Duration)
	// SentToWarmingUp tells of an attempt to a server that is not yet warm by its list.
	SentToWarmingUp()
	// ViolationPrevented tells that one of the four rules would have been broken but for the loop: by
	// its number, and by what was stopped.
	ViolationPrevented(rule int, what string)
}

// Stats is what an agent holds at a moment.
type Stats struct {
	policy.BalancerStats
	OpenRequests    int // requests without an answer
	Connections     int // to backends, and of them
	IdleConnections int
	ProbesInFlight  int // under way
	ListVersion     uint64
}

// Options are what an agent may be given beside its configuration; the zero value is none.
type Options struct {
	// ReloadSignals asks for the configuration to be read again by Read.
	ReloadSignals <-chan os.Signal
	ReadConfig    func() (*Config, error)
	// Observer may be nil.
	Observer Observer
	// Restore is what an earlier life had learned; nil: nothing.
	Restore *SavedState
	// Save is handed what has been learned, from the loop, each SaveInterval and at the
	// end; it must not block. It may be nil.
	Save         func(*SavedState)
	SaveInterval time.Duration
	// Coordinator may be nil: the agent acts alone.
	Coordinator Coordinator
}

// Coordinator is how an agent acts together with others. Its methods must not block. What it says
// enters the module as an event, and nothing else of the agent acts on it; but the list goes on
// by what neighbours were told while discovery can't be heard here.
type Coordinator interface {
	// ListChanged tells of the whole list as the agent has it, at each change of it.
	ListChanged([]Target)
	// DiscoveryReported tells what discovery itself has told: changes, or the whole list.
	DiscoveryReported(list []Target, whole bool)
	// DiscoveryResponded tells that discovery has answered a call. It may be called from any goroutine.
	DiscoveryResponded()
	// AttemptEnded tells of the end of an attempt.
	AttemptEnded(Observation)
	// Ready receives when there are new orders, and Orders are those.
	Ready() <-chan struct{}
	Directives() Directives
}

// Directives are what the layer wants of an agent now; they take the place of those before.
type Directives struct {
	// Overrides are of servers, whole: one not named has its whole share.
	Overrides []Override
	// ZoneOverrides are of zones, whole: one not named has its whole share.
	ZoneOverrides []ZoneOverride
	// FetchList asks discovery for the whole list, once.
	FetchList bool
	// PeerReports is what neighbours were told of servers: ID, State and StartedMs.
	PeerReports []Target
}

// ZoneOverride is what the layer decided of a zone.
type ZoneOverride struct {
	Zone           string
	ShareFactor    float64 // part of the shares of its servers that is used; 0: nothing is sent there
	ReachableShare float64 // part of it that is in reach: what is not takes its demand with it
	// TrafficShare is the part of this site's traffic that is to go there, where that is decided for
	// all zones; 0 for all: it is not.
	TrafficShare float64
	TTL          time.Duration // that it holds
}

// Observation is the end of an attempt or of a probe, with the server that it was sent to.
type Observation struct {
	ID          string
	Zone        string
	Probe       bool
	StartedMs   float64 // of the process that it was sent to, by the list
	Class       int
	Status      policy.Status
	Latency     time.Duration
	Utilization float64 // of a probe: how busy the server says that it is; negative: not told
}

// Override is what the layer decided of one process of a server, as policy.Standing.
type Override struct {
	ID          string
	StartedMs   float64
	ShareFactor float64
	TTL         time.Duration // that it holds
	Trial       bool
	Probe       bool
}

// SavedState is what an agent hands to its next life: what it has learned, and the list as it was
// told. The list that the platform hands to a new start may be older, and name servers as up
// of which the agent had been told that they drain.
type SavedState struct {
	Snapshot  *policy.Snapshot
	Discovery string // whose list it is: versions of another are not its
	List      TargetList
}

// savedState is what the loop has now.
func (l *eventLoop) savedState() *SavedState {
	k := &SavedState{Snapshot: l.balancer.Snapshot(l.now()), Discovery: l.discovery.addr, List: TargetList{Version: l.listVersion, Full: true}}
	for _, t := range l.targets {
		k.List.Servers = append(k.List.Servers, t)
	}
	return k
}

// recordTargets keeps what a list says of each server.
func (l *eventLoop) recordTargets(list *TargetList, full bool) {
	if l.save == nil && l.coordinator == nil {
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
	if l.coordinator != nil {
		l.coordinator.ListChanged(slices.Collect(maps.Values(l.targets)))
	}
}

// applyDirectives hands the module what the layer decided, and takes over what neighbours were told.
func (l *eventLoop) applyDirectives(o Directives) {
	l.applyPeerReports(o.PeerReports)
	if o.FetchList && !l.fetching {
		l.fetching = true
		go l.discovery.fetch()
	}
	var out []policy.Override
	at := map[string]int{}
	for _, s := range o.Overrides {
		// A server that is not listed, or listed as another process by now, is left out.
		if b := l.backends.byID[s.ID]; b != nil && b.startedMs == s.StartedMs {
			at[s.ID] = len(out)
			out = append(out, policy.Override{Server: b.policyAddr, ShareFactor: s.ShareFactor, TrafficWeight: 1, ExpiresMs: l.expiryMs(s.TTL), Trial: s.Trial, Probe: s.Probe})
		}
	}
	// A zone's share, and its pull, are ones of each of its servers. Pulls are measured so that
	// all servers together weigh as much as without.
	whole, within := 0.0, 0.0
	pulls, pulled := l.zoneTrafficWeights(o.ZoneOverrides)
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		t, b := l.targets[id], l.backends.byID[id]
		if b == nil || t.State != "up" {
			continue
		}
		whole += t.Weight
		within += t.Weight
		i := slices.IndexFunc(o.ZoneOverrides, func(z ZoneOverride) bool { return z.Zone == t.Zone })
		if i < 0 || o.ZoneOverrides[i].TTL <= 0 {
			continue
		}
		z := o.ZoneOverrides[i]
		within -= t.Weight * (1 - z.ReachableShare)
		j, named := at[id]
		if !named {
			j = len(out)
			out = append(out, policy.Override{Server: b.policyAddr, ShareFactor: 1, ExpiresMs: l.expiryMs(z.TTL)})
		}
		s := &out[j]
		s.ShareFactor *= z.ShareFactor
		s.TrafficWeight = pulls[z.Zone]
		s.ExpiresMs = min(s.ExpiresMs, l.expiryMs(z.TTL)) // neither outlasts its own time
		s.Trial, s.Probe = s.Trial && z.ShareFactor > 0, s.Probe && z.ShareFactor > 0
	}
	l.handle(&policy.Event{Kind: policy.EventOverrides, Overrides: out, ReachableShare: within / max(whole, 1e-9), ZoneWeighted: pulled})
}

// minTrafficWeight is what a server weighs at the least, as a part of the mean, where its zone is to get
// nothing of this site's traffic: it is still there when all else fails.
const minTrafficWeight = 0.01

// minAssignedTraffic is which part of a site's traffic must have somewhere to go by the decided parts:
// where most of it was to go to what is not there any more, the little that went elsewhere says
// nothing of how the rest is to be spread.
const minAssignedTraffic = 0.5

// zoneTrafficWeights is what a server of each zone weighs by the decided parts, as a part of the mean; 1, and
// false, where none are decided.
func (l *eventLoop) zoneTrafficWeights(list []ZoneOverride) (of map[string]float64, decided bool) {
	of = map[string]float64{}
	weight, sum, by := map[string]float64{}, 0.0, 0.0
	for _, t := range l.targets {
		if t.State == "up" {
			weight[t.Zone] += t.Weight
		}
	}
	for _, z := range list {
		if of[z.Zone] = 1; weight[z.Zone] > 0 && z.TTL > 0 {
			sum += weight[z.Zone] * z.ShareFactor
			by += z.ShareFactor * z.TrafficShare
		}
	}
	if by < minAssignedTraffic || sum <= 0 {
		return of, false
	}
	for _, z := range list {
		if weight[z.Zone] > 0 {
			of[z.Zone] = max(z.TrafficShare/weight[z.Zone]*sum/by, minTrafficWeight)
		}
	}
	return of, true
}

// expiryMs is the module's time at which so much has passed.
func (l *eventLoop) expiryMs(left time.Duration) float64 {
	return l.now() + float64(left.Microseconds())/1000
}

// applyPeerReports takes over what neighbours were told of servers that are listed here: later
// processes, drains and removals. Addresses may differ between agents, so of a server that is
// not listed here nothing can be used.
func (l *eventLoop) applyPeerReports(told []Target) {
	changed := TargetList{Version: l.listVersion}
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
		l.applyList(&changed, policy.UpdateDelta, false)
	}
}

// initialList is the list to start with: the platform's, or the kept one where that is of the
// same discovery and newer.
func (l *eventLoop) initialList() *TargetList {
	if k := l.restored; k != nil && k.Discovery == l.config.Discovery && k.List.Version > l.config.InitialList.Version && len(k.List.Servers) > 0 {
		return &k.List
	}
	return &l.config.InitialList
}

// noopObserver is the observer of an agent that has none.
type noopObserver struct{}

func (noopObserver) Started(func(context.Context) (Stats, error))                      {}
func (noopObserver) RequestAnswered(string, string, time.Duration, time.Duration, int) {}
func (noopObserver) AttemptEnded(policy.Status, time.Duration)                         {}
func (noopObserver) SentToWarmingUp()                                                  {}
func (noopObserver) ViolationPrevented(int, string)                                    {}

// stats asks the loop for its state, from another goroutine.
func (l *eventLoop) stats(ctx context.Context) (Stats, error) {
	got := make(chan Stats, 1)
	read := func() {
		s := Stats{BalancerStats: l.balancer.Stats(), OpenRequests: l.openRequests, ProbesInFlight: l.probesInFlight, ListVersion: l.listVersion}
		s.Connections, s.IdleConnections = l.sender.pool.count()
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
func (p *connPool) count() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle
}
