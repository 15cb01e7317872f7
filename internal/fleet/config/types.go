// Package config holds the operator's configuration: its types, the parsing and validation of a
// document, the changes that an operator may send, and the match of a request to a route.
//
// It is pure: it reads no file and no clock. A Document is immutable once it is parsed and may be
// used by many goroutines. Every error is an *apierror.Error of kind Invalid, or TooLarge past a
// bound, that names the key which is wrong and the remedy. Keys, defaults and rules are those of the
// operators' pages on the configuration.
package config

import "encoding/json"

// Kind is the kind of a route: whether its requests may be repeated. Kinds that are not known here
// are kept and treated as Unsafe.
type Kind string

// The kinds of routes, as documents have them.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Route is one route of a configuration. Times are in ms.
type Route struct {
	Name               string
	Host               string // in lower case, without a port
	Prefix             string // of paths; begins and ends with a slash
	Kind               Kind
	TimeoutMs          int64   // above 0
	LatencyTargetMs    int64   // setpoint-ms: to the first token; 0: none
	Priority           int     // admission-priority: 0 is the most urgent
	Splits             []Split // at least one; the weights are above 0
	MaxAttempts        int     // at least 1
	Affinity           bool
	Resumable          bool
	Keyless            bool  // requests need no API key
	InterTokenTargetMs int64 // gap_aim_ms: between two tokens; 0: none
}

// Idempotent returns whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Split is the share of a route's traffic that goes to a service, in proportion to its weight.
type Split struct {
	Service string
	Weight  float64
}

// Service is one service of a configuration.
type Service struct {
	Name       string
	HealthPath string
	ConnLimit  int     // connections to each of its servers
	Engine     *Engine // nil where it is no model service
}

// Engine describes a service's model servers. A field that is 0 is not known.
type Engine struct {
	Slots          int // requests that a server runs at once
	CacheTokens    int // capacity of its KV cache
	KVTokenBytes   int
	LinkMbps       float64
	TokensPerEvent int // stride
	Models         []string
}

// Limits bound what a client may send. Sizes are in bytes, times in ms; 0 is no limit of its own.
type Limits struct {
	HeaderBytes, BodyBytes, HeaderMs, IdleMs int64
}

// Document is one complete configuration. It is immutable.
type Document struct {
	Revision int64 // above 0, rises with each change
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	raw    json.RawMessage     // as it is read back
	byHost map[string][]*Route // longest prefix first

	hasTenants  bool
	tenants     map[string]*Tenant // by name
	tenantByKey map[keyDigest]*Tenant
	// The priorities of all tenants and of all routes, sorted.
	tenantPriorities, routePriorities []int
}

// Raw returns the configuration as it was sent, unknown fields included. It may not be modified.
func (d *Document) Raw() json.RawMessage { return d.raw }

// Service returns a service by its name, nil if there is none.
func (d *Document) Service(name string) *Service { return d.Services[name] }
