package rollout

import "chalkdoor.example/chalkdoor/internal/fleet/apierror"

// maxAgents bounds the agents that are known.
const maxAgents = 4096

// Report is what an agent sends to the lease holder while a rollout is in progress: once a second,
// and at once when it applies a newer record or has nothing left in flight at a server that is
// drained.
type Report struct {
	Source string `msgpack:"s"` // the agent's incarnation
	Seq    uint64 `msgpack:"q"` // of the incarnation's reports: one that is repeated counts once
	Region string `msgpack:"r"`
	// Rollout is the number of the rollout.
	Rollout uint64 `msgpack:"n"`
	// AppliedVersion is the version of the record that all its picks follow from now on.
	AppliedVersion uint64 `msgpack:"v"`
	// InFlight are its requests at servers that are drained, by ID.
	InFlight map[string]int `msgpack:"h"`
	Sends    Sends          `msgpack:"g"`
	Samples  SampleReport   `msgpack:"e"`
}

// Validate returns an error of kind Invalid for a report that no agent can have sent.
func (r *Report) Validate() error {
	if r.Source == "" || len(r.Source) > maxName || len(r.Region) > maxName || len(r.InFlight) > maxInTransition ||
		len(r.Samples.Strata) > maxStrata || len(r.Samples.Servers) > maxInTransition {
		return apierror.New(apierror.Invalid, "report", remedySameVersion, "a report of %.40q is out of bounds", r.Source)
	}
	return nil
}

// Agent is what the lease holder knows of one agent.
type Agent struct {
	Source         string
	AppliedVersion uint64
	InFlight       map[string]int
}

// agentState is an agent and its last report.
type agentState struct {
	Agent
	seq uint64
}
