package policy

// BalancerStats is what a Balancer believes of the fleet, for reports; no decision depends on it.
type BalancerStats struct {
	LoadShedding float64 // part of the requests rejected because many are answered late
	Admission    float64 // part of the requests for which there is capacity
	Demand       float64 // load if nothing were rejected, and
	Capacity     float64 // of the listed servers, both in warm servers of weight one
	Aperture     int     // servers that the agent uses
	Pending      int     // requests that wait for capacity
	Unhealthy    int     // servers, pending ones included
	WarmingUp    int     // servers in slow start
	States       [4]int  // servers in each State
}

// Stats is what the Balancer believes at its last event.
func (b *Balancer) Stats() BalancerStats {
	b.survey()
	stats := BalancerStats{
		LoadShedding: b.admission.sheddingShare(),
		Admission:    b.admissionShare(),
		Demand:       b.admission.demand,
		Capacity:     b.currentCapacity(),
		Aperture:     len(b.aperture.servers),
		Pending:      len(b.pending),
		Unhealthy:    len(b.capacity.unhealthy),
		WarmingUp:    len(b.capacity.warmingUp),
	}
	for _, srv := range b.servers {
		stats.States[srv.state]++
	}
	return stats
}
