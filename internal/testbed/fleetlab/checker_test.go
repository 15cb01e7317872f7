package fleetlab

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

const ms = time.Millisecond

func testRules() Rules {
	b := DefaultBounds()
	return Rules{Stride: 4, Contact: b.Contact, Drain: b.Drain, Converge: b.Converge, RevertSlack: b.RevertSlack, LossSlack: b.LossSlack, Grace: b.Grace,
		RetryRatio: b.RetryRatio, RetryWindow: b.RetryWindow, RetrySlack: 2, Slack: 50 * ms}
}

// observationBuilder builds the observations of a run.
type observationBuilder struct {
	Observations
	runs int
}

const (
	agent1, agent2 = "127.9.9.1", "127.9.9.2"
	narrativePath  = "/narrative/gen?n=1"
)

// newObservationBuilder starts with a configuration in force: requests for /narrative/ go to llm-a and are not
// idempotent, those for /verdict/ go to llm-b and are.
func newObservationBuilder() *observationBuilder {
	s := &observationBuilder{}
	s.Changes = []*ConfigChange{{Doc: testDocument(3), Valid: true, SentAt: 1 * ms, AckedAt: 10 * ms, AckedBy: agent1}}
	return s
}

func testDocument(revision int) *Document {
	return &Document{Revision: revision, Routes: []Route{
		{Name: "n", Host: hostname, Prefix: "/narrative/", Kind: "streaming", Service: "llm-a", MaxAttempts: 1},
		{Name: "v", Host: hostname, Prefix: "/verdict/", Kind: "streaming", Split: []Split{{"llm-b", 1}}, MaxAttempts: 2, Resumable: true, Comment: "kept"}},
		Services: []Service{{Name: "llm-a"}, {Name: "llm-b"}}}
}

// addAttempt adds an attempt that took 100 ms, without a response yet.
func (s *observationBuilder) addAttempt(at time.Duration, id, agent, target string, resumable bool) *Attempt {
	attempt := &Attempt{ID: id, Agent: agent, Method: "POST", Host: hostname, Target: target, Idempotent: resumable, Resumable: resumable,
		Prompt: modelserver.Prompt{Model: "m", Tokens: "100,24", Prefix: "a:100", Body: 7}, StartedAt: at, SentAt: at + ms, EndedAt: at + 100*ms, Deadline: at + 10*time.Second, Timeout: 10 * time.Second}
	s.Attempts = append(s.Attempts, attempt)
	return attempt
}

// addRun adds the arrival of an attempt at a server, and its run with the events first to last.
func (s *observationBuilder) addRun(attempt *Attempt, at time.Duration, service, instance string, first, last int) string {
	s.runs++
	record := modelserver.Record{At: at, Service: service, Instance: instance, Attempt: attempt.ID, Method: attempt.Method, Host: attempt.Host, Target: attempt.Target, Body: attempt.Prompt.Body}
	record.Kind = modelserver.Arrived
	s.Records = append(s.Records, record)
	record.Kind, record.Seal, record.First = modelserver.Started, fmt.Sprintf("seal%d", s.runs), first
	s.Records = append(s.Records, record)
	record.Kind, record.At, record.Pieces, record.Whole = modelserver.Ended, at+90*ms, last, last == attempt.Prompt.Pieces(4)
	s.Records = append(s.Records, record)
	return record.Seal
}

// addEvents gives a try the events of a run.
func (a *Attempt) addEvents(seal string, first, last int) {
	a.Status, a.AttemptHeader = 200, a.ID
	if a.Seal == "" {
		a.Seal = seal
	}
	events := a.Prompt.Pieces(4)
	for n := first; n <= last; n++ {
		a.Events = append(a.Events, ReceivedEvent{modelserver.Event{N: n, Text: a.Prompt.Text(n), Seal: seal, Last: n == events}, a.StartedAt + time.Duration(n)*10*ms})
	}
	a.Complete = last == events
	if !a.Complete {
		a.EndReason = Closed
	}
}

// addServed adds an attempt that is served completely.
func (s *observationBuilder) addServed(at time.Duration, id, agent, target string, resumable bool, service string) *Attempt {
	attempt := s.addAttempt(at, id, agent, target, resumable)
	last := attempt.Prompt.Pieces(4)
	attempt.addEvents(s.addRun(attempt, at+5*ms, service, "i-"+service, 1, last), 1, last)
	return attempt
}

const sec = time.Second

// Check finds each kind of violation, and reports none in correct observations.
func TestCheckFindsViolations(t *testing.T) {
	pieces := (&observationBuilder{}).addAttempt(0, "x", agent1, narrativePath, false).Prompt.Pieces(4)
	require.Greater(t, pieces, 2)
	for _, c := range []struct {
		name   string
		breaks func(s *observationBuilder)
		want   string // the violated rule; "": none
	}{
		{"all is well", func(s *observationBuilder) {}, ""},
		{"run by two servers", func(s *observationBuilder) {
			x := s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a")
			s.addRun(x, 20*sec+20*ms, "llm-a", "i-other", 1, 1)
		}, "TWICE"},
		{"a repeat of what may be repeated", func(s *observationBuilder) {
			x := s.addServed(20*sec, "a", agent1, "/verdict/gen", true, "llm-b")
			s.addRun(x, 20*sec+20*ms, "llm-b", "i-other", 1, 1)
		}, ""},
		{"refused, and it ran", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Status, x.Complete = 503, true
		}, "REFUSED"},
		{"refused, and it runs later", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			x.Status, x.Complete = 429, true
			s.addRun(x, 25*sec, "llm-a", "i-1", 1, 1)
		}, "REFUSED"},
		{"refused, and turned away by a server", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			x.Status, x.Complete = 503, true
			s.Records = append(s.Records, modelserver.Record{At: 20*sec + 5*ms, Kind: modelserver.Arrived, Service: "llm-a", Attempt: "a"}, modelserver.Record{At: 20*sec + 6*ms, Kind: modelserver.TurnedAway, Status: 503, Attempt: "a"})
		}, ""},
		{"failed after it ran", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Status, x.Complete = 502, true
		}, ""},
		{"a success without a seal", func(s *observationBuilder) { s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a").Seal = "" }, "MIXED"},
		{"a seal that no server made", func(s *observationBuilder) {
			s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a").Seal = "made-up"
		}, "MIXED"},
		{"the answer of another request", func(s *observationBuilder) {
			x := s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a")
			y := s.addServed(20*sec, "b", agent1, narrativePath, false, "llm-a")
			x.Seal, x.Events = y.Seal, y.Events
		}, "MIXED"},
		{"the echo of another request", func(s *observationBuilder) {
			s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a").AttemptHeader = "b"
		}, "MIXED"},
		{"other words", func(s *observationBuilder) {
			s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a").Events[1].Text = "ff"
		}, "MIXED"},
		{"an encoding", func(s *observationBuilder) {
			s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a").Encoded = true
		}, "MIXED"},
		{"bytes after the answer", func(s *observationBuilder) {
			s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a").ExtraBytes = true
		}, "MIXED"},
		{"no answer in the protocol", func(s *observationBuilder) {
			x := s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a")
			x.ProtocolError, x.EndReason, x.Complete, x.Status = "HTTP/9", Malformed, false, 0
		}, "MIXED"},
		{"half an event of a server that crashed", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			x.addEvents(s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.ProtocolError, x.EndReason = "half an event", Malformed
			s.Records = append(s.Records, modelserver.Record{At: 20*sec + 95*ms, Kind: modelserver.Crashed, Instance: "i-1"})
		}, ""},
		{"an event missing", func(s *observationBuilder) {
			x := s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a")
			x.Events = append(x.Events[:1:1], x.Events[2:]...)
		}, "ORDER"},
		{"an event twice", func(s *observationBuilder) {
			x := s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a")
			x.Events = append(x.Events[:1:1], x.Events...)
		}, "ORDER"},
		{"complete before its end", func(s *observationBuilder) {
			x := s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a")
			x.Events = x.Events[:2]
		}, "ORDER"},
		{"complete with nothing in it", func(s *observationBuilder) {
			s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-a").Events = nil
		}, "ORDER"},
		{"cut before its end, and it shows", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			x.addEvents(s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
		}, ""},
		{"two runs joined that may not be", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			x.addEvents(s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.addEvents(s.addRun(x, 20*sec+50*ms, "llm-a", "i-2", 3, pieces), 3, pieces)
		}, "ORDER TWICE"},
		{"a stream taken up that may be", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, "/verdict/gen", true)
			x.addEvents(s.addRun(x, 20*sec+5*ms, "llm-b", "i-1", 1, 2), 1, 2)
			x.addEvents(s.addRun(x, 20*sec+50*ms, "llm-b", "i-2", 3, pieces), 3, pieces)
			x.EndReason = Completed
		}, ""},
		{"a stream taken up with events of a run from the start", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, "/verdict/gen", true)
			x.addEvents(s.addRun(x, 20*sec+5*ms, "llm-b", "i-1", 1, 2), 1, 2)
			x.addEvents(s.addRun(x, 20*sec+50*ms, "llm-b", "i-2", 1, pieces), 3, pieces)
		}, "ORDER"},
		{"a client's own resumption", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, "/verdict/gen", true)
			x.AfterEvent = 2
			x.addEvents(s.addRun(x, 20*sec+5*ms, "llm-b", "i-1", 3, pieces), 3, pieces)
		}, ""},
		{"a client's own resumption from the start", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, "/verdict/gen", true)
			x.AfterEvent = 2
			x.addEvents(s.addRun(x, 20*sec+5*ms, "llm-b", "i-1", 1, pieces), 1, pieces)
		}, "ORDER"},
		{"an id that nobody sent", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			s.Attempts = nil
		}, "UNASKED"},
		{"another path", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Target = "/narrative/gen?n=2"
		}, "UNASKED"},
		{"another body", func(s *observationBuilder) {
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			s.addRun(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Prompt.Body = 8
		}, "UNASKED"},
		{"a request without an id", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Unrunnable, Method: "GET"})
		}, "UNASKED"},
		{"another service", func(s *observationBuilder) { s.addServed(20*sec, "a", agent1, narrativePath, false, "llm-b") }, "ROUTE"},
		{"sent to a server that drains, too late", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Draining, Instance: "i-llm-a", Agent: agent2 + ":8262"})
			s.addServed(22*sec+100*ms, "a", agent1, narrativePath, false, "llm-a")
		}, "DRAIN"},
		{"sent to a server that drains, in time", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Draining, Instance: "i-llm-a", Agent: agent2 + ":8262"})
			s.addServed(21*sec, "a", agent1, narrativePath, false, "llm-a")
		}, ""},
		{"sent to a server that drains, where its acknowledgement was by an agent in trouble", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent2, Begin: 18 * sec, End: 19 * sec}}
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Draining, Instance: "i-llm-a", Agent: agent2 + ":8262"})
			s.addServed(23*sec, "a", agent1, narrativePath, false, "llm-a")
		}, ""},
		{"sent to a server that is gone", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Gone, Instance: "i-1", Agent: agent2 + ":8262"},
				modelserver.Record{At: 23 * sec, Kind: modelserver.Arrived, Service: "llm-a", Instance: "i-1", Attempt: "a"})
			s.addAttempt(23*sec-5*ms, "a", agent1, narrativePath, false)
		}, "DRAIN"},
		{"sent to a server that is gone, and answered 421 there", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Gone, Instance: "i-1", Agent: agent2 + ":8262"},
				modelserver.Record{At: 23 * sec, Kind: modelserver.Arrived, Service: "llm-a", Instance: "i-1", Attempt: "a"},
				modelserver.Record{At: 23 * sec, Kind: modelserver.TurnedAway, Status: 421, Service: "llm-a", Instance: "i-1", Attempt: "a"})
			s.addAttempt(23*sec-5*ms, "a", agent1, narrativePath, false)
		}, ""},
		{"more repeats than the budget has", func(s *observationBuilder) {
			for i := range 10 { // 2 + 0.2 * 10 = 4 are allowed
				x := s.addServed(20*sec+time.Duration(i)*100*ms, fmt.Sprint("a", i), agent1, "/verdict/gen", true, "llm-b")
				if i >= 5 {
					s.addRun(x, x.StartedAt+20*ms, "llm-b", "i-2", 1, 1)
				}
			}
		}, "BUDGET"},
		{"as many repeats as the budget has", func(s *observationBuilder) {
			for i := range 10 {
				x := s.addServed(20*sec+time.Duration(i)*100*ms, fmt.Sprint("a", i), agent1, "/verdict/gen", true, "llm-b")
				if i >= 6 {
					s.addRun(x, x.StartedAt+20*ms, "llm-b", "i-2", 1, 1)
				}
			}
		}, ""},
		{"a repeat of each of few requests", func(s *observationBuilder) {
			for i := range 10 {
				x := s.addServed(20*sec+time.Duration(i)*4*sec, fmt.Sprint("a", i), agent1, "/verdict/gen", true, "llm-b")
				s.addRun(x, x.StartedAt+20*ms, "llm-b", "i-2", 1, 1)
			}
		}, "BUDGET"},
		{"an old configuration, too long after a new one was acknowledged", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.addServed(22*sec+200*ms, "a", agent1, narrativePath, false, "llm-a")
		}, "CONFIG"},
		{"an old configuration, soon after", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.addServed(21*sec, "a", agent1, narrativePath, false, "llm-a")
		}, ""},
		{"an old configuration at an agent in trouble", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Faults = []Fault{{Agent: agent1, Begin: 20 * sec, End: 20 * sec}}
			s.addServed(22*sec+200*ms, "a", agent1, narrativePath, false, "llm-a")
		}, ""},
		{"an old configuration while the core is in trouble", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Faults = []Fault{{Agent: agent2, Core: true, Begin: 20 * sec, Active: true}}
			s.addServed(22*sec+200*ms, "a", agent1, narrativePath, false, "llm-a")
		}, ""},
		{"an old configuration long after a core machine went", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Faults = []Fault{{Agent: agent2, Core: true, Begin: 20 * sec, Active: true}}
			s.addServed(24*sec, "a", agent1, narrativePath, false, "llm-a")
		}, "CONFIG"},
		{"a route that is new is not there", func(s *observationBuilder) {
			d := testDocument(5)
			d.Routes = append(d.Routes, Route{Name: "new", Host: hostname, Prefix: "/new/", Service: "llm-a"})
			s.Changes = append(s.Changes, &ConfigChange{BaseRevision: 3, Doc: d, Valid: true, SentAt: 20*sec - 10*ms, AckedAt: 20 * sec, AckedBy: agent1})
			x := s.addAttempt(23*sec, "a", agent1, "/new/x", false)
			x.Status, x.Complete = 404, true
		}, "CONFIG"},
		{"a route that never was is not there", func(s *observationBuilder) {
			x := s.addAttempt(23*sec, "a", agent1, "/never/x", false)
			x.Status, x.Complete = 404, true
		}, ""},
		{"back to an old configuration", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.addServed(20*sec+100*ms, "a", agent1, narrativePath, false, "llm-b")
			s.addServed(20*sec+600*ms, "b", agent1, narrativePath, false, "llm-a")
		}, "CONFIG"},
		{"another agent has the old configuration still", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.addServed(20*sec+100*ms, "a", agent1, narrativePath, false, "llm-b")
			s.addServed(20*sec+600*ms, "b", agent2, narrativePath, false, "llm-a")
		}, ""},
		{"back to an old configuration in a new life", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.addServed(20*sec+100*ms, "a", agent1, narrativePath, false, "llm-b")
			s.Faults = []Fault{{Agent: agent1, ProcessStart: true, Begin: 20*sec + 500*ms, End: 20*sec + 500*ms}}
			s.addServed(20*sec+600*ms, "b", agent1, narrativePath, false, "llm-a")
		}, ""},
		{"a refused configuration in force", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt, s.Changes[1].RejectStatus = 0, 412
			s.addServed(21*sec, "a", agent1, narrativePath, false, "llm-b")
		}, "CONFIG"},
		{"a configuration without a clear answer in force", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt = 0
			s.addServed(21*sec, "a", agent1, narrativePath, false, "llm-b")
		}, ""},
		{"an invalid configuration acknowledged", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Changes[1].Valid = false
		}, "CONFIG"},
		{"two acknowledged on one version", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.addChange(6, 20*sec, "llm-a")
		}, "CONFIG"},
		{"read back as sent, in another order", func(s *observationBuilder) {
			d := testDocument(3)
			d.Routes[0], d.Routes[1] = d.Routes[1], d.Routes[0]
			s.ReadBack = encode(d)
		}, ""},
		{"read back older", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.ReadBack = encode(testDocument(3))
		}, "CONFIG"},
		{"read back without a field that nobody knows", func(s *observationBuilder) {
			d := testDocument(3)
			d.Routes[1].Comment = ""
			s.ReadBack = encode(d)
		}, "CONFIG"},
		{"read back a change without a clear answer", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt = 0
			s.ReadBack = encode(s.Changes[1].Doc)
		}, ""},
		{"read back a refused one", func(s *observationBuilder) {
			s.addChange(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt, s.Changes[1].RejectStatus = 0, 412
			s.ReadBack = encode(s.Changes[1].Doc)
		}, "CONFIG"},
		{"not read back", func(s *observationBuilder) { s.ReadErr = assert.AnError }, "CONFIG"},
		{"cut around an ordered end", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Graceful: true, Begin: 20 * sec, End: 24 * sec}}
			x := s.addAttempt(19*sec, "a", agent1, narrativePath, false)
			x.addEvents(s.addRun(x, 19*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.EndedAt = 21 * sec
		}, "LOST"},
		{"cut around an ordered end by the server", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Graceful: true, Begin: 20 * sec, End: 24 * sec}}
			x := s.addAttempt(19*sec, "a", agent1, narrativePath, false)
			x.addEvents(s.addRun(x, 19*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.EndedAt = 21 * sec
			s.Records = append(s.Records, modelserver.Record{At: 19*sec + 95*ms, Kind: modelserver.Crashed, Instance: "i-1"})
		}, ""},
		{"cut by a kill", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Begin: 20 * sec, End: 24 * sec}}
			x := s.addAttempt(19*sec, "a", agent1, narrativePath, false)
			x.addEvents(s.addRun(x, 19*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.EndedAt = 20 * sec
		}, ""},
		{"not read before an ordered end", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Graceful: true, Begin: 20 * sec, End: 24 * sec}}
			x := s.addAttempt(20*sec, "a", agent1, narrativePath, false)
			x.EndReason, x.EndedAt = Closed, x.SentAt+20*ms
		}, ""},
		{"proper requests denied", func(s *observationBuilder) {
			for i := range 6 {
				x := s.addAttempt(20*sec, fmt.Sprint("a", i), agent1, narrativePath, false)
				x.Status, x.Complete = 400, true
			}
		}, "DENIED"},
		{"a process that ended by itself", func(s *observationBuilder) { s.UnexpectedExits = []string{"edge-1"} }, "FAULT"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newObservationBuilder()
			s.addServed(10*sec, "before", agent1, narrativePath, false, "llm-a")
			c.breaks(s)
			got := ""
			broken := Check((&recorder{Observations: s.Observations}).snapshot(), testRules())
			for _, v := range broken {
				if got != "" && got != v.Rule {
					got += " "
				}
				if got != v.Rule {
					got += v.Rule
				}
			}
			if c.name == "an id that nobody sent" { // it replaces the attempt before
				assert.Contains(t, got, c.want)
				return
			}
			assert.Equal(t, c.want, got, "%v", broken)
		})
	}
}

// addChange has a change sent and acknowledged that moves /narrative/ to a service.
func (s *observationBuilder) addChange(revision int, at time.Duration, to string) {
	d := testDocument(revision)
	d.Routes[0].Service = to
	s.Changes = append(s.Changes, &ConfigChange{BaseRevision: 3, Doc: d, Valid: true, SentAt: at - 10*ms, AckedAt: at, AckedBy: agent1})
}

func encode(d *Document) []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // impossible: plain fields
	}
	return text
}

func TestPatchKeepsOtherItems(t *testing.T) {
	d := testDocument(3)
	p := d.withPatch(&Patch{Revision: 8, Upsert: Upsert{Routes: []Route{{Name: "n", Host: hostname, Prefix: "/narrative/", Service: "llm-b"}, {Name: "new", Host: "x", Prefix: "/"}}},
		Remove: Remove{Services: []string{"llm-a"}}})
	assert.Equal(t, 8, p.Revision)
	assert.Equal(t, "llm-a", d.Routes[0].Service, "the old one stays as it is")
	assert.Equal(t, []string{"llm-b"}, p.services(hostname, "/narrative/x"))
	assert.Equal(t, "kept", p.route(hostname, "/verdict/").Comment)
	assert.NotNil(t, p.route("x", "/anything?q"))
	assert.Len(t, p.Services, 1)
}
