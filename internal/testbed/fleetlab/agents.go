package fleetlab

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

// The ports are alike on all machines: each has an address of its own.
const (
	controlPort   = 8262
	frontPort     = 8263
	readinessPort = 8268
	firstPort     = 7300
	lastPort      = 7315
	serverPort    = 8080
)

// Bounds are what the settings tell agents, and the referee judges by.
type Bounds struct {
	Contact, Ack, Drain, Converge, RevertSlack, LossSlack, Stretch time.Duration
	Settle, Grace, Recovery, Beat                                  time.Duration
	RetryRatio                                                     float64
	RetryWindow                                                    time.Duration
	RetrySlack                                                     float64
}

// DefaultBounds are those of a small deployment.
func DefaultBounds() Bounds {
	return Bounds{Contact: 3 * time.Second, Ack: 4 * time.Second, Drain: 2 * time.Second, Converge: 2 * time.Second,
		RevertSlack: 250 * time.Millisecond, LossSlack: 200 * time.Millisecond, Stretch: 5 * time.Second, Settle: 4 * time.Second,
		Grace: 8 * time.Second, Recovery: 12 * time.Second, Beat: 500 * time.Millisecond, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 30}
}

// subnet is a network on loopback that no other laboratory uses while it is held.
type subnet struct {
	prefix string
	lock   net.Listener
}

// claim finds a free one.
func claim() (*subnet, error) {
	pid := os.Getpid()
	for i := range 4000 {
		n := pid + 251*i
		prefix := fmt.Sprintf("127.%d.%d.", 16+n/250%200, 1+n%250)
		if ln, err := net.Listen("tcp", prefix+"1:7299"); err == nil {
			return &subnet{prefix, ln}, nil
		}
	}
	return nil, errors.New("no free network on loopback: end other laboratories")
}

func (s *subnet) ip(n int) string { return s.prefix + fmt.Sprint(n) }

// Agent is one machine of the fleet with its process.
type Agent struct {
	Name, IP, Zone string
	Core           bool

	lab  *Lab
	dir  string
	mu   sync.Mutex
	proc *process.Proc
	over func() // ends the trouble under way
	gone bool   // it was ended on purpose
}

func addr(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// Door is where the entry finds it, Control where servers and the operator do.
func (a *Agent) Door() Door {
	return Door{IP: a.IP, Zone: a.Zone, Front: addr(a.IP, frontPort), Readiness: addr(a.IP, readinessPort)}
}
func (a *Agent) Control() string { return addr(a.IP, controlPort) }
func (a *Agent) log() string     { return filepath.Join(a.dir, "log") }

// settings writes the machine's settings file.
func (a *Agent) settings(first bool) (string, error) {
	var b strings.Builder
	l, bo := a.lab, a.lab.cfg.Bounds
	list := func(items []string) string { return `["` + strings.Join(items, `","`) + `"]` }
	ms := time.Duration.Milliseconds
	fmt.Fprintf(&b, "node-name = %q\nrole = \"edge\"\nmachine-class = \"edge\"\nserved-roles = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"lab\"\n", a.Name, a.IP, a.Zone)
	fmt.Fprintf(&b, "port-range = [%d,%d]\nseed-nodes = %s\nfirst-start = %v\n", firstPort, lastPort, list(l.seeds), first)
	if a.Core {
		state := filepath.Join(a.dir, "state")
		if err := os.MkdirAll(state, 0o755); err != nil {
			return "", errors.Wrap(err, a.Name)
		}
		fmt.Fprintf(&b, "counted-loss = true\nstate-dir = %q\n", state)
	}
	fmt.Fprintf(&b, "discovery-source = \"self_register\"\nentry-kind = \"vip\"\nbeat-period-ms = %d\n", ms(bo.Beat))
	fmt.Fprintf(&b, "active-contracts = %s\n[zones]\n", list([]string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream"}))
	for _, z := range l.zones {
		fmt.Fprintf(&b, "%s = \"lab\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n", addr(a.IP, frontPort), addr(a.IP, readinessPort), addr(a.IP, controlPort))
	fmt.Fprintf(&b, "[limits]\ncpu-share = 1.0\ncpu-cores = 1\nmemory-mb = %d\nfd-limit = 4100\nlink-mbps = 1000.0\ndisk-mb = 64\n", l.cfg.MemoryMB)
	fmt.Fprintf(&b, "[fault-tolerance]\nmachine-losses = 1\nzones = 0\nregion-losses = 0\n")
	fmt.Fprintf(&b, "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = %d\nack-ms = %d\nsettle-s = %v\ndrain-ms = %d\ngrace-s = %v\nloss-slack-ms = %d\n",
		ms(bo.Contact), ms(bo.Ack), bo.Settle.Seconds(), ms(bo.Drain), bo.Grace.Seconds(), ms(bo.LossSlack))
	fmt.Fprintf(&b, "converge-ms = %d\nrevert-slack-ms = %d\nstretch-ms = %d\nretry-ratio = %v\nretry-window-s = %v\nretry-slack = %v\nrecovery-s = %v\npass_ms = %d\nagain_s = 0\n",
		ms(bo.Converge), ms(bo.RevertSlack), ms(bo.Stretch), bo.RetryRatio, bo.RetryWindow.Seconds(), bo.RetrySlack, bo.Recovery.Seconds(), ms(passFor))
	path := filepath.Join(a.dir, "local.toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return "", errors.Wrap(err, a.Name)
	}
	return path, nil
}

// start starts the machine's process.
func (a *Agent) start(first bool) error {
	path, err := a.settings(first)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), settings.EnvironmentVariable + "=" + path}
	a.lab.seen.trouble(Trouble{Agent: a.IP, Core: a.Core, Start: true}, a.lab.Now)()
	p, err := a.lab.group.Start(process.Spec{Name: a.Name, Path: a.lab.cfg.Program, Args: []string{"run"}, Env: env, Log: a.log()})
	if err != nil {
		return errors.Wrap(err, a.Name)
	}
	a.proc, a.gone = p, false
	if a.over != nil {
		a.over()
		a.over = nil
	}
	a.lab.owner.Go(func() {
		err := p.Err()
		a.mu.Lock()
		gone := a.gone || a.proc != p
		a.mu.Unlock()
		if !gone {
			a.lab.seen.ended(fmt.Sprintf("%s ended by itself: %v\n%s", a.Name, err, a.tail()))
		}
	})
	return nil
}

// tail is the end of its log.
func (a *Agent) tail() string {
	text, err := os.ReadFile(a.log())
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-1500, 0):])
}

// raced is what the race detector wrote into its log; empty if nothing.
func (a *Agent) raced() string {
	text, err := os.ReadFile(a.log())
	if err != nil {
		return ""
	}
	i := bytes.Index(text, []byte("WARNING: DATA RACE"))
	if i < 0 {
		return ""
	}
	return string(text[i:min(i+4000, len(text))])
}

// leave notes an end that is on purpose, which lasts until the next start.
func (a *Agent) leave(t Trouble) *process.Proc {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Agent, t.Core = a.IP, a.Core
	a.gone = true
	a.over = a.lab.seen.trouble(t, a.lab.Now)
	return a.proc
}

// Kill ends its process at once.
func (a *Agent) Kill() { a.leave(Trouble{}).Kill() }

// Terminate ends its process in order, and by force after the grace, which is an error.
func (a *Agent) Terminate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.lab.cfg.Bounds.Grace)
	defer cancel()
	return a.leave(Trouble{Ordered: true}).Terminate(ctx)
}

// Start starts it again, with the disk that it had.
func (a *Agent) Start() error { return a.start(false) }

// Wipe empties the disk of a machine whose process has ended.
func (a *Agent) Wipe() error {
	state := filepath.Join(a.dir, "state")
	if err := os.RemoveAll(state); err != nil {
		return errors.Wrap(err, a.Name)
	}
	return nil
}

// Freeze stops its process until Thaw.
func (a *Agent) Freeze() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = a.lab.seen.trouble(Trouble{Agent: a.IP, Core: a.Core}, a.lab.Now)
	return a.proc.Stop()
}

// Thaw lets it go on.
func (a *Agent) Thaw() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.proc.Continue()
	if a.over != nil {
		a.over()
		a.over = nil
	}
	return err
}

// Reload sends it SIGHUP.
func (a *Agent) Reload() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proc.Signal(syscall.SIGHUP)
}
