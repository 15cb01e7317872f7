package policy

import (
	"math"
	"slices"
)

// This file holds the guards of the four rules.

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasCapacity, whose credit every attempt to a cold server is charged in send. What the site has
// ejected gets trials only.
func (b *Balancer) maySend(r *request, s *server, trial bool) bool {
	if !s.ready || b.effectiveShare(s) <= 0 && !trial || r.finished || r.inFlight > 0 || b.now >= r.deadline ||
		len(r.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.server == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	c := &b.settings.Classes[r.class]
	if r.maybeExecuted == 0 || c.Idempotency == Idempotent {
		return true
	}
	guarded := c.DedupScope == DedupEverywhere || c.DedupScope == DedupWithinZone && s.zone == r.executedOn.zone ||
		c.DedupScope == DedupWithinCell && s.cell == r.executedOn.cell
	return c.Idempotency == Deduplicated && guarded && b.now-r.executedAt <= c.DedupWindowMs-2*b.settings.RoundMs
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{request: r, server: s, index: len(r.attempts), soleInFlight: len(s.inFlight) == 0, sentAt: b.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.maybeExecuted == 0 {
		r.executedAt, r.executedOn = b.now, s
	}
	r.maybeExecuted++
	s.inFlight = append(s.inFlight, a)
	if b.lastSentAt > 0 {
		b.sendInterval = movingMean(b.sendInterval, b.now-b.lastSentAt, fleetMeanWeight)
	}
	s.lastSentAt, b.lastSentAt = b.now, b.now
	b.inFlight++
	if b.slowStartFactor(s) < 1 {
		s.slowStartCredit--
	}
	b.emit(Action{Kind: ActionSend, Request: r.id, Server: s.addr, DurationMs: r.deadline - b.now})
}

// accrueSlowStart keeps each cold server's credit, in requests: of each that comes first it may get its
// share by weight and ramp, also of what is refused, or the servers that could bear it would
// idle. Then the shares of all agents together stay in proportion to what servers can do,
// without any agreement. Who comes again earns nothing; where that isn't told, only what is
// admitted counts, as refusals could multiply what comes.
func (b *Balancer) accrueSlowStart() {
	b.currentCapacity() // and its peak: what is lost of late is no reason to push the cold ones
	all := b.peakCapacity
	if all == 0 {
		return
	}
	b.warmSendRate = b.warmSendRate*math.Exp((b.warmSendRateAt-b.now)/b.settings.Contract.SlowStartMs) + 1/all
	b.warmSendRateAt = b.now
	b.survey()
	earned := float64(len(b.hashRing)) / float64(max(len(b.aperture), 1)) // the others' part is theirs
	earned *= min(b.settings.Contract.CollapseLoadFactor/slowStartLoadMargin, 1)
	for _, o := range b.warmingUp {
		if k := b.slowStartFactor(o); k < 1 && o.inAperture {
			o.slowStartCredit = min(o.slowStartCredit+earned*k*o.weight*b.effectiveShare(o)*b.effectiveTraffic(o)/all, slowStartBurst)
		}
	}
}

// endUnserved is the guard of all final answers but served ones: a refusal where the
// class allows the claim that a retry is harmless, else a failure.
func (b *Balancer) endUnserved(r *request) {
	if r.finished {
		return
	}
	b.rememberUnserved(r)
	c := &b.settings.Classes[r.class]
	// Past the window a repeat of a guarded request would run again.
	harmless := r.maybeExecuted == 0 || c.Idempotency == Idempotent ||
		c.Idempotency == Deduplicated && c.DedupScope == DedupEverywhere && b.now-r.executedAt < c.DedupWindowMs
	b.finish(r)
	if harmless {
		b.emit(Action{Kind: ActionReject, Request: r.id, DurationMs: b.settings.Limits.MaxRetryAfterMs})
	} else {
		b.emit(Action{Kind: ActionFail, Request: r.id})
	}
}

// finish forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) finish(r *request) {
	r.finished = true
	if i := slices.Index(b.pending, r); i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.ended && b.settings.Limits.AllowCancel {
			b.emit(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

// retryElsewhere holds an unanswered request for another server where its class and time
// allow, and ends it otherwise. Further attempts are earned by served requests: where few
// are served they would only multiply the load.
func (b *Balancer) retryElsewhere(r *request, why Status) {
	c := &b.settings.Classes[r.class]
	able := r.maybeExecuted == 0 || c.Idempotency != NonIdempotent
	earned := b.retryTokens >= 1 || why == NotSent // which reached no server, and costs none
	if !able || !earned || len(r.attempts) >= b.settings.Limits.MaxAttempts || b.now >= r.deadline {
		if why == Rejected || why == Timeout {
			b.recordGoodput(0) // errors and lost connections tell nothing of crowds
		}
		b.endUnserved(r)
		return
	}
	if why != NotSent {
		b.retryTokens--
	}
	b.pending = append(b.pending, r)
}
