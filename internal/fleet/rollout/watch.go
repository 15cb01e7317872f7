package rollout

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// Report is what an agent tells the holder of the duty while a rollout is under way: once a second,
// and at once when it obeys a newer record or has nothing left at a server that is emptied.
type Report struct {
	Source         string         `msgpack:"s"` // the agent's life
	Seq            uint64         `msgpack:"q"` // counts the life's reports: one that is sent again counts once
	Region         string         `msgpack:"r"`
	Rollout        uint64         `msgpack:"n"` // of the rollout
	AppliedVersion uint64         `msgpack:"v"` // the version of the record that all its sends follow from now on
	InFlight       map[string]int `msgpack:"h"` // its requests under way at servers on their way out, by id
	Sends          Sends          `msgpack:"g"`
	Samples        SampleReport   `msgpack:"e"`
}

// Validate refuses what no agent can have sent.
func (r *Report) Validate() error {
	if r.Source == "" || len(r.Source) > maxName || len(r.Region) > maxName || len(r.InFlight) > maxInTransition || len(r.Samples.Strata) > maxStrata || len(r.Samples.Servers) > maxInTransition {
		return apierror.New(apierror.Invalid, "report", "run the same version on all machines", "a report of %.40q is out of bounds", r.Source)
	}
	return nil
}

// Agent is what the holder knows of one agent.
type Agent struct {
	Source         string
	AppliedVersion uint64
	InFlight       map[string]int
}

// maxAgents bounds the agents that are known.
const maxAgents = 4096

// ReportAggregator is the holder's fold of what agents report, for one rollout: a new holder, and a new
// rollout, begin with nothing. It is not safe for concurrent use.
type ReportAggregator struct {
	Rollout  uint64
	Replicas *ReplicaMap
	Judge    *Judge

	spec         *Spec
	agents       map[string]*agentState
	serverCounts map[string]*Counts
}

type agentState struct {
	Agent
	seq uint64
}

// NewReportAggregator returns what is known of a rollout before anything was reported.
func NewReportAggregator(rec *Record) *ReportAggregator {
	spec := rec.Spec
	return &ReportAggregator{Rollout: rec.Number, Replicas: NewReplicaMap(), Judge: NewJudge(), spec: &spec, agents: map[string]*agentState{}, serverCounts: map[string]*Counts{}}
}

// Add takes what an agent tells. One of another rollout tells what the agent obeys, and no more.
func (w *ReportAggregator) Add(r *Report) error {
	if err := r.Validate(); err != nil {
		return err
	}
	a := w.agents[r.Source]
	if a == nil {
		if len(w.agents) >= maxAgents {
			return apierror.New(apierror.TooLarge, "report", "ask the developers for more agents", "%d agents are known", len(w.agents))
		}
		a = &agentState{Agent: Agent{Source: r.Source}}
		w.agents[r.Source] = a
	}
	if r.Seq <= a.seq {
		return nil
	}
	a.seq, a.AppliedVersion, a.InFlight = r.Seq, max(r.AppliedVersion, a.AppliedVersion), r.InFlight
	if r.Rollout != w.Rollout {
		return nil
	}
	w.Replicas.Add(w.spec, r.Region, &r.Sends)
	w.Judge.Add(r.Samples.Strata)
	for id, c := range r.Samples.Servers {
		if c == nil || !c.plausible() {
			continue
		}
		if w.serverCounts[id] == nil {
			if len(w.serverCounts) >= 4*maxInTransition {
				continue
			}
			w.serverCounts[id] = &Counts{}
		}
		w.serverCounts[id].merge(c)
	}
	return nil
}

// pruneServerCounts forgets what servers did that are not on their way in any more.
func (w *ReportAggregator) pruneServerCounts(rec *Record) {
	for id := range w.serverCounts {
		if rec.ramping(id) == nil {
			delete(w.serverCounts, id)
		}
	}
}

// Tick lets time pass.
func (w *ReportAggregator) Tick(now time.Duration) {
	w.Replicas.Tick(now)
	w.Judge.Tick(now)
}

// Agents is what the members told, those included that told nothing yet; whoever is no member any
// more is forgotten.
func (w *ReportAggregator) Agents(members []string) []Agent {
	is := make(map[string]bool, len(members))
	out := make([]Agent, 0, len(members))
	for _, source := range members {
		is[source] = true
		if a := w.agents[source]; a != nil {
			out = append(out, a.Agent)
		} else {
			out = append(out, Agent{Source: source})
		}
	}
	for source := range w.agents {
		if !is[source] {
			delete(w.agents, source)
		}
	}
	return out
}
