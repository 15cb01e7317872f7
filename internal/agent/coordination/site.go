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

// siteMailboxSize bounds the mailbox of the site task. Most messages merge with a queued one.
const siteMailboxSize = 512

// maxPeerReports bounds the peer reports that the event loop has not taken yet. There is one for each server.
const maxPeerReports = stalerouting.MaxEntries

// states maps the state names that discovery uses to states.
var states = map[string]stalerouting.State{"up": stalerouting.Up, "draining": stalerouting.Draining,
	"removed": stalerouting.Removed}

// entries converts a server list to entries of the given age. A server in an unknown state counts as
// draining, as it does for the agent itself. Servers without an ID are omitted.
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

// runSite is the site task, which owns the server set and the uplink detection. After a failure the restarted
// task continues from the last snapshot, because the failure has not changed the agent's own list.
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
	s := &siteTask{coordinator: c, uplink: uplink, servers: servers,
		decisions: stalerouting.NewDecisionCache(c.config.MaxDecisionAge),
		rng:       rand.New(rand.NewPCG(c.config.Membership.Incarnation, 5))}
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

// siteTask is the state of the site task.
type siteTask struct {
	coordinator          *Coordinator
	uplink               *stalerouting.Uplink
	servers              *stalerouting.ServerSet
	zones                []string // zones of the listed servers
	phase                stalerouting.Phase
	remoteShare          float64       // fraction of their shares that other zones get while phase is not Connected
	remoteShareExpiresAt time.Duration // time until which remoteShare is valid
	decisions            *stalerouting.DecisionCache
	otherAgents          []string // live agents except this one
	rng                  *rand.Rand
	renewAt              time.Duration // time at which the zone overrides are renewed
}

// handleMessage handles one message of the mailbox.
func (s *siteTask) handleMessage(msg supervisor.Message) {
	c, now := s.coordinator, s.coordinator.now()
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
			d.Age = stalerouting.UnknownAge // the decision may be as old as the log
		}
		s.handleDecision(d, true)
	case peerDecision:
		s.handleDecision(m.Decision, false)
	case ping:
		if m.Pong {
			s.uplink.Observe(now, stalerouting.PingAnswered)
		} else {
			c.send(m.From, KindPing, ping{From: c.config.Membership.Name, Pong: true})
		}
	case receivedState:
		s.handlePeerState(now, m)
	}
}

// handleServerList updates the zones and merges the list into the server set.
func (s *siteTask) handleServerList(now time.Duration, list serverList) {
	s.zones = s.zones[:0]
	for _, host := range list.hosts {
		if !slices.Contains(s.zones, host.Zone) {
			s.zones = append(s.zones, host.Zone)
		}
	}
	slices.Sort(s.zones)
	// The entries have UnknownAge, because the list may come from the configuration, whose age is unknown.
	if _, err := s.servers.Merge(now, list.entries); err != nil {
		slog.Warn("site: server list rejected", "err", err)
	}
}

// handleMembers updates the agents to which decisions are sent and the agents that the uplink pings.
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

// handlePeerState merges the server set of a peer of the same site; sets from other sites are ignored. While
// discovery can't be reached, the changes are passed to the event loop as peer reports.
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

// publishSnapshot stores the task's state as the coordinator's Snapshot.
func (s *siteTask) publishSnapshot() {
	now := s.coordinator.now()
	s.coordinator.setSnapshot(
		Snapshot{Isolated: s.phase == stalerouting.Isolated, Entries: s.servers.Entries(now)}, now)
}

// applyActions carries out the actions that the uplink requests.
func (s *siteTask) applyActions(actions *stalerouting.Actions) {
	c := s.coordinator
	for _, to := range actions.Recipients {
		c.send(to, KindHeartbeat, actions.Heartbeat)
	}
	for _, to := range actions.Pings {
		c.send(to, KindPing, ping{From: c.config.Membership.Name})
	}
	if actions.SyncWith != "" {
		c.gossip.Mailbox().Put(membership.Sync{With: actions.SyncWith})
	}
	if actions.Phase != s.phase {
		s.phase = actions.Phase
		slog.Info("site: "+actions.Phase.String(), "zone", c.config.Membership.Zone, "agreed", actions.IsolatedMembers,
			"members", len(c.config.Site.Members))
		c.trace.write(TraceLine{Kind: actions.Phase.String(), Attempts: actions.IsolatedMembers,
			RemainingMs: max(actions.Until-c.now(), 0).Milliseconds()}, c.now(), c.now())
		s.publishSnapshot()
	}
	s.remoteShare, s.remoteShareExpiresAt = actions.Share, actions.Until
	heartbeatSent := len(actions.Recipients)+len(actions.Pings) > 0
	if d, valid := s.decisions.Current(c.now()); heartbeatSent && valid {
		s.sendDecision(d, 1)
	}
	if actions.Changed || actions.QueryDiscovery || c.now() >= s.renewAt {
		s.updateZoneOverrides(actions.QueryDiscovery)
	}
}

// decisionFanout is the number of peers to which a new decision is sent at once.
const decisionFanout = 8

// handleDecision offers a decision of the consensus group to the cache. If a valid decision is new, or has
// become valid again, it is sent to other agents and the zone overrides are updated. local is true for a
// decision of the voter in this process.
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
	slog.Info("site: zones decided", "term", d.Term, "index", d.Index, "age", d.Age.String(),
		"zones", fmt.Sprintf("%+v", d.Table.Zones))
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
	s.coordinator.trace.write(TraceLine{Kind: "zones", Electorate: d.Index, Attempts: ejected, Failures: reduced,
		RemainingMs: d.Age.Milliseconds()}, now, now)
	s.sendDecision(d, decisionFanout)
	s.updateZoneOverrides(false)
}

// sendDecision sends a decision with its current age to up to fanout random agents.
func (s *siteTask) sendDecision(d stalerouting.Decision, fanout int) {
	for _, i := range s.rng.Perm(len(s.otherAgents))[:min(fanout, len(s.otherAgents))] {
		s.coordinator.send(s.otherAgents[i], KindDecision, d)
	}
}

// updateZoneOverrides sets the zone overrides. They combine the consensus group's decision, while it is valid,
// with the uplink's share for zones outside the site, while the phase is not Connected.
func (s *siteTask) updateZoneOverrides(fetchList bool) {
	c := s.coordinator
	now, ownZone := c.now(), c.config.Membership.Zone
	decision, valid := s.decisions.Current(now)
	var out []agent.ZoneOverride
	s.renewAt = now + time.Hour
	for _, zone := range s.zones {
		override := agent.ZoneOverride{Zone: zone, ShareFactor: 1, ReachableShare: 1, TTL: now + time.Hour}
		if valid {
			override.ShareFactor, override.TTL = decision.Table.Share(ownZone, zone), now+s.decisions.ValidFor(now)
			if s.phase == stalerouting.Connected { // an isolated site can use only its own zone
				override.TrafficShare, _ = decision.Table.TrafficShare(ownZone, zone)
			}
		}
		if zone != ownZone && s.phase != stalerouting.Connected {
			override.ShareFactor, override.ReachableShare, override.TTL =
				override.ShareFactor*s.remoteShare, s.remoteShare, min(override.TTL, s.remoteShareExpiresAt)
		}
		if override.ShareFactor < 1 || override.TrafficShare > 0 || valid && len(decision.Table.TrafficShares) > 0 {
			out = append(out, override)
			s.renewAt = min(s.renewAt, now+(override.TTL-now)/2)
		}
	}
	c.setZoneOverrides(out, fetchList)
}
