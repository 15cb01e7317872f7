package policy

import (
	"math"
	"testing"
)

func TestEndpointHealth(t *testing.T) {
	x := NewEndpointHealth(10)
	check := func(what string, state State, rank int, now float64) {
		t.Helper()
		if x.State() != state || x.Priority(now, 100) != rank {
			t.Fatalf("%s: state %v rank %d, want %v and %d", what, x.State(), x.Priority(now, 100), state, rank)
		}
	}
	check("listed", Unknown, 0, 10)
	if !x.RecordFailure(true, 20) || x.RecordFailure(false, 21) || !x.TimedOut() || x.Since() != 20 {
		t.Fatal("the failures of one moment demote once, and the first tells how")
	}
	x.RecordEjection()
	check("failed", Unhealthy, 2, 1e9)
	if counts, _ := x.RecordSuccess(15, 30); !counts || x.State() != Connected {
		t.Fatal("an answer ends silence, whenever it was sent")
	}
	x.RecordFailure(false, 40)
	if counts, _ := x.RecordSuccess(35, 45); counts {
		t.Fatal("an attempt sent before the failure says nothing about what came after")
	}
	if x.BeginValidation(50, 89) || !x.BeginValidation(50, 90) || x.BeginValidation(50, 500) {
		t.Fatal("an Unhealthy server is refreshed once, after its hold")
	}
	check("refreshed", UnhealthyPending, 1, 189)
	check("lapsed", UnhealthyPending, 0, 190)
	if x.Priority(1e9, math.Inf(1)) != 1 {
		t.Fatal("without a lapse it stays pending")
	}
	if _, changed := x.RecordSuccess(100, 110); !changed {
		t.Fatal("a served attempt brings it back")
	}
	check("served", Connected, 0, 110)
}

func TestEjectionTime(t *testing.T) {
	x := NewEndpointHealth(0)
	for i, want := range []float64{100, 100, 200, 400, 800, 1600, 1600} {
		if got := x.EjectionTime(100, 50); got != want {
			t.Fatalf("after %d strikes it is held for %v, want %v", i, got, want)
		}
		x.RecordEjection()
	}
	if x.EjectionTime(10, 500) != 500 || x.EjectionTime(5000, 500) != maxEjectionMs {
		t.Fatal("holds are bounded both ways")
	}
	strikes := x.Ejections()
	for range 16 * strikes {
		x.RecordSuccess(1, 1)
	}
	if x.Ejections() != strikes-1 {
		t.Fatalf("%d strikes after a row of good answers, want %d", x.Ejections(), strikes-1)
	}
}
