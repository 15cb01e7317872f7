package controlsim

import (
	"slices"
	"time"
)

const (
	// machineListDelay is how far the operator's list of control machines lags behind.
	machineListDelay = 3 * time.Second
	// seedCount is how many machines a settings file names.
	seedCount = 3
)

// seedAddrs are the addresses that the machine's settings file names: machines of the operator's list as it
// was when the file was written. Those may be down or replaced since. The file is written for a new machine,
// and again once the list has none of the machines that it names: a process that knows nothing else could
// reach nobody by it.
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

// machineListLocked is the operator's list at a time: the machines with a disk that were there and had not
// been replaced. Before the start it has those that the fleet starts with. The run's lock is held.
func (r *simulation) machineListLocked(at time.Time) (list []*machine) {
	if at.Before(r.startedAt) {
		at = r.startedAt
	}
	for _, m := range r.machines {
		if m.media != nil && !m.addedAt.After(at) && (m.replacedAt.IsZero() || m.replacedAt.After(at)) {
			list = append(list, m)
		}
	}
	return list
}

// noteReplaced takes a machine off the operator's list: it is gone for good.
func (r *simulation) noteReplaced(m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.replacedAt = time.Now()
}
