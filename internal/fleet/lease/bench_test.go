package lease

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

// granted is a table of so many agents, each with one lease at a core machine of seven.
func granted(agents int) *Table {
	t := New(2500 * time.Millisecond)
	for i := range agents {
		t.Grant(time.Second, fmt.Sprintf("edge-%d/0123456789ab", i), fmt.Sprintf("core-%d/0123456789ab", i%7))
	}
	return t
}

func BenchmarkLapsed(b *testing.B) {
	for _, agents := range []int{30, 100, 367} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			t := granted(agents)
			b.ReportAllocs()
			for b.Loop() {
				if len(t.Expired(time.Second)) > 0 {
					b.Fatal("lapsed")
				}
			}
		})
	}
}

func BenchmarkHeap(b *testing.B) {
	const agents = 3000
	var bytes int64
	for b.Loop() {
		bytes = heapsize.Of(func() any { return granted(agents) })
	}
	b.ReportMetric(float64(bytes)/agents, "B/agent")
}
