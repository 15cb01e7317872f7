package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

const (
	// maxEventBytes is the largest size of one event of a stream.
	maxEventBytes = 256 << 10
	// streamReadBytes is how much of a stream is read at once, at most.
	streamReadBytes = 8 << 10
)

// relayStream relays the complete events of a response as they arrive. An event whose ID does not follow
// the one before does not belong to the stream: relayStream stops there, and another server continues the
// stream if the route allows that.
func (t *attempt) relayStream(ctx context.Context, upstream *http.Response) relayResult {
	body, err := newBodyReader(t.conn, upstream, t.request.method)
	if err != nil {
		return relayFailed(outcomeUnknown, balancer.BadResponse)
	}
	version := parseVersion(upstream.Header.Get(headerVersions))
	if !t.response.events.startServer(version, t.response.headerSent) {
		return relayFailed(outcomeUnknown, balancer.Cancelled) // having other weights is no fault of the server
	}
	var pending []byte // bytes that were read and not yet relayed
	buffer := make([]byte, streamReadBytes)
	for {
		n, readErr := 0, t.awaitBody(ctx, body)
		if readErr == nil {
			n, readErr = body.Read(buffer)
		}
		pending = append(pending, buffer[:n]...)
		accepted, valid := t.response.events.accept(pending)
		if accepted.bytes > 0 {
			if err := t.relayEvents(upstream, pending[:accepted.bytes], accepted.events); err != nil {
				t.gateway.Counters.ClientDisconnects.Add(1)
				return relayFailed(outcomeClientDisconnected, balancer.Cancelled)
			}
			pending = append(pending[:0], pending[accepted.bytes:]...)
		}
		switch {
		case !valid || len(pending) > maxEventBytes:
			return relayFailed(outcomeUnknown, balancer.BadResponse)
		case readErr == io.EOF:
			return t.finishStream(upstream, pending)
		case readErr != nil:
			return t.streamFailed(ctx, readErr)
		}
	}
}

// relayEvents writes events to the client and reports their number to the balancer.
func (t *attempt) relayEvents(upstream *http.Response, events []byte, count int) error {
	if err := t.response.writeEvents(upstream, events); err != nil {
		return err
	}
	now := t.gateway.now()
	t.gateway.mu.Lock()
	t.decision.Attempt.Events(now, count)
	t.gateway.mu.Unlock()
	return nil
}

// finishStream ends a stream whose body is complete; rest is what follows its last complete event.
func (t *attempt) finishStream(upstream *http.Response, rest []byte) relayResult {
	if len(bytes.TrimSpace(rest)) > 0 {
		return relayFailed(outcomeUnknown, balancer.BadResponse) // it ends within an event
	}
	if !t.response.headerSent { // an empty stream
		if err := t.response.writeEvents(upstream, nil); err != nil {
			return relayFailed(outcomeClientDisconnected, balancer.Cancelled)
		}
	}
	t.gateway.countServed()
	return resultServed
}

// streamFailed classifies a stream that could not be read to its end.
func (t *attempt) streamFailed(ctx context.Context, err error) relayResult {
	switch ctx.Err() {
	case nil:
		return relayFailed(outcomeUnknown, reportedOutcomeOf(err))
	case context.Canceled:
		return relayFailed(t.gateway.cancelledOutcome(ctx, outcomeUnknown), balancer.Cancelled)
	}
	return relayFailed(outcomeUnknown, balancer.Timeout)
}

// awaitBody waits until the server has sent more of a body. It returns at once if a body with a
// Content-Length has been read completely.
func (t *attempt) awaitBody(ctx context.Context, body io.Reader) error {
	if delimited, ok := body.(*lengthDelimitedBody); ok && delimited.remaining == 0 {
		return nil
	}
	err := t.awaitData(ctx)
	if _, ok := body.(*closeDelimitedBody); ok && err == io.ErrUnexpectedEOF {
		return nil // reading the body shows whether this is its end
	}
	return err
}
