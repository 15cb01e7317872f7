package fleetsim

import (
	"maps"
	"slices"

	"chalkdoor.example/chalkdoor/internal/testbed/backendmodel"
	"chalkdoor.example/chalkdoor/policy"
)

// scenarios schedule the faults of a simulation, within its first 20 s.
var scenarios = map[string]func(*simulation){
	// There are no faults.
	"calm": func(*simulation) {},
	// A zone is unreachable for 5 s, and its servers return cold; an eighth of the servers is slow.
	"zone": func(sim *simulation) {
		for i, s := range sim.servers {
			if i%8 == 0 {
				s.SetSlowdown(4)
			}
		}
		var lost []*server
		for _, s := range sim.servers {
			if s.zone == sim.Zones-1 {
				lost = append(lost, s)
			}
		}
		sim.schedule(startTime+8000, func() {
			for _, s := range lost {
				s.unreachable, s.removed = true, true
			}
			sim.publish(lost...)
		})
		sim.schedule(startTime+13000, func() {
			for _, s := range lost {
				s.removed = false
				sim.restart(s, sim.now)
			}
			sim.publish(lost...)
		})
	},
	// 60% of the servers are replaced by new ones within 7 s.
	"join": func(sim *simulation) {
		n := len(sim.servers) * 6 / 10
		for i := range n {
			sim.schedule(startTime+5000+7000*float64(i)/float64(n), func() {
				old := sim.servers[i]
				old.removed = true
				sim.publish(old, sim.addServer(sim.now))
			})
		}
	},
	// 60% of the servers drain in two steps and are replaced within 7 s, some servers are slow,
	// and for 7 s half of the clients retry at once.
	"release": func(sim *simulation) {
		var old []*server
		for i, s := range sim.servers {
			if i%8 == 0 {
				s.SetSlowdown(2)
			} else if len(old) < len(sim.servers)*6/10 {
				old = append(old, s)
			}
		}
		half := len(old) / 2
		for i, batch := range [][]*server{old[:half], old[half:]} {
			sim.schedule(startTime+7300+1900*float64(i), func() {
				for _, s := range batch {
					s.draining = true
				}
				sim.publish(batch...)
			})
			sim.schedule(startTime+9700+1900*float64(i), func() {
				for _, s := range batch {
					s.removed = true
				}
				sim.publish(batch...)
			})
		}
		for i := range old {
			sim.schedule(startTime+9400+3000*float64(i)/float64(len(old)), func() {
				sim.publish(sim.addServer(sim.now))
			})
		}
		sim.schedule(startTime+8000, func() { sim.eagerShare = 0.5 })
		sim.schedule(startTime+15000, func() { sim.eagerShare = 0 })
	},
	// 70% of the agents are killed at the same time, and one in eight servers answers most
	// requests with an error for 10 s.
	"herd": func(sim *simulation) {
		for i, s := range sim.servers {
			if i%8 == 0 {
				sim.schedule(startTime+5000, func() { s.errorRate = 0.8 })
				sim.schedule(startTime+15000, func() { s.errorRate = 0 })
			}
		}
		for i, a := range sim.agents {
			if i%10 < 7 {
				sim.schedule(startTime+6000, func() {
					if err := sim.startAgent(a); err != nil {
						sim.err = err
					}
				})
			}
		}
	},
	// A fifth of the servers are unreachable for 6 s, and discovery does not report it.
	"split": func(sim *simulation) {
		for i, s := range sim.servers {
			if i%5 == 0 {
				sim.schedule(startTime+8000, func() { s.unreachable = true })
				sim.schedule(startTime+14000, func() { s.unreachable = false })
			}
		}
	},
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Settings returns the published settings of the deployment, which each agent gets together with
// its own index and zone.
func Settings() policy.Settings {
	settings := policy.Settings{
		Classes: []policy.Class{
			{Name: "quick-check", LatencyTargetMs: 480, ClientTimeoutMs: 2370,
				Idempotency: policy.NonIdempotent, DedupWindowMs: 5000, Value: 2},
			{Name: "full-report", LatencyTargetMs: 950, ClientTimeoutMs: 1900,
				Idempotency: policy.Deduplicated, DedupScope: policy.DedupEverywhere, DedupWindowMs: 4000, Value: 5},
		},
		Limits: policy.Limits{AllowCancel: true, ConnectTimeoutMs: 100, KeepaliveMs: 10000, MaxAttempts: 5,
			MaxRetryAfterMs: 2500, AllowParallelAttempts: true, AllowProbes: true, AllowRetryAfter: true,
			MaxOpenRequests: 25000},
		Contract: policy.Contract{ResponseGraceMs: 20, DiscoveryDeadlineMs: 10000, SlowStartFloor: 0.13,
			SlowStartMs:  24000,
			DrainGraceMs: 2000, CollapseLoadFactor: 4, CollapseAfterMs: 1000},
		Prices: policy.Prices{CrossZone: 0.01, Handshake: 0.08, LateFailure: 0.03, Probe: 0.08, Waste: 0.11,
			Discovery: 0.05},
		Objective:  policy.Objective{Overall: 0.5, WorstWindow: 0.3, WorstClass: 0.1, WorstTenant: 0.1},
		LoadReport: policy.LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util", "latency_ms", "qps"}},
		Membership: "pushed", RoundMs: 1, Weights: "rough", ValueBy: "request",
	}
	settings.Clients.MarksRetry, settings.FamilyInfo.WarmKeys = true, true
	return settings
}

// Server returns the published figures of a report server, without its speed. It starts slowly.
func Server() backendmodel.Config {
	return backendmodel.Config{Cores: 2, Queue: 60, SlowStartFloor: 0.13, SlowStartMs: 24000, KeyTTLMs: 5000, KeySaving: 0.5,
		MaxKeys: 64, StallEveryMs: 3500, StallForMs: 200, OverloadQueue: 5, OverloadAfterMs: 2000,
		OverloadSlowdown: 2.6, OverloadIdleMs: 3000, MaxOverloadMs: 25000, CollapseLoadFactor: 4,
		CollapseWindowMs: 1000}
}

// FullFleet returns a simulation with these settings and servers at the size of a full fleet.
func FullFleet(seed uint64, scenario string) Config {
	return Config{
		Seed: seed, Scenario: scenario, Agents: 300, Servers: 170, Zones: 5, Rate: 4600, RateSpread: 0.7,
		Keys: 640, KeySkew: 0.8, DurationMs: 30000, Settings: Settings(),
		Server:   Server(),
		MinSpeed: 0.51, MaxSpeed: 1.1, WorkMs: []float64{36, 62}, ClassShare: []float64{0.6, 0.4}, HandshakeMs: 3,
		SameZoneMs: 0.25, CrossZoneMs: 2, DiscoveryDelayMs: 500, IdleTimeoutMs: 9375, RetryDelayMs: 200,
	}
}
