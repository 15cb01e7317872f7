package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

func (r *simulation) addMachine(withDisk bool) *machine {
	r.mu.Lock()
	index := len(r.machines)
	r.mu.Unlock()
	m := newMachine(r, index, withDisk)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines = append(r.machines, m)
	return m
}

func (r *simulation) allMachines() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.machines)
}

// coreMachines are the machines with a disk, agents the others.
func (r *simulation) coreMachines() []*machine {
	return slices.DeleteFunc(r.allMachines(), func(m *machine) bool { return m.media == nil })
}

func (r *simulation) agentMachines() []*machine {
	return slices.DeleteFunc(r.allMachines(), func(m *machine) bool { return m.media != nil })
}

func (r *simulation) machineByAddr(addr string) *machine {
	for _, m := range r.allMachines() {
		if m.host.addr == addr {
			return m
		}
	}
	return nil
}

// newestView is the newest view that any process knows.
func (r *simulation) newestView() (newest view.View) {
	for _, m := range r.allMachines() {
		if p := m.running(); p != nil {
			if v, ok := p.core.View(); ok && v.Number > newest.Number {
				newest = v
			}
		}
	}
	return newest
}

// pickProcess is one of the processes that run, another one than the last if there is one.
func (r *simulation) pickProcess(random *rand.Rand, last *process) *process {
	var running []*process
	for _, m := range r.allMachines() {
		if p := m.running(); p != nil && p != last {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		return last
	}
	return running[random.IntN(len(running))]
}

// describeView names a view's chain.
func (r *simulation) describeView(v view.View) string {
	s := fmt.Sprintf("%d voters, chain", len(v.Voters))
	for _, l := range v.Chain {
		if m := r.machineByAddr(l.Addr); m != nil {
			s += " " + m.name
		}
	}
	return s
}
