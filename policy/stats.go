package policy

// BalancerStats holds a Balancer's view of the fleet, for reports. No decision depends on it.
type BalancerStats struct {
	LoadShedding float64 // fraction of the requests to reject because many are answered late
	Admission    float64 // fraction of the requests for which there is capacity
	Demand       float64 // load on the fleet if nothing were rejected
	Capacity     float64 // capacity of the listed servers
	Aperture     int     // number of servers that the agent uses
	Pending      int     // number of requests that wait for capacity
	Unhealthy    int     // number of servers that are UnhealthyPending or Unhealthy
	WarmingUp    int     // number of servers in slow start
	States       [4]int  // number of servers in each State
}

// Stats returns the Balancer's view of the fleet as of its last event.
func (b *Balancer) Stats() BalancerStats {
	b.survey()
	stats := BalancerStats{
		LoadShedding: b.admission.sheddingShare(),
		Admission:    b.admissionShare(),
		Demand:       b.admission.demand,
		Capacity:     b.currentCapacity(),
		Aperture:     len(b.aperture.servers),
		Pending:      len(b.pending),
		Unhealthy:    len(b.capacity.unhealthyServers),
		WarmingUp:    len(b.capacity.warmingUpServers),
	}
	for _, srv := range b.servers {
		stats.States[srv.state]++
	}
	return stats
}
