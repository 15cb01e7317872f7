package singleton

import (
	"fmt"
	"time"
)

// maxHolderName bounds the name of a holder, in bytes.
const maxHolderName = 128

// Record is what is agreed on.
type Record struct {
	// Term counts the holders. It is the fencing token of all that a holder does; 0 means that
	// no process has held the role yet.
	Term uint64 `msgpack:"n"`
	// Holder is one incarnation of one process; "" is none.
	Holder string `msgpack:"h"`
	// Renewal distinguishes one write of a holder from another.
	Renewal uint64 `msgpack:"b"`
	// Successor is the process that the holder named when it resigned; "" while it acts.
	Successor string `msgpack:"s"`
}

// RecordError is returned for a record that no process can have written.
type RecordError struct{ Record Record }

func (e *RecordError) Error() string {
	return fmt.Sprintf("invalid singleton record: term %d, holder %.20q, successor %.20q", e.Record.Term, e.Record.Holder, e.Record.Successor)
}

// Validate returns a *RecordError for a record that no process can have written.
func (r *Record) Validate() error {
	unheld := r.Term == 0 && (r.Holder != "" || r.Successor != "")
	if unheld || len(r.Holder) > maxHolderName || len(r.Successor) > maxHolderName {
		return &RecordError{*r}
	}
	return nil
}

// actingHolder reports whether the process holds the role and has not resigned.
func (r *Record) actingHolder(process string) bool {
	return r.Holder == process && r.Successor == ""
}

// Timing is how a lease is renewed and taken over.
type Timing struct {
	RenewInterval time.Duration // between two renewals
	LeaseDuration time.Duration // from when a renewal began to be written
	TakeoverDelay time.Duration // a record must have been unchanged for, before others claim the role
	Stagger       time.Duration // between candidates that claim at the same time, by their rank
}

// DefaultTiming survives a change of the core's view without a change of the holder.
var DefaultTiming = Timing{
	RenewInterval: time.Second,
	LeaseDuration: 3 * time.Second,
	TakeoverDelay: 4 * time.Second,
	Stagger:       300 * time.Millisecond,
}

// TimingError is returned for a timing that guarantees nothing.
type TimingError struct{ Timing Timing }

func (e *TimingError) Error() string {
	return fmt.Sprintf("unsafe singleton timing: 0 < renew interval %v < lease duration %v < takeover delay %v is required, with a stagger %v of 0 or more",
		e.Timing.RenewInterval, e.Timing.LeaseDuration, e.Timing.TakeoverDelay, e.Timing.Stagger)
}

// Validate returns a *TimingError for a timing that guarantees nothing.
func (t Timing) Validate() error {
	if t.RenewInterval <= 0 || t.LeaseDuration <= t.RenewInterval || t.TakeoverDelay <= t.LeaseDuration || t.Stagger < 0 {
		return &TimingError{t}
	}
	return nil
}
