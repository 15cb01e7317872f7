package rollout

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// highUtilization is the utilization from which a server is avoided.
	highUtilization = 0.85
	// ringWindow is the maximum number of servers that are considered for a prompt.
	ringWindow = 48
	// firstTokenTarget is the latency target of all requests.
	firstTokenTarget = 800 * time.Millisecond
	// sessionTime is the duration of a session.
	sessionTime = 10 * time.Minute
	// rememberedRequests is the maximum number of requests that are remembered for a prompt, and
	// rememberedSessions the maximum number of sessions that are remembered.
	rememberedRequests, rememberedSessions = 64, 1 << 22
)

type sentRequest struct {
	at     time.Duration
	server *simServer
}

type runningRequest struct {
	agent  *simAgent
	server *simServer
	sample Sample
	isNew  bool
}

// runTraffic simulates a second's requests.
func (f *fleet) runTraffic() {
	f.endRequests()
	rings := f.rings()
	expected := f.config.rate * f.loadFactor
	count := int(expected)
	if f.rng.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		f.playRequest(rings)
	}
	for _, s := range f.servers {
		s.Utilization = 0.8*s.Utilization + 0.2*min(s.workMs/1000, 2)
		s.workMs = 0
	}
}

// endRequests ends the requests that are due to end in this second.
func (f *fleet) endRequests() {
	for _, r := range f.endsAt[f.now] {
		if r.server.State == registry.Deregistered {
			continue
		}
		if r.agent.inFlight[r.server.ID]--; r.agent.inFlight[r.server.ID] <= 0 {
			delete(r.agent.inFlight, r.server.ID)
		}
		r.server.running--
		r.agent.recorder.Record(&r.sample, r.isNew, r.agent.rules.IsRamping(r.server.ID))
	}
	delete(f.endsAt, f.now)
}

// rings returns the ready servers of each region, ordered by hash like the balancer's rings.
func (f *fleet) rings() map[string][]*simServer {
	rings := map[string][]*simServer{}
	for _, s := range f.servers {
		if s.isReady(f.now) {
			rings[s.Region] = append(rings[s.Region], s)
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(a, b *simServer) int { return cmp.Compare(a.hash, b.hash) })
	}
	return rings
}

// playRequest simulates the arrival of one request, and schedules its end.
func (f *fleet) playRequest(rings map[string][]*simServer) {
	f.requests++
	prompt := inference.Mix64(f.zipf.Uint64() + 1)
	epoch := uint64((f.now + time.Duration(prompt%600)*time.Second) / sessionTime)
	session := inference.Mix64(prompt + f.rng.Uint64N(20)<<8 + epoch)
	agent := f.agentOf(session)
	s := f.pick(agent, rings[agent.region], prompt, session)
	if s == nil {
		f.unserved++
		return
	}
	isNew := s.Revision == simNewRevision
	f.rememberRequest(s, prompt, session)
	agent.affinity.Record(f.now, session, isNew)
	group := Group{Route: "r", Key: prompt}
	agent.tracker.Record(f.now, s.ID, group)
	sample := f.serve(s, group)
	if sample.FirstToken > firstTokenTarget {
		f.late++
	}
	if sample.Failed {
		f.failed++
	}
	s.running++
	agent.inFlight[s.ID]++
	f.endsAt[sample.endsAt] = append(f.endsAt[sample.endsAt], runningRequest{agent, s, sample.Sample, isNew})
}

// agentOf returns the agent that a session's client connects to. It is the same one for nearly all of the
// session's requests.
func (f *fleet) agentOf(session uint64) *simAgent {
	agent := f.agents[session%uint64(len(f.agents))]
	if f.rng.Float64() < 0.02 {
		agent = f.agents[f.rng.IntN(len(f.agents))]
	}
	return agent
}

// rememberRequest records what the invariants are measured by.
func (f *fleet) rememberRequest(s *simServer, prompt, session uint64) {
	if f.config.sampling == 0 {
		requests := append(f.requestsByPrompt[prompt], sentRequest{f.now, s})
		f.requestsByPrompt[prompt] = requests[max(0, len(requests)-rememberedRequests):]
	}
	isNew := s.Revision == simNewRevision
	if before, ok := f.sessionIsNew[session]; ok && before != isNew {
		f.revisionChanges++
	}
	if len(f.sessionIsNew) < rememberedSessions {
		f.sessionIsNew[session] = isNew
	}
}

// servedSample is a sample and the time at which its request ends.
type servedSample struct {
	Sample
	endsAt time.Duration
}

// serve simulates a server's processing of a request.
func (f *fleet) serve(s *simServer, group Group) servedSample {
	slowdown, failureRate := 1.0, 0.0
	if s.Revision == simNewRevision {
		slowdown, failureRate = max(f.config.newSlowdown, 1), f.config.newFailureRate
	}
	firstTokenMs := f.config.firstTokenMs * slowdown * (0.8 + 0.4*f.rng.Float64())
	workMs := f.config.requestMs * slowdown
	cacheMiss := f.useCache(s, group.Key)
	if cacheMiss {
		firstTokenMs += f.config.prefillMs * slowdown
		workMs += f.config.prefillMs * slowdown * f.config.requestMs / f.config.firstTokenMs
	}
	s.workMs += workMs
	utilization := min(s.Utilization, 0.98)
	firstTokenMs += f.config.firstTokenMs * utilization * utilization / (1 - utilization) / 4 // queueing delay
	streamSeconds := 1 + f.rng.IntN(max(int(f.config.streamTime/time.Second), 1))
	return servedSample{
		Sample: Sample{
			Group:            group,
			PromptTokens:     5000,
			Server:           s.ID,
			FirstToken:       time.Duration(firstTokenMs * float64(time.Millisecond)),
			FirstTokenTarget: firstTokenTarget,
			Events:           50,
			CacheMiss:        cacheMiss,
			Failed:           f.rng.Float64() < failureRate,
		},
		endsAt: f.now + time.Second*time.Duration(streamSeconds),
	}
}

// useCache looks a prompt up in a server's cache, adds it if it is missing, and records its use.
func (f *fleet) useCache(s *simServer, prompt uint64) (miss bool) {
	s.useCount++
	if _, cached := s.cache[prompt]; !cached {
		miss = true
		f.prefills++
		if s.Revision == simNewRevision {
			f.newPrefills++
		}
		if len(s.cache) >= f.config.cachedPrompts {
			s.evict()
		}
	}
	s.cache[prompt] = s.useCount
	return miss
}

// evict removes the least recently used eighth of the cache at once, so that evictions are rare.
func (s *simServer) evict() {
	prompts := make([]uint64, 0, len(s.cache))
	for prompt := range s.cache {
		prompts = append(prompts, prompt)
	}
	slices.SortFunc(prompts, func(a, b uint64) int { return cmp.Compare(s.cache[a], s.cache[b]) })
	for _, prompt := range prompts[:len(prompts)/8+1] {
		delete(s.cache, prompt)
	}
}

// candidateList has the servers of one revision with the highest scores for a prompt, best first.
type candidateList struct {
	order    [4]*simServer
	score    [4]uint64
	n        int
	capacity float64 // total capacity of the revision's servers, by their shares
}

func (c *candidateList) add(s *simServer, score uint64) {
	for i := range c.order {
		if i >= c.n || score > c.score[i] {
			copy(c.order[i+1:], c.order[i:3])
			copy(c.score[i+1:], c.score[i:3])
			c.order[i], c.score[i] = s, score
			c.n = min(c.n+1, len(c.order))
			return
		}
	}
}

// pick is a simplified version of the balancer's pick. It prefers the session's revision and, among the
// servers of that revision in the prompt's window, the one with the highest score that accepts the
// session. If that server is being drained, some of its requests go to one of the next servers.
func (f *fleet) pick(agent *simAgent, ring []*simServer, prompt, session uint64) *simServer {
	if len(ring) == 0 {
		return nil
	}
	start, n := 0, len(ring)
	if n > ringWindow {
		start, n = int(prompt%uint64(n)), ringWindow
	}
	var lists [2]candidateList
	for i := range n {
		s := ring[(start+i)%len(ring)]
		f.consider(agent, s, &lists[s.Revision-simOldRevision], prompt, session)
	}
	first, other := &lists[0], &lists[1]
	if agent.rules.Active && agent.affinity.PrefersNew(session, NewCapacityShare(first.capacity, other.capacity)) {
		first, other = other, first
	}
	for _, list := range []*candidateList{first, other} { // rather the other revision than a queue
		if s := f.pickAmong(agent, list); s != nil && s.Utilization < highUtilization {
			return s
		}
	}
	if s := f.pickAmong(agent, first); s != nil {
		return s
	}
	return f.pickAmong(agent, other)
}

// consider adds a server to the list of its revision if it accepts the session.
func (f *fleet) consider(agent *simAgent, s *simServer, list *candidateList, prompt, session uint64) {
	if agent.rules.Active {
		share := agent.rules.Share(s.ID, s.Addr, s.Revision)
		switch {
		case share == 0:
			return
		case agent.rules.IsDraining(s.ID):
			list.capacity += s.Capacity * share
		case !AcceptsSession(s.ID, session, share):
			return
		default:
			list.capacity += s.Capacity
		}
	}
	score := inference.Mix64(prompt ^ s.hash)
	_, cached := s.cache[prompt]
	comesFirst := list.n == 0 || score > list.score[0]
	if agent.rules.IsWarming(s.ID) && !cached && comesFirst && !agent.warmup.Allow(f.now, agent.rules, s.ID, len(f.agents)) {
		return
	}
	list.add(s, score)
}

// pickAmong returns a server of one revision, or nil.
func (f *fleet) pickAmong(agent *simAgent, list *candidateList) *simServer {
	if list.n == 0 {
		return nil
	}
	first := list.order[0]
	if agent.rules.IsDraining(first.ID) && f.rng.Float64() >= agent.rules.Share(first.ID, first.Addr, first.Revision) {
		if list.n == 1 {
			return nil // the last of its revision
		}
		return list.order[1+f.rng.IntN(min(list.n-1, max(agent.rules.SpreadServers, 1)))]
	}
	for _, s := range list.order[:list.n] {
		if s.Utilization < highUtilization {
			return s
		}
	}
	return first
}
