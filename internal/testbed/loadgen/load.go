// Package loadgen generates an open-loop load for a fleet: requests are planned in advance from a seed
// and sent whether or not earlier ones are answered, so that a slow fleet gets as many as a fast one.
// Latencies count from the time for which a request was planned, so that they include all waiting.
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

// Class is a class of requests.
type Class struct {
	Name          string
	Effect        referee.Effect
	Share         float64       // fraction of the requests, relative to the sum of all shares
	WorkMs        float64       // mean, in ms of a core of speed 1
	TargetLatency time.Duration // latency up to which an answer is in time
	Timeout       time.Duration // client timeout
	Worth         float64       // value of an answer in time
	LateShare     float64       // fraction of Worth that a late answer has
}

// Tenant is a tenant with its share of the requests.
type Tenant struct {
	Name  string
	Share float64
}

// Config configures the load of a whole fleet.
type Config struct {
	Seed         uint64
	Agents       int
	Rate         float64       // requests a second of all clients together
	Spread       float64       // sigma of the lognormal distribution of the agents' rates
	Duration     time.Duration // duration of the load
	Classes      []Class
	Tenants      []Tenant
	Keys         int     // number of distinct keys, which are drawn by a Zipf distribution
	Skew         float64 // exponent of the Zipf distribution
	Bursts       []Burst
	Retry        Retry
	EarlyLeavers float64 // fraction of requests whose client leaves after a quarter of its timeout
}

// Burst multiplies the load during a period.
type Burst struct {
	From, Duration time.Duration
	Factor         float64
	Agents         []int // whose clients send more; empty for all
}

// Retry configures the retries of requests that were refused or failed.
type Retry struct {
	Enabled         bool          // whether clients retry, at most once for each request
	MinDelay        time.Duration // minimum delay before the retry
	HonorRetryAfter bool          // whether clients also wait as long as Retry-After says
}

// PlannedRequest is a planned request of a client.
type PlannedRequest struct {
	Number      int           // index in the plan
	Agent       int           // index of the agent that it's sent to
	At          time.Duration // time since the start of the load
	Class       int           // index in Config.Classes
	Tenant      int           // index in Config.Tenants
	Key         int
	Work        float64       // in ms of a core of speed 1
	LeavesAfter time.Duration // time after which the client leaves early; 0 if it doesn't
}

// Plan returns all requests that clients will send, in order of time. Equal configurations give equal
// plans.
func Plan(cfg *Config) ([]PlannedRequest, error) {
	switch {
	case cfg.Agents < 1 || !(cfg.Rate > 0) || cfg.Duration <= 0:
		return nil, fmt.Errorf("load: %d agents, %v requests a second for %v: all must be above 0", cfg.Agents,
			cfg.Rate, cfg.Duration)
	case cfg.Rate*cfg.Duration.Seconds() > 5e6:
		return nil, fmt.Errorf("load: %.0f requests are more than the 5 million of a run", cfg.Rate*cfg.Duration.Seconds())
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
	maxFactor := 1.0
	for _, b := range cfg.Bursts {
		maxFactor = max(maxFactor, b.Factor)
	}
	var plan []PlannedRequest
	for agent, share := range shares {
		rate := cfg.Rate * share / total * maxFactor // the excess outside bursts is dropped below
		for at := 0.0; ; {
			at += rng.ExpFloat64() / rate
			when := time.Duration(at * float64(time.Second))
			if when >= cfg.Duration {
				break
			}
			// All random values of a request are drawn whether or not it's included, so that the time of
			// a burst does not change other requests.
			a := PlannedRequest{Agent: agent, At: when, Class: draw(rng, classes), Tenant: draw(rng, tenants),
				Key: draw(rng, keys)}
			a.Work = cfg.Classes[a.Class].WorkMs * rng.ExpFloat64()
			early, included := rng.Float64() < cfg.EarlyLeavers, rng.Float64() < cfg.burstFactor(agent, when)/maxFactor
			if early {
				a.LeavesAfter = cfg.Classes[a.Class].Timeout / 4
			}
			if included {
				plan = append(plan, a)
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b PlannedRequest) int { return int(a.At - b.At) })
	for i := range plan {
		plan[i].Number = i
	}
	return plan, nil
}

// burstFactor returns the factor by which bursts multiply an agent's load at a time.
func (c *Config) burstFactor(agent int, at time.Duration) float64 {
	x := 1.0
	for _, b := range c.Bursts {
		if at >= b.From && at < b.From+b.Duration && (len(b.Agents) == 0 || slices.Contains(b.Agents, agent)) {
			x *= b.Factor
		}
	}
	return x
}

// zipf returns the cumulative sums of the keys' shares, the most popular key first.
func zipf(n int, skew float64) []float64 {
	return cumulate(n, func(i int) float64 { return math.Pow(float64(i+1), -skew) })
}

// cumulate returns the cumulative sums of n shares.
func cumulate(n int, share func(int) float64) []float64 {
	sums, sum := make([]float64, n), 0.0
	for i := range sums {
		sum += share(i)
		sums[i] = sum
	}
	return sums
}

// draw returns a random index, distributed by the shares whose cumulative sums are given. Without shares it
// returns 0.
func draw(rng *rand.Rand, sums []float64) int {
	x := rng.Float64()
	if len(sums) == 0 {
		return 0
	}
	return min(sort.SearchFloat64s(sums, x*sums[len(sums)-1]), len(sums)-1)
}
