package outlier

import (
	"slices"
	"testing"
	"time"
)

const window = 10 * time.Second

var hostOne, hostTwo = Host{ID: "s-1"}, Host{ID: "s-2"}

func newLog() *Log {
	l := New(window)
	l.SetHosts([]ListedHost{{hostOne, "a", 1}, {hostTwo, "a", 3}, {Host{ID: "s-3"}, "b", 2}})
	return l
}

func TestRecordVerdicts(t *testing.T) {
	type attempt struct {
		outcome Outcome
		sec     float64
	}
	for _, c := range []struct {
		name      string
		attempts  []attempt
		now       float64
		unhealthy bool
		healthy   bool
	}{
		{"nothing", nil, 1, false, false},
		{"one failure and nothing else", []attempt{{Failure, 1}}, 2, true, false},
		{"one failure after several successes", []attempt{{Success, 1}, {Success, 2}, {Success, 3}, {Failure, 4}}, 5,
			true, false},
		{"two failures in a row after several successes", []attempt{{Success, 1}, {Success, 2}, {Success, 3},
			{Failure, 4}, {NoAnswer, 5}}, 6, true, false},
		{"a success after failures", []attempt{{Failure, 1}, {Failure, 2}, {Success, 3}}, 4, false, true},
		{"overload", []attempt{{Overloaded, 1}, {Overloaded, 2}}, 3, false, false},
		{"failures outside the window", []attempt{{Failure, 1}, {Failure, 2}}, 13, false, false},
		{"a success outside the window", []attempt{{Success, 1}}, 12, false, false},
		{"alternating outcomes", []attempt{{Success, 1}, {Failure, 2}, {Success, 3}, {Failure, 4}}, 5, true, false},
	} {
		l := newLog()
		for _, a := range c.attempts {
			end := time.Duration(a.sec * float64(time.Second))
			l.Observe(Observation{Host: hostOne, Outcome: a.outcome, LatencyRatio: 1, Sent: end - time.Millisecond,
				Ended: end})
		}
		now := time.Duration(c.now * float64(time.Second))
		r, _ := l.Record(hostOne, now)
		if r.Unhealthy(now, window) != c.unhealthy || r.Healthy(now, window) != c.healthy {
			t.Errorf("%s: unhealthy %v, healthy %v: %+v", c.name, r.Unhealthy(now, window), r.Healthy(now, window), r)
		}
		if got := len(l.Suspects(now, window)); (got > 0) != c.unhealthy {
			t.Errorf("%s: %d suspects", c.name, got)
		}
	}
}

// Slow answers do not count against a host during a short pause, but they do once the slowness lasts.
func TestShortSlownessIsIgnored(t *testing.T) {
	l := newLog()
	observe := func(ms int, latencyRatio float64) {
		end := time.Duration(ms) * time.Millisecond
		l.Observe(Observation{Host: hostOne, Outcome: Success, LatencyRatio: latencyRatio,
			Sent: end - 10*time.Millisecond, Ended: end})
	}
	for i := range 20 {
		observe(i, 0.1)
	}
	for _, c := range []struct {
		ms           int
		latencyRatio float64
		unhealthy    bool
	}{{1000, 0.8, false}, {1100, 0.9, false}, {1900, 0.8, false}, {2100, 0.8, true},
		{2200, 0.1, false}, {2300, 0.8, false}} {
		observe(c.ms, c.latencyRatio)
		now := time.Duration(c.ms) * time.Millisecond
		if r, _ := l.Record(hostOne, now); r.Unhealthy(now, window) != c.unhealthy {
			t.Errorf("at %d ms: unhealthy %v: %+v", c.ms, !c.unhealthy, r)
		}
	}
}

// The success of an attempt that was sent before a failure does not show that the host recovered.
func TestLateSuccessDoesNotClearAFailure(t *testing.T) {
	l := newLog()
	l.Observe(Observation{Host: hostOne, Outcome: Failure, Sent: 2 * time.Second, Ended: 2 * time.Second})
	l.Observe(Observation{Host: hostOne, Outcome: Success, LatencyRatio: 0.1, Sent: time.Second,
		Ended: 3 * time.Second})
	if r, _ := l.Record(hostOne, 4*time.Second); r.Healthy(4*time.Second, window) {
		t.Errorf("the host counts as healthy: %+v", r)
	}
}

// A restarted process starts with an empty history, and hosts that are no longer listed have none.
func TestIncarnationsHaveSeparateHistories(t *testing.T) {
	l := newLog()
	l.Observe(Observation{Host: hostOne, Outcome: Failure, Sent: 1, Ended: 1})
	restarted := Host{ID: "s-1", Incarnation: 9}
	l.SetHosts([]ListedHost{{restarted, "a", 1}})
	l.Observe(Observation{Host: hostOne, Outcome: Failure, Sent: 2, Ended: 2}) // a late result of the old process
	if r, ok := l.Record(restarted, 3); !ok || r.Attempts != 0 {
		t.Errorf("record of the new process: %+v, %v", r, ok)
	}
	for _, h := range []Host{hostOne, hostTwo} {
		if _, ok := l.Record(h, 3); ok {
			t.Errorf("%v still has a record", h)
		}
	}
}

// An answer is slow if it takes several times the usual latency and a large fraction of its target. A
// time-out of a client with hardly any time left counts neither for nor against the host.
func TestClassificationOfSlowAndUnanswered(t *testing.T) {
	l := newLog()
	for i := range 50 {
		l.Observe(Observation{Host: hostTwo, Outcome: Success, LatencyRatio: 0.2, Sent: time.Duration(i),
			Ended: time.Duration(i)})
	}
	for _, c := range []struct {
		outcome      Outcome
		latencyRatio float64
		want         Outcome
	}{{Success, 0.3, Success}, {Success, 0.55, Success}, {Success, 0.7, Slow}, {NoAnswer, 0.1, Overloaded},
		{NoAnswer, 0.9, NoAnswer}, {NoAnswer, 1, NoAnswer}} {
		if got := l.Observe(Observation{Host: hostOne, Outcome: c.outcome, LatencyRatio: c.latencyRatio, Sent: 100,
			Ended: 100}); got != c.want {
			t.Errorf("%v after %.2f of the latency target is %v, want %v", c.outcome, c.latencyRatio, got, c.want)
		}
	}
	empty := newLog()
	if got := empty.Observe(Observation{Host: hostOne, Outcome: NoAnswer, LatencyRatio: 0.9}); got != Overloaded {
		t.Errorf("without a usual latency, a time-out before the latency target is %v", got)
	}
}

// When the whole fleet becomes slow, its latency becomes the usual one.
func TestUsualLatencyFollowsASlowFleet(t *testing.T) {
	l := newLog()
	slow := 0
	for i := range 600 {
		latencyRatio := 0.2
		if i >= 50 {
			latencyRatio = 0.9
		}
		if l.Observe(Observation{Host: hostTwo, Outcome: Success, LatencyRatio: latencyRatio, Sent: time.Duration(i),
			Ended: time.Duration(i)}) == Slow {
			slow++
		}
	}
	if slow == 0 || slow > 60 {
		t.Errorf("%d of 550 answers counted as slow", slow)
	}
}

func TestWeightsAndUnhealthyFraction(t *testing.T) {
	l := newLog()
	if fraction, zone := l.Weight(hostTwo); fraction != 0.75 || zone != "a" {
		t.Errorf("weight %v of zone %s", fraction, zone)
	}
	l.Observe(Observation{Host: hostOne, Outcome: Failure, Sent: 1, Ended: 1})
	l.Observe(Observation{Host: hostTwo, Outcome: Success, LatencyRatio: 0.1, Sent: 1, Ended: 1})
	if fraction, observed := l.UnhealthyFraction(2); fraction != 0.5 || observed != 2 {
		t.Errorf("fraction %v of %d observed hosts", fraction, observed)
	}
}

// The summary of a zone counts its hosts, those with attempts in the window, and the unhealthy ones.
func TestZoneSummary(t *testing.T) {
	l := New(10 * time.Second)
	var hosts []ListedHost
	for i, zone := range []string{"b", "a", "b", "b"} {
		hosts = append(hosts, ListedHost{Host{ID: string(rune('p' + i))}, zone, float64(i + 1)})
	}
	l.SetHosts(hosts)
	l.Observe(Observation{Host: hosts[0].Host, Outcome: Failure, Sent: time.Second, Ended: time.Second})
	l.Observe(Observation{Host: hosts[2].Host, Outcome: Success, Sent: time.Second, Ended: time.Second})
	for i, utilization := range []float64{0.25, 0.75, -1} { // the last reports none
		l.Observe(Observation{Host: hosts[2].Host, Outcome: Success, Probe: true, Utilization: utilization,
			Sent: time.Second, Ended: time.Second + time.Duration(i)})
	}
	want := []Zone{{Name: "a", Weight: 2}, {Name: "b", Weight: 8, Observed: 2, Unhealthy: 1, WithFailures: 1,
		Attempts: 2, Failures: 1, Utilization: 0.5, UtilizationSamples: 2}}
	if got := l.Zones(2 * time.Second); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	want[1] = Zone{Name: "b", Weight: 8}
	if got := l.Zones(time.Minute); !slices.Equal(got, want) {
		t.Errorf("a minute later %v, want %v", got, want)
	}
}
