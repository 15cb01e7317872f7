// Package singleton gives a duty to one process at a time: the holder names its successor when it can,
// and a majority decides when it can't. It is pure; times are on the steady clock of one process.
//
// What is agreed on is a Record, kept in a register that is changed by compare-and-set only and
// that a majority keeps (the chain). The holder renews its record; it acts for Lease after it began
// to write the renewal that was kept. Whoever has seen the record unchanged for Wait, which is
// longer, may take the duty over by the next number: if its write is kept, there was no renewal in
// between. What a holder changes carries its number, and its first change is that: whatever an
// older one has under way is refused from then on.
//
// Guaranteed, while steady clocks differ in rate by less than Wait is longer than Lease:
//   - a number has one holder, and numbers rise;
//   - at no moment do two processes find that they hold the duty;
//   - a process that was frozen or cut off for a Lease finds that it doesn't hold it, whatever it
//     believed; what it was about to do carries an older number or version and is refused.
//
// Not guaranteed: that there is a holder. Without a majority nobody takes the duty over.
package singleton

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// maxHolderName bounds the name of a holder, in bytes.
const maxHolderName = 128

// Record is what is agreed on.
type Record struct {
	Term      uint64 `msgpack:"n"` // of the holder's term: the fence of all that it does; 0: nobody held it yet
	Holder    string `msgpack:"h"` // one life of one process; "": nobody
	Renewal   uint64 `msgpack:"b"` // tells one write of a holder from another
	Successor string `msgpack:"s"` // the successor that the holder named; the holder acts no more
}

// Validate refuses a record that nobody can have written.
func (r *Record) Validate() error {
	if len(r.Holder) > maxHolderName || len(r.Successor) > maxHolderName || r.Term == 0 && (r.Holder != "" || r.Successor != "") {
		return errors.Errorf("duty %d of %.20q, for %.20q", r.Term, r.Holder, r.Successor)
	}
	return nil
}

// Timing is how a duty is kept. A step of Stagger keeps candidates apart.
type Timing struct{ RenewInterval, LeaseDuration, TakeoverDelay, Stagger time.Duration }

// DefaultTiming bears a change of the core's view without a change of the holder.
var DefaultTiming = Timing{RenewInterval: time.Second, LeaseDuration: 3 * time.Second, TakeoverDelay: 4 * time.Second, Stagger: 300 * time.Millisecond}

// Validate refuses a timing that guarantees nothing.
func (t Timing) Validate() error {
	if t.RenewInterval <= 0 || t.LeaseDuration <= t.RenewInterval || t.TakeoverDelay <= t.LeaseDuration || t.Stagger < 0 {
		return errors.Errorf("duty: 0 < renew %v < lease %v < wait %v is needed", t.RenewInterval, t.LeaseDuration, t.TakeoverDelay)
	}
	return nil
}

// Write is a compare-and-set that is to be made at once: Duty goes into the record, if that still
// has the version On.
type Write struct {
	ExpectedVersion uint64
	Record          Record
}

// pendingWrite is one write of this process that may be kept.
type pendingWrite struct {
	term, renewal uint64
	startedAt     time.Duration
}

// maxPendingWrites bounds the writes whose beginning is remembered. One that is forgotten gives no lease.
const maxPendingWrites = 16

// Candidate is one process's part. It is not safe for concurrent use.
type Candidate struct {
	self           string
	timing         Timing
	version        uint64
	record         Record
	known          bool
	unchangedSince time.Duration // when the newest Beat was first seen
	lastRenewal    uint64        // the highest used
	pending        []pendingWrite
	lastWriteAt    time.Duration // when the last write began
	resigned       bool
}

// New returns the part of one life of a process; no other life may have the name.
func New(me string, t Timing) *Candidate { return &Candidate{self: me, timing: t} }

// Observe takes the newest record that is known to be kept, with its version. Older ones are passed
// over. It is called for whatever is read or heard, and after each write that was kept.
func (c *Candidate) Observe(now time.Duration, version uint64, r Record) {
	if c.known && version <= c.version {
		return
	}
	if !c.known || r.Term != c.record.Term || r.Renewal != c.record.Renewal {
		c.unchangedSince = now
	}
	c.version, c.record, c.known = version, r, true
}

// Record is the newest that was seen.
func (c *Candidate) Record() Record { return c.record }

// HoldsLease tells whether this process holds the duty at this moment, and by which number.
func (c *Candidate) HoldsLease(now time.Duration) (number uint64, ok bool) {
	if c.record.Holder != c.self || c.record.Successor != "" || c.resigned {
		return 0, false
	}
	for _, a := range c.pending {
		if a.term == c.record.Term && a.renewal == c.record.Renewal {
			return a.term, now >= a.startedAt && now < a.startedAt+c.timing.LeaseDuration
		}
	}
	return 0, false
}

// NextWrite is the write that this process is to make now, if any: a renewal, or a claim of a duty that
// nobody holds any more. rank, from 0, keeps candidates apart that claim at the same time.
func (c *Candidate) NextWrite(now time.Duration, rank int) (Write, bool) {
	if !c.known || c.resigned || c.lastWriteAt > 0 && now-c.lastWriteAt < c.timing.RenewInterval/2 {
		return Write{}, false
	}
	apart := time.Duration(rank) * c.timing.Stagger
	switch {
	case c.record.Holder == c.self && c.record.Successor == "":
		if now-c.unchangedSince < c.timing.RenewInterval {
			return Write{}, false
		}
		return c.Renew(now)
	case c.record.Successor == c.self:
	case c.record.Holder == "" && now-c.unchangedSince >= apart:
	case now-c.unchangedSince >= c.timing.TakeoverDelay+apart:
	default:
		return Write{}, false
	}
	return c.newWrite(now, Record{Term: c.record.Term + 1, Holder: c.self}), true
}

// Renew is the duty's part of a write that the holder makes for its own ends: each renews.
func (c *Candidate) Renew(now time.Duration) (Write, bool) {
	if c.record.Holder != c.self || c.record.Successor != "" || c.resigned {
		return Write{}, false
	}
	return c.newWrite(now, Record{Term: c.record.Term, Holder: c.self}), true
}

// Resign ends this process's part: it acts no more from now on. Where it holds the duty, the write
// names its successor, or nobody with "". It may be asked again while that isn't kept.
func (c *Candidate) Resign(now time.Duration, successor string) (Write, bool) {
	c.resigned = true
	if c.record.Holder != c.self || c.record.Successor != "" {
		return Write{}, false
	}
	r := Record{Term: c.record.Term, Holder: c.self, Successor: successor}
	if successor == "" || successor == c.self {
		r.Holder, r.Successor = "", ""
	}
	return c.newWrite(now, r), true
}

// newWrite gives each attempt a beat of its own: one that was taken for lost may be kept late, and
// only its own beginning counts for it.
func (c *Candidate) newWrite(now time.Duration, r Record) Write {
	c.lastRenewal = max(c.lastRenewal, c.record.Renewal) + 1
	r.Renewal = c.lastRenewal
	c.lastWriteAt = now
	if len(c.pending) == maxPendingWrites {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.pending = append(c.pending, pendingWrite{r.Term, r.Renewal, now})
	return Write{ExpectedVersion: c.version, Record: r}
}

// Fence is the side of a receiver that acts on a holder's word: it refuses a number older than one
// that it has heard of. The zero value admits all.
type Fence struct{ newest uint64 }

// Admit tells whether an act of that number may be done.
func (f *Fence) Admit(number uint64) bool {
	if number < f.newest {
		return false
	}
	f.newest = number
	return true
}
