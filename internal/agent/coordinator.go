package agent

import (
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// Coordinator connects an agent to other agents. Its methods must not block. Its decisions reach the policy only
// as events. As an exception, the list of servers is updated from reports of peers while discovery can't be
// reached from here.
type Coordinator interface {
	// ListChanged passes the full list of this agent after each change.
	ListChanged([]Target)
	// DiscoveryReported passes what discovery reported: the full list, or only the changed servers.
	DiscoveryReported(list []Target, full bool)
	// DiscoveryResponded reports that discovery answered a call. It must be safe for concurrent use.
	DiscoveryResponded()
	// AttemptEnded reports the end of an attempt or of a probe.
	AttemptEnded(Observation)
	// Ready returns a channel that receives a value when there are new directives.
	Ready() <-chan struct{}
	// Directives returns the directives that are in force.
	Directives() Directives
}

// Directives are the decisions of a coordinator for an agent. They replace earlier ones.
type Directives struct {
	// Overrides are the overrides of servers. A server without one has its entire share.
	Overrides []Override
	// ZoneOverrides are the overrides of zones. A zone without one has its entire share.
	ZoneOverrides []ZoneOverride
	// FetchList requests one fetch of the full list.
	FetchList bool
	// PeerReports are the servers that discovery reported to peers. Only ID, State and StartedMs are set.
	PeerReports []Target
}

// ZoneOverride is a coordinator's decision about a zone.
type ZoneOverride struct {
	Zone           string
	ShareFactor    float64 // fraction of its servers' shares that is used; 0 if the zone gets no requests
	ReachableShare float64 // fraction of the zone, and of the demand that it serves, that can be reached
	// TrafficShare is the fraction of this site's traffic that is to go to the zone. It is 0 in all zones if no
	// traffic shares were decided.
	TrafficShare float64
	TTL          time.Duration // how long the override is valid
}

// Observation is the end of an attempt or of a probe.
type Observation struct {
	ID          string // ID of the server
	Zone        string // the server's zone; empty for a probe
	Probe       bool
	StartedMs   float64 // listed start of the server's process, Unix time
	Class       int     // index of the request's class; 0 for a probe
	Status      policy.Status
	Latency     time.Duration
	Utilization float64 // reported by a probe; negative if the report has none; 0 for an attempt
}

// Override is a coordinator's decision about one process of a server, see policy.Override.
type Override struct {
	ID          string
	StartedMs   float64 // listed start of the process, Unix time
	ShareFactor float64
	TTL         time.Duration // how long the override is valid
	Trial       bool
	Probe       bool
}
