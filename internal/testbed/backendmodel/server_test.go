package backendmodel

import (
	"math"
	"testing"
)

func singleCoreConfig() Config { return Config{Cores: 1, Speed: 1, Queue: 10} }

func endTimes(s *Server, until float64) (at []float64) {
	for _, d := range s.Advance(until, nil) {
		at = append(at, d.At)
	}
	return at
}

func TestServerRunsJobsInOrder(t *testing.T) {
	c := singleCoreConfig()
	c.Cores, c.Queue = 2, 1
	s := New(c, 0)
	for id := range uint64(4) {
		if got, want := s.Offer(0, Job{ID: id + 1, WorkMs: 10}), id < 3; got != want {
			t.Errorf("job %d accepted: %v, want %v", id+1, got, want)
		}
	}
	if at := endTimes(s, 100); len(at) != 3 || at[0] != 10 || at[1] != 10 || at[2] != 20 {
		t.Errorf("ended at %v, want 10, 10, 20", at)
	}
}

func TestColdServerIsSlowAndCollapses(t *testing.T) {
	c := singleCoreConfig()
	c.SlowStartFloor, c.SlowStartMs, c.CollapseLoadFactor, c.CollapseWindowMs, c.Queue = 0.1, 1000, 2, 100, 1000
	s := New(c, 1)
	s.Offer(1, Job{ID: 1, WorkMs: 1})
	if at := endTimes(s, 100); len(at) != 1 || math.Abs(at[0]-11) > 1e-9 {
		t.Errorf("1 ms of work on a tenth of the capacity ended at %v, want 11", at)
	}
	for range 40 { // 40 ms of work: the server survives 2 times its capacity of 10 ms, and 3 jobs more
		s.Offer(12, Job{WorkMs: 1})
	}
	if !s.Collapsed() {
		t.Error("a cold server survived four times its capacity")
	}
	warm := New(c, 0)
	for range 400 {
		warm.Offer(12, Job{WorkMs: 1})
	}
	if warm.Collapsed() {
		t.Error("a warm server collapsed")
	}
}

func TestCachedKeysSaveWorkUntilTheyExpire(t *testing.T) {
	c := singleCoreConfig()
	c.KeyTTLMs, c.KeySaving, c.MaxKeys = 100, 0.5, 1
	s := New(c, 0)
	duration := func(at float64, key uint64) float64 {
		s.Offer(at, Job{ID: 1, Key: key, WorkMs: 10})
		return endTimes(s, at+50)[0] - at
	}
	for i, c := range []struct {
		at   float64
		key  uint64
		want float64
	}{{0, 7, 10}, {60, 7, 5}, {200, 7, 10}, {250, 8, 10}, {300, 7, 10}} {
		if got := duration(c.at, c.key); got != c.want {
			t.Errorf("request %d took %v ms, want %v", i, got, c.want)
		}
	}
}

func TestServerStalls(t *testing.T) {
	c := singleCoreConfig()
	c.StallEveryMs, c.StallForMs, c.StallAtMs = 100, 20, 50
	s := New(c, 0)
	s.Offer(45, Job{ID: 1, WorkMs: 10})
	s.Offer(45, Job{ID: 2, WorkMs: 85})
	if at := endTimes(s, 500); at[0] != 75 || at[1] != 180 {
		t.Errorf("ended at %v, want 75 and 180", at)
	}
}

func TestOverloadedServerRecoversWhenIdle(t *testing.T) {
	c := singleCoreConfig()
	c.OverloadQueue, c.OverloadAfterMs, c.OverloadSlowdown, c.OverloadIdleMs, c.MaxOverloadMs = 2, 50, 3, 100, 1e6
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

func TestLoadCountsQueuedAndRunningJobs(t *testing.T) {
	s := New(singleCoreConfig(), 0)
	s.Offer(0, Job{ID: 1, WorkMs: 5000})
	s.Offer(0, Job{ID: 2, WorkMs: 5000})
	if l := s.Load(4000); l.Inflight != 2 || l.Util < 0.9 {
		t.Errorf("load %+v, want 2 requests at nearly full utilization", l)
	}
	if !s.Cancel(4000, 2) || s.Cancel(4000, 1) {
		t.Error("a job can be cancelled if and only if it waits")
	}
}

// No work is done during a stall, also where a time is rounded to just before one: a simulation hung there because
// its time no longer advanced.
func TestWorkPastStalls(t *testing.T) {
	s := &Server{cfg: Config{StallEveryMs: 1000, StallForMs: 200}}
	for _, c := range []struct{ now, durationMs, want float64 }{
		{200, 800, 1000}, {200, 801, 1201}, {0, 10, 210}, {100, 10, 210}, {300, 100, 400},
		{900, 100 + 800 + 800 + 1, 3201}, {900, 100 + 800, 2000},
		{math.Nextafter(1050000, 0), 50, 1050250}, {1050000, 50, 1050250},
	} {
		if got := s.endOf(c.now, c.durationMs); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%v ms of work from %v on end at %v, want %v", c.durationMs, c.now, got, c.want)
		}
	}
}
