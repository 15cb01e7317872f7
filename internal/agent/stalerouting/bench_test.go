package stalerouting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkUplink tells how finding out grows with a site: for each member, words a second in
// calm and in the worst second of a loss, and how long until all know it, in simulated time. Each
// op is a loss and a return.
func BenchmarkUplink(b *testing.B) {
	for _, n := range []int{3, 40, 100, 300} {
		b.Run(fmt.Sprint(n, " members"), func(b *testing.B) {
			calm, most, knows := 0.0, 0.0, time.Duration(0)
			for b.Loop() {
				up := true
				members := make([]*Uplink, n)
				var names []string
				for i := range n {
					names = append(names, fmt.Sprint(i))
				}
				rng := rand.New(rand.NewPCG(1, 1))
				for i := range n {
					cfg := Defaults()
					cfg.Self, cfg.Members, cfg.Seed = names[i], names, uint64(i)
					u, err := NewUplink(cfg, 1)
					if err != nil {
						b.Fatal(err)
					}
					u.SetRemoteAgents(0, []string{"x", "y"})
					members[i] = u
				}
				sent, second, worst, all := 0, 0, 0, time.Duration(0)
				index := map[string]int{}
				for i, name := range names {
					index[name] = i
				}
				for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
					if now == 10*time.Second {
						up, calm = false, float64(sent)/10/float64(n)
					}
					if now%time.Second == 0 {
						worst, second = max(worst, second), 0
					}
					dark := 0
					for _, i := range rng.Perm(n) {
						out := members[i].Tick(now, 1)
						if up && (len(out.Pings) > 0 || out.QueryDiscovery) {
							members[i].Observe(now, PingAnswered)
						}
						for _, to := range out.Recipients {
							sent++
							second++
							_ = members[index[to]].Receive(now, out.Heartbeat)
						}
						if out.Phase == Isolated {
							dark++
						}
					}
					if dark == n && all == 0 {
						all = now - 10*time.Second
					}
				}
				most, knows = float64(worst)/float64(n), all
			}
			b.ReportMetric(calm, "words/s-calm")
			b.ReportMetric(most, "words/s-most")
			b.ReportMetric(float64(knows.Milliseconds()), "ms-to-know")
		})
	}
}
