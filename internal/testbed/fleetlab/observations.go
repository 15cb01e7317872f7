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
	Agent      string // IP of the agent that the client is connected to
	Class      string
	Method     string
	Host       string
	Target     string
	Prompt     modelserver.Prompt
	Idempotent bool
	Resumable  bool
	AfterEvent int // number of the event after which the stream is to be resumed; zero for a new stream

	StartedAt time.Duration // when the client began to connect
	SentAt    time.Duration // when the last byte of the request was written; zero if it never was
	Deadline  time.Duration // when the client gives up
	Timeout   time.Duration // timeout of the route
	EndedAt   time.Duration

	Status        int       // status of the response; zero if no header arrived
	Seal          string    // seal of the response, which identifies the run of a server
	AttemptHeader string    // attempt id in the response
	Encoded       bool      // the response has a Content-Encoding
	Complete      bool      // the end of the body arrived
	EndReason     EndReason // Completed if Complete
	ProtocolError string    // what is malformed in the response; empty if nothing is
	ExtraBytes    bool      // bytes arrived after the response
	Events        []ReceivedEvent
	RetryAfter    time.Duration // value of the Retry-After header; zero if there is none
}

// ReceivedEvent is an event of a stream and the time when the client received it.
type ReceivedEvent struct {
	modelserver.Event
	ReceivedAt time.Duration
}

// EndReason is the reason why an attempt ended.
type EndReason uint8

// The reasons.
const (
	Completed EndReason = iota
	NoConnect           // no connection was established
	Closed              // the agent ended the connection
	TimedOut            // the client gave up at its deadline or after its idle timeout
	Malformed           // the response violates the protocol
)

func (e EndReason) String() string {
	return [...]string{"whole", "no connection", "cut", "given up", "spoilt"}[e]
}

// ConfigChange is one change of the configuration, as the operator sent it.
type ConfigChange struct {
	BaseRevision int       // revision that the change is based on
	Doc          *Document // configuration that results from the change
	Valid        bool      // false if agents have to reject the configuration
	SentAt       time.Duration
	AckedAt      time.Duration // zero if it was not acknowledged
	AckedBy      string        // IP of the agent that acknowledged it
	RejectStatus int           // status of a definite rejection; zero if it was not rejected
}

// isRejected reports whether no agent may ever apply the change.
func (c *ConfigChange) isRejected() bool { return c.RejectStatus != 0 || !c.Valid }

// Fault is a fault that was injected into an agent, or a start of its process.
type Fault struct {
	Agent        string // IP of the agent
	Core         bool   // the agent belongs to the core
	Graceful     bool   // the process was ended by SIGTERM
	ProcessStart bool   // not a fault but the start of a new incarnation
	Begin, End   time.Duration
	Active       bool // the fault has not ended
}

// Observations are what clients, servers and the operator observed in a run.
type Observations struct {
	Attempts        []*Attempt
	Records         []modelserver.Record
	Changes         []*ConfigChange
	Faults          []Fault
	UnexpectedExits []string // descriptions of exits of processes without a fault, and of data races
	ReadBack        []byte   // configuration read at the end; nil if it was not read
	ReadErr         error    // error of reading it
}

// recorder collects observations. Its methods may be called concurrently.
type recorder struct {
	mu sync.Mutex
	Observations
	inProgress map[string]string // attempts in progress: IP of the agent by attempt id
	changed    chan struct{}     // closed at the next record of a server; nil if no goroutine waits for one
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
func (r *recorder) attemptEnded(attempt *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts = append(r.Attempts, attempt)
	delete(r.inProgress, attempt.ID)
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
	modelserver.Record        // record of the start of the run
	Agent              string // IP of the agent that the client is connected to
}

// streams returns the streams in progress, and a channel that is closed when they may have changed.
func (r *recorder) streams() (list []Stream, changed <-chan struct{}) {
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

func (r *recorder) processExited(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.UnexpectedExits = append(r.UnexpectedExits, description)
}

// beginFault records the beginning of a fault. The returned function records its end.
func (r *recorder) beginFault(fault Fault, now func() time.Duration) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault.Begin, fault.Active = now(), true
	r.Faults = append(r.Faults, fault)
	i := len(r.Faults) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.Faults[i].End, r.Faults[i].Active = now(), false
	}
}

// snapshot returns a copy of the observations, with attempts and records ordered by time.
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
