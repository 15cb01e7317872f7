package conf

import (
	"fmt"
	"testing"

	"chalkdoor.example/chalkdoor/internal/lab/heap"
	"chalkdoor.example/chalkdoor/internal/lab/sample"
)

// What an agent spends for a configuration that comes whole, and what it holds beyond its text.
func BenchmarkSizes(b *testing.B) {
	for _, tenants := range []int{0, 650, 6500} {
		raw := sample.Config(1, sample.Size{Routes: 60, Services: 6, Tenants: tenants})
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
			held := heap.Of(parse)
			for b.Loop() {
				parse()
			}
			b.ReportMetric(float64(len(raw)), "B/configuration")
			b.ReportMetric(float64(held), "B/held-beyond")
		})
	}
}
