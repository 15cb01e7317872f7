package singleton

import (
	"fmt"
	"hash"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is a deliberate error. The model checker must find each one.
type defect string

const (
	none                    defect = ""
	leaseLongerThanTakeover defect = "the lease is longer than the takeover delay"
	leaseFromResponse       defect = "the lease runs from the response"
	renewalReused           defect = "a write that was believed to be lost is repeated with the same renewal number"
	actsAfterResigning      defect = "the holder still acts after it has named its successor"
	fenceIgnored            defect = "a receiver admits every term"
	versionIgnored          defect = "a write is committed whatever version it expects"
	renewalIgnored          defect = "a renewal does not restart the takeover delay"
)

// timeUnit is the step of the model's clock.
const timeUnit = time.Second

// model consists of a few processes, the register, and a receiver of actions. Its steps are all events that matter. A
// process that takes no step while time passes is paused.
type model struct {
	defect           defect
	now              time.Duration
	resignationsLeft int
	withActions      bool
	register         register
	fence            Fence  // fence of the receiver
	lastAppliedTerm  uint64 // term of the last action that was executed
	processes        []*process
}

type process struct {
	candidate  *Candidate
	inFlight   *Write // write that has not arrived yet; nil if there is none
	actionTerm uint64 // term of the action in flight; 0 if there is none
	unanswered *Write // last write without a response; nil if there is none
}

// setup describes the size of a model.
type setup struct {
	processes, resignations int
	actions                 bool
}

func newModel(defect defect, setup setup) *model {
	m := &model{defect: defect, now: start, resignationsLeft: setup.resignations, withActions: setup.actions}
	timing := Timing{RenewInterval: timeUnit, LeaseDuration: 2 * timeUnit, TakeoverDelay: 3 * timeUnit}
	if defect == leaseLongerThanTakeover {
		timing.LeaseDuration = 4 * timeUnit
	}
	for i := range setup.processes {
		p := &process{candidate: New(fmt.Sprint(i), timing)}
		p.candidate.Observe(m.now, 0, Record{})
		m.processes = append(m.processes, p)
	}
	return m
}

// observe makes a process read the register.
func (m *model) observe(p *process) {
	c := p.candidate
	since, known := c.unchangedSince, c.observed
	c.Observe(m.now, m.register.version, m.register.record)
	if m.defect == renewalIgnored && known && c.record.Term > 0 && c.record.Renewal > 1 {
		c.unchangedSince = since
	}
	if m.defect == leaseFromResponse && c.record.Holder == c.self {
		for i, pending := range c.pending {
			if pending.renewal == c.record.Renewal {
				c.pending[i].startedAt = m.now
			}
		}
	}
}

// startWrite puts a write in flight.
func (m *model) startWrite(p *process, w Write) {
	if m.defect == renewalReused && p.unanswered != nil &&
		p.unanswered.Record.Term == w.Record.Term && p.unanswered.Record.Holder == w.Record.Holder {
		c := p.candidate
		renewal := p.unanswered.Record.Renewal
		last := &c.pending[len(c.pending)-1]
		last.renewal, w.Record.Renewal, c.lastRenewal = renewal, renewal, renewal
		startedAt := last.startedAt
		c.pending = slices.DeleteFunc(c.pending, func(other pendingWrite) bool {
			return other.renewal == renewal && other.startedAt < startedAt
		})
	}
	p.inFlight = &w
}

type step func() error

// steps returns all steps that are possible next. Their order identifies them in a trace.
func (m *model) steps() []step {
	steps := []step{func() error { m.now += timeUnit; return nil }}
	for i, p := range m.processes {
		if p.inFlight == nil {
			steps = append(steps, m.writeSteps(i, p)...)
		} else {
			steps = append(steps, m.arrive(p, true), m.arrive(p, false))
		}
		if p.candidate.version < m.register.version {
			steps = append(steps, func() error { m.observe(p); return nil })
		}
		steps = append(steps, m.actionSteps(p)...)
	}
	return steps
}

// writeSteps returns the steps in which a process begins a write.
func (m *model) writeSteps(i int, p *process) (steps []step) {
	if _, due := p.candidate.clone().NextWrite(m.now, 0); due {
		steps = append(steps, func() error {
			w, _ := p.candidate.NextWrite(m.now, 0)
			m.startWrite(p, w)
			return nil
		})
	}
	if m.resignationsLeft > 0 && p.candidate.record.actingHolder(p.candidate.self) {
		steps = append(steps, func() error {
			m.resignationsLeft--
			w, _ := p.candidate.Resign(m.now, fmt.Sprint((i+1)%len(m.processes)))
			if m.defect == actsAfterResigning {
				p.candidate.resigned = false
			}
			m.startWrite(p, w)
			return nil
		})
	}
	return steps
}

// arrive returns the step in which a write reaches the register. If answered is false, its response is lost.
func (m *model) arrive(p *process, answered bool) step {
	return func() error {
		w := *p.inFlight
		p.inFlight, p.unanswered = nil, &w
		if m.defect == versionIgnored {
			w.ExpectedVersion = m.register.version
		}
		m.register.compareAndSet(w)
		if answered {
			m.observe(p)
			p.unanswered = nil
		}
		return nil
	}
}

// actionSteps returns the steps of an action: a process that finds that it holds the lease sends it, and the receiver
// executes or rejects it.
func (m *model) actionSteps(p *process) (steps []step) {
	if term, holds := p.candidate.HoldsLease(m.now); holds && m.withActions && p.actionTerm == 0 {
		steps = append(steps, func() error { p.actionTerm = term; return nil })
	}
	if p.actionTerm > 0 {
		steps = append(steps, func() error { return m.receiveAction(p) })
	}
	return steps
}

func (m *model) receiveAction(p *process) error {
	term := p.actionTerm
	p.actionTerm = 0
	if !m.fence.Admit(term) && m.defect != fenceIgnored {
		return nil
	}
	if term < m.lastAppliedTerm {
		return fmt.Errorf("an action of term %d is executed after one of term %d", term, m.lastAppliedTerm)
	}
	m.lastAppliedTerm = term
	return nil
}

// Steps returns the number of steps that are possible next.
func (m *model) Steps() int { return len(m.steps()) }

// Do takes a step and checks the invariants.
func (m *model) Do(i int) error {
	term := m.register.record.Term
	if err := m.steps()[i](); err != nil {
		return err
	}
	if m.register.record.Term < term {
		return fmt.Errorf("term %d follows term %d", m.register.record.Term, term)
	}
	if holders := m.holders(); holders > 1 {
		return fmt.Errorf("%d processes hold the lease", holders)
	}
	return nil
}

func (m *model) holders() (n int) {
	for _, p := range m.processes {
		if _, holds := p.candidate.HoldsLease(m.now); holds {
			n++
		}
	}
	return n
}

// clone returns a copy that shares no mutable state.
func (c *Candidate) clone() *Candidate {
	other := *c
	other.pending = slices.Clone(c.pending)
	return &other
}

// Clone returns a copy that shares no mutable state.
func (m *model) Clone() *model {
	other := *m
	other.processes = nil
	for _, p := range m.processes {
		q := *p
		q.candidate = p.candidate.clone()
		other.processes = append(other.processes, &q)
	}
	return &other
}

// stateHash hashes the part of a model's state that its future depends on. Times are hashed as ages and terms as
// distances, up to the limits that they are compared with. So there are finitely many states, however long time passes.
type stateHash struct {
	model *model
	sum   hash.Hash64
}

func (h stateHash) put(values ...int64) {
	for _, value := range values {
		h.sum.Write([]byte{byte(value)})
	}
}

func (h stateHash) putFlag(flag bool) {
	if flag {
		h.put(1)
	} else {
		h.put(0)
	}
}

func (h stateHash) putAge(since, limit time.Duration) {
	h.put(int64(min(h.model.now-since, limit) / timeUnit))
}

func (h stateHash) putTerm(term uint64) {
	limit := int64(1) // without actions it only matters whether a term is the newest
	if h.model.withActions {
		limit = 2
	}
	h.put(min(int64(h.model.register.record.Term)-int64(term), limit))
}

func (h stateHash) putRecord(r Record) {
	h.sum.Write([]byte(r.Holder + "," + r.Successor))
	h.putTerm(r.Term)
}

// putPending hashes the writes that may still grant a lease.
func (h stateHash) putPending(p *process) {
	c := p.candidate
	for _, pending := range c.pending {
		for i, r := range []*Record{&c.record, &h.model.register.record, p.committable(h.model.register.version)} {
			if r != nil && r.Term == pending.term && r.Renewal == pending.renewal && r.Holder == c.self {
				h.put('a', int64(i))
				h.putAge(pending.startedAt, c.timing.LeaseDuration)
			}
		}
	}
}

func (h stateHash) putProcess(p *process) {
	m, c := h.model, p.candidate
	h.putRecord(c.record)
	h.put('/')
	h.putFlag(c.version == m.register.version)
	h.putAge(c.unchangedSince, c.timing.TakeoverDelay)
	h.putFlag(c.lastWriteAt > 0 && c.lastWriteAt == m.now)
	h.putFlag(c.resigned)
	h.putFlag(p.actionTerm > 0)
	h.putTerm(p.actionTerm)
	h.putPending(p)
	if p.inFlight != nil {
		h.put('o')
		if p.inFlight.ExpectedVersion == m.register.version { // a write that expects another version will be rejected
			h.put('k')
			h.putRecord(p.inFlight.Record)
		}
	}
	if m.defect == renewalReused && p.unanswered != nil {
		h.put('l', int64(p.unanswered.Record.Renewal))
		h.putRecord(p.unanswered.Record)
	}
}

// Hash returns the same value for states with the same future.
func (m *model) Hash() uint64 {
	h := stateHash{m, fnv.New64a()}
	h.put(int64(m.resignationsLeft))
	h.putTerm(m.lastAppliedTerm)
	h.putTerm(m.fence.newest)
	h.putRecord(m.register.record)
	for _, p := range m.processes {
		h.putProcess(p)
	}
	return h.sum.Sum64()
}

// committable returns the record of the write in flight if that may still be committed, or nil.
func (p *process) committable(version uint64) *Record {
	if p.inFlight == nil || p.inFlight.ExpectedVersion != version {
		return nil
	}
	return &p.inFlight.Record
}

// maxSchedules is larger than the number of schedules of any of the models.
const maxSchedules = 1_000_000

// No two processes hold the lease, and no action of an earlier holder is executed after one of a later holder, in any
// interleaving of writes (which may arrive late or lose their response), reads, actions, a handover, and pauses of any
// length.
func TestAllInterleavings(t *testing.T) {
	for _, s := range []setup{{2, 0, false}, {2, 1, false}, {2, 0, true}} {
		result := interleave.Search(newModel(none, s), maxSchedules)
		t.Logf("%+v: %v", s, result)
		if result.Err != nil || !result.Exhausted {
			t.Errorf("%+v: %v", s, result)
		}
	}
}

// Each defect breaks a rule and with it one of the guarantees. The model checker finds how.
func TestModelCheckerFindsEachDefect(t *testing.T) {
	for defect, s := range map[defect]setup{
		leaseLongerThanTakeover: {processes: 2},
		leaseFromResponse:       {processes: 2},
		renewalReused:           {processes: 2},
		actsAfterResigning:      {processes: 2, resignations: 1},
		fenceIgnored:            {processes: 2, actions: true},
		versionIgnored:          {processes: 2},
		renewalIgnored:          {processes: 2},
	} {
		t.Run(string(defect), func(t *testing.T) {
			result := interleave.Search(newModel(defect, s), maxSchedules)
			if result.Err == nil {
				t.Fatalf("the defect was not found: %v", result)
			}
			t.Log(result)
			if err := interleave.Walk(newModel(defect, s), result.Trace); err == nil {
				t.Error("replaying the trace does not show the defect")
			}
		})
	}
}
