package rollout

import "chalkdoor.example/chalkdoor/internal/fleet/inference"

// RoutingRules are the rules that a record sets for an agent's picks. They are immutable.
type RoutingRules struct {
	Version uint64 // the record's version
	Rollout uint64 // the rollout's number
	Active  bool
	Service string
	Model   string
	From    int
	To      int
	// SpreadServers is the number of other servers over which the groups of a draining server are spread.
	SpreadServers int
	// WarmupPromptsPerSecond is the maximum rate of shared prompts that a warming server prefills, for
	// all agents together.
	WarmupPromptsPerSecond float64

	unrestricted   bool // the rollout is not initialized yet: all servers have their full share
	targetRevision int
	draining       map[string]DrainStep
	replacedAddrs  map[string]bool // addresses of servers that were handed to the platform
	ramping        map[string]RampStep
	fullShare      map[uint64]bool // by hash of the server's ID
}

// Rules returns the record's rules for an agent's picks.
func (r *Record) Rules() *RoutingRules {
	rules := &RoutingRules{
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
		rules.draining[d.ID] = d.Step
		if d.Step == DrainReplacing {
			rules.replacedAddrs[d.Addr] = true
		}
	}
	for _, s := range r.Ramping {
		rules.ramping[s.ID] = s.Step
	}
	for _, hash := range r.FullShare {
		rules.fullShare[hash] = true
	}
	return rules
}

// Share returns the share of its requests that a server of the service gets. revision is the server's
// revision of the model. The share is 0 for a new server that is not admitted yet, and 1 for servers
// that the rollout does not affect.
func (r *RoutingRules) Share(id, addr string, revision int) float64 {
	if !r.Active || r.unrestricted {
		return 1
	}
	if step, ok := r.draining[id]; ok {
		return step.share()
	}
	if step, ok := r.ramping[id]; ok {
		return step.share()
	}
	switch {
	case revision == r.targetRevision:
		if r.fullShare[inference.HashString(id)] {
			return 1
		}
		return 0
	case revision == r.To && r.targetRevision == r.From && r.replacedAddrs[addr]:
		return 0 // handed over before the rollback, and restarted with the new revision
	}
	return 1
}

// AcceptsSession reports whether a session is in a ramping server's share of its sessions. The share has
// the same sessions at every agent, and a larger share contains the smaller ones. For a draining server,
// the caller draws at random for each request instead, and sends those outside the share to the
// SpreadServers that come next for the key, so that all groups of the server get replicas.
func AcceptsSession(id string, session uint64, share float64) bool {
	if share >= 1 || share <= 0 {
		return share >= 1
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // spreads the sessions before they are combined with the server
	return unitInterval(inference.Mix64(inference.HashString(id)+session*goldenRatio)) < share
}

// unitInterval maps a hash to [0, 1).
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// IsWarming reports whether a server prefills shared prompts at a limited rate. The agent's
// WarmupLimiter must allow each request whose prefix the server has not cached.
func (r *RoutingRules) IsWarming(id string) bool {
	step, ok := r.ramping[id]
	return ok && step == RampWarming
}

// ShouldMigrate reports whether the resumable streams at a server are to be migrated.
func (r *RoutingRules) ShouldMigrate(id string) bool {
	step, ok := r.draining[id]
	return ok && step == DrainMigrating
}

// IsDraining reports whether a server is being drained: its groups are spread over SpreadServers others,
// and requests in flight there are reported.
func (r *RoutingRules) IsDraining(id string) bool { _, ok := r.draining[id]; return ok }

// IsRamping reports whether a server is being ramped up: its attempts are also counted by server.
func (r *RoutingRules) IsRamping(id string) bool { _, ok := r.ramping[id]; return ok }

// ClosedServers returns the IDs of draining servers that get no new requests.
func (r *RoutingRules) ClosedServers() []string {
	var ids []string
	for id, step := range r.draining {
		if step.share() == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Classify reports whether a revision is the one that the rollout introduces. known is false if the
// revision is neither of the two or no rollout is in progress.
func (r *RoutingRules) Classify(revision int) (isNew, known bool) {
	return revision == r.To, r.Active && (revision == r.To || revision == r.From)
}
