package controlsim

// partition is an active partition.
type partition struct {
	machine *machine
	peer    *machine // nil if the machine is separated from all others
	fault   Fault
}

// linkState returns the state of the link between two machines that results from this partition alone.
func (p *partition) linkState(from, to *machine) linkState {
	if p.machine != from && p.machine != to || !p.fault.IncludesAgents && (from.media == nil || to.media == nil) {
		return linkOpen
	}
	if p.peer != nil && p.peer != from && p.peer != to {
		return linkOpen
	}
	if p.machine == from && !p.fault.Outbound || p.machine == to && !p.fault.Inbound {
		return linkOpen
	}
	if p.fault.Reject {
		return linkRejects
	}
	return linkDrops
}

// addPartition starts a partition.
func (s *simulation) addPartition(p *partition) {
	s.mu.Lock()
	s.partitions[p] = true
	s.mu.Unlock()
	s.updateLinks(p.machine)
}

// removePartition ends a partition.
func (s *simulation) removePartition(p *partition) {
	s.mu.Lock()
	delete(s.partitions, p)
	s.mu.Unlock()
	s.updateLinks(p.machine)
}

// updateLinks sets each link of a machine to the most severe state that results from any active partition.
func (s *simulation) updateLinks(m *machine) {
	s.mu.Lock()
	partitions := make([]*partition, 0, len(s.partitions))
	for p := range s.partitions {
		partitions = append(partitions, p)
	}
	s.mu.Unlock()
	for _, other := range s.allMachines() {
		for _, ends := range [][2]*machine{{m, other}, {other, m}} {
			state := linkOpen
			for _, p := range partitions {
				state = max(state, p.linkState(ends[0], ends[1]))
			}
			s.network.setLink(ends[0].host.addr, ends[1].host.addr, state)
		}
	}
}
