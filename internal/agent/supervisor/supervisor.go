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
	// firstPause and mostPause bound the pause before a task that died is started again; it
	// doubles with each death. A life of soundFor makes the next pause the first again.
	firstPause, mostPause = 100 * time.Millisecond, 30 * time.Second
	soundFor              = time.Minute
)

// Supervisor owns the lifetimes of tasks. One that dies, by an error or a panic, is started
// again after a pause that grows; none takes the process with it.
type Supervisor struct {
	ctx  context.Context
	end  context.CancelFunc
	all  sync.WaitGroup
	died func(name string, err error) // told of each death, from the task's goroutine
}

// NewSupervisor returns one whose tasks end with ctx. died, if not nil, is told of each
// death; it must be safe for concurrent use.
func NewSupervisor(ctx context.Context, died func(name string, err error)) *Supervisor {
	if died == nil {
		died = func(string, error) {}
	}
	ctx, end := context.WithCancel(ctx)
	return &Supervisor{ctx: ctx, end: end, died: died}
}

// Go starts a task. run works until its context is done and then returns; its error, or its
// return before that, is its death. Each start calls run anew, so what it keeps between two
// lives it keeps outside.
func (s *Supervisor) Go(name string, run func(ctx context.Context) error) {
	s.all.Add(1)
	go func() {
		defer s.all.Done()
		for deaths := 0; ; {
			born := time.Now()
			err := once(s.ctx, run)
			if s.ctx.Err() != nil {
				return
			}
			if time.Since(born) >= soundFor {
				deaths = 0
			}
			deaths++
			pause := pauseAfter(deaths)
			slog.Error("task died", "task", name, "err", err, "deaths", deaths, "pause", pause.String())
			s.died(name, err)
			timer := time.NewTimer(pause)
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
	s.end()
	s.all.Wait()
}

func pauseAfter(deaths int) time.Duration {
	return min(firstPause<<min(deaths-1, 16), mostPause)
}

// once runs a task until it returns; a panic is an error.
func once(ctx context.Context, run func(context.Context) error) (err error) {
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
