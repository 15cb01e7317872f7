package policy

// Addr identifies a server: four bytes of address and a port. Only equality counts; it is returned in
// actions exactly as it was listed.
type Addr [6]byte

// RequestID identifies one request of a client; an ID is never used twice.
type RequestID uint32

// ListedStatus is the state in which discovery lists a server.
type ListedStatus uint8

// The states in the list.
const (
	Draining ListedStatus = iota
	Ready
	Removed
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int
	StartedMs float64 // clock time of the latest start; zero if long ago
	Status    ListedStatus
	Weight    float64
}

// UpdateKind is how a discovery event changes the endpoint list.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // only the given endpoints changed
	UpdateFull                     // servers that are not given are removed
	UpdateCached                   // like UpdateFull, with a list from before the agent's start
	UpdateFailed                   // the call to discovery failed
)

// Status is how an attempt or a probe ended.
type Status uint16

// The statuses, by their numbers in the simulator's protocol.
const (
	OK            Status = 100
	Error         Status = 301
	Rejected      Status = 302 // the server refused to start it
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	NotSent       Status = 307 // it failed within this agent, which says nothing about the server
)

// NotExecuted reports whether the status proves that the server did not execute the request.
func (s Status) NotExecuted() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// EventKind determines which fields of an Event are used.
type EventKind uint8

// The kinds of events, each with its fields.
const (
	EventRequest       EventKind = iota + 1 // Request, Class, Tenant, Key, RemainingMs, IsRetry, work hint
	EventAttemptEnded                       // Request, Attempt, Server, Status, LatencyMs, Final, LoadReport
	EventStreamStarted                      // Request, Attempt, Server, LatencyMs: a streaming response began
	EventClientGone                         // Request: the client cancelled it
	EventDiscovery                          // Update, Endpoints
	EventProbeEnded                         // Server, Status, LatencyMs, LoadReport
	EventTimer                              // Token
	EventPeerMessage                        // a message of another agent; it has no effect
	EventRestore                            // Snapshot of an earlier process; sent after the first list
	EventOverrides                          // Overrides: all that hold now; ZoneWeighted; ReachableShare
)

// Event is something that happened to one agent.
type Event struct {
	Kind           EventKind
	Request        RequestID
	Class          int
	Tenant         int
	Key            uint64  // affinity key; zero if there is none
	RemainingMs    float64 // time until the client's deadline
	WorkHintMs     float64
	HasWorkHint    bool
	IsRetry        bool
	Attempt        int // index among the request's attempts
	Server         Addr
	Status         Status
	LatencyMs      float64
	Final          bool      // the request has its final response
	LoadReport     []float32 // in the order of Settings.LoadReport.Metrics
	Update         UpdateKind
	Endpoints      []Endpoint // neither changed nor retained by the Balancer
	Token          uint32     // token of the timer
	Snapshot       *Snapshot  // neither changed nor retained by the Balancer
	Overrides      []Override
	ZoneWeighted   bool    // the TrafficWeights of Overrides distribute traffic between zones
	ReachableShare float64 // fraction of the fleet and its demand that this agent's site reaches; 1 if all
}

// ActionKind determines which fields of an Action are used.
type ActionKind uint8

// The kinds of actions, each with its fields.
const (
	ActionSend      ActionKind = iota + 1 // Request, Server, DurationMs: the timeout
	ActionCancel                          // Request, Attempt
	ActionReject                          // Request, DurationMs: time until a retry; a retry is harmless
	ActionFail                            // Request: it may have been executed
	ActionProbe                           // Server
	ActionTimer                           // DurationMs, Token
	ActionWatch                           // subscribe to changes of the endpoint list
	ActionFetch                           // fetch the full endpoint list once
	ActionLog                             // Text
	ActionCloseIdle                       // Server: close its idle connections; never emitted by the Balancer
)

// Action is something the caller has to do, in the order given.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Server     Addr
	Attempt    int
	DurationMs float64
	Token      uint32
	Text       string
}

// sanitized returns a copy of the event in which invalid times are zero.
func (event *Event) sanitized() *Event {
	result := *event
	result.RemainingMs, result.LatencyMs = finiteOrZero(result.RemainingMs), finiteOrZero(result.LatencyMs)
	return &result
}
