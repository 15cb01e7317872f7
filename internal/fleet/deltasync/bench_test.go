package deltasync

import (
	"fmt"
	"testing"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

// itemBytes is the approximate size of a server's item.
const itemBytes = 110

// filledStore returns a store with the given number of sources, over which the given number of items is spread
// evenly.
func filledStore(sources, items int) *Store {
	store := NewStore("self/0")
	for i := range sources {
		name := fmt.Sprintf("edge-%d/0123456789ab", i)
		delta := Delta{Source: name}
		for j := range (items + sources - 1 - i) / sources {
			delta.To++
			delta.Items = append(delta.Items, Item{Key: fmt.Sprintf("i/i-%04d%04d", i, j), Version: delta.To, Data: make([]byte, itemBytes)})
		}
		if delta.To == 0 {
			delta.To = 1
		}
		store.Apply([]Delta{delta})
	}
	return store
}

// BenchmarkDeltasSince measures what each session costs a relay at each change, even if the peer lacks nothing.
func BenchmarkDeltasSince(b *testing.B) {
	for _, sources := range []int{30, 100, 367} {
		for _, lacks := range []int{0, 1} {
			b.Run(fmt.Sprintf("sources=%d/lacks=%d", sources, lacks), func(b *testing.B) {
				store := filledStore(sources, 850)
				vector := store.Vector()
				for i := range lacks {
					vector[store.Sources()[i]]--
				}
				b.ReportAllocs()
				for b.Loop() {
					if len(store.DeltasSince(vector)) != lacks {
						b.Fatal("wrong number of deltas")
					}
				}
			})
		}
	}
}

// BenchmarkDeltasSinceNothing measures the deltas for a peer that has nothing.
func BenchmarkDeltasSinceNothing(b *testing.B) {
	s := filledStore(367, 850)
	b.ReportAllocs()
	for b.Loop() {
		s.DeltasSince(nil)
	}
}

func BenchmarkApply(b *testing.B) {
	for _, sources := range []int{30, 367} {
		b.Run(fmt.Sprintf("sources=%d", sources), func(b *testing.B) {
			store := filledStore(sources, 850)
			name := store.Sources()[0]
			version, data := store.Version(name), make([]byte, itemBytes)
			b.ReportAllocs()
			for b.Loop() {
				if len(store.Apply([]Delta{{Source: name, From: version, To: version + 1, Items: []Item{{Key: "i/i-00000000", Version: version + 1, Data: data}}}})) != 1 {
					b.Fatal("the delta was not applied")
				}
				version++
			}
		})
	}
}

// BenchmarkHeap measures the memory per source and per item, including the item's data.
func BenchmarkHeap(b *testing.B) {
	var source, item float64
	for b.Loop() {
		const sources, items = 367, 8500
		few := heapsize.Of(func() any { return filledStore(sources, 0) })
		many := heapsize.Of(func() any { return filledStore(sources, items) })
		source, item = float64(few)/sources, float64(many-few)/items
	}
	b.ReportMetric(source, "B/source")
	b.ReportMetric(item, "B/item")
}
