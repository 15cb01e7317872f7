package zonefailover

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Only demand beyond the capacity of its own zone leaves it, whatever demand and capacity are; no zone is
// used beyond its capacity while the total demand fits; zones of the region come first.
func TestDistribute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &trafficDemand{zones: []string{"a", "b", "c", "d"}, region: map[string]string{"a": "r", "b": "r", "c": "s"},
			demand: map[string]float64{}, localCapacity: map[string]float64{}, remoteCapacity: map[string]float64{}}
		demand, room, over := 0.0, 0.0, 0.0
		for _, z := range w.zones {
			w.localCapacity[z] = rapid.Float64Range(0, 10).Draw(t, "room of "+z)
			w.remoteCapacity[z] = w.localCapacity[z]
			w.demand[z] = rapid.Float64Range(0.01, 10).Draw(t, "demand of "+z)
			demand, room, over = demand+w.demand[z], room+w.localCapacity[z], over+max(w.demand[z]-w.localCapacity[z], 0)
		}
		crossing, filled := 0.0, map[string]float64{}
		for site, parts := range w.distribute() {
			sum := 0.0
			for z, x := range parts {
				if !(x >= 0) || math.IsInf(x, 0) {
					t.Fatalf("%s sends %v to %s", site, x, z)
				}
				sum += x
				filled[z] += x * w.demand[site]
				if z != site {
					crossing += x * w.demand[site]
				}
			}
			if room > 0 && math.Abs(sum-1) > 1e-9 {
				t.Fatalf("the parts of %s add up to %v", site, sum)
			}
		}
		if demand > room {
			return
		}
		if crossing > over+1e-6 {
			t.Fatalf("%v crosses, %v has no room at home", crossing, over)
		}
		for z, x := range filled {
			if x > w.localCapacity[z]+1e-6 {
				t.Fatalf("%s is filled to %v of %v", z, x, w.localCapacity[z])
			}
		}
	})
	w := &trafficDemand{zones: []string{"a", "b", "c"}, region: map[string]string{"a": "r", "b": "s", "c": "r"},
		demand: map[string]float64{"a": 6, "b": 1, "c": 1}, localCapacity: map[string]float64{"a": 4, "b": 4, "c": 2}}
	w.remoteCapacity = w.localCapacity
	if got := w.distribute()["a"]; math.Abs(got["a"]-4.0/6) > 1e-9 || math.Abs(got["c"]-1.0/6) > 1e-9 || math.Abs(got["b"]-1.0/6) > 1e-9 {
		t.Errorf("a of a region with c: %v", got)
	}
	w.remoteCapacity = map[string]float64{"a": 4, "b": 0, "c": 2} // b is left by others
	if got := w.distribute()["a"]; got["b"] != 0 || math.Abs(got["a"]+got["c"]-1) > 1e-9 {
		t.Errorf("b is left: %v", got)
	}
}

// Shares move step by step towards their targets, with a pause between two steps, and do not move while
// demand is steady. The shares of a site that no longer reports stay.
func TestTrafficSharesMoveGradually(t *testing.T) {
	m, err := New(Defaults(), Table{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	now, seq, util, rates := time.Duration(0), uint64(0), 0.5, map[string]float64{"a": 100, "b": 100, "c": 100}
	var moves []time.Duration
	jumps := false // a zone is left, or back
	run := func(d time.Duration) {
		for end := now + d; now < end; now += 100 * time.Millisecond {
			seq++
			for site, rate := range rates {
				r := Report{Version: Version, Agent: site, Site: site, Incarnation: 1, Seq: seq, Rate: rate}
				for _, z := range []string{"a", "b", "c"} {
					r.Zones = append(r.Zones, ZoneReport{Zone: z, Weight: 10, Observed: 4, Utilization: util, UtilizationSamples: 3})
				}
				if err := m.Report(now, r); err != nil {
					t.Fatal(err)
				}
			}
			was := m.Table()
			if next, changed := m.Tick(now); changed {
				for _, p := range next.TrafficShares {
					if is, known := was.TrafficShare(p.Site, p.Zone); known && !jumps && math.Abs(is-p.Share) > maxShareChange+1e-9 {
						t.Fatalf("%+v from %v in one step", p, is)
					}
				}
				moves = append(moves, now)
				m.Committed(next)
			}
		}
	}
	home := func(site string) float64 {
		table := m.Table()
		x, _ := table.TrafficShare(site, site)
		return x
	}
	run(30 * time.Second)
	if home("a") < 0.94 || home("b") < 0.94 {
		t.Errorf("%v of a's stay at home, where there is room for all", home("a"))
	}
	for i := range moves[1:] {
		if moves[i+1]-moves[i] < m.config.SlowStartStep {
			t.Errorf("moves at %v", moves)
		}
	}
	moves = nil
	rates["a"], rates["b"], rates["c"] = 103, 98, 101
	run(30 * time.Second)
	if len(moves) != 0 {
		t.Errorf("moves in calm: %v", moves)
	}
	rates["a"], rates["b"], rates["c"] = 200, 50, 50 // demand of 10 of weight 10, filled to 7.5
	run(30 * time.Second)
	if x := home("a"); math.Abs(x-0.75) > 0.06 {
		t.Errorf("%v of a's stay at home, 0.75 is its room", x)
	}
	// Where all together want more than there is room for nothing is decided, at once, and not
	// again before there is some to spare.
	rates["a"], rates["b"], rates["c"] = 100, 100, 100
	util = 0.8
	run(200 * time.Millisecond)
	if n := len(m.Table().TrafficShares); n != 0 {
		t.Errorf("%d parts while all are over their room", n)
	}
	util = 0.7
	run(10 * time.Second)
	if n := len(m.Table().TrafficShares); n != 0 {
		t.Errorf("%d parts again at the brim", n)
	}
	util = 0.5
	run(30 * time.Second)
	if home("b") < 0.94 {
		t.Errorf("%v of b's stay at home when there is room again", home("b"))
	}
	rates["a"], rates["b"], rates["c"] = 200, 50, 50
	run(30 * time.Second)
	// A zone that is left gets nothing at once, whatever the step.
	jumps = true
	m.table.Zones[1].Remote = Track{EjectionTime: time.Hour}
	run(m.config.SlowStartStep + 200*time.Millisecond)
	if table := m.Table(); true {
		if x, _ := table.TrafficShare("a", "b"); x != 0 {
			t.Errorf("%v of a's go to b, which is left", x)
		}
	}
	m.table.Zones[1].Remote = Track{Share: 1}
	// The own one, too, which had more than a step.
	m.table.Zones[0].Local = Track{EjectionTime: time.Hour}
	run(m.config.SlowStartStep + 200*time.Millisecond)
	if x := home("a"); x != 0 {
		t.Errorf("%v of a's stay in their zone, which its agents have left", x)
	}
	m.table.Zones[0].Local = Track{Share: 1}
	run(30 * time.Second)
	delete(rates, "a")
	run(time.Minute)
	if x := home("a"); math.Abs(x-0.75) > 0.06 {
		t.Errorf("%v once it is not heard", x)
	}
	if table := m.Table(); table.Validate() != nil {
		t.Error(table.Validate())
	}
}
