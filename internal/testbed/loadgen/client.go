package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/backend"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

// Verdict is the final result of a planned request, including its retry.
type Verdict uint8

// The verdicts.
const (
	Served  Verdict = iota // answered in time
	Late                   // answered after the class's target latency
	Refused                // answered with status 429 or 503
	Failed                 // any other answer, an error or a timeout
	Gone                   // the client left early, before an answer
)

func (v Verdict) String() string {
	return [...]string{"served", "late", "refused", "failed", "gone"}[v]
}

// Outcome is the result of a planned request.
type Outcome struct {
	Request   *PlannedRequest
	Verdict   Verdict
	Latency   time.Duration // time from when it was planned to be sent to its last answer
	SendDelay time.Duration // delay with which the testbed sent it
	Tries     int           // number of times that it was sent, 1 or 2
}

// Client sends the requests of one agent's clients, over persistent connections.
type Client struct {
	cfg       *Config
	agent     string
	addr      string
	url       string
	log       *referee.Log
	loadStart time.Duration // start of the load, on the log's clock
	pooled    *http.Client
	unpooled  *http.Client // uses a new connection for each request
	tries     *Tries
	inFlight  sync.WaitGroup // requests in flight

	socketReads atomic.Int64 // number of dropped requests for which the agent's sockets were to be read
}

// Tries is a registry, for the report servers, of the work and the effect of each try by its request id.
// It only keeps tries in flight and those that ended in the last registrationLinger. It is safe for concurrent
// use.
type Tries struct {
	mu   sync.Mutex
	byID map[string]try
}

// try describes one send of a request.
type try struct {
	work   float64 // in ms of a core of speed 1
	effect referee.Effect
}

// NewTries returns an empty registry.
func NewTries() *Tries { return &Tries{byID: map[string]try{}} }

// Work implements backend.Work.
func (t *Tries) Work(id string) (float64, referee.Effect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[id]
	return x.work, x.effect, ok
}

// add registers a try.
func (t *Tries) add(id string, work float64, effect referee.Effect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[id] = try{work, effect}
}

// registrationLinger is how long a request id stays registered after the request's end, since attempts may still
// arrive.
const registrationLinger = 10 * time.Second

// removeLater removes a request id after registrationLinger.
func (t *Tries) removeLater(id string) {
	time.AfterFunc(registrationLinger, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byID, id)
	})
}

// maxConns is the maximum number of connections of a client: a third of an agent's file descriptors, as the
// protocol says. More requests wait for a connection, which counts towards their latency.
const maxConns = 170

// NewClient returns a client of the agent at an address. The start of the load is on the log's clock.
func NewClient(cfg *Config, agent, addr string, start time.Duration, log *referee.Log, tries *Tries) *Client {
	dialer := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
	return &Client{cfg: cfg, agent: agent, addr: addr, url: "http://" + addr, log: log, loadStart: start, tries: tries,
		pooled: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxConns,
			MaxConnsPerHost: maxConns, IdleConnTimeout: 8 * time.Second, DisableCompression: true}},
		unpooled: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true,
			DisableCompression: true}}}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Run sends the requests of a plan at their times and calls done with each outcome, from many goroutines.
// It returns when all of them have an outcome.
func (c *Client) Run(ctx context.Context, plan []*PlannedRequest, done func(Outcome)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, a := range plan {
		if wait := c.loadStart + a.At - c.log.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.inFlight.Add(1)
		go func() {
			defer c.inFlight.Done()
			done(c.send(ctx, a))
		}()
	}
	c.inFlight.Wait()
}

// send sends a planned request, and retries it once if the configuration and its class allow it.
func (c *Client) send(ctx context.Context, a *PlannedRequest) Outcome {
	plannedAt := c.loadStart + a.At
	class := &c.cfg.Classes[a.Class]
	o := Outcome{Request: a, SendDelay: c.log.Now() - plannedAt}
	end := plannedAt + class.Timeout
	for {
		o.Tries++
		v, retryAfter := c.try(ctx, a, o.Tries, end)
		o.Verdict, o.Latency = v, c.log.Now()-plannedAt
		if v == Served && o.Latency > class.TargetLatency {
			o.Verdict = Late
		}
		retry := v == Refused || v == Failed && class.Effect != referee.NonIdempotent
		if !retry || !c.cfg.Retry.Enabled || o.Tries > 1 || ctx.Err() != nil {
			return o
		}
		wait := c.cfg.Retry.MinDelay
		if c.cfg.Retry.HonorRetryAfter {
			wait = max(wait, retryAfter)
		}
		if c.log.Now()+wait+time.Millisecond >= end {
			return o
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return o
		}
	}
}

// try sends a request once, with a request id of its own. It returns the Retry-After of a refusal; 0 if there is none.
func (c *Client) try(ctx context.Context, a *PlannedRequest, n int, end time.Duration) (v Verdict, retryAfter time.Duration) {
	class := &c.cfg.Classes[a.Class]
	id := fmt.Sprintf("%06x-%d", a.Number, n)
	left := end - c.log.Now()
	// The client waits a little longer for the answer than the timeout in its request, since the agent
	// counts that from when it has received the request.
	ctx, cancel := context.WithTimeout(ctx, left+time.Second)
	defer cancel()
	leaves := a.LeavesAfter > 0 && a.LeavesAfter < left
	if leaves {
		ctx, cancel = context.WithTimeout(ctx, a.LeavesAfter)
		defer cancel()
	}
	method, body := http.MethodPost, io.Reader(strings.NewReader("{}"))
	if class.Effect == referee.Idempotent {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("%s/api/orders/%d", c.url, a.Key), body)
	if err != nil {
		panic(err) // cannot happen: the URL is made of numbers
	}
	h := req.Header
	h.Set("Request-Id", id)
	h.Set("Request-Class", class.Name)
	if len(c.cfg.Tenants) > 0 {
		h.Set("Tenant", c.cfg.Tenants[a.Tenant].Name)
	}
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	// A persistent connection may be closed while a request is written to it. The protocol asks the
	// client to send that request again, on a new connection.
	var reused atomic.Bool
	key := ""
	if class.Effect == referee.Deduplicated {
		key = fmt.Sprintf("key-%06x", a.Number)
		h.Set("Idempotency-Key", key)
	}
	if n > 1 {
		h.Set("Client-Retry", "1")
	}
	c.tries.add(id, a.Work, class.Effect)
	defer c.tries.removeLater(id)
	event := referee.Event{Agent: c.agent, Request: id, Effect: class.Effect, Key: key, Deadline: end}
	note := func(k referee.Kind) {
		event.Kind, event.At = k, 0
		c.log.Add(event)
	}
	var asked atomic.Bool
	var connected atomic.Int64 // when the request got its last connection, on the log's clock
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(g httptrace.GotConnInfo) {
			reused.Store(g.Reused)
			connected.Store(int64(c.log.Now()))
		},
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			if w.Err == nil && !asked.Swap(true) { // the request may be written twice
				note(referee.Asked)
			}
		}}))
	resp, err := c.pooled.Do(req)
	if err != nil && reused.Load() && ctx.Err() == nil {
		if req.GetBody != nil {
			req.Body, _ = req.GetBody() // cannot fail: the body is a string
		}
		resp, err = c.unpooled.Do(req)
	}
	var text []byte
	if err == nil {
		text, err = io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		resp.Body.Close()
	}
	if err != nil {
		var opErr *net.OpError
		switch {
		case leaves && errors.Is(ctx.Err(), context.DeadlineExceeded):
			note(referee.Left)
			return Gone, 0
		case !asked.Load() && errors.As(err, &opErr) && opErr.Op == "dial":
			return Failed, 0 // not accepted: the connection failed
		case ctx.Err() != nil: // no answer in time: the referee detects this by the missing event
			return Failed, 0
		}
		event.ConnectedAt, event.Detail = time.Duration(connected.Load()), c.dropDetail(err)
		note(referee.Dropped)
		return Failed, 0
	}
	event.Status, event.Valid = resp.StatusCode, string(text) == backend.Answer(id)
	note(referee.Answered)
	switch resp.StatusCode {
	case http.StatusOK:
		return Served, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(s * float64(time.Second))
		}
		return Refused, retryAfter
	}
	return Failed, 0
}
