package fleetlab

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// After a restart of all machines, an agent without a disk knows only its seeds. It has to find the core even if the
// seeds have no disk, were restarted, too, and name only each other as seeds.
func TestServiceRecoversWhereNoSeedHasADisk(t *testing.T) {
	ctx, fleet := startFleet(t, 6, 3, 4, nil)
	require.NoError(t, fleet.ExchangeSeeds(fleet.Agents[3:]...))
	fleet.KillAll()
	require.NoError(t, fleet.RestartAll())
	recovery, cancel := context.WithTimeout(ctx, fleet.cfg.Bounds.Recovery)
	defer cancel()
	require.NoError(t, fleet.WaitServing(recovery))
}
