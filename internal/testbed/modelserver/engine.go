// Package modelserver simulates a server of a language model for tests: requests run in batches, prompts are prefilled
// in chunks while other requests produce tokens, and a KV cache keeps parts of prompts. The Engine is a state machine
// without I/O; a Server serves one over HTTP.
//
// The simulation is based on published figures of such servers, not on measurements.
package modelserver

import (
	"cmp"
	"container/list"
	"slices"
	"strconv"
	"time"
)

// EngineConfig holds the capacity and the speed of an engine.
type EngineConfig struct {
	Slots        int     // maximum number of requests in the batch
	Queue        int     // maximum number of waiting requests
	StepMs       float64 // duration of an empty step, in milliseconds
	SlotMs       float64 // additional milliseconds for each request that produces a token in the step
	PrefillPerMs float64 // prompt tokens read per millisecond
	Chunk        int     // maximum number of prompt tokens read in one step
	KVTokens     int     // size of the KV cache in tokens, for running requests and cached prompt parts together
	Stride       int     // tokens per event of the stream
	Speed        float64 // factor by which steps are faster than the durations above; zero means 1
}

// Part is a section of a prompt. Two parts share cache entries if their IDs and lengths and all the parts before them
// are equal.
type Part struct {
	ID     string
	Tokens int
}

// Job is one request to an engine.
type Job struct {
	ID           uint64
	Model        string
	Parts        []Part        // at least one
	OutputTokens int           // number of tokens of the complete output
	PriorTokens  int           // output tokens that exist already when a stream is resumed; they are read, not produced
	Priority     int           // 0 is the most urgent
	Deadline     time.Duration // time on the engine's clock; zero if there is none
}

// tokens returns the number of KV cache tokens that the job occupies when its output is complete.
func (j *Job) tokens() int {
	n := j.OutputTokens
	for _, p := range j.Parts {
		n += p.Tokens
	}
	return n
}

// OutputKind is the kind of an Output.
type OutputKind uint8

// The kinds of outputs.
const (
	FirstToken  OutputKind = iota // the job produced its first token; from now on it counts as executed
	StreamEvent                   // the job produced an event of its stream
	Expired                       // the deadline of the job passed and the engine dropped it
)

// Output is something that a job did at the end of a step.
type Output struct {
	Job      uint64
	Kind     OutputKind
	N        int  // number of a StreamEvent within the whole stream, from 1
	Last     bool // the StreamEvent is the last one of the stream
	Executed bool // the Expired job had produced a token
	At       time.Duration
}

// Load is the present load of an engine, with totals since its start.
type Load struct {
	Running, Waiting, Slots int
	KVUsed                  int // cache tokens of running jobs, which cannot be evicted
	KVCached                int // cache tokens of parts that no job uses
	KVTotal                 int // size of the cache in tokens
	TokensRead              int // total of prompt tokens and, after a preemption or resumption, output tokens read
	TokensSaved             int // total of prompt tokens that were found in the cache
	Preempted               int // total of preemptions
}

// Engine runs jobs step by step. It is not safe for concurrent use.
type Engine struct {
	cfg        EngineConfig
	lastOrder  uint64 // order of the job that arrived last
	waiting    []*seq // sorted by compareUrgency
	batch      []*seq
	jobs       map[uint64]*seq  // waiting and running jobs by ID
	nodes      map[string]*node // the cache, by key
	unused     *list.List       // nodes that no job uses, least recently used first
	usedTokens int              // occupied cache tokens: those of all nodes and the output tokens of the batch

	stepping  bool          // a step is in progress
	stepEnd   time.Duration // end of the step in progress
	producers []*seq        // jobs that produce a token in the step in progress

	tokensRead, tokensSaved, preempted int
}

// seq is a job that waits or runs.
type seq struct {
	Job
	order      uint64  // order of arrival
	nodes      []*node // the cache nodes of its parts while it is in the batch
	nodesRead  int     // number of nodes that are read completely
	produced   int     // output tokens so far, including PriorTokens
	outputRead int     // output tokens that were read or produced since the job joined the batch
	executed   bool    // it has produced a token
	inBatch    bool
	producing  bool // the step in progress produces its next token, for which a cache token is reserved
	dropped    bool
}

// node is the cache entry of a prompt part that follows certain other parts.
type node struct {
	key    string
	tokens int           // length of the part
	read   int           // tokens read so far
	users  int           // jobs in the batch that use it
	unused *list.Element // entry in Engine.unused; nil while the node is used
}

// NewEngine returns an idle engine with an empty cache.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	cfg.Slots, cfg.Chunk, cfg.Stride = max(cfg.Slots, 1), max(cfg.Chunk, 1), max(cfg.Stride, 1)
	return &Engine{cfg: cfg, jobs: map[uint64]*seq{}, nodes: map[string]*node{}, unused: list.New()}
}

// Submit adds a job. It returns false if it rejects the job, which then never runs.
func (e *Engine) Submit(now time.Duration, j Job) bool {
	if j.tokens() > e.cfg.KVTokens || len(j.Parts) == 0 || j.OutputTokens <= j.PriorTokens || e.jobs[j.ID] != nil {
		return false
	}
	if len(e.jobs) >= e.cfg.Slots+e.cfg.Queue {
		return false
	}
	e.lastOrder++
	s := &seq{Job: j, order: e.lastOrder, produced: j.PriorTokens}
	e.jobs[j.ID] = s
	e.enqueue(s)
	if !e.stepping {
		e.startStep(now)
	}
	return true
}

// enqueue adds a job to the queue, which is ordered by priority and then by arrival.
func (e *Engine) enqueue(s *seq) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, compareUrgency)
	e.waiting = slices.Insert(e.waiting, i, s)
}

func anySeq(*seq) bool { return true }

// compareUrgency orders jobs by priority and then by arrival.
func compareUrgency(a, b *seq) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
}

// Cancel drops a job. It reports whether the job existed and whether it had produced a token.
func (e *Engine) Cancel(id uint64) (found, executed bool) {
	s := e.jobs[id]
	if s == nil {
		return false, false
	}
	e.drop(s)
	return true, s.executed
}

// StepEnd returns the end of the step in progress. It returns false if the engine is idle.
func (e *Engine) StepEnd() (time.Duration, bool) { return e.stepEnd, e.stepping }

// Advance ends all steps whose end has been reached, starts the next one, and returns out with their
// outputs appended.
func (e *Engine) Advance(now time.Duration, out []Output) []Output {
	for e.stepping && e.stepEnd <= now {
		at := e.stepEnd
		for _, s := range e.producers {
			if s.producing {
				out = e.produceToken(s, at, out)
			}
		}
		out = e.dropExpired(at, out)
		e.startStep(at)
	}
	return out
}

// dropExpired drops the jobs whose deadline has passed, ordered by urgency.
func (e *Engine) dropExpired(at time.Duration, out []Output) []Output {
	var expired []*seq
	for _, s := range e.jobs {
		if s.Deadline > 0 && s.Deadline <= at {
			expired = append(expired, s)
		}
	}
	slices.SortFunc(expired, compareUrgency)
	for _, s := range expired {
		out = append(out, Output{Job: s.ID, Kind: Expired, Executed: s.executed, At: at})
		e.drop(s)
	}
	return out
}

// produceToken produces one token of a job.
func (e *Engine) produceToken(s *seq, at time.Duration, out []Output) []Output {
	s.producing = false
	s.produced++
	s.outputRead++
	if !s.executed {
		s.executed = true
		out = append(out, Output{Job: s.ID, Kind: FirstToken, At: at})
	}
	last := s.produced == s.OutputTokens
	if last || s.produced%e.cfg.Stride == 0 {
		out = append(out, Output{Job: s.ID, Kind: StreamEvent, N: (s.produced + e.cfg.Stride - 1) / e.cfg.Stride, Last: last, At: at})
	}
	if last {
		e.drop(s)
	}
	return out
}

// startStep starts a step: it admits jobs to the batch, distributes the chunk of tokens to read over them, and reserves
// cache tokens for those that produce a token.
func (e *Engine) startStep(now time.Duration) {
	e.admit()
	e.producers = e.producers[:0]
	slices.SortFunc(e.batch, compareUrgency)
	budget := e.cfg.Chunk
	for _, s := range slices.Clone(e.batch) {
		if !s.inBatch { // an earlier iteration preempted it
			continue
		}
		budget = e.prefill(s, budget)
		if s.nodesRead < len(s.nodes) || s.outputRead < s.produced {
			continue
		}
		for s.inBatch && !e.makeRoom(1, nil) {
			e.preempt(e.leastUrgent(anySeq)) // may be s itself
		}
		if s.inBatch {
			s.producing = true
			e.usedTokens++
			e.producers = append(e.producers, s)
		}
	}
	// A job that was preempted after it was added to the producers produces no token.
	e.producers = slices.DeleteFunc(e.producers, func(s *seq) bool { return !s.producing })
	if e.stepping = len(e.batch) > 0; !e.stepping {
		return
	}
	read := e.cfg.Chunk - budget
	ms := (e.cfg.StepMs + e.cfg.SlotMs*float64(len(e.producers)) + float64(read)/e.cfg.PrefillPerMs) / e.cfg.Speed
	e.stepEnd = now + max(time.Duration(ms*float64(time.Millisecond)), time.Microsecond)
}

// prefill reads the prompt of a job, and then the output that existed before the job joined the batch, up to budget
// tokens. It returns the remaining budget. Nodes that it reads are available to all jobs that share them.
func (e *Engine) prefill(s *seq, budget int) int {
	for s.nodesRead < len(s.nodes) && budget > 0 {
		n := s.nodes[s.nodesRead]
		x := min(n.tokens-n.read, budget)
		n.read += x
		budget -= x
		e.tokensRead += x
		if n.read < n.tokens {
			return budget
		}
		s.nodesRead++
	}
	if s.nodesRead == len(s.nodes) && s.outputRead < s.produced {
		x := min(s.produced-s.outputRead, budget)
		s.outputRead += x
		budget -= x
		e.tokensRead += x
	}
	return budget
}

// admit moves waiting jobs into the batch in their order. A job that lacks a slot or cache tokens preempts less urgent
// ones.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		lessUrgent := func(o *seq) bool { return o.Priority > s.Priority }
		for len(e.batch) >= e.cfg.Slots || !e.makeRoomFor(s) {
			victim := e.leastUrgent(lessUrgent)
			if victim == nil {
				return
			}
			e.preempt(victim)
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.joinBatch(s)
	}
}

// nodeKeys returns the cache keys of the job's parts. Each key contains the model and all the parts before it.
func (s *seq) nodeKeys() []string {
	keys, key := make([]string, len(s.Parts)), s.Model
	for i, p := range s.Parts {
		key += "/" + p.ID + ":" + strconv.Itoa(p.Tokens)
		keys[i] = key
	}
	return keys
}

// makeRoomFor evicts unused nodes until the job fits into the cache, and reports whether it does. It evicts none of the
// nodes that the job itself uses.
func (e *Engine) makeRoomFor(s *seq) bool {
	need, shared := s.produced+1, map[*node]bool{}
	for i, key := range s.nodeKeys() {
		if n := e.nodes[key]; n != nil {
			shared[n] = true
		} else {
			need += s.Parts[i].Tokens
		}
	}
	return e.makeRoom(need, shared)
}

// makeRoom evicts unused nodes, least recently used first, until the given number of tokens is free, and reports
// whether it is. It doesn't evict nodes in keep.
func (e *Engine) makeRoom(tokens int, keep map[*node]bool) bool {
	for el := e.unused.Front(); el != nil && e.usedTokens+tokens > e.cfg.KVTokens; {
		n := el.Value.(*node)
		el = el.Next()
		if !keep[n] {
			e.evict(n)
		}
	}
	return e.usedTokens+tokens <= e.cfg.KVTokens
}

// evict removes a node from the cache.
func (e *Engine) evict(n *node) {
	if n.unused != nil {
		e.unused.Remove(n.unused)
	}
	e.usedTokens -= n.tokens
	delete(e.nodes, n.key)
}

// joinBatch moves a job into the batch. The caller has made room for it in the cache.
func (e *Engine) joinBatch(s *seq) {
	s.inBatch, s.nodesRead, s.outputRead = true, 0, 0
	s.nodes = s.nodes[:0]
	for i, key := range s.nodeKeys() {
		n := e.nodes[key]
		if n == nil {
			n = &node{key: key, tokens: s.Parts[i].Tokens}
			e.nodes[key] = n
			e.usedTokens += n.tokens
		}
		e.tokensSaved += n.read
		if n.unused != nil {
			e.unused.Remove(n.unused)
			n.unused = nil
		}
		n.users++
		s.nodes = append(s.nodes, n)
	}
	e.usedTokens += s.produced
	e.batch = append(e.batch, s)
}

// leastUrgent returns the least urgent job of the batch that satisfies a condition, the newest one if several have the
// same priority; nil if there is none.
func (e *Engine) leastUrgent(condition func(*seq) bool) (found *seq) {
	for _, s := range e.batch {
		if condition(s) && (found == nil || compareUrgency(found, s) < 0) {
			found = s
		}
	}
	return found
}

// preempt moves a job from the batch back to the queue. Its output so far is read again when it rejoins the batch.
func (e *Engine) preempt(s *seq) {
	e.preempted++
	e.leaveBatch(s)
	e.enqueue(s)
}

// leaveBatch removes a job from the batch. The parts that it has read completely stay cached until they are evicted.
func (e *Engine) leaveBatch(s *seq) {
	s.inBatch = false
	e.batch = slices.DeleteFunc(e.batch, func(o *seq) bool { return o == s })
	e.usedTokens -= s.produced
	if s.producing {
		s.producing = false
		e.usedTokens--
	}
	// From the last to the first, so that a part is evicted before the parts that precede it in the prompt.
	for _, n := range slices.Backward(s.nodes) {
		if n.users--; n.users > 0 {
			continue
		}
		if n.read < n.tokens {
			e.evict(n)
			continue
		}
		n.unused = e.unused.PushBack(n)
	}
	s.nodes = s.nodes[:0]
}

// drop removes a job, whether it waits or runs.
func (e *Engine) drop(s *seq) {
	if s.dropped {
		return
	}
	s.dropped = true
	delete(e.jobs, s.ID)
	if s.inBatch {
		e.leaveBatch(s)
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(o *seq) bool { return o == s })
}

// Load returns the present load and the totals.
func (e *Engine) Load() Load {
	l := Load{Running: len(e.batch), Waiting: len(e.waiting), Slots: e.cfg.Slots, KVTotal: e.cfg.KVTokens,
		TokensRead: e.tokensRead, TokensSaved: e.tokensSaved, Preempted: e.preempted}
	for el := e.unused.Front(); el != nil; el = el.Next() {
		l.KVCached += el.Value.(*node).tokens
	}
	l.KVUsed = e.usedTokens - l.KVCached
	return l
}
