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
	// voteSize bounds what waits for the vote: a second of attempts of a busy agent, and a
	// letter of each member.
	voteSize = 1024
	// tickEvery is how often the vote decides anew.
	tickEvery = 50 * time.Millisecond
)

// Config is what the layer is told.
type Config struct {
	Peers membership.Config
	Vote  ejection.Config // Self and Boot are those of Peers
	// Site is how the site finds out that its uplink is lost. Its members are those of the roll.
	Site stalerouting.Config
	// Council is nil where there is none. Bound is how old its word may be.
	Council *consensus.Config
	Bound   time.Duration
	// Recall is what an earlier life's Kept had, ages counted on.
	Recall Kept
	// VotesDir is a folder of this voter alone, by which a next life knows until when its promises
	// stand; empty: none, and each life is silent for as long as one may stand.
	VotesDir string
	Trace    string // file that the steps of the vote and of the site are added to; empty: none
	// Aims are the classes' aims, by which an answer is slow.
	Aims []time.Duration
}

// Layer runs the tasks of one agent. It implements agent.Layer.
type Layer struct {
	cfg     Config
	sup     *supervisor.Supervisor
	peers   *membership.Gossip
	box     *supervisor.Mailbox // of the vote
	siteBox *supervisor.Mailbox
	council *consensus.Council // nil: this agent is no voter
	trace   *tracer
	start   time.Time

	ready  chan struct{}
	mu     sync.Mutex            // of what the loop takes next, and of what was last Kept:
	table  []agent.Override      // Left is the layer's time at which it ends
	tries  map[outlier.Host]bool // asked for and not yet handed over: whether by a probe
	zones  []agent.ZoneOverride  // Left as in table
	ask    bool
	news   map[string]agent.Target
	last   Kept
	lastAt time.Duration
}

// Kept is what the site's task has, for its next life, for neighbours and for the disk.
type Kept struct {
	Dark    bool
	Entries []stalerouting.Entry // ages as of when it was kept
}

// Start starts the tasks; they end with ctx, and Close waits for them. Only what makes no
// sense is an error: a task that can't do its work is tried again, and the agent serves.
func Start(ctx context.Context, cfg Config) (*Layer, error) {
	cfg.Vote.Self, cfg.Vote.Incarnation = cfg.Peers.Name, cfg.Peers.Incarnation
	if err := cfg.Vote.Validate(); err != nil {
		return nil, fmt.Errorf("layer: %w", err)
	}
	cfg.Site.Self, cfg.Site.Members, cfg.Site.Seed = cfg.Peers.Name, cfg.Vote.Electorate.Members, cfg.Peers.Incarnation
	if err := cfg.Site.Validate(); err != nil {
		return nil, fmt.Errorf("layer: %w", err)
	}
	l := &Layer{cfg: cfg, box: supervisor.NewMailbox(voteSize), siteBox: supervisor.NewMailbox(siteSize), start: time.Now(), ready: make(chan struct{}, 1),
		tries: map[outlier.Host]bool{}, news: map[string]agent.Target{}, last: cfg.Recall}
	if cfg.Trace != "" {
		var err error
		if l.trace, err = openTrace(cfg.Trace, cfg.Peers.Name, cfg.Peers.Incarnation); err != nil {
			return nil, fmt.Errorf("layer: trace: %w", err)
		}
	}
	l.peers = membership.New(cfg.Peers, sink{l})
	if c := cfg.Council; c != nil {
		c.Self = cfg.Peers.Name
		if err := c.Validate(); err != nil {
			return nil, fmt.Errorf("layer: council: %w", err)
		}
		if c.Votes() {
			l.council = consensus.New(*c, func(d consensus.Decision) { l.siteBox.Put(agreed{d}) })
		}
	}
	l.sup = supervisor.NewSupervisor(ctx, nil)
	l.sup.Go("peers", l.peers.Run)
	l.sup.Go("vote", l.vote)
	l.sup.Go("site", l.site)
	if l.council != nil {
		l.sup.Go("council", l.council.Run)
	}
	return l, nil
}

// Close ends the tasks, each in order.
func (l *Layer) Close() {
	l.sup.Close()
	l.trace.close()
}

// now is the layer's clock: monotonic, since its start.
func (l *Layer) now() time.Duration { return time.Since(l.start) }

// ---- what the vote is told ----

type (
	sight  struct{ outlier.Observation }
	listed struct {
		hosts   []outlier.ListedHost
		entries []stalerouting.Entry
	}
	letter  struct{ *ejection.VoteMessage }
	members struct{ list []membership.Peer }
)

// A sight that finds no room goes: many more like it are queued.
func (sight) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// The list, who is there, and a peer's letter take the place of an older one, and of what
// else is queued.
func (listed) Overflow() supervisor.OverflowPolicy  { return supervisor.DropOldest }
func (letter) Overflow() supervisor.OverflowPolicy  { return supervisor.DropOldest }
func (members) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (m listed) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	_, ok := q.(listed)
	return m, ok
}

func (m members) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	_, ok := q.(members)
	return m, ok
}

func (m letter) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(letter)
	if !ok || o.From != m.From {
		return m, false
	}
	if o.Incarnation == m.Incarnation && o.Sent > m.Sent {
		return o, true
	}
	return m, true
}

// ListChanged takes the whole list, from the agent's loop.
func (l *Layer) ListChanged(list []agent.Target) {
	hosts := make([]outlier.ListedHost, 0, len(list))
	for _, t := range list {
		if t.State == "up" {
			hosts = append(hosts, outlier.ListedHost{Host: outlier.Host{ID: t.ID, Incarnation: int64(t.StartedMs)}, Zone: t.Zone, Weight: max(t.Weight, 0)})
		}
	}
	m := listed{hosts, entries(list, stalerouting.UnknownAge)}
	l.box.Put(m)
	l.siteBox.Put(m)
}

// DiscoveryReported takes what discovery told, from the agent's loop.
func (l *Layer) DiscoveryReported(list []agent.Target, whole bool) {
	l.siteBox.Put(told{entries(list, 0), whole})
}

// DiscoveryResponded takes that discovery answered a call.
func (l *Layer) DiscoveryResponded() { l.siteBox.Put(heard{stalerouting.DiscoveryAnswered}) }

// AttemptEnded takes the end of an attempt, from the agent's loop.
func (l *Layer) AttemptEnded(s agent.Observation) {
	kind, ok := kindOf(s.Status)
	if s.Probe && kind == outlier.Failure {
		kind = outlier.NoAnswer // no connect, or a reset: nothing of a request failed
	}
	if !ok || s.Class < 0 || s.Class >= len(l.cfg.Aims) {
		return
	}
	if kind == outlier.Success && !s.Probe && s.Zone != "" && s.Zone != l.cfg.Peers.Zone {
		l.siteBox.Put(heard{stalerouting.RequestServed})
	}
	now := l.now()
	l.box.Put(sight{outlier.Observation{Host: outlier.Host{ID: s.ID, Incarnation: int64(s.StartedMs)}, Class: s.Class, Outcome: kind,
		LatencyRatio: s.Latency.Seconds() / l.cfg.Aims[s.Class].Seconds(), Sent: now - s.Latency, Ended: now, Probe: s.Probe, Utilization: s.Utilization}})
}

// kindOf is what an attempt's end says of its host; false if nothing.
func kindOf(s policy.Status) (outlier.Outcome, bool) {
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

// sink takes what peers bring.
type sink struct{ l *Layer }

// The kinds of messages between layers.
const (
	KindLetter membership.Kind = 'l'
	KindWord   membership.Kind = 'w'
	KindPing   membership.Kind = 'p'
	KindReport membership.Kind = 'r'
	KindParts  membership.Kind = 'd'
)

func (s sink) HandleMessage(kind membership.Kind, body []byte) {
	var err error
	switch kind {
	case KindLetter:
		var m ejection.VoteMessage
		if err = decode(body, &m, m.Validate); err == nil {
			s.l.box.Put(letter{&m})
		}
	case KindWord:
		var m stalerouting.Heartbeat
		if err = decode(body, &m, m.Validate); err == nil {
			s.l.siteBox.Put(word{m})
		}
	case KindPing:
		var m ping
		if err = decode(body, &m, m.check); err == nil {
			s.l.siteBox.Put(m)
		}
	case KindReport:
		var m zonefailover.Report
		if err = decode(body, &m, m.Validate); err == nil && s.l.council != nil {
			s.l.council.Mailbox().Put(consensus.Report{Report: m})
		}
	case KindParts:
		var m stalerouting.Decision
		if err = decode(body, &m, m.Validate); err == nil {
			s.l.siteBox.Put(parts{m})
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

func (s sink) MembersChanged(list []membership.Peer) {
	s.l.box.Put(members{list})
	s.l.siteBox.Put(members{list})
}

// LocalState is the set as of now.
func (s sink) LocalState() []byte {
	k := s.l.Kept()
	body, err := membership.Encode(state{stalerouting.Version, s.l.cfg.Peers.Name, s.l.cfg.Peers.Zone, k.Entries})
	if err != nil {
		slog.Error("site: set not handed over", "err", err)
		return nil
	}
	return body
}

// MergeState takes a neighbour's set.
func (s sink) MergeState(body []byte) {
	var m state
	err := membership.Decode(body, &m)
	if err == nil && m.Version != stalerouting.Version {
		err = fmt.Errorf("site: set: version: %d, %d is spoken", m.Version, stalerouting.Version)
	}
	if err != nil {
		slog.Warn("site: set not believed", "from", m.From, "err", err)
		return
	}
	s.l.siteBox.Put(shared{m})
}

// send sends a message to a peer.
func (l *Layer) send(to string, kind membership.Kind, m any) {
	body, err := membership.Encode(m)
	if err != nil {
		slog.Error("message not sent", "to", to, "err", err)
		return
	}
	l.peers.Mailbox().Put(membership.Send{To: to, Kind: kind, Body: body})
}

// ---- the vote ----

// vote is the task that owns the evidence and the ballot. Another life of it begins without
// either, as a process that starts again does.
func (l *Layer) vote(ctx context.Context) error {
	log := outlier.New(l.cfg.Vote.MaxEvidenceAge)
	cfg := l.cfg.Vote
	var disk *cover
	var saved chan result
	if l.cfg.VotesDir != "" {
		var err error
		if disk, cfg.EarlierPromisesFor, err = openCover(l.cfg.VotesDir, cfg.MaxPromise()); err != nil {
			return err // without it nothing may be promised: a next life would not know
		}
		defer disk.close()
		cfg.PersistsPromises, saved = true, disk.saved
	}
	core, err := ejection.New(cfg, log)
	if err != nil {
		return err
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var seen reporter
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.box.Ready():
			for msg, ok := l.box.Poll(); ok; msg, ok = l.box.Poll() {
				switch m := msg.(type) {
				case sight:
					log.Observe(m.Observation)
				case listed:
					log.SetHosts(m.hosts)
				case letter:
					if err := core.Receive(l.now(), m.VoteMessage); err != nil {
						slog.Debug("vote: letter not believed", "err", err)
					}
				case members:
					slog.Info("peers", "there", len(m.list))
				}
			}
		case r := <-saved:
			disk.busy = false
			if r.err != nil {
				return fmt.Errorf("vote: cover: %w", r.err)
			}
			core.PromisesPersisted(r.until)
		case <-tick.C:
			out := core.Tick(l.now())
			if out.PersistPromisesUntil > 0 && disk != nil {
				disk.extend(l.now(), out.PersistPromisesUntil)
			}
			l.carryOut(out)
			if l.cfg.Council != nil {
				l.report(&seen, log.Zones(l.now()))
			}
		}
	}
}

// reportEvery is how often the council is told what has not changed.
const reportEvery = 4 * time.Second

// reporter is what the council was last told.
type reporter struct {
	seq   uint64
	at    time.Duration
	views []zonefailover.Health
}

// report tells all voters what was seen of each zone: at once where a view has changed.
func (l *Layer) report(was *reporter, seen []outlier.Zone) {
	r := zonefailover.Report{Version: zonefailover.Version, Agent: l.cfg.Peers.Name, Site: l.cfg.Peers.Zone, Region: l.cfg.Peers.Region, Incarnation: l.cfg.Peers.Incarnation}
	var views []zonefailover.Health
	for _, z := range seen[:min(len(seen), zonefailover.MaxZones)] {
		s := zonefailover.ZoneReport{Zone: z.Name, Weight: z.Weight, Observed: z.Observed, Unhealthy: z.Unhealthy, WithFailures: z.WithFailures, Attempts: z.Attempts, Failures: z.Failures, Utilization: min(z.Utilization, 1), UtilizationSamples: z.UtilizationSamples}
		r.Rate += float64(z.Attempts) / l.cfg.Vote.MaxEvidenceAge.Seconds()
		r.Zones, views = append(r.Zones, s), append(views, s.Health())
	}
	now := l.now()
	if slices.Equal(views, was.views) && now-was.at < reportEvery && was.seq > 0 {
		return
	}
	was.seq, was.at, was.views = was.seq+1, now, views
	r.Seq = was.seq
	for _, v := range l.cfg.Council.Voters {
		if v.Name != l.cfg.Peers.Name {
			l.send(v.Name, KindReport, r)
		} else if l.council != nil {
			l.council.Mailbox().Put(consensus.Report{Report: r})
		}
	}
}

// carryOut does what the core asks.
func (l *Layer) carryOut(out *ejection.Actions) {
	for to, m := range out.Messages {
		l.send(to, KindLetter, m)
	}
	for _, n := range out.Trace {
		level := slog.LevelDebug
		if n.Kind == "eject" || n.Kind == "return" {
			level = slog.LevelInfo
		}
		slog.Log(context.Background(), level, "vote: "+n.Kind, "host", n.Host.ID, "incarnation", n.Host.Incarnation, "why", n.Reason.String(),
			"attempts", n.Attempts, "bad", n.Failures, "roll", n.Electorate, "granters", len(n.Granters))
		l.trace.write(Line{Kind: n.Kind, Host: n.Host.ID, Incarnation: n.Host.Incarnation, Why: n.Reason.String(), Roll: n.Electorate,
			Attempts: n.Attempts, Bad: n.Failures, Granters: n.Granters, LeftMs: max(n.Until-n.At, 0).Milliseconds()}, n.At, l.now())
	}
	if out.StandingsChanged {
		l.hand(out.Standings)
	}
}

// hand makes a table the one that the loop takes next. One that it has not taken yet is
// replaced, but for the attempts that it asked for.
func (l *Layer) hand(table []ejection.Standing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table = l.table[:0:0]
	named := map[outlier.Host]bool{}
	for _, s := range table {
		named[s.Host] = true
		if s.Trial || s.Probe {
			l.tries[s.Host] = s.Probe
		}
		probe, asked := l.tries[s.Host]
		l.table = append(l.table, agent.Override{ID: s.Host.ID, StartedMs: float64(s.Host.Incarnation), ShareFactor: s.Share,
			TTL: s.Until, Trial: asked && !probe, Probe: asked && probe})
	}
	for h, probe := range l.tries {
		if !named[h] {
			l.table = append(l.table, agent.Override{ID: h.ID, StartedMs: float64(h.Incarnation), ShareFactor: 1, Trial: !probe, Probe: probe})
		}
	}
	l.wake()
}

// handZones makes the zones' standings those that the loop takes next, and asks for the list.
func (l *Layer) handZones(zones []agent.ZoneOverride, ask bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones, l.ask = zones, l.ask || ask
	l.wake()
}

// tellNews hands over what neighbours were told; of one server the newest is enough.
func (l *Layer) tellNews(news []stalerouting.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range news {
		if len(l.news) < newsMost || l.news[e.ID].ID != "" {
			l.news[e.ID] = agent.Target{ID: e.ID, State: e.State.String(), StartedMs: float64(e.Incarnation)}
		}
	}
	l.wake()
}

func (l *Layer) wake() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// keep keeps what the site's task has, and Kept is that, older by what has passed since.
func (l *Layer) keep(k Kept, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last, l.lastAt = k, now
}

func (l *Layer) Kept() Kept {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := Kept{l.last.Dark, slices.Clone(l.last.Entries)}
	for i := range k.Entries {
		k.Entries[i].Age += max(l.now()-l.lastAt, 0)
	}
	return k
}

// Ready receives when there are new orders.
func (l *Layer) Ready() <-chan struct{} { return l.ready }

// Directives are the newest; what is asked for, and what neighbours were told, is so once. What is
// left of each standing is counted as of now: the process may have been paused since it was
// handed over.
func (l *Layer) Directives() agent.Directives {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	o := agent.Directives{Overrides: slices.Clone(l.table), ZoneOverrides: slices.Clone(l.zones), FetchList: l.ask}
	for i := range o.Overrides {
		o.Overrides[i].TTL = max(o.Overrides[i].TTL-now, 0)
	}
	for i := range o.ZoneOverrides {
		o.ZoneOverrides[i].TTL = max(o.ZoneOverrides[i].TTL-now, 0)
	}
	for _, id := range slices.Sorted(maps.Keys(l.news)) {
		o.PeerReports = append(o.PeerReports, l.news[id])
	}
	for i := range l.table { // each try is asked for once, each server for once that is only to be tried
		l.table[i].Trial, l.table[i].Probe = false, false
	}
	clear(l.tries)
	clear(l.news)
	l.ask = false
	return o
}

// ---- the trace ----

// Line is a step of the vote, or of the site, in a trace: a line of JSON. Times are of the day, in Unix ms, to
// set the traces of agents beside each other; nothing is decided by them. A step of kind zones
// is a decision of the council that was news: Roll is its index, Attempts how many zones have no
// share for this site, Bad how many have less than all, LeftMs how old it was.
type Line struct {
	AtMs        int64    `json:"at_ms"`
	Agent       string   `json:"agent"`
	Boot        uint64   `json:"boot"`
	Kind        string   `json:"kind"`
	Host        string   `json:"host"`
	Incarnation int64    `json:"incarnation"`
	Why         string   `json:"why"`
	Roll        uint64   `json:"roll"`
	Attempts    int      `json:"attempts"`
	Bad         int      `json:"bad"`
	Granters    []string `json:"granters,omitempty"`
	LeftMs      int64    `json:"left_ms,omitempty"`
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
func (t *tracer) write(line Line, at, now time.Duration) {
	if t == nil {
		return
	}
	line.Agent, line.Boot, line.AtMs = t.agent, t.boot, time.Now().Add(at-now).UnixMilli()
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
