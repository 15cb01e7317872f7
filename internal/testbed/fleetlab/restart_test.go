package fleetlab

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// After a restart of everything an agent without a disk knows its seeds alone. It finds the core also
// where the seeds have no disk, were restarted with it, and name each other.
func TestServiceRecoversWhereNoSeedHasADisk(t *testing.T) {
	ctx, fleet := startFleet(t, 6, 3, 4, nil)
	require.NoError(t, fleet.ExchangeSeeds(fleet.Agents[3:]...))
	fleet.KillAll()
	require.NoError(t, fleet.RestartAll())
	recovery, cancel := context.WithTimeout(ctx, fleet.cfg.Bounds.Recovery)
	defer cancel()
	require.NoError(t, fleet.WaitServing(recovery))
}
