package daemon

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// All three kinds of losses, and the region, reach the core from the settings.
func TestFaultToleranceReachesTheCore(t *testing.T) {
	t.Parallel()
	m := newTestMachine(t)
	settings, err := os.ReadFile(m.settingsPath)
	require.NoError(t, err)
	text := strings.Replace(string(settings), "machine-losses = 0", "machine-losses = 1\nzones = 2\nregion-losses = 3", 1)
	require.NoError(t, os.WriteFile(m.settingsPath, []byte(text), 0o600))
	p := m.start()
	require.Eventually(t, func() bool { return p.daemon.core.Status().View.Number > 0 }, testTimeout, 20*time.Millisecond)
	status := p.daemon.core.Status()
	require.Equal(t, "r", status.View.Voters[0].Region)
	require.Equal(t, view.Shortfall{Machines: 1, Zones: 2, Regions: 3}, status.Shortfall, "one machine bears none")
	p.terminateAndWait()
}
