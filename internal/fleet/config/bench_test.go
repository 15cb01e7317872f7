package config

import (
	"fmt"
	"testing"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// What an agent spends for a configuration that comes whole, and what it holds beyond its text.
func BenchmarkSizes(b *testing.B) {
	for _, tenants := range []int{0, 650, 6500} {
		raw := sampling.Config(1, sampling.Size{Routes: 60, Services: 6, Tenants: tenants})
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			parse := func() any {
				d, err := Parse(raw)
				if err != nil {
					b.Fatal(err)
				}
				return d
			}
			held := heapsize.Of(parse)
			for b.Loop() {
				parse()
			}
			b.ReportMetric(float64(len(raw)), "B/configuration")
			b.ReportMetric(float64(held), "B/held-beyond")
		})
	}
}
