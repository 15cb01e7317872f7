// Package config parses and validates the operator's configuration, applies the changes that an
// operator sends, and matches requests to routes.
//
// The package reads no file and no clock. A Document is immutable once it is parsed and may be used by
// many goroutines. Every error is an *apierror.Error that names the invalid key and the remedy. Its kind
// is Invalid, or TooLarge if a size limit is exceeded. Keys, defaults and rules are those of the
// operators' documentation of the configuration.
package config

import "encoding/json"

// Kind is the kind of a route, which determines whether its requests may be repeated. Unknown kinds are
// kept and treated as Unsafe.
type Kind string

// The kinds of routes, as they are written in documents.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Route is one route of a configuration. Times are in ms.
type Route struct {
	Name               string
	Host               string // in lower case, without a port
	Prefix             string // path prefix; begins and ends with a slash
	Kind               Kind
	TimeoutMs          int64   // above 0
	LatencyTargetMs    int64   // setpoint-ms, the target time to the first token; zero if there is none
	Priority           int     // admission-priority; 0 is the most urgent
	Splits             []Split // at least one; the weights are above 0
	MaxAttempts        int     // at least 1
	Affinity           bool
	Resumable          bool
	Keyless            bool  // requests need no API key
	InterTokenTargetMs int64 // gap_aim_ms, the target time between two tokens; zero if there is none
}

// Idempotent returns whether a request of the route may be executed more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Split sends a service a fraction of a route's traffic, in proportion to its weight.
type Split struct {
	Service string
	Weight  float64
}

// Service is one service of a configuration.
type Service struct {
	Name       string
	HealthPath string
	ConnLimit  int     // maximum number of connections to each of its servers
	Engine     *Engine // nil if it is not a model service
}

// Engine describes a service's model servers. Fields that are zero are unknown.
type Engine struct {
	Slots          int // requests that a server can run at the same time
	CacheTokens    int // capacity of its KV cache
	KVTokenBytes   int // size of a token in the KV cache
	LinkMbps       float64
	TokensPerEvent int // stride, the tokens in each event of a response
	Models         []string
}

// Limits restrict what a client may send. Sizes are in bytes, times in ms; zero if not configured.
type Limits struct {
	HeaderBytes, BodyBytes, HeaderMs, IdleMs int64
}

// Document is one complete configuration. It is immutable.
type Document struct {
	Revision int64 // above 0; increases with each change
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	raw    json.RawMessage     // the text that was parsed
	byHost map[string][]*Route // the routes of each host, longest prefix first

	hasTenants  bool               // whether there is a list of tenants, which may be empty
	tenants     map[string]*Tenant // by name
	tenantByKey map[keyDigest]*Tenant
	// The distinct priorities of all tenants and of all routes, sorted.
	tenantPriorities, routePriorities []int
}

// Raw returns the text of the configuration, including unknown fields. It must not be modified.
func (d *Document) Raw() json.RawMessage { return d.raw }

// Service returns a service by its name, nil if there is none.
func (d *Document) Service(name string) *Service { return d.Services[name] }
