package chain

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// BenchmarkApply measures how long the head takes to compute the next value for a change of one route, by
// the size of the configuration. The sum/ cases measure the checksum of a value.
func BenchmarkApply(b *testing.B) {
	transition := func(current []byte, update *Update) ([]byte, int64, error) {
		return config.Apply(current, update.Patch, update.Body)
	}
	for _, tenants := range []int{0, 650, 6500} {
		size := sampling.Size{Routes: 60, Services: 6, Tenants: tenants}
		current, _, final := Apply(&Value{}, &Update{Body: sampling.Config(1, size)}, transition)
		if final {
			b.Fatal("rejected")
		}
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(current.Body)), "B/configuration")
			update := &Update{Patch: true, IfMatch: 1, Body: sampling.Change(2, size)}
			for b.Loop() {
				if next, _, _ := Apply(current, update, transition); next == nil {
					b.Fatal("rejected")
				}
			}
		})
		b.Run(fmt.Sprintf("sum/tenants=%d", tenants), func(b *testing.B) {
			for b.Loop() {
				current.Checksum()
			}
		})
	}
}

// valueWithFullHistory returns a value with a configuration of about 20 KB and the largest number of
// recorded updates.
func valueWithFullHistory(b *testing.B) *Value {
	b.Helper()
	value := &Value{}
	body := sampling.Config(1, sampling.Size{Routes: 60, Services: 6, Tenants: 20})
	transition := func(_ []byte, update *Update) ([]byte, int64, error) { return body, update.IfMatch + 1, nil }
	for range MaxRecentUpdates + MaxOlderUpdates {
		next, _, final := Apply(value, &Update{IfMatch: value.Revision}, transition)
		if final {
			b.Fatal("rejected")
		}
		value = next
	}
	return value
}

// BenchmarkMemory measures the size and the encoding time of a push, and the cost of an update, with a
// full history.
func BenchmarkMemory(b *testing.B) {
	value := valueWithFullHistory(b)
	transition := func(current []byte, update *Update) ([]byte, int64, error) {
		return current, update.IfMatch + 1, nil
	}
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
			if next, _, _ := Apply(
				value, &Update{IfMatch: value.Revision, Body: []byte("new")}, transition,
			); next == nil {
				b.Fatal("rejected")
			}
		}
	})
}
