package pick

import (
	"testing"
	"time"
)

func TestProbe(t *testing.T) {
	for _, x := range []struct {
		name string
		f    func(uint64) simSite
	}{{"small", small}, {"other", other}} {
		for _, n := range []time.Duration{0, 40} {
			for k := range 6 {
				if k!=0 && k!=5 {continue}
				site := x.f(3)
				site.notice = n * time.Millisecond
				site.noticeLeast = 50 * time.Millisecond
				switch k {
				case 1:
					site.hot = 0.28
				case 2:
					site.slow = map[int]float64{2: 3, 7: 3}
				case 3:
					site.dark = map[int]bool{2: true, 7: true}
				case 4:
					site.agents = 2
				case 5:
					site.shared = true
				}
				r := simulate(site)
				t.Logf("%s notice %d case %d %s dark %d work %.0f", x.name, n, k, r, r.darkSends, r.work[2]/(r.work[3]+1)*100)
			}
		}
	}
}
