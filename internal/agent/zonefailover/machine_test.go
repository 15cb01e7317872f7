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

// fleet simulates the reports of the agents of a few sites in virtual time.
type fleet struct {
	t              *testing.T
	machine        *Machine
	now            time.Duration
	tickInterval   time.Duration // time between ticks
	sites          []string
	hosts          map[string]int                 // number of hosts by zone
	observedHealth func(site, zone string) Health // health of a zone as the agents of a site observe it
	reaches        func(site string) bool         // whether the reports of a site reach the leader
	seq            uint64
	shareChanges   map[string][]time.Duration // times of the changes of a zone's remote share, by zone
	largeChanges   []time.Duration            // times of the changes of any remote share by a half or more
	maxEjected     float64                    // largest fraction of the weight that was ejected for remote agents
}

// newFleet returns a fleet of healthy sites, each with one zone of six hosts.
func newFleet(t *testing.T, cfg Config, sites ...string) *fleet {
	m, err := New(cfg, Table{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, machine: m, tickInterval: 100 * time.Millisecond, sites: sites, hosts: map[string]int{},
		shareChanges:   map[string][]time.Duration{},
		observedHealth: func(_, _ string) Health { return Healthy }, reaches: func(string) bool { return true }}
	for _, s := range sites {
		f.hosts[s] = 6
	}
	return f
}

// run advances the time by d. A site has no observations of a zone that it does not use.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += f.tickInterval {
		for _, site := range f.sites {
			if !f.reaches(site) {
				continue
			}
			for a := range 3 {
				f.seq++
				r := Report{Version: Version, Agent: fmt.Sprint(site, a), Site: site, Incarnation: 1, Seq: f.seq}
				for _, zone := range f.sites {
					s := ZoneReport{Zone: zone, Weight: float64(f.hosts[zone])}
					t := f.machine.Table()
					if v := f.observedHealth(site, zone); v != Unknown && t.Share(site, zone) > 0 {
						s.Observed = 4
						if v == Unhealthy {
							s.Unhealthy = 4
						}
					}
					r.Zones = append(r.Zones, s)
				}
				if err := f.machine.Report(f.now, r); err != nil {
					f.t.Fatal(err)
				}
			}
		}
		before := f.machine.Table()
		if next, changed := f.machine.Tick(f.now); changed {
			f.machine.Committed(next)
			ejected, total := 0.0, 0.0
			for _, z := range next.Zones {
				if old := before.Share("nowhere", z.Name); old != z.Remote.Share {
					f.shareChanges[z.Name] = append(f.shareChanges[z.Name], f.now)
					if math.Abs(old-z.Remote.Share) >= 0.5 {
						f.largeChanges = append(f.largeChanges, f.now)
					}
				}
				ejected += float64(f.hosts[z.Name]) * (1 - z.Remote.Share)
				total += float64(f.hosts[z.Name])
			}
			f.maxEjected = max(f.maxEjected, ejected/total)
		}
	}
}

// share returns the share of a zone that the agents of a site use.
func (f *fleet) share(site, zone string) float64 {
	t := f.machine.Table()
	return t.Share(site, zone)
}

// requireShare reports an error if the share of a zone that the agents of a site use differs.
func (f *fleet) requireShare(site, zone string, share float64) {
	f.t.Helper()
	if got := f.share(site, zone); got != share {
		f.t.Errorf("at %v %s uses %v of %s, want %v: %+v", f.now, site, got, zone, share, f.machine.Table())
	}
}

// A zone that all sites see unhealthy is ejected for all, and returns by a slow start.
func TestUnreachableZoneIsEjected(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.run(5 * time.Second)
	f.requireShare("a", "b", 1)
	f.observedHealth = func(_, zone string) Health {
		return map[bool]Health{true: Unhealthy, false: Healthy}[zone == "b"]
	}
	f.run(time.Second)
	f.requireShare("a", "b", 0)
	f.requireShare("c", "b", 0)
	f.requireShare("b", "b", 0)
	f.requireShare("b", "a", 1)
	f.run(2 * time.Second)
	f.observedHealth = func(_, _ string) Health { return Healthy }
	f.run(1900 * time.Millisecond)
	f.requireShare("a", "b", 0)
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
	f.requireShare("b", "b", 1)
}

// A zone that is partitioned off but healthy inside is ejected for remote agents and used by local ones,
// and does not return before its own agents report again.
func TestPartitionedZoneIsKeptLocally(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.run(5 * time.Second)
	f.observedHealth = func(site, zone string) Health {
		return map[bool]Health{true: Unhealthy, false: Healthy}[(site == "b") != (zone == "b")]
	}
	f.reaches = func(site string) bool { return site != "b" }
	f.run(time.Minute)
	f.requireShare("a", "b", 0)
	f.requireShare("b", "b", 1)
	if n := len(f.shareChanges["b"]); n != 1 {
		t.Errorf("%d changes while it was partitioned: %v", n, f.shareChanges["b"])
	}
	f.observedHealth, f.reaches = func(_, _ string) Health { return Healthy }, func(string) bool { return true }
	f.run(6 * time.Second)
	f.requireShare("a", "b", 1)
}

// If two of three or two of four zones are unhealthy, the weight ejected for remote agents stays within the cap. A
// single site that sees all others unhealthy changes nothing, and neither does the absence of all reports.
func TestEjectionCap(t *testing.T) {
	for _, n := range []int{3, 4} {
		f := newFleet(t, Defaults(), strings.Split("abcd", "")[:n]...)
		f.run(5 * time.Second)
		f.observedHealth = func(_, zone string) Health {
			return map[bool]Health{true: Unhealthy, false: Healthy}[zone == "a" || zone == "b"]
		}
		f.run(30 * time.Second)
		if f.maxEjected > 0.5 || f.maxEjected == 0 {
			t.Errorf("%d zones: %v of the weight was ejected, want some and at most 0.5", n, f.maxEjected)
		}
	}
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.run(5 * time.Second)
	f.observedHealth = func(site, zone string) Health {
		return map[bool]Health{true: Unhealthy, false: Healthy}[site == "a" && zone != "a"]
	}
	f.run(20 * time.Second)
	f.reaches = func(string) bool { return false }
	f.run(time.Minute)
	if f.machine.Table().Number != 0 {
		t.Errorf("the table changed: %+v", f.machine.Table())
	}
}

// A zone that flaps every 3 s stays ejected longer each time, so that traffic moves rarely: at most two
// changes of half a share or more in any minute.
func TestFlappingZoneStaysEjectedLonger(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.observedHealth = func(_, zone string) Health {
		if zone == "b" && int(f.now/(3*time.Second))%2 == 1 {
			return Unhealthy
		}
		return Healthy
	}
	f.run(10 * time.Minute)
	for i, at := range f.largeChanges {
		// n is the number of large changes in the minute from at, or -1 if there is none after that minute.
		if n := slices.IndexFunc(f.largeChanges[i:], func(x time.Duration) bool {
			return x >= at+time.Minute
		}); n > 2 || n < 0 && len(f.largeChanges)-i > 2 {
			t.Errorf("large changes at %v, want at most two in a minute", f.largeChanges)
		}
	}
	if z := f.machine.zone("b").Remote; z.Ejections < 3 || z.Ejections > 12 ||
		z.EjectionTime != f.machine.config.MaxEjectionTime {
		t.Errorf("after ten minutes: %+v", z)
	}
	f.observedHealth = func(_, _ string) Health { return Healthy }
	f.run(3 * time.Minute)
	f.requireShare("a", "b", 1)
}

// Whatever the sites observe and whichever of them can report, the cap is never exceeded. Once everything has been
// healthy for long enough, all zones are fully used again.
func TestEveryZoneReturns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, Defaults(), "a", "b", "c")
		f.tickInterval = 400 * time.Millisecond
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		f.hosts["a"] = rapid.IntRange(1, 30).Draw(rt, "hosts of a")
		for range rapid.IntRange(1, 8).Draw(rt, "spells") {
			observed, silent := map[string]Health{}, f.sites[rng.IntN(3)]
			f.observedHealth = func(site, zone string) Health {
				if _, ok := observed[site+zone]; !ok {
					observed[site+zone] = Health(rng.IntN(3))
				}
				return observed[site+zone]
			}
			f.reaches = func(site string) bool { return site != silent }
			f.run(time.Duration(rng.IntN(15000)) * time.Millisecond)
		}
		if f.maxEjected > 0.5+1e-9 {
			rt.Fatalf("%v of the weight was ejected", f.maxEjected)
		}
		f.observedHealth, f.reaches = func(_, _ string) Health { return Healthy }, func(string) bool { return true }
		f.run(3 * time.Minute)
		for _, z := range f.machine.Table().Zones {
			if z.Local.Share != 1 || z.Remote.Share != 1 {
				rt.Fatalf("%+v after three minutes in which all zones were healthy", z)
			}
		}
	})
}

// A new leader continues from the table and decides nothing without reports. A proposal that is not
// committed changes nothing.
func TestNewLeaderContinues(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.observedHealth = func(_, zone string) Health {
		return map[bool]Health{true: Unhealthy, false: Healthy}[zone == "b"]
	}
	f.run(2 * time.Second)
	f.requireShare("a", "b", 0)
	old := f.machine
	m, err := New(Defaults(), old.Table())
	if err != nil {
		t.Fatal(err)
	}
	if _, changed := m.Tick(0); changed {
		t.Error("decided without a report")
	}
	f.machine = m
	f.requireShare("a", "b", 0)
	next, _ := old.Tick(time.Hour)
	if got := old.Table(); got.Number != m.Table().Number || next.Number > got.Number+1 {
		t.Errorf("%+v, %+v", got, next)
	}
	m.Committed(Table{Version: Version, Number: 1}) // older than the current table
	f.requireShare("a", "b", 0)
}

func TestInvalidInputIsRejected(t *testing.T) {
	m, err := New(Defaults(), Table{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	good := Report{Version: Version, Agent: "x", Site: "a", Incarnation: 1, Seq: 3,
		Zones: []ZoneReport{{Zone: "a", Observed: 2, Unhealthy: 1}}}
	if err := m.Report(0, good); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Report){
		"version":  func(r *Report) { r.Version = 9 },
		"agent":    func(r *Report) { r.Agent = "" },
		"seq":      func(r *Report) {},
		"zones[0]": func(r *Report) { r.Zones = []ZoneReport{{Zone: "a", Observed: 1, Unhealthy: 2}} },
		"zones:":   func(r *Report) { r.Zones = make([]ZoneReport, MaxZones+1) },
	} {
		r := good
		change(&r)
		if err := m.Report(0, r); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%v, want one that names %s", err, name)
		}
	}
	for _, bad := range []Table{{}, {Version: Version, Zones: []Zone{{Name: "a", Remote: Track{Share: 2}}}},
		{Version: Version, Zones: make([]Zone, MaxZones+1)}} {
		if _, err := New(Defaults(), bad); err == nil {
			t.Errorf("%+v was accepted", bad)
		}
	}
	for key, change := range map[string]func(*Config){
		"hold": func(c *Config) { c.EjectionTime = 0 },
		"most": func(c *Config) { c.MaxEjectedFraction = 1 },
		"step": func(c *Config) { c.SlowStartStep = 0 },
	} {
		c := Defaults()
		change(&c)
		if _, err := New(c, Table{Version: Version}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v, want one that names %s", err, key)
		}
	}
}

// A zone is unhealthy if most of its hosts are, or if a quarter of all attempts failed and half of the hosts had a
// failure. One failing host does not make a zone unhealthy. With few observations the health is unknown.
func TestZoneHealth(t *testing.T) {
	for _, c := range []struct {
		report ZoneReport
		want   Health
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
		if got := c.report.Health(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.report, got, c.want)
		}
	}
}

// Reports of agents that see all zones unhealthy are ignored, even if their sites are the majority.
func TestObserverThatSeesAllUnhealthyIsIgnored(t *testing.T) {
	f := newFleet(t, Defaults(), "a", "b", "c")
	f.observedHealth = func(site, _ string) Health {
		return map[bool]Health{true: Healthy, false: Unhealthy}[site == "b"]
	}
	f.run(10 * time.Second)
	if f.machine.Table().Number != 0 {
		t.Errorf("changed by observers that see all unhealthy: %+v", f.machine.Table())
	}
}
