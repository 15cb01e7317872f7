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
	// firstPort is where agents listen, each on an address of its own, unless somebody on this
	// machine listens there on all addresses; portTries is how many further ports are tried.
	firstPort, portTries = 8000, 16
	// agentMemory and agentSockets are an agent's limits, as small as on the platform.
	agentMemory, agentSockets = 64, 512
	// readyWithin bounds the start of all agents.
	readyWithin = 30 * time.Second
	// slowest and quickest are the speeds of servers' cores, drawn evenly.
	slowest, quickest = 0.51, 1.1
)

// network is a block of loopback addresses that belongs to this run alone: 127.N.x.y.
type network struct {
	n    byte
	port int          // of the agents
	held net.Listener // keeps the block from other runs
}

// claimNetwork finds a block that no other run holds, and a port that is free there.
func claimNetwork() (*network, error) {
	var last error
	for port := firstPort; port < firstPort+portTries; port++ {
		for n := byte(64); n < 250; n++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, port))
			if err == nil {
				return &network{n, port, ln}, nil
			}
			last = err
		}
	}
	return nil, fmt.Errorf("experiment: no block of loopback addresses is free: %w", last)
}

// address is where an agent listens.
func (n *network) address(i int) string {
	return net.JoinHostPort(n.agent(i).String(), strconv.Itoa(n.port))
}

// agent is the address that an agent listens on, view the one where it reaches the others.
func (n *network) agent(i int) net.IP { return net.IPv4(127, n.n, byte(1+i/250), byte(1+i%250)) }
func (n *network) view(i int) net.IP  { return net.IPv4(127, n.n, byte(101+i/250), byte(1+i%250)) }

// relay is the address where other agents reach it.
func (n *network) relay(i int) net.IP { return net.IPv4(127, n.n, byte(201+i/250), byte(1+i%250)) }

// server is a report server of the fleet and the links to it.
type server struct {
	*backend.Server
	target backend.Target    // changed under the world's mu
	links  []*faultlink.Link // by agent
}

// agent is one agent: its process, its view of discovery and its client.
type agent struct {
	index   int
	name    string
	zone    string
	peers   string // where others reach it
	council string // and its log, if it is of the council
	proc    *process.Proc
	view    *backend.View
	client  *loadgen.Client
	quality faultlink.Quality // of its links, beside distance
}

// world is a whole emulated fleet. The run's goroutine alone uses it, but for what says so.
type world struct {
	fleet    Fleet
	seed     uint64
	rng      *rand.Rand
	dir      string
	bin      string
	log      *referee.Log
	tries    *loadgen.Tries
	effects  *backend.Effects
	net      *network
	group    *process.Group
	set      policy.Settings
	mesh     *mesh.Mesh                   // between agents; nil: none
	peerCuts []func(from, to string) bool // nil: healed
	liars    []*faultyvoter.Liar
	spared   []string                 // servers that liars want out, and no fault befalls
	scraped  bool                     // the agents serve their metrics
	fell     map[string]time.Duration // by server: when a fault first befell it
	losses   []*referee.Loss          // of uplinks
	first    time.Duration            // when the first fault began; 0: not yet
	start    time.Duration            // of the load

	todo chan func() error // what the run's goroutine does next
	over chan struct{}     // closed when it takes no more

	agents  []*agent
	servers []*server // all there ever were; changed under mu
	made    int

	mu     sync.Mutex // of:
	cuts   []func(a *agent, s *server) (to, from bool)
	deaths []string // of agents that nobody killed
	meant  map[*process.Proc]bool
	// outages has the time at which each agent was killed that is not back yet.
	outages map[*agent]time.Duration
}

// build makes a fleet; with agents it starts their processes and waits until they are ready.
func build(ctx context.Context, fl Fleet, scraped bool, set policy.Settings, cfg *loadgen.Config, seed uint64, bin, dir string, agents bool) (w *world, err error) {
	w = &world{fleet: fl, seed: seed, rng: rand.New(rand.NewPCG(seed, 21)), dir: dir, bin: bin, log: referee.NewLog(),
		tries: loadgen.NewTries(), group: process.NewGroup(), set: set, meant: map[*process.Proc]bool{}, outages: map[*agent]time.Duration{}, scraped: scraped,
		todo: make(chan func() error), over: make(chan struct{}), fell: map[string]time.Duration{}}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	w.effects = backend.NewEffects(w.effectsWindow())
	for _, of := range []string{"*.state", "*.trace", "*.council"} { // of this play alone
		old, err := filepath.Glob(filepath.Join(dir, of))
		if err != nil {
			return nil, fmt.Errorf("experiment: %w", err)
		}
		for _, o := range old {
			if err := os.RemoveAll(o); err != nil {
				return nil, fmt.Errorf("experiment: %w", err)
			}
		}
	}
	if w.net, err = claimNetwork(); err != nil {
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
	// Liars want a third of the servers out, and no fault befalls those, in any play.
	for i, s := range w.servers {
		if fl.Liars > 0 && i%3 == 0 {
			w.spared = append(w.spared, s.ID())
		}
	}
	if !agents {
		return w, nil
	}
	if fl.Layer {
		if err := w.joinMesh(); err != nil {
			return nil, err
		}
	}
	for _, a := range w.agents {
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: w.net.view(a.index)})
		if err != nil {
			return nil, fmt.Errorf("experiment: discovery: %w", err)
		}
		a.view = backend.NewView(a.name, w.log, w.list(a), ln)
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
		if err := w.lie(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// later hands the run's goroutine something to do; once that has ended it is dropped.
func (w *world) later(do func() error) {
	select {
	case w.todo <- do:
	case <-w.over:
	}
}

// effectsWindow is for how long report servers drop the repeats of a key.
func (w *world) effectsWindow() time.Duration {
	return time.Duration(w.set.Classes[len(w.set.Classes)-1].DedupWindowMs) * time.Millisecond
}

// endAgents ends all agents in order, those that are paused, too.
func (w *world) endAgents() {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range w.agents {
		w.mean(a.proc)
		if w.isDown(a) { // it may not heed SIGTERM yet
			a.proc.Kill()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := a.proc.Terminate(ctx); err != nil {
				w.died(fmt.Sprintf("%s at the end: %v", a.name, err))
			}
		}()
	}
	wg.Wait()
}

// close ends all of it.
func (w *world) close() {
	close(w.over)
	w.group.Close()
	for _, l := range w.liars {
		l.Close()
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
		w.net.held.Close()
	}
}

// addServer adds a server that started at a time in Unix ms, 0 for long ago.
func (w *world) addServer(started float64) (*server, error) {
	i := w.made
	w.made++
	id := fmt.Sprintf("s-%03d", i)
	cfg := fleetsim.Server()
	cfg.Speed = slowest + (quickest-slowest)*w.rng.Float64()
	cfg.StallAtMs = w.rng.Float64() * cfg.StallEveryMs
	zone := w.fleet.Zones[i%len(w.fleet.Zones)]
	s := &server{Server: backend.NewServer(backend.ServerConfig{ID: id, Zone: zone, Seed: w.rng.Uint64(), Model: cfg, HandshakeMs: 3,
		ProbeMs: 0.1, IdleFor: time.Duration(w.set.Limits.KeepaliveMs) * time.Millisecond, Noise: 0.1}, w.tries.Work, w.log, w.effects),
		target: backend.Target{ID: id, Zone: zone, Kind: "standard", Cell: i % len(w.fleet.Zones), State: backend.Up,
			Weight: float64(cfg.Cores), StartedMs: started}}
	if started > 0 {
		s.Restart()
	}
	for _, a := range w.agents {
		l, err := faultlink.New(faultlink.Config{IP: w.net.view(a.index), Near: a.name + "@" + a.zone, Seed: w.rng.Uint64(), First: 2 * w.oneWay(a, s)})
		if err != nil {
			return nil, err
		}
		s.links = append(s.links, l)
		s.Serve(l)
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, w.relink()
}

func (w *world) oneWay(a *agent, s *server) time.Duration {
	if a.zone == s.Zone() {
		return time.Duration(w.fleet.Near)
	}
	return time.Duration(w.fleet.Far)
}

// relink sets every link as distance, faults and cuts say.
func (w *world) relink() error {
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
			go func() { // a cut takes a moment
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

// list is what discovery lists for an agent now.
func (w *world) list(a *agent) (list []backend.Target) {
	for _, s := range w.servers {
		if s.target.State != backend.Removed {
			list = append(list, s.entry(a))
		}
	}
	return list
}

// entry is the server's entry for an agent: addresses are the agent's own.
func (s *server) entry(a *agent) backend.Target {
	t := s.target
	t.Addr = s.links[a.index].Addr().String()
	return t
}

// tell lets discovery tell of changed servers, late.
func (w *world) tell(late time.Duration, changed ...*server) {
	for _, a := range w.agents {
		if a.view == nil {
			continue
		}
		var list []backend.Target
		for _, s := range changed {
			list = append(list, s.entry(a))
		}
		time.AfterFunc(late, func() { a.view.Tell(list...) })
	}
}

// startAgent starts an agent's process.
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
		"limits": map[string]any{"cores": 1, "memory_mb": agentMemory, "sockets": agentSockets},
		"known":  a.view.Known(), "settings": settings})
	if err != nil {
		return fmt.Errorf("experiment: configuration: %w", err)
	}
	path := filepath.Join(w.dir, a.name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("experiment: configuration: %w", err)
	}
	args, err := w.operations(a)
	if err != nil {
		return err
	}
	p, err := w.group.Start(process.Spec{Name: a.name, Path: w.bin, Args: args, Env: []string{"PROXY_CONFIG=" + path, "PROXY_NAME=" + a.name,
		"PROXY_LISTEN=" + addr, "PROXY_DISCOVERY=" + discovery}, Log: filepath.Join(w.dir, a.name+".log")})
	if err != nil {
		return err
	}
	a.proc = p
	go func() {
		<-p.Ended()
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.meant[p] {
			w.deaths = append(w.deaths, fmt.Sprintf("%s: %v", a.name, p.Err()))
		}
	}()
	return nil
}

// restart starts an agent again, from nothing but the list.
func (w *world) restart(a *agent) error {
	return w.startAgent(a, a.view.Addr())
}

// mean notes that a process is to end: its end is no crash.
func (w *world) mean(p *process.Proc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.meant[p] = true
}

func (w *world) awaitReady(ctx context.Context, a *agent) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		ok, err := ready(ctx, w.net.address(a.index))
		if ok {
			return nil
		}
		select {
		case <-a.proc.Ended():
			return fmt.Errorf("experiment: %s ended at its start (%v), see %s", a.name, a.proc.Err(), filepath.Join(w.dir, a.name+".log"))
		case <-ctx.Done():
			return fmt.Errorf("experiment: %s is not ready: %w", a.name, errors.Join(ctx.Err(), err))
		case <-time.After(5 * time.Millisecond):
		}
	}
}
