package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// maxConnectFailures is how many servers one try may fail to connect to: none of them was sent anything.
	maxConnectFailures = 4
	// firstEventTimeoutSetpoints and eventTimeoutGaps are how long the first event, and each further one, of a stream that
	// may be resumed is waited for before it goes on at another server, in setpoints and in pauses
	// that are still in time, and at least.
	firstEventTimeoutSetpoints, eventTimeoutGaps, minStallTimeout = 2.5, 4, 900 * time.Millisecond
)

// Counters count what became of requests.
type Counters struct {
	Requests, Served, Refused, Rejected, Failed, Truncated, Resumed, Retries, ClientDisconnects atomic.Int64
}

// outcome is how one attempt ended, and what that proves.
type outcome uint8

const (
	outcomeAnswered    outcome = iota // the client has its answer, or what is left of it
	outcomeNotSent                    // no server was sent the whole request: it has not run, nor arrived
	outcomeNotExecuted                // a server says that it has not run
	outcomeUnknown                    // it may have run
	outcomeClientGone                 // the client has gone
)

// draw is a random number from 0 up to 1.
func (d *Gateway) draw() float64 { return rand.Float64() }

// clientResponse is what one try's answer has come to.
type clientResponse struct {
	writer        http.ResponseWriter
	controller    *http.ResponseController
	headerSent    bool   // the head has been sent
	lastEventID   string // id of the last event that was sent, or that the client named
	nextEventID   int64  // the id that follows it; 0: not known yet
	version       string // of the weights that made the last event that was sent; "" if none is told
	resuming      bool   // the next event is the first of another server
	failure       *bufferedResponse
	retryAfter    time.Duration
	retryReserved bool // the budget has room for one more send, and has counted it
}

// bufferedResponse is a server's whole answer that is no success, kept while another server is tried.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forward offers a request to servers until it has its answer.
func (d *Gateway) forward(ctx context.Context, w http.ResponseWriter, r *request) {
	a := &clientResponse{writer: w, controller: http.NewResponseController(w), lastEventID: r.lastEventID}
	if n, err := strconv.ParseInt(r.lastEventID, 10, 64); err == nil {
		a.nextEventID = n + 1
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	d.mu.Lock()
	d.retryBudget.RecordRequest(d.now(), r.Service)
	d.mu.Unlock()
	sent, missed, ran := 0, 0, false
	for {
		now := d.now()
		r.TimeLeft, r.Elapsed = time.Until(r.deadline), time.Since(r.receivedAt)
		d.mu.Lock()
		dec := d.picker.Pick(now, &r.Request)
		d.mu.Unlock()
		if dec.Action == balancer.Reject || r.TimeLeft <= 0 {
			if dec.Action != balancer.Reject {
				d.endAttempt(dec.Attempt, balancer.Cancelled)
			}
			d.finishUnanswered(a, r, ran, dec.RetryAfter, dec.Reason)
			return
		}
		out := d.attempt(ctx, a, r, dec)
		r.Tried = append(r.Tried, dec.Instance.ID)
		switch out {
		case outcomeAnswered:
			return
		case outcomeClientGone:
			panic(http.ErrAbortHandler) // whatever it has of an answer must not look complete
		case outcomeNotSent:
			missed++
		case outcomeNotExecuted:
			sent++
		case outcomeUnknown:
			sent++
			ran = true
		}
		again := !ran || r.Route.Idempotent()
		switch {
		case !again, sent >= max(r.Route.MaxAttempts, 1), missed >= maxConnectFailures, ctx.Err() != nil, d.pastUsefulDeadline(a, r):
			d.finishUnanswered(a, r, ran, defaultRetryAfter, "attempts")
			return
		}
		if sent > 0 {
			if !d.reserveRetry(a, r) {
				d.finishUnanswered(a, r, ran, defaultRetryAfter, "budget")
				return
			}
			a.retryReserved = false
			d.Counters.Retries.Add(1)
		}
		if a.headerSent {
			d.Counters.Resumed.Add(1)
		}
	}
}

// reserveRetry asks the budget for one more send of a request, once for each.
func (d *Gateway) reserveRetry(a *clientResponse, r *request) bool {
	if !a.retryReserved {
		d.mu.Lock()
		a.retryReserved = d.retryBudget.TryRetry(d.now(), r.Service)
		d.mu.Unlock()
	}
	return a.retryReserved
}

// pastUsefulDeadline tells whether a request can't be in time any more that has not begun to be answered.
func (d *Gateway) pastUsefulDeadline(a *clientResponse, r *request) bool {
	return !a.headerSent && time.Until(r.deadline) < 30*time.Millisecond
}

// finishUnanswered ends a request that no server has answered: at once, and with the promise that it has not
// run where that holds.
func (d *Gateway) finishUnanswered(a *clientResponse, r *request, ran bool, after time.Duration, why string) {
	switch {
	case a.headerSent:
		d.Counters.Truncated.Add(1)
		panic(http.ErrAbortHandler) // no final chunk: it must not look complete
	case a.failure != nil:
		d.Counters.Failed.Add(1)
		d.writeBuffered(a, a.failure)
	case !ran:
		d.refuse(a.writer, max(after, a.retryAfter), why)
	case time.Until(r.deadline) <= 0:
		d.Counters.Failed.Add(1)
		a.writer.WriteHeader(http.StatusGatewayTimeout)
	default:
		d.Counters.Failed.Add(1)
		a.writer.WriteHeader(http.StatusBadGateway)
	}
}

func (d *Gateway) endAttempt(at *balancer.Attempt, how balancer.Outcome) {
	now := d.now()
	d.mu.Lock()
	at.End(now, how)
	d.mu.Unlock()
	if how != balancer.Succeeded && how != balancer.Cancelled && how != balancer.ClientError {
		d.wakeHealthChecks()
	}
}

// cancelledOutcome tells a client that left from a deadline that passed.
func (d *Gateway) cancelledOutcome(ctx context.Context, otherwise outcome) outcome {
	if ctx.Err() == context.Canceled {
		d.Counters.ClientDisconnects.Add(1)
		return outcomeClientGone
	}
	return otherwise
}

// parseLoad reads what a server tells of its load: running, waiting, slots.
func parseLoad(field string) *balancer.Load {
	p := strings.Split(field, ",")
	if len(p) != 3 {
		return nil
	}
	var n [3]int
	for i := range p {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(p[i])); err != nil || n[i] < 0 {
			return nil
		}
	}
	return &balancer.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// writeBuffered sends a whole answer of a server.
func (d *Gateway) writeBuffered(a *clientResponse, f *bufferedResponse) {
	copyEndToEndHeader(a.writer.Header(), f.header)
	if n := f.header.Get("Content-Length"); n == "" || len(f.body) > 0 {
		a.writer.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	} else { // to HEAD
		a.writer.Header().Set("Content-Length", n)
	}
	a.writer.WriteHeader(f.status)
	_, _ = a.writer.Write(f.body) // a client that has gone is told nothing more
}

func copyEndToEndHeader(to, from http.Header) {
	for name, values := range http1.EndToEnd(from) {
		to[name] = values
	}
}

// checkHealth asks a server for its health in the background.
func (d *Gateway) checkHealth(ctx context.Context, in *registry.Instance) {
	ok, l := d.probeHealth(ctx, in)
	now := d.now()
	d.mu.Lock()
	d.picker.HealthCheckDone(now, in.ID, ok, l)
	d.mu.Unlock()
	d.wakeHealthChecks()
}

func (d *Gateway) probeHealth(ctx context.Context, in *registry.Instance) (bool, *balancer.Load) {
	path, host := "/health", in.Addr
	if doc := d.snapshot.Load().Config; doc != nil && doc.Services[in.Service] != nil && doc.Services[in.Service].HealthPath != "" {
		path = doc.Services[in.Service].HealthPath
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	cn, _, err := d.pool.get(ctx, in, time.Now().Add(healthCheckTimeout))
	if err != nil {
		return false, nil
	}
	reusable := false
	defer func() {
		if reusable {
			d.pool.put(cn)
		} else {
			d.pool.close(cn)
		}
	}()
	cn.SetDeadline(time.Now().Add(healthCheckTimeout))
	if _, err := cn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")); err != nil {
		return false, nil
	}
	resp, err := http1.ReadResponseHead(cn.reader)
	if err != nil {
		return false, nil
	}
	if _, err := readBoundedBody(cn, resp, http.MethodGet); err != nil {
		return false, nil
	}
	reusable = !resp.Close
	cn.keepAlive = parseKeepAlive(resp.Header.Get("Keep-Alive"))
	id := resp.Header.Get(headerInstanceID)
	return resp.StatusCode == http.StatusOK && (id == "" || id == in.ID), parseLoad(resp.Header.Get(headerServerLoad))
}

// Values is what the figures have come to, for operators.
func (f *Counters) Values() map[string]int64 {
	return map[string]int64{"requests": f.Requests.Load(), "served": f.Served.Load(), "refused": f.Refused.Load(),
		"rejected": f.Rejected.Load(), "failed": f.Failed.Load(), "cut": f.Truncated.Load(), "resumed": f.Resumed.Load(),
		"repeats": f.Retries.Load(), "left": f.ClientDisconnects.Load()}
}
