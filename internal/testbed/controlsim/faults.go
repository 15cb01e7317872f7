package controlsim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
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

// callTimeout is how long a fault waits for the call that it is to follow.
const callTimeout = 5 * time.Second

// awaitCall waits until a call that a fault is to follow has arrived at its machine.
func (r *simulation) awaitCall(ctx context.Context, f Fault) bool {
	at := r.chainMember(r.newestView(), f.CallTarget)
	if at == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	arrived, forget := r.network.watchCall(at.host, f.AfterCall)
	defer forget()
	select {
	case <-arrived:
		sleep(ctx, f.Delay)
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// inject brings a fault about and ends it.
func (r *simulation) inject(ctx context.Context, f Fault) {
	sleep(ctx, f.At)
	m := r.targetOf(f)
	if ctx.Err() != nil || m == nil {
		return
	}
	if f.AfterCall != "" && !r.awaitCall(ctx, f) {
		return
	}
	if f.Kind == CoreOutage {
		r.injectCoreOutage(ctx, f)
		return
	}
	r.logEvent("fault: %v: %s", f, m.name)
	defer r.beginFault(m, f.Kind)()
	switch f.Kind {
	case Partition:
		c := &partition{machine: m, fault: f}
		if f.Peer != "" {
			if c.peer = r.chainMember(r.newestView(), f.Peer); c.peer == nil || c.peer == m {
				return
			}
			defer r.beginFault(c.peer, f.Kind)()
		}
		r.setPartition(c, true)
		sleep(ctx, f.Duration)
		r.setPartition(c, false)
	case Kill, PowerLoss, Wipe, Terminate, Replace:
		r.injectMachineLoss(ctx, f, m)
	case Pause:
		r.network.pause(m.host)
		sleep(ctx, f.Duration)
		r.network.resume(m.host)
	case SlowDisk:
		m.media.setSlowdown(diskSlowdown)
		sleep(ctx, f.Duration)
		m.media.setSlowdown(1)
	case StallDisk:
		m.media.setStalled(true)
		sleep(ctx, f.Duration)
		m.media.setStalled(false)
	case FullDisk:
		m.media.setFull(true)
		sleep(ctx, f.Duration)
		m.media.setFull(false)
	case ResetConnections:
		for _, other := range r.allMachines() {
			r.network.resetConns(m.host.addr, other.host.addr)
		}
	}
	r.logEvent("fault ends: %s of %s", f.Kind, m.name)
}

// injectCoreOutage has all machines of the core lose power, and come back one shortly after the other.
func (r *simulation) injectCoreOutage(ctx context.Context, f Fault) {
	r.logEvent("fault: %v", f)
	core := slices.DeleteFunc(r.coreMachines(), func(m *machine) bool { return m.running() == nil })
	for _, m := range core {
		defer r.beginFault(m, f.Kind)()
		m.kill(true)
	}
	sleep(ctx, f.Duration)
	for _, m := range core {
		if m.running() == nil && ctx.Err() == nil {
			m.start(ctx, false)
		}
		sleep(ctx, f.Delay)
	}
	r.logEvent("fault ends: %s", f.Kind)
}

// diskSlowdown is how much slower a slow disk is.
const diskSlowdown = 30

// injectMachineLoss ends a process and starts it, or what replaces it, again.
func (r *simulation) injectMachineLoss(ctx context.Context, f Fault, m *machine) {
	if f.Kind == Replace {
		r.noteReplaced(m)
	}
	if f.Kind == Terminate {
		m.terminate(ctx)
	} else {
		m.kill(f.Kind == PowerLoss || f.Kind == Replace)
	}
	sleep(ctx, f.Duration)
	if ctx.Err() != nil {
		return
	}
	switch f.Kind {
	case Wipe:
		r.noteDiskLoss()
		m.media.wipe()
	case Replace:
		r.noteDiskLoss()
		m = r.addMachine(m.media != nil)
		defer r.beginFault(m, f.Kind)()
	}
	if m.running() == nil {
		m.start(ctx, false)
	}
}

// targetOf is the machine that a fault hits, nil if it has to leave it be.
func (r *simulation) targetOf(f Fault) *machine {
	core, agents := r.coreMachines(), r.agentMachines()
	m := r.chainMember(r.newestView(), f.Target)
	switch {
	case f.Target == Newest:
		m = core[len(core)-1]
	case f.Target == Agent && len(agents) > 0:
		m = agents[f.Index%len(agents)]
	case f.Target == Agent || f.Target == Member:
		m = core[f.Index%len(core)]
	}
	if m == nil || f.AfterCall == "" && m.media != nil && !r.canInject(m, f.Target == Newest) {
		return nil
	}
	return m
}

// chainMember is the machine of a place in a view's chain, nil if the place is none of those.
func (r *simulation) chainMember(v view.View, place Target) *machine {
	last := len(v.Chain) - 1
	if last < 0 {
		return nil
	}
	switch place {
	case Head:
		return r.machineByAddr(v.Chain[0].Addr)
	case Middle:
		return r.machineByAddr(v.Chain[last/2].Addr)
	case Tail:
		return r.machineByAddr(v.Chain[last].Addr)
	}
	return nil
}

// partition is a cut that lasts.
type partition struct {
	machine *machine
	peer    *machine // nil: all others
	fault   Fault
}

// linkState is what a cut does to one direction.
func (c *partition) linkState(from, to *machine) linkState {
	if c.machine != from && c.machine != to || !c.fault.IncludesAgents && (from.media == nil || to.media == nil) {
		return linkOpen
	}
	if c.peer != nil && c.peer != from && c.peer != to {
		return linkOpen
	}
	if c.machine == from && !c.fault.Outbound || c.machine == to && !c.fault.Inbound {
		return linkOpen
	}
	if c.fault.Reject {
		return linkRejects
	}
	return linkSilent
}

// setPartition begins or ends a cut and brings the links up to what all cuts make of them.
func (r *simulation) setPartition(c *partition, on bool) {
	r.mu.Lock()
	if on {
		r.partitions[c] = true
	} else {
		delete(r.partitions, c)
	}
	cuts := make([]*partition, 0, len(r.partitions))
	for c := range r.partitions {
		cuts = append(cuts, c)
	}
	r.mu.Unlock()
	for _, other := range r.allMachines() {
		for _, way := range [][2]*machine{{c.machine, other}, {other, c.machine}} {
			state := linkOpen
			for _, c := range cuts {
				state = max(state, c.linkState(way[0], way[1]))
			}
			r.network.setLink(way[0].host.addr, way[1].host.addr, state)
		}
	}
}

// describeView names a view's chain.
func (r *simulation) describeView(v view.View) string {
	s := fmt.Sprintf("%d voters, chain", len(v.Voters))
	for _, l := range v.Chain {
		if m := r.machineByAddr(l.Addr); m != nil {
			s += " " + m.name
		}
	}
	return s
}
