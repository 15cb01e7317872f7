package supervisor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the pause before a failed task is restarted; the pause
	// doubles with each failure in a row.
	initialBackoff, maxBackoff = 100 * time.Millisecond, 30 * time.Second
	// backoffResetAfter is how long a task must have run for its next backoff to be the initial one.
	backoffResetAfter = time.Minute
)

// errReturnedEarly is the failure of a task that returned without an error before its context was done.
var errReturnedEarly = errors.New("returned before its context was done")

// Supervisor owns the lifetimes of tasks. A task that fails, by an error or a panic, is restarted
// with exponential backoff; no failure ends the process. All methods are safe for concurrent use.
type Supervisor struct {
	ctx       context.Context // context of all tasks
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	onFailure func(name string, err error) // called on the task's goroutine
}

// NewSupervisor returns a supervisor whose tasks end with ctx. It calls onFailure, if that is not
// nil, after each failure of a task; onFailure must be safe for concurrent use.
func NewSupervisor(ctx context.Context, onFailure func(name string, err error)) *Supervisor {
	if onFailure == nil {
		onFailure = func(string, error) {}
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Supervisor{ctx: ctx, cancel: cancel, onFailure: onFailure}
}

// Go starts a task. run must work until its context is done and then return. An error or an earlier return is
// a failure. Each restart calls run again, so state that must survive a restart has to be stored outside of
// it.
func (s *Supervisor) Go(name string, run func(ctx context.Context) error) {
	s.tasks.Go(func() { s.restartUntilClosed(name, run) })
}

// Close cancels the context of all tasks and waits until they have returned.
func (s *Supervisor) Close() {
	s.cancel()
	s.tasks.Wait()
}

func (s *Supervisor) restartUntilClosed(name string, run func(ctx context.Context) error) {
	for failures := 0; ; {
		startedAt := time.Now()
		err := runRecovered(s.ctx, run)
		if s.ctx.Err() != nil {
			return
		}
		if time.Since(startedAt) >= backoffResetAfter {
			failures = 0
		}
		failures++
		backoff := backoffAfter(failures)
		slog.Error("task failed", "task", name, "err", err, "failures", failures, "backoff", backoff.String())
		s.onFailure(name, err)
		if !s.sleep(backoff) {
			return
		}
	}
}

// sleep waits for a duration. It returns false if the supervisor was closed meanwhile.
func (s *Supervisor) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func backoffAfter(failures int) time.Duration {
	return min(initialBackoff<<min(failures-1, 16), maxBackoff)
}

// runRecovered runs a task until it returns and turns a panic into an error.
func runRecovered(ctx context.Context, run func(context.Context) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	err = run(ctx)
	if err == nil && ctx.Err() == nil {
		err = errReturnedEarly
	}
	return err
}
