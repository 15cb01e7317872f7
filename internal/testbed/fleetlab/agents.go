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

// maxLoggedRejections bounds the log lines that Agent.rejections returns, in bytes.
const maxLoggedRejections = 4000

// Agent is a machine of the fleet and the daemon process on it. Its methods may be called concurrently.
type Agent struct {
	Name, IP, Zone string
	Core           bool // it belongs to the core and has a disk

	fleet    *Fleet
	dir      string
	mu       sync.Mutex
	process  *process.Proc
	endFault func() // records the end of the fault in progress; nil if there is none
	stopping bool   // the process is expected to exit
}

// Endpoint returns the agent's name, zone and addresses for the load balancer.
func (a *Agent) Endpoint() Endpoint {
	return Endpoint{Name: a.Name, IP: a.IP, Zone: a.Zone, Front: hostPort(a.IP, frontPort), Readiness: hostPort(a.IP, readinessPort)}
}

// ControlAddr returns the address that servers and the operator call.
func (a *Agent) ControlAddr() string { return hostPort(a.IP, controlPort) }

func (a *Agent) logPath() string { return filepath.Join(a.dir, "log") }

// start starts the process, ends the fault in progress, and records an exit that is not expected.
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

// isRunning reports whether the process runs, no fault is in progress, and it is not being stopped.
func (a *Agent) isRunning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.stopping && a.endFault == nil
}

// logTail returns the end of the process's log.
func (a *Agent) logTail() string {
	text, err := os.ReadFile(a.logPath())
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-1500, 0):])
}

// rejections returns the first lines of the process's log about rejected requests (event E320).
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

// dataRace returns the first report of the race detector in the process's log; empty if there is none.
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

// beginOutage records a fault that ends the process and lasts until its next start. It returns the process.
func (a *Agent) beginOutage(fault Fault) *process.Proc {
	a.mu.Lock()
	defer a.mu.Unlock()
	fault.Agent, fault.Core = a.IP, a.Core
	a.stopping = true
	if a.endFault != nil {
		a.endFault() // the new fault replaces it
	}
	a.endFault = a.fleet.recorder.beginFault(fault, a.fleet.Now)
	return a.process
}

// Kill kills the process.
func (a *Agent) Kill() { a.beginOutage(Fault{}).Kill() }

// Terminate shuts the process down gracefully. If that takes longer than Bounds.Grace, it kills the process and returns
// an error.
func (a *Agent) Terminate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.fleet.cfg.Bounds.Grace)
	defer cancel()
	return a.beginOutage(Fault{Graceful: true}).Terminate(ctx)
}

// Restart starts the process again, with the present content of its disk.
func (a *Agent) Restart() error { return a.start(false) }

// WipeDisk deletes the state on the disk of a machine whose process has ended.
func (a *Agent) WipeDisk() error {
	state := filepath.Join(a.dir, "state")
	if err := os.RemoveAll(state); err != nil {
		return errors.Wrap(err, a.Name)
	}
	return nil
}

// TearWrite appends the start of a record to the state file of a machine whose process has ended, as if a power loss
// had interrupted a write.
func (a *Agent) TearWrite(bytes int) error {
	path := filepath.Join(a.dir, "state", store.FileName)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) || bytes == 0 || len(content) < bytes {
		return nil // no write to interrupt: the file is missing or shorter, or bytes is 0
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
