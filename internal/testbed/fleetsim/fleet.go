// Package fleetsim plays a whole fleet in simulated time: many instances of the decision
// module, each with its own clients and connections, and the model's servers behind links
// of a stated delay. One goroutine plays it, everything is drawn from one seed, and equal
// configurations give equal results, so a failing seed replays.
//
// It leaves out what the module cannot see: sockets, processes and the machine's own time.
// What it tells is how decisions that are each sound add up over a fleet.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"chalkdoor.example/chalkdoor/internal/testbed/backendmodel"
	"chalkdoor.example/chalkdoor/policy"
)

// Config is one play. Times are in milliseconds, rates a second.
type Config struct {
	Seed               uint64
	Agents             int
	Servers            int
	Zones              int
	Rate               float64 // requests of all clients together
	Spread             float64 // of the agents' rates: sigma of a lognormal draw
	Keys               int     // distinct keys, by Zipf with exponent KeySkew
	KeySkew            float64
	ForMs              float64
	Settings           policy.Settings     // index, zone and replicas are set for each agent
	Server             backendmodel.Config // Speed is drawn from SpeedFrom to SpeedTo
	SpeedFrom, SpeedTo float64
	// WorkMs is the mean work of a request of each class, Share how many of all requests
	// are of it.
	WorkMs, Share []float64
	HandshakeMs   float64 // a server's work for a new connection
	NearMs, FarMs float64 // one way, in a zone and between zones
	ListMs        float64 // how late the list tells a change
	IdleMs        float64 // for how long agents keep an idle connection
	RetryMs       float64 // after how long a refused or failed client comes again, once; 0: never
	Scenario      string  // one of Scenarios
	Recall        bool    // agents that start again come with what they knew
}

// Second is what happened to the requests that came, and the attempts that began, in a second.
type Second struct {
	Asked, Served, Late, Refused, Failed    int
	Attempts, Timeouts, Full, Cross, Probes int
	Handshakes                              int
	Worth, Earned                           float64

	// At its end, on the mean of the agents, and of the servers that are there.
	Agents             policy.BalancerStats
	WarmUtil, ColdUtil float64
	Choked             int
}

// Result is one play's outcome. Lost, Twice and Toppled are broken rules.
type Result struct {
	Second
	Seconds       []Second
	Lost, Twice   int
	Toppled       int
	Pressed       float64 // the most that a cold server was offered, as a part of what topples it
	WarmShare     float64 // of the jobs that found their key known
	HandshakeRate float64 // for each request that a client sent first
}

// Net is the worth served after what connections, probes and crossings cost.
func (r *Result) Net(p *policy.Prices) float64 {
	n := float64(max(r.Asked, 1))
	return r.Earned/max(r.Worth, 1) - (p.Handshake*float64(r.Handshakes)+p.Probe*float64(r.Probes)+
		p.CrossZone*float64(r.Cross))/n
}

type event struct {
	at  float64
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

type server struct {
	*backendmodel.Server
	addr   policy.Addr
	zone   int
	speed  float64
	since  float64
	silent bool // cut off, or not there
	errors float64
	gone   bool
	drains bool
	tick   float64
}

type agent struct {
	index  int
	zone   int
	rate   float64
	bal    *policy.Balancer
	life   int // counts its starts
	idle   map[policy.Addr][]float64
	nextID policy.RequestID
	reqs   map[policy.RequestID]*request
}

// ask is what a client wants, over its tries.
type ask struct {
	class int
	key   uint64
	first float64
	again int
	pushy bool // comes again at once, as often as it can
	work  float64
	ran   int
}

type request struct {
	id       policy.RequestID
	ask      *ask
	deadline float64
	tries    []*try
	over     bool
}

type try struct {
	to     *server
	over   bool
	job    uint64
	sent   float64
	mayRun bool
}

type play struct {
	Config
	rng     *rand.Rand
	now     float64
	seq     uint64
	events  queue
	agents  []*agent
	servers []*server
	byAddr  map[policy.Addr]*server
	listed  []policy.Endpoint // what discovery has told
	jobs    map[uint64]func(at float64)
	nextJob uint64
	zipf    []float64
	out     Result
	done    []backendmodel.Done
	pushy   float64 // part of the clients
	err     error
}

// pushyTries is how often a pushy client comes again for one request.
const pushyTries = 8

// start is when a play begins on the clock of its agents.
const start = 1e6

// Run plays a configuration to its end.
func Run(cfg Config) (*Result, error) {
	p := &play{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), now: start,
		byAddr: map[policy.Addr]*server{}, jobs: map[uint64]func(float64){}}
	scene, ok := scenes[cfg.Scenario]
	if !ok {
		return nil, fmt.Errorf("fleet: unknown scenario %q, want one of %v", cfg.Scenario, Scenarios())
	}
	p.out.Seconds = make([]Second, int(math.Ceil(cfg.ForMs/1000))+1)
	sum := 0.0
	for i := range cfg.Keys {
		sum += math.Pow(float64(i+1), -cfg.KeySkew)
		p.zipf = append(p.zipf, sum)
	}
	for range cfg.Servers {
		p.addServer(0)
	}
	p.listed = p.entries()
	total := 0.0
	for i := range cfg.Agents {
		a := &agent{index: i, zone: i % cfg.Zones, rate: math.Exp(cfg.Spread * p.rng.NormFloat64())}
		total += a.rate
		p.agents = append(p.agents, a)
	}
	for _, a := range p.agents {
		a.rate *= cfg.Rate / total
		if err := p.boot(a); err != nil {
			return nil, err
		}
		p.arrive(a)
	}
	scene(p)
	for i := range p.out.Seconds {
		p.at(start+1000*float64(i+1)-0.5, func() { p.look(&p.out.Seconds[i]) })
	}
	end := start + cfg.ForMs + 5000
	for len(p.events) > 0 && p.err == nil {
		e := heap.Pop(&p.events).(event)
		if e.at > end {
			break
		}
		p.now = e.at
		e.do()
	}
	p.sum()
	return &p.out, p.err
}

func (p *play) sum() {
	for i := range p.out.Seconds {
		s, t := &p.out.Seconds[i], &p.out.Second
		t.Asked += s.Asked
		t.Served += s.Served
		t.Late += s.Late
		t.Refused += s.Refused
		t.Failed += s.Failed
		t.Attempts += s.Attempts
		t.Timeouts += s.Timeouts
		t.Full += s.Full
		t.Cross += s.Cross
		t.Probes += s.Probes
		t.Handshakes += s.Handshakes
		t.Worth += s.Worth
		t.Earned += s.Earned
	}
	known, met := 0, 0
	for _, s := range p.servers {
		k, m := s.Keys()
		known, met = known+k, met+m
		p.out.Pressed = max(p.out.Pressed, s.Pressed())
		if s.Down() {
			p.out.Toppled++
		}
	}
	p.out.WarmShare = float64(known) / float64(max(met, 1))
	p.out.HandshakeRate = float64(p.out.Handshakes) / float64(max(p.out.Asked, 1))
}

// look notes what agents believe and servers bear.
func (p *play) look(s *Second) {
	n := float64(len(p.agents))
	for _, a := range p.agents {
		f := a.bal.Stats()
		s.Agents.LoadShedding += f.LoadShedding / n
		s.Agents.Admission += f.Admission / n
		s.Agents.Demand += f.Demand / n
		s.Agents.Capacity += f.Capacity / n
		s.Agents.Pending += f.Pending
	}
	warm, cold := 0.0, 0.0
	for _, x := range p.servers {
		if x.silent || x.gone || x.drains {
			continue
		}
		util := x.Load(p.now).Util
		if x.Ramp(p.now) < 1 {
			s.ColdUtil += util
			cold++
		} else {
			s.WarmUtil += util
			warm++
		}
		if x.Choked() {
			s.Choked++
		}
	}
	s.WarmUtil /= max(warm, 1)
	s.ColdUtil /= max(cold, 1)
}

func (p *play) at(t float64, do func()) {
	p.seq++
	heap.Push(&p.events, event{t, p.seq, do})
}

func (p *play) after(ms float64, do func()) { p.at(p.now+ms, do) }

func (p *play) second(t float64) *Second {
	return &p.out.Seconds[min(max(int((t-start)/1000), 0), len(p.out.Seconds)-1)]
}

// ---- servers and their list ----

func (p *play) addServer(since float64) *server {
	n := len(p.servers)
	s := &server{zone: n % p.Zones, addr: policy.Addr{10, byte(n >> 16), byte(n >> 8), byte(n), 0x13, 0x8b},
		speed: p.SpeedFrom + (p.SpeedTo-p.SpeedFrom)*p.rng.Float64()}
	p.servers = append(p.servers, s)
	p.byAddr[s.addr] = s
	p.restart(s, since)
	return s
}

// restart begins a new process, cold unless since is 0.
func (p *play) restart(s *server, since float64) {
	cfg := p.Server
	cfg.Speed = s.speed
	cfg.StallAtMs = p.rng.Float64() * cfg.StallEveryMs
	s.Server, s.since, s.silent, s.tick = backendmodel.New(cfg, since), since, false, 0
}

func (p *play) entry(s *server) policy.Endpoint {
	e := policy.Endpoint{Server: s.addr, Zone: s.zone, Cell: s.zone, StartedMs: s.since, Status: policy.Ready,
		Weight: float64(p.Server.Cores)}
	switch {
	case s.gone:
		e.Status = policy.Removed
	case s.drains:
		e.Status = policy.Draining
	}
	return e
}

func (p *play) entries() (list []policy.Endpoint) {
	for _, s := range p.servers {
		if !s.gone {
			list = append(list, p.entry(s))
		}
	}
	return list
}

// tell lets discovery tell what has changed, late.
func (p *play) tell(changed ...*server) {
	var list []policy.Endpoint
	for _, s := range changed {
		list = append(list, p.entry(s))
	}
	p.after(p.ListMs, func() {
		p.listed = p.entries()
		for _, a := range p.agents {
			p.handle(a, &policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateDelta, Endpoints: list})
		}
	})
}

// work lets a server go on up to now, and wakes up when its next job ends.
func (p *play) work(s *server) {
	p.done = s.Advance(p.now, p.done[:0])
	for _, d := range p.done {
		if f := p.jobs[d.ID]; f != nil {
			delete(p.jobs, d.ID)
			f(d.At)
		}
	}
	if at, some := s.Next(); some && at != s.tick {
		s.tick = at
		of := s.Server
		p.at(at, func() {
			if s.Server == of {
				p.work(s)
			}
		})
	}
}

// ---- agents ----

func (p *play) boot(a *agent) error {
	var memory *policy.Snapshot
	if a.bal != nil && p.Recall {
		memory = a.bal.Snapshot(p.now)
	}
	set := p.Settings
	set.AgentIndex, set.AgentCount, set.Zone = a.index, p.Agents, a.zone
	bal, err := policy.New(set, p.rng.Uint64())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	for _, r := range a.reqs {
		for _, t := range r.tries {
			t.over = true
		}
		if !r.over {
			r.over = true
			p.failed(a, r)
		}
	}
	a.life++
	a.bal, a.idle, a.reqs = bal, map[policy.Addr][]float64{}, map[policy.RequestID]*request{}
	p.carryOut(a, bal.Start(p.now, nil))
	p.handle(a, &policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateCached, Endpoints: p.listed})
	if memory != nil {
		p.handle(a, &policy.Event{Kind: policy.EventRestore, Snapshot: memory})
	}
	return nil
}

func (p *play) handle(a *agent, ev *policy.Event) {
	p.carryOut(a, a.bal.Handle(p.now, ev, nil))
}

// still does something later unless the agent was started again meanwhile.
func (p *play) still(a *agent, ms float64, do func()) {
	life := a.life
	p.after(ms, func() {
		if a.life == life {
			do()
		}
	})
}

func (p *play) carryOut(a *agent, actions []policy.Action) {
	for _, act := range actions {
		r := a.reqs[act.Request]
		switch act.Kind {
		case policy.ActionSend:
			p.send(a, r, &act)
		case policy.ActionCancel:
			p.cancel(a, r, act.Attempt)
		case policy.ActionReject, policy.ActionFail:
			if r == nil || r.over {
				continue
			}
			p.close(a, r)
			s := p.second(r.ask.first)
			if act.Kind == policy.ActionFail {
				p.failed(a, r)
			} else if !p.comeAgain(a, r.ask, act.DurationMs) {
				s.Refused++
			}
		case policy.ActionTimer:
			token := act.Token
			p.still(a, act.DurationMs, func() { p.handle(a, &policy.Event{Kind: policy.EventTimer, Token: token}) })
		case policy.ActionFetch:
			p.still(a, 10, func() {
				p.handle(a, &policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateFull, Endpoints: p.listed})
			})
		case policy.ActionCloseIdle:
			delete(a.idle, act.Server)
		case policy.ActionProbe:
			p.probe(a, act.Server)
		}
	}
}

func (p *play) close(a *agent, r *request) {
	r.over = true
	p.forget(a, r)
}

func (p *play) forget(a *agent, r *request) {
	for _, t := range r.tries {
		if !t.over {
			return
		}
	}
	if r.over {
		delete(a.reqs, r.id)
	}
}

func (p *play) failed(a *agent, r *request) {
	for _, t := range r.tries {
		if t.mayRun && p.Settings.Classes[r.ask.class].Idempotency == policy.NonIdempotent {
			p.second(r.ask.first).Failed++
			return
		}
	}
	if !p.comeAgain(a, r.ask, 0) {
		p.second(r.ask.first).Failed++
	}
}

func (p *play) oneWay(a *agent, s *server) float64 {
	mean := p.NearMs
	if a.zone != s.zone {
		mean = p.FarMs
	}
	return mean * (0.9 + 0.2*p.rng.Float64())
}

// connect is the time until a connection to the server is up; false if it never comes up.
func (p *play) connect(a *agent, s *server) (ms float64, up bool) {
	if idle := a.idle[s.addr]; len(idle) > 0 {
		since := idle[len(idle)-1]
		if a.idle[s.addr] = idle[:len(idle)-1]; p.now-since < p.IdleMs {
			return 0, true
		}
		delete(a.idle, s.addr)
	}
	if s.silent || s.gone {
		return p.Settings.Limits.ConnectTimeoutMs, false
	}
	way := p.oneWay(a, s)
	if s.Down() {
		return 2 * way, false
	}
	p.second(p.now).Handshakes++
	s.Offer(p.now, backendmodel.Job{WorkMs: p.HandshakeMs})
	p.work(s)
	return 4 * way, true
}

func (p *play) send(a *agent, r *request, act *policy.Action) {
	s := p.byAddr[act.Server]
	if r == nil || s == nil {
		p.err = fmt.Errorf("fleet: agent %d sends request %d, which it does not hold, or to no server", a.index, act.Request)
		return
	}
	n := len(r.tries)
	t := &try{to: s, sent: p.now, mayRun: true}
	r.tries = append(r.tries, t)
	sec := p.second(p.now)
	sec.Attempts++
	if a.zone != s.zone {
		sec.Cross++
	}
	end := func(st policy.Status) {
		if t.over {
			return
		}
		t.over = true
		t.mayRun = !st.NotExecuted()
		if st == policy.OK && !r.over {
			r.over = true
			p.served(r.ask)
		}
		switch st {
		case policy.OK, policy.Rejected, policy.Error:
			a.idle[s.addr] = append(a.idle[s.addr], p.now)
		case policy.Timeout:
			p.second(t.sent).Timeouts++
		}
		if st == policy.Rejected {
			p.second(t.sent).Full++
		}
		p.handle(a, &policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: n, Server: s.addr, Status: st,
			LatencyMs: p.now - t.sent, Final: r.over})
		p.forget(a, r)
	}
	p.still(a, max(act.DurationMs, 0), func() { end(policy.Timeout) })
	ms, up := p.connect(a, s)
	if !up {
		p.still(a, ms, func() { end(policy.ConnectFailed) })
		return
	}
	way := p.oneWay(a, s)
	p.after(ms+way, func() { // also of an agent that is gone
		switch {
		case t.over || s.silent || s.gone:
			return
		case s.Down():
			p.still(a, way, func() { end(policy.ConnectFailed) })
			return
		case s.errors > 0 && p.rng.Float64() < s.errors:
			p.still(a, way, func() { end(policy.Error) })
			return
		}
		p.nextJob++
		id := p.nextJob
		p.work(s)
		if !s.Offer(p.now, backendmodel.Job{ID: id, Key: r.ask.key, WorkMs: r.ask.work}) {
			p.still(a, way, func() { end(policy.Rejected) })
			return
		}
		t.job = id
		if r.ask.ran++; r.ask.ran > 1 && p.Settings.Classes[r.ask.class].Idempotency == policy.NonIdempotent {
			p.out.Twice++
		}
		of := s.Server
		p.jobs[id] = func(at float64) {
			if !s.silent && s.Server == of {
				p.still(a, at-p.now+way, func() { end(policy.OK) })
			}
		}
		p.work(s)
	})
}

func (p *play) cancel(a *agent, r *request, n int) {
	if r == nil || n >= len(r.tries) || r.tries[n].over {
		return
	}
	t := r.tries[n]
	t.over = true
	p.after(p.oneWay(a, t.to), func() {
		if t.job != 0 && t.to.Cancel(p.now, t.job) {
			delete(p.jobs, t.job)
		}
	})
	p.still(a, 0, func() {
		p.handle(a, &policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: n, Server: t.to.addr,
			Status: policy.Cancelled, LatencyMs: p.now - t.sent, Final: r.over})
		p.forget(a, r)
	})
}

func (p *play) probe(a *agent, addr policy.Addr) {
	s := p.byAddr[addr]
	p.second(p.now).Probes++
	told := func(ms float64, st policy.Status, report []float32) {
		p.still(a, ms, func() {
			p.handle(a, &policy.Event{Kind: policy.EventProbeEnded, Server: addr, Status: st, LatencyMs: ms, LoadReport: report})
		})
	}
	ms, up := p.connect(a, s)
	way := p.oneWay(a, s)
	switch {
	case !up:
		told(ms, policy.ConnectFailed, nil)
	case s.silent || s.gone:
		told(2*p.Settings.Limits.ConnectTimeoutMs, policy.Timeout, nil)
	default:
		p.work(s)
		l := s.Load(p.now)
		told(ms+2*way, policy.OK, []float32{float32(l.Inflight), float32(l.Util), float32(l.LatencyMs), float32(l.QPS)})
		a.idle[addr] = append(a.idle[addr], p.now)
	}
}

// ---- clients ----

// arrive lets the next client of an agent come.
func (p *play) arrive(a *agent) {
	p.after(p.rng.ExpFloat64()*1000/a.rate, func() {
		if p.now > start+p.ForMs {
			return
		}
		c := &ask{first: p.now, key: p.key(), class: p.class(), pushy: p.rng.Float64() < p.pushy}
		c.work = p.WorkMs[c.class] * p.rng.ExpFloat64()
		s := p.second(p.now)
		s.Asked++
		s.Worth += p.Settings.Classes[c.class].Value
		p.request(a, c, false)
		p.arrive(a)
	})
}

func (p *play) key() uint64 {
	if len(p.zipf) == 0 {
		return 0
	}
	x := p.rng.Float64() * p.zipf[len(p.zipf)-1]
	lo, hi := 0, len(p.zipf)
	for lo < hi {
		if mid := (lo + hi) / 2; p.zipf[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return uint64(lo+1) * 0x9e3779b97f4a7c15
}

func (p *play) class() int {
	x := p.rng.Float64()
	for i, share := range p.Share {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(p.Share) - 1
}

func (p *play) request(a *agent, c *ask, retry bool) {
	class := p.Settings.Classes[c.class]
	a.nextID++
	r := &request{id: a.nextID, ask: c, deadline: c.first + class.ClientTimeoutMs}
	a.reqs[r.id] = r
	left := r.deadline - p.now
	p.still(a, left, func() {
		if !r.over {
			p.out.Lost++
			p.second(c.first).Failed++
			p.close(a, r)
			p.handle(a, &policy.Event{Kind: policy.EventClientGone, Request: r.id})
		}
	})
	p.handle(a, &policy.Event{Kind: policy.EventRequest, Request: r.id, Class: c.class, Tenant: -1, Key: c.key,
		RemainingMs: left - min(8, left/8), IsRetry: retry && p.Settings.Clients.MarksRetry})
}

// comeAgain tells whether the client tries once more, after the wait it was given at least.
// Pushy ones do not wait, and come as often as pushyTries times.
func (p *play) comeAgain(a *agent, c *ask, wait float64) bool {
	wait, most := max(wait, p.RetryMs*(0.5+p.rng.Float64())), 1
	if c.pushy {
		wait, most = 50*p.rng.Float64(), pushyTries
	}
	if p.RetryMs <= 0 || c.again >= most || p.now+wait >= c.first+p.Settings.Classes[c.class].ClientTimeoutMs {
		return false
	}
	c.again++
	p.after(wait, func() { p.request(a, c, true) })
	return true
}

func (p *play) served(c *ask) {
	s, class := p.second(c.first), p.Settings.Classes[c.class]
	if p.now-c.first <= class.LatencyTargetMs {
		s.Served++
		s.Earned += class.Value
		return
	}
	s.Late++
	s.Earned += class.Value * class.LateValueShare
}
