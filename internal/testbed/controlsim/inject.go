package controlsim

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// callTimeout bounds the time that a fault waits for its call.
	callTimeout = 5 * time.Second
	// diskSlowdown is the ratio of the latencies of a slow and a healthy disk.
	diskSlowdown = 30
)

// inject waits for the time of a fault, injects it and ends it.
func (s *simulation) inject(ctx context.Context, f Fault) {
	sleep(ctx, f.At)
	target := s.targetOf(f)
	if ctx.Err() != nil || target == nil {
		return
	}
	if f.AfterCall != "" && !s.awaitCall(ctx, f) {
		return
	}
	switch f.Kind {
	case CoreOutage:
		s.injectOutage(ctx, f, s.coreMachines())
		return
	case ZoneOutage:
		s.injectOutage(ctx, f, s.machinesOfZone(target.zone))
		return
	case RegionOutage:
		s.injectOutage(ctx, f, s.machinesOfRegion(target.region))
		return
	case FleetOutage:
		machines := s.allMachines()
		random := s.newRandom("outage", f.Index)
		random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
		s.injectOutage(ctx, f, machines)
		return
	}
	s.logEvent("fault: %v: %s", f, target.name)
	defer s.beginFault(target, f.Kind)()
	switch f.Kind {
	case Partition:
		if !s.injectPartition(ctx, f, target) {
			return
		}
	case Kill, PowerLoss, Wipe, Terminate, Replace:
		s.injectProcessLoss(ctx, f, target)
	case Pause:
		s.network.pause(target.host)
		sleep(ctx, f.Duration)
		s.network.resume(target.host)
	case SlowDisk, StallDisk, FullDisk:
		injectDiskFault(ctx, f, target.media)
	case PoorLinks:
		s.injectPoorLinks(ctx, f, target)
	case ResetConnections:
		for _, other := range s.allMachines() {
			s.network.resetConns(target.host.addr, other.host.addr)
		}
	}
	s.logEvent("fault ends: %s of %s", f.Kind, target.name)
}

// awaitCall waits until the call that a fault follows has arrived at its machine, and then for the delay of the fault.
// It returns false if there is no such call within callTimeout.
func (s *simulation) awaitCall(ctx context.Context, f Fault) bool {
	called := s.chainMember(s.newestView(), f.CallTarget)
	if called == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	arrived, forget := s.network.watchCall(called.host, f.AfterCall)
	defer forget()
	select {
	case <-arrived:
		sleep(ctx, f.Delay)
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// injectPartition partitions a machine for the duration of a fault. It returns false if the view has no machine for the
// fault's peer, or if that is the machine itself.
func (s *simulation) injectPartition(ctx context.Context, f Fault, m *machine) bool {
	p := &partition{machine: m, fault: f}
	if f.Peer != "" {
		if p.peer = s.chainMember(s.newestView(), f.Peer); p.peer == nil || p.peer == m {
			return false
		}
		defer s.beginFault(p.peer, f.Kind)()
	}
	s.addPartition(p)
	sleep(ctx, f.Duration)
	s.removePartition(p)
	return true
}

func injectDiskFault(ctx context.Context, f Fault, m *media) {
	switch f.Kind {
	case SlowDisk:
		m.setSlowdown(diskSlowdown)
		defer m.setSlowdown(1)
	case StallDisk:
		m.setStalled(true)
		defer m.setStalled(false)
	case FullDisk:
		m.setFull(true)
		defer m.setFull(false)
	}
	sleep(ctx, f.Duration)
}

// injectPoorLinks degrades the links between a machine and all others for the duration of a fault.
func (s *simulation) injectPoorLinks(ctx context.Context, f Fault, m *machine) {
	setAll := func(quality linkQuality) {
		for _, other := range s.allMachines() {
			s.network.setQuality(m.host.addr, other.host.addr, quality)
		}
	}
	setAll(linkQuality{loss: f.Loss, bandwidth: f.Bandwidth})
	sleep(ctx, f.Duration)
	setAll(linkQuality{})
}

// injectOutage cuts the power of machines and later restarts them one after the other.
func (s *simulation) injectOutage(ctx context.Context, f Fault, machines []*machine) {
	s.logEvent("fault: %v", f)
	lost := slices.DeleteFunc(machines, func(m *machine) bool { return m.running() == nil })
	for _, m := range lost {
		defer s.beginFault(m, f.Kind)()
		m.kill(true)
	}
	sleep(ctx, f.Duration)
	for _, m := range lost {
		if m.running() == nil && ctx.Err() == nil {
			m.start(s.processCtx, false)
		}
		sleep(ctx, f.Delay)
	}
	s.logEvent("fault ends: %s", f.Kind)
}

// injectProcessLoss ends a process and restarts it, or starts its replacement on a new machine.
func (s *simulation) injectProcessLoss(ctx context.Context, f Fault, m *machine) {
	if f.Kind == Replace {
		s.recordReplacement(m)
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
		s.recordDiskLoss()
		m.media.wipe()
	case Replace:
		s.recordDiskLoss()
		m = s.addMachine(m.media != nil)
		defer s.beginFault(m, f.Kind)()
	}
	if m.running() == nil {
		m.start(s.processCtx, false)
	}
}

// targetOf returns the target of a fault according to the newest view; nil if there is none, or if too many machines of
// the core would be faulty at once.
func (s *simulation) targetOf(f Fault) *machine {
	core, agents := s.coreMachines(), s.agentMachines()
	m := s.chainMember(s.newestView(), f.Target)
	switch {
	case f.Target == Newest:
		m = core[len(core)-1]
	case f.Target == Agent && len(agents) > 0:
		m = agents[f.Index%len(agents)]
	case f.Target == Agent || f.Target == Member:
		m = core[f.Index%len(core)]
	}
	if m == nil || f.AfterCall == "" && m.media != nil && !s.canInject(m, f.Target == Newest) {
		return nil
	}
	return m
}

// chainMember returns the machine at the head, in the middle or at the tail of a view's chain; nil for other targets.
func (s *simulation) chainMember(v view.View, target Target) *machine {
	last := len(v.Chain) - 1
	if last < 0 {
		return nil
	}
	switch target {
	case Head:
		return s.machineByAddr(v.Chain[0].Addr)
	case Middle:
		return s.machineByAddr(v.Chain[last/2].Addr)
	case Tail:
		return s.machineByAddr(v.Chain[last].Addr)
	}
	return nil
}
