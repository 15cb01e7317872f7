package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelNodes is the number of nodes in the model. Each of them is an agent and a grantor.
const modelNodes = 5

// model is a simple implementation of what a Table does.
type model struct {
	grantors       map[string]map[string]bool // by agent
	ungrantedSince map[string]time.Duration   // by agent, the time since which it has no grantors
}

func nodeName(i int) string { return fmt.Sprint("n", i) }

func (m *model) observe(now time.Duration, agent string) {
	if m.grantors[agent] == nil {
		m.grantors[agent], m.ungrantedSince[agent] = map[string]bool{}, now
	}
}

func (m *model) grant(now time.Duration, agent, grantor string) {
	m.observe(now, agent)
	m.grantors[agent][grantor] = true
}

func (m *model) revoke(now time.Duration, agent, grantor string) {
	if !m.grantors[agent][grantor] {
		return
	}
	delete(m.grantors[agent], grantor)
	if len(m.grantors[agent]) == 0 {
		m.ungrantedSince[agent] = now
	}
}

func (m *model) remove(now time.Duration, agent string) {
	delete(m.grantors, agent)
	for other := range m.grantors {
		m.revoke(now, other, agent)
	}
}

func (m *model) expired(now time.Duration) []string {
	expired := []string{}
	for i := range modelNodes {
		agent := nodeName(i)
		if grantors, known := m.grantors[agent]; known && len(grantors) == 0 &&
			now-m.ungrantedSince[agent] > leaseDuration {
			expired = append(expired, agent)
		}
	}
	return expired
}

// Whatever several machines grant and revoke in any order, and whichever of them are removed, exactly those leases
// expire that no machine has granted for longer than the lease duration. No state of removed agents remains.
func TestLeasesOfSeveralGrantors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newPolledTable()
		m := &model{grantors: map[string]map[string]bool{}, ungrantedSince: map[string]time.Duration{}}
		node := rapid.Custom(func(t *rapid.T) string {
			return nodeName(rapid.IntRange(0, modelNodes-1).Draw(t, "n"))
		})
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				agent := node.Draw(t, "agent")
				table.Observe(table.now, agent)
				m.observe(table.now, agent)
			},
			"grant": func(t *rapid.T) {
				agent, grantor := node.Draw(t, "agent"), node.Draw(t, "grantor")
				table.Grant(table.now, agent, grantor)
				m.grant(table.now, agent, grantor)
			},
			"revoke": func(t *rapid.T) {
				agent, grantor := node.Draw(t, "agent"), node.Draw(t, "grantor")
				table.Revoke(table.now, agent, grantor)
				m.revoke(table.now, agent, grantor)
			},
			"remove": func(t *rapid.T) {
				agent := node.Draw(t, "agent")
				table.Remove(table.now, agent)
				m.remove(table.now, agent)
			},
			"advance": func(t *rapid.T) {
				table.now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
				require.ElementsMatch(t, m.expired(table.now), table.Expired(table.now))
			},
			"": func(t *rapid.T) {
				require.Len(t, table.leases, len(m.grantors))
				for agent, grantors := range m.grantors {
					require.Equal(t, len(grantors) > 0, table.Granted(agent))
				}
			},
		})
	})
}
