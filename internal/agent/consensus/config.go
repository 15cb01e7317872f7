package consensus

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// Voter is a member of the consensus group.
type Voter struct{ Name, Addr string }

// ParseVoter parses "name=address:port".
func ParseVoter(text string) (Voter, error) {
	name, addr, ok := strings.Cut(text, "=")
	host, port, err := net.SplitHostPort(addr)
	if !ok || name == "" || err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		return Voter{}, fmt.Errorf("%q is not NAME=ADDRESS:PORT", text)
	}
	return Voter{name, addr}, nil
}

// Config configures a Participant.
type Config struct {
	Self   string // name of this agent
	Voters []Voter
	Bind   string // address:port to listen on and to dial from
	Dir    string // directory of the log and snapshots, used by this voter only
	Zones  zonefailover.Config
	// Heartbeat is how long a follower waits for a message from its leader before it starts an election.
	Heartbeat time.Duration
}

// Validate returns an error that names the first invalid key of the operations file.
func (c *Config) Validate() error {
	if n := len(c.Voters); n != 3 && n != 5 {
		return fmt.Errorf("voters: must be three or five, are %d", n)
	}
	for i, v := range c.Voters {
		if slices.ContainsFunc(c.Voters[:i], func(o Voter) bool { return o.Name == v.Name || o.Addr == v.Addr }) {
			return fmt.Errorf("voters: %s=%s repeats a name or address", v.Name, v.Addr)
		}
	}
	if c.Heartbeat < 100*time.Millisecond || c.Heartbeat > time.Minute {
		return fmt.Errorf("heartbeat: must be 100ms to 1m, is %v", c.Heartbeat)
	}
	if err := c.Zones.Validate(); err != nil {
		return err
	}
	if !c.IsVoter() {
		return nil
	}
	if c.Dir == "" {
		return errors.New("dir: a voter needs a directory")
	}
	if _, err := net.ResolveTCPAddr("tcp", c.Bind); err != nil || c.Bind == "" {
		return fmt.Errorf("bind: %q is not ADDRESS:PORT", c.Bind)
	}
	return nil
}

// IsVoter reports whether this agent is a member of the consensus group.
func (c *Config) IsVoter() bool {
	return slices.ContainsFunc(c.Voters, func(v Voter) bool { return v.Name == c.Self })
}
