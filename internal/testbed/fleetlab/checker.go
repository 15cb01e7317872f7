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
	Contact     time.Duration // an agent is in contact after this time without faults
	Drain       time.Duration // maximum time until agents stop sending requests to a draining server
	Converge    time.Duration // maximum time until agents in contact apply an acknowledged change
	RevertSlack time.Duration // time after which an agent must not act on an older revision than before
	LossSlack   time.Duration // a graceful shutdown may cut off unforwarded requests that are not older than this
	Grace       time.Duration // maximum duration of a graceful shutdown
	RetryRatio  float64       // maximum number of repeats per request within RetryWindow
	RetryWindow time.Duration
	RetrySlack  float64       // number of repeats that are allowed in addition to RetryRatio
	Slack       time.Duration // added to Drain, Converge, RevertSlack and LossSlack, for delays of a busy machine
}

// Violation is an observed violation of a rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

// String returns the violation as it is printed.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, v.At.Seconds(), v.Text)
}

// checker holds the state of one call of Check.
type checker struct {
	*Observations
	rules      Rules
	attempts   map[string]*Attempt
	runs       map[string][]*serverRun // by attempt id
	runsBySeal map[string]*serverRun
	violations []Violation
}

// serverRun is one run of a request by a server.
type serverRun struct {
	modelserver.Record               // record of the start of the run
	events             int           // number of the last event produced
	ended              time.Duration // zero if no end was observed
	complete           bool          // the last event of the stream was produced
	serverCrashed      bool          // the server crashed before the run ended
}

// Check checks observations against the guarantees of the protocol and returns the violations, ordered by time. The
// observations have to be ordered by time.
func Check(s *Observations, rules Rules) []Violation {
	c := &checker{Observations: s, rules: rules, attempts: map[string]*Attempt{}, runs: map[string][]*serverRun{}, runsBySeal: map[string]*serverRun{}}
	for _, t := range s.Attempts {
		c.attempts[t.ID] = t
	}
	c.readRecords()
	for _, t := range s.Attempts {
		c.checkResponse(t)
		c.checkExecutions(t)
		c.checkLosses(t)
	}
	c.checkDrains()
	c.checkRetryBudget()
	c.checkChanges()
	c.checkAppliedConfig()
	c.checkDenied()
	for _, e := range s.UnexpectedExits {
		c.addViolation("FAULT", 0, "%s", e)
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

func (c *checker) addViolation(rule string, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// isInContact reports whether, for Rules.Contact before a time, the agent had no fault and no fault of a core machine
// began or ended. Some guarantees hold only then.
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

// ipOf returns the IP of an address with a port.
func ipOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
