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

// Class is a class of requests, with a route of its own.
type Class struct {
	Name             string
	Host             string
	Path             string // the route's path prefix
	Share            float64
	FirstEventTarget time.Duration // latency target of the first event
	EventGapTarget   time.Duration // between events
	Deadline         time.Duration
	Timeout          time.Duration // of its route
	Resumable        bool
	MaxRetries       int
	SharedTokens     int // of the prompt prefix that the requests of one key share
	OwnTokens        int // mean, of the rest of the prompt
	MaxOutputTokens  int // of the response
	BodyBytes        int // mean
}

// commonPrefixTokens is the length of the prompt prefix that all requests of a class share.
const commonPrefixTokens = 128

const (
	// connectTimeout bounds a connect.
	connectTimeout = time.Second
	// idleConnTimeout is how long a client keeps an idle connection. The agents' limit is longer.
	idleConnTimeout = 4 * time.Second
	// defaultRetryDelay is the pause before a retry without Retry-After.
	defaultRetryDelay = 60 * time.Millisecond
	// maxErrorBody bounds the bytes that are read of an error response.
	maxErrorBody = 64 << 10
	// forwardTarget is the latency target of an event from its server to the client.
	forwardTarget = 120 * time.Millisecond
)

// idleTimeout is how long a client waits for the next event.
func (c *Class) idleTimeout() time.Duration {
	return max(2*time.Second, 4*c.FirstEventTarget, 8*c.EventGapTarget)
}

// Verdict is the outcome of a request over all its attempts. Up to Late it was served.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota // completely, within the latency targets
	Late                    // completely, beyond a latency target
	Rejected                // by status 503, 429, 408 or 421: the agent guarantees that it was not executed
	Failed
)

// String is the verdict in lower case.
func (v Verdict) String() string { return [...]string{"served", "late", "refused", "failed"}[v] }

// Outcome is the outcome of a request.
type Outcome struct {
	Class          *Class
	StartedAt      time.Duration // of the first attempt
	Verdict        Verdict
	FailureReason  string // "" if served
	Attempts       int
	FirstEvent     time.Duration // from the first attempt to the first event; 0: no event
	LongestGap     time.Duration // between two events
	LongestForward time.Duration // from the server to the client, of one event
}

// Clients send requests. Some reuse connections. Its methods may be called concurrently.
type Clients struct {
	classes  []*Class
	balancer *LoadBalancer
	now      func() time.Duration
	recorder *recorder
	seed     uint64
	zones    []string
	idPrefix string // of the ids of the attempts

	mu   sync.Mutex
	idle map[int][]*conn // by the number of the client

	inProgress sync.WaitGroup
}

// newClients creates clients that are distributed over zones.
func newClients(classes []*Class, e *LoadBalancer, now func() time.Duration, s *recorder, seed uint64, zones []string, tag string) *Clients {
	return &Clients{classes: classes, balancer: e, now: now, recorder: s, seed: seed, zones: zones, idPrefix: tag, idle: map[int][]*conn{}}
}

// request is what a client sends, possibly in several attempts.
type request struct {
	class  *Class
	client int
	number int
	prompt modelserver.Prompt
	body   string
}

// newRequest draws the details of a planned request: they follow from the seed and the request's number.
func (c *Clients) newRequest(planned *loadgen.Ask) *request {
	class := c.classes[planned.Class]
	random := rand.New(rand.NewPCG(c.seed, uint64(planned.Number)))
	ownTokens := class.OwnTokens/2 + random.IntN(class.OwnTokens+1)
	body := strings.Repeat("x", class.BodyBytes/2+random.IntN(class.BodyBytes+1)) + strconv.Itoa(planned.Number)
	return &request{class: class, client: planned.Agent, number: planned.Number, body: body, prompt: modelserver.Prompt{Model: "m",
		Tokens: fmt.Sprintf("%d,%d", commonPrefixTokens+class.SharedTokens+ownTokens, class.MaxOutputTokens),
		Prefix: fmt.Sprintf("%x:%d,%x:%d,%x:%d", modelserver.Sum(class.Name)>>32, commonPrefixTokens, modelserver.Sum(class.Name, strconv.Itoa(planned.Key))>>32, class.SharedTokens,
			modelserver.Sum(c.idPrefix, strconv.Itoa(planned.Number))>>32, ownTokens), Body: modelserver.Sum(body)}}
}

// Run sends the requests of a plan at their times and passes each outcome to done, concurrently. It returns after the
// last outcome.
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

// Close closes the idle connections, and checks once more that nothing has arrived on them.
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

// send sends a request and retries it as its class allows.
func (c *Clients) send(ctx context.Context, request *request) Outcome {
	class := request.class
	startedAt := c.now()
	deadline := startedAt + class.Deadline
	outcome := Outcome{Class: class, StartedAt: startedAt}
	var got []ReceivedEvent // of all attempts: a stream may be resumed
	for {
		outcome.Attempts++
		after := 0
		if class.Resumable && len(got) > 0 {
			after = got[len(got)-1].N
		}
		attempt := c.attempt(ctx, request, outcome.Attempts, after, deadline)
		c.recorder.attemptEnded(attempt)
		if attempt.Status/100 == 2 {
			got = append(got, attempt.Events...)
		}
		outcome.update(attempt, got, startedAt)
		notExecuted := attempt.Status == 503 || attempt.Status == 429 || attempt.Status == 408 || attempt.Status == 421
		mayRetry := notExecuted || attempt.EndReason == NoConnect || class.Resumable && (attempt.Status == 0 || attempt.Status >= 500 || attempt.Status/100 == 2 && !attempt.Complete)
		if outcome.Verdict <= Late || !mayRetry || outcome.Attempts > class.MaxRetries || ctx.Err() != nil {
			return outcome
		}
		wait := defaultRetryDelay
		if attempt.RetryAfter > 0 {
			wait = min(attempt.RetryAfter, (deadline-c.now())/3)
		}
		if c.now()+wait >= deadline {
			return outcome
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return outcome
		}
	}
}

// update derives the outcome from the last attempt and the events of all attempts.
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

// acquireConn returns an idle connection of the client for a first attempt if there is one, else a new one, and the IP
// of its agent.
func (c *Clients) acquireConn(ctx context.Context, client, attempt int) (*conn, string, error) {
	for attempt == 1 {
		c.mu.Lock()
		list := c.idle[client]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		conn := list[len(list)-1]
		c.idle[client] = list[:len(list)-1]
		c.mu.Unlock()
		if c.isQuiet(conn) && c.now()-conn.idleSince < idleConnTimeout {
			return conn, conn.agent, nil
		}
		conn.Close()
	}
	endpoint := c.balancer.Pick(c.zones[client%len(c.zones)], client, attempt)
	if endpoint == nil {
		return nil, "", errors.New("no agent to connect to")
	}
	return dial(ctx, endpoint)
}

// isQuiet tells whether an idle connection is open and nothing has arrived on it. It records unexpected bytes.
func (c *Clients) isQuiet(conn *conn) bool {
	if conn.reader.Buffered() > 0 {
		c.recordExtraBytes(conn)
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var recvErr error
	if err := raw.Read(func(fd uintptr) bool {
		n, _, recvErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	}); err != nil {
		return false
	}
	if recvErr == nil && n > 0 {
		c.recordExtraBytes(conn)
	}
	return errors.Is(recvErr, unix.EAGAIN)
}

// recordExtraBytes records bytes that arrived after the last response of a connection.
func (c *Clients) recordExtraBytes(conn *conn) {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	if conn.lastAttempt != nil {
		conn.lastAttempt.ExtraBytes = true
	}
}

// releaseConn makes a connection available to the next request of the client.
func (c *Clients) releaseConn(client int, conn *conn, attempt *Attempt) {
	conn.lastAttempt, conn.idleSince = attempt, c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[client] = append(c.idle[client], conn)
}

// attempt sends a request once, under an id of its own.
func (c *Clients) attempt(ctx context.Context, request *request, n, after int, end time.Duration) *Attempt {
	class := request.class
	attempt := &Attempt{ID: fmt.Sprintf("%s%06x-%d", c.idPrefix, request.number, n), Class: class.Name, Method: http.MethodPost, Host: class.Host,
		Target: class.Path + "gen?n=" + strconv.Itoa(request.number), Prompt: request.prompt, Idempotent: class.Resumable, Resumable: class.Resumable,
		AfterEvent: after, Deadline: end, Timeout: class.Timeout}
	attempt.StartedAt = c.now()
	conn, agent, err := c.acquireConn(ctx, request.client, n)
	attempt.Agent = agent
	if err != nil {
		attempt.EndReason, attempt.EndedAt = NoConnect, c.now()
		return attempt
	}
	c.recorder.attemptStarted(attempt.ID, attempt.Agent)
	if reusable := conn.exchange(ctx, c.now, attempt, request.body, request.client%2 == 0, class.idleTimeout()); reusable {
		c.releaseConn(request.client, conn, attempt)
		return attempt
	}
	conn.Close()
	return attempt
}
