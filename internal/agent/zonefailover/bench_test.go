package zonefailover

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures how the time of a decision depends on the number of agents that report. Each iteration is
// one tick. Before it 1/40 of the agents report, as each agent reports every 4 s and a tick comes every 100 ms.
func BenchmarkTick(b *testing.B) {
	for _, agents := range []int{40, 300, 3000} {
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) {
			m, err := New(Defaults(), Table{Version: Version})
			if err != nil {
				b.Fatal(err)
			}
			sites := []string{"a", "b", "c", "d", "e"}
			now, seq := time.Duration(0), uint64(0)
			report := func(i int) {
				seq++
				r := Report{Version: Version, Agent: fmt.Sprint("n", i), Site: sites[i%len(sites)], Incarnation: 1,
					Seq: seq, Rate: 3}
				for _, z := range sites {
					r.Zones = append(r.Zones, ZoneReport{Zone: z, Weight: 40, Observed: 4, Attempts: 30,
						Utilization: 0.5, UtilizationSamples: 4})
				}
				if err := m.Report(now, r); err != nil {
					b.Fatal(err)
				}
			}
			for i := range agents {
				report(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Millisecond
				for i := range max(agents/40, 1) {
					report((int(seq) + i) % agents)
				}
				if next, changed := m.Tick(now); changed {
					m.Committed(next)
				}
			}
		})
	}
}
