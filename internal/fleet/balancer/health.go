package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// healthTiers is the number of priorities of policy.EndpointHealth.
	healthTiers = 3
	// baseEjectionMs is how long a failed server stays Unhealthy, doubled with each further
	// ejection. minEjectionMs is the shortest time.
	baseEjectionMs, minEjectionMs = 500.0, 250.0
	// pendingTimeoutMs is how long an UnhealthyPending server waits for the result of a health check
	// before it counts as healthy again. A server that timed out waits for
	// unresponsivePendingTimeoutMs, as the next request to it may time out too.
	pendingTimeoutMs, unresponsivePendingTimeoutMs = 500.0, 4000.0
	// maxChecksInFlight bounds concurrent health checks.
	maxChecksInFlight = 2
	// healthCheckRate, in health checks per second, and healthCheckBurst limit the health checks of
	// this agent, since each check has a price.
	healthCheckRate, healthCheckBurst = 4.0, 4.0
	// checkTimeout is how long a health check may go without a result before it is abandoned.
	checkTimeout = 5 * time.Second
	// A server is checked if an attempt has had no response for unresponsiveFactor times the sum of
	// its estimate and the mean error, and for at least minUnresponsiveTime.
	unresponsiveFactor  = 3.0
	minUnresponsiveTime = 600 * time.Millisecond
	// A failure rate of tolerableFailureRate plus fleetFailureFactor times the rate over all servers
	// is tolerable. Unless a server timed out, its ejections get longer only above that.
	tolerableFailureRate, fleetFailureFactor = 0.2, 1.5
	// serverFailureSmoothing and fleetFailureSmoothing are the weights of one attempt in the failure
	// rates of its server and of all servers. failureRateWindowMs is the time constant with which
	// the old rate of a server loses weight between attempts.
	serverFailureSmoothing, fleetFailureSmoothing = 0.15, 0.005
	failureRateWindowMs                           = 5000.0
)

// The intervals between calls of DueHealthChecks.
const (
	idleCheckInterval      = time.Second
	busyCheckInterval      = 100 * time.Millisecond // while attempts are in flight and may become overdue
	unhealthyCheckInterval = 50 * time.Millisecond  // while a server is unhealthy and has to be checked
)

// tokenBucket is a token bucket for rate limiting.
type tokenBucket struct {
	rate       float64 // tokens per second
	burst      float64 // capacity in tokens
	tokens     float64
	refilledAt time.Duration
}

func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*b.rate, b.burst)
	b.refilledAt = now
}

// serverRank returns the server's rank for a request; 0 is the best. Servers that do not hold the
// model rank below all that do.
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

// pendingTimeout returns how long, in milliseconds, an UnhealthyPending server waits for the result
// of a health check before the request may be sent to it. If the failure rate of the server is not
// tolerable, a non-idempotent request waits for the result without a limit.
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

// holdsModel reports whether the server holds the model. A server that lists no models is assumed to
// hold all, and an empty name matches every server.
func (s *server) holdsModel(name string) bool {
	models := s.instance.Models
	return len(models) == 0 || name == "" ||
		slices.ContainsFunc(models, func(m registry.Model) bool { return m.Name == name })
}

// updateFailureRate updates the failure rates of a server and of all servers with the outcome of an
// attempt.
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

// failureRateTolerable reports whether the server's failure rate is within the limit that
// tolerableFailureRate and fleetFailureFactor set.
func (p *Picker) failureRateTolerable(s *server) bool {
	return s.failureRate < tolerableFailureRate+fleetFailureFactor*p.failureRate
}

// markUnhealthy records a failure and ejects the server. Failures while the server is ejected do not
// eject it again. An ejection makes later ones longer only if the server timed out or its failure
// rate is not tolerable.
func (p *Picker) markUnhealthy(now time.Duration, s *server, timedOut bool) {
	p.updateFailureRate(now, s, true)
	if s.RecordFailure(timedOut, millis(now)) && (timedOut || !p.failureRateTolerable(s)) {
		s.RecordEjection()
	}
}

// allowChecks lets the Unhealthy servers of a service be checked once minEjectionMs have passed,
// however long they are ejected for. It is called when the service's servers have changed or a
// connect failed.
func (p *Picker) allowChecks(now time.Duration, svc *service) {
	for _, s := range svc.servers {
		s.BeginValidation(minEjectionMs, millis(now))
	}
}

// DueHealthChecks returns the instances to check now. For each, the caller sends a GET to its
// service's health path and passes the result to HealthCheckDone. No request waits for a check.
func (p *Picker) DueHealthChecks(now time.Duration) (due []*registry.Instance) {
	p.checkBudget.refill(now)
	for _, svc := range p.services {
		for _, s := range svc.servers {
			p.detectUnresponsive(now, s)
			if s.State() <= policy.Unknown && !s.checkInFlight {
				continue // the usual case: the server is healthy
			}
			p.endExpiredEjection(now, s)
			p.abandonCheck(now, s)
			if p.startCheck(now, s) {
				due = append(due, s.instance)
			}
		}
	}
	return due
}

// detectUnresponsive makes a server UnhealthyPending, so that it is checked, if its oldest
// unanswered attempt is overdue and it has answered nothing since that was sent.
func (p *Picker) detectUnresponsive(now time.Duration, s *server) {
	if len(s.attempts) == 0 || s.State() > policy.Unknown {
		return
	}
	for _, a := range s.attempts {
		if a.responded {
			continue
		}
		limit := max(
			duration(unresponsiveFactor*millis(a.estimate+s.service.latency.FirstTokenError())),
			minUnresponsiveTime)
		if now-a.sentAt > limit && s.lastResponseAt < a.sentAt {
			s.Transition(policy.UnhealthyPending, millis(now))
		}
		return
	}
}

// endExpiredEjection makes an Unhealthy server UnhealthyPending once its ejection time has passed.
// The time is the shortest one if the server did not time out and its failure rate is tolerable.
func (p *Picker) endExpiredEjection(now time.Duration, s *server) {
	ejectionMs := s.EjectionTime(baseEjectionMs, minEjectionMs)
	if !s.TimedOut() && p.failureRateTolerable(s) {
		ejectionMs = minEjectionMs
	}
	s.BeginValidation(ejectionMs, millis(now))
}

// abandonCheck abandons the server's health check if that has had no result for checkTimeout.
func (p *Picker) abandonCheck(now time.Duration, s *server) {
	if s.checkInFlight && now-s.checkStartedAt > checkTimeout {
		s.checkInFlight = false
		p.checksInFlight--
	}
}

// startCheck starts the health check of a server if it needs one and the limits allow it. It reports
// whether it did.
func (p *Picker) startCheck(now time.Duration, s *server) bool {
	if s.State() != policy.UnhealthyPending || s.checkInFlight ||
		p.checksInFlight >= maxChecksInFlight || p.checkBudget.tokens < 1 {
		return false
	}
	p.checkBudget.tokens--
	p.checksInFlight++
	s.checkInFlight, s.checkStartedAt = true, now
	return true
}

// HealthCheckDone records the result of a health check. The load is the one that the response
// reported, or nil. Responses to requests since the check started take precedence over its result.
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

// HealthCheckInterval returns after how long DueHealthChecks should be called again.
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
