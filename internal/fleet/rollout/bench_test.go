package rollout

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// BenchmarkReconcile measures the lease holder's work per second at full size: 850 servers, of which 24
// are being drained or ramped up, and 360 agents.
func BenchmarkReconcile(b *testing.B) {
	spec := defaultSpec()
	spec.Service, spec.Model, spec.From, spec.To, spec.Pace.AtOnce = "s", "m", 1, 2, 24
	record, err := (&Record{}).Start(&spec)
	if err != nil {
		b.Fatal(err)
	}
	record.Initialized, record.InitialCapacity = true, map[string]float64{"r": 8500}
	observation := &Observation{Reports: NewReportAggregator(record)}
	sends := Sends{Buckets: map[string]map[string][]uint32{"r": {}}}
	for i := range 850 {
		s := Server{ID: fmt.Sprintf("s%04d", i), Addr: fmt.Sprint(i), Zone: "z", Region: "r", State: registry.Ready, Revision: 1, Capacity: 10, Utilization: 0.5, InFlight: -1, Healthy: true}
		if i < 12 {
			record.Draining = append(record.Draining, DrainingServer{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Step: DrainTenth})
		} else if i < 24 {
			s.Revision = 2
			record.Ramping = append(record.Ramping, RampingServer{ID: s.ID, Step: RampTenth})
		} else if i < 400 {
			s.Revision = 2
			record.addFullShare(s.ID)
		}
		observation.Servers = append(observation.Servers, s)
		for k := range 100 {
			sends.Buckets["r"][s.ID] = append(sends.Buckets["r"][s.ID], packBucket(uint16((i*37+k*41)%buckets), 20))
		}
	}
	for i := range 360 {
		observation.Agents = append(observation.Agents, Agent{Source: fmt.Sprint("a", i), AppliedVersion: 1})
	}
	observation.Reports.Tick(time.Hour)
	observation.Reports.Replicas.Add(&spec, "r", &sends)
	controller := NewController()
	controller.Reconcile(time.Hour, record, observation)
	now := time.Hour
	for b.Loop() {
		now += time.Second
		controller.Reconcile(now, record, observation)
	}
}
