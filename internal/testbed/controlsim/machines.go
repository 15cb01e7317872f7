package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// addMachine adds a machine without starting it.
func (s *simulation) addMachine(withDisk bool) *machine {
	s.mu.Lock()
	index := len(s.machines)
	s.mu.Unlock()
	m := newMachine(s, index, withDisk)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines = append(s.machines, m)
	return m
}

// allMachines returns the machines in the order of their addition, including replaced ones.
func (s *simulation) allMachines() []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.machines)
}

// coreMachines returns the machines with a disk.
func (s *simulation) coreMachines() []*machine {
	return slices.DeleteFunc(s.allMachines(), func(m *machine) bool { return m.media == nil })
}

// agentMachines returns the machines without a disk.
func (s *simulation) agentMachines() []*machine {
	return slices.DeleteFunc(s.allMachines(), func(m *machine) bool { return m.media != nil })
}

// machinesOfZone returns the machines of a zone.
func (s *simulation) machinesOfZone(zone string) []*machine {
	return slices.DeleteFunc(s.allMachines(), func(m *machine) bool { return m.zone != zone })
}

// machinesOfRegion returns the machines of a region.
func (s *simulation) machinesOfRegion(region string) []*machine {
	return slices.DeleteFunc(s.allMachines(), func(m *machine) bool { return m.region != region })
}

// machineByAddr returns the machine with an address; nil if there is none.
func (s *simulation) machineByAddr(addr string) *machine {
	for _, m := range s.allMachines() {
		if m.host.addr == addr {
			return m
		}
	}
	return nil
}

// newestView returns the newest view that any running process has learned.
func (s *simulation) newestView() (newest view.View) {
	for _, m := range s.allMachines() {
		if p := m.running(); p != nil {
			if v, ok := p.core.View(); ok && v.Number > newest.Number {
				newest = v
			}
		}
	}
	return newest
}

// pickProcess picks a running process other than last at random. It returns last if there is no other.
func (s *simulation) pickProcess(random *rand.Rand, last *process) *process {
	var running []*process
	for _, m := range s.allMachines() {
		if p := m.running(); p != nil && p != last {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		return last
	}
	return running[random.IntN(len(running))]
}

// describeView lists the machines of a view's chain from head to tail.
func (s *simulation) describeView(v view.View) string {
	text := fmt.Sprintf("%d voters, chain", len(v.Voters))
	for _, replica := range v.Chain {
		if m := s.machineByAddr(replica.Addr); m != nil {
			text += " " + m.name
		}
	}
	return text
}
