package rollout

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// ReportAggregator is the lease holder's aggregate of what agents report, for one rollout: a new
// holder, and a new rollout, begin with nothing. It is not safe for concurrent use.
type ReportAggregator struct {
	Rollout  uint64 // its number
	Replicas *ReplicaMap
	Judge    *Judge

	spec         *Spec
	agents       map[string]*agentState
	serverCounts map[string]*Counts // of servers that are ramped up
}

// NewReportAggregator returns what is known of a rollout before anything was reported.
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

// Add takes an agent's report. Of one for another rollout only the applied version and the requests
// in flight count. Errors are of kind Invalid, and TooLarge beyond the agents that can be known.
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
	const limit = 4 * maxInTransition // some are forgotten only at the next Reconcile
	for id, counts := range servers {
		if counts == nil || !counts.plausible() {
			continue
		}
		if sum := boundedCounts(a.serverCounts, id, limit); sum != nil {
			sum.merge(counts)
		}
	}
}

// pruneServerCounts forgets the servers that are not ramped up any more.
func (a *ReportAggregator) pruneServerCounts(record *Record) {
	for id := range a.serverCounts {
		if record.ramping(id) == nil {
			delete(a.serverCounts, id)
		}
	}
}

// Tick lets time pass.
func (a *ReportAggregator) Tick(now time.Duration) {
	a.Replicas.Tick(now)
	a.Judge.Tick(now)
}

// Agents is what the members reported, with those that have reported nothing. Agents that are no
// members any more are forgotten.
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
