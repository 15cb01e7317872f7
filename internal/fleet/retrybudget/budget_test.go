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
	assert.Zero(t, budget.SlackShare(time.Hour+window), "its predecessor may have spent it up to now")
	assert.False(t, budget.TryRetry(time.Hour+window, "s"))
	assert.Equal(t, 5, budget.SlackShare(time.Hour+window+1), "0.8 x 58 / 9")
	for range 5 {
		assert.True(t, budget.TryRetry(time.Hour+window+1, "s"))
	}
	assert.False(t, budget.TryRetry(time.Hour+window+1, "s"))
	assert.True(t, budget.TryRetry(time.Hour+window+1, "other"), "each service has its own")
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
	assert.False(t, budget.TryRetry(now+window+window/windowBuckets, "s"), "old requests earn nothing")
}

func TestSlackShareFollowsPeakAgents(t *testing.T) {
	budget := New(0.2, window, 100)
	budget.SetAgentCount(0, 10)
	budget.SetAgentCount(5*window, 2)
	assert.Equal(t, 8, budget.SlackShare(5*window))
	assert.Equal(t, 8, budget.SlackShare(7*window), "who is not heard may still spend")
	assert.Equal(t, 40, budget.SlackShare(8*window+1))
	budget.SetAgentCount(8*window+2, 10)
	assert.Equal(t, 8, budget.SlackShare(8*window+2), "newcomers count at once")
	assert.Equal(t, 8, budget.SlackShare(20*window), "the last number told holds")
	assert.Zero(t, New(0.2, window, 100).SlackShare(5*window), "no agents known")
}

func TestServicesAreBounded(t *testing.T) {
	budget := New(0.2, window, 100)
	for i := range 3 * maxServices {
		budget.RecordRequest(0, fmt.Sprint(i))
	}
	assert.Len(t, budget.services, maxServices)
	budget.RecordRequest(3*window, "late")
	assert.Len(t, budget.services, 1, "idle ones give way")
}

// TestFleetStaysWithinBudget plays agents that die, start again and hear each other late, with as many
// repeats as each is allowed, and counts as the operators do: arrivals beyond the first in any
// window against the requests of that window, of the one before or of the one half a window
// earlier.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		// The part of the slack that is not given out covers that few requests lie unevenly: agents
		// count the windows that end with each of their sends, the operators others.
		slack := float64(rapid.IntRange(20, 250).Draw(t, "slack"))
		agents := rapid.IntRange(1, 20).Draw(t, "agents")
		rate := rapid.Float64Range(0.1, 40).Draw(t, "rate") // a second and agent
		swing := rapid.Float64Range(0, 0.5).Draw(t, "swing")
		burst := time.Duration(rapid.IntRange(0, 60).Draw(t, "burst")) * time.Second
		deaths := rapid.Float64Range(0, 0.3).Draw(t, "deaths") // a second and agent
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var firsts, repeats []time.Duration
		all := make([]*Budget, agents)
		step := 50 * time.Millisecond
		for now := time.Duration(0); now < 6*window; now += step {
			for i := range all {
				if all[i] == nil || rng.Float64() < deaths*step.Seconds() {
					all[i] = New(ratio, window, slack)
					all[i].SetAgentCount(now, agents)
				}
				if rng.IntN(20) == 0 { // a cut: it hears of less than all, for a while
					all[i].SetAgentCount(now, agents-rng.IntN(2)*(agents/2))
				} else if rng.IntN(3) == 0 {
					all[i].SetAgentCount(now, agents)
				}
				wave := 1 + swing*float64(1-2*(int(now/(7*time.Second))%2))
				if now >= burst && now < burst+4*time.Second {
					wave *= 1.5
				}
				for x := rate * wave * step.Seconds(); x > 0; x-- {
					if rng.Float64() >= x {
						continue
					}
					firsts = append(firsts, now)
					all[i].RecordRequest(now, "s")
				}
				for all[i].TryRetry(now, "s") {
					repeats = append(repeats, now)
				}
			}
		}
		in := func(times []time.Duration, from, to time.Duration) int {
			i, _ := slices.BinarySearch(times, from)
			j, _ := slices.BinarySearch(times, to)
			return j - i
		}
		for from := time.Duration(0); from < 5*window; from += step {
			requests := max(in(firsts, from, from+window), in(firsts, from-window, from), in(firsts, from-window/2, from+window/2))
			got := in(repeats, from, from+window)
			if most := ratio*float64(requests) + slack; float64(got) > most {
				t.Fatalf("%d repeats in the window from %v, allowed are %.1f", got, from, most)
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

func BenchmarkTryRetry(b *testing.B) {
	budget := New(0.2, window, 58)
	budget.SetAgentCount(0, 9)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		budget.RecordRequest(now, "s")
		budget.TryRetry(now, "s")
	}
}
