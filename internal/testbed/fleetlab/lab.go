// Package fleetlab plays the whole router fleet on loopback: processes of the daemon, model
// servers, the entry, clients, an operator, faults, and a referee that judges what clients,
// servers and the operator saw by the rules of the protocol.
//
// Each machine has a loopback address of its own, so that ports are alike on all of them. The
// laboratory ends only processes that it started.
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

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

// Config is a fleet.
type Config struct {
	Program  string // the daemon's
	Dir      string // for settings, state and logs
	Agents   int
	Core     int // of them with a disk, the first ones
	Servers  int
	Zones    int
	Clients  int
	Seed     uint64
	MemoryMB int
	Bounds   Bounds
	Engine   modelserver.EngineConfig
	Classes  []*Class
	Ready    time.Duration // the entry's period
}

// hostname is that of all routes.
const hostname = "desk.example"

// The services: most servers are of the first.
const (
	serviceA = "llm-a"
	serviceB = "llm-b"
)

// DefaultConfig is a fleet of so many, with two kinds of requests: long ones that must not run
// twice, and short urgent ones that may be taken up elsewhere.
func DefaultConfig(agents, core, servers int) Config {
	return Config{Agents: agents, Core: core, Servers: servers, Zones: min(3, agents), Clients: 4 * agents, Seed: 1, MemoryMB: 284, Bounds: DefaultBounds(),
		Engine: modelserver.EngineConfig{Slots: 32, Queue: 64, StepMs: 4, SlotMs: 0.05, PrefillPerMs: 64, Chunk: 2048, KVTokens: 200_000, Stride: 4},
		Ready:  250 * time.Millisecond,
		Classes: []*Class{
			{Name: "narrative", Host: hostname, Path: "/narrative/", Share: 0.2, Aim: 800 * time.Millisecond, GapAim: 300 * time.Millisecond,
				Deadline: 15 * time.Second, Timeout: 15 * time.Second, Retries: 1, Shared: 2000, Own: 2500, Most: 160, Body: 6000},
			{Name: "verdict", Host: hostname, Path: "/verdict/", Share: 0.8, Aim: 400 * time.Millisecond, GapAim: 300 * time.Millisecond,
				Deadline: 3 * time.Second, Timeout: 3 * time.Second, Resumable: true, Retries: 1, Shared: 400, Own: 700, Most: 24, Body: 1200},
		}}
}

// Lab is a fleet that runs. Close ends it.
type Lab struct {
	cfg      Config
	began    time.Time
	net      *subnet
	group    *process.Group
	owner    sync.WaitGroup
	seen     *seen
	zones    []string
	seeds    []string
	Agents   []*Agent
	Entry    *Entry
	Operator *Operator

	probes atomic.Int64

	mu      sync.Mutex
	servers []*modelserver.Server
	ended   []*modelserver.Server
}

// Now is the laboratory's clock.
func (l *Lab) Now() time.Duration { return time.Since(l.began) }

// Start starts all processes at once, sends the first configuration, starts the model servers
// and waits until every agent is ready and serves each route, or ctx ends.
func Start(ctx context.Context, cfg Config) (*Lab, error) {
	if cfg.Agents < 1 || cfg.Core < 1 || cfg.Core > cfg.Agents || cfg.Agents > 80 || cfg.Servers < 2 || cfg.Servers > 80 || cfg.Zones < 1 || cfg.Clients < 1 {
		return nil, errors.Errorf("%d agents, %d of the core, %d servers, %d zones, %d clients: give 1 to 80 agents, some of the core, 2 to 80 servers", cfg.Agents, cfg.Core, cfg.Servers, cfg.Zones, cfg.Clients)
	}
	net, err := claim()
	if err != nil {
		return nil, err
	}
	l := &Lab{cfg: cfg, began: time.Now(), net: net, group: process.NewGroup(), seen: &seen{}}
	if err := l.start(ctx); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Lab) start(ctx context.Context) error {
	cfg := l.cfg
	for i := range cfg.Zones {
		l.zones = append(l.zones, fmt.Sprintf("zone-%c", 'a'+i))
	}
	for i := range cfg.Agents {
		a := &Agent{Name: fmt.Sprintf("edge-%d", i+1), IP: l.net.ip(10 + i), Zone: l.zones[i%cfg.Zones], Core: i < cfg.Core, lab: l}
		a.dir = filepath.Join(cfg.Dir, a.Name)
		if err := os.Mkdir(a.dir, 0o755); err != nil { // a first start has empty disks
			return errors.Wrap(err, "give an empty folder that is there")
		}
		l.Agents = append(l.Agents, a)
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 5))
	for _, i := range rng.Perm(cfg.Agents)[:min(3, cfg.Agents)] {
		l.seeds = append(l.seeds, l.Agents[i].Control())
	}
	l.Operator = newOperator(l.control, l.Now, l.seen, cfg.Seed)
	for _, i := range rng.Perm(cfg.Agents) {
		if err := l.Agents[i].start(true); err != nil {
			return err
		}
	}
	var doors []Door
	for _, a := range l.Agents {
		doors = append(doors, a.Door())
	}
	l.Entry = newEntry(doors, cfg.Ready)
	for i := range cfg.Servers {
		if err := l.startServer(i); err != nil {
			return err
		}
	}
	if status, err := l.Operator.Put(ctx, 0, l.firstDoc()); err != nil {
		return err
	} else if status != 200 {
		return errors.Errorf("the first configuration was refused with %d", status)
	}
	return l.Settle(ctx)
}

// firstDoc is the configuration that a fleet begins with.
func (l *Lab) firstDoc() *Doc {
	d := &Doc{Revision: 3, Limits: Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderMs: 3000, IdleMs: 15000}}
	for i, c := range l.cfg.Classes {
		r := Route{Name: "r-" + c.Name, Host: c.Host, Prefix: c.Path, Kind: "streaming", TimeoutMs: int(c.Timeout.Milliseconds()), SetpointMs: int(c.Aim.Milliseconds()),
			Priority: len(l.cfg.Classes) - 1 - i, MaxAttempts: 2, Affinity: true, Resumable: c.Resumable, GapAimMs: int(c.GapAim.Milliseconds()), Note: "of " + c.Name}
		if i == 0 {
			r.Service = serviceA
		} else { // a service may be named twice
			r.Split = []Split{{serviceA, 50}, {serviceB, 30}, {serviceA, 20}}
		}
		d.Routes = append(d.Routes, r)
	}
	for _, s := range []string{serviceA, serviceB} {
		d.Services = append(d.Services, Service{Name: s, HealthPath: "/health", ConnLimit: connLimit, Protocol: "h1",
			Engine: Engine{Slots: l.cfg.Engine.Slots, CacheTokens: l.cfg.Engine.KVTokens, KVTokenBytes: 163840, LinkMbps: 180000, Stride: l.cfg.Engine.Stride, Models: []EngineModel{{"m"}}}})
	}
	return d
}

// connLimit is of each server.
const connLimit = 330

func (l *Lab) control() []string {
	var list []string
	for _, a := range l.Agents {
		list = append(list, a.Control())
	}
	return list
}

// startServer starts a server in a place, as a new incarnation.
func (l *Lab) startServer(i int) error {
	service := serviceA
	if i%3 == 2 || i == l.cfg.Servers-1 && i < 3 {
		service = serviceB
	}
	engine := l.cfg.Engine
	engine.Speed = 1 + 0.1*float64(i%3)
	s, err := modelserver.Start(modelserver.Config{Addr: addr(l.net.ip(110+i), serverPort), Service: service, Zone: l.zones[i%len(l.zones)], Revision: "v1", Model: "m", Weights: 1,
		Engine: engine, ConnLimit: connLimit, HealthPath: "/health", ReportLag: 230 * time.Millisecond, Now: l.Now, Seen: l.seen.record,
		Beats: &modelserver.BeatConfig{Control: l.control, Period: l.cfg.Bounds.Beat, Drain: l.cfg.Bounds.Drain, Linger: 2 * time.Second}})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.servers) <= i {
		l.servers = append(l.servers, nil)
	}
	if old := l.servers[i]; old != nil {
		l.ended = append(l.ended, old)
	}
	l.servers[i] = s
	return nil
}

// Server is the one in a place.
func (l *Lab) Server(i int) *modelserver.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[i]
}

// reuseAfter is how long the address of a server that has ended is not used again.
const reuseAfter = 2 * time.Second

// RestartServer starts a server in the place of one that has ended, as soon as its address may
// be used again, and waits until it is known.
func (l *Lab) RestartServer(ctx context.Context, i int) error {
	if !pause(ctx, reuseAfter) {
		return ctx.Err()
	}
	if err := l.startServer(i); err != nil {
		return err
	}
	select {
	case <-l.Server(i).Registered():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AllReady waits until the entry has all agents in.
func (l *Lab) AllReady(ctx context.Context) error {
	if err := l.Entry.Await(ctx, func(ready map[string]bool) bool { return len(ready) == len(l.Agents) }); err != nil {
		return errors.Wrapf(err, "%d of %d agents are ready", len(l.Entry.Ready()), len(l.Agents))
	}
	return nil
}

// Settle waits until all agents are ready and serve each class, and all servers are known.
func (l *Lab) Settle(ctx context.Context) error {
	for i := range l.cfg.Servers {
		select {
		case <-l.Server(i).Registered():
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "server %d: no beat was acknowledged", i+1)
		}
	}
	if err := l.AllReady(ctx); err != nil {
		return err
	}
	errs := make(chan error, len(l.Agents)*len(l.cfg.Classes))
	for _, a := range l.Agents {
		for _, c := range l.cfg.Classes {
			l.owner.Go(func() { errs <- l.serves(ctx, a, c) })
		}
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// serves asks an agent until it serves a class.
func (l *Lab) serves(ctx context.Context, a *Agent, c *Class) error {
	for {
		t := l.Probe(ctx, a, c)
		if t.Status == 200 && t.Complete {
			return nil
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ctx.Err(), "%s does not serve %s: status %d, %v %s", a.Name, c.Name, t.Status, t.Broken, t.Garbage)
		}
	}
}

// AwaitStreams waits until so many of the streams under way are as wanted.
func (l *Lab) AwaitStreams(ctx context.Context, n int, want func(Stream) bool) error {
	for {
		list, more := l.seen.streams()
		got := 0
		for _, s := range list {
			if want(s) {
				got++
			}
		}
		if got >= n {
			return nil
		}
		select {
		case <-more:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d streams", got, n)
		}
	}
}

// Probe sends one request of a class directly to an agent.
func (l *Lab) Probe(ctx context.Context, a *Agent, c *Class) *Try {
	n := int(l.probes.Add(1))
	clients := newClients([]*Class{c}, nil, l.Now, l.seen, l.cfg.Seed, l.zones, "p")
	of := clients.askOf(&loadgen.Ask{Number: n})
	d := a.Door()
	t := &Try{ID: fmt.Sprintf("p%06x", n), Agent: a.IP, Class: "probe", Method: "POST", Host: c.Host, Target: fmt.Sprintf("%sgen?p=%d", c.Path, n),
		Prompt: of.prompt, Idempotent: c.Resumable, Resumable: c.Resumable, Began: l.Now(), Timeout: c.Timeout}
	t.Deadline = t.Began + c.Deadline
	k, _, err := dial(ctx, &d)
	if err != nil {
		t.Broken, t.End = NoConnect, l.Now()
	} else {
		k.exchange(ctx, l.Now, t, of.body, false, c.silence())
		k.Close()
	}
	l.seen.try(t)
	return t
}

// Check ends nothing: it judges what was seen so far.
func (l *Lab) Check() []Violation {
	s := l.seen.all()
	for _, a := range l.Agents {
		if race := a.raced(); race != "" {
			s.Ends = append(s.Ends, a.Name+": "+race)
		}
	}
	b := l.cfg.Bounds
	return Check(s, Rules{Stride: l.cfg.Engine.Stride, Contact: b.Contact, Drain: b.Drain, Converge: b.Converge, RevertSlack: b.RevertSlack, LossSlack: b.LossSlack,
		Grace: b.Grace, RetryRatio: b.RetryRatio, RetryWindow: b.RetryWindow, RetrySlack: b.RetrySlack, Slack: 50 * time.Millisecond})
}

// ReadBack has the operator read the configuration, for the referee to judge.
func (l *Lab) ReadBack(ctx context.Context) {
	text, err := l.Operator.ReadBack(ctx)
	l.seen.mu.Lock()
	defer l.seen.mu.Unlock()
	l.seen.ReadBack, l.seen.ReadErr = text, err
}

// Close ends all: servers, processes, and what waits for them.
func (l *Lab) Close() {
	if l.Entry != nil {
		l.Entry.Close()
	}
	l.mu.Lock()
	servers := slices.Concat(l.servers, l.ended)
	l.mu.Unlock()
	for _, s := range servers {
		if s != nil {
			s.Close()
		}
	}
	for _, a := range l.Agents {
		a.mu.Lock()
		a.gone = true
		a.mu.Unlock()
	}
	l.group.Close()
	l.owner.Wait()
	if l.Operator != nil {
		l.Operator.close()
	}
	l.net.lock.Close()
}
