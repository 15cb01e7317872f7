package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const window = 10 * time.Second

func TestNewProcessHasNoSlackShare(t *testing.T) {
	budget := New(0.2, window, 58)
	budget.SetAgentCount(time.Hour, 9)
	assert.Zero(t, budget.SlackShare(time.Hour+window), "its predecessor may have spent the share until now")
	assert.False(t, budget.TryRetry(time.Hour+window, "s"))
	assert.Equal(t, 5, budget.SlackShare(time.Hour+window+1), "0.8 x 58 / 9")
	for range 5 {
		assert.True(t, budget.TryRetry(time.Hour+window+1, "s"))
	}
	assert.False(t, budget.TryRetry(time.Hour+window+1, "s"))
	assert.True(t, budget.TryRetry(time.Hour+window+1, "other"), "each service has its own share")
}

func TestRequestsEarnRetries(t *testing.T) {
	budget := New(0.2, window, 0)
	budget.SetAgentCount(0, 1)
	now := 2 * window
	allowed := 0
	for range 100 {
		budget.RecordRequest(now, "s")
		if budget.TryRetry(now, "s") {
			allowed++
		}
	}
	assert.Equal(t, 17, allowed, "0.85 x 0.2 x 100")
	assert.False(t, budget.TryRetry(now+window+window/windowBuckets, "s"), "requests before the window earn nothing")
}

func TestSlackShareFollowsPeakAgents(t *testing.T) {
	budget := New(0.2, window, 100)
	budget.SetAgentCount(0, 10)
	budget.SetAgentCount(5*window, 2)
	assert.Equal(t, 8, budget.SlackShare(5*window))
	assert.Equal(t, 8, budget.SlackShare(7*window), "agents that are no longer known may still send")
	assert.Equal(t, 40, budget.SlackShare(8*window+1))
	budget.SetAgentCount(8*window+2, 10)
	assert.Equal(t, 8, budget.SlackShare(8*window+2), "new agents count at once")
	assert.Equal(t, 8, budget.SlackShare(20*window), "the last number set stays in force")
	assert.Zero(t, New(0.2, window, 100).SlackShare(5*window), "no agents known")
}

func TestServicesAreBounded(t *testing.T) {
	budget := New(0.2, window, 100)
	for i := range 3 * maxServices {
		budget.RecordRequest(0, fmt.Sprint(i))
	}
	assert.Len(t, budget.services, maxServices)
	budget.RecordRequest(3*window, "late")
	assert.Len(t, budget.services, 1, "idle services are evicted")
}

// fleetModel is a fleet of agents that crash, restart and learn of each other late. It records the time
// of each request and of each retry that a budget has allowed.
type fleetModel struct {
	ratio, slack      float64
	rate              float64       // requests per second and agent
	swing             float64       // fraction by which the rate alternately rises and falls
	burstStart        time.Duration // when a burst of requests begins
	crashRate         float64       // crashes per second and agent
	random            *rand.Rand
	agents            []*Budget // an item is nil before the agent's first start
	requests, retries []time.Duration
}

const (
	// modelStep is the length of one step of a fleetModel.
	modelStep = 50 * time.Millisecond
	// burstDuration is how long a burst lasts. swingPeriod is how long the rate stays high or low.
	burstDuration, swingPeriod = 4 * time.Second, 7 * time.Second
)

func drawFleet(t *rapid.T) *fleetModel {
	m := &fleetModel{
		ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
		// The slack is at least 20 because the fraction of it that is not distributed has to cover
		// requests that are unevenly distributed over a window. Agents count the windows that end with
		// their own sends, operators count other windows.
		slack: float64(rapid.IntRange(20, 250).Draw(t, "slack")),
	}
	m.agents = make([]*Budget, rapid.IntRange(1, 20).Draw(t, "agents"))
	m.rate = rapid.Float64Range(0.1, 40).Draw(t, "rate")
	m.swing = rapid.Float64Range(0, 0.5).Draw(t, "swing")
	m.burstStart = time.Duration(rapid.IntRange(0, 60).Draw(t, "burst")) * time.Second
	m.crashRate = rapid.Float64Range(0, 0.3).Draw(t, "crashes")
	m.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	return m
}

// run runs all agents for the given time.
func (m *fleetModel) run(duration time.Duration) {
	for now := time.Duration(0); now < duration; now += modelStep {
		for i := range m.agents {
			m.restart(now, i)
			m.updateAgentCount(now, m.agents[i])
			m.send(now, m.agents[i])
		}
	}
}

// restart starts an agent for the first time, or restarts it at random with the crash rate.
func (m *fleetModel) restart(now time.Duration, agent int) {
	if m.agents[agent] == nil || m.random.Float64() < m.crashRate*modelStep.Seconds() {
		m.agents[agent] = New(m.ratio, window, m.slack)
		m.agents[agent].SetAgentCount(now, len(m.agents))
	}
}

// updateAgentCount at random sets the number of agents that an agent knows: all of them or, as in a
// partition, about half of them.
func (m *fleetModel) updateAgentCount(now time.Duration, budget *Budget) {
	all := len(m.agents)
	if m.random.IntN(20) == 0 {
		budget.SetAgentCount(now, all-m.random.IntN(2)*(all/2))
	} else if m.random.IntN(3) == 0 {
		budget.SetAgentCount(now, all)
	}
}

// send sends an agent's requests of one step and then all retries that its budget allows.
func (m *fleetModel) send(now time.Duration, budget *Budget) {
	rate := m.rate * (1 + m.swing*float64(1-2*(int(now/swingPeriod)%2)))
	if now >= m.burstStart && now < m.burstStart+burstDuration {
		rate *= 1.5
	}
	for expected := rate * modelStep.Seconds(); expected > 0; expected-- {
		if m.random.Float64() >= expected {
			continue
		}
		m.requests = append(m.requests, now)
		budget.RecordRequest(now, "s")
	}
	for budget.TryRetry(now, "s") {
		m.retries = append(m.retries, now)
	}
}

// countBetween returns how many of the ascending times are in [from, to).
func countBetween(times []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, to)
	return end - first
}

// TestFleetStaysWithinBudget counts as operators do: the retries in any window are compared with the
// requests in that window, in the previous one, or in the one that starts half a window earlier.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawFleet(t)
		fleet.run(6 * window)
		for from := time.Duration(0); from < 5*window; from += modelStep {
			requests := max(
				countBetween(fleet.requests, from, from+window),
				countBetween(fleet.requests, from-window, from),
				countBetween(fleet.requests, from-window/2, from+window/2))
			retries := countBetween(fleet.retries, from, from+window)
			if limit := fleet.ratio*float64(requests) + fleet.slack; float64(retries) > limit {
				t.Fatalf("%d retries in the window from %v, want at most %.1f", retries, from, limit)
			}
		}
	})
}

func TestNoAllocations(t *testing.T) {
	budget := New(0.2, window, 58)
	allocs := testing.AllocsPerRun(1000, func() {
		budget.RecordRequest(time.Second, "s")
		budget.TryRetry(time.Second, "s")
	})
	require.Zero(t, allocs)
}
