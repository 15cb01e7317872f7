package backendmodel

import (
	"math"
	"testing"
)

func one() Config { return Config{Cores: 1, Speed: 1, Queue: 10} }

func ends(s *Server, until float64) (at []float64) {
	for _, d := range s.Advance(until, nil) {
		at = append(at, d.At)
	}
	return at
}

func TestServerWorksInTurn(t *testing.T) {
	c := one()
	c.Cores, c.Queue = 2, 1
	s := New(c, 0)
	for id := range uint64(4) {
		if got, want := s.Offer(0, Job{ID: id + 1, WorkMs: 10}), id < 3; got != want {
			t.Errorf("job %d taken: %v, want %v", id+1, got, want)
		}
	}
	if at := ends(s, 100); len(at) != 3 || at[0] != 10 || at[1] != 10 || at[2] != 20 {
		t.Errorf("ended at %v, want 10, 10, 20", at)
	}
}

func TestColdServerIsSlowAndTopples(t *testing.T) {
	c := one()
	c.ColdFrom, c.ColdMs, c.TipMultiple, c.TipMs, c.Queue = 0.1, 1000, 2, 100, 1000
	s := New(c, 1)
	s.Offer(1, Job{ID: 1, WorkMs: 1})
	if at := ends(s, 100); len(at) != 1 || math.Abs(at[0]-11) > 1e-9 {
		t.Errorf("1 ms of work on a tenth of the capacity ended at %v, want 11", at)
	}
	for range 40 { // 40 ms of work, where 2 times 10 ms and slack for 3 jobs may come
		s.Offer(12, Job{WorkMs: 1})
	}
	if !s.Down() {
		t.Error("bore four times its capacity")
	}
	warm := New(c, 0)
	for range 400 {
		warm.Offer(12, Job{WorkMs: 1})
	}
	if warm.Down() {
		t.Error("a warm server toppled")
	}
}

func TestKnownKeysSaveWorkForATime(t *testing.T) {
	c := one()
	c.KeyTTLMs, c.KeySaving, c.KeyMost = 100, 0.5, 1
	s := New(c, 0)
	took := func(at float64, key uint64) float64 {
		s.Offer(at, Job{ID: 1, Key: key, WorkMs: 10})
		return ends(s, at+50)[0] - at
	}
	for i, c := range []struct {
		at   float64
		key  uint64
		want float64
	}{{0, 7, 10}, {60, 7, 5}, {200, 7, 10}, {250, 8, 10}, {300, 7, 10}} {
		if got := took(c.at, c.key); got != c.want {
			t.Errorf("request %d took %v ms, want %v", i, got, c.want)
		}
	}
}

func TestServerStandsStill(t *testing.T) {
	c := one()
	c.StallEveryMs, c.StallForMs, c.StallAtMs = 100, 20, 50
	s := New(c, 0)
	s.Offer(45, Job{ID: 1, WorkMs: 10})
	s.Offer(45, Job{ID: 2, WorkMs: 85})
	if at := ends(s, 500); at[0] != 75 || at[1] != 180 {
		t.Errorf("ended at %v, want 75 and 180", at)
	}
}

func TestChokedServerRecoversWhenIdle(t *testing.T) {
	c := one()
	c.ChokeQueue, c.ChokeAfterMs, c.ChokeFactor, c.ChokeIdleMs, c.ChokeMostMs = 2, 50, 3, 100, 1e6
	s := New(c, 0)
	for id := range uint64(9) {
		s.Offer(0, Job{ID: id + 1, WorkMs: 10})
	}
	s.Advance(60, nil)
	if got := s.Capacity(60); math.Abs(got-1.0/3) > 1e-9 {
		t.Errorf("capacity %v after 60 ms of a long queue, want a third", got)
	}
	s.Advance(1000, nil)
	s.Advance(1001, nil)
	s.Advance(1102, nil)
	if got := s.Capacity(1102); got != 1 {
		t.Errorf("capacity %v after it was idle, want 1", got)
	}
}

func TestLoadTellsWhatIsThere(t *testing.T) {
	s := New(one(), 0)
	s.Offer(0, Job{ID: 1, WorkMs: 5000})
	s.Offer(0, Job{ID: 2, WorkMs: 5000})
	if l := s.Load(4000); l.Inflight != 2 || l.Util < 0.9 {
		t.Errorf("load %+v, want 2 requests at nearly full use", l)
	}
	if !s.Cancel(4000, 2) || s.Cancel(4000, 1) {
		t.Error("only what waits can be withdrawn")
	}
}

// Work stands still in each stall, also where a time falls just before one by rounding: a
// play hung there, as the time no longer moved.
func TestWorkPastStalls(t *testing.T) {
	s := &Server{cfg: Config{StallEveryMs: 1000, StallForMs: 200}}
	for _, c := range []struct{ now, took, want float64 }{
		{200, 800, 1000}, {200, 801, 1201}, {0, 10, 210}, {100, 10, 210}, {300, 100, 400},
		{900, 100 + 800 + 800 + 1, 3201}, {900, 100 + 800, 2000},
		{math.Nextafter(1050000, 0), 50, 1050250}, {1050000, 50, 1050250},
	} {
		if got := s.after(c.now, c.took); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%v ms of work from %v end at %v, want %v", c.took, c.now, got, c.want)
		}
	}
}
