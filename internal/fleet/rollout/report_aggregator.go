package rollout

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// ReportAggregator aggregates the agents' reports on one rollout at the lease holder. A new holder and
// a new rollout begin with an empty one. It is not safe for concurrent use.
type ReportAggregator struct {
	Rollout  uint64 // the rollout's number
	Replicas *ReplicaMap
	Judge    *Judge

	spec         *Spec
	agents       map[string]*agentState
	serverCounts map[string]*Counts // by server that is being ramped up
}

// NewReportAggregator returns an empty aggregator for the record's rollout.
func NewReportAggregator(record *Record) *ReportAggregator {
	spec := record.Spec
	return &ReportAggregator{
		Rollout:      record.Number,
		Replicas:     NewReplicaMap(),
		Judge:        NewJudge(),
		spec:         &spec,
		agents:       map[string]*agentState{},
		serverCounts: map[string]*Counts{},
	}
}

// Add adds an agent's report. From a report on another rollout, it takes only the applied version and
// the requests in flight. Errors are of kind Invalid, or of kind TooLarge if there are too many agents.
func (a *ReportAggregator) Add(r *Report) error {
	if err := r.Validate(); err != nil {
		return err
	}
	agent := a.agents[r.Source]
	if agent == nil {
		if len(a.agents) >= maxAgents {
			return apierror.New(apierror.TooLarge, "report", "ask the developers for more agents", "%d agents are known", len(a.agents))
		}
		agent = &agentState{Agent: Agent{Source: r.Source}}
		a.agents[r.Source] = agent
	}
	if r.Seq <= agent.seq {
		return nil
	}
	agent.seq = r.Seq
	agent.AppliedVersion = max(r.AppliedVersion, agent.AppliedVersion)
	agent.InFlight = r.InFlight
	if r.Rollout != a.Rollout {
		return nil
	}
	a.Replicas.Add(a.spec, r.Region, &r.Sends)
	a.Judge.Add(r.Samples.Strata)
	a.addServerCounts(r.Samples.Servers)
	return nil
}

func (a *ReportAggregator) addServerCounts(servers map[string]*Counts) {
	const limit = 4 * maxInTransition // servers that have ended their ramp are forgotten only at the next Reconcile
	for id, counts := range servers {
		if counts == nil || !counts.plausible() {
			continue
		}
		if sum := boundedCounts(a.serverCounts, id, limit); sum != nil {
			sum.merge(counts)
		}
	}
}

// pruneServerCounts forgets the servers that are no longer being ramped up.
func (a *ReportAggregator) pruneServerCounts(record *Record) {
	for id := range a.serverCounts {
		if record.ramping(id) == nil {
			delete(a.serverCounts, id)
		}
	}
}

// Tick advances the time of the replica map and the judge.
func (a *ReportAggregator) Tick(now time.Duration) {
	a.Replicas.Tick(now)
	a.Judge.Tick(now)
}

// Agents returns the state of all members, including those that have reported nothing, and forgets the
// agents that are no longer members.
func (a *ReportAggregator) Agents(members []string) []Agent {
	isMember := make(map[string]bool, len(members))
	agents := make([]Agent, 0, len(members))
	for _, source := range members {
		isMember[source] = true
		if state := a.agents[source]; state != nil {
			agents = append(agents, state.Agent)
		} else {
			agents = append(agents, Agent{Source: source})
		}
	}
	for source := range a.agents {
		if !isMember[source] {
			delete(a.agents, source)
		}
	}
	return agents
}
