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

type simKind struct {
	name             string
	rate             float64 // a second, over the fleet
	aim, deadline    time.Duration
	priority         int
	chain            []simPart // the shared parts
	own, ownSpread   float64   // tokens
	ownMost          int
	events, eventsSD float64
	cutoff           int // attempts
	zipf             float64
}

type simPart struct {
	tokens, things int
	spread         float64
}

type simSite struct {
	servers, slots, cache, stride int
	zones, agents                 int
	step, slot, read, pairs       float64 // ms, ms a stream, ms a thousand tokens, ms a million pairs
	firstMs                       float64
	kinds                         []simKind
	hot                           float64 // part of the first kind's requests with one key
	load                          float64 // factor on the rates
	clump                         float64
	slow                          map[int]float64 // servers that take so many times as long
	dark                          map[int]bool    // servers that answer nothing
	seed                          uint64
	length                        time.Duration
	notice, noticeLeast           time.Duration
	shared                        bool // prompts are read side by side, not in turn
}

type simResult struct {
	served, late, refused, failed [2]int
	asked                         [2]int
	first                         [2][]float64 // ms
	promptTokens, again, shared   float64
	work                          []float64 // per server, ms of reading
	cross                         int
	sent                          int
	darkSends                     int
	placeNs                       time.Duration
	notices                       int
}

func (r *simResult) inTime(k int) float64 {
	return float64(r.served[k]-r.late[k]) / float64(max(r.asked[k], 1))
}

func (r *simResult) herd() float64 {
	sum, most := 0.0, 0.0
	for _, w := range r.work {
		sum += w
		most = max(most, w)
	}
	return most * float64(len(r.work)) / sum
}

func (r *simResult) hit() float64 { return 1 - r.again/r.shared }

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
		r.inTime(0), r.inTime(1), r.refused[0], r.refused[1], r.failed[0], r.failed[1], quantile(r.first[0], .5), quantile(r.first[1], .5),
		quantile(r.first[0], .95), quantile(r.first[1], .95), r.hit(), r.again/r.promptTokens, r.herd(), float64(r.cross)/float64(max(r.sent, 1)))
}

// event queue

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
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
	site    *simSite
	rng     *rand.Rand
	now     time.Duration
	queue   simQueue
	seq     int
	servers []*simServer
	agents  []*Picker
	result  simResult
	read    map[uint64]bool // chains that some server has read
}

func (m *sim) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, simEvent{m.now + d, m.seq, do})
}

type simJob struct {
	chain       []Part
	prompt, out int
	left        int // tokens to read
	cached      int
	given       int
	priority    int
	at          time.Duration
	first       func(load Load)
	done        func(load Load, events int)
	reject      func()
	started     bool
}

type simServer struct {
	m         *sim
	i         int
	zone      string
	kept      map[uint64]time.Duration
	tokens    map[uint64]int
	keptSum   int
	waiting   []*simJob
	batch     []*simJob
	stepping  bool
	slow      float64
	usedByRun int
}

func (s *simServer) load() Load {
	running := 0
	for _, j := range s.batch {
		if j.started {
			running++
		}
	}
	return Load{Running: running, Waiting: len(s.batch) - running + len(s.waiting), Slots: s.m.site.slots}
}

func (s *simServer) arrive(j *simJob) {
	if len(s.waiting) >= 3*s.m.site.slots || j.prompt+j.out > s.m.site.cache {
		j.reject()
		return
	}
	j.at = s.m.now
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
	for len(s.waiting) > 0 && len(s.batch) < s.m.site.slots {
		j := s.waiting[0]
		if s.usedByRun+j.prompt+j.out > s.m.site.cache {
			return
		}
		s.waiting = s.waiting[1:]
		s.usedByRun += j.prompt + j.out
		for _, p := range j.chain {
			if _, ok := s.kept[p.ID]; !ok {
				break
			}
			j.cached += p.Tokens
		}
		j.cached = min(j.cached, j.prompt-1)
		j.left = j.prompt - j.cached
		shared := 0
		for _, p := range j.chain[:len(j.chain)-1] {
			shared += p.Tokens
			if _, ok := s.kept[p.ID]; !ok {
				if s.m.read[p.ID] {
					s.m.result.again += float64(p.Tokens)
				}
			}
			s.m.read[p.ID] = true
		}
		s.m.result.shared += float64(shared)
		s.m.result.promptTokens += float64(j.prompt)
		for _, p := range j.chain {
			if _, ok := s.kept[p.ID]; !ok {
				s.keptSum += p.Tokens
				s.tokens[p.ID] = p.Tokens
			}
			s.kept[p.ID] = s.m.now
		}
		for s.keptSum+s.usedByRun > s.m.site.cache && len(s.kept) > 0 {
			var oldest uint64
			at := time.Duration(math.MaxInt64)
			for id, t := range s.kept {
				if t < at || t == at && id < oldest {
					oldest, at = id, t
				}
			}
			s.keptSum -= s.tokens[oldest]
			delete(s.kept, oldest)
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
	site := s.m.site
	budget, ms := 2048, 0.0
	running := 0
	var finished []*simJob
	part := budget
	if site.shared {
		reading := 0
		for _, j := range s.batch {
			if !j.started {
				reading++
			}
		}
		part = budget / max(reading, 1)
	}
	for _, j := range s.batch {
		if j.started {
			running++
			continue
		}
		if n := min(budget, j.left, part); n > 0 {
			budget -= n
			at := j.prompt - j.left
			ms += float64(n)*site.read/1e3 + float64(n)*(float64(at)+float64(n)/2)/1e6*site.pairs
			s.m.result.work[s.i] += float64(n) * site.read / 1e3
			j.left -= n
			if j.left == 0 {
				finished = append(finished, j)
			}
		}
	}
	ms += site.step + site.slot*float64(running)
	ms *= s.slow
	s.m.after(duration(ms), func() {
		for _, j := range finished {
			j.started = true
			j.given = 1
			load := s.load()
			s.m.after(duration(site.firstMs), func() { j.first(load) })
		}
		s.batch = slices.DeleteFunc(s.batch, func(j *simJob) bool {
			if !j.started || slices.Contains(finished, j) && j.out > 1 {
				return false
			}
			if j.given++; j.given < j.out {
				return false
			}
			s.usedByRun -= j.prompt + j.out
			load := s.load()
			s.m.after(duration(site.firstMs), func() { j.done(load, max(j.out/site.stride, 1)) })
			return true
		})
		s.step()
	})
}

func simulate(site simSite) *simResult {
	m := &sim{site: &site, rng: rand.New(rand.NewPCG(site.seed, 77)), read: map[uint64]bool{}}
	list := &registry.List{Version: 1, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	m.result.work = make([]float64, site.servers)
	for i := range site.servers {
		slow := 1.0
		if x := site.slow[i]; x > 0 {
			slow = x
		}
		zone := fmt.Sprintf("z%d", i%site.zones)
		m.servers = append(m.servers, &simServer{m: m, i: i, zone: zone, kept: map[uint64]time.Duration{},
			tokens: map[uint64]int{}, slow: slow})
		in := &registry.Instance{ID: fmt.Sprintf("i-%04d-%d", i, site.seed), Service: "llm", Zone: zone, Slots: site.slots, Seq: 1}
		list.ByService["llm"] = append(list.ByService["llm"], in)
		list.ByID[in.ID] = in
	}
	index := map[string]int{}
	for i, in := range list.ByService["llm"] {
		index[in.ID] = i
	}
	doc := &config.Doc{Services: map[string]*config.Service{"llm": {Name: "llm", HealthPath: "/health",
		Engine: &config.Engine{Slots: site.slots, CacheTokens: site.cache, Stride: site.stride}}}}
	for i := range site.agents {
		p := New(Options{Zone: fmt.Sprintf("z%d", i%site.zones), Seed: site.seed*1000 + uint64(i)})
		p.SetConf(0, doc)
		p.SetList(0, list)
		m.agents = append(m.agents, p)
		var poll func()
		poll = func() {
			for _, in := range p.Checks(m.now) {
				ok := !site.dark[index[in.ID]]
				wait := time.Millisecond
				if !ok {
					wait = 300 * time.Millisecond
				}
				m.after(wait, func() { p.Checked(m.now, in.ID, ok, nil) })
			}
			m.after(p.Next(m.now), poll)
		}
		m.after(0, poll)
	}
	for k := range site.kinds {
		m.traffic(k, list, index)
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(simEvent)
		if m.now = e.at; m.now > site.length+20*time.Second {
			break
		}
		e.do()
	}
	return &m.result
}

func (m *sim) traffic(k int, list *registry.List, index map[string]int) {
	site := m.site
	kind := &site.kinds[k]
	route := &config.Route{Name: kind.name, Priority: kind.priority, MaxAttempts: kind.cutoff}
	// tokens of shared parts are drawn once
	sizes := make([][]int, len(kind.chain))
	for i, c := range kind.chain {
		for range c.things {
			sizes[i] = append(sizes[i], max(int(float64(c.tokens)*math.Exp(c.spread*m.rng.NormFloat64()-c.spread*c.spread/2)), 16))
		}
	}
	last := kind.chain[len(kind.chain)-1]
	weights := make([]float64, last.things)
	sum := 0.0
	for i := range weights {
		sum += math.Pow(float64(i+1), -kind.zipf)
		weights[i] = sum
	}
	count := uint64(0)
	request := func() {
		thing, _ := slices.BinarySearch(weights, m.rng.Float64()*sum)
		if k == 0 && m.rng.Float64() < site.hot {
			thing = 0
		}
		count++
		var parts []Part
		prompt := 0
		for i := range kind.chain {
			n := thing % kind.chain[i].things
			parts = append(parts, Part{ID: uint64(k+1)<<40 | uint64(i+1)<<32 | uint64(n), Tokens: sizes[i][n]})
			prompt += sizes[i][n]
		}
		own := min(max(int(kind.own*math.Exp(kind.ownSpread*m.rng.NormFloat64()-kind.ownSpread*kind.ownSpread/2)), 8), kind.ownMost)
		parts = append(parts, Part{ID: uint64(k+1)<<60 | count, Tokens: own})
		prompt += own
		out := max(int(kind.events*math.Exp(kind.eventsSD*m.rng.NormFloat64()-kind.eventsSD*kind.eventsSD/2)), 1) * site.stride
		m.result.asked[k]++
		p := m.agents[m.rng.IntN(len(m.agents))]
		m.try(k, route, p, parts, prompt, out, m.now, nil, index)
	}
	var next func()
	next = func() {
		if m.now > site.length {
			return
		}
		n := 1
		if site.clump > 1 && m.rng.Float64() < 0.2 {
			n = int(site.clump)
		}
		for range n {
			request()
		}
		mean := 1 / (kind.rate * site.load) * (1 + 0.2*(max(site.clump, 1)-1))
		m.after(duration(m.rng.ExpFloat64()*mean*1e3), next)
	}
	m.after(0, next)
}

func (m *sim) try(k int, route *config.Route, p *Picker, parts []Part, prompt, out int, sent time.Duration, tried []string, index map[string]int) {
	kind := &m.site.kinds[k]
	at := time.Now()
	d := p.Place(m.now, &Request{Route: route, Service: "llm", Model: "m", Parts: parts, Prompt: prompt, Out: out,
		Left: kind.deadline - (m.now - sent), Setpoint: kind.aim, Elapsed: m.now - sent, Tried: tried})
	m.result.placeNs += time.Since(at)
	if d.Kind == Refuse {
		m.result.refused[k]++
		return
	}
	s := m.servers[index[d.Server.ID]]
	m.result.sent++
	net := 200 * time.Microsecond
	if s.zone != p.opt.Zone {
		net = 500 * time.Microsecond
		m.result.cross++
	}
	a := d.Attempt
	a.Sent(m.now)
	if n, work := a.Notice(); m.site.notice > 0 && work >= m.site.noticeLeast {
		m.result.notices++
		from := m.now
		m.after(m.site.notice, func() {
			for _, q := range m.agents {
				if q != p {
					q.Heard(m.now, m.now-from, &n)
				}
			}
		})
	}
	again := func() {
		if len(tried)+1 < kind.cutoff {
			m.try(k, route, p, parts, prompt, out, sent, append(slices.Clone(tried), d.Server.ID), index)
		} else {
			m.result.failed[k]++
		}
	}
	if m.site.dark[s.i] {
		m.result.darkSends++
		m.after(time.Second, func() { a.End(m.now, Timeout); again() })
		return
	}
	job := &simJob{chain: inference.Chain(nil, "m", parts), prompt: prompt, out: out, priority: d.Priority}
	job.first = func(load Load) {
		m.after(net, func() {
			a.Head(m.now, 200, &load)
			a.Event(m.now, 1)
			first := m.now - sent + 6*time.Millisecond
			m.result.first[k] = append(m.result.first[k], millis(first))
			late := first > kind.aim
			if late {
				m.result.late[k]++
			}
		})
	}
	job.done = func(load Load, events int) {
		m.after(net, func() {
			m.result.served[k]++
			if events > 1 {
				a.Event(m.now, events-1)
			}
			a.End(m.now, Served)
		})
	}
	job.reject = func() {
		m.after(net, func() {
			a.End(m.now, NotRun)
			again()
		})
	}
	m.after(net, func() { s.arrive(job) })
}

// twoKinds are long drafts and short urgent answers.
func twoKinds(long, short, events, few float64, keys [2]int, aims [2]time.Duration) []simKind {
	return []simKind{
		{name: "long", rate: long, aim: aims[0], deadline: 15 * time.Second, priority: 1, cutoff: 1, zipf: 0.3,
			chain: []simPart{{512, 1, 0.4}, {4870, keys[0], 0.7}}, own: 6610, ownSpread: 1.4, ownMost: 54600, events: events, eventsSD: 0.44},
		{name: "short", rate: short, aim: aims[1], deadline: 3 * time.Second, priority: 0, cutoff: 2, zipf: 0.3,
			chain: []simPart{{341, 40, 0.4}, {227, keys[1], 0.7}}, own: 1800, ownSpread: 1.3, ownMost: 6870, events: few, eventsSD: 1.4},
	}
}

func small(seed uint64) simSite {
	return simSite{servers: 18, slots: 64, cache: 678399, stride: 5, zones: 4, agents: 9, step: 3.82, slot: 0.0227,
		read: 1e3 / 68.2, pairs: 0.242, firstMs: 36, kinds: twoKinds(30.6, 118, 76.4, 4.5, [2]int{115, 671},
			[2]time.Duration{800 * time.Millisecond, 400 * time.Millisecond}), load: 1, clump: 3, seed: seed, length: 30 * time.Second}
}

func other(seed uint64) simSite {
	return simSite{servers: 12, slots: 48, cache: 529555, stride: 4, zones: 3, agents: 12, step: 4.23, slot: 0.00077,
		read: 1e3 / 64.2, pairs: 0.647, firstMs: 0.67, kinds: twoKinds(13.7, 68.5, 95.6, 5.64, [2]int{77, 258},
			[2]time.Duration{1000 * time.Millisecond, 500 * time.Millisecond}), load: 1, clump: 3, seed: seed, length: 30 * time.Second}
}

func grown(seed uint64) simSite {
	return simSite{servers: 112, slots: 12, cache: 499261, stride: 8, zones: 4, agents: 72, step: 3.82, slot: 0.0227,
		read: 1e3 / 68.2, pairs: 0.242, firstMs: 36, kinds: twoKinds(130, 628, 48, 3, [2]int{700, 4000},
			[2]time.Duration{800 * time.Millisecond, 400 * time.Millisecond}), load: 1, clump: 3, seed: seed, length: 20 * time.Second}
}
