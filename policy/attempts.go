package policy

import "slices"

// attempt is one attempt to serve a request, on one server.
type attempt struct {
	request      *request
	server       *server
	index        int // index in the request's attempts
	sentAt       float64
	soleInFlight bool // when sent, the only attempt of this agent in flight on its server
	ended        bool
}

// request is one request of a client, from its arrival until it is answered and no attempt is in flight.
type request struct {
	id     RequestID
	class  int
	tenant int
	key    uint64
	// hashKey determines the order of servers. It is the key, or one of its parts if the key is popular; see
	// hashKeyFor.
	hashKey uint64

	firstArrivedAt float64 // arrival time of the client's first attempt, as far as known
	arrivedAt      float64
	clientRetries  int     // number of earlier attempts by the client, as far as known
	admissionDraw  float64 // random number in [0, 1); below the rejected fraction the request is rejected
	targetAt       float64 // end of the latency target, at most deadline
	deadline       float64 // the client's deadline less a margin

	attempts           []*attempt
	inFlight           int     // number of attempts in flight
	possibleExecutions int     // number of attempts that may have been executed
	executedAt         float64 // send time of the first of them
	executedOn         *server // server of the first of them
	reachedServer      bool    // whether an attempt reached a server
	finished           bool    // answered, given up by the client, or its stream has started

	preferredServers    [affinityServers]*server // first servers in the key's order at its last pick
	preferredGeneration uint64                   // Balancer.generation at that pick
	tierWeight          float64                  // weight of the tier at its last pick
	value               float64                  // see valueOf
}

// maySend reports whether the request may be sent to the server by the contract's rules on retries and
// draining servers and by the deployment's limits. The rule on slow start is checked in hasCapacity; send
// charges the credit. A server that is ejected by an override only gets trial requests.
func (b *Balancer) maySend(req *request, srv *server, trial bool) bool {
	if !srv.ready || b.effectiveShare(srv) <= 0 && !trial || req.finished || req.inFlight > 0 ||
		b.now >= req.deadline ||
		len(req.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	for _, att := range req.attempts {
		if att.server == srv && len(b.servers) > len(req.attempts) {
			return false // retries go to other servers
		}
	}
	return b.mayRepeatOn(req, srv)
}

// mayRepeatOn reports whether a request may be executed on the server even though earlier attempts may have
// been executed.
func (b *Balancer) mayRepeatOn(req *request, srv *server) bool {
	class := &b.settings.Classes[req.class]
	if req.possibleExecutions == 0 || class.Idempotency == Idempotent {
		return true
	}
	inScope := class.DedupScope == DedupEverywhere ||
		class.DedupScope == DedupWithinZone && srv.zone == req.executedOn.zone ||
		class.DedupScope == DedupWithinCell && srv.cell == req.executedOn.cell
	return class.Idempotency == Deduplicated && inScope &&
		b.now-req.executedAt <= class.DedupWindowMs-2*b.settings.RoundMs
}

// send sends the request to the server in a new attempt.
func (b *Balancer) send(req *request, srv *server) {
	att := &attempt{request: req, server: srv, index: len(req.attempts),
		soleInFlight: len(srv.inFlight) == 0, sentAt: b.now}
	req.attempts = append(req.attempts, att)
	req.inFlight++
	if req.possibleExecutions == 0 {
		req.executedAt, req.executedOn = b.now, srv
	}
	req.possibleExecutions++
	srv.inFlight = append(srv.inFlight, att)
	if b.sending.lastAt > 0 {
		b.sending.meanIntervalMs = movingMean(b.sending.meanIntervalMs, b.now-b.sending.lastAt,
			fleetMeanWeight)
	}
	srv.lastSentAt, b.sending.lastAt = b.now, b.now
	b.inFlight++
	if b.slowStartFactor(srv) < 1 {
		srv.slowStartCredit--
	}
	b.emit(Action{Kind: ActionSend, Request: req.id, Server: srv.addr, DurationMs: req.deadline - b.now})
}

// endUnserved ends a request that no server has served: with a rejection, which tells the client that a
// retry is harmless, if the request's class guarantees that, and with a failure otherwise.
func (b *Balancer) endUnserved(req *request) {
	if req.finished {
		return
	}
	b.rememberUnserved(req)
	class := &b.settings.Classes[req.class]
	// After the window a repeat of a deduplicated request would be executed again.
	harmless := req.possibleExecutions == 0 || class.Idempotency == Idempotent ||
		class.Idempotency == Deduplicated && class.DedupScope == DedupEverywhere &&
			b.now-req.executedAt < class.DedupWindowMs
	b.finish(req)
	if harmless {
		b.emit(Action{Kind: ActionReject, Request: req.id, DurationMs: b.settings.Limits.MaxRetryAfterMs})
	} else {
		b.emit(Action{Kind: ActionFail, Request: req.id})
	}
}

// finish marks a request as finished, cancels its attempts, and forgets it if none is in flight.
func (b *Balancer) finish(req *request) {
	req.finished = true
	if i := slices.Index(b.pending, req); i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
	}
	for _, att := range req.attempts {
		if !att.ended && b.settings.Limits.AllowCancel {
			b.emit(Action{Kind: ActionCancel, Request: req.id, Attempt: att.index})
		}
	}
	if req.inFlight == 0 {
		delete(b.requests, req.id)
	}
}
