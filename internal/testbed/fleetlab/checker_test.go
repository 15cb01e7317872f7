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

// observationBuilder is a run that is put together by hand.
type observationBuilder struct {
	Observations
	runs int
}

const (
	agent1, agent2 = "127.9.9.1", "127.9.9.2"
	doc1Path       = "/narrative/gen?n=1"
)

// newScene has a configuration in force since the start: /narrative/ to llm-a, may not be
// repeated; /verdict/ to llm-b, may be.
func newScene() *observationBuilder {
	s := &observationBuilder{}
	s.Changes = []*ConfigChange{{Doc: testDoc(3), Valid: true, SentAt: 1 * ms, AckedAt: 10 * ms, AckedBy: agent1}}
	return s
}

func testDoc(revision int) *Document {
	return &Document{Revision: revision, Routes: []Route{
		{Name: "n", Host: hostname, Prefix: "/narrative/", Kind: "streaming", Service: "llm-a", MaxAttempts: 1},
		{Name: "v", Host: hostname, Prefix: "/verdict/", Kind: "streaming", Split: []Split{{"llm-b", 1}}, MaxAttempts: 2, Resumable: true, Comment: "kept"}},
		Services: []Service{{Name: "llm-a"}, {Name: "llm-b"}}}
}

// try adds a try that took 100 ms, with no answer yet.
func (s *observationBuilder) try(at time.Duration, id, agent, target string, resumable bool) *Attempt {
	t := &Attempt{ID: id, Agent: agent, Method: "POST", Host: hostname, Target: target, Idempotent: resumable, Resumable: resumable,
		Prompt: modelserver.Prompt{Model: "m", Tokens: "100,24", Prefix: "a:100", Body: 7}, StartedAt: at, SentAt: at + ms, EndedAt: at + 100*ms, Deadline: at + 10*time.Second, Timeout: 10 * time.Second}
	s.Attempts = append(s.Attempts, t)
	return t
}

// run adds the arrival of a try at a server, and its run of events first to last.
func (s *observationBuilder) run(t *Attempt, at time.Duration, service, instance string, first, last int) string {
	s.runs++
	r := modelserver.Record{At: at, Service: service, Instance: instance, Attempt: t.ID, Method: t.Method, Host: t.Host, Target: t.Target, Body: t.Prompt.Body}
	r.Kind = modelserver.Arrived
	s.Records = append(s.Records, r)
	r.Kind, r.Seal, r.First = modelserver.Started, fmt.Sprintf("seal%d", s.runs), first
	s.Records = append(s.Records, r)
	r.Kind, r.At, r.Pieces, r.Whole = modelserver.Ended, at+90*ms, last, last == t.Prompt.Pieces(4)
	s.Records = append(s.Records, r)
	return r.Seal
}

// answered gives a try the events of a run.
func (t *Attempt) answered(seal string, first, last int) {
	t.Status, t.AttemptHeader = 200, t.ID
	if t.Seal == "" {
		t.Seal = seal
	}
	pieces := t.Prompt.Pieces(4)
	for n := first; n <= last; n++ {
		t.Events = append(t.Events, ReceivedEvent{modelserver.Event{N: n, Text: t.Prompt.Text(n), Seal: seal, Last: n == pieces}, t.StartedAt + time.Duration(n)*10*ms})
	}
	t.Complete = last == pieces
	if !t.Complete {
		t.EndReason = Closed
	}
}

// serve is a try that is served whole.
func (s *observationBuilder) serve(at time.Duration, id, agent, target string, resumable bool, service string) *Attempt {
	t := s.try(at, id, agent, target, resumable)
	last := t.Prompt.Pieces(4)
	t.answered(s.run(t, at+5*ms, service, "i-"+service, 1, last), 1, last)
	return t
}

const sec = time.Second

// Every way in which a rule can be broken is found, and what is right is left alone.
func TestCheckFindsViolations(t *testing.T) {
	pieces := (&observationBuilder{}).try(0, "x", agent1, doc1Path, false).Prompt.Pieces(4)
	require.Greater(t, pieces, 2)
	for _, c := range []struct {
		name   string
		breaks func(s *observationBuilder)
		want   string // the rule; "": none
	}{
		{"all is well", func(s *observationBuilder) {}, ""},
		{"run by two servers", func(s *observationBuilder) {
			x := s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a")
			s.run(x, 20*sec+20*ms, "llm-a", "i-other", 1, 1)
		}, "TWICE"},
		{"a repeat of what may be repeated", func(s *observationBuilder) {
			x := s.serve(20*sec, "a", agent1, "/verdict/gen", true, "llm-b")
			s.run(x, 20*sec+20*ms, "llm-b", "i-other", 1, 1)
		}, ""},
		{"refused, and it ran", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Status, x.Complete = 503, true
		}, "REFUSED"},
		{"refused, and it runs later", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			x.Status, x.Complete = 429, true
			s.run(x, 25*sec, "llm-a", "i-1", 1, 1)
		}, "REFUSED"},
		{"refused, and turned away by a server", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			x.Status, x.Complete = 503, true
			s.Records = append(s.Records, modelserver.Record{At: 20*sec + 5*ms, Kind: modelserver.Arrived, Service: "llm-a", Attempt: "a"}, modelserver.Record{At: 20*sec + 6*ms, Kind: modelserver.TurnedAway, Status: 503, Attempt: "a"})
		}, ""},
		{"failed after it ran", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Status, x.Complete = 502, true
		}, ""},
		{"a success without a seal", func(s *observationBuilder) { s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a").Seal = "" }, "MIXED"},
		{"a seal that no server made", func(s *observationBuilder) { s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a").Seal = "made-up" }, "MIXED"},
		{"the answer of another request", func(s *observationBuilder) {
			x := s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a")
			y := s.serve(20*sec, "b", agent1, doc1Path, false, "llm-a")
			x.Seal, x.Events = y.Seal, y.Events
		}, "MIXED"},
		{"the echo of another request", func(s *observationBuilder) {
			s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a").AttemptHeader = "b"
		}, "MIXED"},
		{"other words", func(s *observationBuilder) {
			s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a").Events[1].Text = "ff"
		}, "MIXED"},
		{"an encoding", func(s *observationBuilder) { s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a").Encoded = true }, "MIXED"},
		{"bytes after the answer", func(s *observationBuilder) { s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a").ExtraBytes = true }, "MIXED"},
		{"no answer in the protocol", func(s *observationBuilder) {
			x := s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a")
			x.ProtocolError, x.EndReason, x.Complete, x.Status = "HTTP/9", Malformed, false, 0
		}, "MIXED"},
		{"half an event of a server that crashed", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			x.answered(s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.ProtocolError, x.EndReason = "half an event", Malformed
			s.Records = append(s.Records, modelserver.Record{At: 20*sec + 95*ms, Kind: modelserver.Crashed, Instance: "i-1"})
		}, ""},
		{"an event missing", func(s *observationBuilder) {
			x := s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a")
			x.Events = append(x.Events[:1:1], x.Events[2:]...)
		}, "ORDER"},
		{"an event twice", func(s *observationBuilder) {
			x := s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a")
			x.Events = append(x.Events[:1:1], x.Events...)
		}, "ORDER"},
		{"complete before its end", func(s *observationBuilder) {
			x := s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a")
			x.Events = x.Events[:2]
		}, "ORDER"},
		{"complete with nothing in it", func(s *observationBuilder) {
			s.serve(20*sec, "a", agent1, doc1Path, false, "llm-a").Events = nil
		}, "ORDER"},
		{"cut before its end, and it shows", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			x.answered(s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
		}, ""},
		{"two runs joined that may not be", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			x.answered(s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.answered(s.run(x, 20*sec+50*ms, "llm-a", "i-2", 3, pieces), 3, pieces)
		}, "ORDER TWICE"},
		{"a stream taken up that may be", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, "/verdict/gen", true)
			x.answered(s.run(x, 20*sec+5*ms, "llm-b", "i-1", 1, 2), 1, 2)
			x.answered(s.run(x, 20*sec+50*ms, "llm-b", "i-2", 3, pieces), 3, pieces)
			x.EndReason = Completed
		}, ""},
		{"a stream taken up with events of a run from the start", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, "/verdict/gen", true)
			x.answered(s.run(x, 20*sec+5*ms, "llm-b", "i-1", 1, 2), 1, 2)
			x.answered(s.run(x, 20*sec+50*ms, "llm-b", "i-2", 1, pieces), 3, pieces)
		}, "ORDER"},
		{"a client's own resumption", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, "/verdict/gen", true)
			x.AfterEvent = 2
			x.answered(s.run(x, 20*sec+5*ms, "llm-b", "i-1", 3, pieces), 3, pieces)
		}, ""},
		{"a client's own resumption from the start", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, "/verdict/gen", true)
			x.AfterEvent = 2
			x.answered(s.run(x, 20*sec+5*ms, "llm-b", "i-1", 1, pieces), 1, pieces)
		}, "ORDER"},
		{"an id that nobody sent", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			s.Attempts = nil
		}, "UNASKED"},
		{"another path", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Target = "/narrative/gen?n=2"
		}, "UNASKED"},
		{"another body", func(s *observationBuilder) {
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			s.run(x, 20*sec+5*ms, "llm-a", "i-1", 1, 1)
			x.Prompt.Body = 8
		}, "UNASKED"},
		{"a request without an id", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Unrunnable, Method: "GET"})
		}, "UNASKED"},
		{"another service", func(s *observationBuilder) { s.serve(20*sec, "a", agent1, doc1Path, false, "llm-b") }, "ROUTE"},
		{"sent to a server that drains, too late", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Draining, Instance: "i-llm-a", Agent: agent2 + ":8262"})
			s.serve(22*sec+100*ms, "a", agent1, doc1Path, false, "llm-a")
		}, "DRAIN"},
		{"sent to a server that drains, in time", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Draining, Instance: "i-llm-a", Agent: agent2 + ":8262"})
			s.serve(21*sec, "a", agent1, doc1Path, false, "llm-a")
		}, ""},
		{"sent to a server that drains, where its acknowledgement was by an agent in trouble", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent2, Begin: 18 * sec, End: 19 * sec}}
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Draining, Instance: "i-llm-a", Agent: agent2 + ":8262"})
			s.serve(23*sec, "a", agent1, doc1Path, false, "llm-a")
		}, ""},
		{"sent to a server that is gone", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Gone, Instance: "i-1", Agent: agent2 + ":8262"},
				modelserver.Record{At: 23 * sec, Kind: modelserver.Arrived, Service: "llm-a", Instance: "i-1", Attempt: "a"})
			s.try(23*sec-5*ms, "a", agent1, doc1Path, false)
		}, "DRAIN"},
		{"sent to a server that is gone, and answered 421 there", func(s *observationBuilder) {
			s.Records = append(s.Records, modelserver.Record{At: 20 * sec, Kind: modelserver.Gone, Instance: "i-1", Agent: agent2 + ":8262"},
				modelserver.Record{At: 23 * sec, Kind: modelserver.Arrived, Service: "llm-a", Instance: "i-1", Attempt: "a"},
				modelserver.Record{At: 23 * sec, Kind: modelserver.TurnedAway, Status: 421, Service: "llm-a", Instance: "i-1", Attempt: "a"})
			s.try(23*sec-5*ms, "a", agent1, doc1Path, false)
		}, ""},
		{"more repeats than the budget has", func(s *observationBuilder) {
			for i := range 10 { // 2 + 0.2 * 10 = 4 are allowed
				x := s.serve(20*sec+time.Duration(i)*100*ms, fmt.Sprint("a", i), agent1, "/verdict/gen", true, "llm-b")
				if i >= 5 {
					s.run(x, x.StartedAt+20*ms, "llm-b", "i-2", 1, 1)
				}
			}
		}, "BUDGET"},
		{"as many repeats as the budget has", func(s *observationBuilder) {
			for i := range 10 {
				x := s.serve(20*sec+time.Duration(i)*100*ms, fmt.Sprint("a", i), agent1, "/verdict/gen", true, "llm-b")
				if i >= 6 {
					s.run(x, x.StartedAt+20*ms, "llm-b", "i-2", 1, 1)
				}
			}
		}, ""},
		{"a repeat of each of few requests", func(s *observationBuilder) {
			for i := range 10 {
				x := s.serve(20*sec+time.Duration(i)*4*sec, fmt.Sprint("a", i), agent1, "/verdict/gen", true, "llm-b")
				s.run(x, x.StartedAt+20*ms, "llm-b", "i-2", 1, 1)
			}
		}, "BUDGET"},
		{"an old configuration, too long after a new one was acknowledged", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.serve(22*sec+200*ms, "a", agent1, doc1Path, false, "llm-a")
		}, "CONFIG"},
		{"an old configuration, soon after", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.serve(21*sec, "a", agent1, doc1Path, false, "llm-a")
		}, ""},
		{"an old configuration at an agent in trouble", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Faults = []Fault{{Agent: agent1, Begin: 20 * sec, End: 20 * sec}}
			s.serve(22*sec+200*ms, "a", agent1, doc1Path, false, "llm-a")
		}, ""},
		{"an old configuration while the core is in trouble", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Faults = []Fault{{Agent: agent2, Core: true, Begin: 20 * sec, Active: true}}
			s.serve(22*sec+200*ms, "a", agent1, doc1Path, false, "llm-a")
		}, ""},
		{"an old configuration long after a core machine went", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Faults = []Fault{{Agent: agent2, Core: true, Begin: 20 * sec, Active: true}}
			s.serve(24*sec, "a", agent1, doc1Path, false, "llm-a")
		}, "CONFIG"},
		{"a route that is new is not there", func(s *observationBuilder) {
			d := testDoc(5)
			d.Routes = append(d.Routes, Route{Name: "new", Host: hostname, Prefix: "/new/", Service: "llm-a"})
			s.Changes = append(s.Changes, &ConfigChange{BaseRevision: 3, Doc: d, Valid: true, SentAt: 20*sec - 10*ms, AckedAt: 20 * sec, AckedBy: agent1})
			x := s.try(23*sec, "a", agent1, "/new/x", false)
			x.Status, x.Complete = 404, true
		}, "CONFIG"},
		{"a route that never was is not there", func(s *observationBuilder) {
			x := s.try(23*sec, "a", agent1, "/never/x", false)
			x.Status, x.Complete = 404, true
		}, ""},
		{"back to an old configuration", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.serve(20*sec+100*ms, "a", agent1, doc1Path, false, "llm-b")
			s.serve(20*sec+600*ms, "b", agent1, doc1Path, false, "llm-a")
		}, "CONFIG"},
		{"another agent has the old configuration still", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.serve(20*sec+100*ms, "a", agent1, doc1Path, false, "llm-b")
			s.serve(20*sec+600*ms, "b", agent2, doc1Path, false, "llm-a")
		}, ""},
		{"back to an old configuration in a new life", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.serve(20*sec+100*ms, "a", agent1, doc1Path, false, "llm-b")
			s.Faults = []Fault{{Agent: agent1, ProcessStart: true, Begin: 20*sec + 500*ms, End: 20*sec + 500*ms}}
			s.serve(20*sec+600*ms, "b", agent1, doc1Path, false, "llm-a")
		}, ""},
		{"a refused configuration in force", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt, s.Changes[1].RejectStatus = 0, 412
			s.serve(21*sec, "a", agent1, doc1Path, false, "llm-b")
		}, "CONFIG"},
		{"a configuration without a clear answer in force", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt = 0
			s.serve(21*sec, "a", agent1, doc1Path, false, "llm-b")
		}, ""},
		{"an invalid configuration acknowledged", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Changes[1].Valid = false
		}, "CONFIG"},
		{"two acknowledged on one version", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.change(6, 20*sec, "llm-a")
		}, "CONFIG"},
		{"read back as sent, in another order", func(s *observationBuilder) {
			d := testDoc(3)
			d.Routes[0], d.Routes[1] = d.Routes[1], d.Routes[0]
			s.ReadBack = encode(d)
		}, ""},
		{"read back older", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.ReadBack = encode(testDoc(3))
		}, "CONFIG"},
		{"read back without a field that nobody knows", func(s *observationBuilder) {
			d := testDoc(3)
			d.Routes[1].Comment = ""
			s.ReadBack = encode(d)
		}, "CONFIG"},
		{"read back a change without a clear answer", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt = 0
			s.ReadBack = encode(s.Changes[1].Doc)
		}, ""},
		{"read back a refused one", func(s *observationBuilder) {
			s.change(5, 20*sec, "llm-b")
			s.Changes[1].AckedAt, s.Changes[1].RejectStatus = 0, 412
			s.ReadBack = encode(s.Changes[1].Doc)
		}, "CONFIG"},
		{"not read back", func(s *observationBuilder) { s.ReadErr = assert.AnError }, "CONFIG"},
		{"cut around an ordered end", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Graceful: true, Begin: 20 * sec, End: 24 * sec}}
			x := s.try(19*sec, "a", agent1, doc1Path, false)
			x.answered(s.run(x, 19*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.EndedAt = 21 * sec
		}, "LOST"},
		{"cut around an ordered end by the server", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Graceful: true, Begin: 20 * sec, End: 24 * sec}}
			x := s.try(19*sec, "a", agent1, doc1Path, false)
			x.answered(s.run(x, 19*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.EndedAt = 21 * sec
			s.Records = append(s.Records, modelserver.Record{At: 19*sec + 95*ms, Kind: modelserver.Crashed, Instance: "i-1"})
		}, ""},
		{"cut by a kill", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Begin: 20 * sec, End: 24 * sec}}
			x := s.try(19*sec, "a", agent1, doc1Path, false)
			x.answered(s.run(x, 19*sec+5*ms, "llm-a", "i-1", 1, 2), 1, 2)
			x.EndedAt = 20 * sec
		}, ""},
		{"not read before an ordered end", func(s *observationBuilder) {
			s.Faults = []Fault{{Agent: agent1, Graceful: true, Begin: 20 * sec, End: 24 * sec}}
			x := s.try(20*sec, "a", agent1, doc1Path, false)
			x.EndReason, x.EndedAt = Closed, x.SentAt+20*ms
		}, ""},
		{"proper requests denied", func(s *observationBuilder) {
			for i := range 6 {
				x := s.try(20*sec, fmt.Sprint("a", i), agent1, doc1Path, false)
				x.Status, x.Complete = 400, true
			}
		}, "DENIED"},
		{"a process that ended by itself", func(s *observationBuilder) { s.UnexpectedExits = []string{"edge-1"} }, "FAULT"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			s.serve(10*sec, "before", agent1, doc1Path, false, "llm-a")
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
			if c.name == "an id that nobody sent" { // the try before it is gone, too
				assert.Contains(t, got, c.want)
				return
			}
			assert.Equal(t, c.want, got, "%v", broken)
		})
	}
}

// change has a change sent and acknowledged that moves /narrative/ to a service.
func (s *observationBuilder) change(revision int, at time.Duration, to string) {
	d := testDoc(revision)
	d.Routes[0].Service = to
	s.Changes = append(s.Changes, &ConfigChange{BaseRevision: 3, Doc: d, Valid: true, SentAt: at - 10*ms, AckedAt: at, AckedBy: agent1})
}

func encode(d *Document) []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // it has no type that cannot be written
	}
	return text
}

func TestPatchKeepsOtherItems(t *testing.T) {
	d := testDoc(3)
	p := d.withPatch(&Patch{Revision: 8, Upsert: Upsert{Routes: []Route{{Name: "n", Host: hostname, Prefix: "/narrative/", Service: "llm-b"}, {Name: "new", Host: "x", Prefix: "/"}}},
		Remove: Remove{Services: []string{"llm-a"}}})
	assert.Equal(t, 8, p.Revision)
	assert.Equal(t, "llm-a", d.Routes[0].Service, "the old one stays as it is")
	assert.Equal(t, []string{"llm-b"}, p.services(hostname, "/narrative/x"))
	assert.Equal(t, "kept", p.route(hostname, "/verdict/").Comment)
	assert.NotNil(t, p.route("x", "/anything?q"))
	assert.Len(t, p.Services, 1)
}
