package experiment

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

// A play that ends while agents are down, or not ready again, reports no crash.
func TestPlayEndsWhileAgentsAreDown(t *testing.T) {
	agentsOnly := strings.Replace(smallFleet, `baselines = ["random"]`, "", 1)
	r := runSmall(t, agentsOnly+"[[fault]]\nkind = \"kill-agents\"\nat = \"1990ms\"\npart = 1.0\n")
	require.Empty(t, r.Crashes)
	require.Empty(t, r.Violations)
}

// Each outage is logged once, when the agent is ready again or the play ends.
func TestOutages(t *testing.T) {
	back, down := &agent{name: "n1"}, &agent{name: "n2"}
	w := &world{log: referee.NewLog(), agents: []*agent{back, down}, outages: map[*agent]time.Duration{}}
	w.beginOutages(w.agents)
	killed := w.log.Now()
	w.endOutage(back)
	w.endOutages()
	w.endOutages()
	events := w.log.Events()
	require.Len(t, events, 2)
	for i, name := range []string{"n1", "n2"} {
		require.Equal(t, referee.Killed, events[i].Kind)
		require.Equal(t, name, events[i].Agent)
		require.LessOrEqual(t, events[i].At, killed)
		require.GreaterOrEqual(t, events[i].Deadline, killed)
	}
}
