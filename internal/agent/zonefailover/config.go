package zonefailover

import (
	"fmt"
	"time"
)

// Config configures a Machine.
type Config struct {
	// MaxReportAge is the age up to which a report counts. UnhealthyFor is how long a majority must see a
	// zone unhealthy before it is ejected. EjectionTime is the duration of the first ejection.
	MaxReportAge, UnhealthyFor, EjectionTime time.Duration
	// MaxEjectionTime bounds the doubling of EjectionTime. EscalationWindow is the time after the last step of
	// a return during which a further ejection lasts twice as long as the one before. SlowStartStep is the least
	// time between two steps of a slow start.
	MaxEjectionTime, EscalationWindow, SlowStartStep time.Duration
	// MaxEjectedFraction is the fraction of the fleet's weight that may be ejected for remote agents at once.
	MaxEjectedFraction float64
	// TargetUtilization is the fraction of its weight up to which a zone is used before traffic of its site
	// goes to other zones. If it is 0, no traffic shares are decided.
	TargetUtilization float64
}

// Validate returns an error that names the first invalid key of the operations file.
func (c *Config) Validate() error {
	switch {
	case c.MaxReportAge <= 0 || c.UnhealthyFor < 0 || c.SlowStartStep <= 0 || c.EscalationWindow < 0:
		return fmt.Errorf("fresh, after, step and remember: must be above 0, are %v, %v, %v and %v",
			c.MaxReportAge, c.UnhealthyFor, c.SlowStartStep, c.EscalationWindow)
	case c.EjectionTime <= 0 || c.EjectionTime > c.MaxEjectionTime:
		return fmt.Errorf("hold: must be above 0 and at most hold_most (%v), is %v", c.MaxEjectionTime, c.EjectionTime)
	case !(c.MaxEjectedFraction > 0) || c.MaxEjectedFraction >= 1:
		return fmt.Errorf("most: must be above 0 and under 1, is %v", c.MaxEjectedFraction)
	case !(c.TargetUtilization >= 0) || c.TargetUtilization > 1:
		return fmt.Errorf("target: must be 0 to 1, is %v", c.TargetUtilization)
	}
	return nil
}

// Defaults returns the configuration for keys that the operations file does not set.
func Defaults() Config {
	return Config{MaxReportAge: 12 * time.Second, UnhealthyFor: 500 * time.Millisecond, EjectionTime: 5 * time.Second,
		MaxEjectionTime: 2 * time.Minute, EscalationWindow: 5 * time.Minute, SlowStartStep: 2 * time.Second,
		MaxEjectedFraction: 0.5, TargetUtilization: 0.75}
}
