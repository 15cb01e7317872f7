// Package controlapi answers the calls of servers and operators on the control address, and calls it as
// a client. Every call is declared once, in the table below.
package controlapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// Backend is what the calls act on. Its methods are called at once from many goroutines, with a
// context that ends when the answer would come too late; they hold no lock over disk or network
// that Beat needs too. An error without a fault's kind counts as Unavailable.
type Backend interface {
	// Heartbeat takes what a server says of itself. It returns once the rest of the system is told as
	// far as b's state asks for.
	Heartbeat(ctx context.Context, b *Heartbeat) (HeartbeatResponse, error)
	// Deregister takes a server's end. seq is its count of calls, 0 if it gave none.
	Deregister(ctx context.Context, id string, seq uint64) error
	// Submit has a configuration or (patch) a change of items decided. body is its own.
	Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) SubmitResult
	// Config returns the newest configuration that was acknowledged, ok is false if there is none.
	Config(ctx context.Context) (raw []byte, ok bool, err error)
	// Inspect returns one of Resources, as something that marshals to JSON.
	Inspect(ctx context.Context, what string) (any, error)
}

// Resources are what an operator may ask an agent for.
var Resources = []string{"members", "servers", "view", "status", "figures"}

// Outcome is how an order ended.
type Outcome uint8

// How an order ended. Unclear ones may have been taken or not.
const (
	OutcomeUnknown Outcome = iota
	OutcomeCommitted
	OutcomeConflict // another version is in place
	OutcomeInvalid
	OutcomeTooLarge
)

// SubmitResult is what became of an order.
type SubmitResult struct {
	Outcome  Outcome
	Revision int64  // of the configuration, when it was taken
	Reason   string // for the operator, when it was not
}

// Heartbeat is what a server says of itself, by the fields of PUT /chalkdoor/instances/ID.
type Heartbeat struct {
	ID       string         `json:"-"`
	Service  string         `json:"target-service"`
	Address  string         `json:"address"` // IP:PORT
	Zone     string         `json:"zone"`
	Revision StringOrNumber `json:"revision"` // of its software
	Slots    int            `json:"slots"`
	State    string         `json:"state"`
	WarmupMs float64        `json:"cold-ms"` // how much longer it stays slow
	Phase    string         `json:"phase"`
	Models   []Model        `json:"models"`
	Sequence uint64         `json:"call-seq"`
}

// The states in a beat.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Model is a model that a server holds.
type Model struct {
	Name     string          `json:"name"`
	Revision int             `json:"revision"` // of its weights
	Adapters json.RawMessage `json:"adapters"` // as they came
}

// StringOrNumber is a string that may also come as a number.
type StringOrNumber string

// UnmarshalJSON takes a string or a number.
func (t *StringOrNumber) UnmarshalJSON(b []byte) error {
	var n json.Number // takes both kinds of number, and strings that are numbers
	if b[0] != '"' && json.Unmarshal(b, &n) == nil {
		*t = StringOrNumber(n)
		return nil
	}
	return json.Unmarshal(b, (*string)(t))
}

// HeartbeatResponse answers a beat.
type HeartbeatResponse struct {
	NextTarget string `json:"beat-target,omitempty"` // address for later beats, empty to leave it
}

// Endpoint is one line of the table.
type Endpoint struct {
	Method       string
	Path         string // a last segment {id} or {what} stands for any
	MaxBodyBytes int64  // most bytes of a body
	Summary      string // for the docs
	handle       func(*Server, *exchange)
}

var endpoints = []Endpoint{
	{http.MethodPut, "/chalkdoor/instances/{id}", 64 << 10, "a server's beat", (*Server).handleHeartbeat},
	{http.MethodDelete, "/chalkdoor/instances/{id}", 4 << 10, "a server's end", (*Server).handleDeregister},
	{http.MethodPut, "/chalkdoor/config", config.MaxBody, "take a whole configuration", (*Server).handlePut},
	{http.MethodPatch, "/chalkdoor/config", config.MaxBody, "change named items of the configuration", (*Server).handlePatch},
	{http.MethodGet, "/chalkdoor/config", 0, "read the newest configuration", (*Server).handleConfig},
	{http.MethodGet, "/chalkdoor/ops/{what}", 0, "read " + strings.Join(Resources, ", ") + " as the agent sees them", (*Server).handleInspect},
}

// Endpoints lists all calls that are answered.
func Endpoints() []Endpoint { return append([]Endpoint(nil), endpoints...) }

// findEndpoint returns the line for a request and its last segment. Without a line, allowed lists the
// methods that the path has.
func findEndpoint(method, path string) (c *Endpoint, arg string, allowed []string) {
	for i := range endpoints {
		t := &endpoints[i]
		fixed, open, _ := strings.Cut(t.Path, "{")
		rest, ok := strings.CutPrefix(path, fixed)
		if !ok || (open == "") != (rest == "") || strings.Contains(rest, "/") {
			continue
		}
		a, err := url.PathUnescape(rest)
		if err != nil || len(a) > maxIDBytes {
			continue
		}
		if t.Method == method {
			return t, a, nil
		}
		allowed = append(allowed, t.Method)
	}
	return nil, "", allowed
}
