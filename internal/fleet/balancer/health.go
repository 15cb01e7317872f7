package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// healthTiers is the number of health ranks of policy.EndpointHealth.
	healthTiers = 3
	// baseEjectionMs is how long a failed server stays Unhealthy, doubled with each further ejection;
	// minEjectionMs is the least.
	baseEjectionMs, minEjectionMs = 500.0, 250.0
	// pendingTimeoutMs is how long an UnhealthyPending server waits for the verdict of a health
	// check before it counts as healthy again. One that timed out waits for
	// unresponsivePendingTimeoutMs: a request that tries it may cost another time-out.
	pendingTimeoutMs, unresponsivePendingTimeoutMs = 500.0, 4000.0
	// maxChecksInFlight bounds concurrent health checks.
	maxChecksInFlight = 2
	// healthCheckRate and healthCheckBurst bound health checks per second: they are priced.
	healthCheckRate, healthCheckBurst = 4.0, 4.0
	// checkTimeout is when a health check without a result is abandoned.
	checkTimeout = 5 * time.Second
	// An attempt without a response for unresponsiveFactor times its estimate and the usual error,
	// and for minUnresponsiveTime, has its server checked.
	unresponsiveFactor  = 3.0
	minUnresponsiveTime = 600 * time.Millisecond
	// A server is ejected for longer with each further ejection only if it fails more than
	// tolerableFailureRate of its attempts plus fleetFailureFactor times what the others do.
	tolerableFailureRate, fleetFailureFactor = 0.2, 1.5
	// serverFailureSmoothing and fleetFailureSmoothing are the weights of one attempt in the
	// failure rates, and failureRateWindowMs is after how long an old rate counts for little.
	serverFailureSmoothing, fleetFailureSmoothing = 0.15, 0.005
	failureRateWindowMs                           = 5000.0
)

// How soon DueHealthChecks wants to be called again.
const (
	idleCheckInterval      = time.Second
	busyCheckInterval      = 100 * time.Millisecond // attempts have to be watched
	unhealthyCheckInterval = 50 * time.Millisecond  // servers have to be checked
)

// tokenBucket is a rate limit with a burst.
type tokenBucket struct {
	rate       float64 // tokens a second
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*b.rate, b.burst)
	b.refilledAt = now
}

// serverRank is the server's rank for a request, 0 the best. A server that does not hold the model
// comes after all that do.
func (p *Picker) serverRank(now time.Duration, s *server, pick *pickContext) int {
	rank := 0
	if s.State() > policy.Unknown {
		rank = s.Priority(millis(now), p.pendingTimeout(s, pick))
	}
	if !s.holdsModel(pick.Model) {
		rank += healthTiers
	}
	return rank
}

// pendingTimeout is when an unchecked server may be tried by a request, in ms. One that must not
// run twice is never the first to try it.
func (p *Picker) pendingTimeout(s *server, pick *pickContext) float64 {
	switch {
	case pick.nonIdempotent && !p.failureRateTolerable(s):
		return math.Inf(1)
	case s.TimedOut():
		return unresponsivePendingTimeoutMs
	default:
		return pendingTimeoutMs
	}
}

// holdsModel reports whether the server holds the model, as far as it names any.
func (s *server) holdsModel(name string) bool {
	models := s.instance.Models
	return len(models) == 0 || name == "" ||
		slices.ContainsFunc(models, func(m registry.Model) bool { return m.Name == name })
}

// updateFailureRate counts an attempt in the failure rates of its server and of all servers.
func (p *Picker) updateFailureRate(now time.Duration, s *server, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	age := millis(now - s.failureRateAt)
	s.failureRate += max(serverFailureSmoothing, 1-math.Exp(-age/failureRateWindowMs)) * (sample - s.failureRate)
	s.failureRateAt = now
	p.failureRate += fleetFailureSmoothing * (sample - p.failureRate)
}

// failureRateTolerable reports whether the server fails no more than any server may.
func (p *Picker) failureRateTolerable(s *server) bool {
	return s.failureRate < tolerableFailureRate+fleetFailureFactor*p.failureRate
}

// markUnhealthy ejects a server. Concurrent failures are one ejection.
func (p *Picker) markUnhealthy(now time.Duration, s *server, timedOut bool) {
	p.updateFailureRate(now, s, true)
	if s.RecordFailure(timedOut, millis(now)) && (timedOut || !p.failureRateTolerable(s)) {
		s.RecordEjection()
	}
}

// allowChecks lets the Unhealthy servers of a service be checked early, as something has changed.
func (p *Picker) allowChecks(now time.Duration, svc *service) {
	for _, s := range svc.servers {
		s.BeginValidation(minEjectionMs, millis(now))
	}
}

// DueHealthChecks returns the instances to check now, each by a GET of its service's health path
// whose result must be passed to HealthCheckDone. No request waits for a check.
func (p *Picker) DueHealthChecks(now time.Duration) (due []*registry.Instance) {
	p.checkBudget.refill(now)
	for _, svc := range p.services {
		for _, s := range svc.servers {
			p.detectUnresponsive(now, s)
			if s.State() <= policy.Unknown && !s.checkInFlight {
				continue // healthy, as nearly all are
			}
			p.refreshEjection(now, s)
			p.abandonCheck(now, s)
			if p.startCheck(now, s) {
				due = append(due, s.instance)
			}
		}
	}
	return due
}

// detectUnresponsive has a server checked whose oldest unanswered attempt is overdue.
func (p *Picker) detectUnresponsive(now time.Duration, s *server) {
	if len(s.attempts) == 0 || s.State() > policy.Unknown {
		return
	}
	for _, a := range s.attempts {
		if a.responded {
			continue
		}
		limit := max(duration(unresponsiveFactor*millis(a.estimate+s.service.latency.FirstTokenError())), minUnresponsiveTime)
		if now-a.sentAt > limit && s.lastResponseAt < a.sentAt {
			s.Transition(policy.UnhealthyPending, millis(now))
		}
		return
	}
}

// refreshEjection ends an ejection that is over.
func (p *Picker) refreshEjection(now time.Duration, s *server) {
	ejectionMs := s.EjectionTime(baseEjectionMs, minEjectionMs)
	if !s.TimedOut() && p.failureRateTolerable(s) {
		ejectionMs = minEjectionMs
	}
	s.BeginValidation(ejectionMs, millis(now))
}

// abandonCheck gives up a check that was never ended.
func (p *Picker) abandonCheck(now time.Duration, s *server) {
	if s.checkInFlight && now-s.checkStartedAt > checkTimeout {
		s.checkInFlight = false
		p.checksInFlight--
	}
}

// startCheck begins the check of a server, if it needs one and the limits allow it.
func (p *Picker) startCheck(now time.Duration, s *server) bool {
	if s.State() != policy.UnhealthyPending || s.checkInFlight || p.checksInFlight >= maxChecksInFlight || p.checkBudget.tokens < 1 {
		return false
	}
	p.checkBudget.tokens--
	p.checksInFlight++
	s.checkInFlight, s.checkStartedAt = true, now
	return true
}

// HealthCheckDone records the end of a health check, with the load that it reported, if any. The
// server's responses to requests since then take precedence over its result.
func (p *Picker) HealthCheckDone(now time.Duration, id string, healthy bool, load *Load) {
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
	if healthy {
		s.lastResponseAt = now
		s.Transition(policy.Connected, millis(now))
	} else if s.lastResponseAt < s.checkStartedAt {
		p.markUnhealthy(now, s, true)
	}
}

// HealthCheckInterval is how soon DueHealthChecks wants to be called again.
func (p *Picker) HealthCheckInterval() time.Duration {
	interval := idleCheckInterval
	for _, svc := range p.services {
		for _, s := range svc.servers {
			if s.State() > policy.Unknown {
				return unhealthyCheckInterval
			}
		}
		if svc.inFlight > 0 {
			interval = busyCheckInterval
		}
	}
	return interval
}
