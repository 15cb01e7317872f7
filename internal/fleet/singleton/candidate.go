package singleton

import (
	"slices"
	"time"
)

// maxPendingWrites bounds the writes whose start is remembered. One that is forgotten grants no
// lease.
const maxPendingWrites = 16

// Write is a compare-and-set to make at once: Record replaces the stored one if that still has
// ExpectedVersion.
type Write struct {
	ExpectedVersion uint64
	Record          Record
}

// pendingWrite is a write of this process that may be committed.
type pendingWrite struct {
	term, renewal uint64
	startedAt     time.Duration
}

// Candidate is one process's part. It is not safe for concurrent use.
type Candidate struct {
	self           string
	timing         Timing
	version        uint64 // of record
	record         Record // the newest that is known to be committed
	known          bool
	unchangedSince time.Duration // when the record's Renewal was first seen
	lastRenewal    uint64        // the highest that was used
	pending        []pendingWrite
	lastWriteAt    time.Duration
	resigned       bool
}

// New returns the part of one incarnation of a process; no other incarnation may have the name.
func New(self string, timing Timing) *Candidate { return &Candidate{self: self, timing: timing} }

// Observe takes a record that is known to be committed, with its version: whatever is read or
// received, and each write of this process that was committed. Older ones are ignored.
func (c *Candidate) Observe(now time.Duration, version uint64, record Record) {
	if c.known && version <= c.version {
		return
	}
	if !c.known || record.Term != c.record.Term || record.Renewal != c.record.Renewal {
		c.unchangedSince = now
	}
	c.version, c.record, c.known = version, record, true
}

// Record is the newest record that was observed.
func (c *Candidate) Record() Record { return c.record }

// isActingHolder reports whether this process is the holder, as far as it knows; its lease may have
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

// NextWrite is the write that this process has to make now, if any: a renewal, or a claim of the
// role that has no holder any more. rank, from 0, staggers candidates that would claim at the same
// time.
func (c *Candidate) NextWrite(now time.Duration, rank int) (w Write, due bool) {
	if !c.known || c.resigned || c.lastWriteAt > 0 && now-c.lastWriteAt < c.timing.RenewInterval/2 {
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

// mayClaim reports whether the role is free for this process: it was named as successor, there
// is no holder, or its lease has expired whenever it began.
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

// Renew is the renewal to include in a write that the holder makes for its own purpose. ok is false
// if this process is not the holder.
func (c *Candidate) Renew(now time.Duration) (w Write, ok bool) {
	if !c.isActingHolder() {
		return Write{}, false
	}
	return c.newWrite(now, Record{Term: c.record.Term, Holder: c.self}), true
}

// Resign ends this process's part: it does not act any more from now on, as the write may be
// committed at any moment. If it was the holder, the write names its successor, or none with "".
// It may be called again until that is committed.
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

// newWrite gives each write a renewal number of its own: one that was believed to be lost may be
// committed late, and grants a lease only from its own start.
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
