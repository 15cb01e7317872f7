package stalerouting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// site is a few members in simulated time, with links between them and an uplink.
type site struct {
	t       *testing.T
	now     time.Duration
	members []*Uplink
	down    []bool
	uplink  func(i int) bool // whether a member hears what lies outside
	links   func(from, to int) bool
	loss    float64
	rng     *rand.Rand
	last    []*Actions
	asks    [][]time.Duration
	boots   uint64
}

func newSite(t *testing.T, n int, change func(*Config)) *site {
	s := &site{t: t, uplink: func(int) bool { return true }, links: func(int, int) bool { return true }, rng: rand.New(rand.NewPCG(1, 2)),
		down: make([]bool, n), last: make([]*Actions, n), asks: make([][]time.Duration, n), members: make([]*Uplink, n)}
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
	s.boots++
	u, err := NewUplink(cfg, s.boots)
	if err != nil {
		s.t.Fatal(err)
	}
	u.SetRemoteAgents(s.now, []string{"x", "y", "z"})
	s.members[i], s.down[i] = u, false
}

// run lets time pass; discovery answers what it is asked where the uplink is there.
func (s *site) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		for i, u := range s.members {
			if s.down[i] {
				continue
			}
			out := u.Tick(s.now, 7)
			s.last[i] = out
			if out.QueryDiscovery {
				s.asks[i] = append(s.asks[i], s.now)
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
			s.t.Errorf("at %v member %d is %v, want %v (%v)", s.now, i, p, want, s.phases())
		}
	}
}

// A site whose uplink is lost finds out together within the bound, also where every fifth word
// is lost, and comes back by steps, asking discovery at different moments.
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
		for i := range s.asks {
			s.asks[i] = nil
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
		for i := range s.asks {
			if len(s.asks[i]) == 0 || len(s.asks[i]) > 2 {
				t.Errorf("%d members: %d asked discovery %d times at the return", n, i, len(s.asks[i]))
				continue
			}
			at[s.asks[i][0]]++
		}
		if n == 40 {
			for when, k := range at {
				if k > n/2 {
					t.Errorf("%d of %d asked at %v", k, n, when)
				}
			}
		}
	}
}

// One that is cut off alone, from outside and from its site, is no site; nor is one that hears
// its site, which does hear what lies outside.
func TestSinglePartitionedAgentIsNoIsolatedSite(t *testing.T) {
	s := newSite(t, 5, nil)
	s.run(5 * time.Second)
	s.uplink = func(i int) bool { return i != 2 }
	s.run(10 * time.Second)
	s.requirePhase(Connected)
	s.links = func(from, to int) bool { return from != 2 && to != 2 }
	s.run(10 * time.Second)
	s.requirePhase(Connected)
	// Two parts of a dark site: only the larger one may know it.
	s.uplink = func(int) bool { return false }
	s.links = func(from, to int) bool { return (from < 2) == (to < 2) }
	s.run(10 * time.Second)
	if got := s.phases(); !slices.Equal(got, []Phase{Connected, Connected, Isolated, Isolated, Isolated}) {
		t.Errorf("%v", got)
	}
}

// A member that hears something outside while the others do not goes on sending there.
func TestAgentWithSignalsIsNotIsolated(t *testing.T) {
	s := newSite(t, 5, nil)
	s.run(5 * time.Second)
	s.uplink = func(i int) bool { return i == 0 }
	s.run(10 * time.Second)
	if got := s.phases(); !slices.Equal(got, []Phase{Connected, Isolated, Isolated, Isolated, Isolated}) {
		t.Errorf("%v", got)
	}
	s.uplink = func(i int) bool { return i <= 1 } // another one finds its way out
	s.run(10 * time.Second)
	if got := s.phases(); !slices.Equal(got, []Phase{Connected, Connected, Isolated, Isolated, Isolated}) {
		t.Errorf("%v", got)
	}
}

// One that starts again during the loss takes the site's word as soon as it hears it; a whole
// site that does goes on at once if it kept that it was dark, and finds out anew if not.
func TestRestartsWhileIsolated(t *testing.T) {
	s := newSite(t, 5, nil)
	s.run(5 * time.Second)
	s.uplink = func(int) bool { return false }
	s.run(5 * time.Second)
	s.start(3, nil)
	s.run(time.Second)
	s.requirePhase(Isolated)
	for _, kept := range []bool{true, false} {
		for i := range s.members {
			s.start(i, func(c *Config) { c.WasIsolated = kept })
		}
		s.run(time.Second)
		if want := map[bool]Phase{true: Isolated, false: Connected}[kept]; s.last[0].Phase != want {
			t.Errorf("kept %v: %v a second after all started", kept, s.phases())
		}
		s.run(3 * time.Second)
		s.requirePhase(Isolated)
	}
	s.uplink = func(int) bool { return true }
	s.run(4 * time.Second)
	s.requirePhase(Connected)
}

// Members that were paused, all of a site or one of it, do not take their sleep for silence;
// an uplink that was lost meanwhile is found out all the same.
func TestPauseOfTheProcessIsNoSilence(t *testing.T) {
	for _, n := range []int{1, 3} {
		s := newSite(t, n, nil)
		s.run(5 * time.Second)
		for _, lost := range []bool{false, true} {
			s.now += 10 * time.Second // nobody ticks
			s.uplink = func(int) bool { return !lost }
			s.run(50 * time.Millisecond)
			s.requirePhase(Connected)
			s.run(4 * time.Second)
			s.requirePhase(map[bool]Phase{false: Connected, true: Isolated}[lost])
		}
	}
}

// What a member holds lapses by itself. Those that are left of a dark site stay dark while they
// hear nothing, for Hold, and come back by what they hear themselves.
func TestLastMembersOfAnIsolatedSite(t *testing.T) {
	for _, back := range []bool{true, false} {
		s := newSite(t, 5, func(c *Config) { c.MaxIsolation = time.Minute })
		s.run(5 * time.Second)
		s.uplink = func(int) bool { return false }
		s.run(5 * time.Second)
		if most := s.now + heartbeatsValid*500*time.Millisecond; s.last[4].Until > most {
			t.Errorf("holds until %v, at most until %v", s.last[4].Until, most)
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
	good := Heartbeat{Version: Version, From: "1", Incarnation: 4, Seq: 5, Isolated: true}
	if err := u.Receive(0, good); err != nil {
		t.Fatal(err)
	}
	for _, change := range []func(*Heartbeat){func(w *Heartbeat) { w.Version = 9 }, func(w *Heartbeat) { w.From = "" }, func(w *Heartbeat) { w.From = "9" },
		func(w *Heartbeat) { w.From = "0" }, func(w *Heartbeat) { w.Seq = 5 }, func(w *Heartbeat) { w.Seq = 4 }} {
		w := good
		change(&w)
		if err := u.Receive(0, w); err == nil {
			t.Errorf("%+v was taken", w)
		}
	}
	w := good
	w.Incarnation, w.Seq = 9, 1 // another life
	if err := u.Receive(0, w); err != nil {
		t.Error(err)
	}
	for key, change := range map[string]func(*Config){"beat": func(c *Config) { c.HeartbeatInterval = 0 }, "quiet": func(c *Config) { c.IsolationTimeout = c.HeartbeatInterval },
		"step": func(c *Config) { c.SlowStartStep = 0 }, "site": func(c *Config) { c.Members = nil }} {
		c := Defaults()
		c.Self, c.Members = "a", []string{"a"}
		change(&c)
		if _, err := NewUplink(c, 1); err == nil {
			t.Errorf("%s was taken", key)
		}
	}
}
