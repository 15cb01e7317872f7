package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// maxResponsesRead bounds the responses that are read for one request: surplus responses to earlier
	// requests may precede its own.
	maxResponsesRead = 3
	// maxUpstreamRetryAfter bounds a server's Retry-After, in seconds: a value at or above it is ignored.
	maxUpstreamRetryAfter = 60
)

// attempt is one attempt to have a server execute a request: connect, send the request, read the head of
// the response, classify the response, relay it.
type attempt struct {
	gateway         *Gateway
	response        *clientResponse
	request         *request
	decision        balancer.Decision
	conn            *conn
	dialed          bool             // the connection was opened for this attempt
	reportedOutcome balancer.Outcome // the outcome that the balancer gets when the attempt ends
	reusable        bool             // the response was read completely, and the server keeps the connection open
}

// attempt sends the request to one server and relays its response.
func (g *Gateway) attempt(ctx context.Context, response *clientResponse, r *request, decision balancer.Decision) outcome {
	t := &attempt{gateway: g, response: response, request: r, decision: decision, reportedOutcome: balancer.Cancelled}
	defer func() { g.endAttempt(decision.Attempt, t.reportedOutcome) }()
	if err := t.connect(ctx); err != nil {
		return t.connectFailed(ctx, err)
	}
	_ = t.conn.SetWriteDeadline(r.deadline) // writes to a closed connection fail anyway
	stop := context.AfterFunc(ctx, func() { t.conn.Close() })
	defer func() { t.release(stop()) }()
	if !t.serverListed() {
		t.reusable = true
		return outcomeNotSent
	}
	if err := t.send(); err != nil {
		return t.sendFailed(ctx)
	}
	upstream, err := t.readResponseHead(ctx)
	if err != nil {
		return t.headFailed(ctx, err)
	}
	t.recordHead(upstream)
	if upstream.StatusCode >= 200 && upstream.StatusCode < 300 {
		return t.relaySuccess(ctx, upstream)
	}
	return t.relayFailure(ctx, upstream)
}

// connect takes an idle connection to the server or opens one.
func (t *attempt) connect(ctx context.Context) (err error) {
	t.conn, t.dialed, err = t.gateway.pool.get(ctx, t.decision.Instance, t.request.deadline)
	return err
}

// connectFailed classifies an attempt that failed to connect: nothing was sent.
func (t *attempt) connectFailed(ctx context.Context, err error) outcome {
	if ctx.Err() == context.Canceled {
		return t.gateway.cancelledOutcome(ctx, outcomeNotSent)
	}
	if !isLocalResourceError(err) {
		t.reportedOutcome = balancer.ConnectFailed
	}
	return outcomeNotSent
}

// release returns the connection to the pool if it can carry another request: the attempt was not
// cancelled, and both the request and the response were transferred completely, so that the next bytes in
// either direction belong to the next request. A server that has responded but not yet read a long body
// is given some time to read it. In all other cases release closes the connection.
func (t *attempt) release(notCancelled bool) {
	switch pool := t.gateway.pool; {
	case !notCancelled || !t.reusable:
		pool.close(t.conn)
	case t.conn.delivered():
		pool.put(t.conn)
	default:
		t.gateway.finishUpload(t.conn, int64(len(t.request.body)))
	}
}

// serverListed reports whether the server is still listed. Connecting may take long, and a server that
// has started to drain in the meantime must not get the request.
func (t *attempt) serverListed() bool {
	return t.gateway.snapshot.Load().Servers.ByID[t.decision.Instance.ID] != nil
}

// send writes the request. An error proves that the server has not executed it.
func (t *attempt) send() error {
	g, r := t.gateway, t.request
	priority := t.decision.Priority
	if r.header.Get(headerPriority) != "" {
		priority = clientPriority
	}
	head := r.upstreamHead(&upstreamFields{
		instanceID:    t.decision.Instance.ID,
		priority:      priority,
		timeout:       time.Until(r.deadline),
		lastEventID:   t.response.events.lastID,
		expectVersion: t.expectedVersion(),
	})
	if err := t.conn.send(head, r.body); err != nil {
		return err
	}
	g.mu.Lock()
	t.decision.Attempt.Sent(g.now())
	notice, prefill := t.decision.Attempt.PrefillNotice()
	g.mu.Unlock()
	if g.OnSent != nil {
		g.OnSent(notice, prefill)
	}
	return nil
}

// expectedVersion returns the version of the weights that the server must have: the one that the client
// asks for, or else that of the events that the client has received. "" means any version.
func (t *attempt) expectedVersion() string {
	requested := t.request.header.Get(headerExpectVersion)
	if requested != "" || !t.response.headerSent {
		return requested
	}
	return t.response.events.version
}

// sendFailed classifies an attempt whose head was not written completely.
func (t *attempt) sendFailed(ctx context.Context) outcome {
	t.gateway.pool.reuse.Record(t.conn.idleBucket, !t.dialed)
	if ctx.Err() != nil {
		return t.gateway.cancelledOutcome(ctx, outcomeNotSent)
	}
	if t.dialed { // otherwise the server closed an idle connection, which is no fault
		t.reportedOutcome = balancer.ConnectFailed
	}
	return outcomeNotSent
}

// readResponseHead reads the head of the response to the request. A response with another attempt ID is a
// surplus response to an earlier request: it is read completely and discarded.
func (t *attempt) readResponseHead(ctx context.Context) (*http.Response, error) {
	for range maxResponsesRead {
		if err := t.awaitData(ctx); err != nil {
			return nil, err
		}
		upstream, err := http1.ReadResponseHead(t.conn.reader)
		if err != nil {
			return nil, err
		}
		switch attemptID := upstream.Header.Get(headerAttemptID); {
		case attemptID == t.request.attemptID:
			return upstream, nil
		case attemptID != "":
			if err := t.discardSurplus(upstream); err != nil {
				return nil, err
			}
		case upstream.StatusCode == http.StatusBadRequest && upstream.Header.Get(headerNotRun) != "":
			return upstream, nil // the server could not parse our request, its attempt ID included
		default:
			return nil, http1.Malformed("a response without attempt ID")
		}
	}
	return nil, http1.Malformed("more than %d surplus responses", maxResponsesRead-1)
}

// discardSurplus reads the body of a response to another request.
func (t *attempt) discardSurplus(upstream *http.Response) error {
	if isCloseDelimited(upstream, t.request.method) {
		return http1.Malformed("a surplus response without length")
	}
	_, err := readBoundedBody(t.conn, upstream, t.request.method)
	return err
}

// headFailed classifies an attempt whose request was sent, but whose response head could not be read.
func (t *attempt) headFailed(ctx context.Context, err error) outcome {
	switch ctx.Err() {
	case nil:
	case context.Canceled:
		return t.gateway.cancelledOutcome(ctx, outcomeUnknown)
	default:
		t.reportedOutcome = balancer.Timeout
		return outcomeUnknown
	}
	closedByServer := !errors.Is(err, http1.ErrMalformed) && !isTimeout(err)
	t.gateway.pool.reuse.Record(t.conn.idleBucket, closedByServer)
	t.reportedOutcome = reportedOutcomeOf(err)
	return outcomeUnknown
}

// recordHead records what the head of the response reveals about the connection and the server.
func (t *attempt) recordHead(upstream *http.Response) {
	g := t.gateway
	g.pool.reuse.Record(t.conn.idleBucket, false)
	t.conn.keepAlive = parseKeepAlive(upstream.Header.Get("Keep-Alive"))
	g.mu.Lock()
	t.decision.Attempt.Headers(g.now(), upstream.StatusCode, parseLoad(upstream.Header.Get(headerServerLoad)))
	g.mu.Unlock()
}

// notExecuted reports whether the server states that it has not executed the request. The head of the
// response is enough for that.
func (t *attempt) notExecuted(upstream *http.Response) bool {
	switch {
	case upstream.StatusCode == http.StatusMisdirectedRequest && t.expectedVersion() != "":
		t.reportedOutcome = balancer.ClientError // it may be the right instance with other weights
		return true
	case upstream.StatusCode == http.StatusMisdirectedRequest:
		t.reportedOutcome = balancer.Misdirected
		return true
	case upstream.Header.Get(headerNotRun) == "":
		return false
	case upstream.StatusCode == http.StatusBadRequest:
		t.reportedOutcome = balancer.ClientError
	default:
		t.reportedOutcome = balancer.Rejected
	}
	seconds, err := strconv.ParseFloat(upstream.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 && seconds < maxUpstreamRetryAfter {
		t.response.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return true
}
