// Package policy decides, for one agent (a sidecar balancer), where each
// request of its client goes: which server, when, for how long, whether again,
// and when to give up. It is a state machine without I/O: the caller hands in
// events with a clock and carries out the actions that come back, in order.
//
// The decisions are in the files that policy.go names; this file holds the interface only.
package policy

// Addr names a server: four bytes of address and a port. It has no meaning
// beyond equality and is sent back exactly as it came.
type Addr [6]byte

// RequestID names one try of a client; an id is never used twice.
type RequestID uint32

// State is what an agent holds a listed server to be.
type State uint8

// The four states, best first.
const (
	Connected State = iota
	Unknown
	UnhealthyPending
	Unhealthy
)

// StateNames name the states in their order.
var StateNames = [...]string{"connected", "unknown", "unhealthy_pending", "unhealthy"}

// Idempotency tells whether a request of a class may run more than once.
type Idempotency string

// The effects a class may have.
const (
	Idempotent    Idempotency = "free"        // safe to repeat
	Deduplicated  Idempotency = "guarded"     // repeats are dropped within a group of servers, for a time
	NonIdempotent Idempotency = "single_shot" // must never run twice
)

// DedupScope tells which servers drop repeats of a guarded request.
type DedupScope string

// The groups a guarded class may have.
const (
	DedupEverywhere DedupScope = "all"
	DedupWithinZone DedupScope = "zone"
	DedupWithinCell DedupScope = "cell"
)

// Class is one class of requests.
type Class struct {
	Name                 string      `json:"name"`
	LatencyTargetMs      float64     `json:"aimMs"`
	LatencyTargetStretch float64     `json:"aimStretch"`
	ClientTimeoutMs      float64     `json:"giveUpMs"`
	Idempotency          Idempotency `json:"effect"`
	DedupScope           DedupScope  `json:"group"`
	DedupWindowMs        float64     `json:"keyTtlMs"`
	Value                float64     `json:"credit"`
	LateValueShare       float64     `json:"lateShare"`
	Streaming            bool        `json:"streamed"`
}

// Tenant is a customer with a share of what the servers can do.
type Tenant struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"quotaPerS"`
	QuotaShare     float64 `json:"portion"`
}

// Limits is what a deployment permits an agent.
type Limits struct {
	AllowCancel           bool    `json:"cancelling"`
	ConnectTimeoutMs      float64 `json:"connectTimeoutMs"`
	KeepaliveMs           float64 `json:"keepaliveMs"`
	MaxAttempts           int     `json:"maxAttempts"`
	MaxRetryAfterMs       float64 `json:"maxRetryAfterMs"`
	AllowParallelAttempts bool    `json:"parallelTries"`
	AllowProbes           bool    `json:"probing"`
	AllowRetryAfter       bool    `json:"retryAfter"`
	MaxOpenRequests       int     `json:"openCap"`
}

// Contract holds the figures of the four rules.
type Contract struct {
	ResponseGraceMs     float64 `json:"answerSlackMs"`
	DiscoveryDeadlineMs float64 `json:"askWithinMs"`
	SlowStartFloor      float64 `json:"coldFrom"`
	SlowStartMs         float64 `json:"coldMs"`
	DrainGraceMs        float64 `json:"drainGraceMs"`
	CollapseLoadFactor  float64 `json:"fallMultiple"`
	CollapseAfterMs     float64 `json:"tipAfterMs"`
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct {
	CrossZone   float64 `json:"crossZone"`
	Handshake   float64 `json:"handshake"`
	Connection  float64 `json:"connection"`
	LateFailure float64 `json:"lateFail"`
	Probe       float64 `json:"probe"`
	Waste       float64 `json:"waste"`
	Discovery   float64 `json:"membershipMode"`
}

// Objective holds the weights of the result's components.
type Objective struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// LoadReport names the values of the servers' load reports.
type LoadReport struct {
	Mode    string   `json:"how"`
	Metrics []string `json:"names"`
}

// Settings is what an agent is told at its start.
type Settings struct {
	Classes    []Class    `json:"classes"`
	Tenants    []Tenant   `json:"tenants"`
	Limits     Limits     `json:"limits"`
	Contract   Contract   `json:"contract"`
	Prices     Prices     `json:"prices"`
	Objective  Objective  `json:"objectiveMix"`
	LoadReport LoadReport `json:"report"`
	Membership string     `json:"membershipMode"` // "pushed" or "on_request"
	Clients    struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	AgentIndex     int     `json:"index"`
	AgentCount     int     `json:"replicasOfMe"`
	OverQuotaValue float64 `json:"overShareWorth"`
	RoundMs        float64 `json:"roundMs"`
	Weights        string  `json:"weights"` // "off", "nominal", "rough" or "live"
	ValueBy        string  `json:"worthBy"` // "request" or "work"
	Zone           int     `json:"zone"`
}

// ListedStatus is what the list says of a server.
type ListedStatus uint8

// The list's words.
const (
	Draining ListedStatus = iota
	Ready
	Removed
)

// Endpoint is one line of the list of servers.
type Endpoint struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int
	StartedMs float64 // clock time of the latest start; 0: long past
	Status    ListedStatus
	Weight    float64
}

// UpdateKind tells how a list event changes the list at hand.
type UpdateKind uint8

// The kinds of list events.
const (
	UpdateDelta UpdateKind = iota
	UpdateFull
	UpdateCached
	UpdateFailed
)

// Status is how an attempt or a probe ended.
type Status uint16

// The endings.
const (
	OK            Status = 100
	Error         Status = 301
	Rejected      Status = 302
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	NotSent       Status = 307
)

// NotExecuted tells whether the ending proves that the attempt did not run.
func (s Status) NotExecuted() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	EventRequest       EventKind = iota + 1 // Request, Class, Tenant, Key, RemainingMs, WorkHintMs, HasWorkHint, Retry
	EventAttemptEnded                       // Request, Attempt, Server, Status, LatencyMs, Final, Report
	EventStreamStarted                      // Request, Attempt, Server, LatencyMs: a streamed answer began
	EventClientGone                         // Request: the client left
	EventDiscovery                          // List, Entries
	EventProbeEnded                         // Server, Status, LatencyMs, Report
	EventTimer                              // Token
	EventPeerMessage                        // a message of another agent; carries nothing that is used
	EventRestore                            // Memory: what an earlier life had learned; after the first list
	EventOverrides                          // Standings: what was decided in common of servers, whole; Within
)

// Event is something that happened to one agent.
type Event struct {
	Kind           EventKind
	Request        RequestID
	Class          int
	Tenant         int
	Key            uint64 // 0: none
	RemainingMs    float64
	WorkHintMs     float64
	HasWorkHint    bool
	IsRetry        bool
	Attempt        int
	Server         Addr
	Status         Status
	LatencyMs      float64
	Final          bool // the request is finished
	LoadReport     []float32
	Update         UpdateKind
	Endpoints      []Endpoint // not changed and not kept by the Balancer
	Token          uint32
	Snapshot       *Snapshot // not changed and not kept by the Balancer
	Overrides      []Override
	ZoneWeighted   bool    // how traffic is parted between zones is in the Standings' pulls
	ReachableShare float64 // part of the fleet, and of its demand, that this agent's site reaches; 1: all
}

// Override is what agents decided together of a server.
type Override struct {
	Server        Addr
	ShareFactor   float64 // of its share that it gets, all agents of a site alike; 0: nothing but trials
	TrafficWeight float64 // what it weighs for this site's traffic, as a part of the mean; where Parted
	ExpiresMs     float64 // clock time after which it does not hold any more
	Trial         bool    // this agent is to send it one request soon that may be repeated
	Probe         bool    // this agent is to probe it
}

// Snapshot is what an agent has learned, as plain values with ages, to outlive its process.
// What of it is believed is decided when it comes back.
type Snapshot struct {
	AgeMs    float64          `json:"AgeMs"` // since it was taken; the worst case where that is not known
	Servers  []ServerSnapshot `json:"Servers"`
	Keys     []KeyCount       `json:"Keys"`   // the most popular first
	Demand   float64          `json:"Demand"` // of the fleet, were nothing refused, and
	Peak     float64          `json:"Peak"`   // its capacity, in warm servers of weight one
	Admitted float64          `json:"Admitted"`
	CalmLat  float64          `json:"CalmLat"`  // mean answer time as a part of the aim, calm
	FleetLat float64          `json:"FleetLat"` // and of late
	Answers  float64          `json:"Answers"`
	Expect   []float64        `json:"Expect"` // answer times by class, ms
}

// ServerSnapshot is what was known of one server.
type ServerSnapshot struct {
	Server    Addr    `json:"Server"`
	StartedMs float64 `json:"StartedMs"` // as listed: another process is another server
	State     State   `json:"State"`
	InStateMs float64 `json:"InStateMs"` // for how long
	Silent    bool    `json:"Silent"`
	Strikes   int     `json:"Strikes"`
	Failing   float64 `json:"Failing"`
	Lat       float64 `json:"Lat"` // mean answer time as a part of the aim
	RTTMs     float64 `json:"RTTMs"`
	Samples   int     `json:"Samples"`
	Window    float64 `json:"Window"`
}

// KeyCount is how often a key was asked for of late.
type KeyCount struct {
	Key   uint64  `json:"Key"`
	Count float64 `json:"Count"`
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	ActionSend      ActionKind = iota + 1 // Request, Server, Ms: time-out
	ActionCancel                          // Request, Attempt
	ActionReject                          // Request, Ms: advice
	ActionFail                            // Request
	ActionProbe                           // Server
	ActionTimer                           // Ms, Token
	ActionWatch                           // subscribe to the list
	ActionFetch                           // ask for the whole list once
	ActionLog                             // Text
	ActionCloseIdle                       // Server: close idle connections; the module asks for it no more
)

// Action is something the agent is to do, in the order given.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Server     Addr
	Attempt    int
	DurationMs float64
	Token      uint32
	Text       string
}

// NewEndpointHealth is the tier of a server that is listed anew: Unknown.
func NewEndpointHealth(now float64) EndpointHealth { return EndpointHealth{state: Unknown, since: now} }

// State is what the server is held to be.
func (t *EndpointHealth) State() State { return t.state }

// Since is when it was entered, in ms of the caller's steady clock.
func (t *EndpointHealth) Since() float64 { return t.since }

// TimedOut tells whether the server was demoted for silence; only an answer to a request clears it.
func (t *EndpointHealth) TimedOut() bool { return t.timedOut }

// Ejections is how often it failed of late.
func (t *EndpointHealth) Ejections() int { return t.ejections }
