package agent

import (
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// Coordinator is how an agent acts together with others. Its methods must not block. What it decides reaches the
// policy as an event, and nothing else; but the list is continued from reports of peers while discovery can't be
// reached here.
type Coordinator interface {
	// ListChanged gets the full list of this agent after each change.
	ListChanged([]Target)
	// DiscoveryReported gets what discovery reported: changes, or the full list.
	DiscoveryReported(list []Target, full bool)
	// DiscoveryResponded notes that discovery has answered a call. It must be safe for concurrent use.
	DiscoveryResponded()
	// AttemptEnded gets the end of an attempt or of a probe.
	AttemptEnded(Observation)
	// Ready receives when there are new directives.
	Ready() <-chan struct{}
	// Directives returns those that hold now.
	Directives() Directives
}

// Directives are what a coordinator decided for an agent; they replace earlier ones.
type Directives struct {
	// Overrides are of servers: one that is not named has its entire share.
	Overrides []Override
	// ZoneOverrides are of zones: one that is not named has its entire share.
	ZoneOverrides []ZoneOverride
	// FetchList asks for one fetch of the full list.
	FetchList bool
	// PeerReports are what discovery reported to peers of servers: ID, State and StartedMs.
	PeerReports []Target
}

// ZoneOverride is what was decided for a zone.
type ZoneOverride struct {
	Zone           string
	ShareFactor    float64 // part of the shares of its servers that is used; 0: it gets no requests
	ReachableShare float64 // part of it that can be reached; the rest takes its demand with it
	// TrafficShare is the part of this site's traffic that is to go there, where that is decided for all
	// zones; 0 for all: it is not.
	TrafficShare float64
	TTL          time.Duration // for which it holds
}

// Observation is the end of an attempt or of a probe.
type Observation struct {
	ID          string // of the server
	Zone        string // of an attempt
	Probe       bool
	StartedMs   float64 // start of the server's process, as listed
	Class       int
	Status      policy.Status
	Latency     time.Duration
	Utilization float64 // of a probe, as reported; negative: not reported
}

// Override is what was decided for one process of a server, see policy.Override.
type Override struct {
	ID          string
	StartedMs   float64 // start of the process, as listed
	ShareFactor float64
	TTL         time.Duration // for which it holds
	Trial       bool
	Probe       bool
}
