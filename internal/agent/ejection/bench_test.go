package ejection

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// A site with one unhealthy host of 48 and 20 attempts a second of each member: messages a second
// of a member in calm, the most in a second while it is voted out, the simulated time until all
// hold it ejected, and how many of its requests failed by then.
func BenchmarkSite(b *testing.B) {
	for _, n := range []int{3, 13, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				s := newConvergedSim(b, 1, n, 48)
				before := s.sent
				s.run(2 * time.Second)
				calm := float64(s.sent-before) / 2 / float64(n)
				h := s.hosts[0].Host
				s.outcomes[h] = outlier.Failure
				from, worst := s.now, 0.0
				for s.ejectedAt(h) < n && s.now-from < time.Minute {
					before = s.sent
					for second := s.now + time.Second; s.now < second && s.ejectedAt(h) < n; {
						s.run(tick)
					}
					worst = max(worst, float64(s.sent-before)/float64(n))
				}
				b.ReportMetric(calm, "idle-messages/s")
				b.ReportMetric(worst, "max-messages/s")
				b.ReportMetric(float64((s.now - from).Milliseconds()), "sim-ms-to-eject")
				b.ReportMetric(float64(s.failed)/float64(n), "failed/member")
			}
		})
	}
}
