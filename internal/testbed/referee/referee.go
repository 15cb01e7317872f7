// Package referee checks the events of a fleet's run against the four rules of the protocol. It
// does not depend on how agents work: it gets what clients, report servers and discovery observed,
// with times of one clock, and reports each violation with the events that led to it.
//
// The rules:
//  1. Each request that was accepted gets exactly one final answer in time.
//  2. Effects are never duplicated.
//  3. After a grace period, an agent that was notified that a server drains or is removed sends it
//     no new requests.
//  4. The agents together don't overload a cold server so that it topples, which means that it fails.
package referee

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	// Asked means that a client has written a whole request to a connection to its agent. Deadline is set.
	Asked Kind = iota + 1
	// Answered means that the client received a complete final answer. Status is set, and Valid tells
	// whether the body is the one that a report server makes for this request.
	Answered
	// Dropped means that the agent closed a request's connection without a complete answer. If that was
	// before the request was written, there is no Asked event. Dropped requests without an attempt are
	// tolerated for up to one request in requestsPerDrop.
	Dropped
	// Left means that the client disconnected early, and needs no answer.
	Left
	// Killed means that an agent was killed or paused on purpose, from At until Deadline. Requests that
	// it held or was sent in that time need no answer.
	Killed
	// Attempted means that the head of an attempt reached a report server, Arrived that the server
	// accepted the whole request, Ran that the request took effect, and Ended that the server no
	// longer holds it.
	Attempted
	Arrived
	Ran
	Ended
	// Notified means that discovery notified an agent of a server's State.
	Notified
	// Toppled means that a cold server failed because it was overloaded.
	Toppled
)

func (k Kind) String() string {
	return [...]string{"?", "asked", "answered", "dropped", "left", "killed", "attempted", "arrived", "ran", "ended",
		"told", "toppled"}[k]
}

// Effect says how often a request of a class may run.
type Effect uint8

// The effects of requests.
const (
	NonIdempotent Effect = iota // at most once
	Deduplicated                // report servers drop repeats of its idempotency key for a time
	Idempotent                  // any number of times
)

// Event is one observation. Fields that a kind doesn't use are empty.
type Event struct {
	At       time.Duration // since the start of the run
	Kind     Kind
	Agent    string
	Server   string
	Request  string // request id, which differs for each try of a client
	Key      string // idempotency key
	Effect   Effect
	Deadline time.Duration // when the client stops waiting; for Killed the end of the outage
	SentAt   time.Duration // for Attempted: when the agent sent its first byte; 0 if that is not known, then At counts
	Status   int
	Valid    bool   // whether the answer is the one that a report server makes for the request
	State    string // "up", "draining" or "removed"
	// ConnectedAt is when the client of a dropped request got its connection; 0 if it is not known.
	// Detail describes the error that the client got, and the agent's sockets.
	ConnectedAt time.Duration
	Detail      string
}

func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f s %s", e.At.Seconds(), e.Kind)
	for _, f := range []struct{ name, value string }{{"request", e.Request}, {"key", e.Key}, {"agent", e.Agent},
		{"server", e.Server}, {"state", e.State}} {
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%s", f.name, f.value)
		}
	}
	if e.Status != 0 {
		fmt.Fprintf(&b, " status=%d valid=%v", e.Status, e.Valid)
	}
	if e.ConnectedAt > 0 {
		fmt.Fprintf(&b, " connected=%.3f s", e.ConnectedAt.Seconds())
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " (%s)", e.Detail)
	}
	return b.String()
}

// sentTime returns when an attempt was sent, or else when it reached the server.
func sentTime(e Event) time.Duration {
	if e.SentAt > 0 {
		return e.SentAt
	}
	return e.At
}

// Rules has the limits of the four rules.
type Rules struct {
	AnswerSlack      time.Duration // how long after its deadline an answer is still in time
	DrainGrace       time.Duration // how long after its notification an agent may still send to a server that drains
	KeyWindow        time.Duration // how long report servers drop repeats of a key
	Slack            time.Duration // added to each time limit, for delays of real sockets
	ParallelAttempts bool          // whether a request may have two attempts in flight at the same time
}

// requestsPerDrop is the number of requests among which one may be dropped without an attempt.
const requestsPerDrop = 200

// Violation is a broken rule with the events that led to it.
type Violation struct {
	Rule   int
	Text   string
	Events []Event
}

func (v Violation) String() string {
	lines := []string{fmt.Sprintf("rule %d: %s", v.Rule, v.Text)}
	for _, e := range v.Events {
		lines = append(lines, "  "+e.String())
	}
	return strings.Join(lines, "\n")
}

// Log collects events. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	start  time.Time
	events []Event
}

// NewLog returns a log whose clock starts now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Began returns the wall-clock time at which the log's clock started.
func (l *Log) Began() time.Time { return l.start }

// Now returns the time since the log's clock started.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// Add adds an event. If its time is 0 it is set to now.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(l.start)
	}
	l.events = append(l.events, e)
}

// Events returns all events in order of time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.events)
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

// request has the events of one try of a client.
type request struct {
	asked    Event // the Asked event; its Kind is 0 if there is none
	events   []Event
	finals   int  // number of final answers and drops
	excused  bool // whether the client left
	attempts int  // number of attempts that arrived at a server
	inFlight int  // number of attempts that a server holds
}

// sentTo returns the agent that a request was sent to, and the time since which the agent is responsible
// for it: when it was written or, if nothing was written, when its client got the connection.
func (r *request) sentTo(last Event) (agent string, since time.Duration) {
	switch {
	case r.asked.Kind == Asked:
		return r.asked.Agent, r.asked.At
	case last.ConnectedAt > 0:
		return last.Agent, last.ConnectedAt
	}
	return last.Agent, last.At
}

// Check checks the events of a run that ended at the given time. The events must be in order of time.
func Check(events []Event, rules Rules, end time.Duration) (broken []Violation) {
	requests := map[string]*request{}
	var order []string
	// notified has, by agent and server, the agent's first notification that the server drains or is removed.
	notified := map[[2]string]Event{}
	effects := map[string]Event{} // by idempotency key, its first effect
	var dropped []Violation       // dropped requests without an attempt
	kills := map[string][]Event{} // by agent
	for _, e := range events {
		if e.Kind == Killed {
			kills[e.Agent] = append(kills[e.Agent], e)
		}
	}
	// excused reports whether a request needs no answer: its client left, or the agent was down at some
	// time between receiving it and the last event.
	excused := func(r *request, last Event) bool {
		agent, since := r.sentTo(last)
		return r.excused || slices.ContainsFunc(kills[agent], func(k Event) bool {
			return since <= k.Deadline && last.At >= k.At
		})
	}
	get := func(id string) *request {
		r := requests[id]
		if r == nil {
			r = &request{}
			requests[id] = r
			order = append(order, id)
		}
		return r
	}
	add := func(rule int, text string, of ...Event) {
		broken = append(broken, Violation{rule, text, of})
	}
	for _, e := range events {
		var r *request
		if e.Request != "" {
			r = get(e.Request)
			r.events = append(r.events, e)
		}
		switch e.Kind {
		case Asked:
			r.asked = e
		case Answered:
			switch r.finals++; {
			case r.finals > 1:
				add(1, "more than one final answer", r.events...)
			case e.At > r.asked.Deadline+rules.AnswerSlack+rules.Slack && !excused(r, e):
				add(1, fmt.Sprintf("answered %v after the deadline", e.At-r.asked.Deadline), r.events...)
			case e.Status == 200 && !e.Valid:
				add(1, "served an answer that no report server made for it", r.events...)
			case (e.Status == 429 || e.Status == 503) && r.attempts > 0 && r.asked.Effect == NonIdempotent:
				add(2, "refused although it may have run", r.events...)
			}
		case Dropped:
			if r.finals == 0 && !excused(r, e) {
				v := Violation{1, "its connection was closed with no answer", r.events}
				if slices.ContainsFunc(r.events, func(x Event) bool { return x.Kind == Attempted }) {
					broken = append(broken, v)
				} else {
					dropped = append(dropped, v)
				}
			}
			r.finals++
		case Left:
			r.excused = true
		case Attempted:
			if t, ok := notified[[2]string{e.Agent, e.Server}]; ok && sentTime(e) > t.At+rules.DrainGrace+rules.Slack {
				add(3, fmt.Sprintf("sent to a server that the agent knew as %s for %v", t.State, e.At-t.At),
					append(r.events, t)...)
			}
		case Arrived:
			r.attempts++
			if r.inFlight++; r.inFlight > 1 && !rules.ParallelAttempts && !excused(r, e) {
				add(2, "a second attempt arrived while another was in flight", r.events...)
			}
		case Ended:
			r.inFlight--
		case Ran:
			ran := 0
			for _, x := range r.events {
				if x.Kind == Ran {
					ran++
				}
			}
			if e.Effect == NonIdempotent && ran > 1 {
				add(2, "ran twice", r.events...)
			}
			if e.Effect == Deduplicated {
				if first, ok := effects[e.Key]; ok && e.At-first.At > rules.KeyWindow+rules.Slack &&
					first.Request == e.Request {
					add(2, fmt.Sprintf("ran again %v later, past the window of its key", e.At-first.At), r.events...)
				}
				if _, ok := effects[e.Key]; !ok {
					effects[e.Key] = e
				}
			}
		case Notified:
			at := [2]string{e.Agent, e.Server}
			if _, ok := notified[at]; e.State == "up" {
				delete(notified, at)
			} else if !ok {
				notified[at] = e
			}
		case Toppled:
			add(4, "a cold server was toppled", e)
		}
	}
	if len(dropped)*requestsPerDrop > len(order) {
		broken = append(broken, dropped...)
	}
	for _, id := range order {
		r := requests[id]
		if r.asked.Kind == Asked && r.finals == 0 && !excused(r, Event{At: r.asked.Deadline}) &&
			end > r.asked.Deadline+rules.AnswerSlack+rules.Slack {
			add(1, "no final answer", r.events...)
		}
	}
	return broken
}
