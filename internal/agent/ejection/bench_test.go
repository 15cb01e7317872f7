package ejection

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// BenchmarkSite simulates a site of 48 hosts, one of which becomes unhealthy, with 20 attempts per second
// and member. It reports the messages per second and member while idle and the maximum while the host is
// ejected, the simulated time until all members hold it ejected, and the failed requests per member until
// then.
func BenchmarkSite(b *testing.B) {
	for _, n := range []int{3, 13, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				s := newConvergedSim(b, 1, n, 48)
				before := s.sent
				s.run(2 * time.Second)
				idle := float64(s.sent-before) / 2 / float64(n)
				h := s.hosts[0].Host
				s.outcomes[h] = outlier.Failure
				start, maxMessages := s.now, 0.0
				for s.ejectedAt(h) < n && s.now-start < time.Minute {
					before = s.sent
					for second := s.now + time.Second; s.now < second && s.ejectedAt(h) < n; {
						s.run(tick)
					}
					maxMessages = max(maxMessages, float64(s.sent-before)/float64(n))
				}
				b.ReportMetric(idle, "idle-messages/s")
				b.ReportMetric(maxMessages, "max-messages/s")
				b.ReportMetric(float64((s.now - start).Milliseconds()), "sim-ms-to-eject")
				b.ReportMetric(float64(s.failed)/float64(n), "failed/member")
			}
		})
	}
}
