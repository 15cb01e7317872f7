// Package fleetlab runs a complete router fleet on loopback: processes of the daemon, model servers, the platform's
// load balancer, clients, an operator and faults. A checker checks what clients, servers and the operator observe
// against the guarantees of the protocol.
//
// Each machine has its own loopback address, so that the ports are the same on all machines. The package ends only
// processes that it has started.
package fleetlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

// Config describes a fleet and its workload.
type Config struct {
	Program       string // path of the daemon's executable
	Dir           string // existing folder for settings, state and logs; each agent creates a folder in it
	Agents        int
	Core          int // number of agents in the core: the first ones, which have a disk
	Servers       int
	Zones         int
	Clients       int
	Seed          uint64
	MemoryMB      int // memory limit in the agents' settings
	Verbosity     int // verbosity of the agents' logs
	Bounds        Bounds
	Engine        modelserver.EngineConfig
	Classes       []*Class
	ProbeInterval time.Duration // interval of the load balancer's readiness probes
}

// hostname is the host of all routes.
const hostname = "desk.example"

// The services. Most servers belong to the first one.
const (
	serviceA = "llm-a"
	serviceB = "llm-b"
)

// DefaultConfig returns the configuration of a fleet with two classes of requests: long ones that must not be executed
// twice, and short urgent ones whose streams may be resumed elsewhere.
func DefaultConfig(agents, core, servers int) Config {
	return Config{Agents: agents, Core: core, Servers: servers, Zones: min(3, agents), Clients: 4 * agents, Seed: 1, MemoryMB: 284, Bounds: DefaultBounds(),
		Engine:        modelserver.EngineConfig{Slots: 32, Queue: 64, StepMs: 4, SlotMs: 0.05, PrefillPerMs: 64, Chunk: 2048, KVTokens: 200_000, Stride: 4},
		ProbeInterval: 250 * time.Millisecond,
		Classes: []*Class{
			{Name: "narrative", Host: hostname, Path: "/narrative/", Share: 0.2, FirstEventTarget: 800 * time.Millisecond, EventGapTarget: 300 * time.Millisecond,
				Deadline: 15 * time.Second, Timeout: 15 * time.Second, MaxRetries: 1, SharedTokens: 2000, OwnTokens: 2500, MaxOutputTokens: 160, BodyBytes: 6000},
			{Name: "verdict", Host: hostname, Path: "/verdict/", Share: 0.8, FirstEventTarget: 400 * time.Millisecond, EventGapTarget: 300 * time.Millisecond,
				Deadline: 3 * time.Second, Timeout: 3 * time.Second, Resumable: true, MaxRetries: 1, SharedTokens: 400, OwnTokens: 700, MaxOutputTokens: 24, BodyBytes: 1200},
		}}
}

// Fleet is a running fleet. Its methods may be called concurrently, except for Close.
type Fleet struct {
	cfg          Config
	startedAt    time.Time
	subnet       *subnet
	processes    *process.Group
	background   sync.WaitGroup
	recorder     *recorder
	zones        []string
	Agents       []*Agent
	LoadBalancer *LoadBalancer
	Operator     *Operator

	probeCount atomic.Int64

	mu             sync.Mutex // guards the fields below
	seeds          []string   // control addresses of the agents that the settings name as seeds
	servers        []*modelserver.Server
	stoppedServers []*modelserver.Server
}

// Now returns the time since the start of the fleet. All observed times are given on this clock.
func (f *Fleet) Now() time.Duration { return time.Since(f.startedAt) }

// Start starts all processes at once, sends the initial configuration, starts the model servers and waits until every
// agent is ready and serves each route, or ctx ends. The caller has to close the fleet.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	if cfg.Agents < 1 || cfg.Core < 1 || cfg.Core > cfg.Agents || cfg.Agents > 80 || cfg.Servers < 2 || cfg.Servers > 80 || cfg.Zones < 1 || cfg.Clients < 1 {
		return nil, errors.Errorf("%d agents, %d in the core, %d servers, %d zones, %d clients: give 1 to 80 agents, 1 or more in the core, 2 to 80 servers, 1 or more zones and clients", cfg.Agents, cfg.Core, cfg.Servers, cfg.Zones, cfg.Clients)
	}
	net, err := claimSubnet()
	if err != nil {
		return nil, err
	}
	f := &Fleet{cfg: cfg, startedAt: time.Now(), subnet: net, processes: process.NewGroup(), recorder: &recorder{}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	cfg := f.cfg
	for i := range cfg.Zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%c", 'a'+i))
	}
	for i := range cfg.Agents {
		a := &Agent{Name: fmt.Sprintf("edge-%d", i+1), IP: f.subnet.ip(10 + i), Zone: f.zones[i%cfg.Zones], Core: i < cfg.Core, fleet: f}
		a.dir = filepath.Join(cfg.Dir, a.Name)
		if err := os.Mkdir(a.dir, 0o755); err != nil { // it must not exist yet, as disks are empty at a first start
			return errors.Wrap(err, "create the folder of an agent: Config.Dir has to be an existing, empty folder")
		}
		f.Agents = append(f.Agents, a)
	}
	random := rand.New(rand.NewPCG(cfg.Seed, 5))
	for _, i := range random.Perm(cfg.Agents)[:min(maxSeeds, cfg.Agents)] {
		f.seeds = append(f.seeds, f.Agents[i].ControlAddr())
	}
	f.Operator = newOperator(f.controlAddrs, f.Now, f.recorder, cfg.Seed)
	for _, i := range random.Perm(cfg.Agents) {
		if err := f.Agents[i].start(true); err != nil {
			return err
		}
	}
	var endpoints []Endpoint
	for _, a := range f.Agents {
		endpoints = append(endpoints, a.Endpoint())
	}
	f.LoadBalancer = newLoadBalancer(endpoints, cfg.ProbeInterval)
	for i := range cfg.Servers {
		if err := f.startServer(i); err != nil {
			return err
		}
	}
	if status, err := f.Operator.Put(ctx, 0, f.initialDocument()); err != nil {
		return err
	} else if status != 200 {
		return errors.Errorf("the first configuration was rejected with status %d", status)
	}
	return f.WaitServing(ctx)
}

// initialDocument returns the configuration that a fleet starts with.
func (f *Fleet) initialDocument() *Document {
	d := &Document{Revision: 3, Limits: Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderMs: 3000, IdleMs: 15000}}
	for i, c := range f.cfg.Classes {
		r := Route{Name: "r-" + c.Name, Host: c.Host, Prefix: c.Path, Kind: "streaming", TimeoutMs: int(c.Timeout.Milliseconds()), SetpointMs: int(c.FirstEventTarget.Milliseconds()),
			Priority: len(f.cfg.Classes) - 1 - i, MaxAttempts: 2, Affinity: true, Resumable: c.Resumable, EventGapTargetMs: int(c.EventGapTarget.Milliseconds()), Comment: "of " + c.Name}
		if i == 0 {
			r.Service = serviceA
		} else { // the same service may occur twice in a split
			r.Split = []Split{{serviceA, 50}, {serviceB, 30}, {serviceA, 20}}
		}
		d.Routes = append(d.Routes, r)
	}
	for _, s := range []string{serviceA, serviceB} {
		d.Services = append(d.Services, Service{Name: s, HealthPath: "/health", ConnLimit: connLimit, Protocol: "h1",
			Engine: Engine{Slots: f.cfg.Engine.Slots, CacheTokens: f.cfg.Engine.KVTokens, KVTokenBytes: 163840, LinkMbps: 180000, Stride: f.cfg.Engine.Stride, Models: []EngineModel{{"m"}}}})
	}
	return d
}

func (f *Fleet) controlAddrs() []string {
	var list []string
	for _, a := range f.Agents {
		list = append(list, a.ControlAddr())
	}
	return list
}

// Check checks all observations so far. The fleet keeps running.
func (f *Fleet) Check() []Violation {
	s := f.recorder.snapshot()
	for _, a := range f.Agents {
		if race := a.dataRace(); race != "" {
			s.UnexpectedExits = append(s.UnexpectedExits, a.Name+": "+race)
		}
	}
	b := f.cfg.Bounds
	return Check(s, Rules{Stride: f.cfg.Engine.Stride, Contact: b.Contact, Drain: b.Drain, Converge: b.Converge, RevertSlack: b.RevertSlack, LossSlack: b.LossSlack,
		Grace: b.Grace, RetryRatio: b.RetryRatio, RetryWindow: b.RetryWindow, RetrySlack: b.RetrySlack, Slack: 50 * time.Millisecond})
}

// ReadBack reads the configuration from the fleet, so that Check can compare it with the changes.
func (f *Fleet) ReadBack(ctx context.Context) {
	text, err := f.Operator.ReadBack(ctx)
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	f.recorder.ReadBack, f.recorder.ReadErr = text, err
}

// Close ends all servers, processes and goroutines, and releases the subnet.
func (f *Fleet) Close() {
	if f.LoadBalancer != nil {
		f.LoadBalancer.Close()
	}
	f.mu.Lock()
	servers := slices.Concat(f.servers, f.stoppedServers)
	f.mu.Unlock()
	for _, s := range servers {
		if s != nil {
			s.Close()
		}
	}
	for _, a := range f.Agents {
		a.mu.Lock()
		a.stopping = true
		a.mu.Unlock()
	}
	f.processes.Close()
	f.background.Wait()
	if f.Operator != nil {
		f.Operator.close()
	}
	f.subnet.lock.Close()
}
