package controlsim

import (
	"fmt"
	"time"
)

// FaultKind is the kind of a fault. Logs and reports contain its value.
type FaultKind string

// The kinds of faults.
const (
	Partition        FaultKind = "partition"     // separates the machine from the core, or from Peer
	Kill             FaultKind = "kill"          // the process ends at once
	PowerLoss        FaultKind = "power-loss"    // the machine loses power
	Terminate        FaultKind = "terminate"     // the process gets SIGTERM
	Pause            FaultKind = "pause"         // the process is paused: its input and output block
	Wipe             FaultKind = "wipe"          // the process ends and is restarted with an empty disk
	Replace          FaultKind = "replace"       // the machine is lost, and an empty one is added at another address
	SlowDisk         FaultKind = "slow-disk"     // writes take diskSlowdown times as long
	StallDisk        FaultKind = "stall-disk"    // writes block
	FullDisk         FaultKind = "full-disk"     // writes fail
	ResetConnections FaultKind = "reset"         // all connections of the machine are reset once
	CoreOutage       FaultKind = "core-outage"   // all machines of the core lose power
	ZoneOutage       FaultKind = "zone-outage"   // all machines of the target's zone lose power
	RegionOutage     FaultKind = "region-outage" // all machines of the target's region lose power
	FleetOutage      FaultKind = "fleet-outage"  // all machines lose power, and return in random order
	PoorLinks        FaultKind = "poor-links"    // all links of the machine lose segments or are slow
)

// Target selects the machine of a fault by its role when the fault is injected.
type Target string

// The targets.
const (
	Head   Target = "head"
	Middle Target = "middle"
	Tail   Target = "tail"
	Member Target = "member" // the machine of the core with number Index
	Agent  Target = "agent"  // the machine without a disk with number Index
	Newest Target = "newest" // the machine of the core that was added last
)

// Fault is one fault of a scenario. The JSON keys are those of a worker's reports.
type Fault struct {
	Kind           FaultKind
	Target         Target        `json:"Place"`
	Index          int           // index of the target among the machines of its kind, modulo their number
	At             time.Duration // time since all machines have the initial view
	Duration       time.Duration `json:"For"`
	Outbound       bool          `json:"Out"`  // a partition drops or rejects what the machine sends
	Inbound        bool          `json:"In"`   // a partition drops or rejects what is sent to the machine
	Reject         bool          `json:"Loud"` // a partition rejects segments with a reset instead of dropping them
	IncludesAgents bool          `json:"Wide"` // a partition separates the machine from the agents, too
	Peer           Target        // the machine from which a partition separates the target; "" for the whole core
	// AfterCall is the name of an rpc call of package controlplane; "" if the fault waits for no call. At the time
	// At, the fault begins to wait until such a call arrives at the machine of CallTarget, and is injected after a
	// further Delay. Such a fault is short, and is therefore injected even if the tolerated number of machines is
	// faulty already.
	AfterCall  string        `json:"On"`
	CallTarget Target        `json:"OnAt"`
	Delay      time.Duration `json:"Lag"` // see AfterCall; for an outage, the pause between two restarts
	Loss       float64       // for PoorLinks: fraction of the segments that are lost, 0 to 1
	Bandwidth  int           // for PoorLinks: bytes per second; 0 if it is that of other links
}

// String returns the fault as it is logged.
func (f Fault) String() string {
	s := fmt.Sprintf("%v %s of %s %d for %v", f.At, f.Kind, f.Target, f.Index, f.Duration)
	if f.Kind == Partition {
		s += fmt.Sprintf(" (outbound %v, inbound %v, rejecting %v, includes agents %v)", f.Outbound, f.Inbound,
			f.Reject, f.IncludesAgents)
	}
	if f.Kind == PoorLinks {
		s += fmt.Sprintf(" (loss %.3f, bandwidth %d)", f.Loss, f.Bandwidth)
	}
	if f.Peer != "" {
		s += fmt.Sprintf(" (only from %s)", f.Peer)
	}
	if f.AfterCall != "" {
		s += fmt.Sprintf(" (%v after a %s at the %s)", f.Delay, f.AfterCall, f.CallTarget)
	}
	return s
}
