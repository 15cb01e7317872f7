package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The limits in these tests leave a wide margin to the results of the simulations: the tests fail if
// a change makes a fleet clearly worse, but not by chance.

// withPrefillNotices returns the site with agents that publish notices of long prefills.
func withPrefillNotices(site simSite) simSite {
	site.noticeDelay, site.minNoticePrefill = 40*ms, 50*ms
	return site
}

func TestFleetUnderNormalLoad(t *testing.T) {
	for name, site := range map[string]simSite{
		"18 servers":  site18(3),
		"12 servers":  site12(3),
		"112 servers": site112(3),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site.duration = 15 * time.Second
			if site.servers > 64 {
				site.duration = 4 * time.Second
			}
			withoutNotices, r := simulate(site), simulate(withPrefillNotices(site))
			t.Logf("without notices: %s", withoutNotices)
			t.Logf("with notices: %s", r)
			for _, r := range []*simResult{withoutNotices, r} {
				assert.Zero(t, r.rejected[0]+r.rejected[1], "there is free capacity")
				assert.Greater(t, r.onTimeRatio(0), 0.84)
				assert.Greater(t, r.onTimeRatio(1), 0.86)
				assert.Greater(t, r.cacheHitRatio(), 0.85, "most shared segments are computed once")
				assert.Less(t, r.imbalance(), 2.3, "no server prefills much more than the mean")
			}
			assert.Greater(t, r.onTimeRatio(0), 0.91)
			assert.Greater(t, r.onTimeRatio(1), 0.97, "short prompts do not wait for long ones")
		})
	}
}

func TestFleetWithAHotKey(t *testing.T) {
	site := withPrefillNotices(site18(4))
	site.hotShare, site.duration = 0.3, 15*time.Second
	r := simulate(site)
	t.Log(r)
	assert.Greater(t, r.onTimeRatio(0), 0.88)
	assert.Greater(t, r.onTimeRatio(1), 0.96)
	assert.Less(t, r.imbalance(), 1.8, "the hot key's subset is large")
	assert.Greater(t, r.cacheHitRatio(), 0.85)
}

func TestFleetWithUnresponsiveServers(t *testing.T) {
	site := withPrefillNotices(site18(5))
	site.unresponsive, site.duration = map[int]bool{2: true, 7: true}, 15*time.Second
	r := simulate(site)
	t.Log(r, r.sentToUnresponsive)
	assert.Less(t, float64(r.sentToUnresponsive)/float64(r.sent), 0.02,
		"unresponsive servers are ejected after few attempts")
	assert.Greater(t, r.onTimeRatio(0), 0.86)
	assert.Greater(t, r.onTimeRatio(1), 0.94)
}

func TestFleetWithSlowServers(t *testing.T) {
	site := withPrefillNotices(site18(6))
	site.slowdown, site.duration = map[int]float64{2: 3, 7: 3}, 15*time.Second
	r := simulate(site)
	t.Log(r)
	sum := 0.0
	for _, ms := range r.prefillMs {
		sum += ms
	}
	assert.Less(t, r.prefillMs[2]+r.prefillMs[7], 2*0.85*sum/float64(len(r.prefillMs)), "slow servers get less work")
	assert.Greater(t, r.onTimeRatio(0), 0.84)
	assert.Greater(t, r.onTimeRatio(1), 0.93)
}

func TestFleetWithInterleavedPrefill(t *testing.T) {
	site := withPrefillNotices(site12(7))
	site.interleavedPrefill, site.duration = true, 15*time.Second
	r := simulate(site)
	t.Log(r)
	assert.Greater(t, r.onTimeRatio(0), 0.9)
	assert.Greater(t, r.onTimeRatio(1), 0.97)
}

// TestFleetUnderOverload offers about one and a half times the load that the servers can handle.
func TestFleetUnderOverload(t *testing.T) {
	site := withPrefillNotices(site18(8))
	site.loadFactor, site.duration = 2.6, 15*time.Second
	r := simulate(site)
	t.Log(r)
	rejected := func(traffic int) float64 { return float64(r.rejected[traffic]) / float64(r.offered[traffic]) }
	assert.Greater(t, rejected(0), 0.05, "requests that cannot be answered in time are rejected")
	assert.Less(t, rejected(0), 0.65, "long requests are not starved")
	assert.Less(t, rejected(1), rejected(0), "the less urgent requests are shed first")
	assert.Greater(t, float64(r.served[1])/float64(r.offered[1]), 0.85)
	assert.Greater(t, r.onTimeRatio(1), 0.3)
}
