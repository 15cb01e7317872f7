package daemon

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// The three kinds of tolerated losses, and the region, reach the core from the settings.
func TestFaultToleranceReachesTheCore(t *testing.T) {
	t.Parallel()
	machine := newTestMachine(t)
	settings, err := os.ReadFile(machine.settingsPath)
	require.NoError(t, err)
	text := strings.Replace(string(settings), "machine-losses = 0", "machine-losses = 1\nzones = 2\nregion-losses = 3", 1)
	require.NoError(t, os.WriteFile(machine.settingsPath, []byte(text), 0o600))
	process := machine.start()
	require.Eventually(t, func() bool { return process.daemon.core.Status().View.Number > 0 }, testTimeout, 20*time.Millisecond)
	status := process.daemon.core.Status()
	require.Equal(t, "r", status.View.Voters[0].Region)
	require.Equal(t, view.Shortfall{Machines: 1, Zones: 2, Regions: 3}, status.Shortfall, "one machine bears none")
	process.terminateAndWait()
}
