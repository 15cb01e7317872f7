package fleetlab

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Rules are the figures by which a run is judged.
type Rules struct {
	Stride      int           // tokens to an event
	Contact     time.Duration // calm for so long is in touch
	Drain       time.Duration
	Converge    time.Duration
	RevertSlack time.Duration
	LossSlack   time.Duration
	Grace       time.Duration
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	Slack       time.Duration // that sockets and a busy machine add to each of these times
}

// Violation is a broken rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, v.At.Seconds(), v.Text)
}

// checker holds what Check finds out.
type checker struct {
	*Observations
	rules      Rules
	attempts   map[string]*Attempt
	runs       map[string][]*serverRun // by attempt
	runsBySeal map[string]*serverRun
	violations []Violation
}

// serverRun is one run of a request by a server.
type serverRun struct {
	modelserver.Record               // of its start
	events             int           // events made
	ended              time.Duration // 0: not seen
	complete           bool
	serverCrashed      bool // its server broke it off
}

// Check judges what was seen. The lists have to be in the order of time.
func Check(s *Observations, rules Rules) []Violation {
	j := &checker{Observations: s, rules: rules, attempts: map[string]*Attempt{}, runs: map[string][]*serverRun{}, runsBySeal: map[string]*serverRun{}}
	for _, t := range s.Attempts {
		j.attempts[t.ID] = t
	}
	j.readRecords()
	for _, t := range s.Attempts {
		j.checkResponse(t)
		j.checkExecutions(t)
		j.checkLosses(t)
	}
	j.checkDrains()
	j.checkRetryBudget()
	j.checkChanges()
	j.checkAppliedConfig()
	j.checkDenied()
	for _, e := range s.UnexpectedExits {
		j.addViolation("FAULT", 0, "%s", e)
	}
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.violations
}

func (c *checker) addViolation(rule string, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// isInContact tells whether an agent was calm, and the core stable, for long enough before a time.
func (c *checker) isInContact(agent string, at time.Duration) bool {
	for _, attempt := range c.Faults {
		near := func(run time.Duration) bool { return run <= at && run+c.rules.Contact > at }
		own := attempt.Agent == agent && attempt.Begin <= at && (attempt.Active || attempt.End+c.rules.Contact > at)
		core := attempt.Core && (near(attempt.Begin) || !attempt.Active && near(attempt.End))
		if own || core {
			return false
		}
	}
	return true
}

func ipOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
