package rollout

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// drainNextServer begins to drain another server if one may be drained now.
func (r *reconciliation) drainNextServer() {
	pace := &r.record.Spec.Pace
	switch {
	case r.record.Paused:
		r.addWaitReason("paused: %s", r.record.Reason)
		return
	case len(r.record.Draining)+len(r.record.Ramping) >= pace.AtOnce:
		return
	case r.now-r.startedAt < r.learningPeriod:
		r.addWaitReason("learning for %v more which groups are where", (r.learningPeriod - (r.now - r.startedAt)).Round(time.Second))
		return
	case r.lastDrainAt > 0 && r.now-r.lastDrainAt < seconds(pace.GapSeconds):
		return
	}
	var shortage error
	// By region: the smallest capacity of a server that turned out to be indispensable.
	indispensableCapacity := map[string]float64{}
	for _, s := range r.drainOrder() {
		if least, ok := indispensableCapacity[s.Region]; ok && s.Capacity >= least {
			continue
		}
		if shortage = r.capacityShortage(s); shortage == nil {
			r.startDrain(s, DrainThird)
			r.lastDrainAt = r.now
			return
		}
		indispensableCapacity[s.Region] = s.Capacity
	}
	if shortage != nil {
		r.addWaitReason("no server is drained: %v", shortage)
	}
}

// drainOrder returns the servers that may be drained next, in order. The zone with the largest fraction
// of unreplaced servers comes first, so that each zone has servers of both revisions until the end.
// Within a zone, the server with the lowest utilization comes first.
func (r *reconciliation) drainOrder() []*Server {
	type zone struct{ unreplaced, all int }
	zones := map[string]*zone{}
	var order []*Server
	for i := range r.observation.Servers {
		s := &r.observation.Servers[i]
		if s.State != registry.Ready {
			continue
		}
		z := zones[s.Zone]
		if z == nil {
			z = &zone{}
			zones[s.Zone] = z
		}
		z.all++
		if s.unreplaced(r.record.targetRevision()) && r.record.draining(s.ID) == nil {
			z.unreplaced++
			if r.avoidUntil[s.ID] <= r.now {
				order = append(order, s)
			}
		}
	}
	unreplacedFraction := func(s *Server) float64 { z := zones[s.Zone]; return float64(z.unreplaced) / float64(z.all) }
	slices.SortFunc(order, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(unreplacedFraction(b), unreplacedFraction(a)),
			cmp.Compare(a.Utilization, b.Utilization), cmp.Compare(a.ID, b.ID))
	})
	return order
}

// startDrain begins to drain a server at the given step.
func (r *reconciliation) startDrain(s *Server, step DrainStep) {
	r.markChanged()
	r.record.Draining = append(r.record.Draining, DrainingServer{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Step: step, Since: r.record.Version})
	slices.SortFunc(r.record.Draining, func(a, b DrainingServer) int { return strings.Compare(a.ID, b.ID) })
}

// advanceDraining advances all drains and removes those that are over.
func (r *reconciliation) advanceDraining() {
	var remaining []DrainingServer
	for _, d := range r.record.Draining {
		if r.advanceDrain(&d) {
			remaining = append(remaining, d)
		} else {
			r.markChanged()
		}
	}
	r.record.Draining = remaining
}

// advanceDrain advances a drain by at most one step. It returns false if the drain is over.
func (r *reconciliation) advanceDrain(d *DrainingServer) (draining bool) {
	s := r.servers[d.ID]
	age := r.now - r.stepSince(d.ID, d.Step.String())
	switch {
	case d.Step == DrainReplacing:
		return r.awaitReplacement(d, s, age)
	case s == nil || s.State >= registry.Draining: // the platform or a fault took it out of service
		r.setDrainStep(d, DrainReplacing)
		return true
	case d.Step < DrainClosed && s.State != registry.Ready: // its heartbeats timed out, and it may come back
		r.setDrainStep(d, DrainClosed)
		return true
	case s.State == registry.Ready && r.isNeeded(s, d.Step):
		r.avoidServer(d.ID, max(2*seconds(r.record.Spec.Pace.SpreadSeconds), minAvoidTime))
		r.addWaitReason("%s is returned to service: it is needed now", d.ID)
		return false
	}
	switch d.Step {
	case DrainThird, DrainTenth:
		return r.advanceThinning(d, s, age)
	case DrainClosed:
		if r.acknowledged(d.Since) {
			r.setDrainStep(d, DrainFinishing)
		}
	case DrainFinishing, DrainMigrating:
		r.advanceFinishing(d, s, age)
	}
	return true
}

func (r *reconciliation) setDrainStep(d *DrainingServer, step DrainStep) {
	r.markChanged()
	d.Step, d.Since = step, r.record.Version
}

// awaitReplacement waits for the platform to replace a server that was handed to it. It returns false,
// which ends the drain, if the server came back with the old revision or was not replaced in time.
func (r *reconciliation) awaitReplacement(d *DrainingServer, s *Server, age time.Duration) (draining bool) {
	timeout := seconds(r.record.Spec.Pace.ReplaceSeconds)
	returned := r.returnedUnreplaced(d)
	switch {
	case returned != nil && r.record.Phase == PhaseForward:
		r.addWaitReason("%s came back as %s with the old revision", d.ID, returned.ID)
		return false
	case s == nil && age >= timeout:
		r.addWaitReason("%s was not replaced within %v", d.ID, timeout)
		return false
	default:
		r.addWaitReason("%s is to be replaced: the platform has had %v", d.ID, age.Round(time.Second))
		return true
	}
}

// returnedUnreplaced returns a ready server at the address of a server that was handed over, if its
// revision is not the target; otherwise nil.
func (r *reconciliation) returnedUnreplaced(d *DrainingServer) *Server {
	for i := range r.observation.Servers {
		s := &r.observation.Servers[i]
		if s.ID != d.ID && s.Addr == d.Addr && s.State == registry.Ready && s.unreplaced(r.record.targetRevision()) {
			return s
		}
	}
	return nil
}

// advanceThinning reduces a server's share, and closes the server once its groups have enough replicas
// elsewhere and the other servers enough capacity. It returns false if that takes too long.
func (r *reconciliation) advanceThinning(d *DrainingServer, s *Server, age time.Duration) (draining bool) {
	pace := &r.record.Spec.Pace
	if !r.acknowledged(d.Since) || r.record.Paused || age < seconds(pace.SpreadSeconds) {
		return true
	}
	if d.Step == DrainThird {
		r.setDrainStep(d, DrainTenth)
		return true
	}
	shortage := r.replicaShortage(d.ID, false)
	if shortage == nil {
		shortage = r.capacityShortage(s)
	}
	if shortage == nil {
		r.setDrainStep(d, DrainClosed)
		return true
	}
	r.addWaitReason("%s stays: %v", d.ID, shortage)
	if age < seconds(pace.WaitSeconds) {
		return true
	}
	r.avoidServer(d.ID, 2*seconds(pace.WaitSeconds))
	return false
}

// advanceFinishing hands a closed server to the platform once nothing runs there, and has its streams
// migrated after FinishSeconds.
func (r *reconciliation) advanceFinishing(d *DrainingServer, s *Server, age time.Duration) {
	if !r.acknowledged(d.Since) {
		return
	}
	switch {
	case r.isEmpty(s, age):
		r.setDrainStep(d, DrainReplacing)
	case d.Step == DrainFinishing && age >= seconds(r.record.Spec.Pace.FinishSeconds):
		r.setDrainStep(d, DrainMigrating)
	}
}

// isEmpty reports whether nothing runs at a closed server: no agent has a request in flight there, and
// the server itself reports none. A server that does not report is assumed to be empty after
// FinishSeconds.
func (r *reconciliation) isEmpty(s *Server, age time.Duration) bool {
	for _, a := range r.observation.Agents {
		if a.InFlight[s.ID] > 0 {
			return false
		}
	}
	return s.InFlight == 0 || s.InFlight < 0 && age >= seconds(r.record.Spec.Pace.FinishSeconds)
}

// isNeeded reports whether a draining server that is not handed over yet has to return to service,
// because the other servers can't carry the load or, once it is closed, a group has no other replica.
func (r *reconciliation) isNeeded(s *Server, step DrainStep) bool {
	if r.record.Phase == PhaseRollback && s.Revision == r.record.Spec.To && r.verdict.Ruling == RulingFail {
		return false // a revision that was judged worse does not return to service
	}
	all, _ := r.regionCapacity(s.Region, s.ID)
	if all*r.record.Spec.Safety.UsableCapacity < r.regionLoad[s.Region] || all == 0 {
		return true
	}
	return step >= DrainClosed && r.replicaShortage(s.ID, true) != nil
}
