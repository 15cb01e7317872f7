package stalerouting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// site simulates a site of some members, with links between them and an uplink, in virtual time.
type site struct {
	t       *testing.T
	now     time.Duration
	members []*Uplink
	down    []bool                  // members that have stopped
	uplink  func(i int) bool        // whether the uplink works for a member
	links   func(from, to int) bool // whether the link between two members works
	loss    float64                 // fraction of the heartbeats that is lost
	rng     *rand.Rand
	last    []*Actions        // of the last tick of each member
	queries [][]time.Duration // times at which each member queried discovery
	starts  uint64            // number of member starts
}

func newSite(t *testing.T, n int, change func(*Config)) *site {
	s := &site{t: t, uplink: func(int) bool { return true }, links: func(int, int) bool { return true },
		rng:  rand.New(rand.NewPCG(1, 2)),
		down: make([]bool, n), last: make([]*Actions, n), queries: make([][]time.Duration, n),
		members: make([]*Uplink, n)}
	for i := range n {
		s.start(i, change)
	}
	return s
}

func (s *site) start(i int, change func(*Config)) {
	cfg := Defaults()
	cfg.Self, cfg.Seed = fmt.Sprint(i), uint64(i)
	for j := range s.members {
		cfg.Members = append(cfg.Members, fmt.Sprint(j))
	}
	if change != nil {
		change(&cfg)
	}
	s.starts++
	u, err := NewUplink(cfg, s.starts)
	if err != nil {
		s.t.Fatal(err)
	}
	u.SetRemoteAgents(s.now, []string{"x", "y", "z"})
	s.members[i], s.down[i] = u, false
}

// run advances the simulation. Discovery and agents of other sites answer members whose uplink works.
func (s *site) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		for i, u := range s.members {
			if s.down[i] {
				continue
			}
			out := u.Tick(s.now, 7)
			s.last[i] = out
			if out.QueryDiscovery {
				s.queries[i] = append(s.queries[i], s.now)
				if s.uplink(i) {
					u.Observe(s.now, DiscoveryAnswered)
				}
			}
			if len(out.Pings) > 0 && s.uplink(i) {
				u.Observe(s.now, PingAnswered)
			}
			for _, to := range out.Recipients {
				var j int
				fmt.Sscan(to, &j)
				if !s.down[j] && s.links(i, j) && s.rng.Float64() >= s.loss {
					_ = s.members[j].Receive(s.now, out.Heartbeat)
				}
			}
		}
	}
}

func (s *site) phases() (out []Phase) {
	for i, o := range s.last {
		if !s.down[i] {
			out = append(out, o.Phase)
		}
	}
	return out
}

func (s *site) requirePhase(want Phase) {
	s.t.Helper()
	for i, p := range s.phases() {
		if p != want {
			s.t.Errorf("at %v member %d is %v, want %v (all: %v)", s.now, i, p, want, s.phases())
		}
	}
}

// All members of a site detect the loss of its uplink within 3 s, even if a fifth of the heartbeats is lost.
// After the uplink is back they recover by a slow start and query discovery at different times.
func TestIsolatedSiteIsDetectedByMajority(t *testing.T) {
	for _, n := range []int{1, 2, 3, 40} {
		s := newSite(t, n, nil)
		s.loss = 0.2
		s.run(10 * time.Second)
		s.requirePhase(Connected)
		s.uplink = func(int) bool { return false }
		s.run(3 * time.Second)
		s.requirePhase(Isolated)
		for _, o := range s.last {
			if o.Share != 0 || o.Until <= s.now-50*time.Millisecond {
				t.Errorf("share %v until %v at %v", o.Share, o.Until, s.now)
			}
		}
		s.run(time.Minute)
		s.requirePhase(Isolated)
		for i := range s.queries {
			s.queries[i] = nil
		}
		s.uplink = func(int) bool { return true }
		s.run(time.Second)
		s.requirePhase(Recovering)
		var shares []float64
		for range 60 {
			s.run(50 * time.Millisecond)
			if x := s.last[0].Share; len(shares) == 0 || shares[len(shares)-1] != x {
				shares = append(shares, x)
			}
		}
		if !slices.Equal(shares, slowStartShares[:]) {
			t.Errorf("%d members: shares %v, want %v", n, shares, slowStartShares)
		}
		s.requirePhase(Connected)
		at := map[time.Duration]int{}
		for i := range s.queries {
			if len(s.queries[i]) == 0 || len(s.queries[i]) > 2 {
				t.Errorf("%d members: member %d queried discovery %d times during the recovery", n, i,
					len(s.queries[i]))
				continue
			}
			at[s.queries[i][0]]++
		}
		if n == 40 {
			for when, k := range at {
				if k > n/2 {
					t.Errorf("%d of %d members queried discovery at %v", k, n, when)
				}
			}
		}
	}
}

// A single member without the uplink does not treat the site as isolated, whether or not it is also
// partitioned off from the other members.
func TestSinglePartitionedAgentIsNoIsolatedSite(t *testing.T) {
	s := newSite(t, 5, nil)
	s.run(5 * time.Second)
	s.uplink = func(i int) bool { return i != 2 }
	s.run(10 * time.Second)
	s.requirePhase(Connected)
	s.links = func(from, to int) bool { return from != 2 && to != 2 }
	s.run(10 * time.Second)
	s.requirePhase(Connected)
	// In two partitions of an isolated site only the larger one has a majority to detect it.
	s.uplink = func(int) bool { return false }
	s.links = func(from, to int) bool { return (from < 2) == (to < 2) }
	s.run(10 * time.Second)
	if got := s.phases(); !slices.Equal(got, []Phase{Connected, Connected, Isolated, Isolated, Isolated}) {
		t.Errorf("%v", got)
	}
}

// A member with signals from outside stays connected while the others are isolated.
func TestAgentWithSignalsIsNotIsolated(t *testing.T) {
	s := newSite(t, 5, nil)
	s.run(5 * time.Second)
	s.uplink = func(i int) bool { return i == 0 }
	s.run(10 * time.Second)
	if got := s.phases(); !slices.Equal(got, []Phase{Connected, Isolated, Isolated, Isolated, Isolated}) {
		t.Errorf("%v", got)
	}
	s.uplink = func(i int) bool { return i <= 1 } // a second member has an uplink again
	s.run(10 * time.Second)
	if got := s.phases(); !slices.Equal(got, []Phase{Connected, Connected, Isolated, Isolated, Isolated}) {
		t.Errorf("%v", got)
	}
}

// A member that restarts while its site is isolated adopts that state from the heartbeats of the others. If
// all members restart, the site stays isolated if they stored that state, and detects it again otherwise.
func TestRestartsWhileIsolated(t *testing.T) {
	s := newSite(t, 5, nil)
	s.run(5 * time.Second)
	s.uplink = func(int) bool { return false }
	s.run(5 * time.Second)
	s.start(3, nil)
	s.run(time.Second)
	s.requirePhase(Isolated)
	for _, stored := range []bool{true, false} {
		for i := range s.members {
			s.start(i, func(c *Config) { c.WasIsolated = stored })
		}
		s.run(time.Second)
		if want := map[bool]Phase{true: Isolated, false: Connected}[stored]; s.last[0].Phase != want {
			t.Errorf("stored %v: %v one second after all members restarted", stored, s.phases())
		}
		s.run(3 * time.Second)
		s.requirePhase(Isolated)
	}
	s.uplink = func(int) bool { return true }
	s.run(4 * time.Second)
	s.requirePhase(Connected)
}

// Members that were paused do not count the pause as a time without signals. If the uplink was lost during
// the pause, they detect that afterwards.
func TestPauseIsNotCountedAsIsolation(t *testing.T) {
	for _, n := range []int{1, 3} {
		s := newSite(t, n, nil)
		s.run(5 * time.Second)
		for _, lost := range []bool{false, true} {
			s.now += 10 * time.Second // all members are paused
			s.uplink = func(int) bool { return !lost }
			s.run(50 * time.Millisecond)
			s.requirePhase(Connected)
			s.run(4 * time.Second)
			s.requirePhase(map[bool]Phase{false: Connected, true: Isolated}[lost])
		}
	}
}

// The share of a member expires by itself. If most members of an isolated site fail, the remaining ones stay
// isolated until MaxIsolation has passed or they have signals from outside themselves.
func TestLastMembersOfAnIsolatedSite(t *testing.T) {
	for _, back := range []bool{true, false} {
		s := newSite(t, 5, func(c *Config) { c.MaxIsolation = time.Minute })
		s.run(5 * time.Second)
		s.uplink = func(int) bool { return false }
		s.run(5 * time.Second)
		if limit := s.now + heartbeatsValid*500*time.Millisecond; s.last[4].Until > limit {
			t.Errorf("share valid until %v, want at most until %v", s.last[4].Until, limit)
		}
		s.down[0], s.down[1], s.down[2] = true, true, true
		s.run(50 * time.Second)
		s.requirePhase(Isolated)
		if back {
			s.uplink = func(int) bool { return true }
		}
		s.run(20 * time.Second)
		s.requirePhase(Connected)
	}
}

func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	s := newSite(t, 3, nil)
	u := s.members[0]
	valid := Heartbeat{Version: Version, From: "1", Incarnation: 4, Seq: 5, Isolated: true}
	if err := u.Receive(0, valid); err != nil {
		t.Fatal(err)
	}
	for _, change := range []func(*Heartbeat){func(h *Heartbeat) { h.Version = 9 },
		func(h *Heartbeat) { h.From = "" }, func(h *Heartbeat) { h.From = "9" },
		func(h *Heartbeat) { h.From = "0" }, func(h *Heartbeat) { h.Seq = 5 }, func(h *Heartbeat) { h.Seq = 4 }} {
		h := valid
		change(&h)
		if err := u.Receive(0, h); err == nil {
			t.Errorf("%+v was accepted", h)
		}
	}
	h := valid
	h.Incarnation, h.Seq = 9, 1 // of a new run
	if err := u.Receive(0, h); err != nil {
		t.Error(err)
	}
	for key, change := range map[string]func(*Config){"beat": func(c *Config) { c.HeartbeatInterval = 0 },
		"quiet": func(c *Config) { c.IsolationTimeout = c.HeartbeatInterval },
		"step":  func(c *Config) { c.SlowStartStep = 0 }, "site": func(c *Config) { c.Members = nil }} {
		c := Defaults()
		c.Self, c.Members = "a", []string{"a"}
		change(&c)
		if _, err := NewUplink(c, 1); err == nil {
			t.Errorf("an invalid value of %s was accepted", key)
		}
	}
}
