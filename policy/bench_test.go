package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// bigRig is an agent of a fleet with so many servers that has measured them all, with so
// many requests held that no server may be sent, and every third server Unhealthy if ill.
func bigRig(b *testing.B, servers, held int, ill bool) *rig {
	set := testSettings()
	set.Limits.Probing = true
	set.Limits.OpenCap = 1 << 20
	set.Replicas = 300
	set.Report = Report{How: "on_probe", Names: []string{"inflight", "util"}}
	bal, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	r := &rig{b: bal, now: 1e6, popular: true}
	bal.Start(r.now, nil)
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{Server: addr(i), Health: Ready, Weight: 1, Cell: i % 2, Zone: i % 3}
	}
	r.list(ListCached, entries...)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 4 * servers {
		r.serve(2, 1+rng.Uint64N(500))
	}
	if ill {
		for i, s := range bal.servers {
			if i%3 == 0 {
				bal.fails(s, 1)
				s.failing = 1
				bal.demote(s, true)
			}
		}
	}
	if held == 0 {
		return r
	}
	for _, s := range bal.servers {
		s.window, s.sentAt, s.rtt = 0.001, 1e12, 1
	}
	for i := range held {
		r.id++
		req := &request{id: r.id, class: 2, key: 1 + rng.Uint64N(500), first: r.now, arrived: r.now,
			aimAt: 1e12, deadline: 1e12}
		if i%2 == 0 { // has waited for its key long enough
			req.arrived = -1e12
		}
		req.spot = req.key
		bal.requests[req.id] = req
		bal.held = append(bal.held, req)
	}
	return r
}

// serve lets one request come and be served.
func (r *rig) serve(class int, key uint64) {
	r.now += 20
	r.id++
	id := r.id
	ev := Event{Kind: EvRequest, Request: id, Class: class, Key: key, LeftMs: 600}
	actions := r.b.Handle(r.now, &ev, nil)
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case ActSend:
			r.now += 10
			r.b.Handle(r.now, &Event{Kind: EvOutcome, Request: id, Server: a.Server, Status: OK, LatencyMs: 10, Final: true}, nil)
		case ActProbe:
			r.b.Handle(r.now, &Event{Kind: EvProbed, Server: a.Server, Status: OK, LatencyMs: 1, Report: []float32{1, 0.4}}, nil)
		}
	}
	r.b.Handle(r.now, &Event{Kind: EvDropped, Request: id}, nil) // of no effect on a served one
}

// BenchmarkRequest is what one keyed request costs from its arrival to its answer or,
// where others are held for want of room, until its client leaves.
func BenchmarkRequest(b *testing.B) {
	for _, held := range []int{0, 64, 512} {
		for _, ill := range []bool{false, true} {
			for _, servers := range []int{10, 60, 200, 1000} {
				b.Run(fmt.Sprintf("held=%d/ill=%v/servers=%d", held, ill, servers), func(b *testing.B) {
					r := bigRig(b, servers, held, ill)
					rng := rand.New(rand.NewPCG(3, 3))
					b.ReportAllocs()
					for b.Loop() {
						r.serve(2, 1+rng.Uint64N(500))
					}
				})
			}
		}
	}
}
