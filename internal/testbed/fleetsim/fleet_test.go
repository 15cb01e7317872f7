package fleetsim

import (
	"reflect"
	"testing"
)

// smallFleet returns a simulation that runs for about a second: many agents with little traffic each.
func smallFleet(seed uint64, scenario string) Config {
	cfg := FullFleet(seed, scenario)
	cfg.Agents, cfg.Servers, cfg.Rate, cfg.DurationMs = 60, 34, 900, 16000
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

func TestSimulationIsDeterministic(t *testing.T) {
	cfg := smallFleet(1, "zone")
	cfg.DurationMs = 4000
	a, b := run(t, cfg), run(t, cfg)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of one seed differ: %+v and %+v", a.SecondStats, b.SecondStats)
	}
	cfg.Seed = 2
	if c := run(t, cfg); reflect.DeepEqual(a, c) {
		t.Error("another seed gives the same result")
	}
}

// In every scenario each request is answered before its client's timeout, no request that is not idempotent is
// executed twice, no cold server collapses, and the outcomes add up to the number of requests.
func TestRulesHoldInEveryScenario(t *testing.T) {
	for _, name := range Scenarios() {
		t.Run(name, func(t *testing.T) {
			r := run(t, smallFleet(3, name))
			if r.Unanswered > 0 || r.DuplicateExecutions > 0 || r.CollapsedServers > 0 {
				t.Errorf("%d requests unanswered, %d executed twice, %d servers collapsed",
					r.Unanswered, r.DuplicateExecutions, r.CollapsedServers)
			}
			if sum := r.Served + r.Late + r.Rejected + r.Failed; sum != r.Requests || r.Requests < 10000 {
				t.Errorf("%d requests, %d outcomes", r.Requests, sum)
			}
			if served := r.ServedValue / r.Value; served < 0.3 || served > 1 {
				t.Errorf("%.3f of the value was served", served)
			}
		})
	}
}

// Each of 300 agents opened connections to nearly all servers and closed them idle, 57 connections per 100 requests.
func TestAgentsWithLittleTrafficReuseConnections(t *testing.T) {
	cfg := FullFleet(4, "calm")
	cfg.Agents, cfg.Servers, cfg.Rate, cfg.DurationMs = 100, 100, 1500, 12000
	if r := run(t, cfg); r.HandshakeRate > 0.25 || r.ServedValue < 0.97*r.Value {
		t.Errorf("%.2f new connections per request and %.3f of the value served, want at most 0.25 and at least 0.97",
			r.HandshakeRate, r.ServedValue/r.Value)
	}
}

func TestUnknownScenario(t *testing.T) {
	if _, err := Run(FullFleet(1, "flood")); err == nil {
		t.Error("an unknown scenario was run")
	}
}

func TestInvalidSettings(t *testing.T) {
	cfg := smallFleet(1, "calm")
	cfg.Settings.Membership = ""
	if _, err := Run(cfg); err == nil {
		t.Error("settings that package policy rejects were accepted")
	}
}
