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

// newIdleCoordinator returns a coordinator whose tasks don't run.
func newIdleCoordinator() *Coordinator {
	return &Coordinator{startedAt: time.Now(), voteMailbox: supervisor.NewMailbox(8),
		siteMailbox: supervisor.NewMailbox(8), peerReports: map[string]agent.Target{}, ready: make(chan struct{}, 1),
		pendingAttempts: map[outlier.Host]bool{}, config: Config{LatencyTargets: []time.Duration{time.Second}}}
}

// Overrides that the event loop has not taken are replaced by newer ones, but no requested attempt is lost, and
// each is returned only once.
func TestRequestedAttemptsAreReturnedOnce(t *testing.T) {
	c := newIdleCoordinator()
	a, b := outlier.Host{ID: "a"}, outlier.Host{ID: "b", Incarnation: 3}
	c.setOverrides([]ejection.Standing{{Host: a, Until: time.Hour, Trial: true}, {Host: b, Share: 1, Probe: true}})
	c.setOverrides([]ejection.Standing{{Host: a, Until: time.Hour}})
	<-c.Ready()
	got := map[string]agent.Override{}
	for _, s := range c.Directives().Overrides {
		got[s.ID] = s
	}
	if x := got["a"]; !x.Trial || x.Probe || x.ShareFactor != 0 || x.TTL <= 0 || x.TTL > time.Hour {
		t.Errorf("a: %+v", x)
	}
	if x := got["b"]; !x.Probe || x.Trial || x.ShareFactor != 1 || x.StartedMs != 3 {
		t.Errorf("b: %+v", x)
	}
	c.setOverrides([]ejection.Standing{{Host: a, Until: time.Hour}})
	if s := c.Directives().Overrides; len(s) != 1 || s[0].Trial {
		t.Errorf("requested again: %+v", s)
	}
}

// A pause of the process between setting an override and taking it doesn't extend the override.
func TestTTLIsComputedWhenDirectivesAreTaken(t *testing.T) {
	c := newIdleCoordinator()
	c.setOverrides([]ejection.Standing{{Host: outlier.Host{ID: "a"}, Until: 5 * time.Second}})
	c.startedAt = c.startedAt.Add(-10 * time.Second) // as if the process had been paused for 10 s
	if s := c.Directives().Overrides; s[0].TTL != 0 {
		t.Errorf("TTL is %v for an override that expired during the pause", s[0].TTL)
	}
}

// Attempts that say nothing about a server are not passed to the vote task. A health check that gets no connection
// counts as unanswered, not as a failure.
func TestObservations(t *testing.T) {
	c := newIdleCoordinator()
	for _, s := range []agent.Observation{{Status: policy.Cancelled}, {Status: policy.NotSent},
		{Status: policy.OK, Class: 7}} {
		c.AttemptEnded(s)
	}
	if m, ok := c.voteMailbox.Poll(); ok {
		t.Errorf("got %+v, want no message", m)
	}
	c.AttemptEnded(agent.Observation{ID: "a", Status: policy.ConnectFailed, Probe: true, Latency: time.Second / 2})
	m, _ := c.voteMailbox.Poll()
	if s, ok := m.(observation); !ok || s.Outcome != outlier.NoAnswer || !s.Probe || s.LatencyRatio != 0.5 ||
		s.Ended-s.Sent != time.Second/2 {
		t.Errorf("got %+v", m)
	}
}

// Queued vote messages of one peer merge into the newest, in whichever order they arrive. A new server list replaces
// a queued one.
func TestMessagesMerge(t *testing.T) {
	c := newIdleCoordinator()
	newer, older := &ejection.VoteMessage{From: "a", Incarnation: 1, Sent: 2},
		&ejection.VoteMessage{From: "a", Incarnation: 1, Sent: 1}
	c.voteMailbox.Put(voteMessage{newer})
	c.voteMailbox.Put(voteMessage{older})
	c.voteMailbox.Put(voteMessage{&ejection.VoteMessage{From: "b"}})
	c.ListChanged([]agent.Target{{ID: "x", State: "up"}})
	c.ListChanged([]agent.Target{{ID: "y", State: "up"}, {ID: "z", State: "draining"}})
	var got []supervisor.Message
	for m, ok := c.voteMailbox.Poll(); ok; m, ok = c.voteMailbox.Poll() {
		got = append(got, m)
	}
	if len(got) != 3 || got[0].(voteMessage).VoteMessage != newer {
		t.Fatalf("%d messages: %+v", len(got), got)
	}
	if hosts := got[2].(serverList).hosts; len(hosts) != 1 || hosts[0].ID != "y" {
		t.Errorf("hosts: %+v", hosts)
	}
}

// The coordinator starts and stops its tasks even if gossip fails. Here its address is not an address of this
// machine, so gossip fails and is restarted while the other tasks run.
func TestTasksStopThoughGossipFails(t *testing.T) {
	cfg := Config{Vote: ejection.Defaults(), Site: stalerouting.Defaults(),
		Membership: membership.Config{
			Fleet: "k", Name: "a", Bind: "192.0.2.1:7946", Seeds: []string{"192.0.2.1:7946"}},
		LatencyTargets: []time.Duration{time.Second}}
	if _, err := Start(t.Context(), cfg); err == nil {
		t.Error("started without an electorate")
	}
	cfg.Vote.Electorate.Members = []string{"a"}
	c, err := Start(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	c.ListChanged([]agent.Target{{ID: "x", State: "up", Weight: 1}})
	c.Close()
}
