package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/backend"
	"chalkdoor.example/chalkdoor/internal/testbed/faultlink"
	"chalkdoor.example/chalkdoor/internal/testbed/faultyvoter"
	"chalkdoor.example/chalkdoor/internal/testbed/fleetsim"
	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/mesh"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// firstPort is the port that agents listen on, each at an address of its own. If a process on
	// this machine listens on that port on all addresses, the next ports are tried; maxPorts is
	// the number of ports that are tried in all.
	firstPort, maxPorts = 8000, 16
	// agentMemoryMB and maxAgentSockets are the limits in an agent's configuration, the same as on
	// the target platform.
	agentMemoryMB, maxAgentSockets = 64, 512
	// readyTimeout is the time limit for an agent to become ready, and for scraping all metrics.
	readyTimeout = 30 * time.Second
	// minSpeed and maxSpeed bound the speeds of servers' cores, which are drawn uniformly.
	minSpeed, maxSpeed = 0.51, 1.1
)

// network is a block of loopback addresses, 127.N.x.y, that no other run uses.
type network struct {
	block       byte         // the second byte of the block's addresses
	port        int          // the port that agents listen on
	reservation net.Listener // reserves the block while it is open
}

// reserveNetwork reserves a block of addresses that no other run holds, with a port that is free there.
func reserveNetwork() (*network, error) {
	var lastErr error
	for port := firstPort; port < firstPort+maxPorts; port++ {
		for n := byte(64); n < 250; n++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, port))
			if err == nil {
				return &network{n, port, ln}, nil
			}
			lastErr = err
		}
	}
	return nil, fmt.Errorf("experiment: no block of loopback addresses is free: %w", lastErr)
}

// address returns the address and port that an agent listens on for clients.
func (n *network) address(i int) string {
	return net.JoinHostPort(n.agentIP(i).String(), strconv.Itoa(n.port))
}

// agentIP returns the address that an agent listens on.
func (n *network) agentIP(i int) net.IP { return net.IPv4(127, n.block, byte(1+i/250), byte(1+i%250)) }

// viewIP returns the address at which an agent reaches its view of discovery and its links to the servers.
func (n *network) viewIP(i int) net.IP { return net.IPv4(127, n.block, byte(101+i/250), byte(1+i%250)) }

// relayIP returns the address at which other agents reach an agent.
func (n *network) relayIP(i int) net.IP {
	return net.IPv4(127, n.block, byte(201+i/250), byte(1+i%250))
}

// server is a report server of the fleet with the links to it.
type server struct {
	*backend.Server
	target backend.Target    // guarded by world.mu
	links  []*faultlink.Link // indexed by agent
}

// agent is one agent: its process, its view of discovery and its client.
type agent struct {
	index   int
	name    string
	zone    string
	peers   string // address at which other agents reach it
	council string // address at which others reach its council log; empty if it is not a council member
	proc    *process.Proc
	view    *backend.View
	client  *loadgen.Client
	quality faultlink.Quality // quality of its links to servers, in addition to the delay between zones
}

// world is an emulated fleet. Its fields are only used by the run's goroutine, except where stated.
type world struct {
	fleet          Fleet
	seed           uint64
	rng            *rand.Rand
	dir            string
	bin            string
	log            *referee.Log
	tries          *loadgen.Tries
	effects        *backend.Effects
	net            *network
	group          *process.Group
	set            policy.Settings
	mesh           *mesh.Mesh                   // network between agents; nil without coordination
	peerCuts       []func(from, to string) bool // cuts between agents; an element is nil once it is healed
	faultyVoters   []*faultyvoter.Voter
	sparedServers  []string                 // ids of servers that faulty voters vote against, and that no fault affects
	metricsEnabled bool                     // whether agents serve metrics that the run scrapes
	firstFaultAt   map[string]time.Duration // by server id, the time at which a fault first affected the server
	uplinkLosses   []*referee.Loss          // losses of sites' uplinks
	firstFault     time.Duration            // start of the first fault; 0 before it
	loadStart      time.Duration            // start of the load

	tasks  chan func() error // tasks for the run's goroutine
	closed chan struct{}     // closed when the run's goroutine takes no more tasks

	agents         []*agent
	servers        []*server // all servers, including removed ones; written under mu
	serversCreated int       // number of servers that were created

	mu            sync.Mutex // guards the fields below
	cuts          []func(a *agent, s *server) (to, from bool)
	crashes       []string               // unexpected ends of agent processes
	expectedExits map[*process.Proc]bool // processes that are expected to end
	// outages has the time at which an agent was killed, for the agents that are not ready again yet.
	outages map[*agent]time.Duration
}

// build creates a fleet. If startAgents is set it also starts the agents' processes and waits until they are ready.
func build(ctx context.Context, fl Fleet, metricsEnabled bool, set policy.Settings, cfg *loadgen.Config, seed uint64,
	bin, dir string, startAgents bool) (w *world, err error) {
	w = &world{fleet: fl, seed: seed, rng: rand.New(rand.NewPCG(seed, 21)), dir: dir, bin: bin, log: referee.NewLog(),
		tries: loadgen.NewTries(), group: process.NewGroup(), set: set, expectedExits: map[*process.Proc]bool{},
		outages: map[*agent]time.Duration{}, metricsEnabled: metricsEnabled,
		tasks: make(chan func() error), closed: make(chan struct{}), firstFaultAt: map[string]time.Duration{}}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	w.effects = backend.NewEffects(w.effectsWindow())
	for _, pattern := range []string{"*.state", "*.trace", "*.council"} { // left by an earlier run
		old, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil {
			return nil, fmt.Errorf("experiment: %w", err)
		}
		for _, o := range old {
			if err := os.RemoveAll(o); err != nil {
				return nil, fmt.Errorf("experiment: %w", err)
			}
		}
	}
	if w.net, err = reserveNetwork(); err != nil {
		return nil, err
	}
	for i := range fl.Agents {
		w.agents = append(w.agents, &agent{index: i, name: fmt.Sprintf("n%d", i), zone: fl.Zones[i%len(fl.Zones)]})
	}
	for range fl.Servers {
		if _, err := w.addServer(0); err != nil {
			return nil, err
		}
	}
	// Faulty voters vote against a third of the servers. Faults spare those servers in all plays, so that
	// all plays get the same faults.
	for i, s := range w.servers {
		if fl.FaultyVoters > 0 && i%3 == 0 {
			w.sparedServers = append(w.sparedServers, s.ID())
		}
	}
	if !startAgents {
		return w, nil
	}
	if fl.Coordination {
		if err := w.createMesh(); err != nil {
			return nil, err
		}
	}
	for _, a := range w.agents {
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: w.net.viewIP(a.index)})
		if err != nil {
			return nil, fmt.Errorf("experiment: discovery: %w", err)
		}
		a.view = backend.NewView(a.name, w.log, w.targetsFor(a), ln)
		if err := w.startAgent(a, ln.Addr().String()); err != nil {
			return nil, err
		}
	}
	for _, a := range w.agents {
		if err := w.awaitReady(ctx, a); err != nil {
			return nil, err
		}
	}
	if w.mesh != nil {
		if err := w.startFaultyVoters(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// enqueue gives the run's goroutine a task. The task is dropped if the run has ended.
func (w *world) enqueue(task func() error) {
	select {
	case w.tasks <- task:
	case <-w.closed:
	}
}

// effectsWindow returns how long report servers drop repeated idempotency keys.
func (w *world) effectsWindow() time.Duration {
	return time.Duration(w.set.Classes[len(w.set.Classes)-1].DedupWindowMs) * time.Millisecond
}

// endAgents stops all agents gracefully, including paused ones. Agents that are starting again are
// killed.
func (w *world) endAgents() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range w.agents {
		w.expectExit(a.proc)
		if w.isDown(a) { // a starting process may not handle SIGTERM yet
			a.proc.Kill()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := a.proc.Terminate(ctx); err != nil {
				w.recordCrash(fmt.Sprintf("%s at the end: %v", a.name, err))
			}
		}()
	}
	wg.Wait()
}

// close stops the run's processes and everything that is emulated.
func (w *world) close() {
	close(w.closed)
	w.group.Close()
	for _, v := range w.faultyVoters {
		v.Close()
	}
	if w.mesh != nil {
		w.mesh.Close()
	}
	for _, a := range w.agents {
		if a.view != nil {
			a.view.Close()
		}
		if a.client != nil {
			a.client.Close()
		}
	}
	for _, s := range w.servers {
		for _, l := range s.links {
			l.Close()
		}
		s.Close()
	}
	if w.net != nil {
		w.net.reservation.Close()
	}
}

// addServer adds a server that started at a time in Unix ms. With 0 it started long ago and is warm.
func (w *world) addServer(started float64) (*server, error) {
	i := w.serversCreated
	w.serversCreated++
	id := fmt.Sprintf("s-%03d", i)
	cfg := fleetsim.Server()
	cfg.Speed = minSpeed + (maxSpeed-minSpeed)*w.rng.Float64()
	cfg.StallAtMs = w.rng.Float64() * cfg.StallEveryMs
	zone := w.fleet.Zones[i%len(w.fleet.Zones)]
	s := &server{Server: backend.NewServer(backend.ServerConfig{ID: id, Zone: zone, Seed: w.rng.Uint64(), Model: cfg,
		HandshakeMs: 3, ProbeMs: 0.1, IdleTimeout: time.Duration(w.set.Limits.KeepaliveMs) * time.Millisecond,
		Noise: 0.1}, w.tries.Work, w.log, w.effects),
		target: backend.Target{ID: id, Zone: zone, Kind: "standard", Cell: i % len(w.fleet.Zones), State: backend.Up,
			Weight: float64(cfg.Cores), StartedMs: started}}
	if started > 0 {
		s.Restart()
	}
	for _, a := range w.agents {
		l, err := faultlink.New(faultlink.Config{IP: w.net.viewIP(a.index), NearName: a.name + "@" + a.zone,
			Seed: w.rng.Uint64(), FirstDelay: 2 * w.oneWay(a, s)})
		if err != nil {
			return nil, err
		}
		s.links = append(s.links, l)
		s.Serve(l)
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, w.updateLinks()
}

// oneWay returns the one-way delay between an agent and a server.
func (w *world) oneWay(a *agent, s *server) time.Duration {
	if a.zone == s.Zone() {
		return time.Duration(w.fleet.Near)
	}
	return time.Duration(w.fleet.Far)
}

// updateLinks sets the quality of every link from its delay, its agent's faults and the cuts.
func (w *world) updateLinks() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var wg sync.WaitGroup
	errs := make(chan error, 1)
	for _, s := range w.servers {
		for i, l := range s.links {
			a := w.agents[i]
			q := a.quality
			q.Delay += w.oneWay(a, s)
			for _, cut := range w.cuts {
				to, from := cut(a, s)
				q.CutTo, q.CutFrom = q.CutTo || to, q.CutFrom || from
			}
			wg.Add(1)
			go func() { // setting a cut takes some time
				defer wg.Done()
				if err := l.Set(q); err != nil && !errors.Is(err, net.ErrClosed) {
					select {
					case errs <- err:
					default:
					}
				}
			}()
		}
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// targetsFor returns discovery's current list of servers for an agent.
func (w *world) targetsFor(a *agent) (list []backend.Target) {
	for _, s := range w.servers {
		if s.target.State != backend.Removed {
			list = append(list, s.targetFor(a))
		}
	}
	return list
}

// targetFor returns the server's entry in an agent's list. Each agent reaches a server at an address of its
// own.
func (s *server) targetFor(a *agent) backend.Target {
	t := s.target
	t.Addr = s.links[a.index].Addr().String()
	return t
}

// announce makes discovery announce changed servers to all agents after a delay.
func (w *world) announce(delay time.Duration, changed ...*server) {
	for _, a := range w.agents {
		if a.view == nil {
			continue
		}
		var list []backend.Target
		for _, s := range changed {
			list = append(list, s.targetFor(a))
		}
		time.AfterFunc(delay, func() { a.view.Announce(list...) })
	}
}

// startAgent writes an agent's configuration and starts its process.
func (w *world) startAgent(a *agent, discovery string) error {
	set := w.set
	set.AgentIndex, set.AgentCount = a.index, len(w.agents)
	for i, z := range w.fleet.Zones {
		if z == a.zone {
			set.Zone = i
		}
	}
	raw, err := json.Marshal(set)
	if err != nil {
		return fmt.Errorf("experiment: settings: %w", err)
	}
	var settings map[string]any
	if err := json.Unmarshal(raw, &settings); err != nil {
		return fmt.Errorf("experiment: settings: %w", err)
	}
	settings["failureDomains"], settings["shapes"] = w.fleet.Zones, []string{"standard"}
	addr := w.net.address(a.index)
	text, err := json.Marshal(map[string]any{"name": a.name, "listen": addr, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", w.rng.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": agentMemoryMB, "sockets": maxAgentSockets},
		"known":  a.view.Known(), "settings": settings})
	if err != nil {
		return fmt.Errorf("experiment: configuration: %w", err)
	}
	path := filepath.Join(w.dir, a.name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("experiment: configuration: %w", err)
	}
	args, err := w.writeOperationsFile(a)
	if err != nil {
		return err
	}
	p, err := w.group.Start(process.Spec{Name: a.name, Path: w.bin, Args: args,
		Env: []string{"PROXY_CONFIG=" + path, "PROXY_NAME=" + a.name, "PROXY_LISTEN=" + addr,
			"PROXY_DISCOVERY=" + discovery}, Log: filepath.Join(w.dir, a.name+".log")})
	if err != nil {
		return err
	}
	a.proc = p
	go func() {
		<-p.Ended()
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.expectedExits[p] {
			w.crashes = append(w.crashes, fmt.Sprintf("%s: %v", a.name, p.Err()))
		}
	}()
	return nil
}

// restart starts a new process for an agent. The process gets the list of its view of discovery, and finds
// its state directory if the fleet has one.
func (w *world) restart(a *agent) error {
	return w.startAgent(a, a.view.Addr())
}

// expectExit marks a process that is being ended on purpose, so that its end does not count as a crash.
func (w *world) expectExit(p *process.Proc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expectedExits[p] = true
}

// awaitReady waits until an agent reports that it is ready.
func (w *world) awaitReady(ctx context.Context, a *agent) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ok, err := isReady(ctx, w.net.address(a.index))
		if ok {
			return nil
		}
		select {
		case <-a.proc.Ended():
			return fmt.Errorf("experiment: %s ended at its start (%v), see %s", a.name, a.proc.Err(),
				filepath.Join(w.dir, a.name+".log"))
		case <-ctx.Done():
			return fmt.Errorf("experiment: %s is not ready: %w", a.name, errors.Join(ctx.Err(), err))
		case <-time.After(5 * time.Millisecond):
		}
	}
}
