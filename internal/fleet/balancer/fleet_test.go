package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The figures asked for here lie well under what these plays give: a change that makes a
// fleet clearly worse is found, and luck is not.

// told has agents tell each other of prompts that keep a server busy for long.
func told(site simSite) simSite {
	site.notice, site.noticeLeast = 40*ms, 50*ms
	return site
}

func TestFleetOnACalmDay(t *testing.T) {
	for name, site := range map[string]simSite{"18 servers": small(3), "12 servers": other(3), "112 servers": grown(3)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site.length = 15 * time.Second
			if site.servers > 64 {
				site.length = 4 * time.Second
			}
			alone, r := simulate(site), simulate(told(site))
			t.Logf("alone %s", alone)
			t.Logf("told  %s", r)
			for _, r := range []*simResult{alone, r} {
				assert.Zero(t, r.refused[0]+r.refused[1], "nothing is short")
				assert.Greater(t, r.inTime(0), 0.84)
				assert.Greater(t, r.inTime(1), 0.86)
				assert.Greater(t, r.hit(), 0.85, "shared parts are read once")
				assert.Less(t, r.herd(), 2.3, "no server reads much more than the mean")
			}
			assert.Greater(t, r.inTime(0), 0.91)
			assert.Greater(t, r.inTime(1), 0.97, "short prompts do not wait behind long ones")
		})
	}
}

func TestFleetWithAHotKey(t *testing.T) {
	site := told(small(4))
	site.hot, site.length = 0.3, 15*time.Second
	r := simulate(site)
	t.Log(r)
	assert.Greater(t, r.inTime(0), 0.88)
	assert.Greater(t, r.inTime(1), 0.96)
	assert.Less(t, r.herd(), 1.8, "it is spread")
	assert.Greater(t, r.hit(), 0.85)
}

func TestFleetWithSilentServers(t *testing.T) {
	site := told(small(5))
	site.dark, site.length = map[int]bool{2: true, 7: true}, 15*time.Second
	r := simulate(site)
	t.Log(r, r.darkSends)
	assert.Less(t, float64(r.darkSends)/float64(r.sent), 0.02, "they are known after few attempts")
	assert.Greater(t, r.inTime(0), 0.86)
	assert.Greater(t, r.inTime(1), 0.94)
}

func TestFleetWithSlowServers(t *testing.T) {
	site := told(small(6))
	site.slow, site.length = map[int]float64{2: 3, 7: 3}, 15*time.Second
	r := simulate(site)
	t.Log(r)
	sum := 0.0
	for _, w := range r.work {
		sum += w
	}
	assert.Less(t, r.work[2]+r.work[7], 2*0.85*sum/float64(len(r.work)), "they get less")
	assert.Greater(t, r.inTime(0), 0.84)
	assert.Greater(t, r.inTime(1), 0.93)
}

func TestFleetWithServersThatReadSideBySide(t *testing.T) {
	site := told(other(7))
	site.shared, site.length = true, 15*time.Second
	r := simulate(site)
	t.Log(r)
	assert.Greater(t, r.inTime(0), 0.9)
	assert.Greater(t, r.inTime(1), 0.97)
}

// TestFleetUnderOverload has half as much again as the servers can do at all.
func TestFleetUnderOverload(t *testing.T) {
	site := told(small(8))
	site.load, site.length = 2.6, 15*time.Second
	r := simulate(site)
	t.Log(r)
	refused := func(k int) float64 { return float64(r.refused[k]) / float64(r.asked[k]) }
	assert.Greater(t, refused(0), 0.05, "who cannot be served in time is told so")
	assert.Less(t, refused(0), 0.65, "and no kind is starved")
	assert.Less(t, refused(1), refused(0), "the less urgent ones first")
	assert.Greater(t, float64(r.served[1])/float64(r.asked[1]), 0.85)
	assert.Greater(t, r.inTime(1), 0.3)
}
