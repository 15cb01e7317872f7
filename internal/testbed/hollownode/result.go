package hollownode

import (
	"time"
)

// Result is the measurement of a run. Rates are means over the window.
type Result struct {
	Config        Config         `json:"config"`
	Window        time.Duration  `json:"window"`
	ConfigBytes   int            `json:"configuration-bytes"` // of the first one
	ReadyDelays   Delays         `json:"start"`               // of nodes, until they were ready
	ServersKnown  Delays         `json:"known"`               // of nodes, until they knew all servers
	AckDelays     Delays         `json:"acks"`                // of changes, from sent to acknowledged
	AppliedDelays Delays         `json:"in-force"`            // of changes, from acknowledged until the last node had applied it
	DrainDelays   Delays         `json:"drains"`              // of drains, from acknowledged until no node listed the server
	RestartDelays Delays         `json:"returns"`             // of restarted agents, until they were ready
	Agent         Role           `json:"agent"`               // mean of the hollow ones
	Core          []Member       `json:"core"`
	Daemons       []DaemonReport `json:"daemons"`
	Startup       Startup        `json:"begin"`
	HeartbeatRate float64        `json:"beats-a-second"`
	LapsedLeases  int            `json:"lapsed"` // incarnations whose lease lapsed while they ran
	Calls         Traffic        `json:"calls"`  // of all nodes, by call
	Loss          *Loss          `json:"lost,omitempty"`
	Errors        []string       `json:"troubles,omitempty"`
}

// Delays are statistics of n durations.
type Delays struct {
	N       int           `json:"n"`
	P50     time.Duration `json:"p50"`
	Max     time.Duration `json:"max"`
	Missing int           `json:"missing"` // changes that never reached a node, summed over the nodes
}

// Startup is the cost of the start of all nodes, until all knew all servers.
type Startup struct {
	AgentCPU  time.Duration `json:"agent-cpu"`  // mean of one agent
	CoreCPU   time.Duration `json:"core-cpu"`   // of one machine of the core
	Messages  float64       `json:"messages"`   // sent and received by one agent
	Bytes     float64       `json:"bytes"`      // sent and received by one agent
	DaemonCPU time.Duration `json:"daemon-cpu"` // of one real daemon, to 10 ms
}

// Role is the traffic and the resource usage of a node. Sizes are in bytes.
type Role struct {
	Messages float64 `json:"messages-a-second"` // sent and received
	Bytes    float64 `json:"bytes-a-second"`
	CPU      float64 `json:"cpu"` // cores; 0: not measured separately
	Heap     int64   `json:"heap"`
	Stacks   int64   `json:"stacks"`
	RSS      int64   `json:"rss"` // of its process, or its share of it
	Peak     int64   `json:"rss-peak"`
	FDs      int     `json:"descriptors"`
}

// Member is the measurement of a machine of the core.
type Member struct {
	Role
	Name       string  `json:"name"`
	Position   string  `json:"place"` // in the chain
	Sessions   int     `json:"sessions"`
	AgentBytes float64 `json:"agents-bytes-a-second"` // of Bytes, with agents
	PeerBytes  float64 `json:"peers-bytes-a-second"`  // with other machines of the core
	Goroutines int     `json:"goroutines"`
}

// Loss is the loss of a member of the core.
type Loss struct {
	Name       string        `json:"name"`
	Position   string        `json:"place"`
	LostAt     time.Duration `json:"at"` // monotonic clock
	RestoredAt time.Duration `json:"back"`
	// Of the changes and drains that were sent or in progress between LostAt and RestoredAt.
	AckDelays     Delays `json:"acks"`
	AppliedDelays Delays `json:"in-force"`
	DrainDelays   Delays `json:"drains"`
}
