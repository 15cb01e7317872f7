package controlsim

import (
	"slices"
	"testing"
)

// shrinkAttempts is the number of runs without a fault after which the fault counts as needed. A single run is not
// enough because the scheduling of goroutines differs from run to run.
const shrinkAttempts = 2

// shrink removes faults one by one from a scenario that violates a guarantee, as long as the rest still violates
// one. It returns the remaining faults and the result of a run with them.
func shrink(t *testing.T, s scenario, failed Result) ([]Fault, Result) {
	for i := 0; i < len(s.faults); {
		candidate := s
		candidate.faults = slices.Delete(slices.Clone(s.faults), i, i+1)
		result := Result{}
		for range shrinkAttempts {
			if result = simulate(t, candidate); len(result.Violations) > 0 {
				break
			}
		}
		if len(result.Violations) == 0 {
			i++
			continue
		}
		s, failed = candidate, result
	}
	return s.faults, failed
}
