// Package baseline holds plain ways to choose a server, to read an experiment against. Each is
// one client's, sends once, and knows the list of servers and its own requests only, but for
// the clairvoyant, which sees the true state of all servers.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Server is what a picker may look at.
type Server struct {
	Index    int
	Out      int            // requests of this client that are out there
	Expected func() float64 // the clairvoyant's: how long an answer would take, or failed ones cost
}

// Picker chooses one of at least one server.
type Picker interface {
	Pick(servers []Server) int
}

var makers = map[string]func(*rand.Rand) Picker{
	"random":        func(r *rand.Rand) Picker { return random{r} },
	"round-robin":   func(r *rand.Rand) Picker { return &roundRobin{next: r.IntN(1 << 20)} },
	"two-choices":   func(r *rand.Rand) Picker { return twoChoices{r} },
	"least-request": func(r *rand.Rand) Picker { return leastRequest{r} },
	"clairvoyant":   func(*rand.Rand) Picker { return clairvoyant{} },
}

// Names are the pickers there are.
func Names() []string {
	return []string{"random", "round-robin", "two-choices", "least-request", "clairvoyant"}
}

// New makes a picker by its name.
func New(name string, seed uint64) (Picker, error) {
	if makers[name] == nil {
		return nil, fmt.Errorf("picker: %q is none of %v", name, Names())
	}
	return makers[name](rand.New(rand.NewPCG(seed, 5))), nil
}

type random struct{ rng *rand.Rand }

func (p random) Pick(s []Server) int { return p.rng.IntN(len(s)) }

type roundRobin struct{ next int }

func (p *roundRobin) Pick(s []Server) int {
	p.next++
	return p.next % len(s)
}

// twoChoices is the less loaded of two random ones.
type twoChoices struct{ rng *rand.Rand }

func (p twoChoices) Pick(s []Server) int {
	i, j := p.rng.IntN(len(s)), p.rng.IntN(len(s))
	if s[j].Out < s[i].Out {
		return j
	}
	return i
}

// leastRequest is the one with the fewest of its own requests out, of equals a random one.
type leastRequest struct{ rng *rand.Rand }

func (p leastRequest) Pick(s []Server) int {
	best, ties := 0, 0
	for i := range s {
		switch {
		case s[i].Out < s[best].Out:
			best, ties = i, 1
		case s[i].Out == s[best].Out:
			if ties++; p.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// clairvoyant is the one from which an answer would come soonest.
type clairvoyant struct{}

func (clairvoyant) Pick(s []Server) int {
	costs := make([]float64, len(s))
	for i := range s {
		costs[i] = s[i].Expected()
	}
	return slices.Index(costs, slices.Min(costs))
}
