package layer

import (
	"math/rand/v2"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/decisions"
	"chalkdoor.example/chalkdoor/internal/evidence"
	"chalkdoor.example/chalkdoor/internal/peers"
	"chalkdoor.example/chalkdoor/policy"
)

// bareSite is a site's task without its loop, of agent a and its neighbour b in zone x.
func bareSite(t *testing.T) *siteTask {
	l := bare()
	l.cfg.Peers = peers.Config{Name: "a", Zone: "x", Boot: 7}
	l.peers = peers.New(l.cfg.Peers, sink{l})
	cfg := decisions.Defaults()
	cfg.Self, cfg.Site = "a", []string{"a", "b"}
	up, err := decisions.NewUplink(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &siteTask{l: l, up: up, set: decisions.NewSet(), parts: decisions.NewParts(10 * time.Second), rng: rand.New(rand.NewPCG(1, 2))}
	s.take(listed{hosts: []evidence.Listed{{Zone: "x"}, {Zone: "z"}, {Zone: "y"}, {Zone: "z"}},
		entries: entries([]agent.Target{{ID: "s", State: "up"}, {ID: "d", State: "paused"}, {State: "up"}}, decisions.Undated)})
	return s
}

// In the dark every zone but the own is without a share, renewed at each beat and counted from
// when it is taken; a call to discovery is asked for once.
func TestOrdersOfADarkSite(t *testing.T) {
	s := bareSite(t)
	l := s.l
	s.carryOut(&decisions.Out{Phase: decisions.Dark, Until: l.now() + time.Minute, Changed: true, Ask: true})
	<-l.Ready()
	o := l.Orders()
	if len(o.Zones) != 2 || o.Zones[0].Zone != "y" || o.Zones[1].Zone != "z" || o.Zones[0].Share != 0 || !o.Ask ||
		o.Zones[0].Left <= 0 || o.Zones[0].Left > time.Minute {
		t.Errorf("%+v", o)
	}
	if k := l.Kept(); !k.Dark || len(k.Entries) != 2 || k.Entries[0].State != decisions.Draining {
		t.Errorf("kept %+v", k)
	}
	l.start = l.start.Add(-2 * time.Minute) // a pause
	if o := l.Orders(); o.Zones[0].Left != 0 || o.Ask {
		t.Errorf("after a pause: %+v", o)
	}
	s.carryOut(&decisions.Out{Phase: decisions.Returning, Share: 0.3, Until: l.now() + time.Minute, Changed: true})
	if o := l.Orders(); len(o.Zones) != 2 || o.Zones[1].Share != 0.3 {
		t.Errorf("%+v", o)
	}
	s.carryOut(&decisions.Out{Phase: decisions.Light, Share: 1, Changed: true})
	if o := l.Orders(); len(o.Zones) != 0 || l.Kept().Dark {
		t.Errorf("%+v", o)
	}
}

// What a neighbour was told is handed over while discovery has not been heard, and not after;
// another zone's set is not taken; a set that makes no sense is dropped whole.
func TestNewsOfNeighbours(t *testing.T) {
	s := bareSite(t)
	l := s.l
	set := func(zone string, e ...decisions.Entry) shared {
		return shared{state{decisions.Version, "b", zone, e}}
	}
	s.take(set("y", decisions.Entry{ID: "s", State: decisions.Removed}))
	s.take(set("x", decisions.Entry{ID: "s", State: decisions.Removed}, decisions.Entry{}))
	if o := l.Orders(); len(o.Told) != 0 {
		t.Errorf("told %+v", o.Told)
	}
	s.take(set("x", decisions.Entry{ID: "s", State: decisions.Draining}, decisions.Entry{ID: "n", Incarnation: 5}))
	if o := l.Orders(); len(o.Told) != 2 || o.Told[0].ID != "n" || o.Told[0].StartedMs != 5 || o.Told[1].State != "draining" {
		t.Errorf("told %+v", o.Told)
	}
	if o := l.Orders(); len(o.Told) != 0 {
		t.Errorf("told again %+v", o.Told)
	}
	s.take(heard{decisions.List})
	s.take(set("x", decisions.Entry{ID: "s", State: decisions.Removed}))
	if o := l.Orders(); len(o.Told) != 0 {
		t.Errorf("told %+v while discovery can be heard", o.Told)
	}
}

// A ping is answered, an answer counts as heard; what is no message of the layer is dropped.
func TestPingsAndStrangers(t *testing.T) {
	s := bareSite(t)
	l := s.l
	s.take(ping{From: "c"})
	if m, ok := l.peers.Mailbox().Poll(); !ok || m.(peers.Send).To != "c" || m.(peers.Send).Kind != KindPing {
		t.Errorf("%+v", m)
	}
	body, err := peers.Encode(ping{From: "c", Pong: true})
	if err != nil {
		t.Fatal(err)
	}
	from := sink{l}
	from.Got(KindPing, body)
	if m, _ := l.siteBox.Poll(); m != (ping{From: "c", Pong: true}) {
		t.Errorf("%+v", m)
	}
	from.Got('?', body)
	from.Got(KindWord, body)
	from.Got(KindLetter, []byte{1})
	from.Merge([]byte{1})
	wrong, err := peers.Encode(state{Version: 99, From: "b", Zone: "x"})
	if err != nil {
		t.Fatal(err)
	}
	from.Merge(wrong)
	if m, ok := l.siteBox.Poll(); ok {
		t.Errorf("taken: %+v", m)
	}
	l.keep(Kept{Entries: []decisions.Entry{{ID: "s"}}}, l.now())
	l.start = l.start.Add(-time.Minute)
	from.Merge(from.State())
	if m, _ := l.siteBox.Poll(); m.(shared).Entries[0].Age < time.Minute {
		t.Errorf("%+v, want a minute older than when it was kept", m)
	}
	// An answer from a server of another zone is a sign of what lies outside.
	l.cfg.Aims = []time.Duration{time.Second}
	for _, zone := range []string{"x", "", "y"} {
		l.Attempted(agent.Sight{ID: "s", Zone: zone, Status: policy.OK})
	}
	if m, _ := l.siteBox.Poll(); m != (heard{decisions.Answer}) {
		t.Errorf("%+v", m)
	}
	if m, ok := l.siteBox.Poll(); ok {
		t.Errorf("heard twice: %+v", m)
	}
}
