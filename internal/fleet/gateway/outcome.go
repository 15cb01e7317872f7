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
	// outcomeAnswered means that the client has its response, or as much of it as it will get.
	outcomeAnswered outcome = iota
	// outcomeNotSent means that the head was not sent completely, so the server can't have executed the request.
	outcomeNotSent
	// outcomeNotExecuted means that the server states that it has not executed the request.
	outcomeNotExecuted
	// outcomeUnknown means that the server may have executed the request.
	outcomeUnknown
	// outcomeClientDisconnected means that the client has closed its connection.
	outcomeClientDisconnected
)

// String returns the outcome in words.
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

// cancelledOutcome returns the outcome of an attempt whose context has ended: outcomeClientDisconnected,
// which it also counts, if the client has disconnected, and afterDeadline if the deadline has passed.
func (g *Gateway) cancelledOutcome(ctx context.Context, afterDeadline outcome) outcome {
	if ctx.Err() == context.Canceled {
		g.Counters.ClientDisconnects.Add(1)
		return outcomeClientDisconnected
	}
	return afterDeadline
}

// reportedOutcomeOf returns the outcome to report to the balancer for an error that occurred after the
// request was sent.
func reportedOutcomeOf(err error) balancer.Outcome {
	switch {
	case errors.Is(err, http1.ErrMalformed):
		return balancer.BadResponse
	case isTimeout(err):
		return balancer.Timeout
	}
	return balancer.Reset
}

// isTimeout reports whether an error is a timeout.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isLocalResourceError reports whether a connect failed because this process or host has run out of a resource,
// which is no fault of the server.
func isLocalResourceError(err error) bool {
	for _, shortage := range []error{connpool.ErrExhausted, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
