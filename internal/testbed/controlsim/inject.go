package controlsim

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

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
