// Package coordination runs the tasks that let the agents of a fleet act together, and connects them to
// the agent's event loop. An agent whose operations file names no fleet runs none of them.
//
// There are four tasks:
//   - Gossip (package membership) carries messages between agents.
//   - The vote task (packages ejection and outlier) ejects unhealthy servers.
//   - The site task (package stalerouting) tracks the servers that discovery reported to the site's
//     agents and detects that the site's uplink is lost.
//   - The consensus task (packages consensus and zonefailover) runs only at the voters of the consensus
//     group, which decides which zones the fleet uses.
//
// Each task has its own goroutine and a bounded mailbox. The event loop passes observations in
// (AttemptEnded, ListChanged and others) and takes Directives out; neither side waits for the other.
package coordination

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// voteMailboxSize is enough for the attempts that a busy agent ends in one second and one message
	// from each member.
	voteMailboxSize = 1024
	// tickInterval is the time between two evaluations by the vote task and by the site task.
	tickInterval = 50 * time.Millisecond
)

// Config configures a Coordinator.
type Config struct {
	Membership membership.Config
	Vote       ejection.Config // Start sets Self and Incarnation from Membership
	// Site configures the detection of a lost uplink. Start sets its members to those of the electorate.
	Site stalerouting.Config
	// Consensus configures the consensus group; nil if there is none. MaxDecisionAge is the age up to
	// which its decisions are valid.
	Consensus      *consensus.Config
	MaxDecisionAge time.Duration
	// Restored is the Snapshot of an earlier run; its ages are valid at the call of Start.
	Restored Snapshot
	// PromiseDir is the directory in which this agent stores the time until which its promises as a voter
	// may be in force. No other agent may use it. If it is empty, the agent does not vote after a start
	// until the longest possible promise of an earlier run has expired.
	PromiseDir string
	TraceFile  string // file to which steps of the vote and site tasks are appended; empty for no trace
	// LatencyTargets are the latency targets by request class. An attempt's latency is judged relative to
	// the target of its class.
	LatencyTargets []time.Duration
}

// Coordinator runs the tasks of one agent. It implements agent.Coordinator. Its exported methods are safe for
// concurrent use.
type Coordinator struct {
	config      Config
	supervisor  *supervisor.Supervisor
	gossip      *membership.Gossip
	voteMailbox *supervisor.Mailbox
	siteMailbox *supervisor.Mailbox
	consensus   *consensus.Participant // nil if this agent is not a voter of the consensus group
	trace       *tracer
	startedAt   time.Time

	ready           chan struct{}
	mu              sync.Mutex            // guards the fields below
	overrides       []agent.Override      // next overrides; TTL holds the expiry time on the coordinator's clock
	pendingAttempts map[outlier.Host]bool // requested and not yet taken; true for a health check, false for a trial
	zoneOverrides   []agent.ZoneOverride  // next zone overrides; TTL holds the expiry time as in overrides
	fetchList       bool
	peerReports     map[string]agent.Target
	snapshot        Snapshot
	snapshotAt      time.Duration
}

// Snapshot is the state of the site task. It is restored when the task restarts, sent to peers, and saved to
// disk.
type Snapshot struct {
	Isolated bool
	Entries  []stalerouting.Entry // known servers, with their ages when the snapshot was taken
}

// Start starts the tasks. They run until ctx is done or Close is called. Start returns an error only if the
// configuration is invalid or the trace file can't be opened. A task that fails later is restarted with a
// backoff; the agent continues to serve meanwhile.
func Start(ctx context.Context, cfg Config) (*Coordinator, error) {
	cfg.Vote.Self, cfg.Vote.Incarnation = cfg.Membership.Name, cfg.Membership.Incarnation
	if err := cfg.Vote.Validate(); err != nil {
		return nil, fmt.Errorf("coordination: %w", err)
	}
	cfg.Site.Self, cfg.Site.Members, cfg.Site.Seed =
		cfg.Membership.Name, cfg.Vote.Electorate.Members, cfg.Membership.Incarnation
	if err := cfg.Site.Validate(); err != nil {
		return nil, fmt.Errorf("coordination: %w", err)
	}
	coordinator := &Coordinator{config: cfg, voteMailbox: supervisor.NewMailbox(voteMailboxSize),
		siteMailbox: supervisor.NewMailbox(siteMailboxSize), startedAt: time.Now(), ready: make(chan struct{}, 1),
		pendingAttempts: map[outlier.Host]bool{}, peerReports: map[string]agent.Target{}, snapshot: cfg.Restored}
	if cfg.TraceFile != "" {
		var err error
		if coordinator.trace, err = openTrace(cfg.TraceFile, cfg.Membership.Name,
			cfg.Membership.Incarnation); err != nil {
			return nil, fmt.Errorf("coordination: trace: %w", err)
		}
	}
	coordinator.gossip = membership.New(cfg.Membership, messageHandler{coordinator})
	if c := cfg.Consensus; c != nil {
		c.Self = cfg.Membership.Name
		if err := c.Validate(); err != nil {
			return nil, fmt.Errorf("coordination: consensus: %w", err)
		}
		if c.IsVoter() {
			coordinator.consensus = consensus.New(*c,
				func(d consensus.Decision) { coordinator.siteMailbox.Put(localDecision{d}) })
		}
	}
	coordinator.supervisor = supervisor.NewSupervisor(ctx, nil)
	coordinator.supervisor.Go("peers", coordinator.gossip.Run)
	coordinator.supervisor.Go("vote", coordinator.runVote)
	coordinator.supervisor.Go("site", coordinator.runSite)
	if coordinator.consensus != nil {
		coordinator.supervisor.Go("council", coordinator.consensus.Run)
	}
	return coordinator, nil
}

// Close stops the tasks gracefully and waits until they have ended.
func (c *Coordinator) Close() {
	c.supervisor.Close()
	c.trace.close()
}

// now returns the time since the start on the monotonic clock.
func (c *Coordinator) now() time.Duration { return time.Since(c.startedAt) }

// ListChanged receives the agent's complete server list after each change. It is called from the event loop.
func (c *Coordinator) ListChanged(list []agent.Target) {
	hosts := make([]outlier.ListedHost, 0, len(list))
	for _, t := range list {
		if t.State == "up" {
			hosts = append(hosts, outlier.ListedHost{Host: outlier.Host{ID: t.ID, Incarnation: int64(t.StartedMs)},
				Zone: t.Zone, Weight: max(t.Weight, 0)})
		}
	}
	m := serverList{hosts, entries(list, stalerouting.UnknownAge)}
	c.voteMailbox.Put(m)
	c.siteMailbox.Put(m)
}

// DiscoveryReported receives a report of discovery: the complete list if complete is true, otherwise only
// the changes. It is called from the event loop.
func (c *Coordinator) DiscoveryReported(list []agent.Target, complete bool) {
	c.siteMailbox.Put(discoveryReport{entries(list, 0), complete})
}

// DiscoveryResponded records that discovery answered a call, with or without changes.
func (c *Coordinator) DiscoveryResponded() {
	c.siteMailbox.Put(signalReceived{stalerouting.DiscoveryAnswered})
}

// AttemptEnded receives the outcome of an attempt or health check that has ended. It is called from the event
// loop.
func (c *Coordinator) AttemptEnded(s agent.Observation) {
	kind, ok := outcomeOf(s.Status)
	if s.Probe && kind == outlier.Failure {
		kind = outlier.NoAnswer // the connection was refused or reset, but no request has failed
	}
	if !ok || s.Class < 0 || s.Class >= len(c.config.LatencyTargets) {
		return
	}
	if kind == outlier.Success && !s.Probe && s.Zone != "" && s.Zone != c.config.Membership.Zone {
		c.siteMailbox.Put(signalReceived{stalerouting.RequestServed})
	}
	now := c.now()
	c.voteMailbox.Put(observation{outlier.Observation{Host: outlier.Host{ID: s.ID, Incarnation: int64(s.StartedMs)},
		Class: s.Class, Outcome: kind,
		LatencyRatio: s.Latency.Seconds() / c.config.LatencyTargets[s.Class].Seconds(), Sent: now - s.Latency,
		Ended: now, Probe: s.Probe, Utilization: s.Utilization}})
}

// outcomeOf maps the status of an attempt to an outcome for its host's health. It returns false if the status
// says nothing about the host.
func outcomeOf(s policy.Status) (outlier.Outcome, bool) {
	switch s {
	case policy.OK:
		return outlier.Success, true
	case policy.Error, policy.Reset, policy.ConnectFailed:
		return outlier.Failure, true
	case policy.Timeout:
		return outlier.NoAnswer, true
	case policy.Rejected:
		return outlier.Overloaded, true
	}
	return 0, false
}
