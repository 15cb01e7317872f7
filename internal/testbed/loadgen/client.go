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

// Verdict is what came of an ask, its retry included.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota // in time
	Late
	Refused
	Failed
	Gone // the client left first, on its own
)

func (v Verdict) String() string {
	return [...]string{"served", "late", "refused", "failed", "gone"}[v]
}

// Outcome is the end of an ask.
type Outcome struct {
	Ask     *Ask
	Verdict Verdict
	Took    time.Duration // from when it was meant to be sent to its last answer
	Behind  time.Duration // how late the laboratory itself sent it
	Tries   int
}

// Client sends what one agent is asked for, over connections that it keeps.
type Client struct {
	cfg    *Config
	agent  string
	addr   string
	url    string
	log    *referee.Log
	start  time.Duration // of the load, on the log's clock
	http   *http.Client
	fresh  *http.Client // uses no connection twice
	tries  *Tries
	wanted sync.WaitGroup

	socketReads atomic.Int64 // for dropped requests
}

// Tries knows, for report servers, what each request takes by its id. It is safe for
// concurrent use, and keeps what is under way only.
type Tries struct {
	mu    sync.Mutex
	tries map[string]try
}

type try struct {
	work   float64
	effect referee.Effect
}

// NewTries returns an empty registry.
func NewTries() *Tries { return &Tries{tries: map[string]try{}} }

// Work is of emu.Work.
func (t *Tries) Work(id string) (float64, referee.Effect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.tries[id]
	return x.work, x.effect, ok
}

func (t *Tries) add(id string, work float64, effect referee.Effect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tries[id] = try{work, effect}
}

// linger is how long a request's id stays known after its end: attempts may still arrive.
const linger = 10 * time.Second

func (t *Tries) drop(id string) {
	time.AfterFunc(linger, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.tries, id)
	})
}

// maxConns bounds the connections of a client: a third of an agent's descriptors, as the
// protocol says. Beyond it requests wait, on their own time.
const maxConns = 170

// NewClient returns the client of an agent at an address. The load starts at a time of the
// log's clock.
func NewClient(cfg *Config, agent, addr string, start time.Duration, log *referee.Log, tries *Tries) *Client {
	dialer := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
	return &Client{cfg: cfg, agent: agent, addr: addr, url: "http://" + addr, log: log, start: start, tries: tries,
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxConns,
			MaxConnsPerHost: maxConns, IdleConnTimeout: 8 * time.Second, DisableCompression: true}},
		fresh: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}}
}

// Close ends its connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the asks of a plan that are its agent's at their times and calls done with each
// outcome, from many goroutines; it returns when all are out.
func (c *Client) Run(ctx context.Context, plan []*Ask, done func(Outcome)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for _, a := range plan {
		if wait := c.start + a.At - c.log.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.wanted.Add(1)
		go func() {
			defer c.wanted.Done()
			done(c.ask(ctx, a))
		}()
	}
	c.wanted.Wait()
}

// ask sends a request, and once more where its client does.
func (c *Client) ask(ctx context.Context, a *Ask) Outcome {
	meant := c.start + a.At
	class := &c.cfg.Classes[a.Class]
	o := Outcome{Ask: a, Behind: c.log.Now() - meant}
	end := meant + class.GiveUp
	for {
		o.Tries++
		v, after := c.try(ctx, a, o.Tries, end)
		o.Verdict, o.Took = v, c.log.Now()-meant
		if v == Served && o.Took > class.Aim {
			o.Verdict = Late
		}
		again := v == Refused || v == Failed && class.Effect != referee.Once
		if !again || !c.cfg.Retry.Once || o.Tries > 1 || ctx.Err() != nil {
			return o
		}
		wait := c.cfg.Retry.After
		if c.cfg.Retry.Heed {
			wait = max(wait, after)
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

// try is one request on the wire, with an id of its own.
func (c *Client) try(ctx context.Context, a *Ask, n int, end time.Duration) (v Verdict, after time.Duration) {
	class := &c.cfg.Classes[a.Class]
	id := fmt.Sprintf("%06x-%d", a.Number, n)
	left := end - c.log.Now()
	// The client waits a little longer for the answer than it says, as its time starts when
	// the agent has the request.
	ctx, cancel := context.WithTimeout(ctx, left+time.Second)
	defer cancel()
	leaves := a.Leaves > 0 && a.Leaves < left
	if leaves {
		ctx, cancel = context.WithTimeout(ctx, a.Leaves)
		defer cancel()
	}
	method, body := http.MethodPost, io.Reader(strings.NewReader("{}"))
	if class.Effect == referee.Repeat {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("%s/api/orders/%d", c.url, a.Key), body)
	if err != nil {
		panic(err) // made of numbers
	}
	h := req.Header
	h.Set("Request-Id", id)
	h.Set("Request-Class", class.Name)
	if len(c.cfg.Tenants) > 0 {
		h.Set("Tenant", c.cfg.Tenants[a.Tenant].Name)
	}
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	// A connection that is kept may be closed as a request is written to it: the protocol has
	// the client send that once more on a new one.
	var reused atomic.Bool
	key := ""
	if class.Effect == referee.Keyed {
		key = fmt.Sprintf("key-%06x", a.Number)
		h.Set("Idempotency-Key", key)
	}
	if n > 1 {
		h.Set("Client-Retry", "1")
	}
	c.tries.add(id, a.Work, class.Effect)
	defer c.tries.drop(id)
	seen := referee.Event{Agent: c.agent, Request: id, Effect: class.Effect, Key: key, Deadline: end}
	note := func(k referee.Kind) {
		seen.Kind, seen.At = k, 0
		c.log.Add(seen)
	}
	var asked atomic.Bool
	var connected atomic.Int64 // when it got its last connection, on the log's clock
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(g httptrace.GotConnInfo) {
			reused.Store(g.Reused)
			connected.Store(int64(c.log.Now()))
		},
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			if w.Err == nil && !asked.Swap(true) { // it may be written again
				note(referee.Asked)
			}
		}}))
	resp, err := c.http.Do(req)
	if err != nil && reused.Load() && ctx.Err() == nil {
		if req.GetBody != nil {
			req.Body, _ = req.GetBody() // of a string
		}
		resp, err = c.fresh.Do(req)
	}
	var text []byte
	if err == nil {
		text, err = io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		resp.Body.Close()
	}
	if err != nil {
		var refused *net.OpError
		switch {
		case leaves && errors.Is(ctx.Err(), context.DeadlineExceeded):
			note(referee.Left)
			return Gone, 0
		case !asked.Load() && errors.As(err, &refused) && refused.Op == "dial":
			return Failed, 0 // not taken: nobody is there
		case ctx.Err() != nil: // waited for longer than its time: the referee tells by what is missing
			return Failed, 0
		}
		seen.Connected, seen.Detail = time.Duration(connected.Load()), c.dropDetail(err)
		note(referee.Dropped)
		return Failed, 0
	}
	seen.Status, seen.Whole = resp.StatusCode, string(text) == backend.Answer(id)
	note(referee.Answered)
	switch resp.StatusCode {
	case http.StatusOK:
		return Served, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			after = time.Duration(s * float64(time.Second))
		}
		return Refused, after
	}
	return Failed, 0
}
