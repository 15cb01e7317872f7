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

// simSite describes a simulated fleet of agents and model servers.
type simSite struct {
	servers, slots, cacheTokens, tokensPerEvent int
	zones, agents                               int
	stepMs                                      float64         // fixed duration of a step
	streamMs                                    float64         // duration that each stream adds to a step
	prefillMs                                   float64         // prefill time per thousand tokens
	attentionMs                                 float64         // additional prefill time per million pairs of tokens
	responseMs                                  float64         // delay from the end of a step to its response events
	interleavedPrefill                          bool            // prompts are prefilled interleaved instead of in order
	slowdown                                    map[int]float64 // factors on the step durations of servers, by index
	unresponsive                                map[int]bool    // indexes of the servers that never respond
	traffic                                     []simTraffic
	hotShare                                    float64       // fraction of the first traffic that has one hot key
	loadFactor                                  float64       // factor on the request rates
	burst                                       float64       // number of simultaneous requests in a burst
	noticeDelay                                 time.Duration // until prefill notices arrive; zero if none are sent
	minNoticePrefill                            time.Duration // prefill time from which a notice is sent
	duration                                    time.Duration
	seed                                        uint64
}

// drainDuration is how long a simulation continues after the last new request.
const drainDuration = 20 * time.Second

// simTraffic describes one kind of requests. Spreads are standard deviations of the logarithms of
// log-normal distributions.
type simTraffic struct {
	name                    string
	rate                    float64 // requests per second over the fleet
	latencyTarget, deadline time.Duration
	priority                int
	maxAttempts             int
	sharedSegments          []simSegment
	zipf                    float64 // exponent of the Zipf distribution of the last shared segment's variants
	ownTokens, ownSpread    float64 // mean and spread of the tokens of the last segment
	maxOwnTokens            int
	events, eventsSpread    float64 // mean and spread of the number of response events
}

// simSegment is a shared segment that has a number of variants.
type simSegment struct {
	tokens, variants int // mean number of tokens; number of variants
	spread           float64
}

// simResult holds the results of a simulation. Arrays of two items are indexed by traffic.
type simResult struct {
	offered, served, late, rejected, failed      [2]int
	firstTokenMs                                 [2][]float64
	promptTokens, recomputedTokens, sharedTokens float64
	prefillMs                                    []float64 // by server, without attention time
	sent, crossZone, sentToUnresponsive          int
}

// onTimeRatio returns the fraction of a traffic's requests that met their latency target.
func (r *simResult) onTimeRatio(traffic int) float64 {
	return float64(r.served[traffic]-r.late[traffic]) / float64(max(r.offered[traffic], 1))
}

// imbalance returns the largest prefill time of a server as a multiple of the mean.
func (r *simResult) imbalance() float64 {
	sum, most := 0.0, 0.0
	for _, ms := range r.prefillMs {
		sum += ms
		most = max(most, ms)
	}
	return most * float64(len(r.prefillMs)) / sum
}

// cacheHitRatio returns the fraction of shared tokens that were not prefilled again after a server had
// computed them before.
func (r *simResult) cacheHitRatio() float64 { return 1 - r.recomputedTokens/r.sharedTokens }

func quantile(samples []float64, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	samples = slices.Sorted(slices.Values(samples))
	return samples[min(int(q*float64(len(samples))), len(samples)-1)]
}

func (r *simResult) String() string {
	return fmt.Sprintf("on time %.3f/%.3f  rejected %d/%d failed %d/%d  first token p50 %.0f/%.0f p95 %.0f/%.0f  cache hits %.3f recomputed %.4f  imbalance %.2f cross-zone %.2f",
		r.onTimeRatio(0), r.onTimeRatio(1), r.rejected[0], r.rejected[1], r.failed[0], r.failed[1],
		quantile(r.firstTokenMs[0], .5), quantile(r.firstTokenMs[1], .5),
		quantile(r.firstTokenMs[0], .95), quantile(r.firstTokenMs[1], .95),
		r.cacheHitRatio(), r.recomputedTokens/r.promptTokens, r.imbalance(),
		float64(r.crossZone)/float64(max(r.sent, 1)))
}

// simEvent is an event of a simulation. Events at the same time run in the order of seq.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simQueue is a heap of events, for container/heap.
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

// sim is a discrete-event simulation of a fleet.
type sim struct {
	site             *simSite
	rng              *rand.Rand
	now              time.Duration
	queue            simQueue
	seq              int
	servers          map[string]*simServer // by instance ID
	agents           []*Picker
	result           simResult
	computedPrefixes map[uint64]bool // IDs of the prefixes that any server has computed
}

// after schedules run after a delay.
func (s *sim) after(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + delay, s.seq, run})
}

// simulate runs the simulation of a site to its end.
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
		instances = append(instances, &registry.Instance{
			ID:      id,
			Service: "llm",
			Zone:    s.zone(i),
			Slots:   s.site.slots,
			Seq:     1,
		})
	}
	return instanceList(instances...)
}

func (s *sim) addAgents(list *registry.List) {
	document := &config.Document{Services: map[string]*config.Service{"llm": {Name: "llm", HealthPath: "/health",
		Engine: &config.Engine{
			Slots:          s.site.slots,
			CacheTokens:    s.site.cacheTokens,
			TokensPerEvent: s.site.tokensPerEvent,
		}}}}
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

// mixedTraffic returns two kinds of traffic: long requests, and short requests that are more urgent.
// For each it takes the rate, the mean number of events, the number of keys and the latency target.
func mixedTraffic(
	longRate, shortRate, longEvents, shortEvents float64, keys [2]int, targets [2]time.Duration,
) []simTraffic {
	return []simTraffic{
		{name: "long", rate: longRate, latencyTarget: targets[0], deadline: 15 * time.Second, priority: 1,
			maxAttempts: 1, zipf: 0.3, sharedSegments: []simSegment{{512, 1, 0.4}, {4870, keys[0], 0.7}},
			ownTokens: 6610, ownSpread: 1.4, maxOwnTokens: 54600, events: longEvents, eventsSpread: 0.44},
		{name: "short", rate: shortRate, latencyTarget: targets[1], deadline: 3 * time.Second, priority: 0,
			maxAttempts: 2, zipf: 0.3, sharedSegments: []simSegment{{341, 40, 0.4}, {227, keys[1], 0.7}},
			ownTokens: 1800, ownSpread: 1.3, maxOwnTokens: 6870, events: shortEvents, eventsSpread: 1.4},
	}
}

// site18 is a site of 18 servers.
func site18(seed uint64) simSite {
	return simSite{servers: 18, slots: 64, cacheTokens: 678399, tokensPerEvent: 5, zones: 4, agents: 9,
		stepMs: 3.82, streamMs: 0.0227, prefillMs: 1e3 / 68.2, attentionMs: 0.242, responseMs: 36,
		traffic: mixedTraffic(30.6, 118, 76.4, 4.5, [2]int{115, 671},
			[2]time.Duration{800 * time.Millisecond, 400 * time.Millisecond}),
		loadFactor: 1, burst: 3, seed: seed, duration: 30 * time.Second}
}

// site12 is a site of 12 servers.
func site12(seed uint64) simSite {
	return simSite{servers: 12, slots: 48, cacheTokens: 529555, tokensPerEvent: 4, zones: 3, agents: 12,
		stepMs: 4.23, streamMs: 0.00077, prefillMs: 1e3 / 64.2, attentionMs: 0.647, responseMs: 0.67,
		traffic: mixedTraffic(13.7, 68.5, 95.6, 5.64, [2]int{77, 258},
			[2]time.Duration{1000 * time.Millisecond, 500 * time.Millisecond}),
		loadFactor: 1, burst: 3, seed: seed, duration: 30 * time.Second}
}

// site112 is a site of 112 servers.
func site112(seed uint64) simSite {
	return simSite{servers: 112, slots: 12, cacheTokens: 499261, tokensPerEvent: 8, zones: 4, agents: 72,
		stepMs: 3.82, streamMs: 0.0227, prefillMs: 1e3 / 68.2, attentionMs: 0.242, responseMs: 36,
		traffic: mixedTraffic(130, 628, 48, 3, [2]int{700, 4000},
			[2]time.Duration{800 * time.Millisecond, 400 * time.Millisecond}),
		loadFactor: 1, burst: 3, seed: seed, duration: 20 * time.Second}
}
