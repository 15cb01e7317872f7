package gateway

import (
	"context"
	"net/http"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

const (
	// maxConnectFailures is how many attempts of a request may end before the request was sent. They do not
	// count against the route's limit on attempts, as no server received the request.
	maxConnectFailures = 4
	// minAttemptTime is how much time must be left until the deadline for another attempt.
	minAttemptTime = 30 * time.Millisecond
)

// attemptHistory summarizes the attempts of one request so far.
type attemptHistory struct {
	sent            int  // attempts in which the request was sent to a server
	connectFailures int  // attempts that ended before the request was sent
	mayHaveExecuted bool // at least one server may have executed the request
}

// add records the outcome of an attempt that has not ended the request.
func (h *attemptHistory) add(o outcome) {
	switch o {
	case outcomeNotSent:
		h.connectFailures++
	case outcomeNotExecuted:
		h.sent++
	case outcomeUnknown:
		h.sent++
		h.mayHaveExecuted = true
	}
}

// forward sends a request to one server after the other until one has answered or no further attempt
// is allowed. It reports whether a server may have executed the request.
func (g *Gateway) forward(ctx context.Context, w http.ResponseWriter, r *request) bool {
	response := newClientResponse(w, r.lastEventID)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	g.mu.Lock()
	g.retryBudget.RecordRequest(g.now(), r.Service)
	g.mu.Unlock()
	var history attemptHistory
	for {
		decision, ok := g.pick(r)
		if !ok {
			g.finishUnanswered(response, r, &history, decision.RetryAfter, decision.Reason)
			return history.mayHaveExecuted
		}
		result := g.attempt(ctx, response, r, decision)
		r.TriedInstances = append(r.TriedInstances, decision.Instance.ID)
		switch result {
		case outcomeAnswered:
			return true
		case outcomeClientDisconnected:
			panic(http.ErrAbortHandler) // a partial response must not look complete
		}
		history.add(result)
		if reason, ok := g.mayRetry(ctx, response, r, &history); !ok {
			g.finishUnanswered(response, r, &history, defaultRetryAfter, reason)
			return history.mayHaveExecuted
		}
		if response.headerSent {
			g.Counters.Resumed.Add(1)
		}
	}
}

// pick has the balancer choose a server. It returns false if the balancer rejects the request or if its
// deadline has passed.
func (g *Gateway) pick(r *request) (balancer.Decision, bool) {
	now := g.now()
	r.TimeLeft, r.Elapsed = time.Until(r.deadline), time.Since(r.receivedAt)
	g.mu.Lock()
	decision := g.picker.Pick(now, &r.Request)
	g.mu.Unlock()
	if decision.Action == balancer.Reject {
		return decision, false
	}
	if r.TimeLeft <= 0 {
		g.endAttempt(decision.Attempt, balancer.Cancelled)
		return decision, false
	}
	return decision, true
}

// mayRetry reports whether another attempt is allowed, and the reason if not. If the request was already
// sent, the attempt counts against the retry budget.
func (g *Gateway) mayRetry(ctx context.Context, response *clientResponse, r *request, history *attemptHistory) (reason string, ok bool) {
	switch {
	case history.mayHaveExecuted && !r.Route.Idempotent(),
		history.sent >= max(r.Route.MaxAttempts, 1),
		history.connectFailures >= maxConnectFailures,
		ctx.Err() != nil,
		!g.stillAllowed(r),
		!response.headerSent && time.Until(r.deadline) < minAttemptTime:
		return reasonAttempts, false
	}
	if history.sent == 0 {
		return "", true
	}
	if !g.reserveRetry(response, r) {
		return reasonBudget, false
	}
	response.retryReserved = false
	g.Counters.Retries.Add(1)
	return "", true
}

// reserveRetry reports whether the retry budget allows another attempt of a request. The budget counts the
// attempt once: after a call that returned true, further calls before that attempt are free.
func (g *Gateway) reserveRetry(response *clientResponse, r *request) bool {
	if !response.retryReserved {
		g.mu.Lock()
		response.retryReserved = g.retryBudget.TryRetry(g.now(), r.Service)
		g.mu.Unlock()
	}
	return response.retryReserved
}

// finishUnanswered ends a request that no server has answered, without waiting. The response says that the
// request was not executed only if that is certain.
func (g *Gateway) finishUnanswered(response *clientResponse, r *request, history *attemptHistory, retryAfter time.Duration, reason string) {
	switch {
	case response.headerSent:
		g.Counters.Truncated.Add(1)
		panic(http.ErrAbortHandler) // without the last chunk the response does not look complete
	case response.failure != nil:
		g.Counters.Failed.Add(1)
		response.writeBuffered(response.failure)
	case !history.mayHaveExecuted:
		g.refuse(response.writer, max(retryAfter, response.retryAfter), reason)
	case time.Until(r.deadline) <= 0:
		g.Counters.Failed.Add(1)
		response.writer.WriteHeader(http.StatusGatewayTimeout)
	default:
		g.Counters.Failed.Add(1)
		response.writer.WriteHeader(http.StatusBadGateway)
	}
}

// endAttempt reports the outcome of an attempt to the balancer. After a fault of the server it wakes the
// health checks, as one may be due.
func (g *Gateway) endAttempt(attempt *balancer.Attempt, reported balancer.Outcome) {
	now := g.now()
	g.mu.Lock()
	attempt.End(now, reported)
	g.mu.Unlock()
	switch reported {
	case balancer.Succeeded, balancer.Cancelled, balancer.ClientError:
	default:
		g.wakeHealthChecks()
	}
}
