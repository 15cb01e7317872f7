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

// maxAnswers is how many answers are read where ours is due: surplus ones may come before it.
const maxAnswers = 3

// attempt is one send of a request to one server: connect, send the request, read the head of the
// response, classify the response.
type attempt struct {
	door     *Door
	answer   *answer
	request  *request
	decision balancer.Decision
	cn       *conn
	fresh    bool             // the connection is new
	end      balancer.Outcome // what the picker is told of it
	reusable bool             // the response was read whole, and the server keeps the connection
}

// attempt offers the request to one server and passes its answer on.
func (d *Door) attempt(ctx context.Context, a *answer, r *request, dec balancer.Decision) outcome {
	t := &attempt{door: d, answer: a, request: r, decision: dec, end: balancer.Cancelled}
	defer func() { d.end(dec.Attempt, t.end) }()
	if err := t.connect(ctx); err != nil {
		return t.notConnected(ctx, err)
	}
	_ = t.cn.SetWriteDeadline(r.deadline) // one that is closed fails its writes
	stop := context.AfterFunc(ctx, func() { t.cn.Close() })
	defer func() { t.release(stop()) }()
	if !t.listed() {
		t.reusable = true
		return notSent
	}
	if err := t.send(); err != nil {
		return t.notSent(ctx)
	}
	resp, err := t.answerHead(ctx)
	if err != nil {
		return t.noAnswer(ctx, err)
	}
	t.gotHead(resp)
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return t.passOn(ctx, resp)
	}
	return t.failed(ctx, resp)
}

// connect takes an idle connection to the server or opens one.
func (t *attempt) connect(ctx context.Context) (err error) {
	t.cn, t.fresh, err = t.door.pool.get(ctx, t.decision.Instance, t.request.deadline)
	return err
}

// notConnected classifies a failed connect: the server was sent nothing. What this process lacks
// is not the server's fault.
func (t *attempt) notConnected(ctx context.Context, err error) outcome {
	switch {
	case ctx.Err() == context.Canceled:
		return t.door.gone(ctx, notSent)
	case errors.Is(err, errTooMany), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE),
		errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.ENOBUFS):
	default:
		t.end = balancer.ConnectFailed
	}
	return notSent
}

// release keeps the connection for another request only if its time was not ended, the response
// was read whole, and the request was delivered whole: what comes next on it has to be the next
// request, and the server has to be about to read it.
func (t *attempt) release(inTime bool) {
	if inTime && t.reusable && t.cn.delivered() {
		t.door.pool.put(t.cn)
	} else {
		t.door.pool.close(t.cn)
	}
}

// listed tells whether the server is still in the list. A connect may have taken long: nothing is
// begun on a server that was told to drain meanwhile.
func (t *attempt) listed() bool {
	return t.door.snap.Load().Servers.ByID[t.decision.Instance.ID] != nil
}

// send writes the request. An error proves that it has not run.
func (t *attempt) send() error {
	d, r := t.door, t.request
	priority := t.decision.Priority
	if r.header.Get(hPriority) != "" {
		priority = -1
	}
	head := r.head(t.decision.Instance.ID, priority, time.Until(r.deadline), t.answer.last, t.expectedVersion())
	if err := t.cn.send(head, r.body); err != nil {
		return err
	}
	d.mu.Lock()
	t.decision.Attempt.Sent(d.now())
	notice, work := t.decision.Attempt.PrefillNotice()
	d.mu.Unlock()
	if d.Notify != nil {
		d.Notify(notice, work)
	}
	return nil
}

// expectedVersion is the version that the server has to have: what the client says, or that of the
// events that the client has got.
func (t *attempt) expectedVersion() string {
	if own := t.request.header.Get(hExpectVersion); own != "" || !t.answer.begun {
		return own
	}
	return t.answer.version
}

// notSent classifies a request whose head did not leave whole.
func (t *attempt) notSent(ctx context.Context) outcome {
	t.door.pool.ages.Record(t.cn.slot, !t.fresh)
	if ctx.Err() != nil {
		return t.door.gone(ctx, notSent)
	}
	if t.fresh { // else the server closed a kept connection: nothing is wrong with it
		t.end = balancer.ConnectFailed
	}
	return notSent
}

// answerHead reads the head of the answer to the request. An answer that carries another id is a
// surplus one of an earlier request, and is passed over whole.
func (t *attempt) answerHead(ctx context.Context) (*http.Response, error) {
	cn, r := t.cn, t.request
	for range maxAnswers {
		if err := t.await(ctx); err != nil {
			return nil, err
		}
		resp, err := http1.ReadResponseHead(cn.br)
		if err != nil {
			return nil, err
		}
		if resp.Header.Get(hID) == r.id {
			return resp, nil
		}
		if resp.Header.Get(hID) == "" {
			if resp.StatusCode == http.StatusBadRequest && resp.Header.Get(hNotRun) != "" {
				return resp, nil // it could not read ours
			}
			return nil, http1.Malformed("an answer to no request")
		}
		if endsWithConnection(resp, r.method) {
			return nil, http1.Malformed("a surplus answer without length")
		}
		if _, err := readWhole(cn, resp, r.method); err != nil {
			return nil, err
		}
	}
	return nil, http1.Malformed("surplus answers")
}

// noAnswer classifies a request that was sent and of whose response no head came: it may have run.
func (t *attempt) noAnswer(ctx context.Context, err error) outcome {
	switch {
	case ctx.Err() == context.Canceled:
		return t.door.gone(ctx, mayRun)
	case ctx.Err() != nil:
		t.end = balancer.Timeout
		return mayRun
	}
	t.door.pool.ages.Record(t.cn.slot, !errors.Is(err, http1.ErrMalformed) && !timedOut(err))
	t.end = broken(err)
	return mayRun
}

// gotHead notes what the head of the response tells of the connection and the server.
func (t *attempt) gotHead(resp *http.Response) {
	d := t.door
	d.pool.ages.Record(t.cn.slot, false)
	t.cn.keep = keepFor(resp.Header.Get("Keep-Alive"))
	d.mu.Lock()
	t.decision.Attempt.Headers(d.now(), resp.StatusCode, load(resp.Header.Get(hLoad)))
	d.mu.Unlock()
}

// passOn passes a success on to the client.
func (t *attempt) passOn(ctx context.Context, resp *http.Response) (out outcome) {
	if resp.Header.Get(hSeal) == "" || resp.Header.Get("Content-Encoding") != "" {
		t.end = balancer.BadResponse
		return mayRun
	}
	if t.request.Route.Kind == config.Streaming && t.request.method != http.MethodHead {
		out, t.end, t.reusable = t.stream(ctx, resp)
	} else {
		out, t.end, t.reusable = t.success(ctx, resp)
	}
	t.reusable = t.reusable && !resp.Close
	return out
}

// failed classifies a response that is no success, and passes on what another server would answer
// as well.
func (t *attempt) failed(ctx context.Context, resp *http.Response) outcome {
	body, err := readWhole(t.cn, resp, t.request.method)
	if err != nil && ctx.Err() != nil {
		return t.door.gone(ctx, mayRun)
	}
	t.reusable = err == nil && !resp.Close
	if t.promised(resp) {
		return notRun
	}
	switch code := resp.StatusCode; {
	case err != nil:
		t.end = broken(err)
		return mayRun
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests || code == http.StatusRequestTimeout:
		// Without the server's word these promise nothing here, and would to the client.
		t.end = balancer.ServerError
		return mayRun
	case code >= 500:
		t.end = balancer.ServerError
		t.answer.first = &failure{code, resp.Header, body}
		return mayRun
	}
	t.end = balancer.ClientError
	if t.answer.begun {
		return mayRun
	}
	t.door.Figures.Failed.Add(1)
	t.door.whole(t.answer, &failure{resp.StatusCode, resp.Header, body})
	return done
}

// promised tells whether the server says that it has not run the request. Its head is enough.
func (t *attempt) promised(resp *http.Response) bool {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && t.expectedVersion() != "":
		t.end = balancer.ClientError // it may have other weights, and be the server that is listed
		return true
	case resp.StatusCode == http.StatusMisdirectedRequest:
		t.end = balancer.Misdirected
		return true
	case resp.Header.Get(hNotRun) == "":
		return false
	case resp.StatusCode == http.StatusBadRequest:
		t.end = balancer.ClientError
	default:
		t.end = balancer.Rejected
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 60 {
		t.answer.retryIn = time.Duration(s * float64(time.Second))
	}
	return true
}

// patience is until when a server is waited for. One that is silent over a stream that another may
// resume is left for another; for all else silence is no reason to end an answer sooner.
func (t *attempt) patience() time.Time {
	a, r := t.answer, t.request
	if !r.Route.Idempotent() || r.Route.MaxAttempts <= len(r.Tried)+1 {
		return r.deadline
	}
	wait := time.Duration(firstWait * float64(r.LatencyTarget))
	if a.begun {
		wait = pauseWait * time.Duration(r.Route.GapAimMs) * time.Millisecond
	}
	if by := time.Now().Add(max(wait, leastWait)); by.Before(r.deadline) {
		return by
	}
	return r.deadline
}

// await waits for more of an answer: as long as patience says, and on where the budget has no room
// for another server.
func (t *attempt) await(ctx context.Context) error {
	cn, r := t.cn, t.request
	by := t.patience()
	for {
		cn.SetReadDeadline(by)
		if ctx.Err() != nil {
			return ctx.Err() // the deadline that its end has set was just overwritten
		}
		if cn.br.Buffered() == 0 {
			_, err := cn.br.Peek(1)
			switch early := timedOut(err) && by.Before(r.deadline); {
			case early && cn.upload.running():
				by = t.patience() // it may still be reading
				continue
			case early && !t.door.pay(t.answer, r):
				by = r.deadline
				continue
			case err != nil:
				return noEOF(err)
			}
		}
		cn.SetReadDeadline(r.deadline)
		return ctx.Err()
	}
}

func timedOut(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// broken maps what ended an attempt after the request was sent.
func broken(err error) balancer.Outcome {
	switch {
	case errors.Is(err, http1.ErrMalformed):
		return balancer.BadResponse
	case timedOut(err):
		return balancer.Timeout
	}
	return balancer.Reset
}

// success passes on an answer that is no stream. Up to maxWhole it is held until it is whole; of a
// longer one the client sees by its length or its last chunk whether it was.
func (t *attempt) success(ctx context.Context, resp *http.Response) (outcome, balancer.Outcome, bool) {
	d, cn, a, r := t.door, t.cn, t.answer, t.request
	src, err := bodyOf(cn, resp, r.method)
	if err != nil {
		return mayRun, broken(err), false
	}
	cn.SetReadDeadline(r.deadline)
	body, err := io.ReadAll(io.LimitReader(src, maxWhole+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return d.gone(ctx, mayRun), balancer.Cancelled, false
	case err != nil:
		return mayRun, broken(err), false
	case len(body) <= maxWhole:
		d.Figures.Served.Add(1)
		d.whole(a, &failure{resp.StatusCode, resp.Header, body})
		return done, balancer.Succeeded, true
	}
	copyHead(a.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	_ = a.rc.SetWriteDeadline(r.deadline.Add(writeTime)) // best effort: the client's own time bounds it, too
	a.w.WriteHeader(resp.StatusCode)
	if _, err = a.w.Write(body); err == nil {
		_, err = io.Copy(a.w, src)
	}
	if err != nil {
		d.Figures.Cut.Add(1)
		return left, broken(err), false
	}
	d.Figures.Served.Add(1)
	return done, balancer.Succeeded, true
}
