// Package controlapi serves the HTTP calls of model servers and operators on the control address, and
// calls them as the operators' client. Paths, JSON keys, status codes and bounds are those of the
// operators' pages on control; endpoints lists all calls.
//
// Server and Client may be used by many goroutines.
package controlapi

import (
	"context"
	"encoding/json"
)

// Backend carries out the calls. Its methods run concurrently, with a context that ends when the
// answer would come too late. A heartbeat has to be answered within a second, so no method may hold a
// lock that Heartbeat needs while it waits for a disk or the network. An error without a kind of
// package apierror counts as apierror.Unavailable.
type Backend interface {
	// Heartbeat registers a server, or renews what it reports of itself. It returns once the report is
	// replicated as far as its state requires: a draining server may stop once it was answered.
	Heartbeat(ctx context.Context, heartbeat *Heartbeat) (HeartbeatResponse, error)
	// Deregister removes a server. sequence is the server's count of calls, 0 if it sent none.
	Deregister(ctx context.Context, id string, sequence uint64) error
	// Submit decides on a configuration or, with patch, on a change of items, made for revision
	// ifMatch. It may keep body.
	Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) SubmitResult
	// Config returns the newest acknowledged configuration; found is false if there is none.
	Config(ctx context.Context) (raw []byte, found bool, err error)
	// Inspect returns one of Resources as a value that can be encoded as JSON.
	Inspect(ctx context.Context, resource string) (any, error)
}

// Resources are what an operator may inspect at an agent.
var Resources = []string{"members", "servers", "view", "status", "figures", "recovery", "quotas"}

// Outcome is the outcome of a submitted configuration.
type Outcome uint8

// The outcomes. A submission whose outcome is unknown may be committed or not; sent again unchanged
// it is committed once.
const (
	OutcomeUnknown Outcome = iota
	OutcomeCommitted
	OutcomeConflict // the current revision is another than the one it was made for
	OutcomeInvalid
	OutcomeTooLarge
)

var outcomeNames = [...]string{"unknown", "committed", "conflict", "invalid", "too large"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// SubmitResult answers a submission.
type SubmitResult struct {
	Outcome  Outcome
	Revision int64  // of the configuration, if it was committed
	Reason   string // for the operator, if it was not
}

// Heartbeat is a server's report of itself, with the fields of PUT /chalkdoor/instances/ID.
type Heartbeat struct {
	ID       string         `json:"-"` // of the path
	Service  string         `json:"target-service"`
	Address  string         `json:"address"` // IP:PORT for requests
	Zone     string         `json:"zone"`
	Revision StringOrNumber `json:"revision"` // of the server's software
	Slots    int            `json:"slots"`    // requests that it runs at once
	State    string         `json:"state"`
	WarmupMs float64        `json:"cold-ms"` // remaining time of its slow start
	Phase    string         `json:"phase"`   // which halves of inference it serves
	Models   []Model        `json:"models"`
	Sequence uint64         `json:"call-seq"` // the server's count of calls
}

// The states of a heartbeat.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Model is a model that a server holds.
type Model struct {
	Name     string          `json:"name"`
	Revision int             `json:"revision"` // of its weights
	Adapters json.RawMessage `json:"adapters"` // as they were sent
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

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	NextTarget string `json:"beat-target,omitempty"` // control address for later heartbeats; "": the same
}

// deregisterRequest is the body of a server's DELETE, which may have none.
type deregisterRequest struct {
	Sequence uint64 `json:"call-seq"`
}

// revisionResponse answers a committed configuration.
type revisionResponse struct {
	Revision int64 `json:"revision"`
}

// errorResponse answers a call that failed.
type errorResponse struct {
	Error string `json:"error"`
}
