package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// prefillBudget is the largest number of tokens that a server prefills in one step.
	prefillBudget = 2048
	// maxQueue is the largest number of requests that wait at a server, as a multiple of its slots.
	maxQueue = 3
)

// simJob is a request at a server.
type simJob struct {
	prefixes             []Segment
	prompt, outputTokens int
	cached               int // prompt tokens that were cached when the job joined the batch
	remaining            int // prompt tokens that still have to be prefilled
	emitted              int // output tokens so far
	priority             int
	decoding             bool // the prompt is prefilled
	onFirstToken         func(load Load)
	onEnd                func(load Load, events int)
	onReject             func()
}

// reservedTokens returns how many tokens of the KV cache are reserved for the job.
func (j *simJob) reservedTokens() int { return j.prompt + j.outputTokens }

// simServer is a model server with continuous batching: each step prefills a chunk of prompts and
// decodes one token of each stream. It caches prefixes.
type simServer struct {
	sim            *sim
	index          int
	zone           string
	slowdown       float64                  // factor on the duration of steps
	cachedAt       map[uint64]time.Duration // time of the last use of each cached prefix, by ID
	prefixTokens   map[uint64]int
	cachedTokens   int
	reservedTokens int // tokens reserved for the batch
	waiting        []*simJob
	batch          []*simJob
	stepping       bool // a step is running
}

// load returns the load that the server reports.
func (s *simServer) load() Load {
	decoding := 0
	for _, j := range s.batch {
		if j.decoding {
			decoding++
		}
	}
	return Load{Running: decoding, Waiting: len(s.batch) - decoding + len(s.waiting), Slots: s.sim.site.slots}
}

// arrive queues a job by priority, or rejects it if the queue is full or the job exceeds the cache.
func (s *simServer) arrive(j *simJob) {
	if len(s.waiting) >= maxQueue*s.sim.site.slots || j.reservedTokens() > s.sim.site.cacheTokens {
		j.onReject()
		return
	}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority > j.priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, j)
	if !s.stepping {
		s.step()
	}
}

// admit moves waiting jobs to the batch while slots and cache tokens allow it.
func (s *simServer) admit() {
	for len(s.waiting) > 0 && len(s.batch) < s.sim.site.slots {
		j := s.waiting[0]
		if s.reservedTokens+j.reservedTokens() > s.sim.site.cacheTokens {
			return
		}
		s.waiting = s.waiting[1:]
		s.reservedTokens += j.reservedTokens()
		j.cached = min(s.cachedPrefix(j), j.prompt-1)
		j.remaining = j.prompt - j.cached
		s.countSharedTokens(j)
		s.cache(j.prefixes)
		s.batch = append(s.batch, j)
	}
}

func (s *simServer) isCached(prefix Segment) bool {
	_, ok := s.cachedAt[prefix.ID]
	return ok
}

// cachedPrefix returns how many tokens at the start of the job's prompt are cached.
func (s *simServer) cachedPrefix(j *simJob) (tokens int) {
	for _, prefix := range j.prefixes {
		if !s.isCached(prefix) {
			break
		}
		tokens += prefix.Tokens
	}
	return tokens
}

// countSharedTokens adds to the result the job's prompt tokens, its shared tokens, and the shared
// tokens that this server computes although some server computed them before.
func (s *simServer) countSharedTokens(j *simJob) {
	result := &s.sim.result
	result.promptTokens += float64(j.prompt)
	for _, prefix := range j.prefixes[:len(j.prefixes)-1] {
		result.sharedTokens += float64(prefix.Tokens)
		if !s.isCached(prefix) && s.sim.computedPrefixes[prefix.ID] {
			result.recomputedTokens += float64(prefix.Tokens)
		}
		s.sim.computedPrefixes[prefix.ID] = true
	}
}

// cache adds prefixes to the cache or marks them as used now, and evicts the least recently used ones
// beyond its capacity.
func (s *simServer) cache(prefixes []Segment) {
	for _, prefix := range prefixes {
		if !s.isCached(prefix) {
			s.cachedTokens += prefix.Tokens
			s.prefixTokens[prefix.ID] = prefix.Tokens
		}
		s.cachedAt[prefix.ID] = s.sim.now
	}
	for s.cachedTokens+s.reservedTokens > s.sim.site.cacheTokens && len(s.cachedAt) > 0 {
		oldest := s.leastRecentlyUsed()
		s.cachedTokens -= s.prefixTokens[oldest]
		delete(s.cachedAt, oldest)
	}
}

func (s *simServer) leastRecentlyUsed() (oldest uint64) {
	oldestAt := time.Duration(math.MaxInt64)
	for id, at := range s.cachedAt {
		if at < oldestAt || at == oldestAt && id < oldest {
			oldest, oldestAt = id, at
		}
	}
	return oldest
}

// step starts the next step if there is work.
func (s *simServer) step() {
	s.admit()
	s.stepping = len(s.batch) > 0
	if !s.stepping {
		return
	}
	site := s.sim.site
	prefilled, durationMs := s.prefill()
	decoding := 0
	for _, j := range s.batch {
		if j.decoding {
			decoding++
		}
	}
	durationMs += site.stepMs + site.streamMs*float64(decoding)
	s.sim.after(duration(durationMs*s.slowdown), func() { s.endStep(prefilled) })
}

// prefill prefills one chunk of the batch. It returns the jobs whose prefill is complete and the
// duration of the chunk.
func (s *simServer) prefill() (done []*simJob, durationMs float64) {
	site := s.sim.site
	budget, chunk := prefillBudget, s.chunkTokens()
	for _, j := range s.batch {
		n := min(budget, j.remaining, chunk)
		if j.decoding || n <= 0 {
			continue
		}
		budget -= n
		position, tokens := float64(j.prompt-j.remaining), float64(n)
		durationMs += tokens*site.prefillMs/1e3 + tokens*(position+tokens/2)/1e6*site.attentionMs
		s.sim.result.prefillMs[s.index] += tokens * site.prefillMs / 1e3
		j.remaining -= n
		if j.remaining == 0 {
			done = append(done, j)
		}
	}
	return done, durationMs
}

// chunkTokens returns the largest number of tokens of one prompt that are prefilled in a step.
func (s *simServer) chunkTokens() int {
	if !s.sim.site.interleavedPrefill {
		return prefillBudget
	}
	prefilling := 0
	for _, j := range s.batch {
		if !j.decoding {
			prefilling++
		}
	}
	return prefillBudget / max(prefilling, 1)
}

// endStep emits one token of each stream, including the first token of the prefilled jobs.
func (s *simServer) endStep(prefilled []*simJob) {
	site := s.sim.site
	for _, j := range prefilled {
		j.decoding, j.emitted = true, 1
		load := s.load()
		s.sim.after(duration(site.responseMs), func() { j.onFirstToken(load) })
	}
	s.batch = slices.DeleteFunc(s.batch, func(j *simJob) bool {
		if !j.decoding || slices.Contains(prefilled, j) && j.outputTokens > 1 {
			return false
		}
		if j.emitted++; j.emitted < j.outputTokens {
			return false
		}
		s.reservedTokens -= j.reservedTokens()
		load := s.load()
		s.sim.after(duration(site.responseMs), func() { j.onEnd(load, max(j.outputTokens/site.tokensPerEvent, 1)) })
		return true
	})
	s.step()
}
