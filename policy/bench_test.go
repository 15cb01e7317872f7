package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// newBenchAgent is an agent of a fleet with so many servers that has measured them all, with so
// many requests held that no server may be sent, and every third server Unhealthy if ill.
func newBenchAgent(b *testing.B, servers, held int, ill bool) *testAgent {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.Limits.MaxOpenRequests = 1 << 20
	set.AgentCount = 300
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	bal, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	r := &testAgent{balancer: bal, now: 1e6, splitKeys: true}
	bal.Start(r.now, nil)
	entries := make([]Endpoint, servers)
	for i := range entries {
		entries[i] = Endpoint{Server: addr(i), Status: Ready, Weight: 1, Cell: i % 2, Zone: i % 3}
	}
	r.updateList(UpdateCached, entries...)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 4 * servers {
		r.serveRequest(2, 1+rng.Uint64N(500))
	}
	if ill {
		for i, s := range bal.servers {
			if i%3 == 0 {
				bal.recordFailureRate(s, 1)
				s.failureRate = 1
				bal.eject(s, true)
			}
		}
	}
	if held == 0 {
		return r
	}
	for _, s := range bal.servers {
		s.concurrencyLimit, s.lastSentAt, s.meanLatencyMs = 0.001, 1e12, 1
	}
	for i := range held {
		r.lastID++
		req := &request{id: r.lastID, class: 2, key: 1 + rng.Uint64N(500), firstArrivedAt: r.now, arrivedAt: r.now,
			targetAt: 1e12, deadline: 1e12}
		if i%2 == 0 { // has waited for its key long enough
			req.arrivedAt = -1e12
		}
		req.hashKey = req.key
		bal.requests[req.id] = req
		bal.pending = append(bal.pending, req)
	}
	return r
}

// serveRequest lets one request come and be served.
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
			r.balancer.Handle(r.now, &Event{Kind: EventAttemptEnded, Request: id, Server: a.Server, Status: OK, LatencyMs: 10, Final: true}, nil)
		case ActionProbe:
			r.balancer.Handle(r.now, &Event{Kind: EventProbeEnded, Server: a.Server, Status: OK, LatencyMs: 1, LoadReport: []float32{1, 0.4}}, nil)
		}
	}
	r.balancer.Handle(r.now, &Event{Kind: EventClientGone, Request: id}, nil) // of no effect on a served one
}

// BenchmarkRequest is what one keyed request costs from its arrival to its answer or,
// where others are held for want of room, until its client leaves.
func BenchmarkRequest(b *testing.B) {
	for _, held := range []int{0, 64, 512} {
		for _, ill := range []bool{false, true} {
			for _, servers := range []int{10, 60, 200, 1000} {
				b.Run(fmt.Sprintf("held=%d/ill=%v/servers=%d", held, ill, servers), func(b *testing.B) {
					r := newBenchAgent(b, servers, held, ill)
					rng := rand.New(rand.NewPCG(3, 3))
					b.ReportAllocs()
					for b.Loop() {
						r.serveRequest(2, 1+rng.Uint64N(500))
					}
				})
			}
		}
	}
}
