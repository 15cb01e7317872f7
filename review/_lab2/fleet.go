// Command lab plays the scripted cases of the second review: it starts the daemon as separate processes on
// loopback addresses, with stand-ins for model servers, clients and the operator, brings about one disruption
// and checks one rule by what the stand-ins saw.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are alike on all machines, as each machine has its own loopback address.
const (
	controlPort   = 8262
	frontPort     = 8263
	readinessPort = 8268
	serverPort    = 8080
)

// The bounds of the small sites that the cases use.
const (
	beatPeriod = 1200 * time.Millisecond
	contact    = 3000 * time.Millisecond
	drainBound = 2000 * time.Millisecond
	converge   = 2000 * time.Millisecond
	// touchMargin is added to contact: a machine counts as in touch a little later than it is.
	touchMargin = 100 * time.Millisecond
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// now is the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.start) }

// started holds all processes that this one has started.
var (
	startedMu sync.Mutex
	started   []*os.Process
)

// endAll ends all processes that this one has started and that still run.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, process := range started {
		_ = process.Kill() // fails if the process has been waited for
	}
}

// machine is one machine of the fleet and its process.
type machine struct {
	name, ip, zone string
	disk           bool
	dir            string
	cmd            *exec.Cmd
	exited         chan struct{}
	startedAt      time.Duration
}

func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// smallBounds and grownBounds are the bounds of gangapar-chalkdoor and of gangapar-chalkdoor-grown.
const (
	smallBounds = "seed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\nsettle-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconverge-ms = 2000\nrevert-slack-ms = 250\nstretch-ms = 5000\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 58\nrecovery-s = 12\npass_ms = 120\nagain_s = 0\n"
	grownBounds = "seed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\nack-ms = 5000\nsettle-s = 6\ndrain-ms = 2500\ngrace-s = 8\nloss-slack-ms = 200\nconverge-ms = 2500\nrevert-slack-ms = 250\nstretch-ms = 6000\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 184\nrecovery-s = 15\npass_ms = 200\nagain_s = 0\n"
)

// fleet is a small deployment.
type fleet struct {
	rec      *record
	dir      string
	subnet   string
	machines []*machine
	losses   int    // machine-losses of the settings files
	bounds   string // the [bounds] of the settings files
	program  string
	seeds    []string
}

// newFleet makes a deployment of disks machines with a disk and others without, in zones zones.
func newFleet(rec *record, disks, others, zones int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, program: "target/edged", losses: 1, bounds: smallBounds}
	for range 50 { // a subnet of 127/8 whose addresses nobody uses
		f.subnet = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", f.subnet+".10:8262")
		if err == nil {
			l.Close()
			break
		}
	}
	for i := range disks + others {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", f.subnet, 10+i), zone: fmt.Sprintf("zone-%c", 'a'+i%zones), disk: i < disks}
		m.dir = filepath.Join(dir, m.name)
		if err := os.Mkdir(m.dir, 0o755); err != nil {
			return nil, err
		}
		if m.disk {
			if err := os.Mkdir(filepath.Join(m.dir, "state"), 0o755); err != nil {
				return nil, err
			}
		}
		f.machines = append(f.machines, m)
	}
	for i := 0; i < 3 && i < len(f.machines); i++ {
		f.seeds = append(f.seeds, f.machines[i].control())
	}
	return f, nil
}

// writeSettings writes the settings file of a machine and returns its path.
func (f *fleet) writeSettings(m *machine, first bool) (string, error) {
	var b strings.Builder
	state := ""
	if m.disk {
		state = filepath.Join(m.dir, "state")
	}
	seeds := `"` + strings.Join(f.seeds, `","`) + `"`
	fmt.Fprintf(&b, "node-name = %q\nrole = \"edged\"\nmachine-class = \"edge\"\nserved-roles = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"region-1\"\n", m.name, m.ip, m.zone)
	fmt.Fprintf(&b, "port-range = [7300,7315]\nseed-nodes = [%s]\nfirst-start = %v\ncounted-loss = %v\nstate-dir = %q\n", seeds, first, m.disk, state)
	fmt.Fprintf(&b, "discovery-source = \"self_register\"\nentry-kind = \"vip\"\nbeat-period-ms = %d\n", beatPeriod.Milliseconds())
	fmt.Fprintf(&b, "active-contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\"]\n[zones]\n")
	zones := map[string]bool{}
	for _, other := range f.machines {
		if !zones[other.zone] {
			zones[other.zone] = true
			fmt.Fprintf(&b, "%s = \"region-1\"\n", other.zone)
		}
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nreadiness = \"%s:%d\"\ncontrol = %q\n", m.front(), m.ip, readinessPort, m.control())
	diskMB := 0
	if m.disk {
		diskMB = 64
	}
	fmt.Fprintf(&b, "[limits]\ncpu-share = 0.72\ncpu-cores = 1\nmemory-mb = 284\nfd-limit = 4100\nlink-mbps = 1000.0\ndisk-mb = %d\n", diskMB)
	fmt.Fprintf(&b, "[fault-tolerance]\nmachine-losses = %d\nzones = 0\nregion-losses = 0\n[bounds]\n%s", f.losses, f.bounds)
	path := filepath.Join(m.dir, "local.toml")
	return path, os.WriteFile(path, []byte(b.String()), 0o644)
}

// startMachine starts the process of a machine, with the command of the deploy file.
func (f *fleet) startMachine(m *machine, first bool) error {
	path, err := f.writeSettings(m, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.program, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CHALKDOOR_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	startedMu.Lock()
	started = append(started, cmd.Process)
	startedMu.Unlock()
	m.cmd, m.exited, m.startedAt = cmd, make(chan struct{}), f.rec.now()
	exited := m.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	f.rec.logf("start %s (disk %v)", m.name, m.disk)
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.rec.logf("signal %v to %s", s, m.name)
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process of a machine at once.
func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.exited
}

// running reports whether the process of a machine runs.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the folder of the fleet.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd != nil && m.running() {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// startAll starts all machines at once, in any order.
func (f *fleet) startAll(first bool) error {
	for _, i := range rand.Perm(len(f.machines)) {
		if err := f.startMachine(f.machines[i], first); err != nil {
			return err
		}
	}
	return nil
}

// call makes one call to a control address and returns the status, 0 without an answer.
func call(ctx context.Context, method, address, path, ifMatch string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := callClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, answer, nil
}

var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// submit sends an order of the operator until it is answered clearly, as it was, to one machine after the
// other, and returns the status.
func (f *fleet) submit(method string, ifMatch int64, body string, to ...*machine) int {
	if len(to) == 0 {
		to = f.machines
	}
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		m := to[i%len(to)]
		status, _, err := call(context.Background(), method, m.control(), "/chalkdoor/config", fmt.Sprint(ifMatch), []byte(body), time.Second)
		f.rec.logf("operator %s If-Match %d to %s: %d %v", method, ifMatch, m.name, status, err)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// awaitReady waits until all given machines answer the readiness question with 200.
func (f *fleet) awaitReady(machines []*machine, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for _, m := range machines {
		for {
			status, _, _ := call(context.Background(), "GET", fmt.Sprintf("%s:%d", m.ip, readinessPort), "/chalkdoor/ready", "", nil, time.Second)
			if status == 200 {
				break
			}
			if time.Now().After(deadline) {
				f.rec.logf("%s isn't ready", m.name)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
