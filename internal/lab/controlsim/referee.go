package controlsim

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"chalkdoor.example/chalkdoor/internal/chain"
	"chalkdoor.example/chalkdoor/internal/hub"
	"chalkdoor.example/chalkdoor/internal/view"
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
}

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
func (f *referee) inForce(p *process, s *hub.Snapshot) {
	if p.dead.Load() {
		return
	}
	before := p.last.Swap(s)
	if before != nil && before.Seq == s.Seq {
		return
	}
	if before != nil && s.Seq < before.Seq {
		f.violate(p.machine.name, "goes back from configuration %d to %d", before.Seq, s.Seq)
	}
	if s.Doc == nil {
		return
	}
	id := operationOf(s.Doc.Raw())
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, is := f.configs[s.Seq]; is && known != id {
		f.violateLocked(p.machine.name, "configuration %d is %q here and %q elsewhere", s.Seq, id, known)
	}
	f.configs[s.Seq] = id
	f.run.log("%s goes by configuration %d, revision %d", p.machine.name, s.Seq, s.Doc.Revision)
}

// orderInput and readInput are what operators ask of the register, answers what they got.
type (
	orderInput struct {
		ifMatch, revision int64
		id                string
	}
	readInput struct{}
	answer    struct {
		kind     chain.Kind
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
		case out.kind == chain.Taken && fits:
			return []any{next}
		case out.kind == chain.Conflict && !fits && out.revision == cur.revision:
			return []any{cur}
		case out.kind == chain.Unclear && fits:
			return []any{cur, next}
		case out.kind == chain.Unclear:
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
	if out.kind == chain.Unclear {
		op.Return = 1 << 60 // it may be taken at any later time
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, op)
	if in, isOrder := input.(orderInput); !isOrder {
		f.reads++
	} else if out.kind == chain.Taken {
		f.taken++
		f.acked = max(f.acked, in.revision)
	}
}
