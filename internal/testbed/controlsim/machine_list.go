package controlsim

import (
	"slices"
	"time"
)

const (
	// machineListDelay is how far the operator's list of the core's machines lags behind.
	machineListDelay = 3 * time.Second
	// seedCount is the number of machines that a settings file names.
	seedCount = 3
)

// seedAddrs are the seed addresses of the machine's settings file. They come from the operator's list as it was when
// the file was written, so the machines may be down or replaced since. The file is written for a new machine, and
// again once none of its machines is listed any more: a process without other knowledge could reach nobody then.
func (m *machine) seedAddrs() (addrs []string) {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	list := m.sim.machineListLocked(time.Now().Add(-machineListDelay))
	isListed := func(seed *machine) bool { return slices.Contains(list, seed) }
	if !slices.ContainsFunc(m.seeds, isListed) && len(list) > 0 {
		m.seeds = list[:min(len(list), seedCount)]
	}
	for _, seed := range m.seeds {
		addrs = append(addrs, seed.host.addr)
	}
	return addrs
}

// machineListLocked is the operator's list at a time: the machines with a disk that had been added and not been
// replaced. Before the start of the run it has those that the fleet starts with.
func (s *simulation) machineListLocked(at time.Time) (list []*machine) {
	if at.Before(s.startedAt) {
		at = s.startedAt
	}
	for _, m := range s.machines {
		if m.media != nil && !m.addedAt.After(at) && (m.replacedAt.IsZero() || m.replacedAt.After(at)) {
			list = append(list, m)
		}
	}
	return list
}

// recordReplacement removes a machine from the operator's list for good.
func (s *simulation) recordReplacement(m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.replacedAt = time.Now()
}
