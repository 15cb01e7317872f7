package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSharesByStep(t *testing.T) {
	r := startedRecord(t)
	assert.InDelta(t, 1, r.Rules().Share("any", "", 2), 0, "no stock was taken: nothing changes")
	r.Initialized = true
	r.Draining = []DrainingServer{{ID: "a", Addr: "x", Step: DrainThird}, {ID: "b", Step: DrainTenth}, {ID: "c", Step: DrainClosed}, {ID: "d", Step: DrainMigrating}, {ID: "e", Addr: "y", Step: DrainReplacing}}
	r.Ramping = []RampingServer{{ID: "f", Step: RampWarming}, {ID: "g", Step: RampThird}}
	r.addFullShare("h")
	u := r.Rules()
	for id, want := range map[string]float64{"a": 0.3, "b": 0.1, "c": 0, "d": 0, "e": 0} {
		assert.InDelta(t, want, u.Share(id, "", 1), 0, id)
		assert.True(t, u.IsDraining(id))
	}
	assert.InDelta(t, 0.1, u.Share("f", "", 2), 0)
	assert.InDelta(t, 0.3, u.Share("g", "", 2), 0)
	assert.InDelta(t, 1, u.Share("h", "", 2), 0)
	assert.InDelta(t, 0, u.Share("new", "", 2), 0, "nobody has taken it in")
	assert.InDelta(t, 1, u.Share("old", "", 1), 0)
	assert.InDelta(t, 1, u.Share("other", "", -1), 0)
	assert.True(t, u.IsWarming("f"))
	assert.False(t, u.IsWarming("g"))
	assert.True(t, u.ShouldMigrate("d"))
	assert.False(t, u.ShouldMigrate("c"))
	assert.Equal(t, 3, len(u.ClosedServers()))

	// An abort changes nothing before the holder has taken stock, and then the sides.
	b, err := r.Abort(1, "")
	require.NoError(t, err)
	assert.InDelta(t, 1, b.Rules().Share("h", "", 2), 0)
	assert.InDelta(t, 0, b.Rules().Share("new", "", 2), 0)
	assert.InDelta(t, 1, b.Rules().Share("old", "", 1), 0)
	b.Initialized, b.FullShare = true, nil
	b.addFullShare("old")
	assert.InDelta(t, 1, b.Rules().Share("old", "", 1), 0)
	assert.InDelta(t, 0, b.Rules().Share("unknown", "", 1), 0)
	assert.InDelta(t, 0, b.Rules().Share("late", "y", 2), 0, "it was handed over before, and came up with what is left")
	assert.InDelta(t, 1, b.Rules().Share("h", "z", 2), 0)
	b.finish(PhaseRolledBack)
	assert.InDelta(t, 1, b.Rules().Share("late", "y", 2), 0)
}

func TestSessionSharesAreNestedAndEven(t *testing.T) {
	const n = 20000
	for _, share := range []float64{tenthShare, thirdShare} {
		got := 0
		for i := range uint64(n) {
			if AcceptsSession("s", i, share) {
				got++
				assert.True(t, AcceptsSession("s", i, 1))
				if share == tenthShare {
					assert.True(t, AcceptsSession("s", i, thirdShare))
				}
			}
		}
		assert.InDelta(t, share, float64(got)/n, 0.01)
	}
	assert.False(t, AcceptsSession("s", 1, 0))
}
