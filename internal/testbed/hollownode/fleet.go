package hollownode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

const (
	maxAgents, maxCore, maxServers, maxProcesses = 400, 9, 2000, 20
	zones, regions                               = 5, 2
	// readyWithin bounds the start, callWithin a single thing that is asked of a host, and
	// arriveWithin the wait for the last change after the window.
	readyWithin, callWithin, arriveWithin = 120 * time.Second, 15 * time.Second, 20 * time.Second
	// awayFor is how long an agent that left stays away.
	awayFor = time.Second
)

// The members of the chain that can be lost.
const (
	LoseNone   = "none"
	LoseHead   = "head"
	LoseMiddle = "middle"
	LoseTail   = "tail"
)

// Config is what is played.
type Config struct {
	Agents  int           `json:"agents"`  // hollow ones, beside the core
	Core    int           `json:"core"`    // machines with a disk
	Hosts   int           `json:"hosts"`   // processes for the agents; 0: all nodes run in this process
	Real    int           `json:"real"`    // real daemons as further agents
	Servers int           `json:"servers"` // model servers
	Changes float64       `json:"changes"` // of the configuration, a minute
	Drains  float64       `json:"drains"`  // of servers, a minute
	Churn   float64       `json:"churn"`   // agents that leave and come back, a minute
	Lose    string        `json:"lose"`    // a member of the core, after a third of the time until two thirds
	Size    sampling.Size `json:"size"`
	Beat    time.Duration `json:"beat"`
	Spread  time.Duration `json:"spread"` // time over which the agents start; 0: all at once
	For     time.Duration `json:"for"`
	Dir     string        `json:"-"`
	Program string        `json:"-"` // of a host's process, called with Args and the address to serve
	Args    []string      `json:"-"`
	Edged   string        `json:"-"`
}

func (c *Config) check() error {
	processes := 1 + c.Hosts + c.Real
	if c.Hosts > 0 {
		processes += c.Core
	}
	switch {
	case c.Agents < 1 || c.Agents > maxAgents:
		return errors.Errorf("agents: give 1 to %d, not %d", maxAgents, c.Agents)
	case c.Core < 1 || c.Core > maxCore:
		return errors.Errorf("core: give 1 to %d, not %d", maxCore, c.Core)
	case c.Servers < 0 || c.Servers > maxServers:
		return errors.Errorf("servers: give 0 to %d, not %d", maxServers, c.Servers)
	case c.Hosts < 0 || c.Hosts > c.Agents || c.Real < 0 || processes > maxProcesses:
		return errors.Errorf("hosts and real: give fewer, together with the core at most %d processes", maxProcesses)
	case c.Changes < 0 || c.Drains < 0 || c.Churn < 0 || c.Drains > 0 && c.Servers == 0:
		return errors.New("changes, drains, churn: give 0 or more a minute, and servers that can drain")
	case c.Beat <= 0 || c.For <= 0 || c.Spread < 0 || c.Spread > readyWithin/2:
		return errors.Errorf("beat, for, spread: give more than 0, and a spread of at most %s", readyWithin/2)
	case c.Lose != LoseNone && c.Lose != LoseHead && c.Lose != LoseMiddle && c.Lose != LoseTail:
		return errors.Errorf("lose: give %s, %s, %s or %s", LoseNone, LoseHead, LoseMiddle, LoseTail)
	case c.Lose != LoseNone && c.Core < 3:
		return errors.New("lose: a core of three or more bears a loss")
	}
	return nil
}

// fleet is one that runs.
type fleet struct {
	cfg     Config
	net     *subnet
	group   *process.Group
	pool    *rpc.Pool
	cores   []host // one node each
	agents  []host
	split   []int // number of nodes of each of agents
	daemons []*daemon
	serves  []int // the host of each server

	mu       sync.Mutex
	running  []interface{ Pid() int }
	revision int64
	seq      uint64
	changes  []Change
	drains   []Change
	lives    []int // of each server
	troubles []string
	lost     *Loss
}

// Play starts a fleet, has it live through the window and tells what was measured. progress may be nil.
func Play(ctx context.Context, cfg Config, progress func(string)) (*Result, error) {
	if cfg.Lose == "" {
		cfg.Lose = LoseNone
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if progress == nil {
		progress = func(string) {}
	}
	net, err := claim()
	if err != nil {
		return nil, err
	}
	f := &fleet{cfg: cfg, net: net, group: process.NewGroup(), pool: rpc.NewPool(), lives: make([]int, cfg.Servers)}
	defer f.close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer cancel(nil)
	watch.Go(func() { f.watchMemory(ctx, cancel) })
	if err := f.start(ctx); err != nil {
		return nil, cause(ctx, err)
	}
	progress(fmt.Sprintf("%d agents, %d of the core and %d real ones are ready", cfg.Agents, cfg.Core, cfg.Real))
	r, err := f.play(ctx)
	return r, cause(ctx, err)
}

// cause is why the play was ended from within, where that is what made it fail.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); err != nil && c != ctx.Err() {
		return c
	}
	return err
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.close()
	}
	for _, h := range f.hosts() {
		h.Close()
	}
	f.pool.Close()
	f.group.Close()
	f.net.lock.Close()
}

func (f *fleet) hosts() []host { return append(append([]host(nil), f.cores...), f.agents...) }

// start starts all at once, has the first configuration taken and waits until all could serve and
// know all servers.
func (f *fleet) start(ctx context.Context) error {
	cfg := &f.cfg
	machine := func(i int, prefix string, n int) NodeSpec {
		return NodeSpec{Name: fmt.Sprintf("%s%d", prefix, n), Addr: fmt.Sprintf("%s:%d", f.net.ip(i), peerPort),
			Zone: fmt.Sprintf("zone-%d", n%zones), Region: fmt.Sprintf("region-%d", n%zones%regions)}
	}
	plan := HostPlan{Beat: cfg.Beat, Losses: min(1, (cfg.Core-1)/2), AllServers: cfg.Servers, Services: cfg.Size.Services}
	var cores, agents []NodeSpec
	for i := range cfg.Core {
		s := machine(i, corePrefix, i)
		s.Dir = filepath.Join(cfg.Dir, s.Name)
		if err := os.MkdirAll(s.Dir, 0o700); err != nil {
			return errors.Wrap(err, "folder of the fleet")
		}
		cores = append(cores, s)
		if i < 3 {
			plan.Seeds = append(plan.Seeds, s.Addr)
		}
	}
	for i := range cfg.Agents {
		agents = append(agents, machine(cfg.Core+cfg.Real+i, "agent-", i))
	}
	add := func(name string, nodes []NodeSpec, servers []int) (host, error) {
		p := plan
		p.Nodes, p.Servers = nodes, servers
		if nodes[0].Dir == "" {
			p.Spread = cfg.Spread
		}
		if cfg.Hosts == 0 {
			return local{NewHost(p)}, nil
		}
		r, err := startRemote(ctx, f.group, f.pool, name, cfg.Program, cfg.Args, f.net.steer(len(f.hosts())), cfg.Dir, p)
		if err == nil {
			f.runs(r)
		}
		return r, err
	}
	for i, s := range cores {
		h, err := add(s.Name, cores[i:i+1], nil)
		if err != nil {
			return err
		}
		f.cores = append(f.cores, h)
	}
	n := max(cfg.Hosts, 1)
	for i := range n {
		nodes := agents[i*len(agents)/n : (i+1)*len(agents)/n]
		var servers []int
		for s := i; s < cfg.Servers; s += n {
			servers = append(servers, s)
		}
		h, err := add(fmt.Sprintf("agents-%d", i), nodes, servers)
		if err != nil {
			return err
		}
		f.agents, f.split = append(f.agents, h), append(f.split, len(nodes))
	}
	for s := range cfg.Servers {
		f.serves = append(f.serves, s%n)
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := f.all(ctx, &Request{Do: doStart, First: true}); err != nil {
		return err
	}
	var seeds []string
	for i := range min(3, cfg.Core) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.net.ip(i), controlPort))
	}
	for i := range cfg.Real {
		m := machine(cfg.Core+i, "edged-", i)
		d, err := startDaemon(f.group, cfg.Edged, cfg.Dir, m.Name, f.net.ip(cfg.Core+i), m.Zone, m.Region, seeds, cfg.Beat)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.runs(d)
	}
	if err := f.submit(ctx, false, sampling.Config(1, cfg.Size)); err != nil {
		return errors.Wrap(err, "first configuration")
	}
	if err := f.all(ctx, &Request{Do: doReady}); err != nil {
		return err
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runs notes a process whose memory counts.
func (f *fleet) runs(r interface{ Pid() int }) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, r)
}

// all asks all hosts at once.
func (f *fleet) all(ctx context.Context, q *Request) error {
	return ask(ctx, f.hosts(), q, nil)
}

func ask(ctx context.Context, hosts []host, q *Request, got func(i int, a *Reply)) error {
	type answer struct {
		i   int
		a   *Reply
		err error
	}
	answers := make(chan answer, len(hosts))
	for i, h := range hosts {
		go func() {
			a, err := h.Do(ctx, q)
			answers <- answer{i, a, err}
		}()
	}
	var err error
	for range hosts {
		a := <-answers
		if a.err != nil {
			err = a.err
		} else if got != nil {
			got(a.i, a.a)
		}
	}
	return err
}

// submit has an order taken by an agent drawn, and notes it. It is called by one goroutine.
func (f *fleet) submit(ctx context.Context, patch bool, body []byte) error {
	c := Change{Seq: f.seq + 1, Sent: now()}
	q := &Request{Do: doSubmit, Order: chain.Update{Patch: patch, IfMatch: f.revision, Body: body}}
	for {
		i := rand.IntN(len(f.agents))
		q.Node = rand.IntN(f.split[i])
		once, cancel := context.WithTimeout(ctx, callWithin)
		a, err := f.agents[i].Do(once, q)
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil || a.Verdict.Outcome == chain.OutcomeUnknown: // the same again, to another agent
		case a.Verdict.Outcome == chain.OutcomeCommitted:
			c.Acked = a.At
			f.mu.Lock()
			f.seq, f.revision = c.Seq, a.Verdict.Revision
			f.changes = append(f.changes, c)
			f.mu.Unlock()
			return nil
		default:
			return errors.Errorf("order on %d: %s %s", f.revision, a.Verdict.Outcome, a.Verdict.Reason)
		}
	}
}

// play has the window pass and collects.
func (f *fleet) play(ctx context.Context) (*Result, error) {
	first := len(f.changes)
	if err := f.all(ctx, &Request{Do: doBegin}); err != nil {
		return nil, err
	}
	for _, d := range f.daemons {
		d.begin()
	}
	began := now()
	window, cancel := context.WithTimeout(ctx, f.cfg.For)
	defer cancel()
	var wg sync.WaitGroup
	f.every(window, &wg, f.cfg.Changes, func(int) error {
		return f.submit(ctx, true, sampling.Change(f.revision+1, f.cfg.Size))
	})
	f.every(window, &wg, f.cfg.Drains, func(i int) error { return f.drain(ctx, i%f.cfg.Servers) })
	f.every(window, &wg, f.cfg.Churn, func(i int) error { return f.leave(ctx, i) })
	if f.cfg.Lose != LoseNone {
		wg.Go(func() { f.trouble(f.lose(window)) })
	}
	<-window.Done()
	wg.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	last, done := context.WithTimeout(ctx, arriveWithin)
	await := &Request{Do: doAwait, Seq: f.seq}
	for _, c := range f.drains {
		await.IDs = append(await.IDs, c.ID)
	}
	f.trouble(f.all(last, await))
	done()
	took := now() - began
	return f.collect(ctx, took, f.changes[first:])
}

// every has something done so many times a minute, one at a time, until the window ends.
func (f *fleet) every(window context.Context, wg *sync.WaitGroup, perMinute float64, do func(i int) error) {
	if perMinute <= 0 {
		return
	}
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Minute) / perMinute))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-window.Done():
				return
			case <-tick.C:
				f.trouble(do(i))
			}
		}
	})
}

func (f *fleet) trouble(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.troubles) < 20 {
		f.troubles = append(f.troubles, err.Error())
	}
}

// drain has a server drain; it comes back later as another incarnation.
func (f *fleet) drain(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	id := fmt.Sprintf("i-%05d-%02d", number, f.lives[number])
	if err := ask(ctx, f.hosts(), &Request{Do: doWatch, IDs: []string{id}}, nil); err != nil && f.cfg.Lose == LoseNone {
		return err
	}
	c := Change{ID: id, Sent: now()}
	a, err := f.agents[f.serves[number]].Do(ctx, &Request{Do: doDrain, Node: number})
	if err != nil {
		return err
	}
	f.lives[number]++
	if a.ID != id || a.At == 0 {
		return errors.Errorf("the drain of %s was not acknowledged", id)
	}
	c.Acked = a.At
	f.mu.Lock()
	f.drains = append(f.drains, c)
	f.mu.Unlock()
	return nil
}

// leave has an agent end, each second time without a word, and come back.
func (f *fleet) leave(ctx context.Context, i int) error {
	at := i % len(f.agents)
	q := &Request{Node: i / len(f.agents) % f.split[at], Polite: i/2%2 == 0}
	for _, q.Do = range []string{doEnd, doReturn} {
		once, cancel := context.WithTimeout(ctx, callWithin)
		_, err := f.agents[at].Do(once, q)
		cancel()
		if err != nil {
			return err
		}
		if q.Do == doEnd && !pause(ctx, awayFor) {
			return ctx.Err()
		}
	}
	return nil
}

// lose kills a member of the core after a third of the window and brings it back after two.
func (f *fleet) lose(window context.Context) error {
	if !pause(window, f.cfg.For/3) {
		return nil
	}
	places := make([]NodeReport, len(f.cores))
	if err := ask(window, f.cores, &Request{Do: doStatus}, func(i int, a *Reply) { places[i] = a.Report.Nodes[0] }); err != nil {
		return err
	}
	at := -1
	for i, p := range places {
		if p.Place >= 0 && (f.cfg.Lose == LoseHead && p.Place == 0 || f.cfg.Lose == LoseTail && p.Place == p.Chain-1 ||
			f.cfg.Lose == LoseMiddle && p.Place == p.Chain/2) {
			at = i
		}
	}
	if at < 0 {
		return errors.Errorf("no member of the chain is its %s", f.cfg.Lose)
	}
	l := &Loss{Name: places[at].Name, Place: f.cfg.Lose, At: now()}
	if err := f.cores[at].Lose(window); err != nil {
		return err
	}
	f.mu.Lock()
	f.lost = l
	f.mu.Unlock()
	ctx := context.WithoutCancel(window)
	pause(window, f.cfg.For/3)
	l.Back = now()
	return f.cores[at].Restore(ctx)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchMemory ends the play before it takes half of the machine's memory.
func (f *fleet) watchMemory(ctx context.Context, cancel context.CancelCauseFunc) {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return
	}
	most := int64(uint64(info.Totalram) * uint64(info.Unit) / 2)
	for pause(ctx, time.Second) {
		sum, _ := resident(os.Getpid())
		f.mu.Lock()
		running := append([]interface{ Pid() int }(nil), f.running...)
		f.mu.Unlock()
		for _, r := range running {
			if pid := r.Pid(); pid > 0 {
				rss, _ := resident(pid)
				sum += rss
			}
		}
		if sum > most {
			cancel(errors.Errorf("the fleet took %d MB, half of the machine's memory: give fewer agents or tenants", sum>>20))
			return
		}
	}
}
