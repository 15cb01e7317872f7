package policy

// recollect takes over what an earlier life knew and is likely to hold still: of servers listed
// as the same process, and never so that one waits for more than one validation.
func (b *Balancer) recollect(m *Memory) {
	if m == nil || !(m.AgeMs >= 0) || m.AgeMs > recallKeys {
		return
	}
	for _, k := range m.Keys[:min(len(m.Keys), maxKeys)] {
		if n := finite(k.Count) * (1 - m.AgeMs/recallKeys); n >= 0.5 {
			b.keys[k.Key] += n
			b.keyed += n
		}
	}
	for i := range b.expect {
		if i < len(m.Expect) && finite(m.Expect[i]) > 0 {
			b.expect[i] = min(m.Expect[i], 2*b.set.Classes[i].AimMs)
		}
	}
	if x := finite(m.CalmLat); x > 0 && m.Answers > learnFor {
		b.calmLat, b.fleetLat, b.answers = min(x, crowdShare), min(finite(m.FleetLat), 2), learnFor+1
	}
	fresh := m.AgeMs <= recallMost
	if fresh && finite(m.Demand) > 0 && m.Admitted > 0 && m.Admitted <= 1 {
		b.demand, b.admitted, b.sampled = m.Demand, m.Admitted, busyMemory/2 // outweighed by two probes
		b.peak = max(b.peak, min(finite(m.Peak), 2*b.capacity()))
	}
	for i := range m.Servers {
		r := &m.Servers[i]
		s := b.byAddr[r.Server]
		if s == nil || !s.usable || s.listedAt != finite(r.StartedMs) || s.state != Unknown {
			continue
		}
		s.credit = 0 // it was drawn before: each start of an agent must not draw another
		if !fresh {
			continue
		}
		s.failing, s.lat, s.rtt = min(finite(r.Failing), 1), min(finite(r.Lat), 2), finite(r.RTTMs)
		s.samples, s.window = min(max(r.Samples, 0), 5), max(min(finite(r.Window), 64), leastWindow)
		b.enter(s, min(r.State, UnhealthyPending))
		if s.state == UnhealthyPending {
			// Spread over the lapse, as agents that start together must not act in step.
			s.silent, s.strikes, s.since = r.Silent, min(r.Strikes, 1), b.now-b.rng.Float64()*b.aimMin
		}
	}
}
