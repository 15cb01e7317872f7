package main

import (
	"sync"
	"time"
)

// watchdog reports a run that does not end: a simulation whose virtual time stands still, as a goroutine waits for
// something that no other goroutine of it will do.
type watchdog struct {
	limit    time.Duration
	overdue  func(run string)
	mu       sync.Mutex
	deadline *time.Timer // of the run in progress, nil if there is none
}

// newWatchdog returns a watchdog that calls overdue once for a run that takes longer than the limit.
func newWatchdog(limit time.Duration, overdue func(run string)) *watchdog {
	return &watchdog{limit: limit, overdue: overdue}
}

// begin notes that a run begins; the one before has ended.
func (w *watchdog) begin(run string) {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.AfterFunc(w.limit, func() { w.overdue(run) })
}

// stop notes that no run is in progress.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline != nil {
		w.deadline.Stop()
		w.deadline = nil
	}
}
