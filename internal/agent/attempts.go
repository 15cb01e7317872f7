package agent

import (
	"context"
	"log/slog"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// attempt is one attempt to get a request served by a backend.
type attempt struct {
	backend   *backend
	startedMs float64            // listed start of the backend's process when the attempt was sent
	cancel    context.CancelFunc // nil if the attempt was not sent
	ended     bool
}

// violation is a breach of the contract that the loop prevents, whatever the policy decides. It consists of the
// number of the contract's rule and a description; both are labels of a metric.
type violation struct {
	rule        int
	description string
}

// The rules of the contract that the loop enforces: one answer in time, no harmful retry, no attempt to a
// draining backend.
const (
	ruleOneAnswer = iota + 1
	ruleRetries
	ruleDrains
)

var (
	violationBackstop         = &violation{ruleOneAnswer, "ended by the backstop"}
	violationRequestFinished  = &violation{ruleOneAnswer, "attempt for a request that is over"}
	violationNoTimeLeft       = &violation{ruleOneAnswer, "attempt without time"}
	violationHarmfulRejection = &violation{ruleRetries, "refusal after an attempt that may have run"}
	violationParallelAttempt  = &violation{ruleRetries, "second attempt while one is out"}
	violationTooManyAttempts  = &violation{ruleRetries, "more attempts than allowed"}
	violationUnsafeRetry      = &violation{ruleRetries, "repeat of an unsafe request that may have run"}
	violationUnlistedBackend  = &violation{ruleDrains, "attempt to a backend that is not listed"}
	violationDrainingBackend  = &violation{ruleDrains, "attempt to a backend that drains or is gone"}
)

// startAttempt carries out a send action. An attempt that would violate the contract ends at once as NotSent.
func (l *eventLoop) startAttempt(action *policy.Action) {
	request := l.requests[action.Request]
	if request == nil {
		l.reportViolation(violationRequestFinished, nil) // the request is already dropped
		return
	}
	index, backend := len(request.attempts), l.backends.byAddr[action.Server]
	newAttempt := &attempt{backend: backend}
	request.attempts = append(request.attempts, newAttempt)
	now, deadline := time.Now(), request.client.deadline.Add(-backstopMargin)
	if action.DurationMs != 0 {
		deadline = earliest(deadline, now.Add(milliseconds(action.DurationMs)))
	}
	if violation := l.checkAttempt(request, backend, now, deadline); violation != nil {
		l.reportViolation(violation, request)
		newAttempt.ended = true
		l.pendingEvents = append(l.pendingEvents, policy.Event{Kind: policy.EventAttemptEnded, Request: request.id,
			Attempt: index, Server: action.Server, Status: policy.NotSent, Final: request.answered})
		return
	}
	if age := l.now() - backend.startedMs; backend.startedMs > 0 && age < l.config.Settings.Contract.SlowStartMs {
		l.observer.SentToWarmingUp()
	}
	newAttempt.startedMs = backend.startedMs
	request.inFlight++
	request.maybeExecuted++
	backend.inFlight++
	ctx, cancel := context.WithCancel(l.ctx)
	newAttempt.cancel = cancel
	addr := backend.addr
	go func() {
		result := l.sender.send(ctx, backend, addr, request.client, now, deadline)
		cancel()
		l.post(func() { l.onAttemptEnded(request, index, &result) })
	}()
}

// checkAttempt returns the violation that an attempt would cause, or nil. The attempt is already in
// request.attempts.
func (l *eventLoop) checkAttempt(request *pendingRequest, backend *backend, now, deadline time.Time) *violation {
	settings := &l.config.Settings
	switch {
	case request.answered:
		return violationRequestFinished
	case backend == nil || backend.addr == "":
		return violationUnlistedBackend
	case backend.unavailable.Load():
		return violationDrainingBackend
	case request.inFlight > 0:
		return violationParallelAttempt
	case len(request.attempts) > settings.Limits.MaxAttempts:
		return violationTooManyAttempts
	case request.maybeExecuted > 0 && settings.Classes[request.client.class].Idempotency == policy.NonIdempotent:
		return violationUnsafeRetry
	case !deadline.After(now):
		return violationNoTimeLeft
	}
	return nil
}

// reportViolation logs and counts a prevented violation. request may be nil.
func (l *eventLoop) reportViolation(v *violation, request *pendingRequest) {
	l.counters.violations++
	l.observer.ViolationPrevented(v.rule, v.description)
	id := ""
	if request != nil {
		id = request.client.id
	}
	l.log(slog.LevelError, "contract violation prevented: "+v.description, "rule", v.rule, "request", id)
}

// cancelAttempt cancels an attempt that is still in flight.
func (l *eventLoop) cancelAttempt(action *policy.Action) {
	request := l.requests[action.Request]
	if request == nil || action.Attempt < 0 || action.Attempt >= len(request.attempts) {
		return
	}
	if attempt := request.attempts[action.Attempt]; !attempt.ended && attempt.cancel != nil {
		attempt.cancel()
	}
}

// onAttemptEnded handles the end of an attempt.
func (l *eventLoop) onAttemptEnded(request *pendingRequest, index int, result *attemptResult) {
	attempt := request.attempts[index]
	backend := attempt.backend
	attempt.ended = true
	backend.inFlight--
	request.inFlight--
	latency := milliseconds(result.latencyMs)
	l.observer.AttemptEnded(result.status, latency)
	if l.coordinator != nil {
		l.coordinator.AttemptEnded(Observation{ID: backend.id, Zone: l.targets[backend.id].Zone,
			StartedMs: attempt.startedMs, Class: request.client.class, Status: result.status, Latency: latency})
	}
	if result.status.NotExecuted() {
		request.maybeExecuted--
	}
	l.respondWith(request, result)
	l.handle(&policy.Event{Kind: policy.EventAttemptEnded, Request: request.id, Attempt: index,
		Server: backend.policyAddr, Status: result.status, LatencyMs: result.latencyMs, Final: request.answered,
		LoadReport: result.report})
	l.forget(request)
	l.backends.forget(backend)
}

// respondWith answers a request with the result of an attempt if that result is final.
func (l *eventLoop) respondWith(request *pendingRequest, result *attemptResult) {
	if !request.answered && result.status == policy.OK {
		l.respond(request, response{outcome: served, header: result.header, body: result.body,
			reservedBytes: result.reservedBytes})
		return
	}
	l.memoryBudget.Release(result.reservedBytes)
	if !request.answered && result.status == policy.Cancelled && result.statusCode != 0 {
		// The backend found the request invalid, and so would any other.
		l.respond(request, response{outcome: failed, status: result.statusCode})
	}
}
