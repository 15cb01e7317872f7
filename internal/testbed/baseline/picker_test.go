package baseline

import "testing"

// servers returns servers with the given numbers of requests in flight.
func servers(inFlight ...int) (s []Server) {
	for i, n := range inFlight {
		s = append(s, Server{Index: i, InFlight: n, Expected: func() float64 { return float64(10 - n) }})
	}
	return s
}

// counts returns how often each of the servers is picked in 4,000 picks.
func counts(t *testing.T, name string, s []Server) []int {
	t.Helper()
	p, err := New(name, 1)
	if err != nil {
		t.Fatal(err)
	}
	n := make([]int, len(s))
	for range 4000 {
		n[p.Pick(s)]++
	}
	return n
}

func TestPickers(t *testing.T) {
	for _, c := range []struct {
		name               string
		minPicks, maxPicks []int // of 4,000 picks among servers with 0, 2, 5 and 0 requests in flight
	}{
		{"random", []int{900, 900, 900, 900}, []int{1100, 1100, 1100, 1100}},
		{"round-robin", []int{1000, 1000, 1000, 1000}, []int{1000, 1000, 1000, 1000}},
		{"two-choices", []int{1300, 600, 150, 1300}, []int{1700, 900, 350, 1700}},
		{"least-request", []int{1700, 0, 0, 1700}, []int{2300, 0, 0, 2300}},
		{"clairvoyant", []int{0, 0, 4000, 0}, []int{0, 0, 4000, 0}},
	} {
		for i, n := range counts(t, c.name, servers(0, 2, 5, 0)) {
			if n < c.minPicks[i] || n > c.maxPicks[i] {
				t.Errorf("%s: server %d picked %d times, want %d to %d", c.name, i, n, c.minPicks[i], c.maxPicks[i])
			}
		}
	}
	if _, err := New("best", 1); err == nil {
		t.Error("New returned a picker of an unknown name")
	}
}

func TestEachNameHasAPicker(t *testing.T) {
	if len(Names()) != len(constructors) {
		t.Errorf("%d names for %d pickers", len(Names()), len(constructors))
	}
	for _, n := range Names() {
		if counts(t, n, servers(1))[0] != 4000 {
			t.Errorf("%s does not pick the only server", n)
		}
	}
}
