package controlsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requireSeedPasses plays one seed of a point.
func requireSeedPasses(t *testing.T, point int, seed uint64) {
	t.Helper()
	result := simulate(t, newScenario(point, seed))
	for _, v := range result.Violations {
		t.Log(v)
	}
	require.Empty(t, result.Violations)
}

// After replacements in a row, the machine that came last has the configurations in time, though all machines
// that the fleet started with as seeds are gone.
func TestConfigurationAfterConsecutiveReplacements(t *testing.T) { requireSeedPasses(t, 3, 50107) }

// After a one-way cut of a relay and a loss of power, an agent knows of drains in time.
func TestDrainAfterOneWayPartitionAndPowerLoss(t *testing.T) { requireSeedPasses(t, 1, 50113) }

// After a freeze of the head and one of another member, an agent knows of drains in time.
func TestDrainAfterPausesOfTwoMembers(t *testing.T) { requireSeedPasses(t, 2, 81096) }
