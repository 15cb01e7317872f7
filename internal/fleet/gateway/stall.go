package gateway

import (
	"context"
	"time"
)

// These constants determine how long a server may send nothing before another one takes over, if one could.
const (
	// firstEventTimeoutFactor is the time-out for the first event as a multiple of the route's latency target.
	firstEventTimeoutFactor = 2.5
	// nextEventTimeoutFactor is the time-out for each further event as a multiple of the route's target for
	// the time between two events.
	nextEventTimeoutFactor = 4
	// minStallTimeout is the lower bound of both time-outs.
	minStallTimeout = 900 * time.Millisecond
)

// stallDeadline returns the time by which the server has to send something. If no other server could
// take over, that is the deadline of the request.
func (t *attempt) stallDeadline() time.Time {
	r := t.request
	if !r.Route.Idempotent() || r.Route.MaxAttempts <= len(r.TriedInstances)+1 {
		return r.deadline
	}
	timeout := time.Duration(firstEventTimeoutFactor * float64(r.LatencyTarget))
	if t.response.headerSent {
		timeout = nextEventTimeoutFactor * time.Duration(r.Route.InterTokenTargetMs) * time.Millisecond
	}
	if deadline := time.Now().Add(max(timeout, minStallTimeout)); deadline.Before(r.deadline) {
		return deadline
	}
	return r.deadline
}

// awaitData waits until the server has sent more data, up to the stall deadline. It waits longer while the
// body of the request is still being sent, and up to the request's deadline if the retry budget allows no
// other attempt.
func (t *attempt) awaitData(ctx context.Context) error {
	conn, r := t.conn, t.request
	deadline := t.stallDeadline()
	for {
		conn.SetReadDeadline(deadline)
		if ctx.Err() != nil {
			// The end of ctx closes the connection.
			return ctx.Err()
		}
		if conn.reader.Buffered() == 0 {
			_, err := conn.reader.Peek(1)
			stalled := isTimeout(err) && deadline.Before(r.deadline)
			switch {
			case stalled && conn.upload.inProgress():
				deadline = t.stallDeadline()
				continue
			case stalled && !t.gateway.reserveRetry(t.response, r):
				deadline = r.deadline
				continue
			case err != nil:
				return unexpectedEOF(err)
			}
		}
		conn.SetReadDeadline(r.deadline)
		return ctx.Err()
	}
}
