package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// tiers is the number of ranks that a server may have.
	tiers = 3
	// holdUnit and holdLeast, in ms, are how long a failed server stays Unhealthy: doubled with
	// each strike, and the least.
	holdUnit, holdLeast = 500.0, 250.0
	// lapse and silentLapse, in ms, are after which an UnhealthyPending server counts as healthy
	// again without a verdict: a silent one costs whoever tries it a time-out.
	lapse, silentLapse = 500.0, 4000.0
	// checkCap bounds the validations under way, checkRate and checkBurst, in a second, those
	// that are begun: they are priced. checkMost is when one that was not ended is given up.
	checkCap, checkRate, checkBurst = 2, 4.0, 4.0
	checkMost                       = 5 * time.Second
	// fullFor is how long a server that turned a request away counts as full.
	fullFor = 200 * time.Millisecond
	// silence is how many of its estimates, with its error, and silentLeast how long an attempt
	// goes without an answer before its server is validated.
	silence, silentLeast = 3.0, 600 * time.Millisecond
	// strayMost is the part of its attempts that a server may fail, beyond strayFactor times what
	// the others do, before its hold grows; failMemory in ms is how long it is known.
	strayMost, strayFactor, straySmooth, fleetSmooth = 0.2, 1.5, 0.15, 0.005
	failMemory                                       = 5000.0
	// connectSilent is how long a failed connect must have taken to be silence and no answer.
	connectSilent = 200 * time.Millisecond
	// connMemory is for how long a connection is taken to stay open.
	connMemory = 10 * time.Second
	// waitsSmooth is the weight of one load told in the part of those in which something waited.
	waitsSmooth = 0.05
	// idleNext, busyNext and illNext are how soon Checks wants to be asked again: without load,
	// with attempts to watch, and with servers to validate.
	idleNext = time.Second
	busyNext = 100 * time.Millisecond
	illNext  = 50 * time.Millisecond
)

// budget is a token bucket.
type budget struct {
	rate, most, have float64
	at               time.Duration
}

func (b *budget) fill(now time.Duration) {
	b.have = min(b.have+(now-b.at).Seconds()*b.rate, b.most)
	b.at = now
}

// rank is the server's tier for a request. What must not run twice does not check a server while
// others are healthy. One that does not hold the model comes after all that do.
func (p *Picker) rank(now time.Duration, s *server, q *prompt) int {
	rank := 0
	if s.State() > policy.Unknown {
		after := lapse
		switch {
		case q.once && !p.stray(s):
			after = math.Inf(1)
		case s.Silent():
			after = silentLapse
		}
		rank = s.Rank(millis(now), after)
	}
	if models := s.inst.Models; len(models) > 0 && q.Model != "" &&
		!slices.ContainsFunc(models, func(m registry.Model) bool { return m.Name == q.Model }) {
		rank += tiers
	}
	return rank
}

// fails counts an attempt's end as a failure of the server, or not.
func (p *Picker) fails(now time.Duration, s *server, x float64) {
	age := millis(now - s.toldAt)
	s.failing += max(straySmooth, 1-math.Exp(-age/failMemory)) * (x - s.failing)
	s.toldAt = now
	p.failing += fleetSmooth * (x - p.failing)
}

// stray tells whether the server fails no more than may happen to any.
func (p *Picker) stray(s *server) bool { return s.failing < strayMost+strayFactor*p.failing }

// demote makes a server Unhealthy. Failures of one moment are one strike.
func (p *Picker) demote(now time.Duration, s *server, silent bool) {
	p.fails(now, s, 1)
	if s.Failed(silent, millis(now)) && (silent || !p.stray(s)) {
		s.Strike()
	}
}

// refresh lets the Unhealthy servers of a service be validated: something has changed.
func (p *Picker) refresh(now time.Duration, v *service) {
	for _, s := range v.servers {
		s.Refresh(holdLeast, millis(now))
	}
}

// Checks are the background validations that are due: a GET of the service's health-path to
// each, ended by Checked. No request waits for them.
func (p *Picker) Checks(now time.Duration) (due []*registry.Instance) {
	p.checks.fill(now)
	for _, v := range p.services {
		for _, s := range v.servers {
			p.watch(now, s)
			hold := s.Hold(holdUnit, holdLeast)
			if !s.Silent() && p.stray(s) {
				hold = holdLeast
			}
			s.Refresh(hold, millis(now))
			if s.checking && now-s.checkFrom > checkMost {
				s.checking = false
				p.checking--
			}
			if s.State() != policy.UnhealthyPending || s.checking || p.checking >= checkCap || p.checks.have < 1 {
				continue
			}
			p.checks.have--
			p.checking++
			s.checking, s.checkFrom = true, now
			due = append(due, s.inst)
		}
	}
	return due
}

// watch has a server validated that took attempts and answers none.
func (p *Picker) watch(now time.Duration, s *server) {
	if len(s.out) == 0 || s.State() > policy.Unknown {
		return
	}
	for _, a := range s.out {
		if a.heard {
			continue
		}
		most := max(duration(silence*millis(a.first+s.service.speeds.Error())), silentLeast)
		if now-a.at > most && s.heard < a.at {
			s.Enter(policy.UnhealthyPending, millis(now))
		}
		return
	}
}

// Checked takes the end of a validation, with the load that it told, if any. What the server's
// own answers to requests said meanwhile outranks it.
func (p *Picker) Checked(now time.Duration, id string, ok bool, load *Load) {
	s := p.byID[id]
	if s == nil || !s.checking {
		return
	}
	s.checking = false
	p.checking--
	if load != nil {
		s.engine.Heard(now, *load)
	}
	if s.State() != policy.UnhealthyPending {
		return
	}
	if ok {
		s.heard = now
		s.Enter(policy.Connected, millis(now))
	} else if s.heard < s.checkFrom {
		p.demote(now, s, true)
	}
}

// Next is how long after now Checks wants to be asked again at the latest.
func (p *Picker) Next(time.Duration) time.Duration {
	next := idleNext
	for _, v := range p.services {
		for _, s := range v.servers {
			if s.State() > policy.Unknown {
				return illNext
			}
		}
		if v.inflight > 0 {
			next = busyNext
		}
	}
	return next
}
