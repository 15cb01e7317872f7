package coordination

import (
	"math/rand/v2"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
	"chalkdoor.example/chalkdoor/policy"
)

// newIdleSiteTask returns the site task of agent a without its loop. The members of the site are a and b, in zone x.
func newIdleSiteTask(t *testing.T) *siteTask {
	c := newIdleCoordinator()
	c.config.Membership = membership.Config{Name: "a", Zone: "x", Incarnation: 7}
	c.gossip = membership.New(c.config.Membership, messageHandler{c})
	cfg := stalerouting.Defaults()
	cfg.Self, cfg.Members = "a", []string{"a", "b"}
	uplink, err := stalerouting.NewUplink(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &siteTask{coordinator: c, uplink: uplink, servers: stalerouting.NewServerSet(),
		decisions: stalerouting.NewDecisionCache(10 * time.Second), rng: rand.New(rand.NewPCG(1, 2))}
	s.handleMessage(serverList{hosts: []outlier.ListedHost{{Zone: "x"}, {Zone: "z"}, {Zone: "y"}, {Zone: "z"}},
		entries: entries([]agent.Target{{ID: "s", State: "up"}, {ID: "d", State: "paused"}, {State: "up"}},
			stalerouting.UnknownAge)})
	return s
}

// An isolated site gives zones outside the site no share. The TTL of these overrides is computed when they are taken.
// A fetch of the list is requested once.
func TestZoneOverridesOfIsolatedSite(t *testing.T) {
	s := newIdleSiteTask(t)
	c := s.coordinator
	s.applyActions(&stalerouting.Actions{Phase: stalerouting.Isolated, Until: c.now() + time.Minute, Changed: true,
		QueryDiscovery: true})
	<-c.Ready()
	o := c.Directives()
	if len(o.ZoneOverrides) != 2 || o.ZoneOverrides[0].Zone != "y" || o.ZoneOverrides[1].Zone != "z" ||
		o.ZoneOverrides[0].ShareFactor != 0 || !o.FetchList ||
		o.ZoneOverrides[0].TTL <= 0 || o.ZoneOverrides[0].TTL > time.Minute {
		t.Errorf("%+v", o)
	}
	if k := c.Snapshot(); !k.Isolated || len(k.Entries) != 2 || k.Entries[0].State != stalerouting.Draining {
		t.Errorf("snapshot %+v", k)
	}
	c.startedAt = c.startedAt.Add(-2 * time.Minute) // a pause
	if o := c.Directives(); o.ZoneOverrides[0].TTL != 0 || o.FetchList {
		t.Errorf("after a pause: %+v", o)
	}
	s.applyActions(&stalerouting.Actions{Phase: stalerouting.Recovering, Share: 0.3, Until: c.now() + time.Minute,
		Changed: true})
	if o := c.Directives(); len(o.ZoneOverrides) != 2 || o.ZoneOverrides[1].ShareFactor != 0.3 {
		t.Errorf("%+v", o)
	}
	s.applyActions(&stalerouting.Actions{Phase: stalerouting.Connected, Share: 1, Changed: true})
	if o := c.Directives(); len(o.ZoneOverrides) != 0 || c.Snapshot().Isolated {
		t.Errorf("%+v", o)
	}
}

// What discovery reported to a peer is passed to the event loop until discovery answers, and not afterwards. Sets of
// other zones are ignored, and so is a set with an invalid entry.
func TestPeerReports(t *testing.T) {
	s := newIdleSiteTask(t)
	c := s.coordinator
	set := func(zone string, e ...stalerouting.Entry) receivedState {
		return receivedState{siteState{stalerouting.Version, "b", zone, e}}
	}
	s.handleMessage(set("y", stalerouting.Entry{ID: "s", State: stalerouting.Removed}))
	s.handleMessage(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Removed}, stalerouting.Entry{}))
	if o := c.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("got %+v, want no peer reports", o.PeerReports)
	}
	s.handleMessage(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Draining},
		stalerouting.Entry{ID: "n", Incarnation: 5}))
	if o := c.Directives(); len(o.PeerReports) != 2 || o.PeerReports[0].ID != "n" || o.PeerReports[0].StartedMs != 5 ||
		o.PeerReports[1].State != "draining" {
		t.Errorf("peer reports %+v", o.PeerReports)
	}
	if o := c.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("returned again: %+v", o.PeerReports)
	}
	s.handleMessage(signalReceived{stalerouting.DiscoveryAnswered})
	s.handleMessage(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Removed}))
	if o := c.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("got %+v although discovery has answered", o.PeerReports)
	}
}

// A ping is answered. Invalid messages and states are dropped. An attempt at a server of another zone that succeeds
// is a signal from outside.
func TestPingsAndInvalidMessages(t *testing.T) {
	s := newIdleSiteTask(t)
	c := s.coordinator
	s.handleMessage(ping{From: "c"})
	if m, ok := c.gossip.Mailbox().Poll(); !ok || m.(membership.Send).To != "c" ||
		m.(membership.Send).Kind != KindPing {
		t.Errorf("%+v", m)
	}
	body, err := membership.Encode(ping{From: "c", Pong: true})
	if err != nil {
		t.Fatal(err)
	}
	handler := messageHandler{c}
	handler.HandleMessage(KindPing, body)
	if m, _ := c.siteMailbox.Poll(); m != (ping{From: "c", Pong: true}) {
		t.Errorf("%+v", m)
	}
	handler.HandleMessage('?', body)
	handler.HandleMessage(KindHeartbeat, body)
	handler.HandleMessage(KindVote, []byte{1})
	handler.MergeState([]byte{1})
	wrong, err := membership.Encode(siteState{Version: 99, From: "b", Zone: "x"})
	if err != nil {
		t.Fatal(err)
	}
	handler.MergeState(wrong)
	if m, ok := c.siteMailbox.Poll(); ok {
		t.Errorf("accepted: %+v", m)
	}
	c.setSnapshot(Snapshot{Entries: []stalerouting.Entry{{ID: "s"}}}, c.now())
	c.startedAt = c.startedAt.Add(-time.Minute)
	handler.MergeState(handler.LocalState())
	if m, _ := c.siteMailbox.Poll(); m.(receivedState).Entries[0].Age < time.Minute {
		t.Errorf("%+v, want an age that includes the minute since the snapshot", m)
	}
	// A successful attempt at a server of another zone is a signal from outside the site.
	c.config.LatencyTargets = []time.Duration{time.Second}
	for _, zone := range []string{"x", "", "y"} {
		c.AttemptEnded(agent.Observation{ID: "s", Zone: zone, Status: policy.OK})
	}
	if m, _ := c.siteMailbox.Poll(); m != (signalReceived{stalerouting.RequestServed}) {
		t.Errorf("%+v", m)
	}
	if m, ok := c.siteMailbox.Poll(); ok {
		t.Errorf("more than one signal: %+v", m)
	}
}

// While a decision of the consensus group is valid, it determines the share factors and traffic shares of the zones.
// An older decision changes nothing, an expired one has no effect, and an isolated site follows its uplink.
func TestZoneOverridesOfDecision(t *testing.T) {
	s := newIdleSiteTask(t)
	c := s.coordinator
	table := func(number uint64, ejected string, localShare float64) zonefailover.Table {
		return zonefailover.Table{Version: zonefailover.Version, Number: number,
			Zones: []zonefailover.Zone{{Name: ejected, Local: zonefailover.Track{Share: 1}}},
			TrafficShares: []zonefailover.TrafficShare{{Site: "x", Zone: "x", Share: localShare},
				{Site: "x", Zone: "y", Share: 1 - localShare}, {Site: "x", Zone: "z"}}}
	}
	s.handleMessage(membersChanged{[]membership.Peer{{Name: "a", Zone: "x"}, {Name: "b", Zone: "x"},
		{Name: "c", Zone: "y"}}})
	// A decision that a voter reads from its log takes effect once a majority has confirmed it.
	s.handleMessage(localDecision{consensus.Decision{Term: 2, Index: 7, Table: table(1, "z", 0.75)}})
	if o := c.Directives(); len(o.ZoneOverrides) != 0 {
		t.Errorf("overrides by an unconfirmed decision: %+v", o.ZoneOverrides)
	}
	s.handleMessage(localDecision{consensus.Decision{Term: 2, Index: 7, Table: table(1, "z", 0.75), Confirmed: true}})
	recipients := map[string]bool{}
	for m, ok := c.gossip.Mailbox().Poll(); ok; m, ok = c.gossip.Mailbox().Poll() {
		if x := m.(membership.Send); x.Kind == KindDecision {
			recipients[x.To] = true
		}
	}
	if len(recipients) != 2 || !recipients["b"] || !recipients["c"] {
		t.Errorf("the new decision was sent to %v", recipients)
	}
	o := c.Directives()
	if len(o.ZoneOverrides) != 3 || o.ZoneOverrides[0].TrafficShare != 0.75 || o.ZoneOverrides[0].ShareFactor != 1 ||
		o.ZoneOverrides[2].ShareFactor != 0 || o.ZoneOverrides[2].ReachableShare != 1 ||
		o.ZoneOverrides[1].TTL <= 9*time.Second || o.ZoneOverrides[1].TTL > 10*time.Second {
		t.Errorf("%+v", o.ZoneOverrides)
	}
	s.handleMessage(peerDecision{stalerouting.Decision{Version: stalerouting.Version, Term: 1, Index: 9,
		Table: table(2, "y", 0.1)}})
	if o := c.Directives(); o.ZoneOverrides[0].TrafficShare != 0.75 || o.ZoneOverrides[2].ShareFactor != 0 {
		t.Errorf("after an older decision: %+v", o.ZoneOverrides)
	}
	s.phase, s.remoteShare, s.remoteShareExpiresAt = stalerouting.Isolated, 0, c.now()+time.Second
	s.updateZoneOverrides(false)
	if o := c.Directives(); o.ZoneOverrides[0].TrafficShare != 0 || o.ZoneOverrides[1].ShareFactor != 0 ||
		o.ZoneOverrides[1].ReachableShare != 0 || o.ZoneOverrides[1].TTL > time.Second {
		t.Errorf("while isolated: %+v", o.ZoneOverrides)
	}
	s.phase = stalerouting.Connected
	c.startedAt = c.startedAt.Add(-time.Minute)
	s.updateZoneOverrides(false)
	if o := c.Directives(); len(o.ZoneOverrides) != 0 {
		t.Errorf("after the decision expired: %+v", o.ZoneOverrides)
	}
}

// A report is sent to all voters at once if the health of a zone changed, otherwise once every reportInterval. The
// voter in the same process receives it through its mailbox.
func TestZoneReports(t *testing.T) {
	s := newIdleSiteTask(t)
	c := s.coordinator
	c.config.Vote.MaxEvidenceAge = 10 * time.Second
	c.config.Consensus = &consensus.Config{Self: "a", Voters: []consensus.Voter{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	c.consensus = consensus.New(*c.config.Consensus, nil)
	var last lastZoneReport
	sent := func() (n int) {
		for _, ok := c.gossip.Mailbox().Poll(); ok; _, ok = c.gossip.Mailbox().Poll() {
			n++
		}
		return n
	}
	healthy := []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Attempts: 30, Utilization: 9, UtilizationSamples: 1}}
	c.reportZones(&last, healthy)
	m, ok := c.consensus.Mailbox().Poll()
	if r, _ := m.(consensus.Report); !ok || r.Seq != 1 || r.Rate != 3 || r.Zones[0].Utilization != 1 ||
		r.Validate() != nil || sent() != 2 {
		t.Errorf("%+v", m)
	}
	c.reportZones(&last, healthy)
	if n := sent(); n != 0 {
		t.Errorf("%d reports sent without a change, want 0", n)
	}
	c.reportZones(&last, []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Unhealthy: 2, Attempts: 30}})
	if n := sent(); n != 2 {
		t.Errorf("%d reports sent after a change, want 2", n)
	}
	c.startedAt = c.startedAt.Add(-reportInterval)
	c.reportZones(&last, []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Unhealthy: 2, Attempts: 30}})
	if n := sent(); n != 2 {
		t.Errorf("%d reports sent after the interval, want 2", n)
	}
}
