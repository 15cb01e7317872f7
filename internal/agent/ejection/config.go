package ejection

import (
	"fmt"
	"slices"
	"time"
)

// Electorate is the set of agents of a site that vote. Votes of different electorates are never
// counted together.
type Electorate struct {
	Number  uint64
	Members []string
}

// Quorum returns the size of a strict majority.
func (e *Electorate) Quorum() int { return len(e.Members)/2 + 1 }

// MaxPromise returns the longest time that a promise may stand, clock drift included.
func (c *Config) MaxPromise() time.Duration {
	return time.Duration(float64(c.MaxLease) * (1 + 2*clockDrift))
}

// Config configures a Voter.
type Config struct {
	Self        string
	Incarnation uint64 // identifies this run of the process; unique among all runs
	Electorate  Electorate
	// MaxEjectedFraction is the fraction of a zone's weight that may be ejected at once, at most 0.5.
	// It is also called the cap.
	MaxEjectedFraction float64
	// Lease is how long the first ejection of a host lasts. Each further one within EscalationWindow
	// lasts twice as long as the one before, up to MaxLease.
	Lease, MaxLease, EscalationWindow time.Duration
	// MaxEvidenceAge is the maximum age of the evidence for a vote.
	MaxEvidenceAge time.Duration
	// SlowStartStep is the duration of each step of the slow start of a returning host.
	SlowStartStep time.Duration
	// TrialInterval is the time between two trial requests to an ejected host.
	TrialInterval time.Duration
	// EarlierPromisesFor is how long after its start the voter abstains because promises of earlier runs
	// may still stand. A negative value means that this is unknown: the voter abstains for MaxPromise.
	EarlierPromisesFor time.Duration
	// PersistsPromises is true if the caller stores the time until which promises may stand; see
	// PromisesPersisted.
	PersistsPromises bool
}

// Validate returns an error that names the first invalid key of the operations file.
func (c *Config) Validate() error {
	switch {
	case !(c.MaxEjectedFraction > 0) || c.MaxEjectedFraction > 0.5:
		return fmt.Errorf("cap: must be above 0 and at most 0.5, is %v", c.MaxEjectedFraction)
	case c.Lease < 100*time.Millisecond || c.Lease > c.MaxLease:
		return fmt.Errorf("lease: must be 100ms to longest (%v), is %v", c.MaxLease, c.Lease)
	case c.MaxLease > maxLease/2:
		return fmt.Errorf("longest: must be at most %v, is %v", maxLease/2, c.MaxLease)
	case c.MaxEvidenceAge < 100*time.Millisecond || c.MaxEvidenceAge > c.MaxLease:
		return fmt.Errorf("age: must be 100ms to longest (%v), is %v", c.MaxLease, c.MaxEvidenceAge)
	case c.EscalationWindow < 0 || c.SlowStartStep <= 0 || c.TrialInterval <= 0:
		return fmt.Errorf("remember, step and trial: must be above 0, are %v, %v and %v", c.EscalationWindow,
			c.SlowStartStep, c.TrialInterval)
	case len(c.Electorate.Members) == 0:
		return fmt.Errorf("electorate: it has no members")
	}
	for i, m := range c.Electorate.Members {
		if m == "" || len(m) > maxName || slices.Contains(c.Electorate.Members[:i], m) {
			return fmt.Errorf("electorate: %q is not a valid name, or is listed twice", m)
		}
	}
	return nil
}

// Defaults returns the configuration for keys that the operations file does not set.
func Defaults() Config {
	return Config{MaxEjectedFraction: 0.4, Lease: 8 * time.Second, MaxLease: time.Minute,
		EscalationWindow: 2 * time.Minute, MaxEvidenceAge: 10 * time.Second, SlowStartStep: time.Second,
		TrialInterval: time.Second, EarlierPromisesFor: -1}
}
