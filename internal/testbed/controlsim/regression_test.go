package controlsim

import (
	"testing"
	"time"

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

// The core loses power within a millisecond of an acknowledgement: an agent that the change was not sent to yet gets
// it once the core is back. The checker wanted it within the usual time.
func TestCoreIsLostJustAfterAnAcknowledgement(t *testing.T) { requireSeedPasses(t, 4, 1011) }

// The check of propagation waits for the core, and for nothing else.
func TestCoreLostSince(t *testing.T) {
	now := time.Now()
	for kind, lost := range map[FaultKind]bool{CoreOutage: true, FleetOutage: true, ZoneOutage: false, RegionOutage: false, PowerLoss: false} {
		s := &simulation{faultPeriods: []*faultPeriod{{kind: kind, begin: now, end: now.Add(time.Second)}}}
		require.Equal(t, lost, s.coreLostSince(now), "%s", kind)
		require.False(t, s.coreLostSince(now.Add(time.Second)), "%s has ended", kind)
		s.faultPeriods[0].end = time.Time{}
		require.Equal(t, lost, s.coreLostSince(now.Add(time.Minute)), "%s goes on", kind)
	}
}

// After a one-way partition of a relay and a power loss, an agent knows of drains in time.
func TestDrainAfterOneWayPartitionAndPowerLoss(t *testing.T) { requireSeedPasses(t, 1, 50113) }

// After a pause of the head and one of another member, an agent knows of drains in time.
func TestDrainAfterPausesOfTwoMembers(t *testing.T) { requireSeedPasses(t, 2, 81096) }
