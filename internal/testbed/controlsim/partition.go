package controlsim

// partition is a cut that lasts.
type partition struct {
	machine *machine
	peer    *machine // nil: all others
	fault   Fault
}

// linkState is what a cut does to one direction.
func (c *partition) linkState(from, to *machine) linkState {
	if c.machine != from && c.machine != to || !c.fault.IncludesAgents && (from.media == nil || to.media == nil) {
		return linkOpen
	}
	if c.peer != nil && c.peer != from && c.peer != to {
		return linkOpen
	}
	if c.machine == from && !c.fault.Outbound || c.machine == to && !c.fault.Inbound {
		return linkOpen
	}
	if c.fault.Reject {
		return linkRejects
	}
	return linkSilent
}

// setPartition begins or ends a cut and brings the links up to what all cuts make of them.
func (r *simulation) setPartition(c *partition, on bool) {
	r.mu.Lock()
	if on {
		r.partitions[c] = true
	} else {
		delete(r.partitions, c)
	}
	cuts := make([]*partition, 0, len(r.partitions))
	for c := range r.partitions {
		cuts = append(cuts, c)
	}
	r.mu.Unlock()
	for _, other := range r.allMachines() {
		for _, way := range [][2]*machine{{c.machine, other}, {other, c.machine}} {
			state := linkOpen
			for _, c := range cuts {
				state = max(state, c.linkState(way[0], way[1]))
			}
			r.network.setLink(way[0].host.addr, way[1].host.addr, state)
		}
	}
}
