package fleetlab

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Attempt is one request of a client as it saw it. Times are of the laboratory's clock.
type Attempt struct {
	ID         string
	Agent      string // the IP of the agent that the connection is with
	Class      string
	Method     string
	Host       string
	Target     string
	Prompt     modelserver.Prompt
	Idempotent bool
	Resumable  bool
	AfterEvent int // the event that it goes on after

	StartedAt time.Duration // the client began to write
	SentAt    time.Duration // its last byte was written; 0: it was not
	Deadline  time.Duration // until which the client waits
	Timeout   time.Duration // of its route
	EndedAt   time.Duration

	Status        int       // 0: no head came
	Seal          string    // of the answer
	AttemptHeader string    // the answer's attempt id
	Encoded       bool      // the answer came with a content encoding
	Complete      bool      // the end of the body came
	EndReason     EndReason // how it ended, if not complete
	ProtocolError string    // what came that is no answer
	ExtraBytes    bool      // bytes came after the answer
	Events        []ReceivedEvent
	RetryAfter    time.Duration // Retry-After
}

// ReceivedEvent is an event as a client got it.
type ReceivedEvent struct {
	modelserver.Event
	ReceivedAt time.Duration
}

// EndReason is how a try ended that did not complete.
type EndReason uint8

// The ends.
const (
	Completed EndReason = iota
	NoConnect           // no connection came up
	Closed              // the agent ended the connection
	TimedOut            // the client did, after its deadline or a silence
	Malformed           // what came is no answer
)

func (e EndReason) String() string {
	return [...]string{"whole", "no connection", "cut", "given up", "spoilt"}[e]
}

// ConfigChange is one change of the configuration as the operator sent it.
type ConfigChange struct {
	BaseRevision int       // the version that it builds on
	Doc          *Document // what it makes
	Valid        bool
	SentAt       time.Duration
	AckedAt      time.Duration // 0: it was not
	AckedBy      string        // the agent's IP that acknowledged it
	RejectStatus int           // the status of a clear refusal; 0: none
}

// isRejected tells whether the change must never be in force.
func (c *ConfigChange) isRejected() bool { return c.RejectStatus != 0 || !c.Valid }

// Fault is what the laboratory did to an agent.
type Fault struct {
	Agent        string // IP
	Core         bool
	Graceful     bool // a SIGTERM
	ProcessStart bool // a start: a new life of its process
	Begin, End   time.Duration
	Active       bool // it is not over
}

// Observations is all that clients, servers and the operator saw of a run.
type Observations struct {
	Attempts        []*Attempt
	Records         []modelserver.Record
	Changes         []*ConfigChange
	Faults          []Fault
	UnexpectedExits []string // processes that ended by themselves, and how
	ReadBack        []byte   // at the end; nil if it was not asked for
	ReadErr         error
}

// recorder collects, from many goroutines.
type recorder struct {
	mu sync.Mutex
	Observations
	inProgress map[string]string // tries under way: id to agent
	changed    chan struct{}     // closed at the next record; nil while nobody waits
}

// attemptStarted notes a try that is under way with an agent.
func (s *recorder) attemptStarted(id, agent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress == nil {
		s.inProgress = map[string]string{}
	}
	s.inProgress[id] = agent
}

// attemptEnded notes a try that has ended.
func (s *recorder) attemptEnded(t *Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Attempts = append(s.Attempts, t)
	delete(s.inProgress, t.ID)
}

func (s *recorder) record(r modelserver.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Records = append(s.Records, r)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Stream is a run that is under way.
type Stream struct {
	modelserver.Record        // of its start
	Agent              string // that its client is connected with
}

// streams are the runs that are under way.
func (s *recorder) streams() (list []Stream, more <-chan struct{}) {
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
		if agent, ok := s.inProgress[r.Attempt]; ok {
			list = append(list, Stream{r, agent})
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return list, s.changed
}

func (s *recorder) processExited(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.UnexpectedExits = append(s.UnexpectedExits, how)
}

// beginFault notes the begin of a trouble and returns what ends it.
func (s *recorder) beginFault(t Fault, now func() time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Begin, t.Active = now(), true
	s.Faults = append(s.Faults, t)
	i := len(s.Faults) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Faults[i].End, s.Faults[i].Active = now(), false
	}
}

// snapshot is a copy in the order of time.
func (s *recorder) snapshot() *Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.Observations
	c.Attempts, c.Records, c.Changes = slices.Clone(s.Attempts), slices.Clone(s.Records), slices.Clone(s.Changes)
	c.Faults, c.UnexpectedExits = slices.Clone(s.Faults), slices.Clone(s.UnexpectedExits)
	slices.SortStableFunc(c.Attempts, func(a, b *Attempt) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	slices.SortStableFunc(c.Records, func(a, b modelserver.Record) int { return cmp.Compare(a.At, b.At) })
	return &c
}
