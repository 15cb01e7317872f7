package zonefailover

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any demand and capacity, only the demand that exceeds the capacity of a site's own zone goes to other zones. No
// zone is used beyond its capacity as long as the total demand does not exceed the total capacity. Zones of the
// same region are used first.
func TestDistribute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := &trafficDemand{zones: []string{"a", "b", "c", "d"},
			region:     map[string]string{"a": "r", "b": "r", "c": "s"},
			siteDemand: map[string]float64{}, localCapacity: map[string]float64{}, remoteCapacity: map[string]float64{}}
		totalDemand, totalCapacity, totalOverflow := 0.0, 0.0, 0.0
		for _, z := range demand.zones {
			demand.localCapacity[z] = rapid.Float64Range(0, 10).Draw(t, "capacity of "+z)
			demand.remoteCapacity[z] = demand.localCapacity[z]
			demand.siteDemand[z] = rapid.Float64Range(0.01, 10).Draw(t, "demand of "+z)
			totalDemand, totalCapacity, totalOverflow =
				totalDemand+demand.siteDemand[z], totalCapacity+demand.localCapacity[z],
				totalOverflow+max(demand.siteDemand[z]-demand.localCapacity[z], 0)
		}
		crossZone, used := 0.0, map[string]float64{}
		for site, shares := range demand.distribute() {
			sum := 0.0
			for z, share := range shares {
				if !(share >= 0) || math.IsInf(share, 0) {
					t.Fatalf("%s sends %v to %s", site, share, z)
				}
				sum += share
				used[z] += share * demand.siteDemand[site]
				if z != site {
					crossZone += share * demand.siteDemand[site]
				}
			}
			if totalCapacity > 0 && math.Abs(sum-1) > 1e-9 {
				t.Fatalf("the shares of %s add up to %v", site, sum)
			}
		}
		if totalDemand > totalCapacity {
			return
		}
		if crossZone > totalOverflow+1e-6 {
			t.Fatalf("cross-zone traffic is %v, only %v exceeds the capacity of its own zone", crossZone, totalOverflow)
		}
		for z, x := range used {
			if x > demand.localCapacity[z]+1e-6 {
				t.Fatalf("%s gets %v, its capacity is %v", z, x, demand.localCapacity[z])
			}
		}
	})
	demand := &trafficDemand{zones: []string{"a", "b", "c"}, region: map[string]string{"a": "r", "b": "s", "c": "r"},
		siteDemand:    map[string]float64{"a": 6, "b": 1, "c": 1},
		localCapacity: map[string]float64{"a": 4, "b": 4, "c": 2}}
	demand.remoteCapacity = demand.localCapacity
	if got := demand.distribute()["a"]; math.Abs(got["a"]-4.0/6) > 1e-9 || math.Abs(got["c"]-1.0/6) > 1e-9 ||
		math.Abs(got["b"]-1.0/6) > 1e-9 {
		t.Errorf("shares of a, in one region with c: %v", got)
	}
	demand.remoteCapacity = map[string]float64{"a": 4, "b": 0, "c": 2} // b is ejected for remote agents
	if got := demand.distribute()["a"]; got["b"] != 0 || math.Abs(got["a"]+got["c"]-1) > 1e-9 {
		t.Errorf("shares of a while b is ejected: %v", got)
	}
}

// Shares move towards their targets in steps, at least SlowStartStep apart, and don't move while demand is steady. The
// shares of a site that no longer reports stay unchanged.
func TestTrafficSharesMoveGradually(t *testing.T) {
	m, err := New(Defaults(), Table{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	now, seq, utilization, rates := time.Duration(0), uint64(0), 0.5, map[string]float64{"a": 100, "b": 100, "c": 100}
	var changes []time.Duration // times of the decisions
	unlimitedChange := false    // whether a zone was ejected or returns, so that shares may jump
	run := func(d time.Duration) {
		for end := now + d; now < end; now += 100 * time.Millisecond {
			seq++
			for site, rate := range rates {
				r := Report{Version: Version, Agent: site, Site: site, Incarnation: 1, Seq: seq, Rate: rate}
				for _, z := range []string{"a", "b", "c"} {
					r.Zones = append(r.Zones, ZoneReport{Zone: z, Weight: 10, Observed: 4, Utilization: utilization,
						UtilizationSamples: 3})
				}
				if err := m.Report(now, r); err != nil {
					t.Fatal(err)
				}
			}
			before := m.Table()
			if next, changed := m.Tick(now); changed {
				for _, s := range next.TrafficShares {
					if old, known := before.TrafficShare(s.Site, s.Zone); known && !unlimitedChange &&
						math.Abs(old-s.Share) > maxShareChange+1e-9 {
						t.Fatalf("%+v from %v in one step", s, old)
					}
				}
				changes = append(changes, now)
				m.Committed(next)
			}
		}
	}
	localShare := func(site string) float64 {
		table := m.Table()
		share, _ := table.TrafficShare(site, site)
		return share
	}
	run(30 * time.Second)
	if localShare("a") < 0.94 || localShare("b") < 0.94 {
		t.Errorf("local share of a is %v, want nearly 1 as the capacity suffices", localShare("a"))
	}
	for i := range changes[1:] {
		if changes[i+1]-changes[i] < m.config.SlowStartStep {
			t.Errorf("changes less than SlowStartStep apart: %v", changes)
		}
	}
	changes = nil
	rates["a"], rates["b"], rates["c"] = 103, 98, 101
	run(30 * time.Second)
	if len(changes) != 0 {
		t.Errorf("changes while demand was steady: %v", changes)
	}
	rates["a"], rates["b"], rates["c"] = 200, 50, 50 // a's demand is 10; its capacity is 7.5 of weight 10
	run(30 * time.Second)
	if x := localShare("a"); math.Abs(x-0.75) > 0.06 {
		t.Errorf("local share of a is %v, want about 0.75", x)
	}
	// When the total demand exceeds the capacity, the shares are removed at once. They are decided again only when
	// demand is clearly below the capacity.
	rates["a"], rates["b"], rates["c"] = 100, 100, 100
	utilization = 0.8
	run(200 * time.Millisecond)
	if n := len(m.Table().TrafficShares); n != 0 {
		t.Errorf("%d shares while demand exceeds capacity, want none", n)
	}
	utilization = 0.7
	run(10 * time.Second)
	if n := len(m.Table().TrafficShares); n != 0 {
		t.Errorf("%d shares while demand is just below capacity, want none", n)
	}
	utilization = 0.5
	run(30 * time.Second)
	if localShare("b") < 0.94 {
		t.Errorf("local share of b is %v, want nearly 1 as the capacity suffices again", localShare("b"))
	}
	rates["a"], rates["b"], rates["c"] = 200, 50, 50
	run(30 * time.Second)
	// The share of a zone that is ejected drops to 0 at once, even if that exceeds maxShareChange.
	unlimitedChange = true
	m.table.Zones[1].Remote = Track{EjectionTime: time.Hour}
	run(m.config.SlowStartStep + 200*time.Millisecond)
	if table := m.Table(); true {
		if share, _ := table.TrafficShare("a", "b"); share != 0 {
			t.Errorf("share of b in a's traffic is %v while b is ejected, want 0", share)
		}
	}
	m.table.Zones[1].Remote = Track{Share: 1}
	// The same holds for a's own zone, whose share was larger than maxShareChange.
	m.table.Zones[0].Local = Track{EjectionTime: time.Hour}
	run(m.config.SlowStartStep + 200*time.Millisecond)
	if x := localShare("a"); x != 0 {
		t.Errorf("local share of a is %v while its zone is ejected for its own agents, want 0", x)
	}
	m.table.Zones[0].Local = Track{Share: 1}
	run(30 * time.Second)
	delete(rates, "a")
	run(time.Minute)
	if x := localShare("a"); math.Abs(x-0.75) > 0.06 {
		t.Errorf("local share of a is %v after it stopped reporting, want about 0.75", x)
	}
	if table := m.Table(); table.Validate() != nil {
		t.Error(table.Validate())
	}
}
