package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// loadDecayTime is the time constant by which a region's recorded load decays. A drop of the load is
// not taken at face value at once: when servers crash, their load is missing only until it moves to
// others.
const loadDecayTime = time.Minute

// CapacityError explains why a region lacks the capacity to drain one of its servers.
type CapacityError struct {
	Server    string // the server to drain
	Spare     int    // number of further servers whose failure must be tolerable
	Region    string
	Available float64 // usable capacity without these servers
	Required  float64 // capacity
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("without %s and %d more, region %s has room for %.1f, and needs %.1f", e.Server, e.Spare, e.Region, e.Available, e.Required)
}

// ReplicaError explains that groups would have too few replicas without a server.
type ReplicaError struct {
	Groups int      // number of these groups
	Worst  Shortage // the group that lacks the most replicas
}

func (e *ReplicaError) Error() string {
	if e.Groups == 1 {
		return e.Worst.String()
	}
	return fmt.Sprintf("%s, and %d more groups are short", e.Worst, e.Groups-1)
}

// updateRegionLoad updates the load of each region: the higher of the current load and the decayed
// earlier one.
func (r *reconciliation) updateRegionLoad() {
	decay := math.Exp(-float64(r.now-r.regionLoadAt) / float64(loadDecayTime))
	r.regionLoadAt = r.now
	currentLoad := map[string]float64{}
	for _, s := range r.observation.Servers {
		if s.State == registry.Ready {
			currentLoad[s.Region] += s.Utilization * s.Capacity
		}
	}
	for region, load := range r.regionLoad {
		currentLoad[region] = max(currentLoad[region], load*decay)
	}
	r.regionLoad = currentLoad
}

// effectiveCapacity returns a server's capacity, reduced by its share and, for the new revision, by the
// ratio of latencies if it is slower.
func (r *reconciliation) effectiveCapacity(s *Server) float64 {
	capacity := s.Capacity * r.share(s)
	if s.Revision == r.record.Spec.To && r.verdict.LatencyRatio > 1 {
		capacity /= r.verdict.LatencyRatio
	}
	return capacity
}

// regionCapacity returns the effective capacity of a region's healthy servers without one of them: of
// all of them, and of the SpareServers largest ones.
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

// capacityShortage returns a *CapacityError if the region's other servers lack the capacity to drain s.
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

// replicaShortage returns a *ReplicaError if groups of a server would have too few replicas without it
// or, if anyReplica is set, no replica.
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

// serverReplicas returns, by server, what decides whether it counts as a replica.
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
