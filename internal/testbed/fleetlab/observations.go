package fleetlab

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Attempt is one request of a client, as the client observed it. Times are those of Fleet.Now.
type Attempt struct {
	ID         string
	Agent      string // IP of the agent that the client is connected with
	Class      string
	Method     string
	Host       string
	Target     string
	Prompt     modelserver.Prompt
	Idempotent bool
	Resumable  bool
	AfterEvent int // resume after this event; 0: from the start

	StartedAt time.Duration // the client began to connect
	SentAt    time.Duration // its last byte was written; 0: never
	Deadline  time.Duration // the client waits no longer
	Timeout   time.Duration // of its route
	EndedAt   time.Duration

	Status        int       // 0: no response header arrived
	Seal          string    // of the response: it identifies the run of a server
	AttemptHeader string    // attempt id in the response
	Encoded       bool      // the response has a Content-Encoding
	Complete      bool      // the end of the body arrived
	EndReason     EndReason // why it ended; Completed if Complete
	ProtocolError string    // what the agent sent instead of a response; "": nothing
	ExtraBytes    bool      // bytes arrived after the response
	Events        []ReceivedEvent
	RetryAfter    time.Duration // of the response's Retry-After header; 0: none
}

// ReceivedEvent is an event of a stream and when the client received it.
type ReceivedEvent struct {
	modelserver.Event
	ReceivedAt time.Duration
}

// EndReason is why an attempt ended.
type EndReason uint8

// The reasons.
const (
	Completed EndReason = iota
	NoConnect           // no connection was established
	Closed              // the agent ended the connection
	TimedOut            // the client closed it after its deadline or its idle timeout
	Malformed           // the response violates the protocol
)

func (e EndReason) String() string {
	return [...]string{"whole", "no connection", "cut", "given up", "spoilt"}[e]
}

// ConfigChange is one change of the configuration, as the operator sent it.
type ConfigChange struct {
	BaseRevision int       // revision that it is based on
	Doc          *Document // the configuration that it leads to
	Valid        bool
	SentAt       time.Duration
	AckedAt      time.Duration // 0: not acknowledged
	AckedBy      string        // IP of the agent that acknowledged it
	RejectStatus int           // status of a definite rejection; 0: none
}

// isRejected tells whether no agent may ever apply the change.
func (c *ConfigChange) isRejected() bool { return c.RejectStatus != 0 || !c.Valid }

// Fault is a fault that was injected into an agent, or a start of its process.
type Fault struct {
	Agent        string // IP
	Core         bool
	Graceful     bool // by SIGTERM
	ProcessStart bool // a start: a new incarnation
	Begin, End   time.Duration
	Active       bool // it has not ended
}

// Observations are what clients, servers and the operator observed in a run.
type Observations struct {
	Attempts        []*Attempt
	Records         []modelserver.Record
	Changes         []*ConfigChange
	Faults          []Fault
	UnexpectedExits []string // processes that ended without a fault, and how
	ReadBack        []byte   // configuration at the end; nil: not read
	ReadErr         error
}

// recorder collects observations. Its methods may be called concurrently.
type recorder struct {
	mu sync.Mutex
	Observations
	inProgress map[string]string // IP of the agent, by the id of the attempt
	changed    chan struct{}     // closed at the next record of a server; nil while nobody waits
}

// attemptStarted records that an attempt is in progress at an agent.
func (r *recorder) attemptStarted(id, agent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress == nil {
		r.inProgress = map[string]string{}
	}
	r.inProgress[id] = agent
}

// attemptEnded records an attempt that has ended.
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

// Stream is a stream that a server is producing.
type Stream struct {
	modelserver.Record        // of its start
	Agent              string // IP of the agent that its client is connected with
}

// streams returns the streams in progress, and a channel that is closed when they may have changed.
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

// beginFault records the begin of a fault. The function that it returns ends it.
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

// snapshot is a copy, with attempts and records ordered by time.
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
