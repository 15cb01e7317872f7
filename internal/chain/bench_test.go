package chain

import (
	"fmt"
	"testing"

	"chalkdoor.example/chalkdoor/internal/conf"
	"chalkdoor.example/chalkdoor/internal/lab/sample"
)

// One change of a route at the head, by the size of the configuration, up to what goes to the disk.
func BenchmarkApply(b *testing.B) {
	check := func(cur []byte, o *Order) ([]byte, int64, error) { return conf.Next(cur, o.Patch, o.Body) }
	for _, tenants := range []int{0, 650, 6500} {
		size := sample.Size{Routes: 60, Services: 6, Tenants: tenants}
		cur, _, final := Apply(&Value{}, &Order{Body: sample.Config(1, size)}, check)
		if final {
			b.Fatal("refused")
		}
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(cur.Body)), "B/configuration")
			o := &Order{Patch: true, IfMatch: 1, Body: sample.Change(2, size)}
			for b.Loop() {
				if next, _, _ := Apply(cur, o, check); next == nil {
					b.Fatal("refused")
				}
			}
		})
		b.Run(fmt.Sprintf("sum/tenants=%d", tenants), func(b *testing.B) {
			for b.Loop() {
				cur.Sum()
			}
		})
	}
}
