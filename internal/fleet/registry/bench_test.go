package registry

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

const benchHeartbeatInterval = 1200 * time.Millisecond

func benchInstance(i int) *Instance {
	return &Instance{ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprintf("service-%d", i%6), Addr: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250),
		Zone: "zone-a", Revision: "v1", Slots: 64, Seq: 1, Models: []Model{{"model-a", 1}}}
}

// filledTable returns a table with a number of servers, of which localServers send their heartbeats to it.
func filledTable(servers, localServers int) *Table {
	t := NewTable("self", benchHeartbeatInterval)
	for i := range servers {
		if i < localServers {
			_, _ = t.Heartbeat(time.Second, benchInstance(i))
		} else {
			t.Report(time.Second, fmt.Sprintf("edge-%d", i%360), benchInstance(i))
		}
	}
	return t
}

// BenchmarkHeartbeat measures a heartbeat that changes nothing.
func BenchmarkHeartbeat(b *testing.B) {
	t := filledTable(850, 3)
	instances := []*Instance{benchInstance(0), benchInstance(0)}
	b.ReportAllocs()
	for n := uint64(2); b.Loop(); n++ {
		instance := instances[n%2] // not the latest one, which the table retains
		instance.Seq = n
		if update, err := t.Heartbeat(time.Second, instance); update != nil || err != nil {
			b.Fatal("heartbeat without a change was published or failed", update, err)
		}
	}
}

// BenchmarkTick measures a tick at which nothing expires.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{18, 112, 850} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			t := filledTable(servers, 3)
			b.ReportAllocs()
			for b.Loop() {
				t.Tick(time.Second, false)
			}
		})
	}
}

// BenchmarkList measures building the list after one server has changed.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{18, 112, 850} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			t := filledTable(servers, 3)
			instance := *benchInstance(servers - 1)
			b.ReportAllocs()
			for b.Loop() {
				next := instance
				next.Seq++
				instance = next
				t.Report(time.Second, fmt.Sprintf("edge-%d", (servers-1)%360), &next)
				if len(t.List().ByID) != servers {
					b.Fatal("a server is not listed")
				}
			}
		})
	}
}

// BenchmarkHeap measures the memory per server of a table and its list.
func BenchmarkHeap(b *testing.B) {
	const servers = 8000
	var bytes int64
	for b.Loop() {
		bytes = heapsize.Of(func() any {
			t := filledTable(servers, 3)
			t.List()
			return t
		})
	}
	b.ReportMetric(float64(bytes)/servers, "B/server")
}
