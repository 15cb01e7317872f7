// Package coordination puts the parts together by which agents act as one, and gives them to the
// agent as one thing. Without an operations file that names peers nothing of it runs.
//
// The parts are tasks: peers carries messages, the vote owns the evidence and the ballot, the
// site what its agents were told of servers and whether its uplink is lost. The agent's loop
// hands over what it saw and takes orders; neither waits for the other.
package coordination

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// voteMailboxSize bounds what waits for the vote: a second of attempts of a busy agent, and a
	// letter of each member.
	voteMailboxSize = 1024
	// tickInterval is how often the vote decides anew.
	tickInterval = 50 * time.Millisecond
)

// Config is what the layer is told.
type Config struct {
	Membership membership.Config
	Vote       ejection.Config // Self and Boot are those of Peers
	// Site is how the site finds out that its uplink is lost. Its members are those of the roll.
	Site stalerouting.Config
	// Consensus is nil where there is none. Bound is how old its word may be.
	Consensus      *consensus.Config
	MaxDecisionAge time.Duration
	// Restored is what an earlier life's Kept had, ages counted on.
	Restored Snapshot
	// PromiseDir is a folder of this voter alone, by which a next life knows until when its promises
	// stand; empty: none, and each life is silent for as long as one may stand.
	PromiseDir string
	TraceFile  string // file that the steps of the vote and of the site are added to; empty: none
	// LatencyTargets are the classes' aims, by which an answer is slow.
	LatencyTargets []time.Duration
}

// Coordinator runs the tasks of one agent. It implements agent.Layer.
type Coordinator struct {
	config      Config
	supervisor  *supervisor.Supervisor
	gossip      *membership.Gossip
	voteMailbox *supervisor.Mailbox // of the vote
	siteMailbox *supervisor.Mailbox
	consensus   *consensus.Participant // nil: this agent is no voter
	trace       *tracer
	startedAt   time.Time

	ready           chan struct{}
	mu              sync.Mutex            // of what the loop takes next, and of what was last Kept:
	overrides       []agent.Override      // Left is the layer's time at which it ends
	pendingAttempts map[outlier.Host]bool // asked for and not yet handed over: whether by a probe
	zoneOverrides   []agent.ZoneOverride  // Left as in table
	fetchList       bool
	peerReports     map[string]agent.Target
	snapshot        Snapshot
	snapshotAt      time.Duration
}

// Snapshot is what the site's task has, for its next life, for neighbours and for the disk.
type Snapshot struct {
	Isolated bool
	Entries  []stalerouting.Entry // ages as of when it was kept
}

// Start starts the tasks; they end with ctx, and Close waits for them. Only what makes no
// sense is an error: a task that can't do its work is tried again, and the agent serves.
func Start(ctx context.Context, cfg Config) (*Coordinator, error) {
	cfg.Vote.Self, cfg.Vote.Incarnation = cfg.Membership.Name, cfg.Membership.Incarnation
	if err := cfg.Vote.Validate(); err != nil {
		return nil, fmt.Errorf("layer: %w", err)
	}
	cfg.Site.Self, cfg.Site.Members, cfg.Site.Seed = cfg.Membership.Name, cfg.Vote.Electorate.Members, cfg.Membership.Incarnation
	if err := cfg.Site.Validate(); err != nil {
		return nil, fmt.Errorf("layer: %w", err)
	}
	l := &Coordinator{config: cfg, voteMailbox: supervisor.NewMailbox(voteMailboxSize), siteMailbox: supervisor.NewMailbox(siteMailboxSize), startedAt: time.Now(), ready: make(chan struct{}, 1),
		pendingAttempts: map[outlier.Host]bool{}, peerReports: map[string]agent.Target{}, snapshot: cfg.Restored}
	if cfg.TraceFile != "" {
		var err error
		if l.trace, err = openTrace(cfg.TraceFile, cfg.Membership.Name, cfg.Membership.Incarnation); err != nil {
			return nil, fmt.Errorf("layer: trace: %w", err)
		}
	}
	l.gossip = membership.New(cfg.Membership, messageHandler{l})
	if c := cfg.Consensus; c != nil {
		c.Self = cfg.Membership.Name
		if err := c.Validate(); err != nil {
			return nil, fmt.Errorf("layer: council: %w", err)
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

// Close ends the tasks, each in order.
func (l *Coordinator) Close() {
	l.supervisor.Close()
	l.trace.close()
}

// now is the layer's clock: monotonic, since its start.
func (l *Coordinator) now() time.Duration { return time.Since(l.startedAt) }

// ---- what the vote is told ----

type (
	observation struct{ outlier.Observation }
	serverList  struct {
		hosts   []outlier.ListedHost
		entries []stalerouting.Entry
	}
	voteMessage    struct{ *ejection.VoteMessage }
	membersChanged struct{ list []membership.Peer }
)

// A sight that finds no room goes: many more like it are queued.
func (observation) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// The list, who is there, and a peer's letter take the place of an older one, and of what
// else is queued.
func (serverList) Overflow() supervisor.OverflowPolicy     { return supervisor.DropOldest }
func (voteMessage) Overflow() supervisor.OverflowPolicy    { return supervisor.DropOldest }
func (membersChanged) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (m serverList) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	_, ok := q.(serverList)
	return m, ok
}

func (m membersChanged) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	_, ok := q.(membersChanged)
	return m, ok
}

func (m voteMessage) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(voteMessage)
	if !ok || o.From != m.From {
		return m, false
	}
	if o.Incarnation == m.Incarnation && o.Sent > m.Sent {
		return o, true
	}
	return m, true
}

// ListChanged takes the whole list, from the agent's loop.
func (l *Coordinator) ListChanged(list []agent.Target) {
	hosts := make([]outlier.ListedHost, 0, len(list))
	for _, t := range list {
		if t.State == "up" {
			hosts = append(hosts, outlier.ListedHost{Host: outlier.Host{ID: t.ID, Incarnation: int64(t.StartedMs)}, Zone: t.Zone, Weight: max(t.Weight, 0)})
		}
	}
	m := serverList{hosts, entries(list, stalerouting.UnknownAge)}
	l.voteMailbox.Put(m)
	l.siteMailbox.Put(m)
}

// DiscoveryReported takes what discovery told, from the agent's loop.
func (l *Coordinator) DiscoveryReported(list []agent.Target, whole bool) {
	l.siteMailbox.Put(discoveryReport{entries(list, 0), whole})
}

// DiscoveryResponded takes that discovery answered a call.
func (l *Coordinator) DiscoveryResponded() {
	l.siteMailbox.Put(signalReceived{stalerouting.DiscoveryAnswered})
}

// AttemptEnded takes the end of an attempt, from the agent's loop.
func (l *Coordinator) AttemptEnded(s agent.Observation) {
	kind, ok := outcomeOf(s.Status)
	if s.Probe && kind == outlier.Failure {
		kind = outlier.NoAnswer // no connect, or a reset: nothing of a request failed
	}
	if !ok || s.Class < 0 || s.Class >= len(l.config.LatencyTargets) {
		return
	}
	if kind == outlier.Success && !s.Probe && s.Zone != "" && s.Zone != l.config.Membership.Zone {
		l.siteMailbox.Put(signalReceived{stalerouting.RequestServed})
	}
	now := l.now()
	l.voteMailbox.Put(observation{outlier.Observation{Host: outlier.Host{ID: s.ID, Incarnation: int64(s.StartedMs)}, Class: s.Class, Outcome: kind,
		LatencyRatio: s.Latency.Seconds() / l.config.LatencyTargets[s.Class].Seconds(), Sent: now - s.Latency, Ended: now, Probe: s.Probe, Utilization: s.Utilization}})
}

// outcomeOf is what an attempt's end says of its host; false if nothing.
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

// messageHandler takes what peers bring.
type messageHandler struct{ coordinator *Coordinator }

// The kinds of messages between layers.
const (
	KindVote       membership.Kind = 'l'
	KindHeartbeat  membership.Kind = 'w'
	KindPing       membership.Kind = 'p'
	KindZoneReport membership.Kind = 'r'
	KindDecision   membership.Kind = 'd'
)

func (s messageHandler) HandleMessage(kind membership.Kind, body []byte) {
	var err error
	switch kind {
	case KindVote:
		var m ejection.VoteMessage
		if err = decode(body, &m, m.Validate); err == nil {
			s.coordinator.voteMailbox.Put(voteMessage{&m})
		}
	case KindHeartbeat:
		var m stalerouting.Heartbeat
		if err = decode(body, &m, m.Validate); err == nil {
			s.coordinator.siteMailbox.Put(heartbeat{m})
		}
	case KindPing:
		var m ping
		if err = decode(body, &m, m.validate); err == nil {
			s.coordinator.siteMailbox.Put(m)
		}
	case KindZoneReport:
		var m zonefailover.Report
		if err = decode(body, &m, m.Validate); err == nil && s.coordinator.consensus != nil {
			s.coordinator.consensus.Mailbox().Put(consensus.Report{Report: m})
		}
	case KindDecision:
		var m stalerouting.Decision
		if err = decode(body, &m, m.Validate); err == nil {
			s.coordinator.siteMailbox.Put(peerDecision{m})
		}
	default:
		err = fmt.Errorf("layer: message: unknown kind %q", kind)
	}
	if err != nil {
		slog.Debug("message not believed", "err", err)
	}
}

// decode reads a message and checks it.
func decode(body []byte, m any, check func() error) error {
	if err := membership.Decode(body, m); err != nil {
		return err
	}
	return check()
}

func (s messageHandler) MembersChanged(list []membership.Peer) {
	s.coordinator.voteMailbox.Put(membersChanged{list})
	s.coordinator.siteMailbox.Put(membersChanged{list})
}

// LocalState is the set as of now.
func (s messageHandler) LocalState() []byte {
	k := s.coordinator.Snapshot()
	body, err := membership.Encode(siteState{stalerouting.Version, s.coordinator.config.Membership.Name, s.coordinator.config.Membership.Zone, k.Entries})
	if err != nil {
		slog.Error("site: set not handed over", "err", err)
		return nil
	}
	return body
}

// MergeState takes a neighbour's set.
func (s messageHandler) MergeState(body []byte) {
	var m siteState
	err := membership.Decode(body, &m)
	if err == nil && m.Version != stalerouting.Version {
		err = fmt.Errorf("site: set: version: %d, %d is spoken", m.Version, stalerouting.Version)
	}
	if err != nil {
		slog.Warn("site: set not believed", "from", m.From, "err", err)
		return
	}
	s.coordinator.siteMailbox.Put(receivedState{m})
}

// send sends a message to a peer.
func (l *Coordinator) send(to string, kind membership.Kind, m any) {
	body, err := membership.Encode(m)
	if err != nil {
		slog.Error("message not sent", "to", to, "err", err)
		return
	}
	l.gossip.Mailbox().Put(membership.Send{To: to, Kind: kind, Body: body})
}

// ---- the vote ----

// runVote is the task that owns the evidence and the ballot. Another life of it begins without
// either, as a process that starts again does.
func (l *Coordinator) runVote(ctx context.Context) error {
	evidence := outlier.New(l.config.Vote.MaxEvidenceAge)
	config := l.config.Vote
	var promises *promiseStore
	var persisted chan writeResult
	if l.config.PromiseDir != "" {
		var err error
		if promises, config.EarlierPromisesFor, err = openPromiseStore(l.config.PromiseDir, config.MaxPromise()); err != nil {
			return err // without it nothing may be promised: a next life would not know
		}
		defer promises.close()
		config.PersistsPromises, persisted = true, promises.saved
	}
	voter, err := ejection.New(config, evidence)
	if err != nil {
		return err
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var lastReport lastZoneReport
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.voteMailbox.Ready():
			for msg, ok := l.voteMailbox.Poll(); ok; msg, ok = l.voteMailbox.Poll() {
				switch m := msg.(type) {
				case observation:
					evidence.Observe(m.Observation)
				case serverList:
					evidence.SetHosts(m.hosts)
				case voteMessage:
					if err := voter.Receive(l.now(), m.VoteMessage); err != nil {
						slog.Debug("vote: letter not believed", "err", err)
					}
				case membersChanged:
					slog.Info("peers", "there", len(m.list))
				}
			}
		case r := <-persisted:
			promises.writing = false
			if r.err != nil {
				return fmt.Errorf("vote: cover: %w", r.err)
			}
			voter.PromisesPersisted(r.until)
		case <-tick.C:
			actions := voter.Tick(l.now())
			if actions.PersistPromisesUntil > 0 && promises != nil {
				promises.persist(l.now(), actions.PersistPromisesUntil)
			}
			l.applyVoteActions(actions)
			if l.config.Consensus != nil {
				l.reportZones(&lastReport, evidence.Zones(l.now()))
			}
		}
	}
}

// reportInterval is how often the council is told what has not changed.
const reportInterval = 4 * time.Second

// lastZoneReport is what the council was last told.
type lastZoneReport struct {
	seq    uint64
	sentAt time.Duration
	health []zonefailover.Health
}

// reportZones tells all voters what was seen of each zone: at once where a view has changed.
func (l *Coordinator) reportZones(last *lastZoneReport, zones []outlier.Zone) {
	r := zonefailover.Report{Version: zonefailover.Version, Agent: l.config.Membership.Name, Site: l.config.Membership.Zone, Region: l.config.Membership.Region, Incarnation: l.config.Membership.Incarnation}
	var health []zonefailover.Health
	for _, z := range zones[:min(len(zones), zonefailover.MaxZones)] {
		s := zonefailover.ZoneReport{Zone: z.Name, Weight: z.Weight, Observed: z.Observed, Unhealthy: z.Unhealthy, WithFailures: z.WithFailures, Attempts: z.Attempts, Failures: z.Failures, Utilization: min(z.Utilization, 1), UtilizationSamples: z.UtilizationSamples}
		r.Rate += float64(z.Attempts) / l.config.Vote.MaxEvidenceAge.Seconds()
		r.Zones, health = append(r.Zones, s), append(health, s.Health())
	}
	now := l.now()
	if slices.Equal(health, last.health) && now-last.sentAt < reportInterval && last.seq > 0 {
		return
	}
	last.seq, last.sentAt, last.health = last.seq+1, now, health
	r.Seq = last.seq
	for _, v := range l.config.Consensus.Voters {
		if v.Name != l.config.Membership.Name {
			l.send(v.Name, KindZoneReport, r)
		} else if l.consensus != nil {
			l.consensus.Mailbox().Put(consensus.Report{Report: r})
		}
	}
}

// applyVoteActions does what the core asks.
func (l *Coordinator) applyVoteActions(actions *ejection.Actions) {
	for to, m := range actions.Messages {
		l.send(to, KindVote, m)
	}
	for _, n := range actions.Trace {
		level := slog.LevelDebug
		if n.Kind == "eject" || n.Kind == "return" {
			level = slog.LevelInfo
		}
		slog.Log(context.Background(), level, "vote: "+n.Kind, "host", n.Host.ID, "incarnation", n.Host.Incarnation, "why", n.Reason.String(),
			"attempts", n.Attempts, "bad", n.Failures, "roll", n.Electorate, "granters", len(n.Granters))
		l.trace.write(TraceLine{Kind: n.Kind, Host: n.Host.ID, Incarnation: n.Host.Incarnation, Reason: n.Reason.String(), Electorate: n.Electorate,
			Attempts: n.Attempts, Failures: n.Failures, Granters: n.Granters, RemainingMs: max(n.Until-n.At, 0).Milliseconds()}, n.At, l.now())
	}
	if actions.StandingsChanged {
		l.setOverrides(actions.Standings)
	}
}

// setOverrides makes a table the one that the loop takes next. One that it has not taken yet is
// replaced, but for the attempts that it asked for.
func (l *Coordinator) setOverrides(standings []ejection.Standing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overrides = l.overrides[:0:0]
	listed := map[outlier.Host]bool{}
	for _, s := range standings {
		listed[s.Host] = true
		if s.Trial || s.Probe {
			l.pendingAttempts[s.Host] = s.Probe
		}
		probe, pending := l.pendingAttempts[s.Host]
		l.overrides = append(l.overrides, agent.Override{ID: s.Host.ID, StartedMs: float64(s.Host.Incarnation), ShareFactor: s.Share,
			TTL: s.Until, Trial: pending && !probe, Probe: pending && probe})
	}
	for h, probe := range l.pendingAttempts {
		if !listed[h] {
			l.overrides = append(l.overrides, agent.Override{ID: h.ID, StartedMs: float64(h.Incarnation), ShareFactor: 1, Trial: !probe, Probe: probe})
		}
	}
	l.wake()
}

// setZoneOverrides makes the zones' standings those that the loop takes next, and asks for the list.
func (l *Coordinator) setZoneOverrides(zones []agent.ZoneOverride, ask bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zoneOverrides, l.fetchList = zones, l.fetchList || ask
	l.wake()
}

// addPeerReports hands over what neighbours were told; of one server the newest is enough.
func (l *Coordinator) addPeerReports(entries []stalerouting.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		if len(l.peerReports) < maxPeerReports || l.peerReports[e.ID].ID != "" {
			l.peerReports[e.ID] = agent.Target{ID: e.ID, State: e.State.String(), StartedMs: float64(e.Incarnation)}
		}
	}
	l.wake()
}

func (l *Coordinator) wake() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// setSnapshot keeps what the site's task has, and Kept is that, older by what has passed since.
func (l *Coordinator) setSnapshot(k Snapshot, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshot, l.snapshotAt = k, now
}

func (l *Coordinator) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := Snapshot{l.snapshot.Isolated, slices.Clone(l.snapshot.Entries)}
	for i := range k.Entries {
		k.Entries[i].Age += max(l.now()-l.snapshotAt, 0)
	}
	return k
}

// Ready receives when there are new orders.
func (l *Coordinator) Ready() <-chan struct{} { return l.ready }

// Directives are the newest; what is asked for, and what neighbours were told, is so once. What is
// left of each standing is counted as of now: the process may have been paused since it was
// handed over.
func (l *Coordinator) Directives() agent.Directives {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	o := agent.Directives{Overrides: slices.Clone(l.overrides), ZoneOverrides: slices.Clone(l.zoneOverrides), FetchList: l.fetchList}
	for i := range o.Overrides {
		o.Overrides[i].TTL = max(o.Overrides[i].TTL-now, 0)
	}
	for i := range o.ZoneOverrides {
		o.ZoneOverrides[i].TTL = max(o.ZoneOverrides[i].TTL-now, 0)
	}
	for _, id := range slices.Sorted(maps.Keys(l.peerReports)) {
		o.PeerReports = append(o.PeerReports, l.peerReports[id])
	}
	for i := range l.overrides { // each try is asked for once, each server for once that is only to be tried
		l.overrides[i].Trial, l.overrides[i].Probe = false, false
	}
	clear(l.pendingAttempts)
	clear(l.peerReports)
	l.fetchList = false
	return o
}

// ---- the trace ----

// TraceLine is a step of the vote, or of the site, in a trace: a line of JSON. Times are of the day, in Unix ms, to
// set the traces of agents beside each other; nothing is decided by them. A step of kind zones
// is a decision of the council that was news: Roll is its index, Attempts how many zones have no
// share for this site, Bad how many have less than all, RemainingMs how old it was.
type TraceLine struct {
	AtMs             int64    `json:"at_ms"`
	Agent            string   `json:"agent"`
	AgentIncarnation uint64   `json:"boot"`
	Kind             string   `json:"kind"`
	Host             string   `json:"host"`
	Incarnation      int64    `json:"incarnation"`
	Reason           string   `json:"why"`
	Electorate       uint64   `json:"roll"`
	Attempts         int      `json:"attempts"`
	Failures         int      `json:"bad"`
	Granters         []string `json:"granters,omitempty"`
	RemainingMs      int64    `json:"left_ms,omitempty"`
}

// tracer writes a trace; a nil one writes none. It is safe for concurrent use.
type tracer struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	agent string
	boot  uint64
}

func openTrace(path, name string, boot uint64) (*tracer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &tracer{file: f, out: bufio.NewWriter(f), agent: name, boot: boot}, nil
}

// write adds a step that happened at a time of the layer's clock.
func (t *tracer) write(line TraceLine, at, now time.Duration) {
	if t == nil {
		return
	}
	line.Agent, line.AgentIncarnation, line.AtMs = t.agent, t.boot, time.Now().Add(at-now).UnixMilli()
	t.mu.Lock()
	defer t.mu.Unlock()
	text, err := json.Marshal(line)
	if err == nil {
		_, err = t.out.Write(append(text, '\n'))
	}
	if err == nil {
		err = t.out.Flush()
	}
	if err != nil {
		slog.Warn("trace not written", "err", err)
	}
}

func (t *tracer) close() {
	if t != nil {
		t.file.Close()
	}
}
