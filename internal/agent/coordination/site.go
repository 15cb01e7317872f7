package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
)

// siteMailboxSize bounds the mailbox of the site's task; most messages merge.
const siteMailboxSize = 512

// maxPeerReports bounds the servers whose reports from peers the event loop has not taken yet.
const maxPeerReports = stalerouting.MaxEntries

// states maps the names of discovery to states.
var states = map[string]stalerouting.State{"up": stalerouting.Up, "draining": stalerouting.Draining, "removed": stalerouting.Removed}

// entries converts a list. A server in a state that is not known counts as draining, as it does for the
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

// runSite is the task that owns the server set and the uplink detection. A restart of the task continues
// with the last snapshot, as the agent's own list has not changed by its failure.
func (c *Coordinator) runSite(ctx context.Context) error {
	config := c.config.Site
	config.WasIsolated = config.WasIsolated || c.Snapshot().Isolated
	uplink, err := stalerouting.NewUplink(config, c.config.Membership.Incarnation)
	if err != nil {
		return err
	}
	servers := stalerouting.NewServerSet()
	if _, err := servers.Merge(c.now(), c.Snapshot().Entries); err != nil {
		return err
	}
	s := &siteTask{coordinator: c, uplink: uplink, servers: servers, decisions: stalerouting.NewDecisionCache(c.config.MaxDecisionAge), rng: rand.New(rand.NewPCG(c.config.Membership.Incarnation, 5))}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.siteMailbox.Ready():
			for msg, ok := c.siteMailbox.Poll(); ok; msg, ok = c.siteMailbox.Poll() {
				s.handleMessage(msg)
			}
			s.publishSnapshot()
		case <-tick.C:
			s.applyActions(uplink.Tick(c.now(), servers.Digest()))
		}
	}
}

type siteTask struct {
	coordinator *Coordinator
	uplink      *stalerouting.Uplink
	servers     *stalerouting.ServerSet
	zones       []string // zones of the listed servers
	phase       stalerouting.Phase
	share       float64 // of zones outside the site
	shareUntil  time.Duration
	decisions   *stalerouting.DecisionCache
	otherAgents []string // live agents except this one
	rng         *rand.Rand
	renewAt     time.Duration // when the zone overrides have to be renewed
}

func (s *siteTask) handleMessage(msg supervisor.Message) {
	l, now := s.coordinator, s.coordinator.now()
	switch m := msg.(type) {
	case serverList:
		s.handleServerList(now, m)
	case discoveryReport:
		s.servers.ApplyDiscovery(now, m.list, m.complete)
	case signalReceived:
		s.uplink.Observe(now, m.signal)
	case heartbeat:
		if err := s.uplink.Receive(now, m.Heartbeat); err != nil {
			slog.Debug("site: heartbeat rejected", "err", err)
		}
	case membersChanged:
		s.handleMembers(now, m)
	case localDecision:
		d := stalerouting.Decision{Version: stalerouting.Version, Term: m.Term, Index: m.Index, Table: m.Table}
		if !m.Confirmed {
			d.Age = stalerouting.UnknownAge // it may be as old as the log
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
		s.handlePeerState(now, m)
	}
}

func (s *siteTask) handleServerList(now time.Duration, list serverList) {
	s.zones = s.zones[:0]
	for _, host := range list.hosts {
		if !slices.Contains(s.zones, host.Zone) {
			s.zones = append(s.zones, host.Zone)
		}
	}
	slices.Sort(s.zones)
	// The age of the list in the configuration is not known.
	if _, err := s.servers.Merge(now, list.entries); err != nil {
		slog.Warn("site: list rejected", "err", err)
	}
}

func (s *siteTask) handleMembers(now time.Duration, members membersChanged) {
	self := &s.coordinator.config.Membership
	var remote []string
	s.otherAgents = s.otherAgents[:0]
	for _, peer := range members.list {
		if peer.Name != self.Name {
			s.otherAgents = append(s.otherAgents, peer.Name)
		}
		if peer.Zone != self.Zone {
			remote = append(remote, peer.Name)
		}
	}
	s.uplink.SetRemoteAgents(now, remote)
}

// handlePeerState merges the server set of a peer of the same site. While discovery can't be reached the
// event loop is told of what changed.
func (s *siteTask) handlePeerState(now time.Duration, state receivedState) {
	if state.Zone != s.coordinator.config.Membership.Zone {
		return
	}
	changed, err := s.servers.Merge(now, state.Entries)
	if err != nil {
		slog.Warn("site: server set rejected", "from", state.From, "err", err)
		return
	}
	if s.uplink.DiscoveryUnreachable() && len(changed) > 0 {
		s.coordinator.addPeerReports(changed)
	}
}

// publishSnapshot makes the task's state available to its restart, to peers and to the disk.
func (s *siteTask) publishSnapshot() {
	now := s.coordinator.now()
	s.coordinator.setSnapshot(Snapshot{Isolated: s.phase == stalerouting.Isolated, Entries: s.servers.Entries(now)}, now)
}

// applyActions carries out what the uplink asks.
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

// decisionFanout is the number of peers to which a new decision is sent at once.
const decisionFanout = 8

// handleDecision offers a decision to the cache and passes it on if it is new, or valid again.
func (s *siteTask) handleDecision(d stalerouting.Decision, local bool) {
	now := s.coordinator.now()
	_, wasValid := s.decisions.Current(now)
	changed, err := s.decisions.Offer(now, d, local)
	if err != nil {
		slog.Debug("site: decision rejected", "err", err)
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

// sendDecision sends a decision with its current age to a number of random peers.
func (s *siteTask) sendDecision(d stalerouting.Decision, to int) {
	for _, i := range s.rng.Perm(len(s.otherAgents))[:min(to, len(s.otherAgents))] {
		s.coordinator.send(s.otherAgents[i], KindDecision, d)
	}
}

// updateZoneOverrides sets the zone overrides by the group's decision while it is valid, and by the uplink for
// zones outside the site.
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
			if s.phase == stalerouting.Connected { // an isolated site has its own zone only
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
