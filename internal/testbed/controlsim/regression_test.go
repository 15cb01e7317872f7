package controlsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requireSeedPasses runs one seed of a scenario and requires that it violates no guarantee.
func requireSeedPasses(t *testing.T, scenario int, seed uint64) {
	t.Helper()
	result := simulate(t, newScenario(scenario, seed))
	for _, v := range result.Violations {
		t.Log(v)
	}
	require.Empty(t, result.Violations)
}

// After consecutive replacements the machine that was added last gets the configurations in time, although all
// machines that it has as seeds are gone.
func TestConfigurationAfterConsecutiveReplacements(t *testing.T) { requireSeedPasses(t, 3, 50107) }

// After a one-way partition of a relay and a power loss, an agent knows of drains in time.
func TestDrainAfterOneWayPartitionAndPowerLoss(t *testing.T) { requireSeedPasses(t, 1, 50113) }

// After a pause of the head and one of another member, an agent knows of drains in time.
func TestDrainAfterPausesOfTwoMembers(t *testing.T) { requireSeedPasses(t, 2, 81096) }
