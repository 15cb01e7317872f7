package policy

import "slices"

// onAttemptEnded takes the end of an attempt.
func (b *Balancer) onAttemptEnded(event *Event) {
	req := b.requests[event.Request]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) ||
		req.attempts[event.Attempt].ended {
		return
	}
	sent := req.attempts[event.Attempt]
	sent.ended = true
	req.inFlight--
	b.inFlight--
	if i := slices.Index(sent.server.inFlight, sent); i >= 0 {
		sent.server.inFlight = slices.Delete(sent.server.inFlight, i, i+1)
	}
	if event.Status.NotExecuted() {
		req.maybeExecuted--
	}
	req.reachedServer = req.reachedServer || event.Status != ConnectFailed && event.Status != NotSent
	b.observeAttempt(sent, event)
	if req.finished || event.Final || event.Status == OK {
		b.finish(req)
	} else {
		b.retryElsewhere(req, event.Status)
	}
}

// onStreamStarted takes the start of a streaming response, which belongs to the client from now on.
func (b *Balancer) onStreamStarted(event *Event) {
	req := b.requests[event.Request]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) {
		return
	}
	req.finished = true
	req.attempts[event.Attempt].server.lastResponseAt = b.now
}

// onClientGone takes the cancellation of a request by its client.
func (b *Balancer) onClientGone(event *Event) {
	req := b.requests[event.Request]
	if req == nil || req.finished {
		return
	}
	b.rememberUnserved(req)
	if req.inFlight > 0 && b.now > req.targetAt { // a client that leaves sooner is no sign of overload
		b.admission.recordEnd(0)
	}
	b.finish(req)
}

// observeAttempt takes what the end of an attempt says about its server.
func (b *Balancer) observeAttempt(sent *attempt, event *Event) {
	srv := sent.server
	switch event.Status {
	case OK:
		b.recordFailureRate(srv, 0)
		b.onServed(sent, event)
	case Error, Reset:
		b.recordFailureRate(srv, 1)
		srv.lastResponseAt = b.now
		b.eject(srv, false)
	case ConnectFailed:
		b.onConnectFailed(sent, event.LatencyMs)
	case Timeout:
		b.onTimeout(sent, event.LatencyMs)
	case Rejected:
		srv.lastResponseAt = b.now
		b.reduceConcurrency(srv, rejectionDecrease, 1)
		b.pause(srv)
	}
}

// onConnectFailed takes a failed connect. A server that refuses it is there, one that lets it time out is
// not.
func (b *Balancer) onConnectFailed(sent *attempt, tookMs float64) {
	srv := sent.server
	b.recordFailureRate(srv, 1)
	srv.timedOutFrom = sent.sentAt
	b.eject(srv, tookMs >= b.settings.Limits.ConnectTimeoutMs)
	if srv.unreachableSince == 0 {
		srv.unreachableSince = b.now
	}
}

// onTimeout takes a time-out. A server that was given less time than responses take is not at fault: clients
// that retry shortly before their end would eject entire zones. One that answered others meanwhile is not at
// fault for a costly request, and counts as slow.
func (b *Balancer) onTimeout(sent *attempt, tookMs float64) {
	srv, req := sent.server, sent.request
	expected := b.latency.expected[req.class]
	if tookMs < expected {
		return
	}
	b.pause(srv)
	if srv.lastResponseAt > sent.sentAt {
		srv.recordLatency(b.relativeLatency(req, tookMs))
		return
	}
	if tookMs >= min(timeoutLatencyFactor*expected, b.settings.Classes[req.class].LatencyTargetMs) {
		srv.timedOutFrom = sent.sentAt
		b.eject(srv, true)
	}
}

// onServed takes a served attempt.
func (b *Balancer) onServed(sent *attempt, event *Event) {
	srv, req, latencyMs := sent.server, sent.request, event.LatencyMs
	onTime := b.now <= req.targetAt
	b.retries.earn()
	b.onResponse(srv)
	srv.meanLatencyMs = movingMean(srv.meanLatencyMs, latencyMs, serverMeanWeight)
	b.latency.recordClass(req.class, latencyMs, b.settings.Classes[req.class].LatencyTargetMs)
	b.recordServed(sent, onTime)
	relative := b.relativeLatency(req, latencyMs)
	b.latency.record(relative, sent.soleInFlight, b.settings.AgentCount)
	srv.recordLatency(relative)
	if b.reportsOverload(srv, event.LoadReport) || !onTime {
		b.pause(srv)
	} else {
		srv.overloadStreak = max(srv.overloadStreak-1, 0)
	}
	counts, changed := srv.RecordSuccess(sent.sentAt, b.now)
	if !counts {
		return
	}
	if changed {
		b.generation++
	}
	b.adjustConcurrency(srv, b.overloadLatency(srv), latencyMs)
}

// recordServed takes a served request into the measurements of what is answered in time.
func (b *Balancer) recordServed(sent *attempt, onTime bool) {
	earned := 0.0
	if onTime {
		b.adjustLocalWeight(sent.server, false)
		b.mix.countOnTime(sent.request.class)
		earned = 1
	}
	if !sent.request.finished {
		b.admission.recordEnd(earned)
	}
}

// onResponse notes that a server answered. One that no connect reached for long may be a new process that
// warms up and is not yet listed as such: it is taken for one that started now. Quick responses refute
// nothing: such a server is quick while it has little to do.
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
