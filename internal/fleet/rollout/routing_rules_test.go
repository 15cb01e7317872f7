package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSharesByStep(t *testing.T) {
	record := startedRecord(t)
	assert.InDelta(t, 1, record.Rules().Share("any", "", 2), 0, "the phase is not initialized")
	record.Initialized = true
	record.Draining = []DrainingServer{
		{ID: "a", Addr: "x", Step: DrainThird},
		{ID: "b", Step: DrainTenth},
		{ID: "c", Step: DrainClosed},
		{ID: "d", Step: DrainMigrating},
		{ID: "e", Addr: "y", Step: DrainReplacing},
	}
	record.Ramping = []RampingServer{{ID: "f", Step: RampWarming}, {ID: "g", Step: RampThird}}
	record.addFullShare("h")
	rules := record.Rules()
	for id, want := range map[string]float64{"a": 0.3, "b": 0.1, "c": 0, "d": 0, "e": 0} {
		assert.InDelta(t, want, rules.Share(id, "", 1), 0, id)
		assert.True(t, rules.IsDraining(id))
	}
	assert.InDelta(t, 0.1, rules.Share("f", "", 2), 0)
	assert.InDelta(t, 0.3, rules.Share("g", "", 2), 0)
	assert.InDelta(t, 1, rules.Share("h", "", 2), 0)
	assert.InDelta(t, 0, rules.Share("new", "", 2), 0, "not admitted yet")
	assert.InDelta(t, 1, rules.Share("old", "", 1), 0)
	assert.InDelta(t, 1, rules.Share("other", "", -1), 0)
	assert.True(t, rules.IsWarming("f"))
	assert.False(t, rules.IsWarming("g"))
	assert.True(t, rules.ShouldMigrate("d"))
	assert.False(t, rules.ShouldMigrate("c"))
	assert.Equal(t, 3, len(rules.ClosedServers()))

	// An abort changes no share until the holder has initialized the rollback. Then the target changes.
	rollback, err := record.Abort(1, "")
	require.NoError(t, err)
	assert.InDelta(t, 1, rollback.Rules().Share("h", "", 2), 0)
	assert.InDelta(t, 0, rollback.Rules().Share("new", "", 2), 0)
	assert.InDelta(t, 1, rollback.Rules().Share("old", "", 1), 0)
	rollback.Initialized, rollback.FullShare = true, nil
	rollback.addFullShare("old")
	assert.InDelta(t, 1, rollback.Rules().Share("old", "", 1), 0)
	assert.InDelta(t, 0, rollback.Rules().Share("unknown", "", 1), 0)
	assert.InDelta(t, 0, rollback.Rules().Share("late", "y", 2), 0, "handed over before the rollback")
	assert.InDelta(t, 1, rollback.Rules().Share("h", "z", 2), 0)
	rollback.finish(PhaseRolledBack)
	assert.InDelta(t, 1, rollback.Rules().Share("late", "y", 2), 0)
}

func TestSessionSharesAreNestedAndEven(t *testing.T) {
	const n = 20000
	for _, share := range []float64{tenthShare, thirdShare} {
		accepted := 0
		for i := range uint64(n) {
			if AcceptsSession("s", i, share) {
				accepted++
				assert.True(t, AcceptsSession("s", i, 1))
				if share == tenthShare {
					assert.True(t, AcceptsSession("s", i, thirdShare))
				}
			}
		}
		assert.InDelta(t, share, float64(accepted)/n, 0.01)
	}
	assert.False(t, AcceptsSession("s", 1, 0))
}
