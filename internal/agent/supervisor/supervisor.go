package supervisor

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the pause before a task that died is started again; it
	// doubles with each death. A life of backoffResetAfter makes the next pause the first again.
	initialBackoff, maxBackoff = 100 * time.Millisecond, 30 * time.Second
	backoffResetAfter          = time.Minute
)

// Supervisor owns the lifetimes of tasks. One that dies, by an error or a panic, is started
// again after a pause that grows; none takes the process with it.
type Supervisor struct {
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	onFailure func(name string, err error) // told of each death, from the task's goroutine
}

// NewSupervisor returns one whose tasks end with ctx. died, if not nil, is told of each
// death; it must be safe for concurrent use.
func NewSupervisor(ctx context.Context, onFailure func(name string, err error)) *Supervisor {
	if onFailure == nil {
		onFailure = func(string, error) {}
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Supervisor{ctx: ctx, cancel: cancel, onFailure: onFailure}
}

// Go starts a task. run works until its context is done and then returns; its error, or its
// return before that, is its death. Each start calls run anew, so what it keeps between two
// lives it keeps outside.
func (s *Supervisor) Go(name string, run func(ctx context.Context) error) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
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
			slog.Error("task died", "task", name, "err", err, "deaths", failures, "pause", backoff.String())
			s.onFailure(name, err)
			timer := time.NewTimer(backoff)
			select {
			case <-timer.C:
			case <-s.ctx.Done():
				timer.Stop()
				return
			}
		}
	}()
}

// Close ends all tasks and waits for them.
func (s *Supervisor) Close() {
	s.cancel()
	s.tasks.Wait()
}

func backoffAfter(failures int) time.Duration {
	return min(initialBackoff<<min(failures-1, 16), maxBackoff)
}

// runRecovered runs a task until it returns; a panic is an error.
func runRecovered(ctx context.Context, run func(context.Context) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	if err = run(ctx); err == nil && ctx.Err() == nil {
		err = fmt.Errorf("it returned before its end")
	}
	return err
}
