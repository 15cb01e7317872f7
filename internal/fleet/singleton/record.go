package singleton

import (
	"fmt"
	"time"
)

// maxHolderName is the maximum length of a holder's name in bytes.
const maxHolderName = 128

// Record is the state that the processes agree on.
type Record struct {
	// Term increases with each new holder. It is the fencing token of the holder's actions. It is 0 if no
	// process has held the role yet.
	Term uint64 `msgpack:"n"`
	// Holder is the name of one incarnation of a process; empty if there is no holder.
	Holder string `msgpack:"h"`
	// Renewal distinguishes a holder's writes from each other.
	Renewal uint64 `msgpack:"b"`
	// Successor is the process that the holder named when it resigned; empty if it has not resigned.
	Successor string `msgpack:"s"`
}

// RecordError is returned for a record that no process can have written.
type RecordError struct{ Record Record }

func (e *RecordError) Error() string {
	return fmt.Sprintf("invalid singleton record: term %d, holder %.20q, successor %.20q",
		e.Record.Term, e.Record.Holder, e.Record.Successor)
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

// Timing sets when a lease is renewed and taken over.
type Timing struct {
	RenewInterval time.Duration // time between two renewals
	LeaseDuration time.Duration // duration of a lease from the start of the write that renews it
	TakeoverDelay time.Duration // time for which a record must be unchanged before others claim the role
	Stagger       time.Duration // additional delay of a claim for each rank
}

// DefaultTiming lets a holder keep its role while the core's view changes.
var DefaultTiming = Timing{
	RenewInterval: time.Second,
	LeaseDuration: 3 * time.Second,
	TakeoverDelay: 4 * time.Second,
	Stagger:       300 * time.Millisecond,
}

// TimingError is returned for a timing with which the guarantees of the package do not hold.
type TimingError struct{ Timing Timing }

func (e *TimingError) Error() string {
	return fmt.Sprintf(
		"unsafe singleton timing: need 0 < renew interval %v < lease duration %v < takeover delay %v, stagger %v >= 0",
		e.Timing.RenewInterval, e.Timing.LeaseDuration, e.Timing.TakeoverDelay, e.Timing.Stagger)
}

// Validate returns a *TimingError for a timing with which the guarantees of the package do not hold.
func (t Timing) Validate() error {
	if t.RenewInterval <= 0 || t.LeaseDuration <= t.RenewInterval || t.TakeoverDelay <= t.LeaseDuration ||
		t.Stagger < 0 {
		return &TimingError{t}
	}
	return nil
}
