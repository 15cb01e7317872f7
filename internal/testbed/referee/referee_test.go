package referee

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var rules = Rules{AnswerSlack: 20 * ms, DrainGrace: 2 * time.Second, KeyWindow: 4 * time.Second, Slack: 50 * ms}

func asked(id string, e Effect) Event {
	return Event{At: 100 * ms, Kind: Asked, Agent: "n1", Request: id, Effect: e, Deadline: 1100 * ms}
}

func at(t time.Duration, k Kind, id string) Event {
	return Event{At: t, Kind: k, Agent: "n1", Server: "s1", Request: id}
}

// droppedUnwritten returns the drop of a request whose connection ended before anything was written to it.
func droppedUnwritten(connected, ended time.Duration) Event {
	return Event{At: ended, Kind: Dropped, Agent: "n1", Request: "a", ConnectedAt: connected}
}

func answer(t time.Duration, id string, status int) Event {
	return Event{At: t, Kind: Answered, Agent: "n1", Request: id, Status: status, Valid: true}
}

func ran(t time.Duration, id string, e Effect, key string) Event {
	return Event{At: t, Kind: Ran, Server: "s1", Request: id, Effect: e, Key: key}
}

func notified(t time.Duration, state string) Event {
	return Event{At: t, Kind: Notified, Agent: "n1", Server: "s1", State: state}
}

// Checks each rule with a trace that breaks it, and with a similar one that just keeps it.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name string
		rule int // the rule that is broken; 0 for none
		text string
		seen []Event
	}{
		{"served", 0, "", []Event{asked("a", NonIdempotent), at(110*ms, Attempted, "a"), at(111*ms, Arrived, "a"), ran(112*ms, "a", NonIdempotent, ""), at(150*ms, Ended, "a"), answer(151*ms, "a", 200)}},
		{"answered within the slack", 0, "", []Event{asked("a", NonIdempotent), answer(1169*ms, "a", 504)}},
		{"answered late", 1, "after the deadline", []Event{asked("a", NonIdempotent), answer(1171*ms, "a", 504)}},
		{"answered twice", 1, "more than one", []Event{asked("a", NonIdempotent), answer(200*ms, "a", 503), answer(300*ms, "a", 200)}},
		{"never answered", 1, "no final answer", []Event{asked("a", NonIdempotent)}},
		{"answered by no report server", 1, "no report server made", []Event{asked("a", Idempotent), {At: 200 * ms, Kind: Answered, Request: "a", Status: 200}}},
		{"dropped", 1, "closed with no answer", []Event{asked("a", NonIdempotent), at(200*ms, Dropped, "a")}},
		{"dropped by a killed agent", 0, "", []Event{asked("a", NonIdempotent), {At: 150 * ms, Kind: Killed, Agent: "n1", Deadline: 180 * ms}, at(200*ms, Dropped, "a")}},
		{"dropped while another agent was down", 1, "closed with no answer", []Event{asked("a", NonIdempotent), {At: 150 * ms, Kind: Killed, Agent: "n2", Deadline: 180 * ms}, at(200*ms, Dropped, "a")}},
		{"dropped before its agent was killed", 1, "closed with no answer", []Event{asked("a", NonIdempotent), at(140*ms, Dropped, "a"), {At: 150 * ms, Kind: Killed, Agent: "n1", Deadline: 180 * ms}}},
		{"asked after its agent was up again", 1, "closed with no answer", []Event{{At: 50 * ms, Kind: Killed, Agent: "n1", Deadline: 99 * ms}, asked("a", NonIdempotent), at(140*ms, Dropped, "a")}},
		{"dropped by a killed agent with nothing written", 0, "", []Event{{At: 150 * ms, Kind: Killed, Agent: "n1", Deadline: 180 * ms}, droppedUnwritten(140*ms, 160*ms)}},
		{"the same while another agent was down", 1, "closed with no answer", []Event{{At: 150 * ms, Kind: Killed, Agent: "n2", Deadline: 180 * ms}, droppedUnwritten(140*ms, 160*ms)}},
		{"the same before its agent was killed", 1, "closed with no answer", []Event{droppedUnwritten(130*ms, 149*ms), {At: 150 * ms, Kind: Killed, Agent: "n1", Deadline: 180 * ms}}},
		{"the same after its agent was up again", 1, "closed with no answer", []Event{{At: 150 * ms, Kind: Killed, Agent: "n1", Deadline: 180 * ms}, droppedUnwritten(181*ms, 200*ms)}},
		{"dropped with no connection known", 1, "closed with no answer", []Event{{At: 150 * ms, Kind: Killed, Agent: "n1", Deadline: 180 * ms}, droppedUnwritten(0, 200*ms)}},
		{"answered late by an agent that was paused", 0, "", []Event{asked("a", NonIdempotent), {At: 150 * ms, Kind: Killed, Agent: "n1", Deadline: 5000 * ms}, answer(5001*ms, "a", 504)}},
		{"client left", 0, "", []Event{asked("a", NonIdempotent), at(200*ms, Left, "a")}},
		{"repeat of an idempotent request", 0, "", []Event{asked("a", Idempotent), at(110*ms, Arrived, "a"), ran(111*ms, "a", Idempotent, ""), at(130*ms, Ended, "a"), at(140*ms, Arrived, "a"), ran(141*ms, "a", Idempotent, ""), answer(200*ms, "a", 200)}},
		{"ran twice", 2, "ran twice", []Event{asked("a", NonIdempotent), at(110*ms, Arrived, "a"), ran(111*ms, "a", NonIdempotent, ""), at(130*ms, Ended, "a"), at(140*ms, Arrived, "a"), ran(141*ms, "a", NonIdempotent, ""), answer(200*ms, "a", 200)}},
		{"refused although it ran", 2, "refused although", []Event{asked("a", NonIdempotent), at(110*ms, Arrived, "a"), ran(111*ms, "a", NonIdempotent, ""), at(130*ms, Ended, "a"), answer(200*ms, "a", 503)}},
		{"refused before it arrived", 0, "", []Event{asked("a", NonIdempotent), at(110*ms, Attempted, "a"), answer(200*ms, "a", 503)}},
		{"two copies at once", 2, "second attempt", []Event{asked("a", Idempotent), at(110*ms, Arrived, "a"), at(120*ms, Arrived, "a"), answer(200*ms, "a", 200)}},
		{"key within its window", 0, "", []Event{asked("a", Deduplicated), ran(200*ms, "a", Deduplicated, "k"), ran(4200*ms, "a", Deduplicated, "k"), answer(900*ms, "a", 200)}},
		{"key past its window", 2, "past the window", []Event{asked("a", Deduplicated), ran(200*ms, "a", Deduplicated, "k"), ran(4300*ms, "a", Deduplicated, "k"), answer(900*ms, "a", 200)}},
		{"sent within the grace", 0, "", []Event{notified(50*ms, "draining"), asked("a", NonIdempotent), at(2100*ms, Attempted, "a"), answer(900*ms, "a", 200)}},
		{"sent after the grace", 3, "knew as draining", []Event{notified(50*ms, "draining"), asked("a", NonIdempotent), at(2101*ms, Attempted, "a"), answer(900*ms, "a", 200)}},
		{"sent within the grace and delayed on its way", 0, "", []Event{notified(50*ms, "draining"), asked("a", NonIdempotent), {At: 9000 * ms, Kind: Attempted, Agent: "n1", Server: "s1", Request: "a", SentAt: 2100 * ms}, answer(900*ms, "a", 200)}},
		{"sent after the grace and delayed on its way", 3, "knew as draining", []Event{notified(50*ms, "draining"), asked("a", NonIdempotent), {At: 9000 * ms, Kind: Attempted, Agent: "n1", Server: "s1", Request: "a", SentAt: 2200 * ms}, answer(900*ms, "a", 200)}},
		{"notified twice counts from the first", 3, "knew as draining", []Event{notified(50*ms, "draining"), notified(1000*ms, "removed"), asked("a", NonIdempotent), at(2101*ms, Attempted, "a"), answer(900*ms, "a", 200)}},
		{"up again", 0, "", []Event{notified(50*ms, "draining"), notified(1000*ms, "up"), asked("a", NonIdempotent), at(2101*ms, Attempted, "a"), answer(900*ms, "a", 200)}},
		{"another agent was notified", 0, "", []Event{{At: 50 * ms, Kind: Notified, Agent: "n2", Server: "s1", State: "draining"}, asked("a", NonIdempotent), at(2101*ms, Attempted, "a"), answer(900*ms, "a", 200)}},
		{"toppled", 4, "toppled", []Event{{At: 50 * ms, Kind: Toppled, Server: "s1"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := Check(c.seen, rules, time.Minute)
			if c.rule == 0 {
				if len(broken) > 0 {
					t.Errorf("%v", broken)
				}
				return
			}
			if len(broken) != 1 || broken[0].Rule != c.rule || !strings.Contains(broken[0].Text, c.text) || len(broken[0].Events) == 0 {
				t.Errorf("%v, want rule %d: %s", broken, c.rule, c.text)
			}
		})
	}
}

// A request whose deadline is after the end of the run is not a violation.
func TestUnansweredAtEndOfRunIsNoViolation(t *testing.T) {
	if broken := Check([]Event{asked("a", NonIdempotent)}, rules, time.Second); len(broken) > 0 {
		t.Error(broken)
	}
}

// One request in 200 may be dropped before it has an attempt, and none after that.
func TestDroppedWithoutAttempt(t *testing.T) {
	var seen []Event
	for i := range 400 {
		id := strconv.Itoa(i)
		seen = append(seen, asked(id, NonIdempotent))
		if i > 2 {
			seen = append(seen, answer(200*ms, id, 200))
		}
	}
	two := append(slices.Clone(seen), at(300*ms, Dropped, "0"), at(300*ms, Dropped, "1"), answer(300*ms, "2", 200))
	if broken := Check(two, rules, time.Minute); len(broken) > 0 {
		t.Errorf("two of 400: %v", broken)
	}
	three := append(slices.Clone(seen), at(300*ms, Dropped, "0"), at(300*ms, Dropped, "1"), at(300*ms, Dropped, "2"))
	if broken := Check(three, rules, time.Minute); len(broken) != 3 {
		t.Errorf("three of 400: %v", broken)
	}
	attempted := append(slices.Clone(seen), at(250*ms, Attempted, "0"), at(300*ms, Dropped, "0"), answer(300*ms, "1", 200), answer(300*ms, "2", 200))
	if broken := Check(attempted, rules, time.Minute); len(broken) != 1 {
		t.Errorf("one that had an attempt: %v", broken)
	}
}

func TestLogOrdersByTime(t *testing.T) {
	l := NewLog()
	l.Add(Event{At: time.Hour, Kind: Answered})
	l.Add(Event{Kind: Asked})
	if e := l.Events(); len(e) != 2 || e[0].Kind != Asked || e[0].At <= 0 || e[1].Kind != Answered {
		t.Errorf("%v", e)
	}
}
