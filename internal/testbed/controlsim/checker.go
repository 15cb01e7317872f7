package controlsim

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// maxViolations bounds what one run reports.
const maxViolations = 16

// Violation is a broken promise.
type Violation struct {
	Seed    uint64
	At      time.Duration // of the run
	Machine string
	What    string
}

func (v Violation) String() string {
	return fmt.Sprintf("seed %d at %v, %s: %s", v.Seed, v.At, v.Machine, v.What)
}

// checker holds the run to what the control side promises.
type checker struct {
	sim *simulation

	mu            sync.Mutex
	violations    []Violation
	history       []porcupine.Operation
	views         map[uint64]view.View
	configs       map[uint64]string // what the configuration of a sequence number says
	ackedRevision int64             // highest revision that was acknowledged
	updates       int
	reads         int
	drains        int
	calls         int // between processes that were answered
}

const (
	// propagationTimeout is how long after its acknowledgement a change, or a drain, is known at every
	// machine in touch; healthyPeriod is how long a machine was in no fault to be counted as that.
	propagationTimeout, healthyPeriod = 2 * time.Second, 4 * time.Second
	// updateAckTimeout is how long an order may take while the core is stable: no fault begins or ends for
	// stablePeriod before it and meanwhile.
	updateAckTimeout, stablePeriod = 4 * time.Second, 4 * time.Second
)

func newChecker(r *simulation) *checker {
	return &checker{sim: r, views: map[uint64]view.View{}, configs: map[uint64]string{}}
}

func (f *checker) reportViolation(machine, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportViolationLocked(machine, format, args...)
}

func (f *checker) reportViolationLocked(machine, format string, args ...any) {
	v := Violation{Seed: f.sim.scenario.seed, At: f.sim.elapsed(), Machine: machine, What: fmt.Sprintf(format, args...)}
	f.sim.logEvent("VIOLATION %s: %s", v.Machine, v.What)
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, v)
	}
}

// viewLearned takes that a process has learned a view: there is one of each number.
func (f *checker) viewLearned(p *process, v view.View) {
	if p.ended.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known, is := f.views[v.Number]
	if !is {
		f.views[v.Number] = v.Clone()
		f.sim.logEvent("view %d: %s", v.Number, f.sim.describeView(v))
		return
	}
	if !known.Equal(v) {
		f.reportViolationLocked(p.machine.name, "view %d is %s here and %s elsewhere", v.Number, f.sim.describeView(v), f.sim.describeView(known))
	}
}

// configApplied takes that a process goes by a configuration: never by an older one than before, and by the
// same one as the others under one number.
func (f *checker) configApplied(p *process, s *relay.Snapshot) {
	if p.ended.Load() {
		return
	}
	before := p.snapshot.Swap(s)
	if before != nil && before.ConfigSeq == s.ConfigSeq {
		return
	}
	if before != nil && s.ConfigSeq < before.ConfigSeq {
		f.reportViolation(p.machine.name, "goes back from configuration %d to %d", before.ConfigSeq, s.ConfigSeq)
	}
	if s.Config == nil {
		return
	}
	id := operationID(s.Config.Raw())
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, is := f.configs[s.ConfigSeq]; is && known != id {
		f.reportViolationLocked(p.machine.name, "configuration %d is %q here and %q elsewhere", s.ConfigSeq, id, known)
	}
	f.configs[s.ConfigSeq] = id
	f.sim.logEvent("%s goes by configuration %d, revision %d", p.machine.name, s.ConfigSeq, s.Config.Revision)
}

// checkHistory tells whether the history is one of a register.
func (f *checker) checkHistory() {
	f.mu.Lock()
	history := slices.Clone(f.history)
	f.mu.Unlock()
	if !porcupine.CheckOperations(registerModel.ToModel(), history) {
		f.reportViolation("operators", "the history of %d orders and reads is not linearizable", len(history))
	}
}

// recordOperation takes one order or read with its answer.
func (f *checker) recordOperation(operator int, input any, out response, called time.Duration) {
	op := porcupine.Operation{ClientId: operator, Input: input, Call: int64(called), Output: out, Return: int64(f.sim.elapsed())}
	if out.outcome == chain.OutcomeUnknown {
		op.Return = 1 << 60 // it may be taken at any later time
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, op)
	if in, isOrder := input.(updateInput); !isOrder {
		f.reads++
	} else if out.outcome == chain.OutcomeCommitted {
		f.updates++
		f.ackedRevision = max(f.ackedRevision, in.revision)
	}
}

// updateCompleted takes that an operator has the last answer to an order.
func (f *checker) updateCompleted(in updateInput, out response, called time.Duration) {
	switch took := f.sim.elapsed() - called; {
	case out.outcome == chain.OutcomeCommitted:
		f.checkReplicas(in.revision)
		f.checkLater(propagationTimeout, func(acked time.Time) { f.checkPropagated(in.revision, acked) })
	case out.outcome == chain.OutcomeUnknown && took >= updateAckTimeout && f.sim.stableBetween(called-stablePeriod, called+updateAckTimeout):
		f.reportViolation("operators", "order %s was not answered within %v of a stable core", in.id, took)
	}
}

// checkReplicas counts the disks that hold a change when it is acknowledged.
func (f *checker) checkReplicas(revision int64) {
	if f.sim.diskLostSince(time.Now().Add(-healthyPeriod)) {
		return // a copy of it may have been on that disk
	}
	copies := 0
	for _, m := range f.sim.coreMachines() {
		state, err := controlplane.InspectRecords(m.media.read)
		if err != nil {
			f.reportViolation(m.name, "%v", err)
		} else if state.Record.Value.Revision >= revision {
			copies++
		}
	}
	if floor := f.sim.newestView().RequiredSpread(view.Tolerance{Machines: f.sim.scenario.toleratedLosses}).Machines; copies < floor {
		f.reportViolation("core", "revision %d is acknowledged with %d copies, not %d", revision, copies, floor)
	}
}

// checkLater calls a check after a time, unless the run ends before.
func (f *checker) checkLater(wait time.Duration, check func(since time.Time)) {
	since := time.Now()
	f.sim.checks.Go(func() {
		if sleep(f.sim.checking, wait); f.sim.checking.Err() == nil {
			check(since)
		}
	})
}

// checkPropagated looks for machines in touch that go by an older configuration than an acknowledged one.
func (f *checker) checkPropagated(revision int64, acked time.Time) {
	for _, p := range f.sim.healthySince(acked.Add(-healthyPeriod)) {
		if s := p.snapshot.Load(); s == nil || s.Config == nil || s.Config.Revision < revision {
			f.reportViolation(p.machine.name, "revision %d is not in force %v after its acknowledgement", revision, propagationTimeout)
		}
	}
}

// drainAcknowledged takes that a drain was acknowledged.
func (f *checker) drainAcknowledged(id string) {
	f.mu.Lock()
	f.drains++
	f.mu.Unlock()
	f.sim.logEvent("%s is answered that it drains", id)
	f.checkLater(propagationTimeout, func(acked time.Time) {
		for _, p := range f.sim.healthySince(acked.Add(-healthyPeriod)) {
			if s := p.snapshot.Load(); s != nil && s.Servers != nil && s.Servers.ByID[id] != nil {
				f.reportViolation(p.machine.name, "%s is listed %v after its drain was acknowledged", id, propagationTimeout)
			}
		}
	})
}

// callCompleted counts the calls between processes.
func (f *checker) callCompleted(answered bool) {
	if answered {
		f.mu.Lock()
		f.calls++
		f.mu.Unlock()
	}
}
