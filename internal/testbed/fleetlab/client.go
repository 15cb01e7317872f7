package fleetlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Class is a kind of request.
type Class struct {
	Name             string
	Host             string
	Path             string // within the route's prefix, begins with it
	Share            float64
	FirstEventTarget time.Duration // to the first event
	EventGapTarget   time.Duration // between events
	Deadline         time.Duration
	Timeout          time.Duration // of its route
	Resumable        bool
	MaxRetries       int
	SharedTokens     int // tokens of the part that a subject's requests share
	OwnTokens        int // tokens of a request's own part, on the mean
	MaxOutputTokens  int // tokens out
	BodyBytes        int // bytes
}

// commonPrefixTokens is the first part of all prompts of a class: its tokens.
const commonPrefixTokens = 128

const (
	connectTimeout = time.Second // for a new connection to come up
	// idleConnTimeout is how long a client keeps an idle connection; the routes' limit is longer.
	idleConnTimeout = 4 * time.Second
	// defaultRetryDelay is how long a client waits where it is not told.
	defaultRetryDelay = 60 * time.Millisecond
	maxErrorBody      = 64 << 10
	// forwardTarget is how long an event may take from its server to the client.
	forwardTarget = 120 * time.Millisecond
)

// idleTimeout is after how much of it a client gives a stream up.
func (c *Class) idleTimeout() time.Duration {
	return max(2*time.Second, 4*c.FirstEventTarget, 8*c.EventGapTarget)
}

// Verdict is what came of an ask, its tries together.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota
	Late
	Rejected
	Failed
)

func (v Verdict) String() string { return [...]string{"served", "late", "refused", "failed"}[v] }

// Outcome is the end of an ask.
type Outcome struct {
	Class          *Class
	Verdict        Verdict
	FailureReason  string // of a failure
	Attempts       int
	FirstEvent     time.Duration // to the first event, from the first try; 0: none came
	LongestGap     time.Duration // the longest between events
	LongestForward time.Duration // the longest that an event took from its server
}

// Clients ask, as many as there are, over connections that some keep.
type Clients struct {
	classes  []*Class
	balancer *LoadBalancer
	now      func() time.Duration
	recorder *recorder
	seed     uint64
	zones    []string
	idPrefix string // tells the ids of these clients from others'

	mu   sync.Mutex
	idle map[int][]*conn // by client

	inProgress sync.WaitGroup
}

func newClients(classes []*Class, e *LoadBalancer, now func() time.Duration, s *recorder, seed uint64, zones []string, tag string) *Clients {
	return &Clients{classes: classes, balancer: e, now: now, recorder: s, seed: seed, zones: zones, idPrefix: tag, idle: map[int][]*conn{}}
}

// request is one thing that a client wants.
type request struct {
	class  *Class
	client int
	number int
	prompt modelserver.Prompt
	body   string
}

// newRequest draws an ask; equal plans give equal asks.
func (c *Clients) newRequest(a *loadgen.Ask) *request {
	class := c.classes[a.Class]
	rng := rand.New(rand.NewPCG(c.seed, uint64(a.Number)))
	own := class.OwnTokens/2 + rng.IntN(class.OwnTokens+1)
	body := strings.Repeat("x", class.BodyBytes/2+rng.IntN(class.BodyBytes+1)) + strconv.Itoa(a.Number)
	return &request{class: class, client: a.Agent, number: a.Number, body: body, prompt: modelserver.Prompt{Model: "m",
		Tokens: fmt.Sprintf("%d,%d", commonPrefixTokens+class.SharedTokens+own, class.MaxOutputTokens),
		Prefix: fmt.Sprintf("%x:%d,%x:%d,%x:%d", modelserver.Sum(class.Name)>>32, commonPrefixTokens, modelserver.Sum(class.Name, strconv.Itoa(a.Key))>>32, class.SharedTokens,
			modelserver.Sum(c.idPrefix, strconv.Itoa(a.Number))>>32, own), Body: modelserver.Sum(body)}}
}

// Run sends the asks of a plan at their times and tells done of each outcome, from many
// goroutines. It returns when all are out.
func (c *Clients) Run(ctx context.Context, plan []loadgen.Ask, done func(Outcome)) {
	start := c.now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range plan {
		timer.Reset(max(start+plan[i].At-c.now(), 0))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		c.inProgress.Go(func() { done(c.send(ctx, c.newRequest(&plan[i]))) })
	}
	c.inProgress.Wait()
}

// Close ends the connections that are kept, and looks once more for what came on them.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			c.isQuiet(k)
			k.Close()
		}
	}
	c.idle = map[int][]*conn{}
}

// send sends a request, and again as its client does.
func (c *Clients) send(ctx context.Context, a *request) Outcome {
	class := a.class
	began := c.now()
	end := began + class.Deadline
	o := Outcome{Class: class}
	var got []ReceivedEvent // over the tries: a stream may be taken up
	for {
		o.Attempts++
		after := 0
		if class.Resumable && len(got) > 0 {
			after = got[len(got)-1].N
		}
		t := c.attempt(ctx, a, o.Attempts, after, end)
		c.recorder.attemptEnded(t)
		if t.Status/100 == 2 {
			got = append(got, t.Events...)
		}
		o.update(t, got, began)
		promised := t.Status == 503 || t.Status == 429 || t.Status == 408 || t.Status == 421
		again := promised || t.EndReason == NoConnect || class.Resumable && (t.Status == 0 || t.Status >= 500 || t.Status/100 == 2 && !t.Complete)
		if o.Verdict <= Late || !again || o.Attempts > class.MaxRetries || ctx.Err() != nil {
			return o
		}
		wait := defaultRetryDelay
		if t.RetryAfter > 0 {
			wait = min(t.RetryAfter, (end-c.now())/3)
		}
		if c.now()+wait >= end {
			return o
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return o
		}
	}
}

// update notes what a try made of an ask.
func (o *Outcome) update(t *Attempt, got []ReceivedEvent, began time.Duration) {
	o.FirstEvent, o.LongestGap, o.LongestForward, o.FailureReason = 0, 0, 0, ""
	for i, e := range got {
		if i == 0 {
			o.FirstEvent = e.ReceivedAt - began
		} else {
			o.LongestGap = max(o.LongestGap, e.ReceivedAt-got[i-1].ReceivedAt)
		}
		o.LongestForward = max(o.LongestForward, e.ReceivedAt-e.At)
	}
	switch {
	case t.Status/100 == 2 && t.Complete:
		o.Verdict = Served
		if o.FirstEvent > o.Class.FirstEventTarget || o.LongestGap > o.Class.EventGapTarget || o.LongestForward > forwardTarget {
			o.Verdict = Late
		}
	case t.Status == 503 || t.Status == 429 || t.Status == 408 || t.Status == 421:
		o.Verdict, o.FailureReason = Rejected, strconv.Itoa(t.Status)
	case t.Status/100 == 2:
		o.Verdict, o.FailureReason = Failed, t.EndReason.String()+" midway"
	case t.Status != 0:
		o.Verdict, o.FailureReason = Failed, strconv.Itoa(t.Status)
	default:
		o.Verdict, o.FailureReason = Failed, t.EndReason.String()
	}
}

// acquireConn gives a connection: one that is kept on the first try, else a new one.
func (c *Clients) acquireConn(ctx context.Context, client, try int) (*conn, string, error) {
	for try == 1 {
		c.mu.Lock()
		list := c.idle[client]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		k := list[len(list)-1]
		c.idle[client] = list[:len(list)-1]
		c.mu.Unlock()
		if c.isQuiet(k) && c.now()-k.idleSince < idleConnTimeout {
			return k, k.agent, nil
		}
		k.Close()
	}
	a := c.balancer.Pick(c.zones[client%len(c.zones)], client, try)
	if a == nil {
		return nil, "", errors.New("nobody to connect to")
	}
	return dial(ctx, a)
}

// isQuiet tells whether nothing came on an idle connection, and notes it if something did.
func (c *Clients) isQuiet(k *conn) bool {
	if k.reader.Buffered() > 0 {
		c.recordExtraBytes(k)
		return false
	}
	raw, err := k.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var rerr error
	if err := raw.Read(func(fd uintptr) bool {
		n, _, rerr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	}); err != nil {
		return false
	}
	if rerr == nil && n > 0 {
		c.recordExtraBytes(k)
	}
	return errors.Is(rerr, unix.EAGAIN)
}

func (c *Clients) recordExtraBytes(k *conn) {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	if k.lastAttempt != nil {
		k.lastAttempt.ExtraBytes = true
	}
}

// releaseConn puts a connection away for the client's next request.
func (c *Clients) releaseConn(client int, k *conn, t *Attempt) {
	k.lastAttempt, k.idleSince = t, c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[client] = append(c.idle[client], k)
}

// attempt is one request on the wire, with an id of its own.
func (c *Clients) attempt(ctx context.Context, a *request, n, after int, end time.Duration) *Attempt {
	class := a.class
	t := &Attempt{ID: fmt.Sprintf("%s%06x-%d", c.idPrefix, a.number, n), Class: class.Name, Method: http.MethodPost, Host: class.Host,
		Target: class.Path + "gen?n=" + strconv.Itoa(a.number), Prompt: a.prompt, Idempotent: class.Resumable, Resumable: class.Resumable,
		AfterEvent: after, Deadline: end, Timeout: class.Timeout}
	t.StartedAt = c.now()
	k, agent, err := c.acquireConn(ctx, a.client, n)
	t.Agent = agent
	if err != nil {
		t.EndReason, t.EndedAt = NoConnect, c.now()
		return t
	}
	c.recorder.attemptStarted(t.ID, t.Agent)
	if again := k.exchange(ctx, c.now, t, a.body, a.client%2 == 0, class.idleTimeout()); again {
		c.releaseConn(a.client, k, t)
		return t
	}
	k.Close()
	return t
}
