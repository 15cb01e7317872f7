package policy

import "slices"

const (
	// retryBudgetRatio is the retries that a served request earns, retryBudgetMax what may be saved up, and
	// what an agent starts with.
	retryBudgetRatio, retryBudgetMax = 0.25, 4.0
	// maxUnserved bounds the unserved requests that are remembered.
	maxUnserved = maxPending
)

// retryBudget bounds retries by served requests: where few are served retries would only multiply the load.
type retryBudget struct {
	tokens float64
}

// earn adds what a served request earns.
func (r *retryBudget) earn() { r.tokens = min(r.tokens+retryBudgetRatio, retryBudgetMax) }

// retryElsewhere makes a request whose attempt failed pending for another server where its class, the limits
// and its time allow that, and ends it otherwise.
func (b *Balancer) retryElsewhere(req *request, failure Status) {
	class := &b.settings.Classes[req.class]
	allowed := req.maybeExecuted == 0 || class.Idempotency != NonIdempotent
	free := failure == NotSent // which reached no server
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

// unservedRequest is what is remembered of a request that was not served, to recognize its client's retry.
type unservedRequest struct {
	class          int
	key            uint64
	firstArrivedAt float64
	admissionDraw  float64
	clientRetries  int
}

// unservedRequests are the unserved requests, oldest first.
type unservedRequests []unservedRequest

// rememberUnserved remembers a request whose client may retry, so that the retry is judged by the time that
// has passed for the client.
func (b *Balancer) rememberUnserved(req *request) {
	if !b.settings.Clients.MarksRetry {
		return
	}
	b.unserved = slices.DeleteFunc(b.unserved, func(past unservedRequest) bool {
		return b.now-past.firstArrivedAt > b.settings.Classes[past.class].ClientTimeoutMs
	})
	if len(b.unserved) < maxUnserved {
		b.unserved = append(b.unserved, unservedRequest{
			class:          req.class,
			key:            req.key,
			firstArrivedAt: req.firstArrivedAt,
			admissionDraw:  req.admissionDraw,
			clientRetries:  req.clientRetries,
		})
	}
}

// restoreRetry gives a retry what is remembered of the attempt before it. A client that retries more than
// once keeps its draw for admission: otherwise all that retry would be let in.
func (u *unservedRequests) restoreRetry(req *request) {
	i := slices.IndexFunc(*u, func(past unservedRequest) bool {
		return past.class == req.class &&
			past.key == req.key
	})
	if i < 0 {
		return
	}
	past := (*u)[i]
	*u = slices.Delete(*u, i, i+1)
	req.firstArrivedAt, req.clientRetries = past.firstArrivedAt, past.clientRetries+1
	if req.clientRetries > 1 {
		req.admissionDraw = past.admissionDraw
	}
}
