package gateway

import (
	"context"
	"errors"
	"syscall"

	"chalkdoor.example/chalkdoor/internal/connpool"
	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/http1"
)

// outcome is how one attempt ended, and what that proves about the execution of the request.
type outcome uint8

const (
	// outcomeAnswered: the client has its response, or the part of it that it will get.
	outcomeAnswered outcome = iota
	// outcomeNotSent: no server was sent the complete head, so none can have executed the request.
	outcomeNotSent
	// outcomeNotExecuted: the server states that it has not executed the request.
	outcomeNotExecuted
	// outcomeUnknown: the server may have executed the request.
	outcomeUnknown
	// outcomeClientDisconnected: the client has closed its connection.
	outcomeClientDisconnected
)

// String returns the outcome as it stands in messages.
func (o outcome) String() string {
	switch o {
	case outcomeAnswered:
		return "answered"
	case outcomeNotSent:
		return "not sent"
	case outcomeNotExecuted:
		return "not executed"
	case outcomeUnknown:
		return "unknown"
	case outcomeClientDisconnected:
		return "client disconnected"
	}
	return "invalid outcome"
}

// cancelledOutcome returns the outcome of an attempt whose context has ended: outcomeClientDisconnected if the
// client has left, otherwise, after the deadline, the given one.
func (g *Gateway) cancelledOutcome(ctx context.Context, afterDeadline outcome) outcome {
	if ctx.Err() == context.Canceled {
		g.Counters.ClientDisconnects.Add(1)
		return outcomeClientDisconnected
	}
	return afterDeadline
}

// reportedOutcomeOf returns the outcome that is reported to the balancer for an error after the request was
// sent.
func reportedOutcomeOf(err error) balancer.Outcome {
	switch {
	case errors.Is(err, http1.ErrMalformed):
		return balancer.BadResponse
	case isTimeout(err):
		return balancer.Timeout
	}
	return balancer.Reset
}

// isTimeout reports whether an error is a time-out.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isLocalShortage reports whether a connect failed for what this process or host lacks, which is no
// fault of the server.
func isLocalShortage(err error) bool {
	for _, shortage := range []error{connpool.ErrExhausted, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
