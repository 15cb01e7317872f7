package referee

import (
	"testing"
	"time"
)

func TestCheckSites(t *testing.T) {
	zone := map[string]string{"a": "z", "b": "z", "c": "y"}
	losses := []*Loss{{Zone: "z", From: 10 * time.Second, To: 20 * time.Second}}
	step := func(s float64, agent, kind string) VoteStep {
		return VoteStep{At: time.Duration(s * float64(time.Second)), Agent: agent, Kind: kind}
	}
	for _, c := range []struct {
		name   string
		steps  []VoteStep
		broken int
		dark   time.Duration
		light  time.Duration
	}{
		{"all detect it", []VoteStep{step(12, "a", "dark"), step(14, "b", "dark"), step(21, "a", "returning"), step(24, "a", "light"), step(22, "b", "returning")}, 0, 3 * time.Second, 1500 * time.Millisecond},
		{"a restarted agent counts once", []VoteStep{step(12, "a", "dark"), step(15, "a", "dark"), step(21, "a", "returning")}, 0, 2 * time.Second, time.Second},
		{"detected just after its end", []VoteStep{step(22, "a", "dark")}, 0, 12 * time.Second, 0},
		{"in another zone", []VoteStep{step(12, "c", "dark")}, 1, 0, 0},
		{"before the loss", []VoteStep{step(9, "a", "dark")}, 1, 0, 0},
		{"long after its end", []VoteStep{step(24, "a", "dark")}, 1, 0, 0},
	} {
		broken, mean := CheckSites(c.steps, zone, losses)
		if len(broken) != c.broken || mean["dark_ms"] != c.dark || mean["light_ms"] != c.light {
			t.Errorf("%s: %v, %v", c.name, broken, mean)
		}
	}
	losses[0].To = -1
	if broken, _ := CheckSites([]VoteStep{step(90, "a", "dark")}, zone, losses); len(broken) != 0 {
		t.Errorf("a loss that lasts: %v", broken)
	}
}
