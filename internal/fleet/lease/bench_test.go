package lease

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

// coreMachines is the number of control plane machines that grant leases.
const coreMachines = 7

// tableOf returns a table of agents with one lease each.
func tableOf(agents int) *Table {
	table := New(leaseDuration)
	for i := range agents {
		table.Grant(time.Second,
			fmt.Sprintf("edge-%d/0123456789ab", i), fmt.Sprintf("core-%d/0123456789ab", i%coreMachines))
	}
	return table
}

func BenchmarkExpired(b *testing.B) {
	for _, agents := range []int{30, 100, 367} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			table := tableOf(agents)
			b.ReportAllocs()
			for b.Loop() {
				if len(table.Expired(time.Second)) > 0 {
					b.Fatal("a lease has expired")
				}
			}
		})
	}
}

func BenchmarkHeap(b *testing.B) {
	const agents = 3000
	var bytes int64
	for b.Loop() {
		bytes = heapsize.Of(func() any { return tableOf(agents) })
	}
	b.ReportMetric(float64(bytes)/agents, "B/agent")
}
