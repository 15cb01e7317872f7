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
	none       defect = ""
	longLease  defect = "the lease is longer than others wait"
	fromAnswer defect = "the lease runs from the answer"
	sameBeat   defect = "an attempt that was taken for lost is repeated as it was"
	actsOn     defect = "the holder acts on after it named its successor"
	noFence    defect = "a receiver does what any number says"
	noVersion  defect = "a write is kept whatever version it is on"
	blindWait  defect = "a renewal does not begin the wait anew"
)

const unit = time.Second

// world is a few processes, the register, and a receiver of acts, at every moment that matters.
// A process that does nothing while time passes is a frozen one.
type world struct {
	bad     defect
	now     time.Duration
	leaves  int // that may happen
	acts    bool
	reg     register
	fence   Fence
	applied uint64 // newest number of which an act was done
	proc    []*process
}

type process struct {
	c    *Candidate
	out  *Write // on its way
	act  uint64 // on its way; 0: none
	lost *Write // the last write without an answer
}

func newWorld(bad defect, processes, leaves int, acts bool) *world {
	w := &world{bad: bad, now: start, leaves: leaves, acts: acts}
	timing := Timing{Renew: unit, Lease: 2 * unit, Wait: 3 * unit}
	if bad == longLease {
		timing.Lease = 4 * unit
	}
	for i := range processes {
		p := &process{c: New(fmt.Sprint(i), timing)}
		p.c.Seen(w.now, 0, Record{})
		w.proc = append(w.proc, p)
	}
	return w
}

func (w *world) seen(p *process, r register) {
	c := p.c
	since, fresh := c.since, c.known
	c.Seen(w.now, r.version, r.rec)
	if w.bad == blindWait && fresh && c.rec.Number > 0 && c.rec.Beat > 1 {
		c.since = since
	}
	if w.bad == fromAnswer && c.rec.Holder == c.me {
		for i, a := range c.attempts {
			if a.beat == c.rec.Beat {
				c.attempts[i].begun = w.now
			}
		}
	}
}

// write puts a write on its way.
func (w *world) write(p *process, x Write) {
	if w.bad == sameBeat && p.lost != nil && p.lost.Duty.Number == x.Duty.Number && p.lost.Duty.Holder == x.Duty.Holder {
		a := &p.c.attempts[len(p.c.attempts)-1]
		a.beat, x.Duty.Beat = p.lost.Duty.Beat, p.lost.Duty.Beat
		p.c.beat = a.beat
		p.c.attempts = slices.DeleteFunc(p.c.attempts, func(b attempt) bool { return b.beat == a.beat && b.begun < a.begun })
	}
	p.out = &x
}

func (w *world) steps() (steps []func() error) {
	steps = append(steps, func() error { w.now += unit; return nil })
	for i, p := range w.proc {
		if p.out == nil {
			probe := *p.c
			probe.attempts = slices.Clone(p.c.attempts)
			if _, due := probe.Due(w.now, 0); due {
				steps = append(steps, func() error {
					x, _ := p.c.Due(w.now, 0)
					w.write(p, x)
					return nil
				})
			}
			if w.leaves > 0 && p.c.rec.Holder == p.c.me && p.c.rec.Next == "" {
				steps = append(steps, func() error {
					w.leaves--
					x, _ := p.c.Leave(w.now, fmt.Sprint((i+1)%len(w.proc)))
					if w.bad == actsOn {
						p.c.leaving = false
					}
					w.write(p, x)
					return nil
				})
			}
		} else {
			arrive := func(answered bool) func() error {
				return func() error {
					x := *p.out
					p.out, p.lost = nil, &x
					if w.bad == noVersion {
						x.On = w.reg.version
					}
					w.reg.put(x)
					if answered {
						w.seen(p, w.reg)
						p.lost = nil
					}
					return nil
				}
			}
			steps = append(steps, arrive(true), arrive(false))
		}
		if p.c.version < w.reg.version {
			steps = append(steps, func() error { w.seen(p, w.reg); return nil })
		}
		if number, holds := p.c.Holds(w.now); holds && w.acts && p.act == 0 {
			steps = append(steps, func() error { p.act = number; return nil })
		}
		if p.act > 0 {
			steps = append(steps, func() error {
				number := p.act
				p.act = 0
				if !w.fence.Admit(number) && w.bad != noFence {
					return nil
				}
				if number < w.applied {
					return fmt.Errorf("an act of %d is done after one of %d", number, w.applied)
				}
				w.applied = number
				return nil
			})
		}
	}
	return steps
}

func (w *world) Steps() int { return len(w.steps()) }

func (w *world) Do(i int) error {
	number := w.reg.rec.Number
	if err := w.steps()[i](); err != nil {
		return err
	}
	if w.reg.rec.Number < number {
		return fmt.Errorf("number %d follows on %d", w.reg.rec.Number, number)
	}
	holders := 0
	for _, p := range w.proc {
		if _, holds := p.c.Holds(w.now); holds {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d hold the duty", holders)
	}
	return nil
}

func (w *world) Clone() *world {
	c := *w
	c.proc = nil
	for _, p := range w.proc {
		q, cand := *p, *p.c
		cand.attempts = slices.Clone(p.c.attempts)
		q.c = &cand
		c.proc = append(c.proc, &q)
	}
	return &c
}

// Hash is of what matters to what follows: times as ages, numbers as distances, up to what they are
// compared with; so the states of all times, however long, are a finite set.
func (w *world) Hash() uint64 {
	f := fnv.New64a()
	age := func(at, most time.Duration) int64 { return int64(min(w.now-at, most) / unit) }
	far := int64(1) // without acts it only matters whether a number is the newest
	if w.acts {
		far = 2
	}
	back := func(number uint64) int64 { return min(int64(w.reg.rec.Number)-int64(number), far) }
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
		f.Write([]byte(r.Holder + "," + r.Next))
		put(back(r.Number))
	}
	put(int64(w.leaves), back(w.applied), back(w.fence.newest))
	record(w.reg.rec)
	for _, p := range w.proc {
		c := p.c
		record(c.rec)
		put('/', flag(c.version == w.reg.version), age(c.since, c.t.Wait), flag(c.tried > 0 && c.tried == w.now), flag(c.leaving), flag(p.act > 0), back(p.act))
		for _, a := range c.attempts { // that may still give a lease
			for i, r := range []*Record{&c.rec, &w.reg.rec, p.written(w.reg.version)} {
				if r != nil && r.Number == a.number && r.Beat == a.beat && r.Holder == c.me {
					put('a', int64(i), age(a.begun, c.t.Lease))
				}
			}
		}
		if p.out != nil {
			if put('o'); p.out.On == w.reg.version { // else it will be refused, whatever it says
				put('k')
				record(p.out.Duty)
			}
		}
		if w.bad == sameBeat && p.lost != nil {
			put('l', int64(p.lost.Duty.Beat))
			record(p.lost.Duty)
		}
	}
	return f.Sum64()
}

// written is what may still be kept of what the process wrote.
func (p *process) written(version uint64) *Record {
	if p.out == nil || p.out.On != version {
		return nil
	}
	return &p.out.Duty
}

// Through all orders of turns, writes that come, come late or lose their answer, reads, acts, a
// handover and pauses, for ever, no two processes hold the duty, and no act of an older holder is
// done after one of a newer; each defect is found.
func TestAllOrdersOfADuty(t *testing.T) {
	for _, c := range []struct {
		processes, leaves int
		acts              bool
	}{{2, 0, false}, {2, 1, false}, {2, 0, true}} {
		r := interleave.Search(newWorld(none, c.processes, c.leaves, c.acts), 1_000_000)
		t.Logf("%+v: %v", c, r)
		if r.Err != nil || !r.Exhausted {
			t.Errorf("%+v: %v", c, r)
		}
	}
	for bad, c := range map[defect]struct {
		leaves int
		acts   bool
	}{longLease: {}, fromAnswer: {}, sameBeat: {}, actsOn: {1, false}, noFence: {0, true}, noVersion: {}, blindWait: {}} {
		r := interleave.Search(newWorld(bad, 2, c.leaves, c.acts), 1_000_000)
		if r.Err == nil {
			t.Errorf("%s: not found: %v", bad, r)
			continue
		}
		t.Logf("%s: %v", bad, r)
		if err := interleave.Walk(newWorld(bad, 2, c.leaves, c.acts), r.Trace); err == nil {
			t.Errorf("%s: its trace does not replay", bad)
		}
	}
}
