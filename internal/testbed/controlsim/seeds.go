package controlsim

import (
	"slices"
	"time"
)

const (
	// listDelay is how far the operator's list of control machines lags behind.
	listDelay = 3 * time.Second
	// seedCount is how many machines a settings file names.
	seedCount = 3
)

// seedAddrs are the addresses that the machine's settings file names: machines of the operator's list as it
// was when the file was written. Those may be down or replaced since. The file is written for a new machine,
// and again once the list has none of the machines that it names: a process that knows nothing else could
// reach nobody by it.
func (m *machine) seedAddrs() (addrs []string) {
	m.run.mu.Lock()
	defer m.run.mu.Unlock()
	list := m.run.controlListLocked(time.Now().Add(-listDelay))
	isListed := func(seed *machine) bool { return slices.Contains(list, seed) }
	if !slices.ContainsFunc(m.seeds, isListed) && len(list) > 0 {
		m.seeds = list[:min(len(list), seedCount)]
	}
	for _, seed := range m.seeds {
		addrs = append(addrs, seed.host.addr)
	}
	return addrs
}

// controlListLocked is the operator's list at a time: the machines with a disk that were there and had not
// been replaced. Before the start it has those that the fleet starts with. The run's lock is held.
func (r *run) controlListLocked(at time.Time) (list []*machine) {
	if at.Before(r.begun) {
		at = r.begun
	}
	for _, m := range r.machines {
		if m.media != nil && !m.added.After(at) && (m.replaced.IsZero() || m.replaced.After(at)) {
			list = append(list, m)
		}
	}
	return list
}

// noteReplaced takes a machine off the operator's list: it is gone for good.
func (r *run) noteReplaced(m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.replaced = time.Now()
}
