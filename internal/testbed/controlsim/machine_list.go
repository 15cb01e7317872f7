package controlsim

import (
	"slices"
	"time"
)

const (
	// machineListDelay is the delay with which changes appear on the operator's list of the core's machines.
	machineListDelay = 3 * time.Second
	// seedCount is the number of machines that a settings file names.
	seedCount = 3
)

// seedAddrs returns the seed addresses in the machine's settings file. They come from the operator's list at the time
// when the file was written, so these machines may be down or replaced by now. The file is written when the machine is
// added, and again once none of its seeds is on the list any more, because then a process that knows no other addresses
// could not reach any machine.
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

// machineListLocked returns the operator's list at a time: the machines with a disk that had been added and not been
// replaced. For times before the start of the run it returns the list at the start.
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
