package policy

import "slices"

// onAttemptEnded handles the end of an attempt.
func (b *Balancer) onAttemptEnded(event *Event) {
	req := b.requests[event.Request]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) ||
		req.attempts[event.Attempt].ended {
		return
	}
	att := req.attempts[event.Attempt]
	att.ended = true
	req.inFlight--
	b.inFlight--
	if i := slices.Index(att.server.inFlight, att); i >= 0 {
		att.server.inFlight = slices.Delete(att.server.inFlight, i, i+1)
	}
	if event.Status.NotExecuted() {
		req.possibleExecutions--
	}
	req.reachedServer = req.reachedServer || event.Status != ConnectFailed && event.Status != NotSent
	b.observeAttempt(att, event)
	if req.finished || event.Final || event.Status == OK {
		b.finish(req)
	} else {
		b.retryElsewhere(req, event.Status)
	}
}

// onStreamStarted handles the start of a streaming response. From then on the client reads the stream, and
// the request is finished for this agent.
func (b *Balancer) onStreamStarted(event *Event) {
	req := b.requests[event.Request]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) {
		return
	}
	req.finished = true
	req.attempts[event.Attempt].server.lastResponseAt = b.now
}

// onClientGone handles the cancellation of a request by its client.
func (b *Balancer) onClientGone(event *Event) {
	req := b.requests[event.Request]
	if req == nil || req.finished {
		return
	}
	b.rememberUnserved(req)
	if req.inFlight > 0 && b.now > req.targetAt { // a client that leaves earlier is no sign of overload
		b.admission.recordEnd(0)
	}
	b.finish(req)
}

// observeAttempt updates the state of the server from the end of an attempt on it.
func (b *Balancer) observeAttempt(att *attempt, event *Event) {
	srv := att.server
	switch event.Status {
	case OK:
		b.recordFailureRate(srv, 0)
		b.onServed(att, event)
	case Error, Reset:
		b.recordFailureRate(srv, 1)
		srv.lastResponseAt = b.now
		b.eject(srv, false)
	case ConnectFailed:
		b.onConnectFailed(att, event.LatencyMs)
	case Timeout:
		b.onTimeout(att, event.LatencyMs)
	case Rejected:
		srv.lastResponseAt = b.now
		b.reduceConcurrency(srv, rejectionDecrease, 1)
		b.pause(srv)
	}
}

// onConnectFailed handles a failed connect. A server that refuses a connection is reachable; it only counts
// as timed out if the connect took the entire timeout.
func (b *Balancer) onConnectFailed(att *attempt, durationMs float64) {
	srv := att.server
	b.recordFailureRate(srv, 1)
	srv.timedOutSentAt = att.sentAt
	b.eject(srv, durationMs >= b.settings.Limits.ConnectTimeoutMs)
	if srv.unreachableSince == 0 {
		srv.unreachableSince = b.now
	}
}

// onTimeout handles a timeout. A timeout shorter than the expected latency says nothing about the server:
// otherwise clients that retry shortly before their deadline would eject entire zones. A server that has
// answered other requests in the meantime is not ejected for one costly request, but counts as slow.
func (b *Balancer) onTimeout(att *attempt, durationMs float64) {
	srv, req := att.server, att.request
	expectedMs := b.latency.expectedMs[req.class]
	if durationMs < expectedMs {
		return
	}
	b.pause(srv)
	if srv.lastResponseAt > att.sentAt {
		srv.recordLatency(b.relativeLatency(req, durationMs))
		return
	}
	if durationMs >= min(timeoutLatencyFactor*expectedMs, b.settings.Classes[req.class].LatencyTargetMs) {
		srv.timedOutSentAt = att.sentAt
		b.eject(srv, true)
	}
}

// onServed updates the measurements after a served attempt.
func (b *Balancer) onServed(att *attempt, event *Event) {
	srv, req, latencyMs := att.server, att.request, event.LatencyMs
	onTime := b.now <= req.targetAt
	b.retries.earn()
	b.onResponse(srv)
	srv.meanLatencyMs = movingMean(srv.meanLatencyMs, latencyMs, serverMeanWeight)
	b.latency.recordClass(req.class, latencyMs, b.settings.Classes[req.class].LatencyTargetMs)
	b.recordServed(att, onTime)
	relativeLatency := b.relativeLatency(req, latencyMs)
	b.latency.record(relativeLatency, att.soleInFlight, b.settings.AgentCount)
	srv.recordLatency(relativeLatency)
	if b.reportsOverload(srv, event.LoadReport) || !onTime {
		b.pause(srv)
	} else {
		srv.overloadStreak = max(srv.overloadStreak-1, 0)
	}
	counts, changed := srv.RecordSuccess(att.sentAt, b.now)
	if !counts {
		return
	}
	if changed {
		b.generation++
	}
	b.adjustConcurrency(srv, b.overloadLatency(srv), latencyMs)
}

// recordServed updates the measurements of answers in time after a served request.
func (b *Balancer) recordServed(att *attempt, onTime bool) {
	earned := 0.0
	if onTime {
		b.adjustLocalWeight(att.server, false)
		b.mix.countOnTime(att.request.class)
		earned = 1
	}
	if !att.request.finished {
		b.admission.recordEnd(earned)
	}
}

// onResponse records that a server answered. A server that was unreachable for long may be a new process
// that is not listed as such yet, so it is assumed to have started now. Quick responses do not disprove that:
// a server in slow start is quick while it has little to do.
func (b *Balancer) onResponse(srv *server) {
	if srv.unreachableSince > 0 && b.now-srv.unreachableSince > b.settings.Contract.CollapseAfterMs {
		srv.assumedStartAt, srv.concurrencyLimit, srv.slowStartCredit = b.now, restartConcurrency, 0
		b.generation++
	}
	srv.lastResponseAt, srv.unreachableSince = b.now, 0
	if srv.zoneSuspected {
		b.clearZoneSuspicion(srv.zone)
	}
}
