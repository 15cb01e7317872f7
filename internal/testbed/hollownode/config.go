package hollownode

import (
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// Config describes a fleet and its workload.
type Config struct {
	Agents            int           `json:"agents"`  // hollow ones, in addition to the core
	Core              int           `json:"core"`    // machines with a disk
	Hosts             int           `json:"hosts"`   // processes for the agents; 0: all nodes run in this process
	Real              int           `json:"real"`    // real daemons as further agents
	Servers           int           `json:"servers"` // model servers
	Changes           float64       `json:"changes"` // of the configuration, per minute
	Drains            float64       `json:"drains"`  // of servers, per minute
	Churn             float64       `json:"churn"`   // agents that stop and restart, per minute
	Lose              string        `json:"lose"`    // member of the core that is killed after a third of the window, and restored after two thirds
	Size              sampling.Size `json:"size"`
	HeartbeatInterval time.Duration `json:"beat"`
	Spread            time.Duration `json:"spread"` // time over which the agents start; 0: all at once
	Window            time.Duration `json:"for"`
	Dir               string        `json:"-"`
	Program           string        `json:"-"` // of a host's process; it is started with Args and the address for Serve
	Args              []string      `json:"-"`
	DaemonProgram     string        `json:"-"`
}

// validate returns an error that names the first invalid field.
func (c *Config) validate() error {
	processes := 1 + c.Hosts + c.Real
	if c.Hosts > 0 {
		processes += c.Core
	}
	switch {
	case c.Agents < 1 || c.Agents > maxAgents:
		return errors.Errorf("agents: give 1 to %d, not %d", maxAgents, c.Agents)
	case c.Core < 1 || c.Core > maxCore:
		return errors.Errorf("core: give 1 to %d, not %d", maxCore, c.Core)
	case c.Servers < 0 || c.Servers > maxServers:
		return errors.Errorf("servers: give 0 to %d, not %d", maxServers, c.Servers)
	case c.Hosts < 0 || c.Hosts > c.Agents || c.Real < 0 || processes > maxProcesses:
		return errors.Errorf("hosts and real: give fewer, together with the core at most %d processes", maxProcesses)
	case c.Changes < 0 || c.Drains < 0 || c.Churn < 0 || c.Drains > 0 && c.Servers == 0:
		return errors.New("changes, drains, churn: give 0 or more a minute, and servers that can drain")
	case c.HeartbeatInterval <= 0 || c.Window <= 0 || c.Spread < 0 || c.Spread > readyTimeout/2:
		return errors.Errorf("beat, for, spread: give more than 0, and a spread of at most %s", readyTimeout/2)
	case c.Lose != LoseNone && c.Lose != LoseHead && c.Lose != LoseMiddle && c.Lose != LoseTail:
		return errors.Errorf("lose: give %s, %s, %s or %s", LoseNone, LoseHead, LoseMiddle, LoseTail)
	case c.Lose != LoseNone && c.Core < 3:
		return errors.New("lose: a core of three or more bears a loss")
	}
	return nil
}

// The members of the chain that Config.Lose can name.
const (
	LoseNone   = "none"
	LoseHead   = "head"
	LoseMiddle = "middle"
	LoseTail   = "tail"
)
