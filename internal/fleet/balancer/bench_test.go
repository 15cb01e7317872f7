package balancer

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

func benchList(servers int) *registry.List {
	l := &registry.List{ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for i := range servers {
		instance := &registry.Instance{
			ID:      fmt.Sprintf("i-%08x", i),
			Service: "llm",
			Zone:    fmt.Sprintf("zone-%d", i%5),
			Slots:   64,
			Seq:     1,
		}
		l.ByService["llm"], l.ByID[instance.ID] = append(l.ByService["llm"], instance), instance
	}
	return l
}

func benchPicker(servers int) *Picker {
	p := New(Options{Zone: "zone-0", Seed: 1})
	p.UpdateConfig(0, &config.Document{Services: map[string]*config.Service{"llm": {Name: "llm",
		Engine: &config.Engine{Slots: 64, CacheTokens: 600_000, TokensPerEvent: 4}}}})
	p.UpdateInstances(0, benchList(servers))
	return p
}

// pickRequests picks servers for a number of requests and ends the requests that are forwarded. Each
// request has a shared segment that no other request has, and a segment of its own.
func pickRequests(p *Picker, requests int) {
	route := &config.Route{Name: "r", Kind: config.Streaming, MaxAttempts: 2}
	now := time.Duration(0)
	for i := range uint64(requests) {
		now += 10 * time.Millisecond
		d := p.Pick(now, &Request{Route: route, Service: "llm", Model: "m",
			Segments: []Segment{
				{ID: inference.Mix64(i), Tokens: 200},
				{ID: inference.Mix64(i + 1<<40), Tokens: 50},
			},
			PromptTokens: 250, MaxOutputTokens: 20, TimeLeft: 3 * time.Second, LatencyTarget: time.Second})
		if d.Action == Forward {
			d.Attempt.Events(now+time.Millisecond, 1)
			d.Attempt.End(now+2*time.Millisecond, Succeeded)
		}
	}
}

// BenchmarkUpdateInstances alternates between two lists, of which each has one server that the other
// does not have.
func BenchmarkUpdateInstances(b *testing.B) {
	for _, servers := range []int{18, 112, 850} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p := benchPicker(servers)
			lists := []*registry.List{benchList(servers), benchList(servers + 1)}
			delete(lists[1].ByID, "i-00000000")
			lists[1].ByService["llm"] = lists[1].ByService["llm"][1:]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.UpdateInstances(time.Duration(i)*time.Millisecond, lists[i%2])
			}
		})
	}
}

// BenchmarkHeap measures the memory of a picker: for each server, and for several numbers of prefixes
// that it has seen. The picker bounds the number of prefixes that it keeps.
func BenchmarkHeap(b *testing.B) {
	const servers = 850
	bare := heapsize.Of(func() any { return benchPicker(servers) })
	for _, prefixes := range []int{0, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("servers=%d/prefixes=%d", servers, prefixes), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				bytes = heapsize.Of(func() any {
					p := benchPicker(servers)
					pickRequests(p, prefixes)
					return p
				})
			}
			b.ReportMetric(float64(bytes), "B/agent")
			b.ReportMetric(float64(bare)/servers, "B/server")
			b.ReportMetric(float64(bytes-bare)/float64(max(prefixes, 1)), "B/prefix")
		})
	}
}

// BenchmarkDueHealthChecks measures the call while no server has to be checked.
func BenchmarkDueHealthChecks(b *testing.B) {
	for _, servers := range []int{18, 112, 850} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p := benchPicker(servers)
			for now := time.Duration(0); b.Loop(); now += time.Second {
				if len(p.DueHealthChecks(now)) > 0 {
					b.Fatal("a health check is due")
				}
			}
		})
	}
}
