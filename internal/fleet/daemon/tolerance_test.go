package daemon

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// The tolerated losses of machines, zones and regions, and the node's region, are passed from the settings to
// the core.
func TestFaultToleranceReachesTheCore(t *testing.T) {
	t.Parallel()
	machine := newTestMachine(t)
	settingsText, err := os.ReadFile(machine.settingsPath)
	require.NoError(t, err)
	text := strings.Replace(string(settingsText), "machine-losses = 0",
		"machine-losses = 1\nzones = 2\nregion-losses = 3", 1)
	require.NoError(t, os.WriteFile(machine.settingsPath, []byte(text), 0o600))
	process := machine.start()
	require.Eventually(t, func() bool { return process.daemon.core.Status().View.Number > 0 },
		testTimeout, 20*time.Millisecond)
	status := process.daemon.core.Status()
	require.Equal(t, "r", status.View.Voters[0].Region)
	require.Equal(t, view.Shortfall{Machines: 1, Zones: 2, Regions: 3}, status.Shortfall,
		"a core of one machine tolerates no loss")
	process.terminateAndWait()
}
