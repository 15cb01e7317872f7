package policy

import (
	"math/rand/v2"
	"testing"
)

// testAgent drives one Balancer with events of a test.
type testAgent struct {
	t        *testing.T
	balancer *Balancer
	now      float64
	lastID   RequestID
	// splitKeys allows popular keys to be split. Without it, each key counts as one of very many.
	splitKeys bool
}

func addr(i int) Addr { return Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

func testSettings() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "free", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: Idempotent, Value: 1},
			{Name: "once", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: NonIdempotent, Value: 4},
			{Name: "keyed", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: Deduplicated,
				DedupScope: DedupWithinCell, DedupWindowMs: 500, Value: 2},
		},
		Limits: Limits{AllowCancel: true, MaxAttempts: 3, MaxRetryAfterMs: 500, AllowParallelAttempts: true,
			ConnectTimeoutMs: 100},
		Contract: Contract{ResponseGraceMs: 20, DiscoveryDeadlineMs: 8000, SlowStartFloor: 0.2,
			SlowStartMs: 10000, DrainGraceMs: 500,
			CollapseLoadFactor: 3, CollapseAfterMs: 1000},
		Membership: "pushed", AgentCount: 3, RoundMs: 5, ValueBy: "request", Weights: "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

func newTestAgent(t *testing.T, s Settings, servers int) *testAgent {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	agent := &testAgent{t: t, balancer: b, now: 1e6}
	b.Start(agent.now, nil)
	entries := make([]Endpoint, servers)
	for i := range entries {
		entries[i] = Endpoint{Server: addr(i), Status: Ready, Weight: 1, Cell: i % 2, Zone: i % 2}
	}
	agent.updateList(UpdateCached, entries...)
	return agent
}

func (r *testAgent) handle(ev Event) []Action { return r.balancer.Handle(r.now, &ev, nil) }

func (r *testAgent) updateList(kind UpdateKind, entries ...Endpoint) []Action {
	return r.handle(Event{Kind: EventDiscovery, Update: kind, Endpoints: entries})
}

// request makes a request with 600 ms left and returns the resulting actions.
func (r *testAgent) request(class int, key uint64) (RequestID, []Action) {
	r.lastID++
	if !r.splitKeys {
		r.balancer.keys = keyPopularity{counts: map[uint64]float64{},
			total: keyHistoryFactor*float64(len(r.balancer.servers))/maxKeyShare - 1}
	}
	return r.lastID, r.handle(Event{Kind: EventRequest, Request: r.lastID, Class: class, Key: key,
		RemainingMs: 600})
}

func (r *testAgent) endAttempt(id RequestID, index int, server Addr, status Status,
	latencyMs float64) []Action {
	return r.handle(Event{Kind: EventAttemptEnded, Request: id, Attempt: index, Server: server,
		Status: status, LatencyMs: latencyMs, Final: status == OK})
}

func findAction(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// mustSend makes one request and returns the server to which it was sent.
func (r *testAgent) mustSend(class int, key uint64) (RequestID, Addr) {
	r.t.Helper()
	id, actions := r.request(class, key)
	a := findAction(actions, ActionSend)
	if a == nil {
		r.t.Fatalf("request %d of class %d was not sent: %+v", id, class, actions)
	}
	return id, a.Server
}

// fireTimer advances the clock by ms and fires the maintenance timer.
func (r *testAgent) fireTimer(ms float64) []Action {
	r.now += ms
	return r.handle(Event{Kind: EventTimer, Token: maintenanceTimer})
}

// newLoadedAgent returns an agent with ten servers whose probes have all reported the given utilization.
func newLoadedAgent(t *testing.T, util float32) *testAgent {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	agent := newTestAgent(t, set, 10)
	for range 1000 {
		agent.now += 20
		id, actions := agent.request(1, agent.balancer.rng.Uint64())
		if a := findAction(actions, ActionSend); a != nil {
			agent.endAttempt(id, 0, a.Server, OK, 20)
		}
		if a := findAction(actions, ActionProbe); a != nil {
			agent.handle(Event{Kind: EventProbeEnded, Server: a.Server, Status: OK, LatencyMs: 1,
				LoadReport: []float32{1, util}})
		}
	}
	return agent
}

// countRejected makes n requests, serves those that are sent at once, and counts the rejected ones.
func (r *testAgent) countRejected(n int) (rejected int) {
	for range n {
		r.now += 0.1
		id, actions := r.request(1, r.balancer.rng.Uint64())
		if findAction(actions, ActionReject) != nil {
			rejected++
		} else if a := findAction(actions, ActionSend); a != nil {
			r.endAttempt(id, 0, a.Server, OK, 20)
		}
	}
	return rejected
}

// newSmallAgents returns the agents of one fleet in which connections have a price.
func newSmallAgents(t *testing.T, count, servers int) []*testAgent {
	set := testSettings()
	set.AgentCount, set.Prices.Handshake, set.Limits.KeepaliveMs = count, 0.08, 10000
	var agents []*testAgent
	for i := range count {
		set.AgentIndex = i
		agent := newTestAgent(t, set, servers)
		agent.balancer.rng = rand.New(rand.NewPCG(uint64(i), 2))
		agent.splitKeys = true
		agents = append(agents, agent)
	}
	return agents
}

// sendSteadily makes one request per interval at each agent, and counts the requests sent to each server.
func sendSteadily(agents []*testAgent, intervalMs, durationMs float64, rng *rand.Rand) map[Addr]int {
	requests := map[Addr]int{}
	for _, r := range agents {
		end := r.now + durationMs
		for r.now += intervalMs * rng.Float64(); r.now < end; r.now += intervalMs {
			id, s := r.mustSend(0, 1+rng.Uint64N(500))
			requests[s]++
			r.endAttempt(id, 0, s, OK, 20)
		}
	}
	return requests
}
