// Package controlapi implements the HTTP API that an agent offers to model servers and operators on its
// control address, and a client for operators. The operators' documentation specifies paths, JSON
// keys, status codes and bounds; Endpoints returns all calls.
//
// Server and Client are safe for concurrent use.
package controlapi

import (
	"context"
	"encoding/json"
)

// Backend carries out the calls. Its methods are called concurrently. Their context ends when a response
// would be too late. A heartbeat has to be answered within a second, so no method may wait for a disk
// or the network while it holds a lock that Heartbeat needs. An error without a kind of package apierror
// is treated as apierror.Unavailable.
type Backend interface {
	// Heartbeat registers a server or updates its report. It returns once the report is replicated as far
	// as the server's state requires: a draining server may stop as soon as it gets the response.
	Heartbeat(ctx context.Context, heartbeat *Heartbeat) (HeartbeatResponse, error)
	// Deregister removes a server. sequence is the server's sequence number of the call, 0 if it sent none.
	Deregister(ctx context.Context, id string, sequence uint64) error
	// Submit decides on a complete configuration or, if patch is true, on a change of some of its items.
	// ifMatch is the revision that the submission is based on. Submit may retain body.
	Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) SubmitResult
	// Config returns the newest acknowledged configuration. found is false if there is none.
	Config(ctx context.Context) (raw []byte, found bool, err error)
	// Inspect returns the state of one of Resources as a value that can be encoded as JSON.
	Inspect(ctx context.Context, resource string) (any, error)
}

// Resources lists what an operator can inspect at an agent.
var Resources = []string{"members", "servers", "view", "status", "figures", "recovery", "quotas"}

// Outcome is the outcome of a submitted configuration.
type Outcome uint8

// The outcomes. A submission whose outcome is unknown may be committed or not. If it is sent again
// unchanged, it is still committed only once.
const (
	OutcomeUnknown Outcome = iota
	OutcomeCommitted
	OutcomeConflict // the current revision is not the one that the submission is based on
	OutcomeInvalid
	OutcomeTooLarge
)

var outcomeNames = [...]string{"unknown", "committed", "conflict", "invalid", "too large"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// SubmitResult is the result of a submission.
type SubmitResult struct {
	Outcome  Outcome
	Revision int64  // revision of the configuration if it was committed
	Reason   string // reason, for the operator, if it was not committed
}

// Heartbeat is a server's report of itself, with the fields of PUT /chalkdoor/instances/ID.
type Heartbeat struct {
	ID       string         `json:"-"` // from the path
	Service  string         `json:"target-service"`
	Address  string         `json:"address"` // IP:PORT for requests
	Zone     string         `json:"zone"`
	Revision StringOrNumber `json:"revision"` // revision of the server's software
	Slots    int            `json:"slots"`    // number of requests that the server runs concurrently
	State    string         `json:"state"`
	WarmupMs float64        `json:"cold-ms"` // remaining time of the server's slow start
	Phase    string         `json:"phase"`   // phases of inference that the server runs
	Models   []Model        `json:"models"`
	Sequence uint64         `json:"call-seq"` // sequence number of the call, counted by the server
}

// The states of a heartbeat.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Model is a model that a server holds.
type Model struct {
	Name     string          `json:"name"`
	Revision int             `json:"revision"` // revision of the weights
	Adapters json.RawMessage `json:"adapters"` // undecoded JSON
}

// StringOrNumber is a JSON string that may also be sent as a number.
type StringOrNumber string

// UnmarshalJSON decodes a string, or a number as its text.
func (s *StringOrNumber) UnmarshalJSON(raw []byte) error {
	var number json.Number // also decodes strings that hold a number
	if raw[0] != '"' && json.Unmarshal(raw, &number) == nil {
		*s = StringOrNumber(number)
		return nil
	}
	return json.Unmarshal(raw, (*string)(s))
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	NextTarget string `json:"beat-target,omitempty"` // control address for later heartbeats; empty to keep the current one
}

// deregisterRequest is the optional body of a server's DELETE.
type deregisterRequest struct {
	Sequence uint64 `json:"call-seq"`
}

// revisionResponse is the response to a committed submission.
type revisionResponse struct {
	Revision int64 `json:"revision"`
}

// errorResponse is the response to a call that failed.
type errorResponse struct {
	Error string `json:"error"`
}
