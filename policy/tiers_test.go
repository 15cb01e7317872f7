package policy

import (
	"math"
	"testing"
)

func TestTier(t *testing.T) {
	x := NewTier(10)
	check := func(what string, state State, rank int, now float64) {
		t.Helper()
		if x.State() != state || x.Rank(now, 100) != rank {
			t.Fatalf("%s: state %v rank %d, want %v and %d", what, x.State(), x.Rank(now, 100), state, rank)
		}
	}
	check("listed", Unknown, 0, 10)
	if !x.Failed(true, 20) || x.Failed(false, 21) || !x.Silent() || x.Since() != 20 {
		t.Fatal("the failures of one moment demote once, and the first tells how")
	}
	x.Strike()
	check("failed", Unhealthy, 2, 1e9)
	if counts, _ := x.Served(15, 30); !counts || x.State() != Connected {
		t.Fatal("an answer ends silence, whenever it was sent")
	}
	x.Failed(false, 40)
	if counts, _ := x.Served(35, 45); counts {
		t.Fatal("an attempt sent before the failure says nothing about what came after")
	}
	if x.Refresh(50, 89) || !x.Refresh(50, 90) || x.Refresh(50, 500) {
		t.Fatal("an Unhealthy server is refreshed once, after its hold")
	}
	check("refreshed", UnhealthyPending, 1, 189)
	check("lapsed", UnhealthyPending, 0, 190)
	if x.Rank(1e9, math.Inf(1)) != 1 {
		t.Fatal("without a lapse it stays pending")
	}
	if _, changed := x.Served(100, 110); !changed {
		t.Fatal("a served attempt brings it back")
	}
	check("served", Connected, 0, 110)
}

func TestTierHold(t *testing.T) {
	x := NewTier(0)
	for i, want := range []float64{100, 100, 200, 400, 800, 1600, 1600} {
		if got := x.Hold(100, 50); got != want {
			t.Fatalf("after %d strikes it is held for %v, want %v", i, got, want)
		}
		x.Strike()
	}
	if x.Hold(10, 500) != 500 || x.Hold(5000, 500) != holdMost {
		t.Fatal("holds are bounded both ways")
	}
	strikes := x.Strikes()
	for range 16 * strikes {
		x.Served(1, 1)
	}
	if x.Strikes() != strikes-1 {
		t.Fatalf("%d strikes after a row of good answers, want %d", x.Strikes(), strikes-1)
	}
}
