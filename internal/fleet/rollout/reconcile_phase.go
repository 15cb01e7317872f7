package rollout

import (
	"fmt"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// initializePhase records, once per phase, which servers have their full share from the start. It also
// records the initial capacity or, in a rollback, reverses the drains and ramps in progress.
func (r *reconciliation) initializePhase() {
	if r.record.Initialized {
		return
	}
	r.markChanged()
	r.record.Initialized = true
	r.record.FullShare = nil
	if r.record.Phase == PhaseRollback {
		r.reverseTransitions()
	} else {
		r.measureInitialCapacity()
	}
	for i := range r.observation.Servers {
		s := &r.observation.Servers[i]
		if s.State <= registry.Expired && s.Revision == r.record.targetRevision() && r.record.draining(s.ID) == nil {
			r.record.addFullShare(s.ID)
		}
	}
}

// reverseTransitions begins a rollback: draining servers that are not handed over yet return to
// service, and servers that were being ramped up are drained.
func (r *reconciliation) reverseTransitions() {
	r.record.Draining = slices.DeleteFunc(r.record.Draining, func(d DrainingServer) bool { return d.Step < DrainReplacing })
	for _, ramping := range r.record.Ramping {
		if s := r.servers[ramping.ID]; s != nil {
			r.startDrain(s, DrainClosed)
		}
	}
	r.record.Ramping = nil
}

func (r *reconciliation) measureInitialCapacity() {
	r.record.InitialCapacity = map[string]float64{}
	for _, s := range r.observation.Servers {
		if s.State <= registry.Expired {
			r.record.InitialCapacity[s.Region] += s.Capacity
		}
	}
}

// applyVerdict pauses a rollout that contradicts the configuration, and pauses or rolls back one whose
// new revision is judged worse.
func (r *reconciliation) applyVerdict() {
	if err := r.observation.ConfigError; err != nil && !r.record.Paused {
		r.markChanged()
		r.record.Paused, r.record.Reason = true, truncateReason("the configuration has changed: "+err.Error())
	}
	if r.record.Phase != PhaseForward || r.verdict.Ruling != RulingFail || r.record.Paused {
		return
	}
	r.markChanged()
	spec := &r.record.Spec
	reason := fmt.Sprintf("revision %d is worse than %d: %s", spec.To, spec.From, r.verdict.Reason)
	if spec.OnWorse == OnWorseRollback {
		r.record.rollBack(reason)
		r.initializePhase()
		return
	}
	r.record.Paused, r.record.Reason = true, truncateReason(reason)
	for i := range r.record.Ramping {
		r.record.Ramping[i].Step, r.record.Ramping[i].Since = RampWarming, r.record.Version
	}
}

// finishIfComplete ends the rollout if no server is in transition, none is left to replace, and at least
// one with the model is ready.
func (r *reconciliation) finishIfComplete() {
	if len(r.record.Draining)+len(r.record.Ramping) > 0 {
		return
	}
	ready := false
	for i := range r.observation.Servers {
		s := &r.observation.Servers[i]
		if s.State > registry.Expired || s.Revision < 0 {
			continue
		}
		if s.unreplaced(r.record.targetRevision()) {
			return
		}
		ready = ready || s.State == registry.Ready
	}
	if !ready {
		return
	}
	r.markChanged()
	if r.record.Phase == PhaseRollback {
		r.record.finish(PhaseRolledBack)
	} else {
		r.record.finish(PhaseDone)
	}
}

// pruneFullShare removes servers that no longer exist from FullShare, once it is much larger than the
// list of servers.
func (r *reconciliation) pruneFullShare() {
	const slack = 256
	if len(r.record.FullShare) <= 2*len(r.observation.Servers)+slack {
		return
	}
	currentHashes := map[uint64]bool{}
	for id := range r.servers {
		currentHashes[inference.HashString(id)] = true
	}
	r.record.FullShare = slices.DeleteFunc(r.record.FullShare, func(hash uint64) bool { return !currentHashes[hash] })
	r.markChanged()
}
