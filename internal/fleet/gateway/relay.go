package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// maxBufferedBodyBytes is the largest size of a body that is relayed only once it is complete. If it turns
// out to be truncated, another server can still be tried.
const maxBufferedBodyBytes = 64 << 10

// relayResult describes the end of an attempt that got a 2xx response.
type relayResult struct {
	outcome         outcome
	reportedOutcome balancer.Outcome // the outcome that is reported to the balancer
	reusable        bool             // the body was read completely, so the connection can be used again
}

// resultServed is the result of an attempt whose response was relayed completely.
var resultServed = relayResult{outcomeAnswered, balancer.Succeeded, true}

// relayFailed returns the result of an attempt whose response was not relayed completely. Its connection is
// not used again.
func relayFailed(result outcome, reported balancer.Outcome) relayResult {
	return relayResult{result, reported, false}
}

// relaySuccess relays a 2xx response to the client.
func (t *attempt) relaySuccess(ctx context.Context, upstream *http.Response) outcome {
	if upstream.Header.Get(headerServerSeal) == "" || upstream.Header.Get("Content-Encoding") != "" {
		t.reportedOutcome = balancer.BadResponse
		return outcomeUnknown
	}
	var result relayResult
	if t.request.Route.Kind == config.Streaming && t.request.method != http.MethodHead {
		result = t.relayStream(ctx, upstream)
	} else {
		result = t.relayBody(ctx, upstream)
	}
	t.reportedOutcome = result.reportedOutcome
	t.reusable = result.reusable && !upstream.Close
	return result.outcome
}

// relayBody relays a response that is not a stream. A body of up to maxBufferedBodyBytes is relayed once it
// is complete. A longer one is relayed as it arrives; its length or its last chunk shows the client whether it
// is complete.
func (t *attempt) relayBody(ctx context.Context, upstream *http.Response) relayResult {
	body, err := newBodyReader(t.conn, upstream, t.request.method)
	if err != nil {
		return relayFailed(outcomeUnknown, reportedOutcomeOf(err))
	}
	t.conn.SetReadDeadline(t.request.deadline)
	start, err := io.ReadAll(io.LimitReader(body, maxBufferedBodyBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return relayFailed(t.gateway.cancelledOutcome(ctx, outcomeUnknown), balancer.Cancelled)
	case err != nil:
		return relayFailed(outcomeUnknown, reportedOutcomeOf(err))
	case len(start) > maxBufferedBodyBytes:
		return t.relayLongBody(upstream, start, body)
	}
	t.gateway.countServed()
	t.response.writeBuffered(&bufferedResponse{upstream.StatusCode, upstream.Header, start})
	return resultServed
}

// relayLongBody relays a body as it arrives. start has been read already, rest is the remainder.
func (t *attempt) relayLongBody(upstream *http.Response, start []byte, rest io.Reader) relayResult {
	response := t.response
	copyEndToEndHeader(response.writer.Header(), upstream.Header)
	if upstream.ContentLength >= 0 {
		response.writer.Header().Set("Content-Length", strconv.FormatInt(upstream.ContentLength, 10))
	}
	// Errors are ignored, as limitWriteTime also ends writes that take too long.
	_ = response.controller.SetWriteDeadline(t.request.deadline.Add(clientWriteTimeout))
	response.writer.WriteHeader(upstream.StatusCode)
	_, err := response.writer.Write(start)
	if err == nil {
		_, err = io.Copy(response.writer, rest)
	}
	if err != nil {
		t.gateway.Counters.Truncated.Add(1)
		return relayFailed(outcomeClientDisconnected, reportedOutcomeOf(err))
	}
	t.gateway.countServed()
	return resultServed
}

// relayFailure classifies a response other than 2xx, and relays it if another server would give the same
// answer.
func (t *attempt) relayFailure(ctx context.Context, upstream *http.Response) outcome {
	body, err := readBoundedBody(t.conn, upstream, t.request.method)
	if err != nil && ctx.Err() != nil {
		return t.gateway.cancelledOutcome(ctx, outcomeUnknown)
	}
	t.reusable = err == nil && !upstream.Close
	if t.notExecuted(upstream) {
		return outcomeNotExecuted
	}
	switch status := upstream.StatusCode; {
	case err != nil:
		t.reportedOutcome = reportedOutcomeOf(err)
		return outcomeUnknown
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		// Without the server's statement these do not prove that the request was not executed. They
		// are not relayed, as the client would take them for that proof.
		t.reportedOutcome = balancer.ServerError
		return outcomeUnknown
	case status >= 500:
		t.reportedOutcome = balancer.ServerError
		t.response.failure = &bufferedResponse{status, upstream.Header, body}
		return outcomeUnknown
	}
	t.reportedOutcome = balancer.ClientError
	if t.response.headerSent {
		return outcomeUnknown
	}
	t.gateway.Counters.Failed.Add(1)
	t.response.writeBuffered(&bufferedResponse{upstream.StatusCode, upstream.Header, body})
	return outcomeAnswered
}
