package stalerouting

import (
	"fmt"
	"slices"
	"time"
)

// Config configures an Uplink.
type Config struct {
	Self    string
	Members []string // the members of the site, this one included
	// IsolationTimeout is how long a member must have had no signal from outside to report the site as isolated.
	IsolationTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats, which are sent together with pings to other sites.
	HeartbeatInterval time.Duration
	// SlowStartStep is the duration of each step of the slow start of traffic to the outside.
	SlowStartStep time.Duration
	// MaxIsolation limits how long a site stays isolated after a majority last had no signal from outside. If
	// there is neither a majority without a signal nor one with a signal, other members may have failed.
	MaxIsolation time.Duration
	// WasIsolated is true if an earlier run, not long ago, was isolated. It applies until the first signal.
	WasIsolated bool
	// Seed seeds the random choices.
	Seed uint64
}

// Validate returns an error that names the first invalid key of the operations file.
func (c *Config) Validate() error {
	switch {
	case c.HeartbeatInterval < 50*time.Millisecond || c.HeartbeatInterval > 10*time.Second:
		return fmt.Errorf("beat: must be 50ms to 10s, is %v", c.HeartbeatInterval)
	case c.IsolationTimeout < 3*c.HeartbeatInterval || c.IsolationTimeout > 10*time.Minute:
		return fmt.Errorf("quiet: must be three beats (%v) to 10m, is %v", 3*c.HeartbeatInterval, c.IsolationTimeout)
	case c.SlowStartStep <= 0 || c.SlowStartStep > 10*time.Minute:
		return fmt.Errorf("step: must be above 0 and at most 10m, is %v", c.SlowStartStep)
	case c.MaxIsolation < c.IsolationTimeout || c.MaxIsolation > time.Hour:
		return fmt.Errorf("hold: must be quiet (%v) to 1h, is %v", c.IsolationTimeout, c.MaxIsolation)
	case !slices.Contains(c.Members, c.Self):
		return fmt.Errorf("site: %q, this agent, is not in it", c.Self)
	}
	return nil
}

// Defaults returns the configuration for keys that the operations file does not set.
func Defaults() Config {
	return Config{IsolationTimeout: 2 * time.Second, HeartbeatInterval: 500 * time.Millisecond,
		SlowStartStep: time.Second, MaxIsolation: 10 * time.Minute}
}

const (
	// pingsPerHeartbeat is the number of agents of other sites that are pinged with each heartbeat, and
	// idleHeartbeatFanout the number of members that a member sends its heartbeat to while it is not isolated.
	pingsPerHeartbeat, idleHeartbeatFanout = 2, 2
	// maxLinkDelay is the assumed maximum delay of a message; it is added to the age of what is received.
	maxLinkDelay = 250 * time.Millisecond
	// heartbeatsValid is the number of heartbeat intervals for which a heartbeat is valid.
	heartbeatsValid = 4
)
