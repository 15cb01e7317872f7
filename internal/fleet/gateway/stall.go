package gateway

import (
	"context"
	"time"
)

// A server that sends nothing while another one could continue the stream is replaced after these times.
const (
	// firstEventTimeoutSetpoints bounds the wait for the first event, in latency targets of the route.
	firstEventTimeoutSetpoints = 2.5
	// eventTimeoutGaps bounds the wait for each further event, in gap targets of the route.
	eventTimeoutGaps = 4
	// minStallTimeout is the least time for either.
	minStallTimeout = 900 * time.Millisecond
)

// stallDeadline returns until when the server may send nothing. If no other server could take over,
// that is the deadline of the request.
func (t *attempt) stallDeadline() time.Time {
	r := t.request
	if !r.Route.Idempotent() || r.Route.MaxAttempts <= len(r.Tried)+1 {
		return r.deadline
	}
	timeout := time.Duration(firstEventTimeoutSetpoints * float64(r.LatencyTarget))
	if t.response.headerSent {
		timeout = eventTimeoutGaps * time.Duration(r.Route.InterTokenTargetMs) * time.Millisecond
	}
	if deadline := time.Now().Add(max(timeout, minStallTimeout)); deadline.Before(r.deadline) {
		return deadline
	}
	return r.deadline
}

// awaitData waits until the server has sent something more, up to the stall deadline; and longer while
// the server still takes the body of the request, or if the retry budget allows no other server.
func (t *attempt) awaitData(ctx context.Context) error {
	conn, r := t.conn, t.request
	deadline := t.stallDeadline()
	for {
		conn.SetReadDeadline(deadline)
		if ctx.Err() != nil {
			// The connection was closed before the deadline was set.
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
