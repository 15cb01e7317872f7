package hollownode

func (h *Host) report(q *Request) *HostReport {
	r := &HostReport{Heartbeats: h.answeredHeartbeats.Load() - h.heartbeatsBefore, Nodes: h.nodeReports()}
	r.Process = usage(h.heapBefore)
	r.Process.CPUBefore = h.cpuBefore
	r.Process.CPU -= h.cpuBefore
	for _, c := range q.Changes {
		r.Changes = append(r.Changes, h.propagation(c))
	}
	for _, c := range q.Drains {
		r.Drains = append(r.Drains, h.propagation(c))
	}
	return r
}

func (h *Host) nodeReports() (all []NodeReport) {
	for i, n := range h.nodes {
		r := NodeReport{Name: n.Name, Position: -1, Traffic: n.tap.snapshot()}
		if i < len(h.trafficBefore) {
			r.TrafficBefore = h.trafficBefore[i]
			r.Traffic = r.Traffic.minus(r.TrafficBefore)
		}
		if l := n.running(); l != nil {
			s, f := l.core.Status(), l.relay.Report()
			r.Running, r.Position, r.ChainLength, r.View, r.Sessions = true, s.Position, len(s.View.Chain), s.View.Number, len(f.Sessions)
			l.mu.Lock()
			if l.snapshot.Servers != nil {
				r.Servers = len(l.snapshot.Servers.ByID)
			}
			l.mu.Unlock()
		}
		n.mu.Lock()
		lives := append([]*incarnation(nil), n.incarnations...)
		n.mu.Unlock()
		for j, l := range lives {
			l.mu.Lock()
			if j == 0 && l.serversKnownAt > 0 {
				r.ServersKnownDelay = l.serversKnownAt - l.startedAt
			}
			r.ReadyDelays = append(r.ReadyDelays, max(l.readyAt-l.startedAt, 0))
			l.mu.Unlock()
			if l.relay.Report().Source != l.source {
				r.LapsedLeases++
			}
		}
		all = append(all, r)
	}
	return all
}

// propagation is how a change reached the incarnations that were ready when it was sent. Those that ended before it
// reached them are left out.
func (h *Host) propagation(c Change) (s Propagation) {
	for _, n := range h.nodes {
		n.mu.Lock()
		lives := append([]*incarnation(nil), n.incarnations...)
		n.mu.Unlock()
		for _, l := range lives {
			l.mu.Lock()
			at := l.removedAt[c.ID]
			if c.ID == "" {
				for _, a := range l.arrivals {
					if a.seq >= c.Seq {
						at = a.at
						break
					}
				}
			}
			before, ended := l.readyAt > 0 && l.readyAt < c.SentAt, l.endedAt
			l.mu.Unlock()
			switch {
			case !before || at == 0 && ended > 0:
			case at == 0:
				s.Nodes++
				s.Missing++
			default:
				s.Nodes++
				s.Last = max(s.Last, at)
			}
		}
	}
	return s
}
