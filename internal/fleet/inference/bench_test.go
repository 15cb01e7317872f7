package inference

import (
	"fmt"
	"testing"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

// serversWithCachedPrefixes returns the given number of servers, each with so many tracked prefixes.
func serversWithCachedPrefixes(servers, prefixes int) []*Server {
	latency := NewLatencyModel()
	all := make([]*Server, servers)
	for i := range all {
		s := NewServer(Capacity{Slots: 64, CacheTokens: 600_000, MaxPrefixes: max(prefixes, 1)}, latency)
		for j := range prefixes {
			sequence := s.Begin(0, []Segment{{Mix64(uint64(i*prefixes + j)), 200}}, 200, 10)
			sequence.Events(ms, 1)
			sequence.End(ms, true)
		}
		all[i] = s
	}
	return all
}

// BenchmarkHeap measures the memory of a server and of each prefix that is tracked for it, for several
// numbers of prefixes per server.
func BenchmarkHeap(b *testing.B) {
	const servers = 850
	bare := heapsize.Of(func() any { return serversWithCachedPrefixes(servers, 0) })
	for _, prefixes := range []int{16, 102, 1000} {
		b.Run(fmt.Sprintf("parts=%d", prefixes), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				bytes = heapsize.Of(func() any { return serversWithCachedPrefixes(servers, prefixes) })
			}
			b.ReportMetric(float64(bytes-bare)/servers/float64(prefixes), "B/part")
			b.ReportMetric(float64(bare)/servers, "B/server")
		})
	}
}
