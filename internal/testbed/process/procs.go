// Package process runs the processes of an experiment and ends them, and only them: each is
// known by its process id from its start to its end, and the kernel kills it if the
// laboratory itself dies, however that happens.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Spec is how a process is started.
type Spec struct {
	Name string
	Path string
	Args []string
	Env  []string // all of it
	Log  string   // file that its output is added to
}

// Group starts processes and ends those that are left. It is safe for concurrent use.
type Group struct {
	spawn chan func()
	ended chan struct{}

	mu    sync.Mutex
	procs map[*Proc]bool
	done  bool
}

// NewGroup returns an empty group. Close ends it.
func NewGroup() *Group {
	g := &Group{spawn: make(chan func()), ended: make(chan struct{}), procs: map[*Proc]bool{}}
	go func() {
		defer close(g.ended)
		// The kernel's signal at a parent's death is that of the thread which started the
		// child: this one lives as long as the group.
		runtime.LockOSThread()
		for f := range g.spawn {
			f()
		}
	}()
	return g
}

// Close kills what still runs and waits until it has ended.
func (g *Group) Close() {
	g.mu.Lock()
	if g.done {
		g.mu.Unlock()
		return
	}
	g.done = true
	var left []*Proc
	for p := range g.procs {
		left = append(left, p)
	}
	g.mu.Unlock()
	for _, p := range left {
		p.Kill()
	}
	close(g.spawn)
	<-g.ended
}

// Proc is one process.
type Proc struct {
	Name string
	Pid  int

	ended chan struct{}
	err   error // of its end
	state *os.ProcessState
	proc  *os.Process
}

// Start starts a process.
func (g *Group) Start(spec Spec) (*Proc, error) {
	out, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("procs: %s: %w", spec.Name, err)
	}
	defer out.Close()
	cmd := exec.Command(spec.Path, spec.Args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = spec.Env, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.mu.Lock()
	if g.done {
		g.mu.Unlock()
		return nil, errors.New("procs: the group has ended")
	}
	started := make(chan error, 1)
	g.spawn <- func() { started <- cmd.Start() }
	err = <-started
	if err != nil {
		g.mu.Unlock()
		return nil, fmt.Errorf("procs: %s: %w", spec.Name, err)
	}
	p := &Proc{Name: spec.Name, Pid: cmd.Process.Pid, ended: make(chan struct{}), proc: cmd.Process}
	g.procs[p] = true
	g.mu.Unlock()
	go func() {
		p.err = cmd.Wait()
		p.state = cmd.ProcessState
		g.mu.Lock()
		delete(g.procs, p)
		g.mu.Unlock()
		close(p.ended)
	}()
	return p, nil
}

// Ended is closed when the process has ended.
func (p *Proc) Ended() <-chan struct{} { return p.ended }

// Err is how it ended; nil for status 0. It waits for the end.
func (p *Proc) Err() error {
	<-p.ended
	return p.err
}

// CPU is the processor time that it used. It waits for the end.
func (p *Proc) CPU() time.Duration {
	<-p.ended
	return p.state.UserTime() + p.state.SystemTime()
}

// Kill ends it at once and waits for its end.
func (p *Proc) Kill() {
	_ = p.Signal(syscall.SIGKILL) // or it has ended already
	<-p.ended
}

// Stop pauses it, and Continue lets it go on.
func (p *Proc) Stop() error     { return p.Signal(syscall.SIGSTOP) }
func (p *Proc) Continue() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks it to end in order, and kills it if ctx is done before.
func (p *Proc) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("procs: %s: did not end in order: %w", p.Name, ctx.Err())
	}
}

// Signal sends a signal; a process that has ended is an error.
func (p *Proc) Signal(s syscall.Signal) error {
	select {
	case <-p.ended:
		return fmt.Errorf("procs: %s: %w", p.Name, os.ErrProcessDone)
	default:
	}
	if err := p.proc.Signal(s); err != nil {
		return fmt.Errorf("procs: %s: %w", p.Name, err)
	}
	return nil
}
