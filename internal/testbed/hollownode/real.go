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
	// ticksPerSecond is the kernel's unit of processor time in /proc.
	ticksPerSecond = 100
	// askEvery is how often a daemon is asked whether it is ready, as the platform's entry does more seldom.
	askEvery = 25 * time.Millisecond
)

// daemon is one real process of edged, an agent without a disk.
type daemon struct {
	name, ip string
	began    time.Duration
	ready    time.Duration
	proc     *process.Proc
	client   *http.Client
	cpu      time.Duration
}

// DaemonReport is what one real daemon used; it has no clients.
type DaemonReport struct {
	Name  string        `json:"name"`
	Ready time.Duration `json:"ready"` // from its start
	CPU   time.Duration `json:"cpu"`   // in the window, to 10 ms
	RSS   int64         `json:"rss"`
	Peak  int64         `json:"rss-peak"`
	Seq   uint64        `json:"config-seq"` // of the configuration in force at the end
}

// startDaemon starts edged with settings as the platform writes them.
func startDaemon(g *process.Group, program, dir, name, ip, zone, region string, seeds []string, beat time.Duration) (*daemon, error) {
	var b strings.Builder
	list := func(items []string) string { return `["` + strings.Join(items, `","`) + `"]` }
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	fmt.Fprintf(&b, "node-name = %q\nrole = \"edge\"\nmachine-class = \"edge\"\nserved-roles = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = %q\n", name, ip, zone, region)
	fmt.Fprintf(&b, "port-range = [%d,%d]\nseed-nodes = %s\nfirst-start = true\ndiscovery-source = \"self_register\"\nentry-kind = \"vip\"\nbeat-period-ms = %d\n",
		peerPort, peerPort+15, list(seeds), beat.Milliseconds())
	fmt.Fprintf(&b, "active-contracts = %s\n[zones]\n%s = %q\n", list([]string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream"}), zone, region)
	fmt.Fprintf(&b, "[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n", at(frontPort), at(readinessPort), at(controlPort))
	b.WriteString("[limits]\ncpu-share = 1.0\ncpu-cores = 1\nmemory-mb = 128\nfd-limit = 4100\nlink-mbps = 1000.0\n[fault-tolerance]\nmachine-losses = 1\n[bounds]\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 58\n")
	path := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p, err := g.Start(process.Spec{Name: name, Path: program, Args: []string{"run"}, Env: append(os.Environ(), "CHALKDOOR_NODE_FILE="+path),
		Log: filepath.Join(dir, name+".log")})
	if err != nil {
		return nil, err
	}
	return &daemon{name: name, ip: ip, began: now(), proc: p, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{}}}, nil
}

// awaitReady asks until it is.
func (d *daemon) awaitReady(ctx context.Context) error {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		if status, _, err := d.get(ctx, readinessPort, "/chalkdoor/ready"); err == nil && status == http.StatusOK {
			d.ready = now() - d.began
			return nil
		}
		select {
		case <-tick.C:
		case <-d.proc.Ended():
			return errors.Errorf("%s ended: %v", d.name, d.proc.Err())
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

// Pid is the process's.
func (d *daemon) Pid() int { return d.proc.Pid }

func (d *daemon) begin() { d.cpu = processCPU(d.proc.Pid) }

func (d *daemon) report(ctx context.Context) DaemonReport {
	r := DaemonReport{Name: d.name, Ready: d.ready, CPU: processCPU(d.proc.Pid) - d.cpu}
	r.RSS, r.Peak = resident(d.proc.Pid)
	var status struct {
		Seq uint64 `json:"config-seq"`
	}
	if code, body, err := d.get(ctx, controlPort, "/chalkdoor/ops/status"); err == nil && code == http.StatusOK {
		_ = json.Unmarshal(body, &status) // Seq 0 tells
	}
	r.Seq = status.Seq
	return r
}

func (d *daemon) close() {
	d.client.CloseIdleConnections()
	d.proc.Kill()
}

// processCPU is the processor time of another process, 0 where that can't be read.
func processCPU(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold anything
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}
