package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// This file simulates a fleet of agents before model servers, in simulated time: the servers
// batch, read prompts piece by piece between the tokens of others, and keep parts.

type simTraffic struct {
	name                    string
	rate                    float64 // a second, over the fleet
	latencyTarget, deadline time.Duration
	priority                int
	sharedSegments          []simSegment // the shared parts
	ownTokens, ownSpread    float64      // tokens
	maxOwnTokens            int
	events, eventsSpread    float64
	maxAttempts             int // attempts
	zipf                    float64
}

type simSegment struct {
	tokens, variants int
	spread           float64
}

type simSite struct {
	servers, slots, cacheTokens, tokensPerEvent int
	zones, agents                               int
	stepMs, streamMs, prefillMs, attentionMs    float64 // ms, ms a stream, ms a thousand tokens, ms a million pairs
	responseMs                                  float64
	traffic                                     []simTraffic
	hotShare                                    float64 // part of the first kind's requests with one key
	loadFactor                                  float64 // factor on the rates
	burst                                       float64
	slowdown                                    map[int]float64 // servers that take so many times as long
	unresponsive                                map[int]bool    // servers that answer nothing
	seed                                        uint64
	duration                                    time.Duration
	noticeDelay, minNoticePrefill               time.Duration
	interleavedPrefill                          bool // prompts are read side by side, not in turn
}

type simResult struct {
	served, late, rejected, failed               [2]int
	offered                                      [2]int
	firstTokenMs                                 [2][]float64 // ms
	promptTokens, recomputedTokens, sharedTokens float64
	prefillMs                                    []float64 // per server, ms of reading
	crossZone                                    int
	sent                                         int
	sentToUnresponsive                           int
	pickTime                                     time.Duration
	notices                                      int
}

func (r *simResult) onTimeRatio(k int) float64 {
	return float64(r.served[k]-r.late[k]) / float64(max(r.offered[k], 1))
}

func (r *simResult) imbalance() float64 {
	sum, most := 0.0, 0.0
	for _, w := range r.prefillMs {
		sum += w
		most = max(most, w)
	}
	return most * float64(len(r.prefillMs)) / sum
}

func (r *simResult) cacheHitRatio() float64 { return 1 - r.recomputedTokens/r.sharedTokens }

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	x = slices.Clone(x)
	slices.Sort(x)
	return x[min(int(q*float64(len(x))), len(x)-1)]
}

func (r *simResult) String() string {
	return fmt.Sprintf("in time %.3f/%.3f  refused %d/%d failed %d/%d  first p50 %.0f/%.0f p95 %.0f/%.0f  hit %.3f again/prompt %.4f  herd %.2f cross %.2f",
		r.onTimeRatio(0), r.onTimeRatio(1), r.rejected[0], r.rejected[1], r.failed[0], r.failed[1], quantile(r.firstTokenMs[0], .5), quantile(r.firstTokenMs[1], .5),
		quantile(r.firstTokenMs[0], .95), quantile(r.firstTokenMs[1], .95), r.cacheHitRatio(), r.recomputedTokens/r.promptTokens, r.imbalance(), float64(r.crossZone)/float64(max(r.sent, 1)))
}

// event queue

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
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type sim struct {
	site             *simSite
	rng              *rand.Rand
	now              time.Duration
	queue            simQueue
	seq              int
	servers          []*simServer
	agents           []*Picker
	result           simResult
	computedPrefixes map[uint64]bool // chains that some server has read
}

func (m *sim) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, simEvent{m.now + d, m.seq, do})
}

type simJob struct {
	prefixes             []Segment
	prompt, outputTokens int
	remaining            int // tokens to read
	cached               int
	emitted              int
	priority             int
	arrivedAt            time.Duration
	first                func(load Load)
	done                 func(load Load, events int)
	reject               func()
	started              bool
}

type simServer struct {
	sim            *sim
	index          int
	zone           string
	cachedAt       map[uint64]time.Duration
	prefixTokens   map[uint64]int
	cachedTokens   int
	waiting        []*simJob
	batch          []*simJob
	stepping       bool
	slowdown       float64
	reservedTokens int
}

func (s *simServer) load() Load {
	running := 0
	for _, j := range s.batch {
		if j.started {
			running++
		}
	}
	return Load{Running: running, Waiting: len(s.batch) - running + len(s.waiting), Slots: s.sim.site.slots}
}

func (s *simServer) arrive(j *simJob) {
	if len(s.waiting) >= 3*s.sim.site.slots || j.prompt+j.outputTokens > s.sim.site.cacheTokens {
		j.reject()
		return
	}
	j.arrivedAt = s.sim.now
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority > j.priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, j)
	if !s.stepping {
		s.step()
	}
}

func (s *simServer) admit() {
	for len(s.waiting) > 0 && len(s.batch) < s.sim.site.slots {
		j := s.waiting[0]
		if s.reservedTokens+j.prompt+j.outputTokens > s.sim.site.cacheTokens {
			return
		}
		s.waiting = s.waiting[1:]
		s.reservedTokens += j.prompt + j.outputTokens
		for _, prefix := range j.prefixes {
			if _, ok := s.cachedAt[prefix.ID]; !ok {
				break
			}
			j.cached += prefix.Tokens
		}
		j.cached = min(j.cached, j.prompt-1)
		j.remaining = j.prompt - j.cached
		shared := 0
		for _, prefix := range j.prefixes[:len(j.prefixes)-1] {
			shared += prefix.Tokens
			if _, ok := s.cachedAt[prefix.ID]; !ok {
				if s.sim.computedPrefixes[prefix.ID] {
					s.sim.result.recomputedTokens += float64(prefix.Tokens)
				}
			}
			s.sim.computedPrefixes[prefix.ID] = true
		}
		s.sim.result.sharedTokens += float64(shared)
		s.sim.result.promptTokens += float64(j.prompt)
		for _, prefix := range j.prefixes {
			if _, ok := s.cachedAt[prefix.ID]; !ok {
				s.cachedTokens += prefix.Tokens
				s.prefixTokens[prefix.ID] = prefix.Tokens
			}
			s.cachedAt[prefix.ID] = s.sim.now
		}
		for s.cachedTokens+s.reservedTokens > s.sim.site.cacheTokens && len(s.cachedAt) > 0 {
			var oldest uint64
			at := time.Duration(math.MaxInt64)
			for id, t := range s.cachedAt {
				if t < at || t == at && id < oldest {
					oldest, at = id, t
				}
			}
			s.cachedTokens -= s.prefixTokens[oldest]
			delete(s.cachedAt, oldest)
		}
		s.batch = append(s.batch, j)
	}
}

func (s *simServer) step() {
	s.admit()
	if len(s.batch) == 0 {
		s.stepping = false
		return
	}
	s.stepping = true
	site := s.sim.site
	budget, durationMs := 2048, 0.0
	running := 0
	var finished []*simJob
	chunkTokens := budget
	if site.interleavedPrefill {
		reading := 0
		for _, j := range s.batch {
			if !j.started {
				reading++
			}
		}
		chunkTokens = budget / max(reading, 1)
	}
	for _, j := range s.batch {
		if j.started {
			running++
			continue
		}
		if n := min(budget, j.remaining, chunkTokens); n > 0 {
			budget -= n
			at := j.prompt - j.remaining
			durationMs += float64(n)*site.prefillMs/1e3 + float64(n)*(float64(at)+float64(n)/2)/1e6*site.attentionMs
			s.sim.result.prefillMs[s.index] += float64(n) * site.prefillMs / 1e3
			j.remaining -= n
			if j.remaining == 0 {
				finished = append(finished, j)
			}
		}
	}
	durationMs += site.stepMs + site.streamMs*float64(running)
	durationMs *= s.slowdown
	s.sim.after(duration(durationMs), func() {
		for _, j := range finished {
			j.started = true
			j.emitted = 1
			load := s.load()
			s.sim.after(duration(site.responseMs), func() { j.first(load) })
		}
		s.batch = slices.DeleteFunc(s.batch, func(j *simJob) bool {
			if !j.started || slices.Contains(finished, j) && j.outputTokens > 1 {
				return false
			}
			if j.emitted++; j.emitted < j.outputTokens {
				return false
			}
			s.reservedTokens -= j.prompt + j.outputTokens
			load := s.load()
			s.sim.after(duration(site.responseMs), func() { j.done(load, max(j.outputTokens/site.tokensPerEvent, 1)) })
			return true
		})
		s.step()
	})
}

func simulate(site simSite) *simResult {
	s := &sim{site: &site, rng: rand.New(rand.NewPCG(site.seed, 77)), computedPrefixes: map[uint64]bool{}}
	list := &registry.List{Version: 1, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	s.result.prefillMs = make([]float64, site.servers)
	for i := range site.servers {
		slow := 1.0
		if x := site.slowdown[i]; x > 0 {
			slow = x
		}
		zone := fmt.Sprintf("z%d", i%site.zones)
		s.servers = append(s.servers, &simServer{sim: s, index: i, zone: zone, cachedAt: map[uint64]time.Duration{},
			prefixTokens: map[uint64]int{}, slowdown: slow})
		in := &registry.Instance{ID: fmt.Sprintf("i-%04d-%d", i, site.seed), Service: "llm", Zone: zone, Slots: site.slots, Seq: 1}
		list.ByService["llm"] = append(list.ByService["llm"], in)
		list.ByID[in.ID] = in
	}
	index := map[string]int{}
	for i, in := range list.ByService["llm"] {
		index[in.ID] = i
	}
	doc := &config.Document{Services: map[string]*config.Service{"llm": {Name: "llm", HealthPath: "/health",
		Engine: &config.Engine{Slots: site.slots, CacheTokens: site.cacheTokens, TokensPerEvent: site.tokensPerEvent}}}}
	for i := range site.agents {
		p := New(Options{Zone: fmt.Sprintf("z%d", i%site.zones), Seed: site.seed*1000 + uint64(i)})
		p.UpdateConfig(0, doc)
		p.UpdateInstances(0, list)
		s.agents = append(s.agents, p)
		var poll func()
		poll = func() {
			for _, in := range p.DueHealthChecks(s.now) {
				ok := !site.unresponsive[index[in.ID]]
				wait := time.Millisecond
				if !ok {
					wait = 300 * time.Millisecond
				}
				s.after(wait, func() { p.HealthCheckDone(s.now, in.ID, ok, nil) })
			}
			s.after(p.HealthCheckInterval(), poll)
		}
		s.after(0, poll)
	}
	for k := range site.traffic {
		s.traffic(k, list, index)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if s.now = e.at; s.now > site.duration+20*time.Second {
			break
		}
		e.run()
	}
	return &s.result
}

func (m *sim) traffic(k int, list *registry.List, index map[string]int) {
	site := m.site
	kind := &site.traffic[k]
	route := &config.Route{Name: kind.name, Priority: kind.priority, MaxAttempts: kind.maxAttempts}
	// tokens of shared parts are drawn once
	sizes := make([][]int, len(kind.sharedSegments))
	for i, c := range kind.sharedSegments {
		for range c.variants {
			sizes[i] = append(sizes[i], max(int(float64(c.tokens)*math.Exp(c.spread*m.rng.NormFloat64()-c.spread*c.spread/2)), 16))
		}
	}
	last := kind.sharedSegments[len(kind.sharedSegments)-1]
	weights := make([]float64, last.variants)
	sum := 0.0
	for i := range weights {
		sum += math.Pow(float64(i+1), -kind.zipf)
		weights[i] = sum
	}
	count := uint64(0)
	request := func() {
		variant, _ := slices.BinarySearch(weights, m.rng.Float64()*sum)
		if k == 0 && m.rng.Float64() < site.hotShare {
			variant = 0
		}
		count++
		var segments []Segment
		prompt := 0
		for i := range kind.sharedSegments {
			n := variant % kind.sharedSegments[i].variants
			segments = append(segments, Segment{ID: uint64(k+1)<<40 | uint64(i+1)<<32 | uint64(n), Tokens: sizes[i][n]})
			prompt += sizes[i][n]
		}
		ownTokens := min(max(int(kind.ownTokens*math.Exp(kind.ownSpread*m.rng.NormFloat64()-kind.ownSpread*kind.ownSpread/2)), 8), kind.maxOwnTokens)
		segments = append(segments, Segment{ID: uint64(k+1)<<60 | count, Tokens: ownTokens})
		prompt += ownTokens
		outputTokens := max(int(kind.events*math.Exp(kind.eventsSpread*m.rng.NormFloat64()-kind.eventsSpread*kind.eventsSpread/2)), 1) * site.tokensPerEvent
		m.result.offered[k]++
		p := m.agents[m.rng.IntN(len(m.agents))]
		m.attempt(k, route, p, segments, prompt, outputTokens, m.now, nil, index)
	}
	var next func()
	next = func() {
		if m.now > site.duration {
			return
		}
		n := 1
		if site.burst > 1 && m.rng.Float64() < 0.2 {
			n = int(site.burst)
		}
		for range n {
			request()
		}
		mean := 1 / (kind.rate * site.loadFactor) * (1 + 0.2*(max(site.burst, 1)-1))
		m.after(duration(m.rng.ExpFloat64()*mean*1e3), next)
	}
	m.after(0, next)
}

func (m *sim) attempt(k int, route *config.Route, p *Picker, segments []Segment, prompt, outputTokens int, readAt time.Duration, tried []string, index map[string]int) {
	kind := &m.site.traffic[k]
	startedAt := time.Now()
	d := p.Pick(m.now, &Request{Route: route, Service: "llm", Model: "m", Segments: segments, PromptTokens: prompt, MaxOutputTokens: outputTokens,
		TimeLeft: kind.deadline - (m.now - readAt), LatencyTarget: kind.latencyTarget, Elapsed: m.now - readAt, Tried: tried})
	m.result.pickTime += time.Since(startedAt)
	if d.Action == Reject {
		m.result.rejected[k]++
		return
	}
	s := m.servers[index[d.Instance.ID]]
	m.result.sent++
	networkDelay := 200 * time.Microsecond
	if s.zone != p.options.Zone {
		networkDelay = 500 * time.Microsecond
		m.result.crossZone++
	}
	a := d.Attempt
	a.Sent(m.now)
	if n, work := a.PrefillNotice(); m.site.noticeDelay > 0 && work >= m.site.minNoticePrefill {
		m.result.notices++
		from := m.now
		m.after(m.site.noticeDelay, func() {
			for _, q := range m.agents {
				if q != p {
					q.ObserveRemotePrefill(m.now, m.now-from, &n)
				}
			}
		})
	}
	retry := func() {
		if len(tried)+1 < kind.maxAttempts {
			m.attempt(k, route, p, segments, prompt, outputTokens, readAt, append(slices.Clone(tried), d.Instance.ID), index)
		} else {
			m.result.failed[k]++
		}
	}
	if m.site.unresponsive[s.index] {
		m.result.sentToUnresponsive++
		m.after(time.Second, func() { a.End(m.now, Timeout); retry() })
		return
	}
	job := &simJob{prefixes: inference.AppendPrefixes(nil, "m", segments), prompt: prompt, outputTokens: outputTokens, priority: d.Priority}
	job.first = func(load Load) {
		m.after(networkDelay, func() {
			a.Headers(m.now, 200, &load)
			a.Events(m.now, 1)
			first := m.now - readAt + 6*time.Millisecond
			m.result.firstTokenMs[k] = append(m.result.firstTokenMs[k], millis(first))
			late := first > kind.latencyTarget
			if late {
				m.result.late[k]++
			}
		})
	}
	job.done = func(load Load, events int) {
		m.after(networkDelay, func() {
			m.result.served[k]++
			if events > 1 {
				a.Events(m.now, events-1)
			}
			a.End(m.now, Succeeded)
		})
	}
	job.reject = func() {
		m.after(networkDelay, func() {
			a.End(m.now, Rejected)
			retry()
		})
	}
	m.after(networkDelay, func() { s.arrive(job) })
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
