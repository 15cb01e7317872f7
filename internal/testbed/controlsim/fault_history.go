package controlsim

import (
	"slices"
	"time"
)

// activeFault is a time in which a machine is hit by a fault.
type activeFault struct {
	machine    *machine
	kind       FaultKind
	begin, end time.Time // end zero: it lasts
}

// healthySince are the processes that have run, and whose machines were in no fault, since a time.
func (r *simulation) healthySince(since time.Time) (out []*process) {
	hit := map[*machine]bool{}
	r.mu.Lock()
	for _, t := range r.activeFaults {
		if t.end.IsZero() || t.end.After(since) {
			hit[t.machine] = true
		}
	}
	r.mu.Unlock()
	for _, m := range r.allMachines() {
		if p := m.running(); p != nil && !hit[m] && !p.startedAt.After(since) {
			out = append(out, p)
		}
	}
	return out
}

// stableBetween tells whether no fault began or ended in a time of the run.
func (r *simulation) stableBetween(from, to time.Duration) bool {
	within := func(t time.Time) bool { at := t.Sub(r.startedAt); return at >= from && at <= to }
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.activeFaults, func(t *activeFault) bool { return within(t.begin) || within(t.end) })
}

// beginFault notes that a machine is hit by a fault, until the function that it returns is called.
func (r *simulation) beginFault(m *machine, kind FaultKind) (end func()) {
	t := &activeFault{machine: m, kind: kind, begin: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults = append(r.activeFaults, t)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t.end = time.Now()
	}
}

// canInject tells whether one more machine of the core may be hit: fewer than half are then. A disk
// that was lost counts until recoveryTime after its machine, or what replaces it, started; not for the
// loss of the replacement, which takes the same place.
func (r *simulation) canInject(m *machine, replacement bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	hit := map[*machine]bool{m: true}
	for _, t := range r.activeFaults {
		lost := (t.kind == Wipe || t.kind == Replace) && !replacement
		if t.machine.media != nil && (t.end.IsZero() || lost && now.Sub(t.end) < recoveryTime) {
			hit[t.machine] = true
		}
	}
	return 2*len(hit) < r.scenario.coreCount
}

// noteDiskLoss notes that a disk was lost.
func (r *simulation) noteDiskLoss() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastDiskLoss = time.Now()
}

// diskLostSince tells whether a disk was lost after a time.
func (r *simulation) diskLostSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastDiskLoss.After(t)
}
