package controlsim

import (
	"slices"
	"time"
)

// faultPeriod is a period in which a machine is faulty.
type faultPeriod struct {
	machine    *machine
	kind       FaultKind
	begin, end time.Time // end is zero until the fault has ended
}

// beginFault begins a fault period of a machine. The returned function ends it.
func (s *simulation) beginFault(m *machine, kind FaultKind) (end func()) {
	period := &faultPeriod{machine: m, kind: kind, begin: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultPeriods = append(s.faultPeriods, period)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		period.end = time.Now()
	}
}

// healthySince returns the processes that have run since a time on machines without a fault since then.
func (s *simulation) healthySince(since time.Time) (processes []*process) {
	faulty := map[*machine]bool{}
	s.mu.Lock()
	for _, period := range s.faultPeriods {
		if period.end.IsZero() || period.end.After(since) {
			faulty[period.machine] = true
		}
	}
	s.mu.Unlock()
	for _, m := range s.allMachines() {
		if p := m.running(); p != nil && !faulty[m] && !p.startedAt.After(since) {
			processes = append(processes, p)
		}
	}
	return processes
}

// coreLostSince tells whether all machines of the core have been without power at the same time, at any moment after t.
func (s *simulation) coreLostSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.faultPeriods, func(period *faultPeriod) bool {
		lost := period.kind == CoreOutage || period.kind == FleetOutage
		return lost && (period.end.IsZero() || period.end.After(t))
	})
}

// stableBetween tells whether no fault began or ended between two virtual times of the run.
func (s *simulation) stableBetween(from, to time.Duration) bool {
	isBetween := func(t time.Time) bool {
		at := t.Sub(s.startedAt)
		return at >= from && at <= to
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.faultPeriods, func(period *faultPeriod) bool {
		return isBetween(period.begin) || isBetween(period.end)
	})
}

// canInject tells whether fewer than half of the core's machines are faulty if a fault of m is added. A machine that
// has lost its disk counts as faulty until recoveryTime after its restart, or after the start of its replacement. It
// doesn't count for a fault of the replacement itself, which takes the place of that machine.
func (s *simulation) canInject(m *machine, replacement bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	faulty := map[*machine]bool{m: true}
	for _, period := range s.faultPeriods {
		if period.kind == PoorLinks {
			continue // the machine still works
		}
		diskLost := (period.kind == Wipe || period.kind == Replace) && !replacement
		recovering := diskLost && now.Sub(period.end) < recoveryTime
		if period.machine.media != nil && (period.end.IsZero() || recovering) {
			faulty[period.machine] = true
		}
	}
	return 2*len(faulty) < s.scenario.coreCount
}

// recordDiskLoss records the loss of a disk at the present time.
func (s *simulation) recordDiskLoss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastDiskLoss = time.Now()
}

// diskLostSince tells whether a disk was lost after a time.
func (s *simulation) diskLostSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastDiskLoss.After(t)
}
