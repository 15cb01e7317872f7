// Package coordination runs the tasks by which the agents of a fleet act together, and connects them to
// the agent's event loop. Without an operations file that names peers nothing of it runs.
//
// The tasks are: gossip (package membership), which carries messages; the vote (packages ejection and
// outlier), which ejects unhealthy servers; the site (package stalerouting), which tracks what discovery
// reported to the site and whether its uplink is lost; and, at a voter, the consensus group (packages
// consensus and zonefailover). Each task has its own goroutine and a bounded mailbox. The event loop
// passes observations in (AttemptEnded, ListChanged and others) and takes Directives out; neither side
// waits for the other.
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
	// voteMailboxSize holds the attempts of a busy agent for a second, and a message of each
	// member.
	voteMailboxSize = 1024
	// tickInterval is the time between two evaluations of the vote and of the site.
	tickInterval = 50 * time.Millisecond
)

// Config configures a Coordinator.
type Config struct {
	Membership membership.Config
	Vote       ejection.Config // Self and Incarnation are taken from Membership
	// Site configures the detection of a lost uplink. Its members are those of the electorate.
	Site stalerouting.Config
	// Consensus is nil if there is no consensus group. MaxDecisionAge is the age up to which its
	// decisions are valid.
	Consensus      *consensus.Config
	MaxDecisionAge time.Duration
	// Restored is the Snapshot of an earlier run, with ages as of now.
	Restored Snapshot
	// PromiseDir is a directory of this voter alone that stores until when its promises may stand. If
	// it is empty, each run abstains for as long as a promise may stand.
	PromiseDir string
	TraceFile  string // file to which steps of the vote and of the site are appended; empty: none
	// LatencyTargets are the latency targets of the request classes, which define slow answers.
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
	consensus   *consensus.Participant // nil: this agent is not a voter of the group
	trace       *tracer
	startedAt   time.Time

	ready           chan struct{}
	mu              sync.Mutex            // guards the next directives and the last snapshot:
	overrides       []agent.Override      // TTL holds the expiry on the coordinator's clock
	pendingAttempts map[outlier.Host]bool // requested and not yet taken; true: by a health check
	zoneOverrides   []agent.ZoneOverride  // TTL as in overrides
	fetchList       bool
	peerReports     map[string]agent.Target
	snapshot        Snapshot
	snapshotAt      time.Duration
}

// Snapshot is the state of the site's task, for its restart, for peers and for the disk.
type Snapshot struct {
	Isolated bool
	Entries  []stalerouting.Entry // with ages as of when the snapshot was taken
}

// Start starts the tasks. They end with ctx, and Close waits for them. Only an invalid configuration is
// an error: a task that fails later is restarted with a backoff, and the agent serves meanwhile.
func Start(ctx context.Context, cfg Config) (*Coordinator, error) {
	cfg.Vote.Self, cfg.Vote.Incarnation = cfg.Membership.Name, cfg.Membership.Incarnation
	if err := cfg.Vote.Validate(); err != nil {
		return nil, fmt.Errorf("coordination: %w", err)
	}
	cfg.Site.Self, cfg.Site.Members, cfg.Site.Seed = cfg.Membership.Name, cfg.Vote.Electorate.Members, cfg.Membership.Incarnation
	if err := cfg.Site.Validate(); err != nil {
		return nil, fmt.Errorf("coordination: %w", err)
	}
	l := &Coordinator{config: cfg, voteMailbox: supervisor.NewMailbox(voteMailboxSize), siteMailbox: supervisor.NewMailbox(siteMailboxSize), startedAt: time.Now(), ready: make(chan struct{}, 1),
		pendingAttempts: map[outlier.Host]bool{}, peerReports: map[string]agent.Target{}, snapshot: cfg.Restored}
	if cfg.TraceFile != "" {
		var err error
		if l.trace, err = openTrace(cfg.TraceFile, cfg.Membership.Name, cfg.Membership.Incarnation); err != nil {
			return nil, fmt.Errorf("coordination: trace: %w", err)
		}
	}
	l.gossip = membership.New(cfg.Membership, messageHandler{l})
	if c := cfg.Consensus; c != nil {
		c.Self = cfg.Membership.Name
		if err := c.Validate(); err != nil {
			return nil, fmt.Errorf("coordination: consensus: %w", err)
		}
		if c.IsVoter() {
			l.consensus = consensus.New(*c, func(d consensus.Decision) { l.siteMailbox.Put(localDecision{d}) })
		}
	}
	l.supervisor = supervisor.NewSupervisor(ctx, nil)
	l.supervisor.Go("peers", l.gossip.Run)
	l.supervisor.Go("vote", l.runVote)
	l.supervisor.Go("site", l.runSite)
	if l.consensus != nil {
		l.supervisor.Go("council", l.consensus.Run)
	}
	return l, nil
}

// Close ends the tasks gracefully and waits for them.
func (c *Coordinator) Close() {
	c.supervisor.Close()
	c.trace.close()
}

// now returns the time since the start on the monotonic clock.
func (c *Coordinator) now() time.Duration { return time.Since(c.startedAt) }

// ListChanged takes the complete server list of the agent. It is called from the event loop.
func (c *Coordinator) ListChanged(list []agent.Target) {
	hosts := make([]outlier.ListedHost, 0, len(list))
	for _, t := range list {
		if t.State == "up" {
			hosts = append(hosts, outlier.ListedHost{Host: outlier.Host{ID: t.ID, Incarnation: int64(t.StartedMs)}, Zone: t.Zone, Weight: max(t.Weight, 0)})
		}
	}
	m := serverList{hosts, entries(list, stalerouting.UnknownAge)}
	c.voteMailbox.Put(m)
	c.siteMailbox.Put(m)
}

// DiscoveryReported takes a report of discovery: changes, or the complete list. It is called from the
// event loop.
func (c *Coordinator) DiscoveryReported(list []agent.Target, whole bool) {
	c.siteMailbox.Put(discoveryReport{entries(list, 0), whole})
}

// DiscoveryResponded takes that discovery answered a call, with or without changes.
func (c *Coordinator) DiscoveryResponded() {
	c.siteMailbox.Put(signalReceived{stalerouting.DiscoveryAnswered})
}

// AttemptEnded takes the end of an attempt. It is called from the event loop.
func (c *Coordinator) AttemptEnded(s agent.Observation) {
	kind, ok := outcomeOf(s.Status)
	if s.Probe && kind == outlier.Failure {
		kind = outlier.NoAnswer // a refused or reset connection: no request has failed
	}
	if !ok || s.Class < 0 || s.Class >= len(c.config.LatencyTargets) {
		return
	}
	if kind == outlier.Success && !s.Probe && s.Zone != "" && s.Zone != c.config.Membership.Zone {
		c.siteMailbox.Put(signalReceived{stalerouting.RequestServed})
	}
	now := c.now()
	c.voteMailbox.Put(observation{outlier.Observation{Host: outlier.Host{ID: s.ID, Incarnation: int64(s.StartedMs)}, Class: s.Class, Outcome: kind,
		LatencyRatio: s.Latency.Seconds() / c.config.LatencyTargets[s.Class].Seconds(), Sent: now - s.Latency, Ended: now, Probe: s.Probe, Utilization: s.Utilization}})
}

// outcomeOf maps the status of an attempt to the health outcome of its host, or false if it has none.
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
