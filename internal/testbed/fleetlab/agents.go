package fleetlab

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

// The ports are the same on all machines, because each machine has its own address.
const (
	controlPort   = 8262
	frontPort     = 8263
	readinessPort = 8268
	firstPort     = 7300
	lastPort      = 7315
	serverPort    = 8080
)

// maxLoggedRejections bounds the bytes of rejections.
const maxLoggedRejections = 4000

// Agent is one machine of the fleet with its process. Its methods may be called concurrently.
type Agent struct {
	Name, IP, Zone string
	Core           bool

	fleet    *Fleet
	dir      string
	mu       sync.Mutex
	process  *process.Proc
	endFault func() // ends the fault in progress; nil: none
	stopping bool   // its end is expected
}

// Endpoint is the agent as the load balancer finds it.
func (a *Agent) Endpoint() Endpoint {
	return Endpoint{Name: a.Name, IP: a.IP, Zone: a.Zone, Front: hostPort(a.IP, frontPort), Readiness: hostPort(a.IP, readinessPort)}
}

// ControlAddr is the address at which servers and the operator find the agent.
func (a *Agent) ControlAddr() string { return hostPort(a.IP, controlPort) }

func (a *Agent) logPath() string { return filepath.Join(a.dir, "log") }

// start starts the process, ends the fault in progress, and watches for an unexpected exit.
func (a *Agent) start(first bool) error {
	path, err := a.writeSettings(first)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), settings.EnvironmentVariable + "=" + path}
	a.fleet.recorder.beginFault(Fault{Agent: a.IP, Core: a.Core, ProcessStart: true}, a.fleet.Now)()
	p, err := a.fleet.processes.Start(process.Spec{Name: a.Name, Path: a.fleet.cfg.Program, Args: []string{"run", "--verbosity", strconv.Itoa(a.fleet.cfg.Verbosity)}, Env: env, Log: a.logPath()})
	if err != nil {
		return errors.Wrap(err, a.Name)
	}
	a.process, a.stopping = p, false
	if a.endFault != nil {
		a.endFault()
		a.endFault = nil
	}
	a.fleet.background.Go(func() {
		err := p.Err()
		a.mu.Lock()
		expected := a.stopping || a.process != p
		a.mu.Unlock()
		if !expected {
			a.fleet.recorder.processExited(fmt.Sprintf("%s exited unexpectedly: %v\n%s", a.Name, err, a.logTail()))
		}
	})
	return nil
}

// isRunning reports whether the process runs and nothing ends it.
func (a *Agent) isRunning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.stopping && a.endFault == nil
}

// logTail is the end of the process's log.
func (a *Agent) logTail() string {
	text, err := os.ReadFile(a.logPath())
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-1500, 0):])
}

// rejections are the lines of the process's log about requests that it rejected, the first ones.
func (a *Agent) rejections() string {
	text, err := os.ReadFile(a.logPath())
	if err != nil {
		return err.Error()
	}
	var lines []byte
	for line := range bytes.Lines(text) {
		if bytes.Contains(line, []byte("E320")) && len(lines) < maxLoggedRejections {
			lines = append(lines, line...)
		}
	}
	return string(lines)
}

// dataRace is the report of the race detector in the process's log; "" if there is none.
func (a *Agent) dataRace() string {
	text, err := os.ReadFile(a.logPath())
	if err != nil {
		return ""
	}
	i := bytes.Index(text, []byte("WARNING: DATA RACE"))
	if i < 0 {
		return ""
	}
	return string(text[i:min(i+4000, len(text))])
}

// beginOutage records a fault that ends the process and lasts until its next start.
func (a *Agent) beginOutage(t Fault) *process.Proc {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Agent, t.Core = a.IP, a.Core
	a.stopping = true
	if a.endFault != nil {
		a.endFault() // this one takes its place
	}
	a.endFault = a.fleet.recorder.beginFault(t, a.fleet.Now)
	return a.process
}

// Kill kills the process.
func (a *Agent) Kill() { a.beginOutage(Fault{}).Kill() }

// Terminate shuts the process down gracefully. A process that takes longer than the grace is killed, which is an error.
func (a *Agent) Terminate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.fleet.cfg.Bounds.Grace)
	defer cancel()
	return a.beginOutage(Fault{Graceful: true}).Terminate(ctx)
}

// Restart starts the process again, with its disk.
func (a *Agent) Restart() error { return a.start(false) }

// WipeDisk empties the disk of a machine whose process has ended.
func (a *Agent) WipeDisk() error {
	state := filepath.Join(a.dir, "state")
	if err := os.RemoveAll(state); err != nil {
		return errors.Wrap(err, a.Name)
	}
	return nil
}

// TearWrite leaves the start of a record at the end of the state file of a machine whose process has ended, as a write
// does that a loss of power interrupts.
func (a *Agent) TearWrite(bytes int) error {
	path := filepath.Join(a.dir, "state", store.FileName)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) || bytes == 0 || len(content) < bytes {
		return nil // nothing was written yet, or the disk was wiped
	}
	if err != nil {
		return errors.Wrap(err, a.Name)
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return errors.Wrap(err, a.Name)
	}
	_, err = file.Write(content[:bytes])
	if err = errors.Join(err, file.Close()); err != nil {
		return errors.Wrap(err, a.Name)
	}
	return nil
}

// Pause suspends the process until Resume.
func (a *Agent) Pause() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endFault = a.fleet.recorder.beginFault(Fault{Agent: a.IP, Core: a.Core}, a.fleet.Now)
	return a.process.Stop()
}

// Resume continues a suspended process.
func (a *Agent) Resume() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.process.Continue()
	if a.endFault != nil {
		a.endFault()
		a.endFault = nil
	}
	return err
}

// Reload makes the process reload its settings (SIGHUP).
func (a *Agent) Reload() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process.Signal(syscall.SIGHUP)
}
