package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

// BenchmarkServices records a request and tries a retry for each of several services in turn.
func BenchmarkServices(b *testing.B) {
	for _, services := range []int{1, 6, 1000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			budget := New(0.2, 10*time.Second, 58)
			budget.SetAgentCount(0, 367)
			names := make([]string, services)
			for i := range names {
				names[i] = fmt.Sprintf("service-%d", i)
			}
			b.ReportAllocs()
			for i, now := 0, time.Duration(0); b.Loop(); i++ {
				now += time.Millisecond
				budget.RecordRequest(now, names[i%services])
				budget.TryRetry(now, names[i%services])
			}
		})
	}
}

// BenchmarkHeap measures the memory that each counted service takes.
func BenchmarkHeap(b *testing.B) {
	const services = 1000
	var bytes int64
	for b.Loop() {
		bytes = heapsize.Of(func() any {
			budget := New(0.2, 10*time.Second, 58)
			for i := range services {
				budget.RecordRequest(time.Second, fmt.Sprintf("service-%d", i))
			}
			return budget
		})
	}
	b.ReportMetric(float64(bytes)/services, "B/service")
}

// BenchmarkTryRetry records a request and tries a retry for a single service.
func BenchmarkTryRetry(b *testing.B) {
	budget := New(0.2, window, 58)
	budget.SetAgentCount(0, 9)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		budget.RecordRequest(now, "s")
		budget.TryRetry(now, "s")
	}
}
