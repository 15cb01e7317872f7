package controlsim

import (
	"fmt"
	"time"
)

// FaultKind is what a fault does.
type FaultKind string

// The kinds of faults.
const (
	Partition        FaultKind = "cut"        // from the machines of the core, and from the agents if Wide
	Kill             FaultKind = "kill"       // the process
	PowerLoss        FaultKind = "power-loss" // the machine
	Terminate        FaultKind = "terminate"  // SIGTERM to the process
	Pause            FaultKind = "freeze"
	Wipe             FaultKind = "wipe"    // the process ends and comes back with an empty disk
	Replace          FaultKind = "replace" // the machine goes for good, an empty one comes at another address
	SlowDisk         FaultKind = "slow-disk"
	StallDisk        FaultKind = "stall-disk"
	FullDisk         FaultKind = "full-disk"
	ResetConnections FaultKind = "reset"    // all connections of the machine, once
	CoreOutage       FaultKind = "blackout" // all machines of the core lose power
)

// Target names the machine that a fault hits, by the view at that moment.
type Target string

// The places.
const (
	Head   Target = "head"
	Middle Target = "middle"
	Tail   Target = "tail"
	Member Target = "member" // of the core, by Index
	Agent  Target = "agent"  // by Index
	Newest Target = "newest" // of the machines with a disk
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
	Delay      time.Duration `json:"Lag"` // of a CoreOutage: between the restarts of two machines
}

func (f Fault) String() string {
	s := fmt.Sprintf("%v %s of %s %d for %v", f.At, f.Kind, f.Target, f.Index, f.Duration)
	if f.Kind == Partition {
		s += fmt.Sprintf(" (out %v, in %v, loud %v, from agents %v)", f.Outbound, f.Inbound, f.Reject, f.IncludesAgents)
	}
	if f.Peer != "" {
		s += fmt.Sprintf(" (only from %s)", f.Peer)
	}
	if f.AfterCall != "" {
		s += fmt.Sprintf(" (%v after a %s at the %s)", f.Delay, f.AfterCall, f.CallTarget)
	}
	return s
}
