package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// maxBufferedBodyBytes is how long a body may be that is relayed only once it is complete, so that
// another server can be tried if it is not.
const maxBufferedBodyBytes = 64 << 10

// relayResult is the end of an attempt whose response is a success.
type relayResult struct {
	outcome  outcome
	reported balancer.Outcome // to the balancer
	reusable bool             // the body was read completely
}

// resultServed is the result of a success that was relayed completely.
var resultServed = relayResult{outcomeAnswered, balancer.Succeeded, true}

// relayFailed is the result of a success that broke off. The connection is of no further use.
func relayFailed(result outcome, reported balancer.Outcome) relayResult {
	return relayResult{result, reported, false}
}

// relaySuccess relays a success to the client.
func (t *attempt) relaySuccess(ctx context.Context, upstream *http.Response) outcome {
	if upstream.Header.Get(headerServerSeal) == "" || upstream.Header.Get("Content-Encoding") != "" {
		t.reported = balancer.BadResponse
		return outcomeUnknown
	}
	var result relayResult
	if t.request.Route.Kind == config.Streaming && t.request.method != http.MethodHead {
		result = t.relayStream(ctx, upstream)
	} else {
		result = t.relayBody(ctx, upstream)
	}
	t.reported = result.reported
	t.reusable = result.reusable && !upstream.Close
	return result.outcome
}

// relayBody relays a response that is no stream. One of up to maxBufferedBodyBytes is relayed once it
// is complete; whether a longer one is, the client sees by its length or its last chunk.
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

// relayLongBody relays a body as it arrives: first its start, which has been read.
func (t *attempt) relayLongBody(upstream *http.Response, start []byte, rest io.Reader) relayResult {
	response := t.response
	copyEndToEndHeader(response.writer.Header(), upstream.Header)
	if upstream.ContentLength >= 0 {
		response.writer.Header().Set("Content-Length", strconv.FormatInt(upstream.ContentLength, 10))
	}
	// Best effort: limitWriteTime bounds the writes, too.
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

// relayFailure classifies a response that is no success, and relays it if another server would answer
// the same.
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
		t.reported = reportedOutcomeOf(err)
		return outcomeUnknown
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		// Without the server's statement these prove nothing here, and relayed they would promise the
		// client that the request was not executed.
		t.reported = balancer.ServerError
		return outcomeUnknown
	case status >= 500:
		t.reported = balancer.ServerError
		t.response.failure = &bufferedResponse{status, upstream.Header, body}
		return outcomeUnknown
	}
	t.reported = balancer.ClientError
	if t.response.headerSent {
		return outcomeUnknown
	}
	t.gateway.Counters.Failed.Add(1)
	t.response.writeBuffered(&bufferedResponse{upstream.StatusCode, upstream.Header, body})
	return outcomeAnswered
}
