package policy

// restore takes over what an earlier life knew and is likely to hold still: of servers listed
// as the same process, and never so that one waits for more than one validation.
func (b *Balancer) restore(m *Snapshot) {
	if m == nil || !(m.AgeMs >= 0) || m.AgeMs > snapshotKeysMaxAgeMs {
		return
	}
	for _, k := range m.Keys[:min(len(m.Keys), maxSnapshotKeys)] {
		if n := finiteOrZero(k.Count) * (1 - m.AgeMs/snapshotKeysMaxAgeMs); n >= 0.5 {
			b.keyCounts[k.Key] += n
			b.keyTotal += n
		}
	}
	for i := range b.expectedLatency {
		if i < len(m.Expect) && finiteOrZero(m.Expect[i]) > 0 {
			b.expectedLatency[i] = min(m.Expect[i], 2*b.settings.Classes[i].LatencyTargetMs)
		}
	}
	if x := finiteOrZero(m.CalmLat); x > 0 && m.Answers > baselineResponses {
		b.baselineLatency, b.fleetLatency, b.responses = min(x, overloadTargetShare), min(finiteOrZero(m.FleetLat), 2), baselineResponses+1
	}
	fresh := m.AgeMs <= snapshotMaxAgeMs
	if fresh && finiteOrZero(m.Demand) > 0 && m.Admitted > 0 && m.Admitted <= 1 {
		b.demand, b.admittedShare, b.loadSamples = m.Demand, m.Admitted, utilizationWindow/2 // outweighed by two probes
		b.peakCapacity = max(b.peakCapacity, min(finiteOrZero(m.Peak), 2*b.currentCapacity()))
	}
	for i := range m.Servers {
		r := &m.Servers[i]
		s := b.serverByAddr[r.Server]
		if s == nil || !s.ready || s.listedStartAt != finiteOrZero(r.StartedMs) || s.state != Unknown {
			continue
		}
		s.slowStartCredit = 0 // it was drawn before: each start of an agent must not draw another
		if !fresh {
			continue
		}
		s.failureRate, s.latency, s.meanLatencyMs = min(finiteOrZero(r.Failing), 1), min(finiteOrZero(r.Lat), 2), finiteOrZero(r.RTTMs)
		s.latencySamples, s.concurrencyLimit = min(max(r.Samples, 0), 5), max(min(finiteOrZero(r.Window), 64), minConcurrency)
		b.transition(s, min(r.State, UnhealthyPending))
		if s.state == UnhealthyPending {
			// Spread over the lapse, as agents that start together must not act in step.
			s.timedOut, s.ejections, s.since = r.Silent, min(r.Strikes, 1), b.now-b.rng.Float64()*b.minLatencyTarget
		}
	}
}
