package main

import (
	"sync"
	"time"
)

// watchdog reports a run that does not end. The virtual time of a simulation stops if one of its goroutines waits for
// an event that never happens.
type watchdog struct {
	limit    time.Duration    // wall-clock time that a run may take
	overdue  func(run string) // called for a run that exceeds the limit
	mu       sync.Mutex
	deadline *time.Timer // timer of the run in progress; nil if there is none
}

// newWatchdog returns a watchdog that calls overdue once for a run that takes longer than the limit.
func newWatchdog(limit time.Duration, overdue func(run string)) *watchdog {
	return &watchdog{limit: limit, overdue: overdue}
}

// begin starts the timer of a run. It ends that of the previous run.
func (w *watchdog) begin(run string) {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.AfterFunc(w.limit, func() { w.overdue(run) })
}

// stop stops the timer, as no run is in progress.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline != nil {
		w.deadline.Stop()
		w.deadline = nil
	}
}
