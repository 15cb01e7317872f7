package coordination

import (
	"context"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
	"chalkdoor.example/chalkdoor/internal/leaktest"
	"chalkdoor.example/chalkdoor/policy"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

func bare() *Coordinator {
	return &Coordinator{startedAt: time.Now(), voteMailbox: supervisor.NewMailbox(8), siteMailbox: supervisor.NewMailbox(8), peerReports: map[string]agent.Target{}, ready: make(chan struct{}, 1), pendingAttempts: map[outlier.Host]bool{}, config: Config{LatencyTargets: []time.Duration{time.Second}}}
}

// A table that the loop has not taken is replaced by a newer one, but no attempt that was
// asked for is lost, and each is handed over once.
func TestHandOver(t *testing.T) {
	l := bare()
	a, b := outlier.Host{ID: "a"}, outlier.Host{ID: "b", Incarnation: 3}
	l.setOverrides([]ejection.Standing{{Host: a, Until: time.Hour, Trial: true}, {Host: b, Share: 1, Probe: true}})
	l.setOverrides([]ejection.Standing{{Host: a, Until: time.Hour}})
	<-l.Ready()
	got := map[string]agent.Override{}
	for _, s := range l.Directives().Overrides {
		got[s.ID] = s
	}
	if x := got["a"]; !x.Trial || x.Probe || x.ShareFactor != 0 || x.TTL <= 0 || x.TTL > time.Hour {
		t.Errorf("a: %+v", x)
	}
	if x := got["b"]; !x.Probe || x.Trial || x.ShareFactor != 1 || x.StartedMs != 3 {
		t.Errorf("b: %+v", x)
	}
	l.setOverrides([]ejection.Standing{{Host: a, Until: time.Hour}})
	if s := l.Directives().Overrides; len(s) != 1 || s[0].Trial {
		t.Errorf("handed over again: %+v", s)
	}
}

// A table that was handed over before the process was paused holds no longer for that.
func TestWhatIsLeftIsCountedWhenItIsTaken(t *testing.T) {
	l := bare()
	l.setOverrides([]ejection.Standing{{Host: outlier.Host{ID: "a"}, Until: 5 * time.Second}})
	l.startedAt = l.startedAt.Add(-10 * time.Second) // as long as the pause was
	if s := l.Directives().Overrides; s[0].TTL != 0 {
		t.Errorf("%v is left of what ended in the pause", s[0].TTL)
	}
}

// What says nothing of a server is not told to the vote; a probe that gets no connection is
// silence, not a failure.
func TestSights(t *testing.T) {
	l := bare()
	for _, s := range []agent.Observation{{Status: policy.Cancelled}, {Status: policy.NotSent}, {Status: policy.OK, Class: 7}} {
		l.AttemptEnded(s)
	}
	if m, ok := l.voteMailbox.Poll(); ok {
		t.Errorf("told of %+v", m)
	}
	l.AttemptEnded(agent.Observation{ID: "a", Status: policy.ConnectFailed, Probe: true, Latency: time.Second / 2})
	m, _ := l.voteMailbox.Poll()
	if s, ok := m.(observation); !ok || s.Outcome != outlier.NoAnswer || !s.Probe || s.LatencyRatio != 0.5 || s.Ended-s.Sent != time.Second/2 {
		t.Errorf("told of %+v", m)
	}
}

// Letters of one peer merge, the newer staying whichever came last; the list replaces itself.
func TestMessagesMerge(t *testing.T) {
	l := bare()
	newer, older := &ejection.VoteMessage{From: "a", Incarnation: 1, Sent: 2}, &ejection.VoteMessage{From: "a", Incarnation: 1, Sent: 1}
	l.voteMailbox.Put(voteMessage{newer})
	l.voteMailbox.Put(voteMessage{older})
	l.voteMailbox.Put(voteMessage{&ejection.VoteMessage{From: "b"}})
	l.ListChanged([]agent.Target{{ID: "x", State: "up"}})
	l.ListChanged([]agent.Target{{ID: "y", State: "up"}, {ID: "z", State: "draining"}})
	var got []supervisor.Message
	for m, ok := l.voteMailbox.Poll(); ok; m, ok = l.voteMailbox.Poll() {
		got = append(got, m)
	}
	if len(got) != 3 || got[0].(voteMessage).VoteMessage != newer {
		t.Fatalf("%d messages: %+v", len(got), got)
	}
	if hosts := got[2].(serverList).hosts; len(hosts) != 1 || hosts[0].ID != "y" {
		t.Errorf("listed %+v", hosts)
	}
}

// The tasks start and end with the layer, whatever their sockets do: here the address is no
// one's, so that peers dies and is started again while the vote goes on alone.
func TestItEndsInOrder(t *testing.T) {
	cfg := Config{Vote: ejection.Defaults(), Site: stalerouting.Defaults(), Membership: membership.Config{Fleet: "k", Name: "a", Bind: "192.0.2.1:7946", Seeds: []string{"192.0.2.1:7946"}}, LatencyTargets: []time.Duration{time.Second}}
	if _, err := Start(t.Context(), cfg); err == nil {
		t.Error("started without an electorate")
	}
	cfg.Vote.Electorate.Members = []string{"a"}
	l, err := Start(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	l.ListChanged([]agent.Target{{ID: "x", State: "up", Weight: 1}})
	l.Close()
}
