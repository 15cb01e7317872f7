package stalerouting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkUplink measures how the detection of a lost uplink scales with the size of a site. It reports the
// heartbeats per member and second while connected, the maximum after the loss, and the simulated time until
// all members are isolated. Each iteration simulates 10 s with the uplink and 10 s without.
func BenchmarkUplink(b *testing.B) {
	for _, n := range []int{3, 40, 100, 300} {
		b.Run(fmt.Sprint(n, " members"), func(b *testing.B) {
			idle, maxHeartbeats, detection := 0.0, 0.0, time.Duration(0)
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
				sent, sentThisSecond, worstSecond, detected := 0, 0, 0, time.Duration(0)
				index := map[string]int{}
				for i, name := range names {
					index[name] = i
				}
				for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
					if now == 10*time.Second {
						up, idle = false, float64(sent)/10/float64(n)
					}
					if now%time.Second == 0 {
						worstSecond, sentThisSecond = max(worstSecond, sentThisSecond), 0
					}
					isolated := 0
					for _, i := range rng.Perm(n) {
						out := members[i].Tick(now, 1)
						if up && (len(out.Pings) > 0 || out.QueryDiscovery) {
							members[i].Observe(now, PingAnswered)
						}
						for _, to := range out.Recipients {
							sent++
							sentThisSecond++
							_ = members[index[to]].Receive(now, out.Heartbeat)
						}
						if out.Phase == Isolated {
							isolated++
						}
					}
					if isolated == n && detected == 0 {
						detected = now - 10*time.Second
					}
				}
				maxHeartbeats, detection = float64(worstSecond)/float64(n), detected
			}
			b.ReportMetric(idle, "idle-heartbeats/s")
			b.ReportMetric(maxHeartbeats, "max-heartbeats/s")
			b.ReportMetric(float64(detection.Milliseconds()), "sim-ms-to-detect")
		})
	}
}
