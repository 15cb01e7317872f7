package hollownode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

const (
	peerPort, controlPort, frontPort, readinessPort = 7300, 8262, 8263, 8268
	// ticksPerSecond is the kernel's unit of CPU time in /proc (USER_HZ).
	ticksPerSecond = 100
	// probeInterval is the pause between two readiness probes.
	probeInterval = 25 * time.Millisecond
)

// daemon is a real process of edged, as an agent without a disk.
type daemon struct {
	name, ip  string
	startedAt time.Duration
	ready     time.Duration
	process   *process.Proc
	client    *http.Client
	cpu       time.Duration
}

// DaemonReport is the measurement of a real daemon. It has no clients.
type DaemonReport struct {
	Name       string        `json:"name"`
	ReadyDelay time.Duration `json:"ready"` // from its start
	CPU        time.Duration `json:"cpu"`   // in the window, to 10 ms
	RSS        int64         `json:"rss"`
	Peak       int64         `json:"rss-peak"`
	ConfigSeq  uint64        `json:"config-seq"` // of the configuration that is applied at the end
}

// startDaemon writes the settings of edged and starts it.
func startDaemon(processes *process.Group, program, dir, name, ip, zone, region string, seeds []string, heartbeatInterval time.Duration) (*daemon, error) {
	var text strings.Builder
	list := func(items []string) string { return `["` + strings.Join(items, `","`) + `"]` }
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	fmt.Fprintf(&text, "node-name = %q\nrole = \"edge\"\nmachine-class = \"edge\"\nserved-roles = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = %q\n", name, ip, zone, region)
	fmt.Fprintf(&text, "port-range = [%d,%d]\nseed-nodes = %s\nfirst-start = true\ndiscovery-source = \"self_register\"\nentry-kind = \"vip\"\nbeat-period-ms = %d\n",
		peerPort, peerPort+15, list(seeds), heartbeatInterval.Milliseconds())
	fmt.Fprintf(&text, "active-contracts = %s\n[zones]\n%s = %q\n", list([]string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream"}), zone, region)
	fmt.Fprintf(&text, "[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n", at(frontPort), at(readinessPort), at(controlPort))
	text.WriteString("[limits]\ncpu-share = 1.0\ncpu-cores = 1\nmemory-mb = 128\nfd-limit = 4100\nlink-mbps = 1000.0\n[fault-tolerance]\nmachine-losses = 1\n[bounds]\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 58\n")
	path := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		return nil, errors.Wrap(err, name)
	}
	process, err := processes.Start(process.Spec{Name: name, Path: program, Args: []string{"run"}, Env: append(os.Environ(), "CHALKDOOR_NODE_FILE="+path),
		Log: filepath.Join(dir, name+".log")})
	if err != nil {
		return nil, err
	}
	return &daemon{name: name, ip: ip, startedAt: now(), process: process, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{}}}, nil
}

// waitReady probes the daemon until it is ready.
func (d *daemon) waitReady(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		if status, _, err := d.get(ctx, readinessPort, "/chalkdoor/ready"); err == nil && status == http.StatusOK {
			d.ready = now() - d.startedAt
			return nil
		}
		select {
		case <-tick.C:
		case <-d.process.Ended():
			return errors.Errorf("%s ended: %v", d.name, d.process.Err())
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s is not ready", d.name)
		}
	}
}

func (d *daemon) get(ctx context.Context, port int, path string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(d.ip, strconv.Itoa(port))+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(http.MaxBytesReader(nil, resp.Body, 1<<20))
	return resp.StatusCode, body.Bytes(), err
}

// Pid is the id of the process.
func (d *daemon) Pid() int { return d.process.Pid }

// beginWindow begins the measurement.
func (d *daemon) beginWindow() { d.cpu = processCPU(d.process.Pid) }

// report ends the measurement.
func (d *daemon) report(ctx context.Context) DaemonReport {
	r := DaemonReport{Name: d.name, ReadyDelay: d.ready, CPU: processCPU(d.process.Pid) - d.cpu}
	r.RSS, r.Peak = resident(d.process.Pid)
	var status struct {
		Seq uint64 `json:"config-seq"`
	}
	if code, body, err := d.get(ctx, controlPort, "/chalkdoor/ops/status"); err == nil && code == http.StatusOK {
		_ = json.Unmarshal(body, &status) // ConfigSeq stays 0
	}
	r.ConfigSeq = status.Seq
	return r
}

func (d *daemon) close() {
	d.client.CloseIdleConnections()
	d.process.Kill()
}

// processCPU is the CPU time of another process; 0 if it can't be read.
func processCPU(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ") // the name before may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}
