package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

// The network delays and the attempt timeout of a simulation.
const (
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = 500 * time.Microsecond
	clientDelay    = 6 * time.Millisecond
	attemptTimeout = time.Second
)

// simSource generates the requests of one kind of traffic.
type simSource struct {
	sim        *sim
	index      int // index of the traffic in simSite.traffic
	traffic    *simTraffic
	route      *config.Route
	tokens     [][]int   // tokens of each shared segment's variants
	popularity []float64 // cumulative weights of the last shared segment's variants
	requests   uint64    // number of requests so far
}

// simRequest is a request that has arrived at an agent.
type simRequest struct {
	source       *simSource
	agent        *Picker
	segments     []Segment
	promptTokens int
	outputTokens int
	readAt       time.Duration
	tried        []string // instance IDs of all attempts so far
}

func newSimSource(s *sim, index int) *simSource {
	traffic := &s.site.traffic[index]
	source := &simSource{
		sim:     s,
		index:   index,
		traffic: traffic,
		route:   &config.Route{Name: traffic.name, Priority: traffic.priority, MaxAttempts: traffic.maxAttempts},
		tokens:  make([][]int, len(traffic.sharedSegments)),
	}
	for i, segment := range traffic.sharedSegments {
		for range segment.variants {
			source.tokens[i] = append(source.tokens[i],
				max(source.logNormal(float64(segment.tokens), segment.spread), 16))
		}
	}
	last := traffic.sharedSegments[len(traffic.sharedSegments)-1]
	sum := 0.0
	for i := range last.variants {
		sum += math.Pow(float64(i+1), -traffic.zipf)
		source.popularity = append(source.popularity, sum)
	}
	return source
}

// logNormal draws a number from a log-normal distribution.
func (c *simSource) logNormal(mean, spread float64) int {
	return int(mean * math.Exp(spread*c.sim.rng.NormFloat64()-spread*spread/2))
}

func (c *simSource) start() { c.sim.after(0, c.next) }

// next sends the next request, or a burst with a probability of 0.2, and schedules the one after it.
func (c *simSource) next() {
	site, rng := c.sim.site, c.sim.rng
	if c.sim.now > site.duration {
		return
	}
	n := 1
	if site.burst > 1 && rng.Float64() < 0.2 {
		n = int(site.burst)
	}
	for range n {
		c.newRequest().attempt()
	}
	meanSeconds := 1 / (c.traffic.rate * site.loadFactor) * (1 + 0.2*(max(site.burst, 1)-1))
	c.sim.after(duration(rng.ExpFloat64()*meanSeconds*1e3), c.next)
}

// variant draws a variant of the last shared segment, which determines the variants of the others.
func (c *simSource) variant() int {
	rng := c.sim.rng
	variant, _ := slices.BinarySearch(c.popularity, rng.Float64()*c.popularity[len(c.popularity)-1])
	if c.index == 0 && rng.Float64() < c.sim.site.hotShare {
		variant = 0
	}
	return variant
}

func (c *simSource) newRequest() *simRequest {
	s, traffic := c.sim, c.traffic
	variant := c.variant()
	c.requests++
	var segments []Segment
	for i, segment := range traffic.sharedSegments {
		n := variant % segment.variants
		segments = append(segments, Segment{
			ID:     uint64(c.index+1)<<40 | uint64(i+1)<<32 | uint64(n),
			Tokens: c.tokens[i][n],
		})
	}
	ownTokens := min(max(c.logNormal(traffic.ownTokens, traffic.ownSpread), 8), traffic.maxOwnTokens)
	segments = append(segments, Segment{ID: uint64(c.index+1)<<60 | c.requests, Tokens: ownTokens})
	promptTokens := 0
	for _, segment := range segments {
		promptTokens += segment.Tokens
	}
	events := max(c.logNormal(traffic.events, traffic.eventsSpread), 1)
	s.result.offered[c.index]++
	return &simRequest{
		source:       c,
		segments:     segments,
		promptTokens: promptTokens,
		outputTokens: events * s.site.tokensPerEvent,
		agent:        s.agents[s.rng.IntN(len(s.agents))],
		readAt:       s.now,
	}
}

// attempt lets the request's agent pick a server and sends the request to it.
func (r *simRequest) attempt() {
	s, traffic := r.source.sim, r.source.traffic
	elapsed := s.now - r.readAt
	decision := r.agent.Pick(s.now, &Request{
		Route:           r.source.route,
		Service:         "llm",
		Model:           "m",
		Segments:        r.segments,
		PromptTokens:    r.promptTokens,
		MaxOutputTokens: r.outputTokens,
		TimeLeft:        traffic.deadline - elapsed,
		LatencyTarget:   traffic.latencyTarget,
		Elapsed:         elapsed,
		TriedInstances:  r.tried,
	})
	if decision.Action == Reject {
		s.result.rejected[r.source.index]++
		return
	}
	s.result.sent++
	decision.Attempt.Sent(s.now)
	r.publishNotice(decision.Attempt)
	r.tried = append(slices.Clone(r.tried), decision.Instance.ID)
	r.send(decision)
}

// publishNotice sends the other agents a notice if the attempt's prefill is long.
func (r *simRequest) publishNotice(a *Attempt) {
	s := r.source.sim
	notice, prefill := a.PrefillNotice()
	if s.site.noticeDelay == 0 || prefill < s.site.minNoticePrefill {
		return
	}
	sentAt := s.now
	s.after(s.site.noticeDelay, func() {
		for _, agent := range s.agents {
			if agent != r.agent {
				agent.ObserveRemotePrefill(s.now, s.now-sentAt, &notice)
			}
		}
	})
}

// send sends the request to the server that was picked.
func (r *simRequest) send(decision Decision) {
	s, a := r.source.sim, decision.Attempt
	server := s.servers[decision.Instance.ID]
	delay := sameZoneDelay
	if server.zone != r.agent.options.Zone {
		delay = crossZoneDelay
		s.result.crossZone++
	}
	if s.site.unresponsive[server.index] {
		s.result.sentToUnresponsive++
		s.after(attemptTimeout, func() { a.End(s.now, Timeout); r.retry() })
		return
	}
	job := &simJob{
		prefixes:     inference.AppendPrefixes(nil, "m", r.segments),
		prompt:       r.promptTokens,
		outputTokens: r.outputTokens,
		priority:     decision.Priority,
		onFirstToken: func(load Load) { s.after(delay, func() { r.firstToken(a, load) }) },
		onEnd:        func(_ Load, events int) { s.after(delay, func() { r.succeed(a, events) }) },
		onReject:     func() { s.after(delay, func() { a.End(s.now, Rejected); r.retry() }) },
	}
	s.after(delay, func() { server.arrive(job) })
}

// retry attempts the request again unless it has used all attempts.
func (r *simRequest) retry() {
	if len(r.tried) < r.source.traffic.maxAttempts {
		r.attempt()
	} else {
		r.source.sim.result.failed[r.source.index]++
	}
}

// firstToken records the arrival of the first token.
func (r *simRequest) firstToken(a *Attempt, load Load) {
	s, index := r.source.sim, r.source.index
	a.Headers(s.now, 200, &load)
	a.Events(s.now, 1)
	took := s.now - r.readAt + clientDelay
	s.result.firstTokenMs[index] = append(s.result.firstTokenMs[index], millis(took))
	if took > r.source.traffic.latencyTarget {
		s.result.late[index]++
	}
}

// succeed records that the response is complete.
func (r *simRequest) succeed(a *Attempt, events int) {
	s := r.source.sim
	s.result.served[r.source.index]++
	if events > 1 {
		a.Events(s.now, events-1)
	}
	a.End(s.now, Succeeded)
}
