// Package baseline has simple policies for choosing a server, with which the results of an
// experiment are compared. Each picker belongs to one client, which sends each request once. It
// knows only the list of servers and the client's own requests, except for the clairvoyant, which
// sees the true state of all servers.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Server is what a picker knows of a server.
type Server struct {
	Index    int
	InFlight int            // number of this client's requests in flight
	Expected func() float64 // expected time of an answer, with a penalty for failures; for the clairvoyant only
}

// Picker chooses a server from a list that is not empty, and returns its position in the list.
type Picker interface {
	Pick(servers []Server) int
}

// constructors are the constructors of pickers by name.
var constructors = map[string]func(*rand.Rand) Picker{
	"random":        func(r *rand.Rand) Picker { return random{r} },
	"round-robin":   func(r *rand.Rand) Picker { return &roundRobin{next: r.IntN(1 << 20)} },
	"two-choices":   func(r *rand.Rand) Picker { return twoChoices{r} },
	"least-request": func(r *rand.Rand) Picker { return leastRequest{r} },
	"clairvoyant":   func(*rand.Rand) Picker { return clairvoyant{} },
}

// Names returns the names of all pickers.
func Names() []string {
	return []string{"random", "round-robin", "two-choices", "least-request", "clairvoyant"}
}

// New returns a new picker of the given name.
func New(name string, seed uint64) (Picker, error) {
	if constructors[name] == nil {
		return nil, fmt.Errorf("baseline: unknown picker %q, want one of %v", name, Names())
	}
	return constructors[name](rand.New(rand.NewPCG(seed, 5))), nil
}

type random struct{ rng *rand.Rand }

func (p random) Pick(s []Server) int { return p.rng.IntN(len(s)) }

type roundRobin struct{ next int }

func (p *roundRobin) Pick(s []Server) int {
	p.next++
	return p.next % len(s)
}

// twoChoices picks two servers at random and chooses the one with fewer requests in flight.
type twoChoices struct{ rng *rand.Rand }

func (p twoChoices) Pick(s []Server) int {
	i, j := p.rng.IntN(len(s)), p.rng.IntN(len(s))
	if s[j].InFlight < s[i].InFlight {
		return j
	}
	return i
}

// leastRequest chooses a server with the fewest requests in flight, at random if there are several.
type leastRequest struct{ rng *rand.Rand }

func (p leastRequest) Pick(s []Server) int {
	best, ties := 0, 0
	for i := range s {
		switch {
		case s[i].InFlight < s[best].InFlight:
			best, ties = i, 1
		case s[i].InFlight == s[best].InFlight:
			if ties++; p.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// clairvoyant chooses the server whose expected time of an answer is the shortest.
type clairvoyant struct{}

func (clairvoyant) Pick(s []Server) int {
	costs := make([]float64, len(s))
	for i := range s {
		costs[i] = s[i].Expected()
	}
	return slices.Index(costs, slices.Min(costs))
}
