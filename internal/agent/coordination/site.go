package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
)

// siteMailboxSize bounds what waits for the site's task; most of it merges.
const siteMailboxSize = 512

// maxPeerReports bounds what neighbours were told and the loop has not taken yet, by servers.
const maxPeerReports = stalerouting.MaxEntries

// The states of a list's entries, as discovery names them.
var states = map[string]stalerouting.State{"up": stalerouting.Up, "draining": stalerouting.Draining, "removed": stalerouting.Removed}

// entries is a list as a set has it; what is not known to be up counts as draining, as for the
// agent itself.
func entries(list []agent.Target, age time.Duration) (out []stalerouting.Entry) {
	for _, t := range list {
		state, ok := states[t.State]
		if !ok {
			state = stalerouting.Draining
		}
		if t.ID != "" {
			out = append(out, stalerouting.Entry{ID: t.ID, Incarnation: int64(t.StartedMs), State: state, Age: age})
		}
	}
	return out
}

// ---- what the site's task is told ----

type (
	discoveryReport struct {
		list     []stalerouting.Entry
		complete bool
	}
	signalReceived struct{ signal stalerouting.Signal }
	heartbeat      struct{ stalerouting.Heartbeat }
	receivedState  struct{ siteState }
	localDecision  struct{ consensus.Decision }    // by the council, of which this agent is
	peerDecision   struct{ stalerouting.Decision } // the same, from a peer
	ping           struct {
		From string
		Pong bool // it answers one
	}
)

// siteState is what two peers exchange over a stream.
type siteState struct {
	Version int
	From    string
	Zone    string
	Entries []stalerouting.Entry
}

// A change of the list must not be lost: where there is no room what is queued goes.
func (discoveryReport) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// Another ping, or another sign of life, comes soon.
func (signalReceived) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }
func (ping) Overflow() supervisor.OverflowPolicy           { return supervisor.DropNewest }

// The newest word of a member, and the newest set of a neighbour, are enough.
func (heartbeat) Overflow() supervisor.OverflowPolicy     { return supervisor.DropOldest }
func (receivedState) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// The newest decision is enough; each comes again.
func (localDecision) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }
func (peerDecision) Overflow() supervisor.OverflowPolicy  { return supervisor.DropNewest }

func (m signalReceived) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(signalReceived)
	return m, ok && o == m
}

func (m ping) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(ping)
	return m, ok && o == m
}

func (m heartbeat) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(heartbeat)
	if !ok || o.From != m.From {
		return m, false
	}
	if o.Incarnation == m.Incarnation && o.Seq > m.Seq {
		return o, true
	}
	return m, true
}

func (m receivedState) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(receivedState)
	return m, ok && o.From == m.From
}

// validate tells what is wrong with a ping of another process.
func (m *ping) validate() error {
	if m.From == "" || len(m.From) > 128 {
		return fmt.Errorf("ping: from: a name of %d bytes", len(m.From))
	}
	return nil
}

// ---- the task ----

// runSite is the task that owns what the site was told and its part in finding out that the
// uplink is lost. Another life of it begins with what the one before had, as the agent's own
// list has not changed by its death.
func (l *Coordinator) runSite(ctx context.Context) error {
	config := l.config.Site
	config.WasIsolated = config.WasIsolated || l.Snapshot().Isolated
	uplink, err := stalerouting.NewUplink(config, l.config.Membership.Incarnation)
	if err != nil {
		return err
	}
	servers := stalerouting.NewServerSet()
	if _, err := servers.Merge(l.now(), l.Snapshot().Entries); err != nil {
		return err
	}
	s := &siteTask{coordinator: l, uplink: uplink, servers: servers, decisions: stalerouting.NewDecisionCache(l.config.MaxDecisionAge), rng: rand.New(rand.NewPCG(l.config.Membership.Incarnation, 5))}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.siteMailbox.Ready():
			for msg, ok := l.siteMailbox.Poll(); ok; msg, ok = l.siteMailbox.Poll() {
				s.handleMessage(msg)
			}
			s.publishSnapshot()
		case <-tick.C:
			s.applyActions(uplink.Tick(l.now(), servers.Digest()))
		}
	}
}

type siteTask struct {
	coordinator *Coordinator
	uplink      *stalerouting.Uplink
	servers     *stalerouting.ServerSet
	zones       []string // of the list
	phase       stalerouting.Phase
	share       float64 // of what lies outside
	shareUntil  time.Duration
	decisions   *stalerouting.DecisionCache
	otherAgents []string // agents that are there, but this one
	rng         *rand.Rand
	renewAt     time.Duration // when the loop's orders are to be renewed
}

func (s *siteTask) handleMessage(msg supervisor.Message) {
	l, now := s.coordinator, s.coordinator.now()
	switch m := msg.(type) {
	case serverList:
		s.zones = s.zones[:0]
		for _, h := range m.hosts {
			if !slices.Contains(s.zones, h.Zone) {
				s.zones = append(s.zones, h.Zone)
			}
		}
		slices.Sort(s.zones)
		// The list that came with the start is told by nobody whose word can be dated.
		if _, err := s.servers.Merge(now, m.entries); err != nil {
			slog.Warn("site: list not kept", "err", err)
		}
	case discoveryReport:
		s.servers.ApplyDiscovery(now, m.list, m.complete)
	case signalReceived:
		s.uplink.Observe(now, m.signal)
	case heartbeat:
		if err := s.uplink.Receive(now, m.Heartbeat); err != nil {
			slog.Debug("site: word not believed", "err", err)
		}
	case membersChanged:
		var remote []string
		s.otherAgents = s.otherAgents[:0]
		for _, p := range m.list {
			if p.Name != l.config.Membership.Name {
				s.otherAgents = append(s.otherAgents, p.Name)
			}
			if p.Zone != l.config.Membership.Zone {
				remote = append(remote, p.Name)
			}
		}
		s.uplink.SetRemoteAgents(now, remote)
	case localDecision:
		d := stalerouting.Decision{Version: stalerouting.Version, Term: m.Term, Index: m.Index, Table: m.Table}
		if !m.Confirmed {
			d.Age = stalerouting.UnknownAge // it may have lain in the log for long
		}
		s.handleDecision(d, true)
	case peerDecision:
		s.handleDecision(m.Decision, false)
	case ping:
		if m.Pong {
			s.uplink.Observe(now, stalerouting.PingAnswered)
		} else {
			l.send(m.From, KindPing, ping{From: l.config.Membership.Name, Pong: true})
		}
	case receivedState:
		if m.Zone != l.config.Membership.Zone {
			return // another site's
		}
		changed, err := s.servers.Merge(now, m.Entries)
		if err != nil {
			slog.Warn("site: set not believed", "from", m.From, "err", err)
		} else if s.uplink.DiscoveryUnreachable() && len(changed) > 0 {
			l.addPeerReports(changed)
		}
	}
}

// publishSnapshot hands what the task has to its next life, to neighbours and to the disk.
func (s *siteTask) publishSnapshot() {
	now := s.coordinator.now()
	s.coordinator.setSnapshot(Snapshot{Isolated: s.phase == stalerouting.Isolated, Entries: s.servers.Entries(now)}, now)
}

// applyActions does what the core asks.
func (s *siteTask) applyActions(out *stalerouting.Actions) {
	l := s.coordinator
	for _, to := range out.Recipients {
		l.send(to, KindHeartbeat, out.Heartbeat)
	}
	for _, to := range out.Pings {
		l.send(to, KindPing, ping{From: l.config.Membership.Name})
	}
	if out.SyncWith != "" {
		l.gossip.Mailbox().Put(membership.Sync{With: out.SyncWith})
	}
	if out.Phase != s.phase {
		s.phase = out.Phase
		slog.Info("site: "+out.Phase.String(), "zone", l.config.Membership.Zone, "agreed", out.IsolatedMembers, "members", len(l.config.Site.Members))
		l.trace.write(TraceLine{Kind: out.Phase.String(), Attempts: out.IsolatedMembers, RemainingMs: max(out.Until-l.now(), 0).Milliseconds()}, l.now(), l.now())
		s.publishSnapshot()
	}
	s.share, s.shareUntil = out.Share, out.Until
	heartbeatSent := len(out.Recipients)+len(out.Pings) > 0
	if d, valid := s.decisions.Current(l.now()); heartbeatSent && valid {
		s.sendDecision(d, 1)
	}
	if out.Changed || out.QueryDiscovery || l.now() >= s.renewAt {
		s.updateZoneOverrides(out.QueryDiscovery)
	}
}

// decisionFanout is how many peers are told at once of a decision that is new.
const decisionFanout = 8

// handleDecision takes a decision of the council, and tells others of one that is new or holds again.
func (s *siteTask) handleDecision(d stalerouting.Decision, local bool) {
	now := s.coordinator.now()
	_, wasValid := s.decisions.Current(now)
	changed, err := s.decisions.Offer(now, d, local)
	if err != nil {
		slog.Debug("site: decision not believed", "err", err)
	}
	d, valid := s.decisions.Current(now)
	if !valid || wasValid && !changed {
		return
	}
	slog.Info("site: zones decided", "term", d.Term, "index", d.Index, "age", d.Age.String(), "zones", fmt.Sprintf("%+v", d.Table.Zones))
	ejected, reduced := 0, 0
	for _, z := range d.Table.Zones {
		switch share := d.Table.Share(s.coordinator.config.Membership.Zone, z.Name); {
		case share == 0:
			ejected++
			fallthrough
		case share < 1:
			reduced++
		}
	}
	s.coordinator.trace.write(TraceLine{Kind: "zones", Electorate: d.Index, Attempts: ejected, Failures: reduced, RemainingMs: d.Age.Milliseconds()}, now, now)
	s.sendDecision(d, decisionFanout)
	s.updateZoneOverrides(false)
}

// sendDecision tells some peers, drawn anew, of a decision as it is now.
func (s *siteTask) sendDecision(d stalerouting.Decision, to int) {
	for _, i := range s.rng.Perm(len(s.otherAgents))[:min(to, len(s.otherAgents))] {
		s.coordinator.send(s.otherAgents[i], KindDecision, d)
	}
}

// updateZoneOverrides tells the loop how zones stand: by the council's word while it holds, and by the
// uplink for those outside.
func (s *siteTask) updateZoneOverrides(fetchList bool) {
	l := s.coordinator
	now, ownZone := l.now(), l.config.Membership.Zone
	decision, valid := s.decisions.Current(now)
	var out []agent.ZoneOverride
	s.renewAt = now + time.Hour
	for _, zone := range s.zones {
		override := agent.ZoneOverride{Zone: zone, ShareFactor: 1, ReachableShare: 1, TTL: now + time.Hour}
		if valid {
			override.ShareFactor, override.TTL = decision.Table.Share(ownZone, zone), now+s.decisions.ValidFor(now)
			if s.phase == stalerouting.Connected { // a site by itself has its own zone only
				override.TrafficShare, _ = decision.Table.TrafficShare(ownZone, zone)
			}
		}
		if zone != ownZone && s.phase != stalerouting.Connected {
			override.ShareFactor, override.ReachableShare, override.TTL = override.ShareFactor*s.share, s.share, min(override.TTL, s.shareUntil)
		}
		if override.ShareFactor < 1 || override.TrafficShare > 0 || valid && len(decision.Table.TrafficShares) > 0 {
			out = append(out, override)
			s.renewAt = min(s.renewAt, now+(override.TTL-now)/2)
		}
	}
	l.setZoneOverrides(out, fetchList)
}
