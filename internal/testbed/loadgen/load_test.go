package loadgen

import (
	"math"
	"reflect"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

func config() *Config {
	return &Config{Seed: 1, Agents: 10, Rate: 400, Spread: 0.5, Duration: 30 * time.Second, Keys: 100, Skew: 1,
		Classes: []Class{{Name: "a", Share: 3, WorkMs: 10, Timeout: time.Second}, {Name: "b", Effect: referee.Deduplicated, Share: 1, WorkMs: 20, Timeout: time.Second}},
		Tenants: []Tenant{{"x", 0.7}, {"y", 0.3}}, EarlyLeavers: 0.1}
}

func plan(t *testing.T, c *Config) []PlannedRequest {
	t.Helper()
	p, err := Plan(c)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestPlanIsReproducible(t *testing.T) {
	a, b := plan(t, config()), plan(t, config())
	if !reflect.DeepEqual(a, b) {
		t.Error("two plans with the same seed differ")
	}
	c := config()
	c.Seed = 2
	if reflect.DeepEqual(a, plan(t, c)) {
		t.Error("two plans with different seeds are equal")
	}
}

func TestPlanHasConfiguredShares(t *testing.T) {
	p := plan(t, config())
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > 0.08*want {
			t.Errorf("%s: %.3f, want %.3f", what, got, want)
		}
	}
	n := float64(len(p))
	near("requests", n, 400*30)
	var classB, tenantX, early, topKey, work float64
	for i, a := range p {
		if i > 0 && a.At < p[i-1].At || a.Number != i {
			t.Fatal("not in order of time")
		}
		if a.Class == 1 {
			classB++
			work += a.Work
		}
		if a.Tenant == 0 {
			tenantX++
		}
		if a.Key == 0 {
			topKey++
		}
		if a.LeavesAfter > 0 {
			early++
		}
	}
	near("class b", classB/n, 0.25)
	near("work of class b", work/classB, 20)
	near("tenant x", tenantX/n, 0.7)
	near("clients that leave early", early/n, 0.1)
	near("the top key", topKey/n, 1/5.187) // 5.187 is the sum of 1/i for i up to 100
}

// A burst multiplies the number of requests during its period.
func TestBurst(t *testing.T) {
	c := config()
	c.Bursts = []Burst{{From: 10 * time.Second, Duration: 5 * time.Second, Factor: 3}}
	inBurst := 0
	for _, a := range plan(t, c) {
		if a.At >= 10*time.Second && a.At < 15*time.Second {
			inBurst++
		}
	}
	if inBurst < 5500 || inBurst > 6500 {
		t.Errorf("%d requests in the burst, want about 6000", inBurst)
	}
}

func TestInvalidConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no agent": func(c *Config) { c.Agents = 0 }, "no rate": func(c *Config) { c.Rate = math.NaN() },
		"no class": func(c *Config) { c.Classes = nil }, "too many requests": func(c *Config) { c.Rate = 1e7 },
	} {
		c := config()
		change(c)
		if _, err := Plan(c); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A burst of one agent's clients does not change the requests of other agents' clients.
func TestBurstOfSomeAgents(t *testing.T) {
	count := func(c *Config) (n [10]int) {
		for _, a := range plan(t, c) {
			n[a.Agent]++
		}
		return n
	}
	c := config()
	c.Bursts = []Burst{{Duration: c.Duration, Factor: 3}}
	all := count(c)
	c.Bursts[0].Agents = []int{2}
	some := count(c)
	if some[2] != all[2] || float64(some[3]) > 0.5*float64(all[3]) {
		t.Errorf("requests by agent: %v with a burst at agent 2, %v with a burst at all", some, all)
	}
}
