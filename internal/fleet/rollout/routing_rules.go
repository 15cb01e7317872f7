package rollout

import "chalkdoor.example/chalkdoor/internal/fleet/inference"

// RoutingRules is what a record requires of an agent's picks. It is immutable.
type RoutingRules struct {
	Version uint64 // of the record
	Rollout uint64 // its number
	Active  bool
	Service string
	Model   string
	From    int
	To      int
	// SpreadServers is over how many others the groups of a server that is drained are spread.
	SpreadServers int
	// WarmupPromptsPerSecond is how many shared prompts a second a warming server is made to prefill,
	// by all agents together.
	WarmupPromptsPerSecond float64

	unrestricted   bool // the phase is not initialized: all have their full share
	targetRevision int
	draining       map[string]DrainStep
	replacedAddrs  map[string]bool // of servers that were handed to the platform
	ramping        map[string]RampStep
	fullShare      map[uint64]bool
}

// Rules compiles the record for an agent's picks.
func (r *Record) Rules() *RoutingRules {
	u := &RoutingRules{
		Version:                r.Version,
		Rollout:                r.Number,
		Active:                 r.Active(),
		Service:                r.Spec.Service,
		Model:                  r.Spec.Model,
		From:                   r.Spec.From,
		To:                     r.Spec.To,
		SpreadServers:          r.Spec.Safety.MinReplicas,
		WarmupPromptsPerSecond: r.Spec.Pace.WarmupPromptsPerSecond,
		unrestricted:           r.Phase == PhaseForward && !r.Initialized,
		targetRevision:         r.targetRevision(),
		draining:               map[string]DrainStep{},
		replacedAddrs:          map[string]bool{},
		ramping:                map[string]RampStep{},
		fullShare:              map[uint64]bool{},
	}
	for _, d := range r.Draining {
		u.draining[d.ID] = d.Step
		if d.Step == DrainReplacing {
			u.replacedAddrs[d.Addr] = true
		}
	}
	for _, s := range r.Ramping {
		u.ramping[s.ID] = s.Step
	}
	for _, hash := range r.FullShare {
		u.fullShare[hash] = true
	}
	return u
}

// Share is the part of its requests that a server of the service gets, by the revision of the model
// that it holds: 0 for a new one that was not admitted yet, 1 for all that the rollout does not
// touch.
func (u *RoutingRules) Share(id, addr string, revision int) float64 {
	if !u.Active || u.unrestricted {
		return 1
	}
	if step, ok := u.draining[id]; ok {
		return step.share()
	}
	if step, ok := u.ramping[id]; ok {
		return step.share()
	}
	switch {
	case revision == u.targetRevision:
		if u.fullShare[inference.HashString(id)] {
			return 1
		}
		return 0
	case revision == u.To && u.targetRevision == u.From && u.replacedAddrs[addr]:
		return 0 // handed over before the rollback, and started with the revision that is left
	}
	return 1
}

// AcceptsSession reports whether a session is in a ramping server's share of the sessions of its
// keys: the same ones at every agent, and each larger share contains the smaller. The share of a
// draining server is one of all requests, drawn for each: the others go to the SpreadServers that
// come next for the key, so that all its groups find replicas.
func AcceptsSession(id string, session uint64, share float64) bool {
	if share >= 1 || share <= 0 {
		return share >= 1
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // spreads the sessions before they are combined with the server
	return unitInterval(inference.Mix64(inference.HashString(id)+session*goldenRatio)) < share
}

// unitInterval maps a hash to [0, 1).
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// IsWarming reports whether a server prefills shared prompts at a limited rate: a request with a
// prefix that it has not cached needs permission of the agent's WarmupLimiter.
func (u *RoutingRules) IsWarming(id string) bool {
	step, ok := u.ramping[id]
	return ok && step == RampWarming
}

// ShouldMigrate reports whether the resumable streams at a server are to be migrated.
func (u *RoutingRules) ShouldMigrate(id string) bool {
	step, ok := u.draining[id]
	return ok && step == DrainMigrating
}

// IsDraining reports whether a server is drained: its groups are spread over SpreadServers others,
// and the requests in flight there are reported.
func (u *RoutingRules) IsDraining(id string) bool { _, ok := u.draining[id]; return ok }

// IsRamping reports whether a server is ramped up: its attempts are counted by themselves.
func (u *RoutingRules) IsRamping(id string) bool { _, ok := u.ramping[id]; return ok }

// ClosedServers are the IDs of the servers that get no new requests.
func (u *RoutingRules) ClosedServers() []string {
	var ids []string
	for id, step := range u.draining {
		if step.share() == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Classify reports whether a revision is the one that the rollout moves to. known is false if it is
// neither of the two.
func (u *RoutingRules) Classify(revision int) (isNew, known bool) {
	return revision == u.To, u.Active && (revision == u.To || revision == u.From)
}
