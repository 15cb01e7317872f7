// Package referee judges what was seen of a fleet by the four rules of the protocol. It knows
// nothing of agents: it is handed what clients, report servers and discovery saw, with times of
// one clock, and tells each violation with the events that led to it.
//
// Its rules: each request that was taken gets one final answer in time (1); effects are never
// duplicated (2); nothing new goes to a server that drains or is gone, later than the grace
// after its agent was told (3); no cold server is toppled by all agents together (4).
package referee

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is what was seen.
type Kind uint8

// What may be seen, by whom.
const (
	// Asked is the last byte of a request on a connection of its agent. Deadline counts.
	Asked Kind = iota + 1
	// Answered is a whole final answer at the client: Status, and whether what was Served is
	// what a report server made for this request.
	Answered
	// Dropped is a connection that the agent ended under a request, with no whole answer. It may have
	// ended before anything was written: then the request was never Asked. Of those that the agent
	// sent nothing on for, one request in droppedMost is no loss.
	Dropped
	// Left is a client that went away: it is owed nothing more.
	Left
	// Killed is an agent that was killed or paused on purpose, from At until Deadline: what it
	// held then, or was sent, is owed nothing.
	Killed
	// Attempted is the first byte of an attempt at a report server; Arrived its last, and Ran
	// the start of its effect. Ended is when the server no longer holds it.
	Attempted
	Arrived
	Ran
	Ended
	// Told is what discovery has written to an agent of a server: State.
	Told
	// Toppled is a cold server that fell.
	Toppled
)

func (k Kind) String() string {
	return [...]string{"?", "asked", "answered", "dropped", "left", "killed", "attempted", "arrived", "ran", "ended", "told", "toppled"}[k]
}

// Effect tells how often a request of a class may run.
type Effect uint8

// The effects.
const (
	Once   Effect = iota // never twice
	Keyed                // repeats of a key are dropped for a time
	Repeat               // as often as it likes
)

// Event is one thing seen. Fields that a kind does not use are empty.
type Event struct {
	At       time.Duration // since the start of the run
	Kind     Kind
	Agent    string
	Server   string
	Request  string // its id, new with each try
	Key      string // idempotency key
	Effect   Effect
	Deadline time.Duration // at which the client stops waiting
	Sent     time.Duration // attempted: when its first byte was, where a link held it since; 0: At
	Status   int
	Whole    bool   // the answer is what a report server made for the request
	State    string // "up", "draining" or "removed"
	// Connected is when the client of a dropped request got the connection that ended, Detail what that
	// client saw.
	Connected time.Duration
	Detail    string
}

func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f s %s", e.At.Seconds(), e.Kind)
	for _, f := range []struct{ name, value string }{{"request", e.Request}, {"key", e.Key}, {"agent", e.Agent}, {"server", e.Server}, {"state", e.State}} {
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%s", f.name, f.value)
		}
	}
	if e.Status != 0 {
		fmt.Fprintf(&b, " status=%d whole=%v", e.Status, e.Whole)
	}
	if e.Connected > 0 {
		fmt.Fprintf(&b, " connected=%.3f s", e.Connected.Seconds())
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " (%s)", e.Detail)
	}
	return b.String()
}

// sentAt is when an attempt was sent, however long it was on its way.
func sentAt(e Event) time.Duration {
	if e.Sent > 0 {
		return e.Sent
	}
	return e.At
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack   time.Duration // after the deadline
	DrainGrace    time.Duration // after the telling
	KeyWindow     time.Duration // in which report servers drop the repeats of a key
	Slack         time.Duration // that sockets add to each limit
	ParallelTries bool          // whether two attempts of a request may be out at once
}

// droppedMost is of how many requests one may be dropped before anything was sent on for it.
const droppedMost = 200

// Violation is a broken rule and what led to it.
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

// Log collects events from many goroutines.
type Log struct {
	mu     sync.Mutex
	start  time.Time
	events []Event
}

// NewLog returns a log whose clock starts now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Began is when it started, by the clock of day.
func (l *Log) Began() time.Time { return l.start }

// Now is the log's clock.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// Add notes an event as of now, unless its time is set.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(l.start)
	}
	l.events = append(l.events, e)
}

// Events returns what was seen, in the order of time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.events)
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

// request is what was seen of one try of a client.
type request struct {
	asked    Event
	events   []Event
	final    int
	excused  bool // the client left
	attempts int  // that ran, or may yet
	out      int
}

// sentTo returns the agent that a request was sent to, and since when. One whose connection ended as
// nothing was written yet counts from when its client got that connection.
func (r *request) sentTo(last Event) (agent string, since time.Duration) {
	switch {
	case r.asked.Kind == Asked:
		return r.asked.Agent, r.asked.At
	case last.Connected > 0:
		return last.Agent, last.Connected
	}
	return last.Agent, last.At
}

// Check judges a run that ended at a time; events must be in the order of time.
func Check(events []Event, rules Rules, end time.Duration) (broken []Violation) {
	requests := map[string]*request{}
	var order []string
	told := map[[2]string]Event{} // agent and server: when it was told to drain or gone
	effects := map[string]Event{} // key: the last effect
	var dropped []Violation
	kills := map[string][]Event{}
	for _, e := range events {
		if e.Kind == Killed {
			kills[e.Agent] = append(kills[e.Agent], e)
		}
	}
	// excused tells whether the client left, or the agent was down while it held the request until
	// the last event.
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
			switch r.final++; {
			case r.final > 1:
				add(1, "more than one final answer", r.events...)
			case e.At > r.asked.Deadline+rules.AnswerSlack+rules.Slack && !excused(r, e):
				add(1, fmt.Sprintf("answered %v after the deadline", e.At-r.asked.Deadline), r.events...)
			case e.Status == 200 && !e.Whole:
				add(1, "served with what no report server made for it", r.events...)
			case (e.Status == 429 || e.Status == 503) && r.attempts > 0 && r.asked.Effect == Once:
				add(2, "refused though it may have run", r.events...)
			}
		case Dropped:
			if r.final == 0 && !excused(r, e) {
				v := Violation{1, "its connection was ended with no answer", r.events}
				if slices.ContainsFunc(r.events, func(x Event) bool { return x.Kind == Attempted }) {
					broken = append(broken, v)
				} else {
					dropped = append(dropped, v)
				}
			}
			r.final++
		case Left:
			r.excused = true
		case Attempted:
			if t, ok := told[[2]string{e.Agent, e.Server}]; ok && sentAt(e) > t.At+rules.DrainGrace+rules.Slack {
				add(3, fmt.Sprintf("sent to a server that was told as %s %v before", t.State, e.At-t.At), append(r.events, t)...)
			}
		case Arrived:
			r.attempts++
			if r.out++; r.out > 1 && !rules.ParallelTries && !excused(r, e) {
				add(2, "a second copy while one was out", r.events...)
			}
		case Ended:
			r.out--
		case Ran:
			ran := 0
			for _, x := range r.events {
				if x.Kind == Ran {
					ran++
				}
			}
			if e.Effect == Once && ran > 1 {
				add(2, "ran twice", r.events...)
			}
			if e.Effect == Keyed {
				if last, ok := effects[e.Key]; ok && e.At-last.At > rules.KeyWindow+rules.Slack && last.Request == e.Request {
					add(2, fmt.Sprintf("ran again %v after, past the window of its key", e.At-last.At), r.events...)
				}
				if _, ok := effects[e.Key]; !ok {
					effects[e.Key] = e
				}
			}
		case Told:
			at := [2]string{e.Agent, e.Server}
			if _, ok := told[at]; e.State == "up" {
				delete(told, at)
			} else if !ok {
				told[at] = e
			}
		case Toppled:
			add(4, "a cold server was toppled", e)
		}
	}
	if len(dropped)*droppedMost > len(order) {
		broken = append(broken, dropped...)
	}
	for _, id := range order {
		r := requests[id]
		if r.asked.Kind == Asked && r.final == 0 && !excused(r, Event{At: r.asked.Deadline}) && end > r.asked.Deadline+rules.AnswerSlack+rules.Slack {
			add(1, "no final answer", r.events...)
		}
	}
	return broken
}
