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

// bareSite is a site's task without its loop, of agent a and its neighbour b in zone x.
func bareSite(t *testing.T) *siteTask {
	l := bare()
	l.config.Membership = membership.Config{Name: "a", Zone: "x", Incarnation: 7}
	l.gossip = membership.New(l.config.Membership, messageHandler{l})
	cfg := stalerouting.Defaults()
	cfg.Self, cfg.Members = "a", []string{"a", "b"}
	up, err := stalerouting.NewUplink(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &siteTask{coordinator: l, uplink: up, servers: stalerouting.NewServerSet(), decisions: stalerouting.NewDecisionCache(10 * time.Second), rng: rand.New(rand.NewPCG(1, 2))}
	s.handleMessage(serverList{hosts: []outlier.ListedHost{{Zone: "x"}, {Zone: "z"}, {Zone: "y"}, {Zone: "z"}},
		entries: entries([]agent.Target{{ID: "s", State: "up"}, {ID: "d", State: "paused"}, {State: "up"}}, stalerouting.UnknownAge)})
	return s
}

// In the dark every zone but the own is without a share, renewed at each beat and counted from
// when it is taken; a call to discovery is asked for once.
func TestOrdersOfADarkSite(t *testing.T) {
	s := bareSite(t)
	l := s.coordinator
	s.applyActions(&stalerouting.Actions{Phase: stalerouting.Isolated, Until: l.now() + time.Minute, Changed: true, QueryDiscovery: true})
	<-l.Ready()
	o := l.Directives()
	if len(o.ZoneOverrides) != 2 || o.ZoneOverrides[0].Zone != "y" || o.ZoneOverrides[1].Zone != "z" || o.ZoneOverrides[0].ShareFactor != 0 || !o.FetchList ||
		o.ZoneOverrides[0].TTL <= 0 || o.ZoneOverrides[0].TTL > time.Minute {
		t.Errorf("%+v", o)
	}
	if k := l.Snapshot(); !k.Isolated || len(k.Entries) != 2 || k.Entries[0].State != stalerouting.Draining {
		t.Errorf("kept %+v", k)
	}
	l.startedAt = l.startedAt.Add(-2 * time.Minute) // a pause
	if o := l.Directives(); o.ZoneOverrides[0].TTL != 0 || o.FetchList {
		t.Errorf("after a pause: %+v", o)
	}
	s.applyActions(&stalerouting.Actions{Phase: stalerouting.Recovering, Share: 0.3, Until: l.now() + time.Minute, Changed: true})
	if o := l.Directives(); len(o.ZoneOverrides) != 2 || o.ZoneOverrides[1].ShareFactor != 0.3 {
		t.Errorf("%+v", o)
	}
	s.applyActions(&stalerouting.Actions{Phase: stalerouting.Connected, Share: 1, Changed: true})
	if o := l.Directives(); len(o.ZoneOverrides) != 0 || l.Snapshot().Isolated {
		t.Errorf("%+v", o)
	}
}

// What a neighbour was told is handed over while discovery has not been heard, and not after;
// another zone's set is not taken; a set that makes no sense is dropped whole.
func TestNewsOfNeighbours(t *testing.T) {
	s := bareSite(t)
	l := s.coordinator
	set := func(zone string, e ...stalerouting.Entry) receivedState {
		return receivedState{siteState{stalerouting.Version, "b", zone, e}}
	}
	s.handleMessage(set("y", stalerouting.Entry{ID: "s", State: stalerouting.Removed}))
	s.handleMessage(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Removed}, stalerouting.Entry{}))
	if o := l.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("told %+v", o.PeerReports)
	}
	s.handleMessage(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Draining}, stalerouting.Entry{ID: "n", Incarnation: 5}))
	if o := l.Directives(); len(o.PeerReports) != 2 || o.PeerReports[0].ID != "n" || o.PeerReports[0].StartedMs != 5 || o.PeerReports[1].State != "draining" {
		t.Errorf("told %+v", o.PeerReports)
	}
	if o := l.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("told again %+v", o.PeerReports)
	}
	s.handleMessage(signalReceived{stalerouting.DiscoveryAnswered})
	s.handleMessage(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Removed}))
	if o := l.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("told %+v while discovery can be heard", o.PeerReports)
	}
}

// A ping is answered, an answer counts as heard; what is no message of the layer is dropped.
func TestPingsAndStrangers(t *testing.T) {
	s := bareSite(t)
	l := s.coordinator
	s.handleMessage(ping{From: "c"})
	if m, ok := l.gossip.Mailbox().Poll(); !ok || m.(membership.Send).To != "c" || m.(membership.Send).Kind != KindPing {
		t.Errorf("%+v", m)
	}
	body, err := membership.Encode(ping{From: "c", Pong: true})
	if err != nil {
		t.Fatal(err)
	}
	from := messageHandler{l}
	from.HandleMessage(KindPing, body)
	if m, _ := l.siteMailbox.Poll(); m != (ping{From: "c", Pong: true}) {
		t.Errorf("%+v", m)
	}
	from.HandleMessage('?', body)
	from.HandleMessage(KindHeartbeat, body)
	from.HandleMessage(KindVote, []byte{1})
	from.MergeState([]byte{1})
	wrong, err := membership.Encode(siteState{Version: 99, From: "b", Zone: "x"})
	if err != nil {
		t.Fatal(err)
	}
	from.MergeState(wrong)
	if m, ok := l.siteMailbox.Poll(); ok {
		t.Errorf("taken: %+v", m)
	}
	l.setSnapshot(Snapshot{Entries: []stalerouting.Entry{{ID: "s"}}}, l.now())
	l.startedAt = l.startedAt.Add(-time.Minute)
	from.MergeState(from.LocalState())
	if m, _ := l.siteMailbox.Poll(); m.(receivedState).Entries[0].Age < time.Minute {
		t.Errorf("%+v, want a minute older than when it was kept", m)
	}
	// An answer from a server of another zone is a sign of what lies outside.
	l.config.LatencyTargets = []time.Duration{time.Second}
	for _, zone := range []string{"x", "", "y"} {
		l.AttemptEnded(agent.Observation{ID: "s", Zone: zone, Status: policy.OK})
	}
	if m, _ := l.siteMailbox.Poll(); m != (signalReceived{stalerouting.RequestServed}) {
		t.Errorf("%+v", m)
	}
	if m, ok := l.siteMailbox.Poll(); ok {
		t.Errorf("heard twice: %+v", m)
	}
}

// The council's word orders shares and parts of zones while it holds; an older one changes
// nothing, one past its bound is none, and a site by itself goes by its uplink.
func TestOrdersByTheCouncil(t *testing.T) {
	s := bareSite(t)
	l := s.coordinator
	table := func(number uint64, left string, home float64) zonefailover.Table {
		return zonefailover.Table{Version: zonefailover.Version, Number: number, Zones: []zonefailover.Zone{{Name: left, Local: zonefailover.Track{Share: 1}}},
			TrafficShares: []zonefailover.TrafficShare{{Site: "x", Zone: "x", Share: home}, {Site: "x", Zone: "y", Share: 1 - home}, {Site: "x", Zone: "z"}}}
	}
	s.handleMessage(membersChanged{[]membership.Peer{{Name: "a", Zone: "x"}, {Name: "b", Zone: "x"}, {Name: "c", Zone: "y"}}})
	// What a voter finds in its log is acted on once a majority vouches for it.
	s.handleMessage(localDecision{consensus.Decision{Term: 2, Index: 7, Table: table(1, "z", 0.75)}})
	if o := l.Directives(); len(o.ZoneOverrides) != 0 {
		t.Errorf("by what lay in the log: %+v", o.ZoneOverrides)
	}
	s.handleMessage(localDecision{consensus.Decision{Term: 2, Index: 7, Table: table(1, "z", 0.75), Confirmed: true}})
	told := map[string]bool{}
	for m, ok := l.gossip.Mailbox().Poll(); ok; m, ok = l.gossip.Mailbox().Poll() {
		if x := m.(membership.Send); x.Kind == KindDecision {
			told[x.To] = true
		}
	}
	if len(told) != 2 || !told["b"] || !told["c"] {
		t.Errorf("told %v of what is new", told)
	}
	o := l.Directives()
	if len(o.ZoneOverrides) != 3 || o.ZoneOverrides[0].TrafficShare != 0.75 || o.ZoneOverrides[0].ShareFactor != 1 || o.ZoneOverrides[2].ShareFactor != 0 || o.ZoneOverrides[2].ReachableShare != 1 ||
		o.ZoneOverrides[1].TTL <= 9*time.Second || o.ZoneOverrides[1].TTL > 10*time.Second {
		t.Errorf("%+v", o.ZoneOverrides)
	}
	s.handleMessage(peerDecision{stalerouting.Decision{Version: stalerouting.Version, Term: 1, Index: 9, Table: table(2, "y", 0.1)}})
	if o := l.Directives(); o.ZoneOverrides[0].TrafficShare != 0.75 || o.ZoneOverrides[2].ShareFactor != 0 {
		t.Errorf("an older decision: %+v", o.ZoneOverrides)
	}
	s.phase, s.share, s.shareUntil = stalerouting.Isolated, 0, l.now()+time.Second
	s.updateZoneOverrides(false)
	if o := l.Directives(); o.ZoneOverrides[0].TrafficShare != 0 || o.ZoneOverrides[1].ShareFactor != 0 || o.ZoneOverrides[1].ReachableShare != 0 || o.ZoneOverrides[1].TTL > time.Second {
		t.Errorf("in the dark: %+v", o.ZoneOverrides)
	}
	s.phase = stalerouting.Connected
	l.startedAt = l.startedAt.Add(-time.Minute)
	s.updateZoneOverrides(false)
	if o := l.Directives(); len(o.ZoneOverrides) != 0 {
		t.Errorf("past its bound: %+v", o.ZoneOverrides)
	}
}

// The voters are told of a view that changes at once, of others seldom; the voter among them by
// its own mailbox.
func TestReports(t *testing.T) {
	s := bareSite(t)
	l := s.coordinator
	l.config.Vote.MaxEvidenceAge = 10 * time.Second
	l.config.Consensus = &consensus.Config{Self: "a", Voters: []consensus.Voter{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	l.consensus = consensus.New(*l.config.Consensus, nil)
	var was lastZoneReport
	sent := func() (n int) {
		for _, ok := l.gossip.Mailbox().Poll(); ok; _, ok = l.gossip.Mailbox().Poll() {
			n++
		}
		return n
	}
	good := []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Attempts: 30, Utilization: 9, UtilizationSamples: 1}}
	l.reportZones(&was, good)
	m, ok := l.consensus.Mailbox().Poll()
	if r, _ := m.(consensus.Report); !ok || r.Seq != 1 || r.Rate != 3 || r.Zones[0].Utilization != 1 || r.Validate() != nil || sent() != 2 {
		t.Errorf("%+v", m)
	}
	l.reportZones(&was, good)
	if n := sent(); n != 0 {
		t.Errorf("%d told of what has not changed", n)
	}
	l.reportZones(&was, []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Unhealthy: 2, Attempts: 30}})
	if n := sent(); n != 2 {
		t.Errorf("%d told of a change, want 2", n)
	}
	l.startedAt = l.startedAt.Add(-reportInterval)
	l.reportZones(&was, []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Unhealthy: 2, Attempts: 30}})
	if n := sent(); n != 2 {
		t.Errorf("%d told again in time, want 2", n)
	}
}
