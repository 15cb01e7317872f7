package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// newBenchAgent returns an agent that has measured all servers of its fleet. If there are pending requests,
// no server has capacity. With unhealthy, every third server is Unhealthy.
func newBenchAgent(b *testing.B, servers, pending int, unhealthy bool) *testAgent {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.Limits.MaxOpenRequests = 1 << 20
	set.AgentCount = 300
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	bal, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	agent := &testAgent{balancer: bal, now: 1e6, splitKeys: true}
	bal.Start(agent.now, nil)
	entries := make([]Endpoint, servers)
	for i := range entries {
		entries[i] = Endpoint{Server: addr(i), Status: Ready, Weight: 1, Cell: i % 2, Zone: i % 3}
	}
	agent.updateList(UpdateCached, entries...)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 4 * servers {
		agent.serveRequest(2, 1+rng.Uint64N(500))
	}
	if unhealthy {
		for i, s := range bal.servers {
			if i%3 == 0 {
				bal.recordFailureRate(s, 1)
				s.failureRate = 1
				bal.eject(s, true)
			}
		}
	}
	if pending == 0 {
		return agent
	}
	for _, s := range bal.servers {
		s.concurrencyLimit, s.lastSentAt, s.meanLatencyMs = 0.001, 1e12, 1
	}
	for i := range pending {
		agent.lastID++
		req := &request{id: agent.lastID, class: 2, key: 1 + rng.Uint64N(500), firstArrivedAt: agent.now,
			arrivedAt: agent.now,
			targetAt:  1e12, deadline: 1e12}
		if i%2 == 0 { // has waited too long to wait for the servers of its key any longer
			req.arrivedAt = -1e12
		}
		req.hashKey = req.key
		bal.requests[req.id] = req
		bal.pending = append(bal.pending, req)
	}
	return agent
}

// serveRequest sends one request and serves it.
func (r *testAgent) serveRequest(class int, key uint64) {
	r.now += 20
	r.lastID++
	id := r.lastID
	ev := Event{Kind: EventRequest, Request: id, Class: class, Key: key, RemainingMs: 600}
	actions := r.balancer.Handle(r.now, &ev, nil)
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case ActionSend:
			r.now += 10
			r.balancer.Handle(r.now, &Event{Kind: EventAttemptEnded, Request: id, Server: a.Server,
				Status: OK, LatencyMs: 10, Final: true}, nil)
		case ActionProbe:
			r.balancer.Handle(r.now, &Event{Kind: EventProbeEnded, Server: a.Server, Status: OK, LatencyMs: 1,
				LoadReport: []float32{1, 0.4}}, nil)
		}
	}
	r.balancer.Handle(r.now, &Event{Kind: EventClientGone, Request: id}, nil) // no effect on a served one
}

// BenchmarkRequest measures the cost of one request with a key from its arrival to its response or, if others
// are pending for lack of capacity, until its client leaves.
func BenchmarkRequest(b *testing.B) {
	for _, pending := range []int{0, 64, 512} {
		for _, unhealthy := range []bool{false, true} {
			for _, servers := range []int{10, 60, 200, 1000} {
				b.Run(fmt.Sprintf("pending=%d/unhealthy=%v/servers=%d", pending, unhealthy,
					servers), func(b *testing.B) {
					agent := newBenchAgent(b, servers, pending, unhealthy)
					rng := rand.New(rand.NewPCG(3, 3))
					b.ReportAllocs()
					for b.Loop() {
						agent.serveRequest(2, 1+rng.Uint64N(500))
					}
				})
			}
		}
	}
}
