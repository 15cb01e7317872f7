package zonefailover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is a few sites in simulated time, whose agents report what they would see.
type fleet struct {
	t     *testing.T
	m     *Machine
	now   time.Duration
	each  time.Duration // between ticks
	sites []string
	hosts map[string]int                 // of each zone
	sees  func(site, zone string) Health // what agents of a site see of a zone they send to
	heard func(site string) bool         // whether a site reaches the leader
	seq   uint64
	moves map[string][]time.Duration // when the share of a zone for others moved
	big   []time.Duration            // when one moved by a half or more
	most  float64                    // of the weight that was ever left by others
}

func newFleet(t *testing.T, cfg Config, sites ...string) *fleet {
	m, err := New(cfg, Table{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, m: m, each: 100 * time.Millisecond, sites: sites, hosts: map[string]int{}, moves: map[string][]time.Duration{},
		sees: func(_, _ string) Health { return Healthy }, heard: func(string) bool { return true }}
	for _, s := range sites {
		f.hosts[s] = 6
	}
	return f
}

// run lets time pass; of a zone that it does not send to a site sees nothing.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += f.each {
		for _, site := range f.sites {
			if !f.heard(site) {
				continue
			}
			for a := range 3 {
				f.seq++
				r := Report{Version: Version, Agent: fmt.Sprint(site, a), Site: site, Incarnation: 1, Seq: f.seq}
				for _, zone := range f.sites {
					s := ZoneReport{Zone: zone, Weight: float64(f.hosts[zone])}
					t := f.m.Table()
					if v := f.sees(site, zone); v != Unknown && t.Share(site, zone) > 0 {
						s.Observed = 4
						if v == Unhealthy {
							s.Unhealthy = 4
						}
					}
					r.Zones = append(r.Zones, s)
				}
				if err := f.m.Report(f.now, r); err != nil {
					f.t.Fatal(err)
				}
			}
		}
		was := f.m.Table()
		if next, changed := f.m.Tick(f.now); changed {
			f.m.Committed(next)
			left, all := 0.0, 0.0
			for _, z := range next.Zones {
				if old := was.Share("nowhere", z.Name); old != z.Remote.Share {
					f.moves[z.Name] = append(f.moves[z.Name], f.now)
					if math.Abs(old-z.Remote.Share) >= 0.5 {
						f.big = append(f.big, f.now)
					}
				}
				left += float64(f.hosts[z.Name]) * (1 - z.Remote.Share)
				all += float64(f.hosts[z.Name])
			}
			f.most = max(f.most, left/all)
		}
	}
}

func (f *fleet) share(site, zone string) float64 {
	t := f.m.Table()
	return t.Share(site, zone)
}

func (f *fleet) want(site, zone string, share float64) {
	f.t.Helper()
	if got := f.share(site, zone); got != share {
		f.t.Errorf("at %v %s uses %v of %s, want %v: %+v", f.now, site, got, zone, share, f.m.Table())
	}
}

// A zone that is lost to all is left by all, and comes back by steps.
func TestALostZone(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.run(5 * time.Second)
	f.want("a", "b", 1)
	f.sees = func(_, zone string) Health { return map[bool]Health{true: Unhealthy, false: Healthy}[zone == "b"] }
	f.run(time.Second)
	f.want("a", "b", 0)
	f.want("c", "b", 0)
	f.want("b", "b", 0)
	f.want("b", "a", 1)
	f.run(2 * time.Second)
	f.sees = func(_, _ string) Health { return Healthy }
	f.run(1900 * time.Millisecond)
	f.want("a", "b", 0)
	var seen []float64
	for range 60 {
		f.run(100 * time.Millisecond)
		if x := f.share("a", "b"); len(seen) == 0 || seen[len(seen)-1] != x {
			seen = append(seen, x)
		}
	}
	if fmt.Sprint(seen) != "[0 0.1 0.3 1]" {
		t.Errorf("shares %v", seen)
	}
	f.want("b", "b", 1)
}

// A zone that is cut off but healthy inside is left by those outside and kept by those inside,
// and not opened before its own agents are heard again.
func TestACutZone(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.run(5 * time.Second)
	f.sees = func(site, zone string) Health {
		return map[bool]Health{true: Unhealthy, false: Healthy}[(site == "b") != (zone == "b")]
	}
	f.heard = func(site string) bool { return site != "b" }
	f.run(time.Minute)
	f.want("a", "b", 0)
	f.want("b", "b", 1)
	if n := len(f.moves["b"]); n != 1 {
		t.Errorf("%d moves while it was cut off: %v", n, f.moves["b"])
	}
	f.sees, f.heard = func(_, _ string) Health { return Healthy }, func(string) bool { return true }
	f.run(6 * time.Second)
	f.want("a", "b", 1)
}

// Two of three zones, and half of four, are never left by others together beyond the bound;
// one site alone that sees all others bad, or is silent, moves nothing.
func TestBounds(t *testing.T) {
	for _, n := range []int{3, 4} {
		f := newFleet(t, Defaults(), strings.Split("abcd", "")[:n]...)
		f.run(5 * time.Second)
		f.sees = func(_, zone string) Health {
			return map[bool]Health{true: Unhealthy, false: Healthy}[zone == "a" || zone == "b"]
		}
		f.run(30 * time.Second)
		if f.most > 0.5 || f.most == 0 {
			t.Errorf("%d zones: %v of the weight was left, want some and at most 0.5", n, f.most)
		}
	}
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.run(5 * time.Second)
	f.sees = func(site, zone string) Health {
		return map[bool]Health{true: Unhealthy, false: Healthy}[site == "a" && zone != "a"]
	}
	f.run(20 * time.Second)
	f.heard = func(string) bool { return false }
	f.run(time.Minute)
	if f.m.Table().Number != 0 {
		t.Errorf("moved: %+v", f.m.Table())
	}
}

// A zone that comes and goes every 3 s is held out ever longer, so that traffic moves seldom:
// at most two changes of half a share or more in any minute.
func TestAFlappingZone(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.sees = func(_, zone string) Health {
		if zone == "b" && int(f.now/(3*time.Second))%2 == 1 {
			return Unhealthy
		}
		return Healthy
	}
	f.run(10 * time.Minute)
	for i, at := range f.big {
		if n := slices.IndexFunc(f.big[i:], func(x time.Duration) bool { return x >= at+time.Minute }); n > 2 || n < 0 && len(f.big)-i > 2 {
			t.Errorf("moves at %v", f.big)
		}
	}
	if z := f.m.line("b").Remote; z.Ejections < 3 || z.Ejections > 12 || z.EjectionTime != f.m.config.MaxEjectionTime {
		t.Errorf("after ten minutes: %+v", z)
	}
	f.sees = func(_, _ string) Health { return Healthy }
	f.run(3 * time.Minute)
	f.want("a", "b", 1)
}

// Whatever sites see and whoever is heard: the bound holds, a share is one of the steps, each
// table is the next number, and after all is well for long enough everything is used again.
func TestTheMachineAlwaysRecovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, Defaults(), "a", "b", "c")
		f.each = 400 * time.Millisecond
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		f.hosts["a"] = rapid.IntRange(1, 30).Draw(rt, "hosts of a")
		for range rapid.IntRange(1, 8).Draw(rt, "spells") {
			views, deaf := map[string]Health{}, f.sites[rng.IntN(3)]
			f.sees = func(site, zone string) Health {
				if _, ok := views[site+zone]; !ok {
					views[site+zone] = Health(rng.IntN(3))
				}
				return views[site+zone]
			}
			f.heard = func(site string) bool { return site != deaf }
			f.run(time.Duration(rng.IntN(15000)) * time.Millisecond)
		}
		if f.most > 0.5+1e-9 {
			rt.Fatalf("%v of the weight was left", f.most)
		}
		f.sees, f.heard = func(_, _ string) Health { return Healthy }, func(string) bool { return true }
		f.run(3 * time.Minute)
		for _, z := range f.m.Table().Zones {
			if z.Local.Share != 1 || z.Remote.Share != 1 {
				rt.Fatalf("%+v after three minutes without fault", z)
			}
		}
	})
}

// A new leader goes on from the table, and decides nothing before it can know who is there; a
// proposal that is not agreed on moves nothing.
func TestAnotherLeader(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.sees = func(_, zone string) Health { return map[bool]Health{true: Unhealthy, false: Healthy}[zone == "b"] }
	f.run(2 * time.Second)
	f.want("a", "b", 0)
	old := f.m
	m, err := New(Defaults(), old.Table())
	if err != nil {
		t.Fatal(err)
	}
	if _, changed := m.Tick(0); changed {
		t.Error("decided without a report")
	}
	f.m = m
	f.want("a", "b", 0)
	next, _ := old.Tick(time.Hour)
	if got := old.Table(); got.Number != m.Table().Number || next.Number > got.Number+1 {
		t.Errorf("%+v, %+v", got, next)
	}
	m.Committed(Table{Version: Version, Number: 1}) // an older one
	f.want("a", "b", 0)
}

func TestWhatMakesNoSense(t *testing.T) {
	m, err := New(Defaults(), Table{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	good := Report{Version: Version, Agent: "x", Site: "a", Incarnation: 1, Seq: 3, Zones: []ZoneReport{{Zone: "a", Observed: 2, Unhealthy: 1}}}
	if err := m.Report(0, good); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Report){"version": func(r *Report) { r.Version = 9 }, "agent": func(r *Report) { r.Agent = "" },
		"seq": func(r *Report) {}, "zones[0]": func(r *Report) { r.Zones = []ZoneReport{{Zone: "a", Observed: 1, Unhealthy: 2}} },
		"zones:": func(r *Report) { r.Zones = make([]ZoneReport, MaxZones+1) }} {
		r := good
		change(&r)
		if err := m.Report(0, r); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%v, want one that names %s", err, name)
		}
	}
	for _, bad := range []Table{{}, {Version: Version, Zones: []Zone{{Name: "a", Remote: Track{Share: 2}}}}, {Version: Version, Zones: make([]Zone, MaxZones+1)}} {
		if _, err := New(Defaults(), bad); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
	for key, change := range map[string]func(*Config){"hold": func(c *Config) { c.EjectionTime = 0 }, "most": func(c *Config) { c.MaxEjectedFraction = 1 }, "step": func(c *Config) { c.SlowStartStep = 0 }} {
		c := Defaults()
		change(&c)
		if _, err := New(c, Table{Version: Version}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v, want one that names %s", err, key)
		}
	}
}

// A zone is bad by most of its hosts, or by a quarter of all attempts where half of the hosts
// failed some; one host that fails all makes no zone bad, and little that was met says
// nothing.
func TestViews(t *testing.T) {
	for _, c := range []struct {
		s    ZoneReport
		want Health
	}{
		{ZoneReport{}, Unknown},
		{ZoneReport{Observed: 1, Attempts: 1}, Healthy},
		{ZoneReport{Observed: 1, Unhealthy: 1, Attempts: 3, Failures: 3}, Unknown},
		{ZoneReport{Observed: 2, Unhealthy: 2, Attempts: 2, Failures: 2}, Unhealthy},
		{ZoneReport{Observed: 8, Unhealthy: 2, WithFailures: 4, Attempts: 30, Failures: 10}, Unhealthy},
		{ZoneReport{Observed: 8, Unhealthy: 4, WithFailures: 4, Attempts: 7, Failures: 4}, Unknown},
		{ZoneReport{Observed: 8, Unhealthy: 1, WithFailures: 1, Attempts: 30, Failures: 9}, Unknown},
		{ZoneReport{Observed: 8, Unhealthy: 1, Attempts: 30, Failures: 2}, Healthy},
	} {
		if got := c.s.Health(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.s, got, c.want)
		}
	}
}

// Agents to whom all zones look bad are not heard, even where their sites are most.
func TestALostObserverIsNotHeard(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.sees = func(site, _ string) Health { return map[bool]Health{true: Healthy, false: Unhealthy}[site == "b"] }
	f.run(10 * time.Second)
	if f.m.Table().Number != 0 {
		t.Errorf("moved by those who see all bad: %+v", f.m.Table())
	}
}
