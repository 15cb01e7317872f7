package singleton

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is what is done wrong on purpose, to see that the checker finds it.
type defect string

const (
	none                    defect = ""
	leaseLongerThanTakeover defect = "the lease is longer than others wait"
	leaseFromResponse       defect = "the lease runs from the answer"
	renewalReused           defect = "an attempt that was taken for lost is repeated as it was"
	actsAfterResigning      defect = "the holder acts on after it named its successor"
	fenceIgnored            defect = "a receiver does what any number says"
	versionIgnored          defect = "a write is kept whatever version it is on"
	renewalIgnored          defect = "a renewal does not begin the wait anew"
)

const timeUnit = time.Second

// model is a few processes, the register, and a receiver of acts, at every moment that matters.
// A process that does nothing while time passes is a frozen one.
type model struct {
	defect           defect
	now              time.Duration
	resignationsLeft int // that may happen
	withActions      bool
	register         register
	fence            Fence
	lastAppliedTerm  uint64 // newest number of which an act was done
	processes        []*process
}

type process struct {
	candidate  *Candidate
	inFlight   *Write // on its way
	actionTerm uint64 // on its way; 0: none
	unanswered *Write // the last write without an answer
}

func newModel(bad defect, processes, leaves int, acts bool) *model {
	w := &model{defect: bad, now: start, resignationsLeft: leaves, withActions: acts}
	timing := Timing{RenewInterval: timeUnit, LeaseDuration: 2 * timeUnit, TakeoverDelay: 3 * timeUnit}
	if bad == leaseLongerThanTakeover {
		timing.LeaseDuration = 4 * timeUnit
	}
	for i := range processes {
		p := &process{candidate: New(fmt.Sprint(i), timing)}
		p.candidate.Observe(w.now, 0, Record{})
		w.processes = append(w.processes, p)
	}
	return w
}

func (w *model) observe(p *process, r register) {
	c := p.candidate
	since, fresh := c.unchangedSince, c.known
	c.Observe(w.now, r.version, r.record)
	if w.defect == renewalIgnored && fresh && c.record.Term > 0 && c.record.Renewal > 1 {
		c.unchangedSince = since
	}
	if w.defect == leaseFromResponse && c.record.Holder == c.self {
		for i, a := range c.pending {
			if a.renewal == c.record.Renewal {
				c.pending[i].startedAt = w.now
			}
		}
	}
}

// startWrite puts a write on its way.
func (w *model) startWrite(p *process, x Write) {
	if w.defect == renewalReused && p.unanswered != nil && p.unanswered.Record.Term == x.Record.Term && p.unanswered.Record.Holder == x.Record.Holder {
		a := &p.candidate.pending[len(p.candidate.pending)-1]
		a.renewal, x.Record.Renewal = p.unanswered.Record.Renewal, p.unanswered.Record.Renewal
		p.candidate.lastRenewal = a.renewal
		p.candidate.pending = slices.DeleteFunc(p.candidate.pending, func(b pendingWrite) bool { return b.renewal == a.renewal && b.startedAt < a.startedAt })
	}
	p.inFlight = &x
}

func (w *model) steps() (steps []func() error) {
	steps = append(steps, func() error { w.now += timeUnit; return nil })
	for i, p := range w.processes {
		if p.inFlight == nil {
			probe := *p.candidate
			probe.pending = slices.Clone(p.candidate.pending)
			if _, due := probe.NextWrite(w.now, 0); due {
				steps = append(steps, func() error {
					x, _ := p.candidate.NextWrite(w.now, 0)
					w.startWrite(p, x)
					return nil
				})
			}
			if w.resignationsLeft > 0 && p.candidate.record.Holder == p.candidate.self && p.candidate.record.Successor == "" {
				steps = append(steps, func() error {
					w.resignationsLeft--
					x, _ := p.candidate.Resign(w.now, fmt.Sprint((i+1)%len(w.processes)))
					if w.defect == actsAfterResigning {
						p.candidate.resigned = false
					}
					w.startWrite(p, x)
					return nil
				})
			}
		} else {
			arrive := func(answered bool) func() error {
				return func() error {
					x := *p.inFlight
					p.inFlight, p.unanswered = nil, &x
					if w.defect == versionIgnored {
						x.ExpectedVersion = w.register.version
					}
					w.register.compareAndSet(x)
					if answered {
						w.observe(p, w.register)
						p.unanswered = nil
					}
					return nil
				}
			}
			steps = append(steps, arrive(true), arrive(false))
		}
		if p.candidate.version < w.register.version {
			steps = append(steps, func() error { w.observe(p, w.register); return nil })
		}
		if number, holds := p.candidate.HoldsLease(w.now); holds && w.withActions && p.actionTerm == 0 {
			steps = append(steps, func() error { p.actionTerm = number; return nil })
		}
		if p.actionTerm > 0 {
			steps = append(steps, func() error {
				number := p.actionTerm
				p.actionTerm = 0
				if !w.fence.Admit(number) && w.defect != fenceIgnored {
					return nil
				}
				if number < w.lastAppliedTerm {
					return fmt.Errorf("an act of %d is done after one of %d", number, w.lastAppliedTerm)
				}
				w.lastAppliedTerm = number
				return nil
			})
		}
	}
	return steps
}

func (w *model) Steps() int { return len(w.steps()) }

func (w *model) Do(i int) error {
	number := w.register.record.Term
	if err := w.steps()[i](); err != nil {
		return err
	}
	if w.register.record.Term < number {
		return fmt.Errorf("number %d follows on %d", w.register.record.Term, number)
	}
	holders := 0
	for _, p := range w.processes {
		if _, holds := p.candidate.HoldsLease(w.now); holds {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d hold the duty", holders)
	}
	return nil
}

func (w *model) Clone() *model {
	c := *w
	c.processes = nil
	for _, p := range w.processes {
		q, cand := *p, *p.candidate
		cand.pending = slices.Clone(p.candidate.pending)
		q.candidate = &cand
		c.processes = append(c.processes, &q)
	}
	return &c
}

// Hash is of what matters to what follows: times as ages, numbers as distances, up to what they are
// compared with; so the states of all times, however long, are a finite set.
func (w *model) Hash() uint64 {
	f := fnv.New64a()
	age := func(at, most time.Duration) int64 { return int64(min(w.now-at, most) / timeUnit) }
	far := int64(1) // without acts it only matters whether a number is the newest
	if w.withActions {
		far = 2
	}
	back := func(number uint64) int64 { return min(int64(w.register.record.Term)-int64(number), far) }
	put := func(xs ...int64) {
		for _, x := range xs {
			f.Write([]byte{byte(x)})
		}
	}
	flag := func(b bool) int64 {
		if b {
			return 1
		}
		return 0
	}
	record := func(r Record) {
		f.Write([]byte(r.Holder + "," + r.Successor))
		put(back(r.Term))
	}
	put(int64(w.resignationsLeft), back(w.lastAppliedTerm), back(w.fence.newest))
	record(w.register.record)
	for _, p := range w.processes {
		c := p.candidate
		record(c.record)
		put('/', flag(c.version == w.register.version), age(c.unchangedSince, c.timing.TakeoverDelay), flag(c.lastWriteAt > 0 && c.lastWriteAt == w.now), flag(c.resigned), flag(p.actionTerm > 0), back(p.actionTerm))
		for _, a := range c.pending { // that may still give a lease
			for i, r := range []*Record{&c.record, &w.register.record, p.committable(w.register.version)} {
				if r != nil && r.Term == a.term && r.Renewal == a.renewal && r.Holder == c.self {
					put('a', int64(i), age(a.startedAt, c.timing.LeaseDuration))
				}
			}
		}
		if p.inFlight != nil {
			if put('o'); p.inFlight.ExpectedVersion == w.register.version { // else it will be refused, whatever it says
				put('k')
				record(p.inFlight.Record)
			}
		}
		if w.defect == renewalReused && p.unanswered != nil {
			put('l', int64(p.unanswered.Record.Renewal))
			record(p.unanswered.Record)
		}
	}
	return f.Sum64()
}

// committable is what may still be kept of what the process wrote.
func (p *process) committable(version uint64) *Record {
	if p.inFlight == nil || p.inFlight.ExpectedVersion != version {
		return nil
	}
	return &p.inFlight.Record
}

// Through all orders of turns, writes that come, come late or lose their answer, reads, acts, a
// handover and pauses, for ever, no two processes hold the duty, and no act of an older holder is
// done after one of a newer; each defect is found.
func TestAllInterleavings(t *testing.T) {
	for _, c := range []struct {
		processes, leaves int
		acts              bool
	}{{2, 0, false}, {2, 1, false}, {2, 0, true}} {
		r := interleave.Search(newModel(none, c.processes, c.leaves, c.acts), 1_000_000)
		t.Logf("%+v: %v", c, r)
		if r.Err != nil || !r.Exhausted {
			t.Errorf("%+v: %v", c, r)
		}
	}
	for bad, c := range map[defect]struct {
		leaves int
		acts   bool
	}{leaseLongerThanTakeover: {}, leaseFromResponse: {}, renewalReused: {}, actsAfterResigning: {1, false}, fenceIgnored: {0, true}, versionIgnored: {}, renewalIgnored: {}} {
		r := interleave.Search(newModel(bad, 2, c.leaves, c.acts), 1_000_000)
		if r.Err == nil {
			t.Errorf("%s: not found: %v", bad, r)
			continue
		}
		t.Logf("%s: %v", bad, r)
		if err := interleave.Walk(newModel(bad, 2, c.leaves, c.acts), r.Trace); err == nil {
			t.Errorf("%s: its trace does not replay", bad)
		}
	}
}
