package gateway

import (
	"math/rand/v2"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// chooseService chooses one of a route's services at random, in proportion to their weights.
func chooseService(route *config.Route) string {
	if len(route.Splits) == 1 {
		return route.Splits[0].Service
	}
	total := 0.0
	for _, split := range route.Splits {
		total += split.Weight
	}
	remaining := rand.Float64() * total
	for _, split := range route.Splits {
		if remaining -= split.Weight; remaining < 0 && split.Weight > 0 {
			return split.Service
		}
	}
	// Only rounding errors lead here.
	for _, split := range route.Splits {
		if split.Weight > 0 {
			return split.Service
		}
	}
	return route.Splits[0].Service
}
