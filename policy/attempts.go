package policy

import "slices"

// attempt is one send of a request.
type attempt struct {
	request      *request
	server       *server
	index        int // among the request's attempts
	sentAt       float64
	soleInFlight bool // no other attempt of this agent was in flight on its server
	ended        bool
}

// request is one request of a client, from its arrival until it is answered and no attempt is in flight.
type request struct {
	id     RequestID
	class  int
	tenant int
	key    uint64
	// hashKey is the key, or one of its parts.
	hashKey uint64

	firstArrivedAt float64 // when the client's first attempt arrived, as far as known
	arrivedAt      float64
	clientRetries  int     // the client's attempts before
	admissionDraw  float64 // in [0, 1); rejected while it is under the part that is rejected
	targetAt       float64 // end of the latency target
	deadline       float64 // less a margin

	attempts      []*attempt
	inFlight      int // attempts
	maybeExecuted int // attempts that may have been executed; the first of them:
	executedAt    float64
	executedOn    *server
	reachedServer bool // by an attempt
	finished      bool // answered, or a started stream belongs to the client

	preferred   [affinityServers]*server // first in the key's order, as of
	preferredAt uint64                   // this generation
	tierWeight  float64                  // of the tier at its last pick
	value       float64                  // see valueOf
}

// maySend is the guard of all attempts: the contract's rules on retries and drained servers, and the
// deployment's limits. Its rule on slow start is in hasCapacity, whose credit send charges. What an override
// ejects is sent trials alone.
func (b *Balancer) maySend(req *request, srv *server, trial bool) bool {
	if !srv.ready || b.effectiveShare(srv) <= 0 && !trial || req.finished || req.inFlight > 0 ||
		b.now >= req.deadline ||
		len(req.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	for _, earlier := range req.attempts {
		if earlier.server == srv && len(b.servers) > len(req.attempts) {
			return false // retries go to other servers
		}
	}
	return b.mayRepeatOn(req, srv)
}

// mayRepeatOn reports whether a request may be executed on the server though it may have been executed
// before.
func (b *Balancer) mayRepeatOn(req *request, srv *server) bool {
	class := &b.settings.Classes[req.class]
	if req.maybeExecuted == 0 || class.Idempotency == Idempotent {
		return true
	}
	deduplicated := class.DedupScope == DedupEverywhere ||
		class.DedupScope == DedupWithinZone && srv.zone == req.executedOn.zone ||
		class.DedupScope == DedupWithinCell && srv.cell == req.executedOn.cell
	return class.Idempotency == Deduplicated && deduplicated &&
		b.now-req.executedAt <= class.DedupWindowMs-2*b.settings.RoundMs
}

// send makes an attempt.
func (b *Balancer) send(req *request, srv *server) {
	sent := &attempt{request: req, server: srv, index: len(req.attempts),
		soleInFlight: len(srv.inFlight) == 0, sentAt: b.now}
	req.attempts = append(req.attempts, sent)
	req.inFlight++
	if req.maybeExecuted == 0 {
		req.executedAt, req.executedOn = b.now, srv
	}
	req.maybeExecuted++
	srv.inFlight = append(srv.inFlight, sent)
	if b.sending.lastAt > 0 {
		b.sending.interval = movingMean(b.sending.interval, b.now-b.sending.lastAt, fleetMeanWeight)
	}
	srv.lastSentAt, b.sending.lastAt = b.now, b.now
	b.inFlight++
	if b.slowStartFactor(srv) < 1 {
		srv.slowStartCredit--
	}
	b.emit(Action{Kind: ActionSend, Request: req.id, Server: srv.addr, DurationMs: req.deadline - b.now})
}

// endUnserved is the guard of all final responses but served ones: a rejection where the class allows the
// promise that a retry is harmless, a failure otherwise.
func (b *Balancer) endUnserved(req *request) {
	if req.finished {
		return
	}
	b.rememberUnserved(req)
	class := &b.settings.Classes[req.class]
	// Past the window a repeat of a deduplicated request would be executed again.
	harmless := req.maybeExecuted == 0 || class.Idempotency == Idempotent ||
		class.Idempotency == Deduplicated && class.DedupScope == DedupEverywhere &&
			b.now-req.executedAt < class.DedupWindowMs
	b.finish(req)
	if harmless {
		b.emit(Action{Kind: ActionReject, Request: req.id, DurationMs: b.settings.Limits.MaxRetryAfterMs})
	} else {
		b.emit(Action{Kind: ActionFail, Request: req.id})
	}
}

// finish cancels the attempts of a request that is over, and forgets it once none is in flight.
func (b *Balancer) finish(req *request) {
	req.finished = true
	if i := slices.Index(b.pending, req); i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
	}
	for _, sent := range req.attempts {
		if !sent.ended && b.settings.Limits.AllowCancel {
			b.emit(Action{Kind: ActionCancel, Request: req.id, Attempt: sent.index})
		}
	}
	if req.inFlight == 0 {
		delete(b.requests, req.id)
	}
}
