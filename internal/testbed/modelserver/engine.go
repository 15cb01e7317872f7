// Package modelserver is a language model's server as the laboratory has it: requests run in batches,
// prompts are read chunk by chunk between the tokens of others, and a KV memory keeps parts of
// prompts. The Engine is a state machine without I/O; a Server puts one on real sockets.
//
// It is a model by the published figures of such servers, and not a measurement of them.
package modelserver

import (
	"cmp"
	"container/list"
	"slices"
	"strconv"
	"time"
)

// EngineConfig is an engine's make.
type EngineConfig struct {
	Slots        int     // requests in the batch at most
	Queue        int     // requests that may wait; beyond them it is full
	StepMs       float64 // what a step takes with nothing in it
	SlotMs       float64 // more for each request whose token it makes
	PrefillPerMs float64 // prompt tokens that are read in a ms
	Chunk        int     // prompt tokens that one step reads at most
	KVTokens     int     // memory, shared by running requests and kept parts
	Stride       int     // tokens to an event of the stream
	Speed        float64 // times faster than its make; 0: 1
}

// Part is a piece of a prompt. Parts with equal IDs behind equal parts are the same.
type Part struct {
	ID     string
	Tokens int
}

// Job is one request of an engine.
type Job struct {
	ID       uint64
	Model    string
	Parts    []Part // at least one
	Out      int    // tokens that it puts out
	Made     int    // of them that exist already, where a stream is taken up: they are read
	Priority int    // 0 goes first
	Deadline time.Duration
}

// tokens is the memory that a job holds at its end.
func (j *Job) tokens() int {
	n := j.Out
	for _, p := range j.Parts {
		n += p.Tokens
	}
	return n
}

// OutputKind is what became of a job.
type OutputKind uint8

// The kinds of outputs.
const (
	Ran     OutputKind = iota // its first token is made: from here on it has run
	Piece                     // an event of its stream
	Expired                   // its deadline passed; the engine has dropped it
)

// Output is what a step brought about. At is when it happened.
type Output struct {
	Job  uint64
	Kind OutputKind
	N    int  // of a Piece: its number in the whole stream, from 1
	Last bool // of a Piece
	Ran  bool // of an Expired: whether it had run
	At   time.Duration
}

// Load is what an engine holds.
type Load struct {
	Running, Waiting, Slots int
	KVUsed                  int // held by what runs: it cannot give way
	KVKept                  int // held by parts that nothing uses
	KVTotal                 int
	Read                    int // prompt tokens read so far
	Saved                   int // prompt tokens that were kept already
	Preempted               int
}

// Engine runs jobs step by step. It is not safe for concurrent use.
type Engine struct {
	cfg     EngineConfig
	next    uint64 // order of arrival
	waiting []*seq
	batch   []*seq
	jobs    map[uint64]*seq
	nodes   map[string]*node
	unused  *list.List // of *node, longest unused first
	used    int        // tokens of memory: nodes and what the batch has made

	stepping bool
	ends     time.Duration // of the step
	makers   []*seq        // whose token the step makes

	read, saved, preempted int
}

// seq is a job under way.
type seq struct {
	Job
	order uint64
	nodes []*node // held while in the batch
	at    int     // nodes read
	made  int     // tokens put out
	again int     // of them read since it came into the batch
	ran   bool
	in    bool // in the batch
	makes bool // the step under way makes its next token, whose memory is taken
	gone  bool
}

// node is a part behind the parts before it.
type node struct {
	key    string
	tokens int
	read   int
	users  int
	unused *list.Element
}

// NewEngine returns an idle engine with an empty memory.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	cfg.Slots, cfg.Chunk, cfg.Stride = max(cfg.Slots, 1), max(cfg.Chunk, 1), max(cfg.Stride, 1)
	return &Engine{cfg: cfg, jobs: map[uint64]*seq{}, nodes: map[string]*node{}, unused: list.New()}
}

// Submit takes a job in. It tells whether it does: one that is turned away never runs.
func (e *Engine) Submit(now time.Duration, j Job) bool {
	if j.tokens() > e.cfg.KVTokens || len(j.Parts) == 0 || j.Out <= j.Made || e.jobs[j.ID] != nil {
		return false
	}
	if len(e.jobs) >= e.cfg.Slots+e.cfg.Queue {
		return false
	}
	e.next++
	s := &seq{Job: j, order: e.next, made: j.Made}
	e.jobs[j.ID] = s
	e.wait(s)
	if !e.stepping {
		e.plan(now)
	}
	return true
}

// wait puts a job among those that wait, the urgent and the older first.
func (e *Engine) wait(s *seq) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, before)
	e.waiting = slices.Insert(e.waiting, i, s)
}

func anyone(*seq) bool { return true }

func before(a, b *seq) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
}

// Cancel drops a job. It tells whether it was there, and whether it had run.
func (e *Engine) Cancel(id uint64) (there, ran bool) {
	s := e.jobs[id]
	if s == nil {
		return false, false
	}
	e.drop(s)
	return true, s.ran
}

// Next is when the step under way ends; false while idle.
func (e *Engine) Next() (time.Duration, bool) { return e.ends, e.stepping }

// Advance ends all steps that are over by now and begins the next one.
func (e *Engine) Advance(now time.Duration, out []Output) []Output {
	for e.stepping && e.ends <= now {
		at := e.ends
		for _, s := range e.makers {
			if s.makes {
				out = e.token(s, at, out)
			}
		}
		out = e.expire(at, out)
		e.plan(at)
	}
	return out
}

// expire drops the jobs whose deadline has passed, in the order in which they came.
func (e *Engine) expire(at time.Duration, out []Output) []Output {
	var over []*seq
	for _, s := range e.jobs {
		if s.Deadline > 0 && s.Deadline <= at {
			over = append(over, s)
		}
	}
	slices.SortFunc(over, before)
	for _, s := range over {
		out = append(out, Output{Job: s.ID, Kind: Expired, Ran: s.ran, At: at})
		e.drop(s)
	}
	return out
}

// token makes one token of a job.
func (e *Engine) token(s *seq, at time.Duration, out []Output) []Output {
	s.makes = false
	s.made++
	s.again++
	if !s.ran {
		s.ran = true
		out = append(out, Output{Job: s.ID, Kind: Ran, At: at})
	}
	last := s.made == s.Out
	if last || s.made%e.cfg.Stride == 0 {
		out = append(out, Output{Job: s.ID, Kind: Piece, N: (s.made + e.cfg.Stride - 1) / e.cfg.Stride, Last: last, At: at})
	}
	if last {
		e.drop(s)
	}
	return out
}

// plan begins a step at a time: it lets jobs in, gives them memory, and shares out what is read.
func (e *Engine) plan(now time.Duration) {
	e.admit()
	e.makers = e.makers[:0]
	slices.SortFunc(e.batch, before)
	budget := e.cfg.Chunk
	for _, s := range slices.Clone(e.batch) {
		if !s.in { // preempted below
			continue
		}
		budget = e.readOn(s, budget)
		if s.at < len(s.nodes) || s.again < s.made {
			continue
		}
		for s.in && !e.room(1, nil) {
			e.preempt(e.newest(anyone)) // it may be this job itself
		}
		if s.in {
			s.makes = true
			e.used++
			e.makers = append(e.makers, s)
		}
	}
	// A job that was preempted after its token was planned makes none.
	e.makers = slices.DeleteFunc(e.makers, func(s *seq) bool { return !s.makes })
	if e.stepping = len(e.batch) > 0; !e.stepping {
		return
	}
	read := e.cfg.Chunk - budget
	ms := (e.cfg.StepMs + e.cfg.SlotMs*float64(len(e.makers)) + float64(read)/e.cfg.PrefillPerMs) / e.cfg.Speed
	e.ends = now + max(time.Duration(ms*float64(time.Millisecond)), time.Microsecond)
}

// readOn reads a job's prompt, and what it had put out before it was preempted, within a
// budget. What it reads is there for others that share it.
func (e *Engine) readOn(s *seq, budget int) int {
	for s.at < len(s.nodes) && budget > 0 {
		n := s.nodes[s.at]
		x := min(n.tokens-n.read, budget)
		n.read += x
		budget -= x
		e.read += x
		if n.read < n.tokens {
			return budget
		}
		s.at++
	}
	if s.at == len(s.nodes) && s.again < s.made {
		x := min(s.made-s.again, budget)
		s.again += x
		budget -= x
		e.read += x
	}
	return budget
}

// admit lets waiting jobs into the batch in their order. An urgent one preempts others of
// their place and memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		less := func(o *seq) bool { return o.Priority > s.Priority }
		for len(e.batch) >= e.cfg.Slots || !e.fits(s) {
			v := e.newest(less)
			if v == nil {
				return
			}
			e.preempt(v)
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.enter(s)
	}
}

// keys are the names of a job's parts behind the parts before them.
func (s *seq) keys() []string {
	keys, key := make([]string, len(s.Parts)), s.Model
	for i, p := range s.Parts {
		key += "/" + p.ID + ":" + strconv.Itoa(p.Tokens)
		keys[i] = key
	}
	return keys
}

// fits makes room for what a job lacks. The parts that it finds do not give way for it.
func (e *Engine) fits(s *seq) bool {
	need, kept := s.made+1, map[*node]bool{}
	for i, key := range s.keys() {
		if n := e.nodes[key]; n != nil {
			kept[n] = true
		} else {
			need += s.Parts[i].Tokens
		}
	}
	return e.room(need, kept)
}

// room makes room for so many tokens: unused parts give way, the longest unused first.
func (e *Engine) room(tokens int, kept map[*node]bool) bool {
	for el := e.unused.Front(); el != nil && e.used+tokens > e.cfg.KVTokens; {
		n := el.Value.(*node)
		el = el.Next()
		if !kept[n] {
			e.forget(n)
		}
	}
	return e.used+tokens <= e.cfg.KVTokens
}

func (e *Engine) forget(n *node) {
	if n.unused != nil {
		e.unused.Remove(n.unused)
	}
	e.used -= n.tokens
	delete(e.nodes, n.key)
}

// enter puts a job in the batch, with the memory that fits found.
func (e *Engine) enter(s *seq) {
	s.in, s.at, s.again = true, 0, 0
	s.nodes = s.nodes[:0]
	for i, key := range s.keys() {
		n := e.nodes[key]
		if n == nil {
			n = &node{key: key, tokens: s.Parts[i].Tokens}
			e.nodes[key] = n
			e.used += n.tokens
		}
		e.saved += n.read
		if n.unused != nil {
			e.unused.Remove(n.unused)
			n.unused = nil
		}
		n.users++
		s.nodes = append(s.nodes, n)
	}
	e.used += s.made
	e.batch = append(e.batch, s)
}

// newest is the newest among the least urgent jobs of the batch that may be preempted.
func (e *Engine) newest(may func(*seq) bool) (v *seq) {
	for _, s := range e.batch {
		if may(s) && (v == nil || before(v, s) < 0) {
			v = s
		}
	}
	return v
}

// preempt puts a job back among those that wait. It will be read anew.
func (e *Engine) preempt(s *seq) {
	e.preempted++
	e.leave(s)
	e.wait(s)
}

// leave takes a job out of the batch. Its whole parts are kept, until they give way.
func (e *Engine) leave(s *seq) {
	s.in = false
	e.batch = slices.DeleteFunc(e.batch, func(o *seq) bool { return o == s })
	e.used -= s.made
	if s.makes {
		s.makes = false
		e.used--
	}
	// From the last to the first: what stands behind others gives way before them.
	for _, n := range slices.Backward(s.nodes) {
		if n.users--; n.users > 0 {
			continue
		}
		if n.read < n.tokens {
			e.forget(n)
			continue
		}
		n.unused = e.unused.PushBack(n)
	}
	s.nodes = s.nodes[:0]
}

// drop ends a job.
func (e *Engine) drop(s *seq) {
	if s.gone {
		return
	}
	s.gone = true
	delete(e.jobs, s.ID)
	if s.in {
		e.leave(s)
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(o *seq) bool { return o == s })
}

// Load is what it holds now.
func (e *Engine) Load() Load {
	l := Load{Running: len(e.batch), Waiting: len(e.waiting), Slots: e.cfg.Slots, KVTotal: e.cfg.KVTokens,
		Read: e.read, Saved: e.saved, Preempted: e.preempted}
	for el := e.unused.Front(); el != nil; el = el.Next() {
		l.KVKept += el.Value.(*node).tokens
	}
	l.KVUsed = e.used - l.KVKept
	return l
}
