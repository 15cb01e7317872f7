package rollout

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// What the holder spends a second at the full size: 850 servers of which 24 move, 360 agents.
func BenchmarkReconcile(b *testing.B) {
	sp := defaultSpec()
	sp.Service, sp.Model, sp.From, sp.To, sp.Pace.AtOnce = "s", "m", 1, 2, 24
	rec, err := (&Record{}).Start(&sp)
	if err != nil {
		b.Fatal(err)
	}
	rec.Initialized, rec.InitialCapacity = true, map[string]float64{"r": 8500}
	f := &Observation{Reports: NewReportAggregator(rec)}
	sends := Sends{Buckets: map[string]map[string][]uint32{"r": {}}}
	for i := range 850 {
		s := Server{ID: fmt.Sprintf("s%04d", i), Addr: fmt.Sprint(i), Zone: "z", Region: "r", State: registry.Ready, Revision: 1, Capacity: 10, Utilization: 0.5, InFlight: -1, Healthy: true}
		if i < 12 {
			rec.Draining = append(rec.Draining, DrainingServer{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Step: DrainTenth})
		} else if i < 24 {
			s.Revision = 2
			rec.Ramping = append(rec.Ramping, RampingServer{ID: s.ID, Step: RampTenth})
		} else if i < 400 {
			s.Revision = 2
			rec.addFullShare(s.ID)
		}
		f.Servers = append(f.Servers, s)
		for k := range 100 {
			sends.Buckets["r"][s.ID] = append(sends.Buckets["r"][s.ID], uint32((i*37+k*41)%buckets)<<16|20)
		}
	}
	for i := range 360 {
		f.Agents = append(f.Agents, Agent{Source: fmt.Sprint("a", i), AppliedVersion: 1})
	}
	f.Reports.Tick(time.Hour)
	f.Reports.Replicas.Add(&sp, "r", &sends)
	m := NewController()
	m.Reconcile(time.Hour, rec, f)
	now := time.Hour
	for b.Loop() {
		now += time.Second
		m.Reconcile(now, rec, f)
	}
}
