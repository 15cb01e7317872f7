package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/http1"
)

// maxResponsesRead is how many answers are read where ours is due: surplus ones may come before it.
const maxResponsesRead = 3

// attempt is one send of a request to one server: connect, send the request, read the head of the
// response, classify the response.
type attempt struct {
	gateway  *Gateway
	response *clientResponse
	request  *request
	decision balancer.Decision
	conn     *conn
	dialed   bool             // the connection is new
	end      balancer.Outcome // what the picker is told of it
	reusable bool             // the response was read whole, and the server keeps the connection
}

// attempt offers the request to one server and passes its answer on.
func (d *Gateway) attempt(ctx context.Context, a *clientResponse, r *request, dec balancer.Decision) outcome {
	t := &attempt{gateway: d, response: a, request: r, decision: dec, end: balancer.Cancelled}
	defer func() { d.endAttempt(dec.Attempt, t.end) }()
	if err := t.connect(ctx); err != nil {
		return t.connectFailed(ctx, err)
	}
	_ = t.conn.SetWriteDeadline(r.deadline) // one that is closed fails its writes
	stop := context.AfterFunc(ctx, func() { t.conn.Close() })
	defer func() { t.release(stop()) }()
	if !t.listed() {
		t.reusable = true
		return outcomeNotSent
	}
	if err := t.send(); err != nil {
		return t.sendFailed(ctx)
	}
	resp, err := t.readResponseHead(ctx)
	if err != nil {
		return t.headFailed(ctx, err)
	}
	t.recordHead(resp)
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return t.relaySuccess(ctx, resp)
	}
	return t.relayFailure(ctx, resp)
}

// connect takes an idle connection to the server or opens one.
func (t *attempt) connect(ctx context.Context) (err error) {
	t.conn, t.dialed, err = t.gateway.pool.get(ctx, t.decision.Instance, t.request.deadline)
	return err
}

// connectFailed classifies a failed connect: the server was sent nothing. What this process lacks
// is not the server's fault.
func (t *attempt) connectFailed(ctx context.Context, err error) outcome {
	switch {
	case ctx.Err() == context.Canceled:
		return t.gateway.cancelledOutcome(ctx, outcomeNotSent)
	case errors.Is(err, errPoolExhausted), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE),
		errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.ENOBUFS):
	default:
		t.end = balancer.ConnectFailed
	}
	return outcomeNotSent
}

// release keeps the connection for another request only if its time was not ended, the response
// was read whole, and the request was delivered whole: what comes next on it has to be the next
// request, and the server has to be about to read it.
func (t *attempt) release(inTime bool) {
	if inTime && t.reusable && t.conn.delivered() {
		t.gateway.pool.put(t.conn)
	} else {
		t.gateway.pool.close(t.conn)
	}
}

// listed tells whether the server is still in the list. A connect may have taken long: nothing is
// begun on a server that was told to drain meanwhile.
func (t *attempt) listed() bool {
	return t.gateway.snapshot.Load().Servers.ByID[t.decision.Instance.ID] != nil
}

// send writes the request. An error proves that it has not run.
func (t *attempt) send() error {
	d, r := t.gateway, t.request
	priority := t.decision.Priority
	if r.header.Get(headerPriority) != "" {
		priority = -1
	}
	head := r.head(t.decision.Instance.ID, priority, time.Until(r.deadline), t.response.lastEventID, t.expectedVersion())
	if err := t.conn.send(head, r.body); err != nil {
		return err
	}
	d.mu.Lock()
	t.decision.Attempt.Sent(d.now())
	notice, work := t.decision.Attempt.PrefillNotice()
	d.mu.Unlock()
	if d.OnSent != nil {
		d.OnSent(notice, work)
	}
	return nil
}

// expectedVersion is the version that the server has to have: what the client says, or that of the
// events that the client has got.
func (t *attempt) expectedVersion() string {
	if own := t.request.header.Get(headerExpectVersion); own != "" || !t.response.headerSent {
		return own
	}
	return t.response.version
}

// sendFailed classifies a request whose head did not leave whole.
func (t *attempt) sendFailed(ctx context.Context) outcome {
	t.gateway.pool.reuse.Record(t.conn.idleBucket, !t.dialed)
	if ctx.Err() != nil {
		return t.gateway.cancelledOutcome(ctx, outcomeNotSent)
	}
	if t.dialed { // else the server closed a kept connection: nothing is wrong with it
		t.end = balancer.ConnectFailed
	}
	return outcomeNotSent
}

// readResponseHead reads the head of the answer to the request. An answer that carries another id is a
// surplus one of an earlier request, and is passed over whole.
func (t *attempt) readResponseHead(ctx context.Context) (*http.Response, error) {
	cn, r := t.conn, t.request
	for range maxResponsesRead {
		if err := t.awaitData(ctx); err != nil {
			return nil, err
		}
		resp, err := http1.ReadResponseHead(cn.reader)
		if err != nil {
			return nil, err
		}
		if resp.Header.Get(headerAttemptID) == r.attemptID {
			return resp, nil
		}
		if resp.Header.Get(headerAttemptID) == "" {
			if resp.StatusCode == http.StatusBadRequest && resp.Header.Get(headerNotRun) != "" {
				return resp, nil // it could not read ours
			}
			return nil, http1.Malformed("an answer to no request")
		}
		if isCloseDelimited(resp, r.method) {
			return nil, http1.Malformed("a surplus answer without length")
		}
		if _, err := readBoundedBody(cn, resp, r.method); err != nil {
			return nil, err
		}
	}
	return nil, http1.Malformed("surplus answers")
}

// headFailed classifies a request that was sent and of whose response no head came: it may have run.
func (t *attempt) headFailed(ctx context.Context, err error) outcome {
	switch {
	case ctx.Err() == context.Canceled:
		return t.gateway.cancelledOutcome(ctx, outcomeUnknown)
	case ctx.Err() != nil:
		t.end = balancer.Timeout
		return outcomeUnknown
	}
	t.gateway.pool.reuse.Record(t.conn.idleBucket, !errors.Is(err, http1.ErrMalformed) && !isTimeout(err))
	t.end = attemptEndOf(err)
	return outcomeUnknown
}

// recordHead notes what the head of the response tells of the connection and the server.
func (t *attempt) recordHead(resp *http.Response) {
	d := t.gateway
	d.pool.reuse.Record(t.conn.idleBucket, false)
	t.conn.keepAlive = parseKeepAlive(resp.Header.Get("Keep-Alive"))
	d.mu.Lock()
	t.decision.Attempt.Headers(d.now(), resp.StatusCode, parseLoad(resp.Header.Get(headerServerLoad)))
	d.mu.Unlock()
}

// relaySuccess passes a success on to the client.
func (t *attempt) relaySuccess(ctx context.Context, resp *http.Response) (out outcome) {
	if resp.Header.Get(headerServerSeal) == "" || resp.Header.Get("Content-Encoding") != "" {
		t.end = balancer.BadResponse
		return outcomeUnknown
	}
	if t.request.Route.Kind == config.Streaming && t.request.method != http.MethodHead {
		out, t.end, t.reusable = t.relayStream(ctx, resp)
	} else {
		out, t.end, t.reusable = t.relayBody(ctx, resp)
	}
	t.reusable = t.reusable && !resp.Close
	return out
}

// relayFailure classifies a response that is no success, and passes on what another server would answer
// as well.
func (t *attempt) relayFailure(ctx context.Context, resp *http.Response) outcome {
	body, err := readBoundedBody(t.conn, resp, t.request.method)
	if err != nil && ctx.Err() != nil {
		return t.gateway.cancelledOutcome(ctx, outcomeUnknown)
	}
	t.reusable = err == nil && !resp.Close
	if t.notExecuted(resp) {
		return outcomeNotExecuted
	}
	switch code := resp.StatusCode; {
	case err != nil:
		t.end = attemptEndOf(err)
		return outcomeUnknown
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests || code == http.StatusRequestTimeout:
		// Without the server's word these promise nothing here, and would to the client.
		t.end = balancer.ServerError
		return outcomeUnknown
	case code >= 500:
		t.end = balancer.ServerError
		t.response.failure = &bufferedResponse{code, resp.Header, body}
		return outcomeUnknown
	}
	t.end = balancer.ClientError
	if t.response.headerSent {
		return outcomeUnknown
	}
	t.gateway.Counters.Failed.Add(1)
	t.gateway.writeBuffered(t.response, &bufferedResponse{resp.StatusCode, resp.Header, body})
	return outcomeAnswered
}

// notExecuted tells whether the server says that it has not run the request. Its head is enough.
func (t *attempt) notExecuted(resp *http.Response) bool {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && t.expectedVersion() != "":
		t.end = balancer.ClientError // it may have other weights, and be the server that is listed
		return true
	case resp.StatusCode == http.StatusMisdirectedRequest:
		t.end = balancer.Misdirected
		return true
	case resp.Header.Get(headerNotRun) == "":
		return false
	case resp.StatusCode == http.StatusBadRequest:
		t.end = balancer.ClientError
	default:
		t.end = balancer.Rejected
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 60 {
		t.response.retryAfter = time.Duration(s * float64(time.Second))
	}
	return true
}

// stallDeadline is until when a server is waited for. One that is silent over a stream that another may
// resume is left for another; for all else silence is no reason to end an answer sooner.
func (t *attempt) stallDeadline() time.Time {
	a, r := t.response, t.request
	if !r.Route.Idempotent() || r.Route.MaxAttempts <= len(r.Tried)+1 {
		return r.deadline
	}
	wait := time.Duration(firstEventTimeoutSetpoints * float64(r.LatencyTarget))
	if a.headerSent {
		wait = eventTimeoutGaps * time.Duration(r.Route.GapAimMs) * time.Millisecond
	}
	if by := time.Now().Add(max(wait, minStallTimeout)); by.Before(r.deadline) {
		return by
	}
	return r.deadline
}

// awaitData waits for more of an answer: as long as patience says, and on where the budget has no room
// for another server.
func (t *attempt) awaitData(ctx context.Context) error {
	cn, r := t.conn, t.request
	by := t.stallDeadline()
	for {
		cn.SetReadDeadline(by)
		if ctx.Err() != nil {
			return ctx.Err() // the deadline that its end has set was just overwritten
		}
		if cn.reader.Buffered() == 0 {
			_, err := cn.reader.Peek(1)
			switch early := isTimeout(err) && by.Before(r.deadline); {
			case early && cn.upload.inProgress():
				by = t.stallDeadline() // it may still be reading
				continue
			case early && !t.gateway.reserveRetry(t.response, r):
				by = r.deadline
				continue
			case err != nil:
				return unexpectedEOF(err)
			}
		}
		cn.SetReadDeadline(r.deadline)
		return ctx.Err()
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// attemptEndOf maps what ended an attempt after the request was sent.
func attemptEndOf(err error) balancer.Outcome {
	switch {
	case errors.Is(err, http1.ErrMalformed):
		return balancer.BadResponse
	case isTimeout(err):
		return balancer.Timeout
	}
	return balancer.Reset
}

// relayBody passes on an answer that is no stream. Up to maxBufferedBodyBytes it is held until it is whole; of a
// longer one the client sees by its length or its last chunk whether it was.
func (t *attempt) relayBody(ctx context.Context, resp *http.Response) (outcome, balancer.Outcome, bool) {
	d, cn, a, r := t.gateway, t.conn, t.response, t.request
	src, err := newBodyReader(cn, resp, r.method)
	if err != nil {
		return outcomeUnknown, attemptEndOf(err), false
	}
	cn.SetReadDeadline(r.deadline)
	body, err := io.ReadAll(io.LimitReader(src, maxBufferedBodyBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return d.cancelledOutcome(ctx, outcomeUnknown), balancer.Cancelled, false
	case err != nil:
		return outcomeUnknown, attemptEndOf(err), false
	case len(body) <= maxBufferedBodyBytes:
		d.Counters.Served.Add(1)
		d.writeBuffered(a, &bufferedResponse{resp.StatusCode, resp.Header, body})
		return outcomeAnswered, balancer.Succeeded, true
	}
	copyEndToEndHeader(a.writer.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		a.writer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	_ = a.controller.SetWriteDeadline(r.deadline.Add(clientWriteTimeout)) // best effort: the client's own time bounds it, too
	a.writer.WriteHeader(resp.StatusCode)
	if _, err = a.writer.Write(body); err == nil {
		_, err = io.Copy(a.writer, src)
	}
	if err != nil {
		d.Counters.Truncated.Add(1)
		return outcomeClientGone, attemptEndOf(err), false
	}
	d.Counters.Served.Add(1)
	return outcomeAnswered, balancer.Succeeded, true
}
