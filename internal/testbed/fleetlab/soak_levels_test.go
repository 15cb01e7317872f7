package fleetlab

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

// The resource usage in the last third of a series is compared with the second third. The first third is ignored, as
// the processes are starting then.
func TestGrowthOfLevels(t *testing.T) {
	level := Level{Memory: 40 << 20, Descriptors: 100, Threads: 9}
	var steady levels
	steady.record(0, Level{})
	steady.record(1, level)
	steady.record(2, level)
	steady.record(2, Level{Memory: 1, Descriptors: 1, Threads: 1})
	assert.Empty(t, steady.growth())
	var memory, descriptors levels
	memory.record(1, level)
	memory.record(2, Level{Memory: 60 << 20, Descriptors: 100})
	assert.Contains(t, memory.growth(), "memory")
	descriptors.record(1, level)
	descriptors.record(2, Level{Memory: 40 << 20, Descriptors: 200})
	assert.Contains(t, descriptors.growth(), "descriptors")
}

func TestReadLevel(t *testing.T) {
	level, ok := readLevel(os.Getpid())
	require.True(t, ok)
	assert.Positive(t, level.Memory)
	assert.Positive(t, level.Descriptors)
	assert.Positive(t, level.Threads)
	_, ok = readLevel(-1)
	assert.False(t, ok)
}

// An interrupted write leaves an incomplete record, which the store detects and removes.
func TestTearWrite(t *testing.T) {
	agent := &Agent{Name: "edge-1", dir: t.TempDir()}
	state := filepath.Join(agent.dir, "state")
	require.NoError(t, agent.TearWrite(maxTornBytes), "the machine has no disk")
	require.NoError(t, os.Mkdir(state, 0o755))
	require.NoError(t, agent.TearWrite(maxTornBytes), "nothing was written yet")
	disk, _, err := store.Open(state)
	require.NoError(t, err)
	require.NoError(t, disk.Put("id", bytes.Repeat([]byte("x"), 24)))
	disk.Close()
	for torn := 1; torn <= maxTornBytes; torn++ {
		require.NoError(t, agent.TearWrite(torn))
		report, err := store.Verify(state)
		require.NoError(t, err)
		require.Equal(t, int64(torn), report.TornBytes)
		require.False(t, report.Damaged)
		disk, _, err := store.Open(state)
		require.NoError(t, err)
		value, found := disk.Get("id")
		require.True(t, found)
		require.Len(t, value, 24)
		disk.Close()
	}
}

// Some kills of core machines interrupt a write; other kills never do.
func TestTornWritesOfPlans(t *testing.T) {
	torn, whole, closings := 0, 0, 0
	for seed := range uint64(50) {
		cfg := soakConfig(seed)
		plan, err := NewSoakPlan(cfg, soakOptions())
		require.NoError(t, err)
		for _, injection := range plan.Injections {
			require.LessOrEqual(t, injection.Torn, maxTornBytes)
			switch {
			case injection.Torn > 0:
				require.Equal(t, SoakKill, injection.Fault)
				require.Less(t, injection.Agent, cfg.Core)
				torn++
			case injection.Fault == SoakKill:
				whole++
			}
		}
		require.Len(t, plan.Torn, cfg.Core)
		for _, bytes := range plan.Torn {
			closings += min(bytes, 1)
		}
	}
	assert.Positive(t, torn)
	assert.Positive(t, whole)
	assert.Positive(t, closings)
}
