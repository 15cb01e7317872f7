package rollout

import "chalkdoor.example/chalkdoor/internal/fleet/apierror"

// maxAgents is the maximum number of agents in a ReportAggregator.
const maxAgents = 4096

// Report is what an agent sends to the lease holder while a rollout is in progress: once a second, and
// immediately when it applies a newer record or its last request at a draining server has ended.
type Report struct {
	Source string `msgpack:"s"` // the agent's incarnation
	Seq    uint64 `msgpack:"q"` // number of the report within the incarnation; a repeated report counts once
	Region string `msgpack:"r"`
	// Rollout is the number of the rollout.
	Rollout uint64 `msgpack:"n"`
	// AppliedVersion is the version of the record that all further picks of the agent follow.
	AppliedVersion uint64 `msgpack:"v"`
	// InFlight is the number of the agent's requests at each draining server, by the server's ID.
	InFlight map[string]int `msgpack:"h"`
	Sends    Sends          `msgpack:"g"`
	Samples  SampleReport   `msgpack:"e"`
}

// Validate returns an error of kind Invalid if the report lacks its source or exceeds a bound.
func (r *Report) Validate() error {
	if r.Source == "" || len(r.Source) > maxName || len(r.Region) > maxName || len(r.InFlight) > maxInTransition ||
		len(r.Samples.Strata) > maxStrata || len(r.Samples.Servers) > maxInTransition {
		return apierror.New(apierror.Invalid, "report", remedySameVersion, "a report of %.40q is out of bounds", r.Source)
	}
	return nil
}

// Agent is what the lease holder knows about one agent. The fields are as in Report;
// AppliedVersion and InFlight are zero if the agent has reported nothing.
type Agent struct {
	Source         string
	AppliedVersion uint64
	InFlight       map[string]int
}

// agentState is an agent and the number of its last report.
type agentState struct {
	Agent
	seq uint64
}
