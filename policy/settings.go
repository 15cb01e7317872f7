package policy

import "fmt"

// Idempotency says whether the requests of a class may be executed more than once.
type Idempotency string

// The kinds of idempotency, by their names in the settings.
const (
	Idempotent    Idempotency = "free"        // executing a request again is harmless
	Deduplicated  Idempotency = "guarded"     // servers drop repeats within a scope and a time window
	NonIdempotent Idempotency = "single_shot" // a request must never be executed twice
)

// DedupScope is the group of servers that drop repeats of a Deduplicated request.
type DedupScope string

// The scopes, by their names in the settings.
const (
	DedupEverywhere DedupScope = "all"
	DedupWithinZone DedupScope = "zone"
	DedupWithinCell DedupScope = "cell"
)

// Class is one class of requests.
type Class struct {
	Name string `json:"name"`
	// LatencyTargetMs is the time from the client's first attempt within which an answer has its full
	// value (the latency objective).
	LatencyTargetMs      float64 `json:"aimMs"`
	LatencyTargetStretch float64 `json:"aimStretch"`
	// ClientTimeoutMs is the time after which clients give up.
	ClientTimeoutMs float64     `json:"giveUpMs"`
	Idempotency     Idempotency `json:"effect"`
	// DedupScope and DedupWindowMs say where and for how long repeats of Deduplicated requests are dropped.
	DedupScope    DedupScope `json:"group"`
	DedupWindowMs float64    `json:"keyTtlMs"`
	// Value is what a request answered in time is worth. LateValueShare is the fraction of Value that a
	// late answer is worth.
	Value          float64 `json:"credit"`
	LateValueShare float64 `json:"lateShare"`
	Streaming      bool    `json:"streamed"`
}

// Tenant is a customer with a quota of the servers' capacity.
type Tenant struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"quotaPerS"`
	QuotaShare     float64 `json:"portion"` // fraction of all requests
}

// Limits holds what a deployment allows an agent to do.
type Limits struct {
	AllowCancel           bool    `json:"cancelling"`
	ConnectTimeoutMs      float64 `json:"connectTimeoutMs"`
	KeepaliveMs           float64 `json:"keepaliveMs"` // time after which servers close idle connections
	MaxAttempts           int     `json:"maxAttempts"` // attempts of one request
	MaxRetryAfterMs       float64 `json:"maxRetryAfterMs"`
	AllowParallelAttempts bool    `json:"parallelTries"`
	AllowProbes           bool    `json:"probing"`
	AllowRetryAfter       bool    `json:"retryAfter"`
	MaxOpenRequests       int     `json:"openCap"`
}

// Contract holds the parameters of the contract between clients, agents and servers.
type Contract struct {
	// ResponseGraceMs is how long after a request's deadline the agent may still respond.
	ResponseGraceMs float64 `json:"answerSlackMs"`
	// DiscoveryDeadlineMs is the time within which an agent must call discovery.
	DiscoveryDeadlineMs float64 `json:"askWithinMs"`
	// In the first SlowStartMs after a start, a server's capacity grows linearly from the fraction
	// SlowStartFloor to 1.
	SlowStartFloor float64 `json:"coldFrom"`
	SlowStartMs    float64 `json:"coldMs"`
	// DrainGraceMs is how long a server may still be sent requests after it is listed as draining.
	DrainGraceMs float64 `json:"drainGraceMs"`
	// A server collapses when its load is CollapseLoadFactor times its capacity for CollapseAfterMs.
	CollapseLoadFactor float64 `json:"fallMultiple"`
	CollapseAfterMs    float64 `json:"tipAfterMs"`
}

// Prices holds the points that are deducted from the result for each kind of cost, multiplied by the share
// or the rate at which it occurs.
type Prices struct {
	CrossZone   float64 `json:"crossZone"`
	Handshake   float64 `json:"handshake"`
	Connection  float64 `json:"connection"`
	LateFailure float64 `json:"lateFail"`
	Probe       float64 `json:"probe"`
	Waste       float64 `json:"waste"`
	Discovery   float64 `json:"membershipMode"`
}

// Objective holds the weights of the components of the result.
type Objective struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// LoadReportMode says on which responses servers report their load.
type LoadReportMode string

// The modes, by their names in the settings.
const (
	LoadReportOff     LoadReportMode = "off"
	LoadReportInline  LoadReportMode = "inline"   // on all responses, those to probes included
	LoadReportOnProbe LoadReportMode = "on_probe" // only on responses to probes
)

// LoadReport describes the servers' load reports.
type LoadReport struct {
	Mode    LoadReportMode `json:"how"`
	Metrics []string       `json:"names"` // names of the reported values, in order
}

// MembershipMode says how an agent learns of changes in the endpoint list.
type MembershipMode string

// The modes, by their names in the settings.
const (
	MembershipPushed    MembershipMode = "pushed"     // changes arrive without a subscription
	MembershipOnRequest MembershipMode = "on_request" // the agent has to subscribe
)

// Settings configures one agent. It does not change after the agent's start.
type Settings struct {
	Classes    []Class        `json:"classes"`
	Tenants    []Tenant       `json:"tenants"`
	Limits     Limits         `json:"limits"`
	Contract   Contract       `json:"contract"`
	Prices     Prices         `json:"prices"`
	Objective  Objective      `json:"objectiveMix"`
	LoadReport LoadReport     `json:"report"`
	Membership MembershipMode `json:"membershipMode"`
	Clients    struct {
		MarksRetry bool `json:"marksRetry"` // clients mark their retries as such
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	AgentIndex     int     `json:"index"`          // number of this agent, from 0 to AgentCount-1
	AgentCount     int     `json:"replicasOfMe"`   // number of agents in the fleet
	OverQuotaValue float64 `json:"overShareWorth"` // factor on the value of requests over a tenant's quota
	RoundMs        float64 `json:"roundMs"`        // longest delay with which an event may arrive
	Weights        string  `json:"weights"`        // "off", "nominal", "rough" or "live"
	ValueBy        string  `json:"worthBy"`        // "request" or "work"
	Zone           int     `json:"zone"`           // zone of this agent
}

// validate returns an error with the key of the first invalid setting, or nil.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(i); err != nil {
			return err
		}
	}
	if s.Membership != MembershipPushed && s.Membership != MembershipOnRequest {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.Membership)
	}
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.ResponseGraceMs},
		{"contract.askWithinMs", s.Contract.DiscoveryDeadlineMs},
		{"contract.coldFrom", s.Contract.SlowStartFloor},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.CollapseLoadFactor},
		{"contract.tipAfterMs", s.Contract.CollapseAfterMs},
		{"limits.maxAttempts", float64(s.Limits.MaxAttempts)},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"replicasOfMe", float64(s.AgentCount)},
		{"roundMs", s.RoundMs},
	} {
		if !(setting.value >= 0) { // true for NaN as well
			return fmt.Errorf("settings: %s: must not be negative, is %v", setting.key, setting.value)
		}
	}
	return nil
}

// validate returns an error with the key of the class's first invalid setting, or nil. The index is that of
// the class in Settings.Classes.
func (c *Class) validate(index int) error {
	key := func(name string) string { return fmt.Sprintf("settings: classes[%d].%s", index, name) }
	switch {
	case !(c.LatencyTargetMs > 0):
		return fmt.Errorf("%s: must be above 0, is %v", key("aimMs"), c.LatencyTargetMs)
	case !(c.ClientTimeoutMs > 0):
		return fmt.Errorf("%s: must be above 0, is %v", key("giveUpMs"), c.ClientTimeoutMs)
	case !(c.Value >= 0):
		return fmt.Errorf("%s: must not be negative, is %v", key("credit"), c.Value)
	case c.Idempotency != Idempotent && c.Idempotency != Deduplicated && c.Idempotency != NonIdempotent:
		return fmt.Errorf("%s: unknown effect %q", key("effect"), c.Idempotency)
	case c.Idempotency != Deduplicated:
		return nil
	case c.DedupScope != DedupEverywhere && c.DedupScope != DedupWithinZone &&
		c.DedupScope != DedupWithinCell:
		return fmt.Errorf("%s: unknown group %q", key("group"), c.DedupScope)
	case !(c.DedupWindowMs >= 0):
		return fmt.Errorf("%s: must not be negative, is %v", key("keyTtlMs"), c.DedupWindowMs)
	}
	return nil
}
