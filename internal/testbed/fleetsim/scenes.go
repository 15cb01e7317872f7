package fleetsim

import (
	"maps"
	"slices"

	"chalkdoor.example/chalkdoor/internal/testbed/backendmodel"
	"chalkdoor.example/chalkdoor/policy"
)

// scenes schedule what goes wrong, within the first 20 s of a play.
var scenes = map[string]func(*play){
	// Nothing goes wrong.
	"calm": func(*play) {},
	// A zone falls silent for 5 s and returns cold.
	"zone": func(p *play) {
		for i, s := range p.servers {
			if i%8 == 0 {
				s.Slow(4)
			}
		}
		var lost []*server
		for _, s := range p.servers {
			if s.zone == p.Zones-1 {
				lost = append(lost, s)
			}
		}
		p.at(start+8000, func() {
			for _, s := range lost {
				s.silent, s.gone = true, true
			}
			p.tell(lost...)
		})
		p.at(start+13000, func() {
			for _, s := range lost {
				s.gone = false
				p.restart(s, p.now)
			}
			p.tell(lost...)
		})
	},
	// Six in ten servers are replaced by new ones within 7 s.
	"join": func(p *play) {
		n := len(p.servers) * 6 / 10
		for i := range n {
			p.at(start+5000+7000*float64(i)/float64(n), func() {
				old := p.servers[i]
				old.gone = true
				p.tell(old, p.addServer(p.now))
			})
		}
	},
	// Six in ten servers drain in two steps and are replaced within 7 s, some servers are
	// slow, and for a while half of the clients come again at once.
	"release": func(p *play) {
		var old []*server
		for i, s := range p.servers {
			if i%8 == 0 {
				s.Slow(2)
			} else if len(old) < len(p.servers)*6/10 {
				old = append(old, s)
			}
		}
		half := len(old) / 2
		for i, part := range [][]*server{old[:half], old[half:]} {
			p.at(start+7300+1900*float64(i), func() {
				for _, s := range part {
					s.drains = true
				}
				p.tell(part...)
			})
			p.at(start+9700+1900*float64(i), func() {
				for _, s := range part {
					s.gone = true
				}
				p.tell(part...)
			})
		}
		for i := range old {
			p.at(start+9400+3000*float64(i)/float64(len(old)), func() { p.tell(p.addServer(p.now)) })
		}
		p.at(start+8000, func() { p.pushy = 0.5 })
		p.at(start+15000, func() { p.pushy = 0 })
	},
	// Seven in ten agents are killed at once, and one in eight servers fails what it gets.
	"herd": func(p *play) {
		for i, s := range p.servers {
			if i%8 == 0 {
				p.at(start+5000, func() { s.errors = 0.8 })
				p.at(start+15000, func() { s.errors = 0 })
			}
		}
		for i, a := range p.agents {
			if i%10 < 7 {
				p.at(start+6000, func() {
					if err := p.boot(a); err != nil {
						p.err = err
					}
				})
			}
		}
	},
	// A fifth of the servers fall silent for 6 s without a word of the list.
	"split": func(p *play) {
		for i, s := range p.servers {
			if i%5 == 0 {
				p.at(start+8000, func() { s.silent = true })
				p.at(start+14000, func() { s.silent = false })
			}
		}
	},
}

// Scenarios names what can go wrong in a play.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenes)) }

// Settings are the published figures of the deployment, as each agent is told them but for its
// own number and zone.
func Settings() policy.Settings {
	set := policy.Settings{
		Classes: []policy.Class{
			{Name: "quick-check", LatencyTargetMs: 480, ClientTimeoutMs: 2370, Idempotency: policy.NonIdempotent, DedupWindowMs: 5000, Value: 2},
			{Name: "full-report", LatencyTargetMs: 950, ClientTimeoutMs: 1900, Idempotency: policy.Deduplicated, DedupScope: policy.DedupEverywhere, DedupWindowMs: 4000, Value: 5},
		},
		Limits: policy.Limits{AllowCancel: true, ConnectTimeoutMs: 100, KeepaliveMs: 10000, MaxAttempts: 5,
			MaxRetryAfterMs: 2500, AllowParallelAttempts: true, AllowProbes: true, AllowRetryAfter: true, MaxOpenRequests: 25000},
		Contract: policy.Contract{ResponseGraceMs: 20, DiscoveryDeadlineMs: 10000, SlowStartFloor: 0.13, SlowStartMs: 24000,
			DrainGraceMs: 2000, CollapseLoadFactor: 4, CollapseAfterMs: 1000},
		Prices:     policy.Prices{CrossZone: 0.01, Handshake: 0.08, LateFailure: 0.03, Probe: 0.08, Waste: 0.11, Discovery: 0.05},
		Objective:  policy.Objective{Overall: 0.5, WorstWindow: 0.3, WorstClass: 0.1, WorstTenant: 0.1},
		LoadReport: policy.LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util", "latency_ms", "qps"}},
		Membership: "pushed", RoundMs: 1, Weights: "rough", ValueBy: "request",
	}
	set.Clients.MarksRetry, set.FamilyInfo.WarmKeys = true, true
	return set
}

// Server is the published figures of a report server of speed one, cold for long.
func Server() backendmodel.Config {
	return backendmodel.Config{Cores: 2, Queue: 60, ColdFrom: 0.13, ColdMs: 24000, KeyTTLMs: 5000, KeySaving: 0.5,
		KeyMost: 64, StallEveryMs: 3500, StallForMs: 200, ChokeQueue: 5, ChokeAfterMs: 2000, ChokeFactor: 2.6,
		ChokeIdleMs: 3000, ChokeMostMs: 25000, TipMultiple: 4, TipMs: 1000}
}

// Site is a play on these figures at the size of a full fleet.
func Site(seed uint64, scenario string) Config {
	return Config{
		Seed: seed, Scenario: scenario, Agents: 300, Servers: 170, Zones: 5, Rate: 4600, Spread: 0.7,
		Keys: 640, KeySkew: 0.8, ForMs: 30000, Settings: Settings(),
		Server:    Server(),
		SpeedFrom: 0.51, SpeedTo: 1.1, WorkMs: []float64{36, 62}, Share: []float64{0.6, 0.4}, HandshakeMs: 3,
		NearMs: 0.25, FarMs: 2, ListMs: 500, IdleMs: 9375, RetryMs: 200,
	}
}
