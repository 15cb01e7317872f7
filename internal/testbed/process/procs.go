// Package process starts the processes of an experiment and ends them, and no others: it knows each
// of them by its process ID until it has ended. If the laboratory process itself dies for any reason,
// the kernel kills them.
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

// Spec describes a process to start.
type Spec struct {
	Name string
	Path string
	Args []string
	Env  []string // complete environment
	Log  string   // file to which the output is appended
}

// Group starts processes, and kills those that still run when it is closed. It is safe for concurrent use.
type Group struct {
	spawn chan func()   // functions to run on the thread that starts processes
	ended chan struct{} // closed when the goroutine of that thread has ended

	mu     sync.Mutex     // guards the fields below
	procs  map[*Proc]bool // running processes
	closed bool           // Close was called
}

// NewGroup returns an empty group. The caller must close it.
func NewGroup() *Group {
	g := &Group{spawn: make(chan func()), ended: make(chan struct{}), procs: map[*Proc]bool{}}
	go func() {
		defer close(g.ended)
		// The kernel sends Pdeathsig when the thread that started the child ends, which may be
		// long before its process does. This thread lives as long as the group.
		runtime.LockOSThread()
		for f := range g.spawn {
			f()
		}
	}()
	return g
}

// Close kills the processes that still run and waits until they have ended.
func (g *Group) Close() {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.closed = true
	var running []*Proc
	for p := range g.procs {
		running = append(running, p)
	}
	g.mu.Unlock()
	for _, p := range running {
		p.Kill()
	}
	close(g.spawn)
	<-g.ended
}

// Proc is a process that a Group started.
type Proc struct {
	Name string
	Pid  int

	ended chan struct{}    // closed when the process has ended
	err   error            // result of waiting for the process; set before ended is closed
	state *os.ProcessState // set before ended is closed
	proc  *os.Process
}

// Start starts a process.
func (g *Group) Start(spec Spec) (*Proc, error) {
	logFile, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("process: %s: %w", spec.Name, err)
	}
	defer logFile.Close()
	cmd := exec.Command(spec.Path, spec.Args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = spec.Env, logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil, errors.New("process: the group is closed")
	}
	started := make(chan error, 1)
	g.spawn <- func() { started <- cmd.Start() }
	err = <-started
	if err != nil {
		g.mu.Unlock()
		return nil, fmt.Errorf("process: %s: %w", spec.Name, err)
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

// Ended returns a channel that is closed when the process has ended.
func (p *Proc) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended: nil for status 0. It waits for the end.
func (p *Proc) Err() error {
	<-p.ended
	return p.err
}

// CPU returns the processor time that the process used. It waits for the end.
func (p *Proc) CPU() time.Duration {
	<-p.ended
	return p.state.UserTime() + p.state.SystemTime()
}

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	_ = p.Signal(syscall.SIGKILL) // fails if the process has ended already
	<-p.ended
}

// Stop pauses the process.
func (p *Proc) Stop() error { return p.Signal(syscall.SIGSTOP) }

// Continue resumes the process after Stop.
func (p *Proc) Continue() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks the process by SIGTERM to shut down, and kills it if ctx is done first.
func (p *Proc) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("process: %s: did not end after SIGTERM: %w", p.Name, ctx.Err())
	}
}

// Signal sends a signal to the process. It returns os.ErrProcessDone if the process has ended.
func (p *Proc) Signal(s syscall.Signal) error {
	select {
	case <-p.ended:
		return fmt.Errorf("process: %s: %w", p.Name, os.ErrProcessDone)
	default:
	}
	if err := p.proc.Signal(s); err != nil {
		return fmt.Errorf("process: %s: %w", p.Name, err)
	}
	return nil
}
