package agent

import (
	"log/slog"
	"net/http"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

const (
	// policyMargin is subtracted from the time that the policy has for a request. It covers the time from the end
	// of the last attempt until the response reaches the client.
	policyMargin = 8 * time.Millisecond
	// backstopMargin is how long before the client's deadline the backstop answers. The policy should have
	// answered well before that.
	backstopMargin = 4 * time.Millisecond
	// policyMarginDivisor and backstopMarginDivisor reduce the margins of a request with little time: each margin
	// is at most the remaining time divided by its divisor.
	policyMarginDivisor, backstopMarginDivisor = 8, 16
)

// outcome is the result of a client's request.
type outcome uint8

const (
	served outcome = iota
	rejected
	failed
)

// String returns the outcome's name in metrics.
func (o outcome) String() string { return [...]string{"served", "refused", "failed"}[o] }

// response is the one final response to a client's request.
type response struct {
	outcome       outcome
	retryAfterMs  float64     // if rejected: time before a retry; 0 for no Retry-After
	status        int         // if failed: HTTP status; 0 stands for 502
	header        http.Header // if served
	body          []byte      // if served
	reservedBytes int64       // bytes of the memory budget, released once the response is written
}

// pendingRequest is a client's request in the loop. It is kept until it is answered and no attempt is in flight.
type pendingRequest struct {
	id            policy.RequestID
	client        *clientRequest
	answered      bool
	attempts      []*attempt
	inFlight      int         // attempts in flight
	maybeExecuted int         // attempts that are in flight or may have been executed
	backstop      *time.Timer // nil if the request was answered at once
}

// accept passes a client's request to the policy. It rejects the request if its deadline has passed or if too
// many requests are open.
func (l *eventLoop) accept(client *clientRequest) *pendingRequest {
	l.counters.accepted++
	l.lastRequestID++
	request := &pendingRequest{id: l.lastRequestID, client: client}
	l.openRequests++
	if l.requestsByClientID[client.id] != nil {
		// The ID is that of another client's request, or of an earlier one of this client that may still be
		// executed. That request is not affected.
		l.respond(request, response{outcome: failed, status: http.StatusConflict})
		return request
	}
	remaining := time.Until(client.deadline)
	limits := &l.config.Settings.Limits
	if remaining <= 0 || limits.MaxOpenRequests > 0 && l.openRequests > limits.MaxOpenRequests {
		l.reject(request, limits.MaxRetryAfterMs)
		return request
	}
	l.requests[request.id], l.requestsByClientID[client.id] = request, request
	request.backstop = time.AfterFunc(remaining-min(backstopMargin, remaining/backstopMarginDivisor), func() {
		l.post(func() { l.onBackstop(request) })
	})
	remaining -= min(policyMargin, remaining/policyMarginDivisor)
	l.handle(&policy.Event{
		Kind:        policy.EventRequest,
		Request:     request.id,
		Class:       client.class,
		Tenant:      client.tenant,
		Key:         client.key,
		RemainingMs: inMilliseconds(remaining),
		WorkHintMs:  client.workHintMs,
		HasWorkHint: client.hasWorkHint,
		IsRetry:     client.isRetry,
	})
	return request
}

// onBackstop answers a request that the policy should have answered before. A defect or a stall must be the
// cause, so it is logged and counted.
func (l *eventLoop) onBackstop(request *pendingRequest) {
	if request.answered {
		return
	}
	l.counters.backstops++
	l.observer.ViolationPrevented(violationBackstop.rule, violationBackstop.description)
	l.log(slog.LevelWarn, "backstop ended a request", "request", request.client.id,
		"attempts", len(request.attempts), "in_flight", request.inFlight,
		"late_ms", inMilliseconds(time.Since(request.client.deadline.Add(-backstopMargin))))
	l.respond(request, response{outcome: failed, status: http.StatusGatewayTimeout})
	l.abandon(request)
}

// onClientGone ends a request whose client has closed its connection.
func (l *eventLoop) onClientGone(request *pendingRequest) {
	if request.answered {
		select {
		case unread := <-request.client.response:
			l.memoryBudget.Release(unread.reservedBytes)
		default:
		}
		return
	}
	l.counters.clientsGone++
	l.finish(request)
	l.abandon(request)
}

// abandon cancels the attempts of a request that was not ended by the policy, and notifies the policy.
func (l *eventLoop) abandon(request *pendingRequest) {
	for _, attempt := range request.attempts {
		if !attempt.ended && attempt.cancel != nil {
			attempt.cancel()
		}
	}
	l.handle(&policy.Event{Kind: policy.EventClientGone, Request: request.id})
}

// reject tells the client that a retry is harmless. If an attempt may have been executed, so that a retry could
// do harm, the request fails instead.
func (l *eventLoop) reject(request *pendingRequest, retryAfterMs float64) {
	class := &l.config.Settings.Classes[request.client.class]
	deduplicated := class.Idempotency == policy.Deduplicated && class.DedupScope == policy.DedupEverywhere
	if request.maybeExecuted > 0 && class.Idempotency != policy.Idempotent && !deduplicated {
		l.reportViolation(violationHarmfulRejection, request)
		l.respond(request, response{outcome: failed})
		return
	}
	l.respond(request, response{outcome: rejected, retryAfterMs: retryAfterMs})
}

// respond sends the final response. It does nothing if the request is already answered.
func (l *eventLoop) respond(request *pendingRequest, resp response) {
	if request.answered {
		return
	}
	switch resp.outcome {
	case served:
		l.counters.served++
	case rejected:
		l.counters.rejected++
	case failed:
		l.counters.failed++
	}
	client := request.client
	remaining := time.Until(client.deadline)
	l.observer.RequestAnswered(l.config.Settings.Classes[client.class].Name, resp.outcome.String(),
		client.timeout-remaining, remaining, len(request.attempts))
	client.response <- resp
	l.finish(request)
}

// finish marks a request as answered.
func (l *eventLoop) finish(request *pendingRequest) {
	if !request.answered {
		request.answered = true
		l.openRequests--
	}
	if request.backstop != nil {
		request.backstop.Stop()
	}
	l.forget(request)
}

// forget drops a request that is answered and has no attempt in flight.
func (l *eventLoop) forget(request *pendingRequest) {
	if request.answered && request.inFlight == 0 && l.requests[request.id] == request {
		delete(l.requests, request.id)
		delete(l.requestsByClientID, request.client.id)
	}
}
