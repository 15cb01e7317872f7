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

// referee holds the run to what the control side promises.
type referee struct {
	run *run

	mu         sync.Mutex
	violations []Violation
	history    []porcupine.Operation
	views      map[uint64]view.View
	configs    map[uint64]string // what the configuration of a sequence number says
	acked      int64             // highest revision that was acknowledged
	taken      int
	reads      int
	drains     int
	calls      int // between processes that were answered
}

const (
	// inForceWithin is how long after its acknowledgement a change, or a drain, is known at every
	// machine in touch; inTouchFor is how long a machine was in no fault to be counted as that.
	inForceWithin, inTouchFor = 2 * time.Second, 4 * time.Second
	// ackWithin is how long an order may take while the core is stable: no fault begins or ends for
	// stableFor before it and meanwhile.
	ackWithin, stableFor = 4 * time.Second, 4 * time.Second
)

func newReferee(r *run) *referee {
	return &referee{run: r, views: map[uint64]view.View{}, configs: map[uint64]string{}}
}

func (f *referee) violate(machine, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violateLocked(machine, format, args...)
}

func (f *referee) violateLocked(machine, format string, args ...any) {
	v := Violation{Seed: f.run.setup.seed, At: f.run.now(), Machine: machine, What: fmt.Sprintf(format, args...)}
	f.run.log("VIOLATION %s: %s", v.Machine, v.What)
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, v)
	}
}

// learned takes that a process has learned a view: there is one of each number.
func (f *referee) learned(p *process, v view.View) {
	if p.dead.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known, is := f.views[v.Number]
	if !is {
		f.views[v.Number] = v.Clone()
		f.run.log("view %d: %s", v.Number, f.run.describe(v))
		return
	}
	if !known.Equal(v) {
		f.violateLocked(p.machine.name, "view %d is %s here and %s elsewhere", v.Number, f.run.describe(v), f.run.describe(known))
	}
}

// inForce takes that a process goes by a configuration: never by an older one than before, and by the
// same one as the others under one number.
func (f *referee) inForce(p *process, s *relay.Snapshot) {
	if p.dead.Load() {
		return
	}
	before := p.last.Swap(s)
	if before != nil && before.ConfigSeq == s.ConfigSeq {
		return
	}
	if before != nil && s.ConfigSeq < before.ConfigSeq {
		f.violate(p.machine.name, "goes back from configuration %d to %d", before.ConfigSeq, s.ConfigSeq)
	}
	if s.Config == nil {
		return
	}
	id := operationOf(s.Config.Raw())
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, is := f.configs[s.ConfigSeq]; is && known != id {
		f.violateLocked(p.machine.name, "configuration %d is %q here and %q elsewhere", s.ConfigSeq, id, known)
	}
	f.configs[s.ConfigSeq] = id
	f.run.log("%s goes by configuration %d, revision %d", p.machine.name, s.ConfigSeq, s.Config.Revision)
}

// orderInput and readInput are what operators ask of the register, answers what they got.
type (
	orderInput struct {
		ifMatch, revision int64
		id                string
	}
	readInput struct{}
	answer    struct {
		kind     chain.Outcome
		revision int64
		id       string // of a read
	}
	register struct {
		revision int64
		id       string
	}
)

// registerModel is what operators see: a register that is changed by comparing its version.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		cur, out := state.(register), output.(answer)
		in, isOrder := input.(orderInput)
		if !isOrder {
			if out.revision != cur.revision || out.id != cur.id {
				return nil
			}
			return []any{cur}
		}
		next := register{in.revision, in.id}
		switch fits := in.ifMatch == cur.revision; {
		case out.kind == chain.OutcomeCommitted && fits:
			return []any{next}
		case out.kind == chain.OutcomeConflict && !fits && out.revision == cur.revision:
			return []any{cur}
		case out.kind == chain.OutcomeUnknown && fits:
			return []any{cur, next}
		case out.kind == chain.OutcomeUnknown:
			return []any{cur}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistory tells whether the history is one of a register.
func (f *referee) checkHistory() {
	f.mu.Lock()
	history := slices.Clone(f.history)
	f.mu.Unlock()
	if !porcupine.CheckOperations(registerModel.ToModel(), history) {
		f.violate("operators", "the history of %d orders and reads is not linearizable", len(history))
	}
}

// record takes one order or read with its answer.
func (f *referee) record(operator int, input any, out answer, called time.Duration) {
	op := porcupine.Operation{ClientId: operator, Input: input, Call: int64(called), Output: out, Return: int64(f.run.now())}
	if out.kind == chain.OutcomeUnknown {
		op.Return = 1 << 60 // it may be taken at any later time
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, op)
	if in, isOrder := input.(orderInput); !isOrder {
		f.reads++
	} else if out.kind == chain.OutcomeCommitted {
		f.taken++
		f.acked = max(f.acked, in.revision)
	}
}

// answered takes that an operator has the last answer to an order.
func (f *referee) answered(in orderInput, out answer, called time.Duration) {
	switch took := f.run.now() - called; {
	case out.kind == chain.OutcomeCommitted:
		f.checkCopies(in.revision)
		f.later(inForceWithin, func(acked time.Time) { f.checkInForce(in.revision, acked) })
	case out.kind == chain.OutcomeUnknown && took >= ackWithin && f.run.stable(called-stableFor, called+ackWithin):
		f.violate("operators", "order %s was not answered within %v of a stable core", in.id, took)
	}
}

// checkCopies counts the disks that hold a change when it is acknowledged.
func (f *referee) checkCopies(revision int64) {
	if f.run.lostDiskSince(time.Now().Add(-inTouchFor)) {
		return // a copy of it may have been on that disk
	}
	copies := 0
	for _, m := range f.run.members() {
		state, err := controlplane.InspectRecords(m.media.read)
		if err != nil {
			f.violate(m.name, "%v", err)
		} else if state.Record.Value.Revision >= revision {
			copies++
		}
	}
	if floor := f.run.view().RequiredSpread(view.Tolerance{Machines: f.run.setup.losses}).Machines; copies < floor {
		f.violate("core", "revision %d is acknowledged with %d copies, not %d", revision, copies, floor)
	}
}

// later calls a check after a time, unless the run ends before.
func (f *referee) later(wait time.Duration, check func(since time.Time)) {
	since := time.Now()
	f.run.checks.Go(func() {
		if pause(f.run.playing, wait); f.run.playing.Err() == nil {
			check(since)
		}
	})
}

// checkInForce looks for machines in touch that go by an older configuration than an acknowledged one.
func (f *referee) checkInForce(revision int64, acked time.Time) {
	for _, p := range f.run.inTouch(acked.Add(-inTouchFor)) {
		if s := p.last.Load(); s == nil || s.Config == nil || s.Config.Revision < revision {
			f.violate(p.machine.name, "revision %d is not in force %v after its acknowledgement", revision, inForceWithin)
		}
	}
}

// drained takes that a drain was acknowledged.
func (f *referee) drained(id string) {
	f.mu.Lock()
	f.drains++
	f.mu.Unlock()
	f.run.log("%s is answered that it drains", id)
	f.later(inForceWithin, func(acked time.Time) {
		for _, p := range f.run.inTouch(acked.Add(-inTouchFor)) {
			if s := p.last.Load(); s != nil && s.Servers != nil && s.Servers.ByID[id] != nil {
				f.violate(p.machine.name, "%s is listed %v after its drain was acknowledged", id, inForceWithin)
			}
		}
	})
}

// called counts the calls between processes.
func (f *referee) called(answered bool) {
	if answered {
		f.mu.Lock()
		f.calls++
		f.mu.Unlock()
	}
}
