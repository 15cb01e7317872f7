package controlsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requireNoViolation plays one seed of a point.
func requireNoViolation(t *testing.T, point int, seed uint64) {
	t.Helper()
	result := play(t, newSetup(point, seed))
	for _, v := range result.Violations {
		t.Log(v)
	}
	require.Empty(t, result.Violations)
}

// After replacements in a row, a machine that came last lacks the configurations for over 2 s.
func TestConfigurationAfterReplacementsInARow(t *testing.T) { requireNoViolation(t, 3, 50107) }

// After a one-way cut of a hub and a loss of power, a drain is not known to an agent for over 2 s.
func TestDrainAfterAOneWayCutAndALossOfPower(t *testing.T) { requireNoViolation(t, 1, 50113) }

// After a freeze of the head and one of another member, an agent does not know of a drain for over 2 s.
func TestDrainAfterFreezesOfTwoMembers(t *testing.T) { requireNoViolation(t, 2, 81096) }
