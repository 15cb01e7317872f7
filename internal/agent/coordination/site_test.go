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
	l.cfg.Peers = membership.Config{Name: "a", Zone: "x", Incarnation: 7}
	l.peers = membership.New(l.cfg.Peers, sink{l})
	cfg := stalerouting.Defaults()
	cfg.Self, cfg.Members = "a", []string{"a", "b"}
	up, err := stalerouting.NewUplink(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &siteTask{l: l, up: up, set: stalerouting.NewServerSet(), parts: stalerouting.NewDecisionCache(10 * time.Second), rng: rand.New(rand.NewPCG(1, 2))}
	s.take(listed{hosts: []outlier.ListedHost{{Zone: "x"}, {Zone: "z"}, {Zone: "y"}, {Zone: "z"}},
		entries: entries([]agent.Target{{ID: "s", State: "up"}, {ID: "d", State: "paused"}, {State: "up"}}, stalerouting.UnknownAge)})
	return s
}

// In the dark every zone but the own is without a share, renewed at each beat and counted from
// when it is taken; a call to discovery is asked for once.
func TestOrdersOfADarkSite(t *testing.T) {
	s := bareSite(t)
	l := s.l
	s.carryOut(&stalerouting.Actions{Phase: stalerouting.Isolated, Until: l.now() + time.Minute, Changed: true, QueryDiscovery: true})
	<-l.Ready()
	o := l.Directives()
	if len(o.ZoneOverrides) != 2 || o.ZoneOverrides[0].Zone != "y" || o.ZoneOverrides[1].Zone != "z" || o.ZoneOverrides[0].ShareFactor != 0 || !o.FetchList ||
		o.ZoneOverrides[0].TTL <= 0 || o.ZoneOverrides[0].TTL > time.Minute {
		t.Errorf("%+v", o)
	}
	if k := l.Kept(); !k.Dark || len(k.Entries) != 2 || k.Entries[0].State != stalerouting.Draining {
		t.Errorf("kept %+v", k)
	}
	l.start = l.start.Add(-2 * time.Minute) // a pause
	if o := l.Directives(); o.ZoneOverrides[0].TTL != 0 || o.FetchList {
		t.Errorf("after a pause: %+v", o)
	}
	s.carryOut(&stalerouting.Actions{Phase: stalerouting.Recovering, Share: 0.3, Until: l.now() + time.Minute, Changed: true})
	if o := l.Directives(); len(o.ZoneOverrides) != 2 || o.ZoneOverrides[1].ShareFactor != 0.3 {
		t.Errorf("%+v", o)
	}
	s.carryOut(&stalerouting.Actions{Phase: stalerouting.Connected, Share: 1, Changed: true})
	if o := l.Directives(); len(o.ZoneOverrides) != 0 || l.Kept().Dark {
		t.Errorf("%+v", o)
	}
}

// What a neighbour was told is handed over while discovery has not been heard, and not after;
// another zone's set is not taken; a set that makes no sense is dropped whole.
func TestNewsOfNeighbours(t *testing.T) {
	s := bareSite(t)
	l := s.l
	set := func(zone string, e ...stalerouting.Entry) shared {
		return shared{state{stalerouting.Version, "b", zone, e}}
	}
	s.take(set("y", stalerouting.Entry{ID: "s", State: stalerouting.Removed}))
	s.take(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Removed}, stalerouting.Entry{}))
	if o := l.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("told %+v", o.PeerReports)
	}
	s.take(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Draining}, stalerouting.Entry{ID: "n", Incarnation: 5}))
	if o := l.Directives(); len(o.PeerReports) != 2 || o.PeerReports[0].ID != "n" || o.PeerReports[0].StartedMs != 5 || o.PeerReports[1].State != "draining" {
		t.Errorf("told %+v", o.PeerReports)
	}
	if o := l.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("told again %+v", o.PeerReports)
	}
	s.take(heard{stalerouting.DiscoveryAnswered})
	s.take(set("x", stalerouting.Entry{ID: "s", State: stalerouting.Removed}))
	if o := l.Directives(); len(o.PeerReports) != 0 {
		t.Errorf("told %+v while discovery can be heard", o.PeerReports)
	}
}

// A ping is answered, an answer counts as heard; what is no message of the layer is dropped.
func TestPingsAndStrangers(t *testing.T) {
	s := bareSite(t)
	l := s.l
	s.take(ping{From: "c"})
	if m, ok := l.peers.Mailbox().Poll(); !ok || m.(membership.Send).To != "c" || m.(membership.Send).Kind != KindPing {
		t.Errorf("%+v", m)
	}
	body, err := membership.Encode(ping{From: "c", Pong: true})
	if err != nil {
		t.Fatal(err)
	}
	from := sink{l}
	from.HandleMessage(KindPing, body)
	if m, _ := l.siteBox.Poll(); m != (ping{From: "c", Pong: true}) {
		t.Errorf("%+v", m)
	}
	from.HandleMessage('?', body)
	from.HandleMessage(KindWord, body)
	from.HandleMessage(KindLetter, []byte{1})
	from.MergeState([]byte{1})
	wrong, err := membership.Encode(state{Version: 99, From: "b", Zone: "x"})
	if err != nil {
		t.Fatal(err)
	}
	from.MergeState(wrong)
	if m, ok := l.siteBox.Poll(); ok {
		t.Errorf("taken: %+v", m)
	}
	l.keep(Kept{Entries: []stalerouting.Entry{{ID: "s"}}}, l.now())
	l.start = l.start.Add(-time.Minute)
	from.MergeState(from.LocalState())
	if m, _ := l.siteBox.Poll(); m.(shared).Entries[0].Age < time.Minute {
		t.Errorf("%+v, want a minute older than when it was kept", m)
	}
	// An answer from a server of another zone is a sign of what lies outside.
	l.cfg.Aims = []time.Duration{time.Second}
	for _, zone := range []string{"x", "", "y"} {
		l.AttemptEnded(agent.Observation{ID: "s", Zone: zone, Status: policy.OK})
	}
	if m, _ := l.siteBox.Poll(); m != (heard{stalerouting.RequestServed}) {
		t.Errorf("%+v", m)
	}
	if m, ok := l.siteBox.Poll(); ok {
		t.Errorf("heard twice: %+v", m)
	}
}

// The council's word orders shares and parts of zones while it holds; an older one changes
// nothing, one past its bound is none, and a site by itself goes by its uplink.
func TestOrdersByTheCouncil(t *testing.T) {
	s := bareSite(t)
	l := s.l
	table := func(number uint64, left string, home float64) zonefailover.Table {
		return zonefailover.Table{Version: zonefailover.Version, Number: number, Zones: []zonefailover.Zone{{Name: left, Local: zonefailover.Track{Share: 1}}},
			TrafficShares: []zonefailover.TrafficShare{{Site: "x", Zone: "x", Share: home}, {Site: "x", Zone: "y", Share: 1 - home}, {Site: "x", Zone: "z"}}}
	}
	s.take(members{[]membership.Peer{{Name: "a", Zone: "x"}, {Name: "b", Zone: "x"}, {Name: "c", Zone: "y"}}})
	// What a voter finds in its log is acted on once a majority vouches for it.
	s.take(agreed{consensus.Decision{Term: 2, Index: 7, Table: table(1, "z", 0.75)}})
	if o := l.Directives(); len(o.ZoneOverrides) != 0 {
		t.Errorf("by what lay in the log: %+v", o.ZoneOverrides)
	}
	s.take(agreed{consensus.Decision{Term: 2, Index: 7, Table: table(1, "z", 0.75), Vouched: true}})
	told := map[string]bool{}
	for m, ok := l.peers.Mailbox().Poll(); ok; m, ok = l.peers.Mailbox().Poll() {
		if x := m.(membership.Send); x.Kind == KindParts {
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
	s.take(parts{stalerouting.Decision{Version: stalerouting.Version, Term: 1, Index: 9, Table: table(2, "y", 0.1)}})
	if o := l.Directives(); o.ZoneOverrides[0].TrafficShare != 0.75 || o.ZoneOverrides[2].ShareFactor != 0 {
		t.Errorf("an older decision: %+v", o.ZoneOverrides)
	}
	s.phase, s.share, s.until = stalerouting.Isolated, 0, l.now()+time.Second
	s.order(false)
	if o := l.Directives(); o.ZoneOverrides[0].TrafficShare != 0 || o.ZoneOverrides[1].ShareFactor != 0 || o.ZoneOverrides[1].ReachableShare != 0 || o.ZoneOverrides[1].TTL > time.Second {
		t.Errorf("in the dark: %+v", o.ZoneOverrides)
	}
	s.phase = stalerouting.Connected
	l.start = l.start.Add(-time.Minute)
	s.order(false)
	if o := l.Directives(); len(o.ZoneOverrides) != 0 {
		t.Errorf("past its bound: %+v", o.ZoneOverrides)
	}
}

// The voters are told of a view that changes at once, of others seldom; the voter among them by
// its own mailbox.
func TestReports(t *testing.T) {
	s := bareSite(t)
	l := s.l
	l.cfg.Vote.MaxEvidenceAge = 10 * time.Second
	l.cfg.Council = &consensus.Config{Self: "a", Voters: []consensus.Voter{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	l.council = consensus.New(*l.cfg.Council, nil)
	var was reporter
	sent := func() (n int) {
		for _, ok := l.peers.Mailbox().Poll(); ok; _, ok = l.peers.Mailbox().Poll() {
			n++
		}
		return n
	}
	good := []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Attempts: 30, Utilization: 9, UtilizationSamples: 1}}
	l.report(&was, good)
	m, ok := l.council.Mailbox().Poll()
	if r, _ := m.(consensus.Report); !ok || r.Seq != 1 || r.Rate != 3 || r.Zones[0].Utilization != 1 || r.Validate() != nil || sent() != 2 {
		t.Errorf("%+v", m)
	}
	l.report(&was, good)
	if n := sent(); n != 0 {
		t.Errorf("%d told of what has not changed", n)
	}
	l.report(&was, []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Unhealthy: 2, Attempts: 30}})
	if n := sent(); n != 2 {
		t.Errorf("%d told of a change, want 2", n)
	}
	l.start = l.start.Add(-reportEvery)
	l.report(&was, []outlier.Zone{{Name: "x", Weight: 2, Observed: 2, Unhealthy: 2, Attempts: 30}})
	if n := sent(); n != 2 {
		t.Errorf("%d told again in time, want 2", n)
	}
}
