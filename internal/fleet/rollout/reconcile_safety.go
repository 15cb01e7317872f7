package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// loadDecayTime is the time constant by which a load fades: when servers
// crash, their load disappears only until it moves to others.
const loadDecayTime = time.Minute

// CapacityError explains why the servers of a region can't do without one of them.
type CapacityError struct {
	Server    string // the one to do without
	Spare     int    // further servers that may fail
	Region    string
	Available float64 // in units of capacity
	Required  float64
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("without %s and %d more, region %s has room for %.1f, and needs %.1f", e.Server, e.Spare, e.Region, e.Available, e.Required)
}

// ReplicaError names the groups that would have too few replicas without a server.
type ReplicaError struct {
	Groups int
	Worst  Shortage
}

func (e *ReplicaError) Error() string {
	if e.Groups == 1 {
		return e.Worst.String()
	}
	return fmt.Sprintf("%s, and %d more groups are short", e.Worst, e.Groups-1)
}

// updateRegionLoad brings the load of each region up to date.
func (r *reconciliation) updateRegionLoad() {
	fade := math.Exp(-float64(r.now-r.regionLoadAt) / float64(loadDecayTime))
	r.regionLoadAt = r.now
	current := map[string]float64{}
	for _, s := range r.observation.Servers {
		if s.State == registry.Ready {
			current[s.Region] += s.Utilization * s.Capacity
		}
	}
	for region, load := range r.regionLoad {
		current[region] = max(current[region], load*fade)
	}
	r.regionLoad = current
}

// effectiveCapacity is what a server does with its share; a slower revision does less.
func (r *reconciliation) effectiveCapacity(s *Server) float64 {
	capacity := s.Capacity * r.share(s)
	if s.Revision == r.record.Spec.To && r.verdict.LatencyRatio > 1 {
		capacity /= r.verdict.LatencyRatio
	}
	return capacity
}

// regionCapacity is the capacity of a region's servers without one of them: all together, and of the
// largest SpareServers.
func (r *reconciliation) regionCapacity(region, without string) (all, spare float64) {
	var capacities []float64
	for i := range r.observation.Servers {
		s := &r.observation.Servers[i]
		if s.Region == region && s.State == registry.Ready && s.ID != without && s.Healthy {
			capacities = append(capacities, r.effectiveCapacity(s))
		}
	}
	slices.Sort(capacities)
	for i, capacity := range capacities {
		all += capacity
		if len(capacities)-i <= r.record.Spec.Safety.SpareServers {
			spare += capacity
		}
	}
	return all, spare
}

// capacityShortage returns a *CapacityError if the servers of its region can't do without one.
func (r *reconciliation) capacityShortage(s *Server) error {
	all, spare := r.regionCapacity(s.Region, s.ID)
	safety := &r.record.Spec.Safety
	available := (all - spare) * safety.UsableCapacity
	required := max(r.regionLoad[s.Region], safety.PeakLoad*r.record.InitialCapacity[s.Region])
	if available >= required {
		return nil
	}
	return &CapacityError{Server: s.ID, Spare: safety.SpareServers, Region: s.Region, Available: available, Required: required}
}

// replicaShortage returns a *ReplicaError if groups of a server would have too few replicas without
// it or, with anyReplica, none at all.
func (r *reconciliation) replicaShortage(id string, anyReplica bool) error {
	if r.replicas == nil {
		r.replicas = r.serverReplicas()
	}
	replicas := r.observation.Reports.Replicas
	minRequests := replicas.expectedRequests(r.now, seconds(r.record.Spec.Safety.LiveSeconds))
	groups, worst := replicas.shortages(id, r.replicas, minRequests, anyReplica)
	if groups == 0 {
		return nil
	}
	if r.worstShortage.Group == "" || worst.missing() > r.worstShortage.missing() {
		r.worstShortage = worst
	}
	return &ReplicaError{Groups: groups, Worst: worst}
}

// serverReplicas is which servers may count as replicas, by the record.
func (r *reconciliation) serverReplicas() map[string]serverReplica {
	replicas := make(map[string]serverReplica, len(r.observation.Servers))
	for i := range r.observation.Servers {
		s := &r.observation.Servers[i]
		replicas[s.ID] = serverReplica{
			region:    s.Region,
			revisions: r.record.Spec.revisionSetOf(s.Revision),
			serves:    s.State == registry.Ready && s.Healthy && r.record.draining(s.ID) == nil && r.share(s) > 0,
		}
	}
	return replicas
}
