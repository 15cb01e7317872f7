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

// Plane is what the calls act on. Its methods are called at once from many goroutines, with a
// context that ends when the answer would come too late; they hold no lock over disk or network
// that Beat needs too. An error without a fault's kind counts as Unavailable.
type Plane interface {
	// Beat takes what a server says of itself. It returns once the rest of the system is told as
	// far as b's state asks for.
	Beat(ctx context.Context, b *Beat) (BeatReply, error)
	// Leave takes a server's end. seq is its count of calls, 0 if it gave none.
	Leave(ctx context.Context, id string, seq uint64) error
	// Submit has a configuration or (patch) a change of items decided. body is its own.
	Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) Verdict
	// Config returns the newest configuration that was acknowledged, ok is false if there is none.
	Config(ctx context.Context) (raw []byte, ok bool, err error)
	// Ops returns one of OpsReads, as something that marshals to JSON.
	Ops(ctx context.Context, what string) (any, error)
}

// OpsReads are what an operator may ask an agent for.
var OpsReads = []string{"members", "servers", "view", "status", "figures"}

// VerdictKind is how an order ended.
type VerdictKind uint8

// How an order ended. Unclear ones may have been taken or not.
const (
	Unclear VerdictKind = iota
	Taken
	Conflict // another version is in place
	Invalid
	TooLarge
)

// Verdict is what became of an order.
type Verdict struct {
	Kind     VerdictKind
	Revision int64  // of the configuration, when it was taken
	Reason   string // for the operator, when it was not
}

// Beat is what a server says of itself, by the fields of PUT /chalkdoor/instances/ID.
type Beat struct {
	ID       string  `json:"-"`
	Service  string  `json:"target-service"`
	Addr     string  `json:"address"` // IP:PORT
	Zone     string  `json:"zone"`
	Revision Text    `json:"revision"` // of its software
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdMs   float64 `json:"cold-ms"` // how much longer it stays slow
	Phase    string  `json:"phase"`
	Models   []Model `json:"models"`
	Seq      uint64  `json:"call-seq"`
}

// The states in a beat.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Model is a model that a server holds.
type Model struct {
	Name     string          `json:"name"`
	Revision int             `json:"revision"` // of its weights
	Adapters json.RawMessage `json:"adapters"` // as they came
}

// Text is a string that may also come as a number.
type Text string

// UnmarshalJSON takes a string or a number.
func (t *Text) UnmarshalJSON(b []byte) error {
	var n json.Number // takes both kinds of number, and strings that are numbers
	if b[0] != '"' && json.Unmarshal(b, &n) == nil {
		*t = Text(n)
		return nil
	}
	return json.Unmarshal(b, (*string)(t))
}

// BeatReply answers a beat.
type BeatReply struct {
	Target string `json:"beat-target,omitempty"` // address for later beats, empty to leave it
}

// Call is one line of the table.
type Call struct {
	Method string
	Path   string // a last segment {id} or {what} stands for any
	Body   int64  // most bytes of a body
	What   string // for the docs
	handle func(*Server, *call)
}

var table = []Call{
	{http.MethodPut, "/chalkdoor/instances/{id}", 64 << 10, "a server's beat", (*Server).beat},
	{http.MethodDelete, "/chalkdoor/instances/{id}", 4 << 10, "a server's end", (*Server).leave},
	{http.MethodPut, "/chalkdoor/config", config.MaxBody, "take a whole configuration", (*Server).put},
	{http.MethodPatch, "/chalkdoor/config", config.MaxBody, "change named items of the configuration", (*Server).patch},
	{http.MethodGet, "/chalkdoor/config", 0, "read the newest configuration", (*Server).config},
	{http.MethodGet, "/chalkdoor/ops/{what}", 0, "read " + strings.Join(OpsReads, ", ") + " as the agent sees them", (*Server).ops},
}

// Calls lists all calls that are answered.
func Calls() []Call { return append([]Call(nil), table...) }

// find returns the line for a request and its last segment. Without a line, allowed lists the
// methods that the path has.
func find(method, path string) (c *Call, arg string, allowed []string) {
	for i := range table {
		t := &table[i]
		fixed, open, _ := strings.Cut(t.Path, "{")
		rest, ok := strings.CutPrefix(path, fixed)
		if !ok || (open == "") != (rest == "") || strings.Contains(rest, "/") {
			continue
		}
		a, err := url.PathUnescape(rest)
		if err != nil || len(a) > maxID {
			continue
		}
		if t.Method == method {
			return t, a, nil
		}
		allowed = append(allowed, t.Method)
	}
	return nil, "", allowed
}
