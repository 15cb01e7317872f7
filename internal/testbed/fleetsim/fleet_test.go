package fleetsim

import (
	"reflect"
	"testing"
)

// small is a play that takes a second: many agents with little traffic each.
func small(seed uint64, scenario string) Config {
	cfg := Site(seed, scenario)
	cfg.Agents, cfg.Servers, cfg.Rate, cfg.ForMs = 60, 34, 900, 16000
	return cfg
}

func run(t *testing.T, cfg Config) *Result {
	t.Helper()
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestSameSeedSamePlay(t *testing.T) {
	cfg := small(1, "zone")
	cfg.ForMs = 4000
	a, b := run(t, cfg), run(t, cfg)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two plays of one seed differ: %+v and %+v", a.Second, b.Second)
	}
	cfg.Seed = 2
	if c := run(t, cfg); reflect.DeepEqual(a, c) {
		t.Error("another seed plays the same")
	}
}

// In every scenario each request gets its answer in time, nothing unsafe runs twice, no
// cold server topples, and what came is what was answered.
func TestRulesHoldInEveryScenario(t *testing.T) {
	for _, name := range Scenarios() {
		t.Run(name, func(t *testing.T) {
			r := run(t, small(3, name))
			if r.Lost > 0 || r.Twice > 0 || r.Toppled > 0 {
				t.Errorf("%d lost, %d run twice, %d servers toppled", r.Lost, r.Twice, r.Toppled)
			}
			if sum := r.Served + r.Late + r.Refused + r.Failed; sum != r.Asked || r.Asked < 10000 {
				t.Errorf("%d asked, %d answered", r.Asked, sum)
			}
			if worth := r.Earned / r.Worth; worth < 0.3 || worth > 1 {
				t.Errorf("%.3f of the worth was served", worth)
			}
		})
	}
}

// zone+mass: of 300 agents each opened a connection to nearly every server and gave it up
// idle, 57 for 100 requests.
func TestAgentsOfLittleTrafficKeepTheirConnections(t *testing.T) {
	cfg := Site(4, "calm")
	cfg.Agents, cfg.Servers, cfg.Rate, cfg.ForMs = 100, 100, 1500, 12000
	if r := run(t, cfg); r.HandshakeRate > 0.25 || r.Earned < 0.97*r.Worth {
		t.Errorf("%.2f new connections a request and %.3f of the worth served, want 0.25 at most and 0.97",
			r.HandshakeRate, r.Earned/r.Worth)
	}
}

func TestUnknownScenario(t *testing.T) {
	if _, err := Run(Site(1, "flood")); err == nil {
		t.Error("an unknown scenario was played")
	}
}

func TestBadSettings(t *testing.T) {
	cfg := small(1, "calm")
	cfg.Settings.Membership = ""
	if _, err := Run(cfg); err == nil {
		t.Error("settings that the module refuses were played")
	}
}
