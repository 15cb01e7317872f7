package loadgen

import (
	"math"
	"reflect"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

func config() *Config {
	return &Config{Seed: 1, Agents: 10, Rate: 400, Spread: 0.5, For: 30 * time.Second, Keys: 100, Skew: 1,
		Classes: []Class{{Name: "a", Share: 3, WorkMs: 10, GiveUp: time.Second}, {Name: "b", Effect: referee.Keyed, Share: 1, WorkMs: 20, GiveUp: time.Second}},
		Tenants: []Tenant{{"x", 0.7}, {"y", 0.3}}, Early: 0.1}
}

func plan(t *testing.T, c *Config) []Ask {
	t.Helper()
	p, err := Plan(c)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestPlanIsOfItsSeed(t *testing.T) {
	a, b := plan(t, config()), plan(t, config())
	if !reflect.DeepEqual(a, b) {
		t.Error("two plans of one seed differ")
	}
	c := config()
	c.Seed = 2
	if reflect.DeepEqual(a, plan(t, c)) {
		t.Error("another seed plans the same")
	}
}

func TestPlanHasTheSharesItIsAskedFor(t *testing.T) {
	p := plan(t, config())
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > 0.08*want {
			t.Errorf("%s: %.3f, want %.3f", what, got, want)
		}
	}
	n := float64(len(p))
	near("requests", n, 400*30)
	var b, x, early, top, work float64
	for i, a := range p {
		if i > 0 && a.At < p[i-1].At || a.Number != i {
			t.Fatal("not in the order of time")
		}
		if a.Class == 1 {
			b++
			work += a.Work
		}
		if a.Tenant == 0 {
			x++
		}
		if a.Key == 0 {
			top++
		}
		if a.Leaves > 0 {
			early++
		}
	}
	near("class b", b/n, 0.25)
	near("its work", work/b, 20)
	near("tenant x", x/n, 0.7)
	near("early leavers", early/n, 0.1)
	near("the top key", top/n, 1/5.187) // 1 over the sum of 1/i up to 100
}

// A burst adds requests in its time, and leaves those that would have come.
func TestBurst(t *testing.T) {
	c := config()
	c.Bursts = []Burst{{From: 10 * time.Second, For: 5 * time.Second, Times: 3}}
	in := 0
	for _, a := range plan(t, c) {
		if a.At >= 10*time.Second && a.At < 15*time.Second {
			in++
		}
	}
	if in < 5500 || in > 6500 {
		t.Errorf("%d requests in the burst, want about 6000", in)
	}
}

func TestPlansThatMakeNoSense(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no agent": func(c *Config) { c.Agents = 0 }, "no rate": func(c *Config) { c.Rate = math.NaN() },
		"no class": func(c *Config) { c.Classes = nil }, "too much": func(c *Config) { c.Rate = 1e7 },
	} {
		c := config()
		spoil(c)
		if _, err := Plan(c); err == nil {
			t.Errorf("%s: planned", name)
		}
	}
}

// A burst of some agents' clients leaves the others' as they are.
func TestBurstOfSomeAgents(t *testing.T) {
	count := func(c *Config) (n [10]int) {
		for _, a := range plan(t, c) {
			n[a.Agent]++
		}
		return n
	}
	c := config()
	c.Bursts = []Burst{{For: c.For, Times: 3}}
	all := count(c)
	c.Bursts[0].Agents = []int{2}
	some := count(c)
	if some[2] != all[2] || float64(some[3]) > 0.5*float64(all[3]) {
		t.Errorf("%v of agent 2's alone, %v of all", some, all)
	}
}
