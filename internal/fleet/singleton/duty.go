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

// maxName bounds the name of a holder, in bytes.
const maxName = 128

// Record is what is agreed on.
type Record struct {
	Number uint64 `msgpack:"n"` // of the holder's term: the fence of all that it does; 0: nobody held it yet
	Holder string `msgpack:"h"` // one life of one process; "": nobody
	Beat   uint64 `msgpack:"b"` // tells one write of a holder from another
	Next   string `msgpack:"s"` // the successor that the holder named; the holder acts no more
}

// Check refuses a record that nobody can have written.
func (r *Record) Check() error {
	if len(r.Holder) > maxName || len(r.Next) > maxName || r.Number == 0 && (r.Holder != "" || r.Next != "") {
		return errors.Errorf("duty %d of %.20q, for %.20q", r.Number, r.Holder, r.Next)
	}
	return nil
}

// Timing is how a duty is kept. A step of Stagger keeps candidates apart.
type Timing struct{ Renew, Lease, Wait, Stagger time.Duration }

// Default bears a change of the core's view without a change of the holder.
var Default = Timing{Renew: time.Second, Lease: 3 * time.Second, Wait: 4 * time.Second, Stagger: 300 * time.Millisecond}

// Check refuses a timing that guarantees nothing.
func (t Timing) Check() error {
	if t.Renew <= 0 || t.Lease <= t.Renew || t.Wait <= t.Lease || t.Stagger < 0 {
		return errors.Errorf("duty: 0 < renew %v < lease %v < wait %v is needed", t.Renew, t.Lease, t.Wait)
	}
	return nil
}

// Write is a compare-and-set that is to be made at once: Duty goes into the record, if that still
// has the version On.
type Write struct {
	On   uint64
	Duty Record
}

// attempt is one write of this process that may be kept.
type attempt struct {
	number, beat uint64
	begun        time.Duration
}

// maxAttempts bounds the writes whose beginning is remembered. One that is forgotten gives no lease.
const maxAttempts = 16

// Candidate is one process's part. It is not safe for concurrent use.
type Candidate struct {
	me       string
	t        Timing
	version  uint64
	rec      Record
	known    bool
	since    time.Duration // when the newest Beat was first seen
	beat     uint64        // the highest used
	attempts []attempt
	tried    time.Duration // when the last write began
	leaving  bool
}

// New returns the part of one life of a process; no other life may have the name.
func New(me string, t Timing) *Candidate { return &Candidate{me: me, t: t} }

// Seen takes the newest record that is known to be kept, with its version. Older ones are passed
// over. It is called for whatever is read or heard, and after each write that was kept.
func (c *Candidate) Seen(now time.Duration, version uint64, r Record) {
	if c.known && version <= c.version {
		return
	}
	if !c.known || r.Number != c.rec.Number || r.Beat != c.rec.Beat {
		c.since = now
	}
	c.version, c.rec, c.known = version, r, true
}

// Record is the newest that was seen.
func (c *Candidate) Record() Record { return c.rec }

// Holds tells whether this process holds the duty at this moment, and by which number.
func (c *Candidate) Holds(now time.Duration) (number uint64, ok bool) {
	if c.rec.Holder != c.me || c.rec.Next != "" || c.leaving {
		return 0, false
	}
	for _, a := range c.attempts {
		if a.number == c.rec.Number && a.beat == c.rec.Beat {
			return a.number, now >= a.begun && now < a.begun+c.t.Lease
		}
	}
	return 0, false
}

// Due is the write that this process is to make now, if any: a renewal, or a claim of a duty that
// nobody holds any more. rank, from 0, keeps candidates apart that claim at the same time.
func (c *Candidate) Due(now time.Duration, rank int) (Write, bool) {
	if !c.known || c.leaving || c.tried > 0 && now-c.tried < c.t.Renew/2 {
		return Write{}, false
	}
	apart := time.Duration(rank) * c.t.Stagger
	switch {
	case c.rec.Holder == c.me && c.rec.Next == "":
		if now-c.since < c.t.Renew {
			return Write{}, false
		}
		return c.Stamp(now)
	case c.rec.Next == c.me:
	case c.rec.Holder == "" && now-c.since >= apart:
	case now-c.since >= c.t.Wait+apart:
	default:
		return Write{}, false
	}
	return c.write(now, Record{Number: c.rec.Number + 1, Holder: c.me}), true
}

// Stamp is the duty's part of a write that the holder makes for its own ends: each renews.
func (c *Candidate) Stamp(now time.Duration) (Write, bool) {
	if c.rec.Holder != c.me || c.rec.Next != "" || c.leaving {
		return Write{}, false
	}
	return c.write(now, Record{Number: c.rec.Number, Holder: c.me}), true
}

// Leave ends this process's part: it acts no more from now on. Where it holds the duty, the write
// names its successor, or nobody with "". It may be asked again while that isn't kept.
func (c *Candidate) Leave(now time.Duration, successor string) (Write, bool) {
	c.leaving = true
	if c.rec.Holder != c.me || c.rec.Next != "" {
		return Write{}, false
	}
	r := Record{Number: c.rec.Number, Holder: c.me, Next: successor}
	if successor == "" || successor == c.me {
		r.Holder, r.Next = "", ""
	}
	return c.write(now, r), true
}

// write gives each attempt a beat of its own: one that was taken for lost may be kept late, and
// only its own beginning counts for it.
func (c *Candidate) write(now time.Duration, r Record) Write {
	c.beat = max(c.beat, c.rec.Beat) + 1
	r.Beat = c.beat
	c.tried = now
	if len(c.attempts) == maxAttempts {
		c.attempts = slices.Delete(c.attempts, 0, 1)
	}
	c.attempts = append(c.attempts, attempt{r.Number, r.Beat, now})
	return Write{On: c.version, Duty: r}
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
