package controlsim

import (
	"fmt"
	"time"
)

// FaultKind is the kind of a fault, as it is printed.
type FaultKind string

// The kinds of faults.
const (
	Partition        FaultKind = "partition"     // separates the machine from the core, or from its Peer
	Kill             FaultKind = "kill"          // of the process
	PowerLoss        FaultKind = "power-loss"    // of the machine
	Terminate        FaultKind = "terminate"     // SIGTERM to the process
	Pause            FaultKind = "pause"         // of the process: no input or output
	Wipe             FaultKind = "wipe"          // the process ends and is restarted with an empty disk
	Replace          FaultKind = "replace"       // the machine is lost, an empty one is added at another address
	SlowDisk         FaultKind = "slow-disk"     // writes take diskSlowdown times as long
	StallDisk        FaultKind = "stall-disk"    // writes block
	FullDisk         FaultKind = "full-disk"     // writes fail
	ResetConnections FaultKind = "reset"         // all connections of the machine, once
	CoreOutage       FaultKind = "core-outage"   // all machines of the core lose power
	ZoneOutage       FaultKind = "zone-outage"   // all machines of the target's zone lose power
	RegionOutage     FaultKind = "region-outage" // all machines of the target's region lose power
	FleetOutage      FaultKind = "fleet-outage"  // all machines lose power, and return in any order
	PoorLinks        FaultKind = "poor-links"    // all links of the machine lose segments or are slow
)

// Target selects the machine of a fault by its role when the fault is injected.
type Target string

// The targets.
const (
	Head   Target = "head"
	Middle Target = "middle"
	Tail   Target = "tail"
	Member Target = "member" // a machine of the core, by Index
	Agent  Target = "agent"  // a machine without a disk, by Index
	Newest Target = "newest" // the machine of the core that was added last
)

// Fault is one fault of a scenario. The JSON keys are those of a worker's reports.
type Fault struct {
	Kind           FaultKind
	Target         Target        `json:"Place"`
	Index          int           // of the target among the machines of its kind, modulo their number
	At             time.Duration // since all machines have the initial view
	Duration       time.Duration `json:"For"`
	Outbound       bool          `json:"Out"`  // a partition loses what the machine sends
	Inbound        bool          `json:"In"`   // a partition loses what is sent to the machine
	Reject         bool          `json:"Loud"` // connections are refused and reset instead of timing out
	IncludesAgents bool          `json:"Wide"` // a partition separates the machine from the agents, too
	Peer           Target        // limits a partition to the link with this machine; "": all links
	// AfterCall names an rpc call of package controlplane. From At on the fault waits until such a call arrives
	// at the machine of CallTarget, and Delay longer. Such a fault is short, and is therefore injected even when
	// the tolerated number of machines is faulty already.
	AfterCall  string        `json:"On"`
	CallTarget Target        `json:"OnAt"`
	Delay      time.Duration `json:"Lag"` // of an outage: between the restarts of two machines
	Loss       float64       // of PoorLinks: share of the segments that are lost
	Bandwidth  int           // of PoorLinks: bytes per second; 0: as other links
}

// String is the fault as it is logged.
func (f Fault) String() string {
	s := fmt.Sprintf("%v %s of %s %d for %v", f.At, f.Kind, f.Target, f.Index, f.Duration)
	if f.Kind == Partition {
		s += fmt.Sprintf(" (outbound %v, inbound %v, rejecting %v, includes agents %v)", f.Outbound, f.Inbound, f.Reject, f.IncludesAgents)
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
