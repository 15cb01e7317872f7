// Package config owns the operator's configuration: its types, its changes and every reason for
// which one is refused. It is pure.
package config

import "encoding/json"

// Kind tells how the requests of a route may be repeated.
type Kind string

// The kinds of routes.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Route is one route of a configuration. Times are in ms.
type Route struct {
	Name               string
	Host               string
	Prefix             string
	Kind               Kind
	TimeoutMs          int64
	LatencyTargetMs    int64
	Priority           int     // admission-priority: 0 is the most urgent
	Splits             []Split // at least one; the weights sum to more than 0
	MaxAttempts        int     // at least 1
	Affinity           bool
	Resumable          bool
	InterTokenTargetMs int64
}

// Split is a part of a route's traffic.
type Split struct {
	Service string
	Weight  float64
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Service is one service of a configuration.
type Service struct {
	Name       string
	HealthPath string
	ConnLimit  int
	Engine     *Engine // nil where it is no model service
}

// Engine is what a configuration tells of a service's model servers.
type Engine struct {
	Slots          int
	CacheTokens    int
	KVTokenBytes   int
	LinkMbps       float64
	TokensPerEvent int // tokens to an event
	Models         []string
}

// Limits bound what a client may send. Sizes are in bytes, times in ms.
type Limits struct {
	HeaderBytes, BodyBytes, HeaderMs, IdleMs int64
}

// Document is one whole configuration, immutable.
type Document struct {
	Revision int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	raw    json.RawMessage     // as it is read back
	byHost map[string][]*Route // longest prefix first
}
