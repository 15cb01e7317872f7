package pick

import ("testing"; "time")

func TestTry(t *testing.T) {
	for _, x := range []struct {
		name string
		f    func(uint64) simSite
	}{{"small", small}, {"other", other}, {"grown", grown}} {
		for _, load := range []float64{1, 1.5} {
			for mode := range 2 {
				for _, n := range []time.Duration{0, 10, 40} {
				for _, l := range []time.Duration{0, 50, 100} {
					if n == 0 && l > 0 { continue }
					splitMode, splitScale = mode, 1.2
			site := x.f(1)
			site.load = load
			site.notice = n * time.Millisecond
			site.noticeLeast = l * time.Millisecond
			r := simulate(site)
			t.Logf("%s x%.1f mode %d notice %v %v n %d %s", x.name, load, mode, n, l, r.notices, r)
				}
		}
		}
	}
	}
}
