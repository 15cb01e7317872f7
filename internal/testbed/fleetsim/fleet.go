// Package fleetsim simulates a whole fleet in virtual time: many instances of the decision
// module, each with its own clients and connections, and servers of package backendmodel
// behind links with a configured delay. It runs in one goroutine and draws all random values
// from one seed, so equal configurations give equal results and a failing seed can be replayed.
//
// It leaves out what the decision module cannot see: sockets, processes and wall-clock time.
// It shows the joint effect of decisions that are each sound on a fleet.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"chalkdoor.example/chalkdoor/internal/testbed/backendmodel"
	"chalkdoor.example/chalkdoor/policy"
)

// Config describes one simulation. Times are in milliseconds, rates per second.
type Config struct {
	Seed               uint64
	Agents             int
	Servers            int
	Zones              int
	Rate               float64 // requests of all clients together, without retries
	RateSpread         float64 // sigma of the lognormal distribution of the agents' request rates
	Keys               int     // number of distinct keys; their popularity follows Zipf's law with exponent KeySkew
	KeySkew            float64
	DurationMs         float64             // time in which clients send new requests
	Settings           policy.Settings     // without AgentIndex, AgentCount and Zone, which are set for each agent
	Server             backendmodel.Config // without Speed, which is drawn from MinSpeed to MaxSpeed
	MinSpeed, MaxSpeed float64
	// WorkMs is the mean work of a request, ClassShare the fraction of all requests, both by
	// class.
	WorkMs, ClassShare      []float64
	HandshakeMs             float64 // work of a server for a new connection
	SameZoneMs, CrossZoneMs float64 // mean one-way delay of a link within a zone, and between zones
	DiscoveryDelayMs        float64 // time until agents learn of a change of the servers
	IdleTimeoutMs           float64 // how long agents keep an idle connection
	RetryDelayMs            float64 // mean pause before the only retry of a request; 0 disables retries
	Scenario                string  // one of Scenarios()
	RestoreSnapshots        bool    // whether agents restore their snapshot after a restart
}

// SecondStats counts the requests that were first sent in one second, by their outcomes, and the attempts that were
// sent in it.
type SecondStats struct {
	Requests, Served, Late, Rejected, Failed                int
	Attempts, Timeouts, ServerRejections, CrossZone, Probes int
	Handshakes                                              int
	Value, ServedValue                                      float64 // of all requests, and what was earned of it

	// The following fields are samples from the end of the second. Agents holds means over the agents, except for
	// Pending, which is a total. The utilizations are means over the warm and the cold servers.
	Agents             policy.BalancerStats
	WarmUtil, ColdUtil float64
	OverloadedServers  int
}

// Result is the outcome of one simulation; SecondStats has the totals of its counters. Unanswered, DuplicateExecutions
// and CollapsedServers count violated guarantees: requests without an answer before the client's timeout, repeated
// executions of requests that are not idempotent, and cold servers that collapsed under their load.
type Result struct {
	SecondStats
	Seconds                         []SecondStats
	Unanswered, DuplicateExecutions int
	CollapsedServers                int
	PeakColdLoad                    float64 // peak load of a cold server, as a fraction of what makes it collapse
	KeyHitRate                      float64 // fraction of the jobs with a key whose key was cached
	HandshakeRate                   float64 // new connections per request
}

// Net returns the served fraction of the requests' value, minus the prices of handshakes, probes and attempts across
// zones.
func (r *Result) Net(prices *policy.Prices) float64 {
	n := float64(max(r.Requests, 1))
	return r.ServedValue/max(r.Value, 1) - (prices.Handshake*float64(r.Handshakes)+prices.Probe*float64(r.Probes)+
		prices.CrossZone*float64(r.CrossZone))/n
}

// event is a callback that runs at a time.
type event struct {
	at  float64
	seq uint64 // order among events of the same time
	run func()
}

// eventQueue is a heap of events, earliest first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

type server struct {
	*backendmodel.Server
	addr        policy.Addr
	zone        int
	speed       float64
	startedAt   float64 // start of its process; 0 if it was warm from the beginning
	unreachable bool    // partitioned or down
	errorRate   float64 // fraction of the requests that it answers with an error, 0 to 1
	removed     bool    // from discovery
	draining    bool
	nextWake    float64 // time of the last scheduled wake-up
}

type agent struct {
	index       int
	zone        int
	rate        float64 // requests per second
	balancer    *policy.Balancer
	incarnation int                       // number of starts so far
	idleSince   map[policy.Addr][]float64 // by server: since when each idle connection is idle
	nextID      policy.RequestID
	requests    map[policy.RequestID]*request
}

// clientRequest is a request as its client sees it, with all its retries.
type clientRequest struct {
	class       int
	key         uint64
	firstSentAt float64
	retries     int     // so far
	eager       bool    // the client retries at once, up to maxEagerRetries times
	workMs      float64 // work of an execution
	executions  int     // attempts that servers have accepted
}

// request is one request to an agent: a client's request, or a retry of it.
type request struct {
	id       policy.RequestID
	origin   *clientRequest
	deadline float64
	attempts []*attempt
	ended    bool
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server     *server
	ended      bool
	job        uint64 // at the server; 0 until the server has accepted it
	sentAt     float64
	mayHaveRun bool // whether the server may have executed it
}

// simulation is one run of a configuration.
type simulation struct {
	Config
	random     *rand.Rand
	now        float64
	seq        uint64
	events     eventQueue
	agents     []*agent
	servers    []*server
	byAddr     map[policy.Addr]*server
	published  []policy.Endpoint           // the servers that discovery has published
	jobs       map[uint64]func(at float64) // callbacks for the ends of accepted jobs, by their ids
	nextJob    uint64
	zipf       []float64 // cumulative weights of the keys
	result     Result
	done       []backendmodel.Done // buffer of advance
	eagerShare float64             // fraction of the clients that retry at once, 0 to 1
	err        error
}

// maxEagerRetries bounds the retries of one request by an eager client.
const maxEagerRetries = 8

// startTime is the agents' time, in ms, at the start of a simulation.
const startTime = 1e6

// Run simulates a configuration.
func Run(cfg Config) (*Result, error) {
	sim := &simulation{Config: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), now: startTime,
		byAddr: map[policy.Addr]*server{}, jobs: map[uint64]func(float64){}}
	scenario, ok := scenarios[cfg.Scenario]
	if !ok {
		return nil, fmt.Errorf("fleet: unknown scenario %q, want one of %v", cfg.Scenario, Scenarios())
	}
	sim.result.Seconds = make([]SecondStats, int(math.Ceil(cfg.DurationMs/1000))+1)
	sum := 0.0
	for i := range cfg.Keys {
		sum += math.Pow(float64(i+1), -cfg.KeySkew)
		sim.zipf = append(sim.zipf, sum)
	}
	for range cfg.Servers {
		sim.addServer(0)
	}
	sim.published = sim.endpoints()
	total := 0.0
	for i := range cfg.Agents {
		a := &agent{index: i, zone: i % cfg.Zones, rate: math.Exp(cfg.RateSpread * sim.random.NormFloat64())}
		total += a.rate
		sim.agents = append(sim.agents, a)
	}
	for _, a := range sim.agents {
		a.rate *= cfg.Rate / total
		if err := sim.startAgent(a); err != nil {
			return nil, err
		}
		sim.scheduleArrival(a)
	}
	scenario(sim)
	for i := range sim.result.Seconds {
		sim.schedule(startTime+1000*float64(i+1)-0.5, func() { sim.sample(&sim.result.Seconds[i]) })
	}
	end := startTime + cfg.DurationMs + 5000
	for len(sim.events) > 0 && sim.err == nil {
		e := heap.Pop(&sim.events).(event)
		if e.at > end {
			break
		}
		sim.now = e.at
		e.run()
	}
	sim.computeTotals()
	return &sim.result, sim.err
}

// computeTotals sums up the counters of all seconds and servers.
func (sim *simulation) computeTotals() {
	for i := range sim.result.Seconds {
		s, t := &sim.result.Seconds[i], &sim.result.SecondStats
		t.Requests += s.Requests
		t.Served += s.Served
		t.Late += s.Late
		t.Rejected += s.Rejected
		t.Failed += s.Failed
		t.Attempts += s.Attempts
		t.Timeouts += s.Timeouts
		t.ServerRejections += s.ServerRejections
		t.CrossZone += s.CrossZone
		t.Probes += s.Probes
		t.Handshakes += s.Handshakes
		t.Value += s.Value
		t.ServedValue += s.ServedValue
	}
	hits, total := 0, 0
	for _, s := range sim.servers {
		h, n := s.KeyCounts()
		hits, total = hits+h, total+n
		sim.result.PeakColdLoad = max(sim.result.PeakColdLoad, s.PeakColdLoad())
		if s.Collapsed() {
			sim.result.CollapsedServers++
		}
	}
	sim.result.KeyHitRate = float64(hits) / float64(max(total, 1))
	sim.result.HandshakeRate = float64(sim.result.Handshakes) / float64(max(sim.result.Requests, 1))
}

// sample records the state of agents and servers in the statistics of a second.
func (sim *simulation) sample(s *SecondStats) {
	n := float64(len(sim.agents))
	for _, a := range sim.agents {
		f := a.balancer.Stats()
		s.Agents.LoadShedding += f.LoadShedding / n
		s.Agents.Admission += f.Admission / n
		s.Agents.Demand += f.Demand / n
		s.Agents.Capacity += f.Capacity / n
		s.Agents.Pending += f.Pending
	}
	warm, cold := 0.0, 0.0
	for _, x := range sim.servers {
		if x.unreachable || x.removed || x.draining {
			continue
		}
		util := x.Load(sim.now).Util
		if x.StartupFactor(sim.now) < 1 {
			s.ColdUtil += util
			cold++
		} else {
			s.WarmUtil += util
			warm++
		}
		if x.Overloaded() {
			s.OverloadedServers++
		}
	}
	s.WarmUtil /= max(warm, 1)
	s.ColdUtil /= max(cold, 1)
}

// schedule runs a callback at a time.
func (sim *simulation) schedule(t float64, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{t, sim.seq, run})
}

// scheduleAfter runs a callback after a delay.
func (sim *simulation) scheduleAfter(ms float64, run func()) { sim.schedule(sim.now+ms, run) }

// secondOf returns the statistics of the second that a time falls into, or of the nearest one.
func (sim *simulation) secondOf(t float64) *SecondStats {
	return &sim.result.Seconds[min(max(int((t-startTime)/1000), 0), len(sim.result.Seconds)-1)]
}

// ---- servers and discovery ----

func (sim *simulation) addServer(startedAt float64) *server {
	n := len(sim.servers)
	s := &server{zone: n % sim.Zones, addr: policy.Addr{10, byte(n >> 16), byte(n >> 8), byte(n), 0x13, 0x8b},
		speed: sim.MinSpeed + (sim.MaxSpeed-sim.MinSpeed)*sim.random.Float64()}
	sim.servers = append(sim.servers, s)
	sim.byAddr[s.addr] = s
	sim.restart(s, startedAt)
	return s
}

// restart starts a new process of a server. The process is cold unless startedAt is 0.
func (sim *simulation) restart(s *server, startedAt float64) {
	cfg := sim.Server
	cfg.Speed = s.speed
	cfg.StallAtMs = sim.random.Float64() * cfg.StallEveryMs
	s.Server, s.startedAt, s.unreachable, s.nextWake = backendmodel.New(cfg, startedAt), startedAt, false, 0
}

func (sim *simulation) endpointOf(s *server) policy.Endpoint {
	e := policy.Endpoint{Server: s.addr, Zone: s.zone, Cell: s.zone, StartedMs: s.startedAt, Status: policy.Ready,
		Weight: float64(sim.Server.Cores)}
	switch {
	case s.removed:
		e.Status = policy.Removed
	case s.draining:
		e.Status = policy.Draining
	}
	return e
}

func (sim *simulation) endpoints() (list []policy.Endpoint) {
	for _, s := range sim.servers {
		if !s.removed {
			list = append(list, sim.endpointOf(s))
		}
	}
	return list
}

// publish sends the state of changed servers to all agents after the delay of discovery.
func (sim *simulation) publish(changed ...*server) {
	var list []policy.Endpoint
	for _, s := range changed {
		list = append(list, sim.endpointOf(s))
	}
	sim.scheduleAfter(sim.DiscoveryDelayMs, func() {
		sim.published = sim.endpoints()
		for _, a := range sim.agents {
			sim.handle(a, &policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateDelta, Endpoints: list})
		}
	})
}

// advance advances a server to the present time, and schedules the next call for the end of its next job.
func (sim *simulation) advance(s *server) {
	sim.done = s.Advance(sim.now, sim.done[:0])
	for _, d := range sim.done {
		if f := sim.jobs[d.ID]; f != nil {
			delete(sim.jobs, d.ID)
			f(d.At)
		}
	}
	if at, some := s.Next(); some && at != s.nextWake {
		s.nextWake = at
		process := s.Server
		sim.schedule(at, func() {
			if s.Server == process {
				sim.advance(s)
			}
		})
	}
}

// ---- agents ----

// startAgent starts or restarts an agent. A restart ends its requests, as the process is gone.
func (sim *simulation) startAgent(a *agent) error {
	var snapshot *policy.Snapshot
	if a.balancer != nil && sim.RestoreSnapshots {
		snapshot = a.balancer.Snapshot(sim.now)
	}
	settings := sim.Settings
	settings.AgentIndex, settings.AgentCount, settings.Zone = a.index, sim.Agents, a.zone
	balancer, err := policy.New(settings, sim.random.Uint64())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	for _, r := range a.requests {
		for _, t := range r.attempts {
			t.ended = true
		}
		if !r.ended {
			r.ended = true
			sim.requestFailed(a, r)
		}
	}
	a.incarnation++
	a.balancer, a.idleSince, a.requests = balancer, map[policy.Addr][]float64{}, map[policy.RequestID]*request{}
	sim.execute(a, balancer.Start(sim.now, nil))
	sim.handle(a, &policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateCached, Endpoints: sim.published})
	if snapshot != nil {
		sim.handle(a, &policy.Event{Kind: policy.EventRestore, Snapshot: snapshot})
	}
	return nil
}

func (sim *simulation) handle(a *agent, ev *policy.Event) {
	sim.execute(a, a.balancer.Handle(sim.now, ev, nil))
}

// scheduleFor runs a callback after a delay unless the agent has been restarted by then.
func (sim *simulation) scheduleFor(a *agent, ms float64, run func()) {
	incarnation := a.incarnation
	sim.scheduleAfter(ms, func() {
		if a.incarnation == incarnation {
			run()
		}
	})
}

// execute carries out the actions that an agent's balancer has decided on.
func (sim *simulation) execute(a *agent, actions []policy.Action) {
	for _, act := range actions {
		r := a.requests[act.Request]
		switch act.Kind {
		case policy.ActionSend:
			sim.sendAttempt(a, r, &act)
		case policy.ActionCancel:
			sim.cancelAttempt(a, r, act.Attempt)
		case policy.ActionReject, policy.ActionFail:
			if r == nil || r.ended {
				continue
			}
			sim.close(a, r)
			s := sim.secondOf(r.origin.firstSentAt)
			if act.Kind == policy.ActionFail {
				sim.requestFailed(a, r)
			} else if !sim.retry(a, r.origin, act.DurationMs) {
				s.Rejected++
			}
		case policy.ActionTimer:
			token := act.Token
			sim.scheduleFor(a, act.DurationMs, func() {
				sim.handle(a, &policy.Event{Kind: policy.EventTimer, Token: token})
			})
		case policy.ActionFetch:
			sim.scheduleFor(a, 10, func() {
				sim.handle(a, &policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateFull,
					Endpoints: sim.published})
			})
		case policy.ActionCloseIdle:
			delete(a.idleSince, act.Server)
		case policy.ActionProbe:
			sim.probe(a, act.Server)
		}
	}
}

// close ends a request towards its client.
func (sim *simulation) close(a *agent, r *request) {
	r.ended = true
	sim.removeIfDone(a, r)
}

// removeIfDone removes a request once it and all its attempts have ended.
func (sim *simulation) removeIfDone(a *agent, r *request) {
	for _, t := range r.attempts {
		if !t.ended {
			return
		}
	}
	if r.ended {
		delete(a.requests, r.id)
	}
}

// requestFailed lets the client retry a failed request if that is safe, and counts the failure if it does not.
func (sim *simulation) requestFailed(a *agent, r *request) {
	for _, t := range r.attempts {
		if t.mayHaveRun && sim.Settings.Classes[r.origin.class].Idempotency == policy.NonIdempotent {
			sim.secondOf(r.origin.firstSentAt).Failed++
			return
		}
	}
	if !sim.retry(a, r.origin, 0) {
		sim.secondOf(r.origin.firstSentAt).Failed++
	}
}

// oneWay draws the delay of a message between an agent and a server.
func (sim *simulation) oneWay(a *agent, s *server) float64 {
	mean := sim.SameZoneMs
	if a.zone != s.zone {
		mean = sim.CrossZoneMs
	}
	return mean * (0.9 + 0.2*sim.random.Float64())
}

// connect takes an idle connection or opens a new one. It returns the time until the connection is established, or
// until the attempt fails, and whether it is established.
func (sim *simulation) connect(a *agent, s *server) (ms float64, connected bool) {
	if idle := a.idleSince[s.addr]; len(idle) > 0 {
		since := idle[len(idle)-1]
		if a.idleSince[s.addr] = idle[:len(idle)-1]; sim.now-since < sim.IdleTimeoutMs {
			return 0, true
		}
		delete(a.idleSince, s.addr)
	}
	if s.unreachable || s.removed {
		return sim.Settings.Limits.ConnectTimeoutMs, false
	}
	delay := sim.oneWay(a, s)
	if s.Collapsed() {
		return 2 * delay, false
	}
	sim.secondOf(sim.now).Handshakes++
	s.Offer(sim.now, backendmodel.Job{WorkMs: sim.HandshakeMs})
	sim.advance(s)
	return 4 * delay, true
}

func (sim *simulation) sendAttempt(a *agent, r *request, act *policy.Action) {
	s := sim.byAddr[act.Server]
	if r == nil || s == nil {
		sim.err = fmt.Errorf("fleet: agent %d sends request %d, which is not open, or sends it to an unknown server",
			a.index, act.Request)
		return
	}
	n := len(r.attempts)
	t := &attempt{server: s, sentAt: sim.now, mayHaveRun: true}
	r.attempts = append(r.attempts, t)
	second := sim.secondOf(sim.now)
	second.Attempts++
	if a.zone != s.zone {
		second.CrossZone++
	}
	end := func(status policy.Status) {
		if t.ended {
			return
		}
		t.ended = true
		t.mayHaveRun = !status.NotExecuted()
		if status == policy.OK && !r.ended {
			r.ended = true
			sim.requestServed(r.origin)
		}
		switch status {
		case policy.OK, policy.Rejected, policy.Error:
			a.idleSince[s.addr] = append(a.idleSince[s.addr], sim.now)
		case policy.Timeout:
			sim.secondOf(t.sentAt).Timeouts++
		}
		if status == policy.Rejected {
			sim.secondOf(t.sentAt).ServerRejections++
		}
		sim.handle(a, &policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: n, Server: s.addr,
			Status: status, LatencyMs: sim.now - t.sentAt, Final: r.ended})
		sim.removeIfDone(a, r)
	}
	sim.scheduleFor(a, max(act.DurationMs, 0), func() { end(policy.Timeout) })
	ms, connected := sim.connect(a, s)
	if !connected {
		sim.scheduleFor(a, ms, func() { end(policy.ConnectFailed) })
		return
	}
	delay := sim.oneWay(a, s)
	sim.scheduleAfter(ms+delay, func() { // the request arrives even if the agent has been restarted since
		switch {
		case t.ended || s.unreachable || s.removed:
			return
		case s.Collapsed():
			sim.scheduleFor(a, delay, func() { end(policy.ConnectFailed) })
			return
		case s.errorRate > 0 && sim.random.Float64() < s.errorRate:
			sim.scheduleFor(a, delay, func() { end(policy.Error) })
			return
		}
		sim.nextJob++
		id := sim.nextJob
		sim.advance(s)
		if !s.Offer(sim.now, backendmodel.Job{ID: id, Key: r.origin.key, WorkMs: r.origin.workMs}) {
			sim.scheduleFor(a, delay, func() { end(policy.Rejected) })
			return
		}
		t.job = id
		if r.origin.executions++; r.origin.executions > 1 &&
			sim.Settings.Classes[r.origin.class].Idempotency == policy.NonIdempotent {
			sim.result.DuplicateExecutions++
		}
		process := s.Server
		sim.jobs[id] = func(at float64) {
			if !s.unreachable && s.Server == process {
				sim.scheduleFor(a, at-sim.now+delay, func() { end(policy.OK) })
			}
		}
		sim.advance(s)
	})
}

func (sim *simulation) cancelAttempt(a *agent, r *request, n int) {
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	t := r.attempts[n]
	t.ended = true
	sim.scheduleAfter(sim.oneWay(a, t.server), func() {
		if t.job != 0 && t.server.Cancel(sim.now, t.job) {
			delete(sim.jobs, t.job)
		}
	})
	sim.scheduleFor(a, 0, func() {
		sim.handle(a, &policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: n, Server: t.server.addr,
			Status: policy.Cancelled, LatencyMs: sim.now - t.sentAt, Final: r.ended})
		sim.removeIfDone(a, r)
	})
}

func (sim *simulation) probe(a *agent, addr policy.Addr) {
	s := sim.byAddr[addr]
	sim.secondOf(sim.now).Probes++
	reportEnd := func(ms float64, status policy.Status, report []float32) {
		sim.scheduleFor(a, ms, func() {
			sim.handle(a, &policy.Event{Kind: policy.EventProbeEnded, Server: addr, Status: status, LatencyMs: ms,
				LoadReport: report})
		})
	}
	ms, connected := sim.connect(a, s)
	delay := sim.oneWay(a, s)
	switch {
	case !connected:
		reportEnd(ms, policy.ConnectFailed, nil)
	case s.unreachable || s.removed:
		reportEnd(2*sim.Settings.Limits.ConnectTimeoutMs, policy.Timeout, nil)
	default:
		sim.advance(s)
		l := s.Load(sim.now)
		reportEnd(ms+2*delay, policy.OK, []float32{float32(l.Inflight), float32(l.Util), float32(l.LatencyMs),
			float32(l.QPS)})
		a.idleSince[addr] = append(a.idleSince[addr], sim.now)
	}
}

// ---- clients ----

// scheduleArrival schedules the next new request of an agent's clients.
func (sim *simulation) scheduleArrival(a *agent) {
	sim.scheduleAfter(sim.random.ExpFloat64()*1000/a.rate, func() {
		if sim.now > startTime+sim.DurationMs {
			return
		}
		c := &clientRequest{firstSentAt: sim.now, key: sim.drawKey(), class: sim.drawClass(),
			eager: sim.random.Float64() < sim.eagerShare}
		c.workMs = sim.WorkMs[c.class] * sim.random.ExpFloat64()
		s := sim.secondOf(sim.now)
		s.Requests++
		s.Value += sim.Settings.Classes[c.class].Value
		sim.sendRequest(a, c, false)
		sim.scheduleArrival(a)
	})
}

func (sim *simulation) drawKey() uint64 {
	if len(sim.zipf) == 0 {
		return 0
	}
	x := sim.random.Float64() * sim.zipf[len(sim.zipf)-1]
	lo, hi := 0, len(sim.zipf)
	for lo < hi {
		if mid := (lo + hi) / 2; sim.zipf[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return uint64(lo+1) * 0x9e3779b97f4a7c15
}

func (sim *simulation) drawClass() int {
	x := sim.random.Float64()
	for i, share := range sim.ClassShare {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(sim.ClassShare) - 1
}

func (sim *simulation) sendRequest(a *agent, c *clientRequest, retry bool) {
	class := sim.Settings.Classes[c.class]
	a.nextID++
	r := &request{id: a.nextID, origin: c, deadline: c.firstSentAt + class.ClientTimeoutMs}
	a.requests[r.id] = r
	remainingMs := r.deadline - sim.now
	sim.scheduleFor(a, remainingMs, func() {
		if !r.ended {
			sim.result.Unanswered++
			sim.secondOf(c.firstSentAt).Failed++
			sim.close(a, r)
			sim.handle(a, &policy.Event{Kind: policy.EventClientGone, Request: r.id})
		}
	})
	sim.handle(a, &policy.Event{Kind: policy.EventRequest, Request: r.id, Class: c.class, Tenant: -1, Key: c.key,
		RemainingMs: remainingMs - min(8, remainingMs/8), IsRetry: retry && sim.Settings.Clients.MarksRetry})
}

// retry lets the client retry unless its retries or its time are used up, and tells whether it does. wait is the least
// pause before the retry; eager clients ignore it.
func (sim *simulation) retry(a *agent, c *clientRequest, wait float64) bool {
	wait, maxRetries := max(wait, sim.RetryDelayMs*(0.5+sim.random.Float64())), 1
	if c.eager {
		wait, maxRetries = 50*sim.random.Float64(), maxEagerRetries
	}
	if sim.RetryDelayMs <= 0 || c.retries >= maxRetries ||
		sim.now+wait >= c.firstSentAt+sim.Settings.Classes[c.class].ClientTimeoutMs {
		return false
	}
	c.retries++
	sim.scheduleAfter(wait, func() { sim.sendRequest(a, c, true) })
	return true
}

// requestServed counts a request that was served, in time or late.
func (sim *simulation) requestServed(c *clientRequest) {
	s, class := sim.secondOf(c.firstSentAt), sim.Settings.Classes[c.class]
	if sim.now-c.firstSentAt <= class.LatencyTargetMs {
		s.Served++
		s.ServedValue += class.Value
		return
	}
	s.Late++
	s.ServedValue += class.Value * class.LateValueShare
}
