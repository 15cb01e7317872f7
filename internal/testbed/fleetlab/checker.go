package fleetlab

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Rules are the parameters of the checks.
type Rules struct {
	Stride      int           // tokens per event
	Contact     time.Duration // an agent without faults for this long is in contact
	Drain       time.Duration
	Converge    time.Duration
	RevertSlack time.Duration
	LossSlack   time.Duration
	Grace       time.Duration
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	Slack       time.Duration // added to each of these durations, for sockets and a busy machine
}

// Violation is a violated rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

// String is the violation as it is printed.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, v.At.Seconds(), v.Text)
}

// checker is the state of a Check.
type checker struct {
	*Observations
	rules      Rules
	attempts   map[string]*Attempt
	runs       map[string][]*serverRun // by the id of the attempt
	runsBySeal map[string]*serverRun
	violations []Violation
}

// serverRun is one run of a request by a server.
type serverRun struct {
	modelserver.Record               // of its start
	events             int           // events produced
	ended              time.Duration // 0: not observed
	complete           bool
	serverCrashed      bool // its server crashed before the end
}

// Check checks observations against the guarantees of the protocol and returns the violations, ordered by time. The
// observations have to be ordered by time, too.
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

// isInContact tells whether an agent had no fault, and the core no change of faults, for Rules.Contact before a time.
// Some guarantees hold only then.
func (c *checker) isInContact(agent string, at time.Duration) bool {
	for _, fault := range c.Faults {
		near := func(changed time.Duration) bool { return changed <= at && changed+c.rules.Contact > at }
		own := fault.Agent == agent && fault.Begin <= at && (fault.Active || fault.End+c.rules.Contact > at)
		core := fault.Core && (near(fault.Begin) || !fault.Active && near(fault.End))
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
