package chain

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// One change of a route at the head, by the size of the configuration, up to what goes to the disk.
func BenchmarkApply(b *testing.B) {
	check := func(cur []byte, o *Update) ([]byte, int64, error) { return config.Apply(cur, o.Patch, o.Body) }
	for _, tenants := range []int{0, 650, 6500} {
		size := sampling.Size{Routes: 60, Services: 6, Tenants: tenants}
		cur, _, final := Apply(&Value{}, &Update{Body: sampling.Config(1, size)}, check)
		if final {
			b.Fatal("refused")
		}
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(cur.Body)), "B/configuration")
			o := &Update{Patch: true, IfMatch: 1, Body: sampling.Change(2, size)}
			for b.Loop() {
				if next, _, _ := Apply(cur, o, check); next == nil {
					b.Fatal("refused")
				}
			}
		})
		b.Run(fmt.Sprintf("sum/tenants=%d", tenants), func(b *testing.B) {
			for b.Loop() {
				cur.Checksum()
			}
		})
	}
}

// remembering is a value of a configuration of about 20 KB whose memory is full.
func remembering(b *testing.B) *Value {
	value := &Value{}
	body := sampling.Config(1, sampling.Size{Routes: 60, Services: 6, Tenants: 20})
	check := func(_ []byte, o *Update) ([]byte, int64, error) { return body, o.IfMatch + 1, nil }
	for range MaxRecentUpdates + MaxOlderUpdates {
		next, _, final := Apply(value, &Update{IfMatch: value.Revision}, check)
		if final {
			b.Fatal("refused")
		}
		value = next
	}
	return value
}

// What a push carries and costs to encode, and what the memory adds to a change.
func BenchmarkMemory(b *testing.B) {
	value := remembering(b)
	check := func(cur []byte, o *Update) ([]byte, int64, error) { return cur, o.IfMatch + 1, nil }
	b.Run("encode", func(b *testing.B) {
		raw, err := msgpack.Marshal(&Push{Value: *value})
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := msgpack.Marshal(&Push{Value: *value}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(value.Body)), "B/configuration")
		b.ReportMetric(float64(len(raw)), "B/push")
	})
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if next, _, _ := Apply(value, &Update{IfMatch: value.Revision, Body: []byte("new")}, check); next == nil {
				b.Fatal("refused")
			}
		}
	})
}
