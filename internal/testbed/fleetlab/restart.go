package fleetlab

import (
	"os"

	"github.com/go-faster/errors"
)

// maxSeeds is the maximum number of agents that the settings name as seeds.
const maxSeeds = 3

// seedAddrs returns the control addresses of the current seeds.
func (f *Fleet) seedAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeds
}

// ExchangeSeeds replaces the seeds in all settings files and makes every running process reload its file.
func (f *Fleet) ExchangeSeeds(seeds ...*Agent) error {
	addrs := make([]string, len(seeds))
	for i, seed := range seeds {
		addrs[i] = seed.ControlAddr()
	}
	f.mu.Lock()
	f.seeds = addrs
	f.mu.Unlock()
	for _, agent := range f.Agents {
		if _, err := agent.writeSettings(false); err != nil {
			return err
		}
		if err := agent.Reload(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return errors.Wrap(err, agent.Name)
		}
	}
	return nil
}

// KillAll kills all processes at once.
func (f *Fleet) KillAll() {
	for _, agent := range f.Agents {
		agent.Kill()
	}
}

// RestartAll starts all processes again, with the present content of their disks, in the order of the agents.
func (f *Fleet) RestartAll() error {
	for _, agent := range f.Agents {
		if err := agent.Restart(); err != nil {
			return err
		}
	}
	return nil
}
