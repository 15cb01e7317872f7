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

func TestNewProcessHasNoShare(t *testing.T) {
	b := New(0.2, window, 58)
	b.SetAgents(time.Hour, 9)
	assert.Zero(t, b.Share(time.Hour+window), "its predecessor may have spent it up to now")
	assert.False(t, b.TryRepeat(time.Hour+window, "s"))
	assert.Equal(t, 5, b.Share(time.Hour+window+1), "0.8 x 58 / 9")
	for range 5 {
		assert.True(t, b.TryRepeat(time.Hour+window+1, "s"))
	}
	assert.False(t, b.TryRepeat(time.Hour+window+1, "s"))
	assert.True(t, b.TryRepeat(time.Hour+window+1, "other"), "each service has its own")
}

func TestRepeatsEarnedByRequests(t *testing.T) {
	b := New(0.2, window, 0)
	b.SetAgents(0, 1)
	now := 2 * window
	allowed := 0
	for range 100 {
		b.First(now, "s")
		if b.TryRepeat(now, "s") {
			allowed++
		}
	}
	assert.Equal(t, 17, allowed, "0.85 x 0.2 x 100")
	assert.False(t, b.TryRepeat(now+window+window/buckets, "s"), "old requests earn nothing")
}

func TestShareFollowsTheMostAgentsOfTwoWindows(t *testing.T) {
	b := New(0.2, window, 100)
	b.SetAgents(0, 10)
	b.SetAgents(5*window, 2)
	assert.Equal(t, 8, b.Share(5*window))
	assert.Equal(t, 8, b.Share(7*window), "who is not heard may still spend")
	assert.Equal(t, 40, b.Share(8*window+1))
	b.SetAgents(8*window+2, 10)
	assert.Equal(t, 8, b.Share(8*window+2), "newcomers count at once")
	assert.Equal(t, 8, b.Share(20*window), "the last number told holds")
	assert.Zero(t, New(0.2, window, 100).Share(5*window), "no agents known")
}

func TestServicesAreBounded(t *testing.T) {
	b := New(0.2, window, 100)
	for i := range 3 * maxServices {
		b.First(0, fmt.Sprint(i))
	}
	assert.Len(t, b.services, maxServices)
	b.First(3*window, "late")
	assert.Len(t, b.services, 1, "idle ones give way")
}

// TestBudgetHolds plays agents that die, start again and hear each other late, with as many
// repeats as each is allowed, and counts as the operators do: arrivals beyond the first in any
// window against the requests of that window, of the one before or of the one half a window
// earlier.
func TestBudgetHolds(t *testing.T) {
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
					all[i].SetAgents(now, agents)
				}
				if rng.IntN(20) == 0 { // a cut: it hears of less than all, for a while
					all[i].SetAgents(now, agents-rng.IntN(2)*(agents/2))
				} else if rng.IntN(3) == 0 {
					all[i].SetAgents(now, agents)
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
					all[i].First(now, "s")
				}
				for all[i].TryRepeat(now, "s") {
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

func TestConstantMemoryAndTime(t *testing.T) {
	b := New(0.2, window, 58)
	allocs := testing.AllocsPerRun(1000, func() {
		b.First(time.Second, "s")
		b.TryRepeat(time.Second, "s")
	})
	require.Zero(t, allocs)
}

func BenchmarkTryRepeat(b *testing.B) {
	q := New(0.2, window, 58)
	q.SetAgents(0, 9)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		q.First(now, "s")
		q.TryRepeat(now, "s")
	}
}
