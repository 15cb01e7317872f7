package hollownode

func (h *Host) report(q *Request) *HostReport {
	r := &HostReport{Heartbeats: h.answeredHeartbeats.Load() - h.heartbeatsBefore, Nodes: h.nodeReports()}
	r.Process = usage(h.heapBefore)
	r.Process.CPUBefore = h.cpuBefore
	r.Process.CPU -= h.cpuBefore
	for _, change := range q.Changes {
		r.Changes = append(r.Changes, h.propagation(change))
	}
	for _, change := range q.Drains {
		r.Drains = append(r.Drains, h.propagation(change))
	}
	return r
}

func (h *Host) nodeReports() (all []NodeReport) {
	for i, n := range h.nodes {
		report := NodeReport{Name: n.Name, Position: -1, Traffic: n.traffic.snapshot()}
		if i < len(h.trafficBefore) {
			report.TrafficBefore = h.trafficBefore[i]
			report.Traffic = report.Traffic.minus(report.TrafficBefore)
		}
		if running := n.running(); running != nil {
			status, relayReport := running.core.Status(), running.relay.Report()
			report.Running, report.Position, report.ChainLength, report.View, report.Sessions = true, status.Position, len(status.View.Chain), status.View.Number, len(relayReport.Sessions)
			running.mu.Lock()
			if running.snapshot.Servers != nil {
				report.Servers = len(running.snapshot.Servers.ByID)
			}
			running.mu.Unlock()
		}
		n.mu.Lock()
		incarnations := append([]*incarnation(nil), n.incarnations...)
		n.mu.Unlock()
		for j, running := range incarnations {
			running.mu.Lock()
			if j == 0 && running.serversKnownAt > 0 {
				report.ServersKnownDelay = running.serversKnownAt - running.startedAt
			}
			report.ReadyDelays = append(report.ReadyDelays, max(running.readyAt-running.startedAt, 0))
			running.mu.Unlock()
			if running.relay.Report().Source != running.source {
				report.LapsedLeases++
			}
		}
		all = append(all, report)
	}
	return all
}

// propagation is how a change reached the incarnations that were ready when it was sent. Those that ended before it
// reached them are left out.
func (h *Host) propagation(change Change) (s Propagation) {
	for _, n := range h.nodes {
		n.mu.Lock()
		incarnations := append([]*incarnation(nil), n.incarnations...)
		n.mu.Unlock()
		for _, incarnation := range incarnations {
			incarnation.mu.Lock()
			at := incarnation.removedAt[change.ID]
			if change.ID == "" {
				for _, a := range incarnation.arrivals {
					if a.seq >= change.Seq {
						at = a.at
						break
					}
				}
			}
			wasReady, ended := incarnation.readyAt > 0 && incarnation.readyAt < change.SentAt, incarnation.endedAt
			incarnation.mu.Unlock()
			switch {
			case !wasReady || at == 0 && ended > 0:
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
