package policy

import "slices"

// This file holds what agents decided together, and what follows for picks.

// onOverrides takes the whole of what was decided; a server that is not named has its whole
// share. Each holds for a stated time only, whatever becomes of those who decided it.
func (b *Balancer) onOverrides(ev *Event) {
	for _, s := range b.servers {
		s.withheldShare, s.trafficWeight = 0, 1
	}
	for i := range ev.Overrides {
		x := &ev.Overrides[i]
		s := b.serverByAddr[x.Server]
		if s == nil {
			continue
		}
		s.withheldShare, s.trafficWeight, s.overrideExpiresAt = 1-min(finiteOrZero(x.ShareFactor), 1), finiteOrZero(x.TrafficWeight), finiteOrZero(x.ExpiresMs)
		if x.Probe && b.settings.Limits.AllowProbes && !s.probing {
			b.sendProbe(s) // it is taken off those that requests earn
		}
		if x.Trial && s.trialExpiresAt < b.now {
			s.trialExpiresAt = b.now + trialTimeoutMs
			b.trials = append(b.trials, s)
		}
	}
	b.generation, b.zoneWeighted = b.generation+1, ev.ZoneWeighted
	// What is out of reach takes its part of the demand with it, and of what there was to serve it.
	if k := finiteOrZero(ev.ReachableShare) / b.reachableShare; k > 0 {
		b.demand, b.peakCapacity, b.reachableShare = b.demand*k, b.peakCapacity*min(k, 1), finiteOrZero(ev.ReachableShare)
	}
}

// pickTrial is a server that this agent is asked to try, for a request that can bear it: the
// first attempt of one that may be repeated.
func (b *Balancer) pickTrial(r *request) *server {
	b.trials = slices.DeleteFunc(b.trials, func(s *server) bool { return s.trialExpiresAt < b.now })
	if len(r.attempts) > 0 || b.settings.Classes[r.class].Idempotency == NonIdempotent {
		return nil
	}
	for _, s := range b.trials {
		if b.maySend(r, s, true) && len(s.inFlight) == 0 && b.slowStartAllows(s, r) {
			s.trialExpiresAt = 0
			return s
		}
	}
	return nil
}
