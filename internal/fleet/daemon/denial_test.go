package daemon

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// removeDisk takes the disk from a machine, so that it stays outside of the core.
func (m *testMachine) removeDisk() {
	text, err := os.ReadFile(m.settingsPath)
	require.NoError(m.t, err)
	var lines []string
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "state-dir") {
			lines = append(lines, line)
		}
	}
	require.NoError(m.t, os.WriteFile(m.settingsPath, []byte(strings.Join(lines, "")), 0o600))
}

func TestConfirmInterval(t *testing.T) {
	nodeSettings := &settings.Settings{}
	for convergeMs, want := range map[int64]time.Duration{
		200: relay.DefaultConfirmInterval, 2000: 500 * time.Millisecond, 3000: maxConfirmInterval, 60_000: maxConfirmInterval,
	} {
		nodeSettings.Bounds.ConvergeMs = convergeMs
		require.Equal(t, want, confirmInterval(nodeSettings))
	}
	nodeSettings.ActiveContracts = []string{settings.ContractTenants}
	require.Equal(t, relay.DefaultConfirmInterval, confirmInterval(nodeSettings))
}

// An agent that has lost the core answers a request without a route with 503, as a route for it may have been added,
// and serves those that have one.
func TestAgentWithoutCoreDeniesNoRoute(t *testing.T) {
	machines := newTestMachines(t, 2)
	core, agent := machines[0], machines[1]
	agent.removeDisk()
	coreProcess := core.start()
	agentProcess := agent.start()
	core.callControl(200, "PUT", "/chalkdoor/config", configJSON(5),
		"If-Match", "0", "Content-Type", "application/json")
	core.startModelServer("i-1")
	require.Eventually(t, agent.isReady, testTimeout, 20*time.Millisecond)
	status := func(path string) int {
		resp, done := agent.request(path, "1")
		done()
		return resp.StatusCode
	}
	require.Eventually(t, func() bool { return status("/added/x") == 404 }, testTimeout, 20*time.Millisecond,
		"the agent is in contact with the core")
	coreProcess.terminateAndWait()
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		assert.Equal(c, 503, status("/added/x"))
		assert.Equal(c, 200, status("/a/x"))
	}, testTimeout, 20*time.Millisecond)
	agentProcess.terminateAndWait()
}
