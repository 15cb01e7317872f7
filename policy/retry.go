package policy

import "slices"

const (
	// retryBudgetRatio is the number of retries that a served request earns. retryBudgetMax is the largest
	// number of saved retries, with which an agent starts.
	retryBudgetRatio, retryBudgetMax = 0.25, 4.0
	// maxUnserved bounds the unserved requests that are remembered.
	maxUnserved = maxPending
)

// retryBudget limits retries in proportion to served requests: while few requests are served, retries would
// only multiply the load.
type retryBudget struct {
	tokens float64
}

// earn adds what a served request earns.
func (r *retryBudget) earn() { r.tokens = min(r.tokens+retryBudgetRatio, retryBudgetMax) }

// retryElsewhere makes a request whose attempt failed pending again, to be sent to another server, if its
// class, the limits, the retry budget and its deadline allow that. Otherwise it ends the request.
func (b *Balancer) retryElsewhere(req *request, failure Status) {
	class := &b.settings.Classes[req.class]
	allowed := req.possibleExecutions == 0 || class.Idempotency != NonIdempotent
	free := failure == NotSent // the attempt reached no server
	affordable := b.retries.tokens >= 1 || free
	if !allowed || !affordable || len(req.attempts) >= b.settings.Limits.MaxAttempts ||
		b.now >= req.deadline {
		if failure == Rejected || failure == Timeout {
			b.admission.recordEnd(0) // errors and lost connections are no sign of overload
		}
		b.endUnserved(req)
		return
	}
	if !free {
		b.retries.tokens--
	}
	b.pending = append(b.pending, req)
}

// unservedRequest holds what is remembered of a request that was not served, for its client's retry.
type unservedRequest struct {
	class          int
	key            uint64
	firstArrivedAt float64
	admissionDraw  float64
	clientRetries  int
}

// unservedRequests are the unserved requests, oldest first.
type unservedRequests []unservedRequest

// rememberUnserved remembers a request whose client may retry, so that the latency target of the retry counts
// from the client's first attempt.
func (b *Balancer) rememberUnserved(req *request) {
	if !b.settings.Clients.MarksRetry {
		return
	}
	b.unservedRequests = slices.DeleteFunc(b.unservedRequests, func(entry unservedRequest) bool {
		return b.now-entry.firstArrivedAt > b.settings.Classes[entry.class].ClientTimeoutMs
	})
	if len(b.unservedRequests) < maxUnserved {
		b.unservedRequests = append(b.unservedRequests, unservedRequest{
			class:          req.class,
			key:            req.key,
			firstArrivedAt: req.firstArrivedAt,
			admissionDraw:  req.admissionDraw,
			clientRetries:  req.clientRetries,
		})
	}
}

// restoreRetry gives a retry the state that is remembered of the client's previous attempt. A client that
// retries more than once keeps its admission draw: with a new draw for each retry, all clients that keep
// retrying would be admitted.
func (u *unservedRequests) restoreRetry(req *request) {
	i := slices.IndexFunc(*u, func(entry unservedRequest) bool {
		return entry.class == req.class &&
			entry.key == req.key
	})
	if i < 0 {
		return
	}
	entry := (*u)[i]
	*u = slices.Delete(*u, i, i+1)
	req.firstArrivedAt, req.clientRetries = entry.firstArrivedAt, entry.clientRetries+1
	if req.clientRetries > 1 {
		req.admissionDraw = entry.admissionDraw
	}
}
