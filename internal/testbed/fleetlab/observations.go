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
func (r *recorder) attemptStarted(id, agent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress == nil {
		r.inProgress = map[string]string{}
	}
	r.inProgress[id] = agent
}

// attemptEnded notes a try that has ended.
func (r *recorder) attemptEnded(t *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts = append(r.Attempts, t)
	delete(r.inProgress, t.ID)
}

func (r *recorder) record(record modelserver.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Records = append(r.Records, record)
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Stream is a run that is under way.
type Stream struct {
	modelserver.Record        // of its start
	Agent              string // that its client is connected with
}

// streams are the runs that are under way.
func (r *recorder) streams() (list []Stream, more <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := map[string]modelserver.Record{}
	for _, record := range r.Records {
		switch record.Kind {
		case modelserver.Started:
			open[record.Seal] = record
		case modelserver.Ended:
			delete(open, record.Seal)
		}
	}
	for _, record := range open {
		if agent, ok := r.inProgress[record.Attempt]; ok {
			list = append(list, Stream{record, agent})
		}
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return list, r.changed
}

func (r *recorder) processExited(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.UnexpectedExits = append(r.UnexpectedExits, how)
}

// beginFault notes the begin of a trouble and returns what ends it.
func (r *recorder) beginFault(t Fault, now func() time.Duration) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Begin, t.Active = now(), true
	r.Faults = append(r.Faults, t)
	i := len(r.Faults) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.Faults[i].End, r.Faults[i].Active = now(), false
	}
}

// snapshot is a copy in the order of time.
func (r *recorder) snapshot() *Observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.Observations
	c.Attempts, c.Records, c.Changes = slices.Clone(r.Attempts), slices.Clone(r.Records), slices.Clone(r.Changes)
	c.Faults, c.UnexpectedExits = slices.Clone(r.Faults), slices.Clone(r.UnexpectedExits)
	slices.SortStableFunc(c.Attempts, func(a, b *Attempt) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	slices.SortStableFunc(c.Records, func(a, b modelserver.Record) int { return cmp.Compare(a.At, b.At) })
	return &c
}
