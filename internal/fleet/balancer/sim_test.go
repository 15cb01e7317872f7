package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// simSite is what a simulated fleet of agents and model servers is made of.
type simSite struct {
	servers, slots, cacheTokens, tokensPerEvent int
	zones, agents                               int
	stepMs                                      float64 // of a batch
	streamMs                                    float64 // of a step, for each stream
	prefillMs                                   float64 // of a thousand tokens
	attentionMs                                 float64 // of a million pairs of tokens
	responseMs                                  float64 // from a step to its events
	interleavedPrefill                          bool    // prompts are prefilled side by side, not in turn
	slowdown                                    map[int]float64
	unresponsive                                map[int]bool
	traffic                                     []simTraffic
	hotShare                                    float64 // part of the first traffic's requests that have one key
	loadFactor                                  float64 // on the rates
	burst                                       float64 // requests at once, now and then
	noticeDelay                                 time.Duration
	minNoticePrefill                            time.Duration
	duration                                    time.Duration
	seed                                        uint64
}

// drainDuration is how long a simulation goes on without new requests.
const drainDuration = 20 * time.Second

// simTraffic is one kind of requests. Spreads are standard deviations of logarithms.
type simTraffic struct {
	name                    string
	rate                    float64 // a second, over the fleet
	latencyTarget, deadline time.Duration
	priority                int
	maxAttempts             int
	sharedSegments          []simSegment
	zipf                    float64 // exponent of the popularity of the shared segments
	ownTokens, ownSpread    float64 // of the last segment
	maxOwnTokens            int
	events, eventsSpread    float64
}

// simSegment is a shared segment that has a number of variants.
type simSegment struct {
	tokens, variants int
	spread           float64
}

// simResult are the figures of a simulation; those of two items are by traffic.
type simResult struct {
	offered, served, late, rejected, failed      [2]int
	firstTokenMs                                 [2][]float64
	promptTokens, recomputedTokens, sharedTokens float64
	prefillMs                                    []float64 // by server
	sent, crossZone, sentToUnresponsive          int
}

// onTimeRatio is the part of a traffic's requests that met their latency target.
func (r *simResult) onTimeRatio(traffic int) float64 {
	return float64(r.served[traffic]-r.late[traffic]) / float64(max(r.offered[traffic], 1))
}

// imbalance is the most prefill of a server, as a multiple of the mean.
func (r *simResult) imbalance() float64 {
	sum, most := 0.0, 0.0
	for _, ms := range r.prefillMs {
		sum += ms
		most = max(most, ms)
	}
	return most * float64(len(r.prefillMs)) / sum
}

// cacheHitRatio is of the shared tokens that any server had computed before.
func (r *simResult) cacheHitRatio() float64 { return 1 - r.recomputedTokens/r.sharedTokens }

func quantile(samples []float64, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	samples = slices.Sorted(slices.Values(samples))
	return samples[min(int(q*float64(len(samples))), len(samples)-1)]
}

func (r *simResult) String() string {
	return fmt.Sprintf("in time %.3f/%.3f  rejected %d/%d failed %d/%d  first token p50 %.0f/%.0f p95 %.0f/%.0f  cache hits %.3f recomputed %.4f  imbalance %.2f cross-zone %.2f",
		r.onTimeRatio(0), r.onTimeRatio(1), r.rejected[0], r.rejected[1], r.failed[0], r.failed[1],
		quantile(r.firstTokenMs[0], .5), quantile(r.firstTokenMs[1], .5), quantile(r.firstTokenMs[0], .95), quantile(r.firstTokenMs[1], .95),
		r.cacheHitRatio(), r.recomputedTokens/r.promptTokens, r.imbalance(), float64(r.crossZone)/float64(max(r.sent, 1)))
}

// simEvent is something that happens at a time. Events of one time happen in the order of seq.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

// sim simulates a fleet in simulated time, event by event.
type sim struct {
	site             *simSite
	rng              *rand.Rand
	now              time.Duration
	queue            simQueue
	seq              int
	servers          map[string]*simServer // by instance ID
	agents           []*Picker
	result           simResult
	computedPrefixes map[uint64]bool // by any server
}

// after has something happen after a delay.
func (s *sim) after(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + delay, s.seq, run})
}

// simulate plays a site to its end.
func simulate(site simSite) *simResult {
	s := &sim{
		site:             &site,
		rng:              rand.New(rand.NewPCG(site.seed, 77)),
		servers:          map[string]*simServer{},
		computedPrefixes: map[uint64]bool{},
	}
	list := s.addServers()
	s.addAgents(list)
	for i := range site.traffic {
		newSimSource(s, i).start()
	}
	for len(s.queue) > 0 {
		event := heap.Pop(&s.queue).(simEvent)
		if s.now = event.at; s.now > site.duration+drainDuration {
			break
		}
		event.run()
	}
	return &s.result
}

func (s *sim) zone(i int) string { return fmt.Sprintf("z%d", i%s.site.zones) }

func (s *sim) addServers() *registry.List {
	s.result.prefillMs = make([]float64, s.site.servers)
	var instances []*registry.Instance
	for i := range s.site.servers {
		id := fmt.Sprintf("i-%04d-%d", i, s.site.seed)
		slowdown := 1.0
		if factor := s.site.slowdown[i]; factor > 0 {
			slowdown = factor
		}
		s.servers[id] = &simServer{
			sim:          s,
			index:        i,
			zone:         s.zone(i),
			cachedAt:     map[uint64]time.Duration{},
			prefixTokens: map[uint64]int{},
			slowdown:     slowdown,
		}
		instances = append(instances, &registry.Instance{ID: id, Service: "llm", Zone: s.zone(i), Slots: s.site.slots, Seq: 1})
	}
	return instanceList(instances...)
}

func (s *sim) addAgents(list *registry.List) {
	document := &config.Document{Services: map[string]*config.Service{"llm": {Name: "llm", HealthPath: "/health",
		Engine: &config.Engine{Slots: s.site.slots, CacheTokens: s.site.cacheTokens, TokensPerEvent: s.site.tokensPerEvent}}}}
	for i := range s.site.agents {
		p := New(Options{Zone: s.zone(i), Seed: s.site.seed*1000 + uint64(i)})
		p.UpdateConfig(0, document)
		p.UpdateInstances(0, list)
		s.agents = append(s.agents, p)
		s.after(0, func() { s.checkHealth(p) })
	}
}

// checkHealth runs an agent's health checks.
func (s *sim) checkHealth(p *Picker) {
	const responseTime, timeout = time.Millisecond, 300 * time.Millisecond
	for _, instance := range p.DueHealthChecks(s.now) {
		healthy := !s.site.unresponsive[s.servers[instance.ID].index]
		delay := responseTime
		if !healthy {
			delay = timeout
		}
		s.after(delay, func() { p.HealthCheckDone(s.now, instance.ID, healthy, nil) })
	}
	s.after(p.HealthCheckInterval(), func() { s.checkHealth(p) })
}

// mixedTraffic are long drafts and short urgent answers.
func mixedTraffic(longRate, shortRate, longEvents, shortEvents float64, keys [2]int, targets [2]time.Duration) []simTraffic {
	return []simTraffic{
		{name: "long", rate: longRate, latencyTarget: targets[0], deadline: 15 * time.Second, priority: 1, maxAttempts: 1, zipf: 0.3,
			sharedSegments: []simSegment{{512, 1, 0.4}, {4870, keys[0], 0.7}}, ownTokens: 6610, ownSpread: 1.4, maxOwnTokens: 54600, events: longEvents, eventsSpread: 0.44},
		{name: "short", rate: shortRate, latencyTarget: targets[1], deadline: 3 * time.Second, priority: 0, maxAttempts: 2, zipf: 0.3,
			sharedSegments: []simSegment{{341, 40, 0.4}, {227, keys[1], 0.7}}, ownTokens: 1800, ownSpread: 1.3, maxOwnTokens: 6870, events: shortEvents, eventsSpread: 1.4},
	}
}

func site18(seed uint64) simSite {
	return simSite{servers: 18, slots: 64, cacheTokens: 678399, tokensPerEvent: 5, zones: 4, agents: 9, stepMs: 3.82, streamMs: 0.0227,
		prefillMs: 1e3 / 68.2, attentionMs: 0.242, responseMs: 36, traffic: mixedTraffic(30.6, 118, 76.4, 4.5, [2]int{115, 671},
			[2]time.Duration{800 * time.Millisecond, 400 * time.Millisecond}), loadFactor: 1, burst: 3, seed: seed, duration: 30 * time.Second}
}

func site12(seed uint64) simSite {
	return simSite{servers: 12, slots: 48, cacheTokens: 529555, tokensPerEvent: 4, zones: 3, agents: 12, stepMs: 4.23, streamMs: 0.00077,
		prefillMs: 1e3 / 64.2, attentionMs: 0.647, responseMs: 0.67, traffic: mixedTraffic(13.7, 68.5, 95.6, 5.64, [2]int{77, 258},
			[2]time.Duration{1000 * time.Millisecond, 500 * time.Millisecond}), loadFactor: 1, burst: 3, seed: seed, duration: 30 * time.Second}
}

func site112(seed uint64) simSite {
	return simSite{servers: 112, slots: 12, cacheTokens: 499261, tokensPerEvent: 8, zones: 4, agents: 72, stepMs: 3.82, streamMs: 0.0227,
		prefillMs: 1e3 / 68.2, attentionMs: 0.242, responseMs: 36, traffic: mixedTraffic(130, 628, 48, 3, [2]int{700, 4000},
			[2]time.Duration{800 * time.Millisecond, 400 * time.Millisecond}), loadFactor: 1, burst: 3, seed: seed, duration: 20 * time.Second}
}
