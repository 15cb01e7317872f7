package fleetlab

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Try is one request of a client as it saw it. Times are of the laboratory's clock.
type Try struct {
	ID         string
	Agent      string // the IP of the agent that the connection is with
	Class      string
	Method     string
	Host       string
	Target     string
	Prompt     modelserver.Prompt
	Idempotent bool
	Resumable  bool
	After      int // the event that it goes on after

	Began    time.Duration // the client began to write
	Sent     time.Duration // its last byte was written; 0: it was not
	Deadline time.Duration // until which the client waits
	Timeout  time.Duration // of its route
	End      time.Duration

	Status   int    // 0: no head came
	Seal     string // of the answer
	Echo     string // the answer's attempt id
	Encoded  bool   // the answer came with a content encoding
	Complete bool   // the end of the body came
	Broken   End    // how it ended, if not complete
	Garbage  string // what came that is no answer
	Surplus  bool   // bytes came after the answer
	Events   []Got
	Wait     time.Duration // Retry-After
}

// Got is an event as a client got it.
type Got struct {
	modelserver.Event
	Came time.Duration
}

// End is how a try ended that did not complete.
type End uint8

// The ends.
const (
	Whole     End = iota
	NoConnect     // no connection came up
	Closed        // the agent ended the connection
	GaveUp        // the client did, after its deadline or a silence
	Spoilt        // what came is no answer
)

func (e End) String() string {
	return [...]string{"whole", "no connection", "cut", "given up", "spoilt"}[e]
}

// Change is one change of the configuration as the operator sent it.
type Change struct {
	Base  int  // the version that it builds on
	Doc   *Doc // what it makes
	Valid bool
	Sent  time.Duration
	Acked time.Duration // 0: it was not
	By    string        // the agent's IP that acknowledged it
	Over  int           // the status of a clear refusal; 0: none
}

// refused tells whether the change must never be in force.
func (c *Change) refused() bool { return c.Over != 0 || !c.Valid }

// Trouble is what the laboratory did to an agent.
type Trouble struct {
	Agent    string // IP
	Core     bool
	Ordered  bool // a SIGTERM
	Start    bool // a start: a new life of its process
	From, To time.Duration
	Open     bool // it is not over
}

// Seen is all that clients, servers and the operator saw of a run.
type Seen struct {
	Tries    []*Try
	Records  []modelserver.Record
	Changes  []*Change
	Troubles []Trouble
	Ends     []string // processes that ended by themselves, and how
	ReadBack []byte   // at the end; nil if it was not asked for
	ReadErr  error
}

// seen collects, from many goroutines.
type seen struct {
	mu sync.Mutex
	Seen
	taken map[string]string // tries under way: id to agent
	more  chan struct{}     // closed at the next record; nil while nobody waits
}

// begin notes a try that is under way with an agent.
func (s *seen) begin(id, agent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken == nil {
		s.taken = map[string]string{}
	}
	s.taken[id] = agent
}

// try notes a try that has ended.
func (s *seen) try(t *Try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Tries = append(s.Tries, t)
	delete(s.taken, t.ID)
}

func (s *seen) record(r modelserver.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Records = append(s.Records, r)
	if s.more != nil {
		close(s.more)
		s.more = nil
	}
}

// Stream is a run that is under way.
type Stream struct {
	modelserver.Record        // of its start
	Agent              string // that its client is connected with
}

// streams are the runs that are under way.
func (s *seen) streams() (list []Stream, more <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := map[string]modelserver.Record{}
	for _, r := range s.Records {
		switch r.Kind {
		case modelserver.Started:
			open[r.Seal] = r
		case modelserver.Ended:
			delete(open, r.Seal)
		}
	}
	for _, r := range open {
		if agent, ok := s.taken[r.Attempt]; ok {
			list = append(list, Stream{r, agent})
		}
	}
	if s.more == nil {
		s.more = make(chan struct{})
	}
	return list, s.more
}

func (s *seen) ended(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Ends = append(s.Ends, how)
}

// trouble notes the begin of a trouble and returns what ends it.
func (s *seen) trouble(t Trouble, now func() time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.From, t.Open = now(), true
	s.Troubles = append(s.Troubles, t)
	i := len(s.Troubles) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Troubles[i].To, s.Troubles[i].Open = now(), false
	}
}

// all is a copy in the order of time.
func (s *seen) all() *Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.Seen
	c.Tries, c.Records, c.Changes = slices.Clone(s.Tries), slices.Clone(s.Records), slices.Clone(s.Changes)
	c.Troubles, c.Ends = slices.Clone(s.Troubles), slices.Clone(s.Ends)
	slices.SortStableFunc(c.Tries, func(a, b *Try) int { return cmp.Compare(a.Began, b.Began) })
	slices.SortStableFunc(c.Records, func(a, b modelserver.Record) int { return cmp.Compare(a.At, b.At) })
	return &c
}
