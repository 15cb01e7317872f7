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

// After consecutive replacements the machine that was added last gets configurations in time, although all its seeds
// have been replaced.
func TestConfigurationAfterConsecutiveReplacements(t *testing.T) { requireSeedPasses(t, 3, 50107) }

// The core loses power within a millisecond of an acknowledgement. An agent to which the change was not sent yet gets
// it once the core is back; the checker required it within the usual time.
func TestCoreIsLostJustAfterAnAcknowledgement(t *testing.T) { requireSeedPasses(t, 4, 1011) }

// Only outages of the whole core delay the check of propagation.
func TestCoreLostSince(t *testing.T) {
	now := time.Now()
	for kind, lost := range map[FaultKind]bool{
		CoreOutage: true, FleetOutage: true, ZoneOutage: false, RegionOutage: false, PowerLoss: false,
	} {
		s := &simulation{faultPeriods: []*faultPeriod{{kind: kind, begin: now, end: now.Add(time.Second)}}}
		require.Equal(t, lost, s.coreLostSince(now), "%s", kind)
		require.False(t, s.coreLostSince(now.Add(time.Second)), "%s has ended", kind)
		s.faultPeriods[0].end = time.Time{}
		require.Equal(t, lost, s.coreLostSince(now.Add(time.Minute)), "%s has not ended", kind)
	}
}

// After a one-way partition of a relay and a power loss, an agent learns of drains in time.
func TestDrainAfterOneWayPartitionAndPowerLoss(t *testing.T) { requireSeedPasses(t, 1, 50113) }

// After a pause of the head and a pause of another member, an agent learns of drains in time.
func TestDrainAfterPausesOfTwoMembers(t *testing.T) { requireSeedPasses(t, 2, 81096) }
