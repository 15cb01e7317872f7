package singleton

import (
	"slices"
	"time"
)

// maxPendingWrites is the maximum number of writes whose start is remembered. A write that is no longer
// remembered grants no lease.
const maxPendingWrites = 16

// Write is a compare-and-set to make at once: Record replaces the stored record if that still has
// ExpectedVersion.
type Write struct {
	ExpectedVersion uint64
	Record          Record
}

// pendingWrite is a write of this process that may have been committed or may still be.
type pendingWrite struct {
	term, renewal uint64
	startedAt     time.Duration
}

// Candidate is the state of one process. It is not safe for concurrent use.
type Candidate struct {
	self           string
	timing         Timing
	version        uint64        // version of record
	record         Record        // newest record that is known to be committed
	observed       bool          // whether any record was observed
	unchangedSince time.Duration // when the record's Term and Renewal were first observed
	lastRenewal    uint64        // highest renewal number that this process has used
	pending        []pendingWrite
	lastWriteAt    time.Duration
	resigned       bool
}

// New returns the candidate of one incarnation of a process. No other incarnation may have the name self.
func New(self string, timing Timing) *Candidate { return &Candidate{self: self, timing: timing} }

// Observe takes in a record that is known to be committed, with its version. It is called for any
// record that is read or received, and for each committed write of this process. Older records are ignored.
func (c *Candidate) Observe(now time.Duration, version uint64, record Record) {
	if c.observed && version <= c.version {
		return
	}
	if !c.observed || record.Term != c.record.Term || record.Renewal != c.record.Renewal {
		c.unchangedSince = now
	}
	c.version, c.record, c.observed = version, record, true
}

// Record returns the newest record that was observed.
func (c *Candidate) Record() Record { return c.record }

// isActingHolder reports whether this process is the holder as far as it knows. Its lease may have
// expired.
func (c *Candidate) isActingHolder() bool { return !c.resigned && c.record.actingHolder(c.self) }

// HoldsLease reports whether this process holds the lease at this moment, and in which term.
func (c *Candidate) HoldsLease(now time.Duration) (term uint64, ok bool) {
	if !c.isActingHolder() {
		return 0, false
	}
	for _, w := range c.pending {
		if w.term == c.record.Term && w.renewal == c.record.Renewal {
			return w.term, now >= w.startedAt && now < w.startedAt+c.timing.LeaseDuration
		}
	}
	return 0, false
}

// NextWrite returns the write that this process has to make now, if any: a renewal, or a claim of a
// role that is free. rank, which starts at 0, staggers candidates that would claim the role at the same
// time.
func (c *Candidate) NextWrite(now time.Duration, rank int) (w Write, due bool) {
	if !c.observed || c.resigned || c.lastWriteAt > 0 && now-c.lastWriteAt < c.timing.RenewInterval/2 {
		return Write{}, false
	}
	if c.isActingHolder() {
		if now-c.unchangedSince < c.timing.RenewInterval {
			return Write{}, false
		}
		return c.Renew(now)
	}
	if !c.mayClaim(now, time.Duration(rank)*c.timing.Stagger) {
		return Write{}, false
	}
	return c.newWrite(now, Record{Term: c.record.Term + 1, Holder: c.self}), true
}

// mayClaim reports whether this process may claim the role: it was named as the successor, there is no
// holder, or the holder's lease has certainly expired.
func (c *Candidate) mayClaim(now, stagger time.Duration) bool {
	unchanged := now - c.unchangedSince
	switch {
	case c.record.Successor == c.self:
		return true
	case c.record.Holder == "":
		return unchanged >= stagger
	default:
		return unchanged >= c.timing.TakeoverDelay+stagger
	}
}

// Renew returns a renewal for the holder to include in a write that it makes for another purpose. ok is
// false if this process is not the holder.
func (c *Candidate) Renew(now time.Duration) (w Write, ok bool) {
	if !c.isActingHolder() {
		return Write{}, false
	}
	return c.newWrite(now, Record{Term: c.record.Term, Holder: c.self}), true
}

// Resign makes this process resign for good. It must no longer act as the holder from now on, as the
// write may be committed at any moment. If it is the holder, the write names its successor, or none if
// successor is empty. Resign may be called again until the write is committed.
func (c *Candidate) Resign(now time.Duration, successor string) (w Write, ok bool) {
	c.resigned = true
	if !c.record.actingHolder(c.self) {
		return Write{}, false
	}
	record := Record{Term: c.record.Term, Holder: c.self, Successor: successor}
	if successor == "" || successor == c.self {
		record.Holder, record.Successor = "", ""
	}
	return c.newWrite(now, record), true
}

// newWrite returns a write with its own renewal number. So a write that was believed to be lost and is
// committed late grants a lease only from its own start.
func (c *Candidate) newWrite(now time.Duration, record Record) Write {
	c.lastRenewal = max(c.lastRenewal, c.record.Renewal) + 1
	record.Renewal = c.lastRenewal
	c.lastWriteAt = now
	if len(c.pending) == maxPendingWrites {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.pending = append(c.pending, pendingWrite{record.Term, record.Renewal, now})
	return Write{ExpectedVersion: c.version, Record: record}
}
