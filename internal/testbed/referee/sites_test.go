package referee

import (
	"testing"
	"time"
)

func TestCheckSites(t *testing.T) {
	zone := map[string]string{"a": "z", "b": "z", "c": "y"}
	losses := []*Loss{{Zone: "z", From: 10 * time.Second, To: 20 * time.Second}}
	at := func(s float64, agent, kind string) VoteStep {
		return VoteStep{At: time.Duration(s * float64(time.Second)), Agent: agent, Kind: kind}
	}
	for _, c := range []struct {
		name   string
		steps  []VoteStep
		broken int
		dark   time.Duration
		light  time.Duration
	}{
		{"all know it", []VoteStep{at(12, "a", "dark"), at(14, "b", "dark"), at(21, "a", "returning"), at(24, "a", "light"), at(22, "b", "returning")}, 0, 3 * time.Second, 1500 * time.Millisecond},
		{"one restarts", []VoteStep{at(12, "a", "dark"), at(15, "a", "dark"), at(21, "a", "returning")}, 0, 2 * time.Second, time.Second},
		{"a little late", []VoteStep{at(22, "a", "dark")}, 0, 12 * time.Second, 0},
		{"another zone", []VoteStep{at(12, "c", "dark")}, 1, 0, 0},
		{"before", []VoteStep{at(9, "a", "dark")}, 1, 0, 0},
		{"long after", []VoteStep{at(24, "a", "dark")}, 1, 0, 0},
	} {
		broken, mean := CheckSites(c.steps, zone, losses)
		if len(broken) != c.broken || mean["dark_ms"] != c.dark || mean["light_ms"] != c.light {
			t.Errorf("%s: %v, %v", c.name, broken, mean)
		}
	}
	losses[0].To = -1
	if broken, _ := CheckSites([]VoteStep{at(90, "a", "dark")}, zone, losses); len(broken) != 0 {
		t.Errorf("a loss that lasts: %v", broken)
	}
}
