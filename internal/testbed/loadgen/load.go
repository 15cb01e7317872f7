// Package loadgen is what clients want of a fleet: requests that come whether or not earlier
// ones are answered, drawn ahead from one seed, so that a slow fleet is asked as much as a
// quick one. Times count from when a request was meant to be sent, so that waiting is not
// hidden.
package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

// Class is one class of requests.
type Class struct {
	Name    string
	Effect  referee.Effect
	Share   float64 // of the requests
	WorkMs  float64 // on the mean, at a core of speed one
	Aim     time.Duration
	GiveUp  time.Duration
	Worth   float64
	LateFor float64 // part of the worth of a late answer
}

// Tenant has a share of the requests.
type Tenant struct {
	Name  string
	Share float64
}

// Config is the load of a whole fleet.
type Config struct {
	Seed    uint64
	Agents  int
	Rate    float64 // requests a second of all clients together
	Spread  float64 // of the agents' rates: sigma of a lognormal draw
	For     time.Duration
	Classes []Class
	Tenants []Tenant
	Keys    int // distinct keys, by Zipf with exponent Skew
	Skew    float64
	Bursts  []Burst
	Retry   Retry
	Early   float64 // part of the clients that leave after a quarter of their time
}

// Burst is more load for a while.
type Burst struct {
	From, For time.Duration
	Times     float64
	Agents    []int // whose clients want more; empty: all
}

// Retry is what clients do about requests that were refused or failed.
type Retry struct {
	Once  bool
	After time.Duration // at the least
	Heed  bool          // wait for as long as Retry-After says
}

// Ask is one thing that a client wants.
type Ask struct {
	Number int
	Agent  int
	At     time.Duration // since the start of the load
	Class  int
	Tenant int
	Key    int
	Work   float64       // ms at a core of speed one
	Leaves time.Duration // after which it leaves early; 0: it does not
}

// Plan draws all that clients will want, in the order of time; equal configurations give
// equal plans.
func Plan(cfg *Config) ([]Ask, error) {
	switch {
	case cfg.Agents < 1 || !(cfg.Rate > 0) || cfg.For <= 0:
		return nil, fmt.Errorf("load: %d agents, %v requests a second for %v: all must be above 0", cfg.Agents, cfg.Rate, cfg.For)
	case cfg.Rate*cfg.For.Seconds() > 5e6:
		return nil, fmt.Errorf("load: %.0f requests are more than the 5 million of a run", cfg.Rate*cfg.For.Seconds())
	case len(cfg.Classes) == 0:
		return nil, fmt.Errorf("load: no class")
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 11))
	shares := make([]float64, cfg.Agents)
	total := 0.0
	for i := range shares {
		shares[i] = math.Exp(cfg.Spread * rng.NormFloat64())
		total += shares[i]
	}
	keys := zipf(cfg.Keys, cfg.Skew)
	classes := cumulate(len(cfg.Classes), func(i int) float64 { return cfg.Classes[i].Share })
	tenants := cumulate(len(cfg.Tenants), func(i int) float64 { return cfg.Tenants[i].Share })
	most := 1.0
	for _, b := range cfg.Bursts {
		most = max(most, b.Times)
	}
	var plan []Ask
	for agent, share := range shares {
		rate := cfg.Rate * share / total * most // thinned below where there is no burst
		for at := 0.0; ; {
			at += rng.ExpFloat64() / rate
			when := time.Duration(at * float64(time.Second))
			if when >= cfg.For {
				break
			}
			// All draws of a request are made whether or not it is taken, so that when a
			// burst comes moves no other.
			a := Ask{Agent: agent, At: when, Class: draw(rng, classes), Tenant: draw(rng, tenants), Key: draw(rng, keys)}
			a.Work = cfg.Classes[a.Class].WorkMs * rng.ExpFloat64()
			early, taken := rng.Float64() < cfg.Early, rng.Float64() < cfg.times(agent, when)/most
			if early {
				a.Leaves = cfg.Classes[a.Class].GiveUp / 4
			}
			if taken {
				plan = append(plan, a)
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Ask) int { return int(a.At - b.At) })
	for i := range plan {
		plan[i].Number = i
	}
	return plan, nil
}

// times is how much more than usual comes to an agent at a time.
func (c *Config) times(agent int, at time.Duration) float64 {
	x := 1.0
	for _, b := range c.Bursts {
		if at >= b.From && at < b.From+b.For && (len(b.Agents) == 0 || slices.Contains(b.Agents, agent)) {
			x *= b.Times
		}
	}
	return x
}

// zipf is the sum of the shares of the most popular keys.
func zipf(n int, skew float64) []float64 {
	return cumulate(n, func(i int) float64 { return math.Pow(float64(i+1), -skew) })
}

func cumulate(n int, share func(int) float64) []float64 {
	sums, sum := make([]float64, n), 0.0
	for i := range sums {
		sum += share(i)
		sums[i] = sum
	}
	return sums
}

// draw is an index by the shares whose sums are given; 0 for none.
func draw(rng *rand.Rand, sums []float64) int {
	x := rng.Float64()
	if len(sums) == 0 {
		return 0
	}
	return min(sort.SearchFloat64s(sums, x*sums[len(sums)-1]), len(sums)-1)
}
