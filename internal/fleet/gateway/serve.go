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
	// connects is how many servers one try may fail to connect to: none of them was sent anything.
	connects = 4
	// firstWait and pauseWait are how long the first event, and each further one, of a stream that
	// may be resumed is waited for before it goes on at another server, in setpoints and in pauses
	// that are still in time, and at least.
	firstWait, pauseWait, leastWait = 2.5, 4, 900 * time.Millisecond
)

// Figures count what became of requests.
type Figures struct {
	Requests, Served, Refused, Rejected, Failed, Cut, Resumed, Repeats, Left atomic.Int64
}

// outcome is how one attempt ended, and what that proves.
type outcome uint8

const (
	done    outcome = iota // the client has its answer, or what is left of it
	notSent                // no server was sent the whole request: it has not run, nor arrived
	notRun                 // a server says that it has not run
	mayRun                 // it may have run
	left                   // the client has gone
)

// draw is a random number from 0 up to 1.
func (d *Door) draw() float64 { return rand.Float64() }

// answer is what one try's answer has come to.
type answer struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	begun   bool   // the head has been sent
	last    string // id of the last event that was sent, or that the client named
	next    int64  // the id that follows it; 0: not known yet
	version string // of the weights that made the last event that was sent; "" if none is told
	joining bool   // the next event is the first of another server
	first   *failure
	retryIn time.Duration
	paid    bool // the budget has room for one more send, and has counted it
}

// failure is a server's whole answer that is no success, kept while another server is tried.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// serve offers a request to servers until it has its answer.
func (d *Door) serve(ctx context.Context, w http.ResponseWriter, r *request) {
	a := &answer{w: w, rc: http.NewResponseController(w), last: r.last}
	if n, err := strconv.ParseInt(r.last, 10, 64); err == nil {
		a.next = n + 1
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	d.mu.Lock()
	d.quota.RecordRequest(d.now(), r.Service)
	d.mu.Unlock()
	sent, missed, ran := 0, 0, false
	for {
		now := d.now()
		r.TimeLeft, r.Elapsed = time.Until(r.deadline), time.Since(r.arrived)
		d.mu.Lock()
		dec := d.picker.Pick(now, &r.Request)
		d.mu.Unlock()
		if dec.Action == balancer.Reject || r.TimeLeft <= 0 {
			if dec.Action != balancer.Reject {
				d.end(dec.Attempt, balancer.Cancelled)
			}
			d.giveUp(a, r, ran, dec.RetryAfter, dec.Reason)
			return
		}
		out := d.attempt(ctx, a, r, dec)
		r.Tried = append(r.Tried, dec.Instance.ID)
		switch out {
		case done:
			return
		case left:
			panic(http.ErrAbortHandler) // whatever it has of an answer must not look complete
		case notSent:
			missed++
		case notRun:
			sent++
		case mayRun:
			sent++
			ran = true
		}
		again := !ran || r.Route.Idempotent()
		switch {
		case !again, sent >= max(r.Route.MaxAttempts, 1), missed >= connects, ctx.Err() != nil, d.wornOut(a, r):
			d.giveUp(a, r, ran, soon, "attempts")
			return
		}
		if sent > 0 {
			if !d.pay(a, r) {
				d.giveUp(a, r, ran, soon, "budget")
				return
			}
			a.paid = false
			d.Figures.Repeats.Add(1)
		}
		if a.begun {
			d.Figures.Resumed.Add(1)
		}
	}
}

// pay asks the budget for one more send of a request, once for each.
func (d *Door) pay(a *answer, r *request) bool {
	if !a.paid {
		d.mu.Lock()
		a.paid = d.quota.TryRetry(d.now(), r.Service)
		d.mu.Unlock()
	}
	return a.paid
}

// wornOut tells whether a request can't be in time any more that has not begun to be answered.
func (d *Door) wornOut(a *answer, r *request) bool {
	return !a.begun && time.Until(r.deadline) < 30*time.Millisecond
}

// giveUp ends a request that no server has answered: at once, and with the promise that it has not
// run where that holds.
func (d *Door) giveUp(a *answer, r *request, ran bool, after time.Duration, why string) {
	switch {
	case a.begun:
		d.Figures.Cut.Add(1)
		panic(http.ErrAbortHandler) // no final chunk: it must not look complete
	case a.first != nil:
		d.Figures.Failed.Add(1)
		d.whole(a, a.first)
	case !ran:
		d.refuse(a.w, max(after, a.retryIn), why)
	case time.Until(r.deadline) <= 0:
		d.Figures.Failed.Add(1)
		a.w.WriteHeader(http.StatusGatewayTimeout)
	default:
		d.Figures.Failed.Add(1)
		a.w.WriteHeader(http.StatusBadGateway)
	}
}

func (d *Door) end(at *balancer.Attempt, how balancer.Outcome) {
	now := d.now()
	d.mu.Lock()
	at.End(now, how)
	d.mu.Unlock()
	if how != balancer.Succeeded && how != balancer.Cancelled && how != balancer.ClientError {
		d.look()
	}
}

// gone tells a client that left from a deadline that passed.
func (d *Door) gone(ctx context.Context, otherwise outcome) outcome {
	if ctx.Err() == context.Canceled {
		d.Figures.Left.Add(1)
		return left
	}
	return otherwise
}

// load reads what a server tells of its load: running, waiting, slots.
func load(field string) *balancer.Load {
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

// whole sends a whole answer of a server.
func (d *Door) whole(a *answer, f *failure) {
	copyHead(a.w.Header(), f.header)
	if n := f.header.Get("Content-Length"); n == "" || len(f.body) > 0 {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	} else { // to HEAD
		a.w.Header().Set("Content-Length", n)
	}
	a.w.WriteHeader(f.status)
	_, _ = a.w.Write(f.body) // a client that has gone is told nothing more
}

func copyHead(to, from http.Header) {
	for name, values := range http1.EndToEnd(from) {
		to[name] = values
	}
}

// check asks a server for its health in the background.
func (d *Door) check(ctx context.Context, in *registry.Instance) {
	ok, l := d.checkOne(ctx, in)
	now := d.now()
	d.mu.Lock()
	d.picker.HealthCheckDone(now, in.ID, ok, l)
	d.mu.Unlock()
	d.look()
}

func (d *Door) checkOne(ctx context.Context, in *registry.Instance) (bool, *balancer.Load) {
	path, host := "/health", in.Addr
	if doc := d.snap.Load().Config; doc != nil && doc.Services[in.Service] != nil && doc.Services[in.Service].HealthPath != "" {
		path = doc.Services[in.Service].HealthPath
	}
	ctx, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	cn, _, err := d.pool.get(ctx, in, time.Now().Add(checkTime))
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
	cn.SetDeadline(time.Now().Add(checkTime))
	if _, err := cn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")); err != nil {
		return false, nil
	}
	resp, err := http1.ReadResponseHead(cn.br)
	if err != nil {
		return false, nil
	}
	if _, err := readWhole(cn, resp, http.MethodGet); err != nil {
		return false, nil
	}
	reusable = !resp.Close
	cn.keep = keepFor(resp.Header.Get("Keep-Alive"))
	id := resp.Header.Get(hInstance)
	return resp.StatusCode == http.StatusOK && (id == "" || id == in.ID), load(resp.Header.Get(hLoad))
}

// Read is what the figures have come to, for operators.
func (f *Figures) Read() map[string]int64 {
	return map[string]int64{"requests": f.Requests.Load(), "served": f.Served.Load(), "refused": f.Refused.Load(),
		"rejected": f.Rejected.Load(), "failed": f.Failed.Load(), "cut": f.Cut.Load(), "resumed": f.Resumed.Load(),
		"repeats": f.Repeats.Load(), "left": f.Left.Load()}
}
