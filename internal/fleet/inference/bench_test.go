package inference

import (
	"fmt"
	"testing"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

// serversWithCachedPrefixes is so many servers of which parts prompt parts each are remembered.
func serversWithCachedPrefixes(servers, parts int) []*Server {
	speeds := NewLatencyModel()
	all := make([]*Server, servers)
	for i := range all {
		s := NewServer(Capacity{Slots: 64, CacheTokens: 600_000, MaxPrefixes: max(parts, 1)}, speeds)
		for j := range parts {
			r := s.Begin(0, []Segment{{Mix64(uint64(i*parts + j)), 200}}, 200, 10)
			r.Events(ms, 1)
			r.End(ms, true)
		}
		all[i] = s
	}
	return all
}

// What is held for each server, and for each prompt part that is remembered of it, by the number
// of parts of one server.
func BenchmarkHeap(b *testing.B) {
	const servers = 850
	bare := heapsize.Of(func() any { return serversWithCachedPrefixes(servers, 0) })
	for _, parts := range []int{16, 102, 1000} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				bytes = heapsize.Of(func() any { return serversWithCachedPrefixes(servers, parts) })
			}
			b.ReportMetric(float64(bytes-bare)/servers/float64(parts), "B/part")
			b.ReportMetric(float64(bare)/servers, "B/server")
		})
	}
}
