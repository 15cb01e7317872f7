package controlsim

import (
	"slices"
	"testing"
)

// shrinkAttempts is how often a plan without one of its faults is played before that fault counts as
// needed: what goroutine runs first differs from one play to the next.
const shrinkAttempts = 2

// shrink drops the faults of a plan that breaks a promise one by one while it still breaks one.
func shrink(t *testing.T, s scenario, broken Result) ([]Fault, Result) {
	for i := 0; i < len(s.faults); {
		without := s
		without.faults = slices.Delete(slices.Clone(s.faults), i, i+1)
		shorter := Result{}
		for range shrinkAttempts {
			if shorter = simulate(t, without); len(shorter.Violations) > 0 {
				break
			}
		}
		if len(shorter.Violations) == 0 {
			i++
			continue
		}
		s, broken = without, shorter
	}
	return s.faults, broken
}
