package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all machines, because each machine has a loopback address of its own.
const (
	controlPort   = 8262
	frontPort     = 8263
	readinessPort = 8268
	peerPort      = 7300
	serverPort    = 8080
)

// The bounds of the small deployments, as their pages give them.
const (
	contact       = 3 * time.Second
	drain         = 2 * time.Second
	grace         = 8 * time.Second
	converge      = 2 * time.Second
	beatPeriod    = 1200 * time.Millisecond
	settleTimeout = 20 * time.Second
)

// subnet is a range of loopback addresses that no other run uses. Its lock is a listening port.
type subnet struct {
	prefix string
	lock   net.Listener
}

func claimSubnet() (*subnet, error) {
	pid := os.Getpid()
	for i := range 4000 {
		n := pid + 251*i
		prefix := fmt.Sprintf("127.%d.%d.", 16+n/250%200, 1+n%250)
		if lock, err := net.Listen("tcp", prefix+"1:7299"); err == nil {
			return &subnet{prefix, lock}, nil
		}
	}
	return nil, fmt.Errorf("no free range of loopback addresses")
}

func (s *subnet) address(host, port int) string { return fmt.Sprintf("%s%d:%d", s.prefix, host, port) }

// machine is a machine of the fleet. One process of the deploy file runs on it.
type machine struct {
	name, zone string
	host       int
	disk       bool
	fleet      *fleet

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// fleet is the machines of a deployment.
type fleet struct {
	net      *subnet
	dir      string // temporary folder: settings, disks, logs
	command  []string
	machines []*machine
	seeds    []string
	log      *record
}

// newFleet lays out machines, the first of which have a disk, and starts all of them for the first time.
func newFleet(dir string, command []string, machines, withDisk int, log *record) (*fleet, error) {
	subnet, err := claimSubnet()
	if err != nil {
		return nil, err
	}
	f := &fleet{net: subnet, dir: dir, command: command, log: log}
	zones := []string{"lhr-a", "isb-b", "psh-c"}
	for i := range machines {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], host: 10 + i, disk: i < withDisk, fleet: f}
		f.machines = append(f.machines, m)
		if len(f.seeds) < 3 {
			f.seeds = append(f.seeds, m.control())
		}
	}
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
	}
	_ = f.net.lock.Close()
}

func (f *fleet) controls() (addresses []string) {
	for _, m := range f.machines {
		addresses = append(addresses, m.control())
	}
	return addresses
}

func (m *machine) control() string   { return m.fleet.net.address(m.host, controlPort) }
func (m *machine) front() string     { return m.fleet.net.address(m.host, frontPort) }
func (m *machine) readiness() string { return m.fleet.net.address(m.host, readinessPort) }

// settings returns the text of the settings file, with the keys of the page and the figures of a small deployment.
func (m *machine) settings(first bool) string {
	var b strings.Builder
	ip := strings.TrimSuffix(m.fleet.net.address(m.host, 0), ":0")
	fmt.Fprintf(&b, "node-name = %q\nrole = \"edged\"\nmachine-class = \"edge\"\nserved-roles = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"pk-north\"\n", m.name, ip, m.zone)
	fmt.Fprintf(&b, "port-range = [%d,%d]\nseed-nodes = [\"%s\"]\nfirst-start = %v\ncounted-loss = %v\n", peerPort, peerPort+15, strings.Join(m.fleet.seeds, `","`), first, m.disk)
	if m.disk {
		fmt.Fprintf(&b, "state-dir = %q\n", m.stateDir())
	}
	fmt.Fprintf(&b, "discovery-source = \"self_register\"\nentry-kind = \"vip\"\nbeat-period-ms = %d\n", beatPeriod.Milliseconds())
	b.WriteString("active-contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\"]\n")
	b.WriteString("[zones]\nlhr-a = \"pk-north\"\nisb-b = \"pk-north\"\npsh-c = \"pk-north\"\n")
	fmt.Fprintf(&b, "[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n", m.front(), m.readiness(), m.control())
	b.WriteString("[limits]\ncpu-share = 0.72\ncpu-cores = 1\nmemory-mb = 244\nfd-limit = 4100\nlink-mbps = 1000.0\ndisk-mb = 64\n")
	b.WriteString("[fault-tolerance]\nmachine-losses = 1\nzones = 0\nregion-losses = 0\n")
	b.WriteString("[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\nsettle-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconverge-ms = 2000\n")
	b.WriteString("revert-slack-ms = 250\nstretch-ms = 5000\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 64\nrecovery-s = 12\npass_ms = 120\nagain_s = 0\n")
	return b.String()
}

func (m *machine) folder() string   { return filepath.Join(m.fleet.dir, m.name) }
func (m *machine) stateDir() string { return filepath.Join(m.folder(), "disk") }

// start starts the process of the deploy file.
func (m *machine) start(first bool) error {
	if err := os.MkdirAll(m.stateDir(), 0o755); err != nil {
		return err
	}
	file := filepath.Join(m.folder(), "local.toml")
	if err := os.WriteFile(file, []byte(m.settings(first)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(m.fleet.command[0], m.fleet.command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHALKDOOR_NODE_FILE=" + file}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.ended = process, ended
	m.fleet.log.event("%s: process started", m.name)
	return nil
}

// kill ends the process at once, as a loss of power does, and returns when it has ended.
func (m *machine) kill() {
	m.mu.Lock()
	process, ended := m.process, m.ended
	m.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	_ = process.Process.Kill()
	<-ended
	m.fleet.log.event("%s: process killed", m.name)
}
