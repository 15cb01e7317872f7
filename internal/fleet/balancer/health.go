package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// healthTiers is the number of ranks that a server may have.
	healthTiers = 3
	// baseEjectionMs and minEjectionMs, in ms, are how long a failed server stays Unhealthy: doubled with
	// each strike, and the least.
	baseEjectionMs, minEjectionMs = 500.0, 250.0
	// pendingTimeoutMs and unresponsivePendingTimeoutMs, in ms, are after which an UnhealthyPending server counts as healthy
	// again without a verdict: a silent one costs whoever tries it a time-out.
	pendingTimeoutMs, unresponsivePendingTimeoutMs = 500.0, 4000.0
	// maxChecksInFlight bounds the validations under way, checkRate and checkBurst, in a second, those
	// that are begun: they are priced. checkTimeout is when one that was not ended is given up.
	maxChecksInFlight, checkRate, checkBurst = 2, 4.0, 4.0
	checkTimeout                             = 5 * time.Second
	// fullBackoff is how long a server that turned a request away counts as full.
	fullBackoff = 200 * time.Millisecond
	// unresponsiveFactor is how many of its estimates, with its error, and minUnresponsiveTime how long an attempt
	// goes without an answer before its server is validated.
	unresponsiveFactor, minUnresponsiveTime = 3.0, 600 * time.Millisecond
	// tolerableFailureRate is the part of its attempts that a server may fail, beyond fleetFailureFactor times what
	// the others do, before its hold grows; failureRateWindowMs in ms is how long it is known.
	tolerableFailureRate, fleetFailureFactor, serverFailureSmoothing, fleetFailureSmoothing = 0.2, 1.5, 0.15, 0.005
	failureRateWindowMs                                                                     = 5000.0
	// connectTimeoutThreshold is how long a failed connect must have taken to be silence and no answer.
	connectTimeoutThreshold = 200 * time.Millisecond
	// connectionIdleTime is for how long a connection is taken to stay open.
	connectionIdleTime = 10 * time.Second
	// queueingSmoothing is the weight of one load told in the part of those in which something waited.
	queueingSmoothing = 0.05
	// idleCheckInterval, busyCheckInterval and unhealthyCheckInterval are how soon Checks wants to be asked again: without load,
	// with attempts to watch, and with servers to validate.
	idleCheckInterval      = time.Second
	busyCheckInterval      = 100 * time.Millisecond
	unhealthyCheckInterval = 50 * time.Millisecond
)

// tokenBucket is a token bucket.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*b.rate, b.burst)
	b.refilledAt = now
}

// serverRank is the server's tier for a request. What must not run twice does not check a server while
// others are healthy. One that does not hold the model comes after all that do.
func (p *Picker) serverRank(now time.Duration, s *server, q *pickContext) int {
	rank := 0
	if s.State() > policy.Unknown {
		after := pendingTimeoutMs
		switch {
		case q.nonIdempotent && !p.failureRateTolerable(s):
			after = math.Inf(1)
		case s.TimedOut():
			after = unresponsivePendingTimeoutMs
		}
		rank = s.Priority(millis(now), after)
	}
	if models := s.instance.Models; len(models) > 0 && q.Model != "" &&
		!slices.ContainsFunc(models, func(m registry.Model) bool { return m.Name == q.Model }) {
		rank += healthTiers
	}
	return rank
}

// updateFailureRate counts an attempt's end as a failure of the server, or not.
func (p *Picker) updateFailureRate(now time.Duration, s *server, x float64) {
	age := millis(now - s.failureRateAt)
	s.failureRate += max(serverFailureSmoothing, 1-math.Exp(-age/failureRateWindowMs)) * (x - s.failureRate)
	s.failureRateAt = now
	p.failureRate += fleetFailureSmoothing * (x - p.failureRate)
}

// failureRateTolerable tells whether the server fails no more than may happen to any.
func (p *Picker) failureRateTolerable(s *server) bool {
	return s.failureRate < tolerableFailureRate+fleetFailureFactor*p.failureRate
}

// markUnhealthy makes a server Unhealthy. Failures of one moment are one strike.
func (p *Picker) markUnhealthy(now time.Duration, s *server, silent bool) {
	p.updateFailureRate(now, s, 1)
	if s.RecordFailure(silent, millis(now)) && (silent || !p.failureRateTolerable(s)) {
		s.RecordEjection()
	}
}

// allowChecks lets the Unhealthy servers of a service be validated: something has changed.
func (p *Picker) allowChecks(now time.Duration, v *service) {
	for _, s := range v.servers {
		s.BeginValidation(minEjectionMs, millis(now))
	}
}

// DueHealthChecks are the background validations that are due: a GET of the service's health-path to
// each, ended by Checked. No request waits for them.
func (p *Picker) DueHealthChecks(now time.Duration) (due []*registry.Instance) {
	p.checkBudget.refill(now)
	for _, v := range p.services {
		for _, s := range v.servers {
			p.detectUnresponsive(now, s)
			hold := s.EjectionTime(baseEjectionMs, minEjectionMs)
			if !s.TimedOut() && p.failureRateTolerable(s) {
				hold = minEjectionMs
			}
			s.BeginValidation(hold, millis(now))
			if s.checkInFlight && now-s.checkStartedAt > checkTimeout {
				s.checkInFlight = false
				p.checksInFlight--
			}
			if s.State() != policy.UnhealthyPending || s.checkInFlight || p.checksInFlight >= maxChecksInFlight || p.checkBudget.tokens < 1 {
				continue
			}
			p.checkBudget.tokens--
			p.checksInFlight++
			s.checkInFlight, s.checkStartedAt = true, now
			due = append(due, s.instance)
		}
	}
	return due
}

// detectUnresponsive has a server validated that took attempts and answers none.
func (p *Picker) detectUnresponsive(now time.Duration, s *server) {
	if len(s.attempts) == 0 || s.State() > policy.Unknown {
		return
	}
	for _, a := range s.attempts {
		if a.responded {
			continue
		}
		most := max(duration(unresponsiveFactor*millis(a.estimate+s.service.latency.FirstTokenError())), minUnresponsiveTime)
		if now-a.sentAt > most && s.lastResponseAt < a.sentAt {
			s.Transition(policy.UnhealthyPending, millis(now))
		}
		return
	}
}

// HealthCheckDone takes the end of a validation, with the load that it told, if any. What the server's
// own answers to requests said meanwhile outranks it.
func (p *Picker) HealthCheckDone(now time.Duration, id string, ok bool, load *Load) {
	s := p.servers[id]
	if s == nil || !s.checkInFlight {
		return
	}
	s.checkInFlight = false
	p.checksInFlight--
	if load != nil {
		s.inference.ObserveLoad(now, *load)
	}
	if s.State() != policy.UnhealthyPending {
		return
	}
	if ok {
		s.lastResponseAt = now
		s.Transition(policy.Connected, millis(now))
	} else if s.lastResponseAt < s.checkStartedAt {
		p.markUnhealthy(now, s, true)
	}
}

// NextHealthCheck is how long after now Checks wants to be asked again at the latest.
func (p *Picker) NextHealthCheck(time.Duration) time.Duration {
	next := idleCheckInterval
	for _, v := range p.services {
		for _, s := range v.servers {
			if s.State() > policy.Unknown {
				return unhealthyCheckInterval
			}
		}
		if v.inFlight > 0 {
			next = busyCheckInterval
		}
	}
	return next
}
