package policy

import "slices"

// This file holds what agents decided together, and what follows for picks.

// onStandings takes the whole of what was decided; a server that is not named has its whole
// share. Each holds for a stated time only, whatever becomes of those who decided it.
func (b *Balancer) onStandings(ev *Event) {
	for _, s := range b.servers {
		s.without, s.pull = 0, 1
	}
	for i := range ev.Standings {
		x := &ev.Standings[i]
		s := b.byAddr[x.Server]
		if s == nil {
			continue
		}
		s.without, s.pull, s.withoutTo = 1-min(finite(x.Part), 1), finite(x.Pull), finite(x.UntilMs)
		if x.Probe && b.set.Limits.Probing && !s.probing {
			b.probe(s) // it is taken off those that requests earn
		}
		if x.Try && s.tryTo < b.now {
			s.tryTo = b.now + tryMemory
			b.tries = append(b.tries, s)
		}
	}
	b.epoch, b.parted = b.epoch+1, ev.Parted
	// What is out of reach takes its part of the demand with it, and of what there was to serve it.
	if k := finite(ev.Within) / b.within; k > 0 {
		b.demand, b.peak, b.within = b.demand*k, b.peak*min(k, 1), finite(ev.Within)
	}
}

// trial is a server that this agent is asked to try, for a request that can bear it: the
// first attempt of one that may be repeated.
func (b *Balancer) trial(r *request) *server {
	b.tries = slices.DeleteFunc(b.tries, func(s *server) bool { return s.tryTo < b.now })
	if len(r.attempts) > 0 || b.set.Classes[r.class].Effect == SingleShot {
		return nil
	}
	for _, s := range b.tries {
		if b.maySend(r, s, true) && len(s.out) == 0 && b.earned(s, r) {
			s.tryTo = 0
			return s
		}
	}
	return nil
}
