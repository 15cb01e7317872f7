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
	Path             string        // the route's path prefix
	Share            float64       // weight of the class among all requests
	FirstEventTarget time.Duration // latency target of the first event
	EventGapTarget   time.Duration // target of the longest time between two events
	Deadline         time.Duration // how long a client waits, over all attempts
	Timeout          time.Duration // timeout of the route
	Resumable        bool          // requests are idempotent, and another server may resume a stream
	MaxRetries       int
	SharedTokens     int // length of the prompt prefix that requests with the same key share
	OwnTokens        int // mean length of the rest of the prompt
	MaxOutputTokens  int // maximum length of the response
	BodyBytes        int // mean length of the request's body
}

// commonPrefixTokens is the length of the prompt prefix that all requests of a class share.
const commonPrefixTokens = 128

const (
	// connectTimeout bounds the establishment of a connection.
	connectTimeout = time.Second
	// idleConnTimeout is how long a client keeps an idle connection. The agents' limit is longer.
	idleConnTimeout = 4 * time.Second
	// defaultRetryDelay is the delay before a retry if the response has no Retry-After header.
	defaultRetryDelay = 60 * time.Millisecond
	// maxErrorBody is the maximum number of bytes that are read from the body of an error response.
	maxErrorBody = 64 << 10
	// forwardTarget is the target of the time that an event takes from the server to the client.
	forwardTarget = 120 * time.Millisecond
)

// idleTimeout returns how long a client waits for the next event.
func (c *Class) idleTimeout() time.Duration {
	return max(2*time.Second, 4*c.FirstEventTarget, 8*c.EventGapTarget)
}

// Verdict is the result of a request over all its attempts. Served and Late requests were served completely.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota // served completely, within the latency targets
	Late                    // served completely, but a latency target was missed
	Rejected                // rejected with status 503, 429, 408 or 421, which guarantees that it was not executed
	Failed                  // not served for any other reason
)

// String returns the verdict as it appears in reports.
func (v Verdict) String() string { return [...]string{"served", "late", "refused", "failed"}[v] }

// Outcome is the outcome of a request.
type Outcome struct {
	Class          *Class
	StartedAt      time.Duration // start of the first attempt
	Verdict        Verdict
	FailureReason  string // empty if the request was served
	Attempts       int
	FirstEvent     time.Duration // time from the start to the first event; zero if there was no event
	LongestGap     time.Duration // longest time between two events
	LongestForward time.Duration // longest time that an event took from the server to the client
}

// Clients sends the requests of several clients, some of which reuse connections. Its methods may be called
// concurrently.
type Clients struct {
	classes  []*Class
	balancer *LoadBalancer
	now      func() time.Duration
	recorder *recorder
	seed     uint64
	zones    []string
	idPrefix string // prefix of the attempt ids

	mu   sync.Mutex
	idle map[int][]*conn // by the client's number

	inProgress sync.WaitGroup
}

// newClients creates clients that are distributed over zones.
func newClients(classes []*Class, balancer *LoadBalancer, now func() time.Duration, recorder *recorder, seed uint64, zones []string, idPrefix string) *Clients {
	return &Clients{classes: classes, balancer: balancer, now: now, recorder: recorder, seed: seed, zones: zones, idPrefix: idPrefix, idle: map[int][]*conn{}}
}

// request is a client's request, which is sent in one or more attempts.
type request struct {
	class  *Class
	client int
	number int
	prompt modelserver.Prompt
	body   string
}

// newRequest draws the details of a planned request. The random choices depend only on the seed and the request's
// number.
func (c *Clients) newRequest(planned *loadgen.PlannedRequest) *request {
	class := c.classes[planned.Class]
	random := rand.New(rand.NewPCG(c.seed, uint64(planned.Number)))
	ownTokens := class.OwnTokens/2 + random.IntN(class.OwnTokens+1)
	body := strings.Repeat("x", class.BodyBytes/2+random.IntN(class.BodyBytes+1)) + strconv.Itoa(planned.Number)
	return &request{class: class, client: planned.Agent, number: planned.Number, body: body, prompt: modelserver.Prompt{Model: "m",
		Tokens: fmt.Sprintf("%d,%d", commonPrefixTokens+class.SharedTokens+ownTokens, class.MaxOutputTokens),
		Prefix: fmt.Sprintf("%x:%d,%x:%d,%x:%d", modelserver.Hash(class.Name)>>32, commonPrefixTokens, modelserver.Hash(class.Name, strconv.Itoa(planned.Key))>>32, class.SharedTokens,
			modelserver.Hash(c.idPrefix, strconv.Itoa(planned.Number))>>32, ownTokens),
		BodyHash: modelserver.Hash(body)}}
}

// Run sends the requests of a plan at their times and passes each outcome to done, concurrently. It returns after the
// last outcome.
func (c *Clients) Run(ctx context.Context, plan []loadgen.PlannedRequest, done func(Outcome)) {
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

// Close closes the idle connections, after a last check for unexpected bytes on them.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, conn := range list {
			c.isQuiet(conn)
			conn.Close()
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
	var received []ReceivedEvent // the events of all attempts, as a stream may be resumed
	for {
		outcome.Attempts++
		after := 0
		if class.Resumable && len(received) > 0 {
			after = received[len(received)-1].N
		}
		attempt := c.attempt(ctx, request, outcome.Attempts, after, deadline)
		c.recorder.attemptEnded(attempt)
		if attempt.Status/100 == 2 {
			received = append(received, attempt.Events...)
		}
		outcome.update(attempt, received, startedAt)
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
func (o *Outcome) update(last *Attempt, received []ReceivedEvent, startedAt time.Duration) {
	o.FirstEvent, o.LongestGap, o.LongestForward, o.FailureReason = 0, 0, 0, ""
	for i, e := range received {
		if i == 0 {
			o.FirstEvent = e.ReceivedAt - startedAt
		} else {
			o.LongestGap = max(o.LongestGap, e.ReceivedAt-received[i-1].ReceivedAt)
		}
		o.LongestForward = max(o.LongestForward, e.ReceivedAt-e.At)
	}
	switch {
	case last.Status/100 == 2 && last.Complete:
		o.Verdict = Served
		if o.FirstEvent > o.Class.FirstEventTarget || o.LongestGap > o.Class.EventGapTarget || o.LongestForward > forwardTarget {
			o.Verdict = Late
		}
	case last.Status == 503 || last.Status == 429 || last.Status == 408 || last.Status == 421:
		o.Verdict, o.FailureReason = Rejected, strconv.Itoa(last.Status)
	case last.Status/100 == 2:
		o.Verdict, o.FailureReason = Failed, last.EndReason.String()+" midway"
	case last.Status != 0:
		o.Verdict, o.FailureReason = Failed, strconv.Itoa(last.Status)
	default:
		o.Verdict, o.FailureReason = Failed, last.EndReason.String()
	}
}

// acquireConn returns a connection and the IP of its agent. For a first attempt it is an idle connection of the client
// if there is one, otherwise a new one.
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

// isQuiet reports whether an idle connection is open and nothing has arrived on it. It records unexpected bytes.
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

// recordExtraBytes records that bytes arrived after the last response of a connection.
func (c *Clients) recordExtraBytes(conn *conn) {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	if conn.lastAttempt != nil {
		conn.lastAttempt.ExtraBytes = true
	}
}

// releaseConn makes a connection available for the next request of the client.
func (c *Clients) releaseConn(client int, conn *conn, attempt *Attempt) {
	conn.lastAttempt, conn.idleSince = attempt, c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[client] = append(c.idle[client], conn)
}

// attempt sends a request once, as attempt n, with its own attempt id. A resumable stream continues after an event.
func (c *Clients) attempt(ctx context.Context, request *request, n, after int, deadline time.Duration) *Attempt {
	class := request.class
	attempt := &Attempt{ID: fmt.Sprintf("%s%06x-%d", c.idPrefix, request.number, n), Class: class.Name, Method: http.MethodPost, Host: class.Host,
		Target: class.Path + "gen?n=" + strconv.Itoa(request.number), Prompt: request.prompt, Idempotent: class.Resumable, Resumable: class.Resumable,
		AfterEvent: after, Deadline: deadline, Timeout: class.Timeout}
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
