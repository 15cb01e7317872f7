package policy

import (
	"math"
	"testing"
)

func TestEndpointHealth(t *testing.T) {
	health := NewEndpointHealth(10)
	check := func(when string, state State, priority int, now float64) {
		t.Helper()
		if health.State() != state || health.Priority(now, 100) != priority {
			t.Fatalf("%s: state %v priority %d, want %v and %d", when, health.State(),
				health.Priority(now, 100), state, priority)
		}
	}
	check("listed", Unknown, 0, 10)
	if !health.RecordFailure(true, 20) || health.RecordFailure(false, 21) || !health.TimedOut() ||
		health.Since() != 20 {
		t.Fatal("want one ejection by two failures, at the time and of the kind of the first")
	}
	health.RecordEjection()
	check("failed", Unhealthy, 2, 1e9)
	if counts, _ := health.RecordSuccess(15, 30); !counts || health.State() != Connected {
		t.Fatal("after a timeout, a response to an earlier attempt did not set Connected")
	}
	health.RecordFailure(false, 40)
	if counts, _ := health.RecordSuccess(35, 45); counts {
		t.Fatal("a response to an attempt before the failure counts")
	}
	if health.BeginValidation(50, 89) || !health.BeginValidation(50, 90) || health.BeginValidation(50, 500) {
		t.Fatal("want validation to begin once, at the end of the ejection time")
	}
	check("validation begun", UnhealthyPending, 1, 189)
	check("pending time over", UnhealthyPending, 0, 190)
	if health.Priority(1e9, math.Inf(1)) != 1 {
		t.Fatal("with an infinite pending time, the server left the pending tier")
	}
	if _, changed := health.RecordSuccess(100, 110); !changed {
		t.Fatal("a served attempt did not change the state")
	}
	check("served", Connected, 0, 110)
}

func TestEjectionTime(t *testing.T) {
	health := NewEndpointHealth(0)
	for i, want := range []float64{100, 100, 200, 400, 800, 1600, 1600} {
		if got := health.EjectionTime(100, 50); got != want {
			t.Fatalf("after %d ejections the ejection time is %v, want %v", i, got, want)
		}
		health.RecordEjection()
	}
	if health.EjectionTime(10, 500) != 500 || health.EjectionTime(5000, 500) != maxEjectionMs {
		t.Fatal("the ejection time exceeds its bounds")
	}
	ejections := health.Ejections()
	for range 16 * ejections {
		health.RecordSuccess(1, 1)
	}
	if health.Ejections() != ejections-1 {
		t.Fatalf("%d ejections counted after a series of served attempts, want %d", health.Ejections(),
			ejections-1)
	}
}
