package fleetlab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	Name      string
	Host      string
	Path      string // within the route's prefix, begins with it
	Share     float64
	Aim       time.Duration // to the first event
	GapAim    time.Duration // between events
	Deadline  time.Duration
	Timeout   time.Duration // of its route
	Resumable bool
	Retries   int
	Shared    int // tokens of the part that a subject's requests share
	Own       int // tokens of a request's own part, on the mean
	Most      int // tokens out
	Body      int // bytes
}

// common is the first part of all prompts of a class: its tokens.
const common = 128

const (
	connectFor = time.Second // for a new connection to come up
	// keepFor is how long a client keeps an idle connection; the routes' limit is longer.
	keepFor = 4 * time.Second
	// retryPause is how long a client waits where it is not told.
	retryPause = 60 * time.Millisecond
	maxRefusal = 64 << 10
	// passFor is how long an event may take from its server to the client.
	passFor = 120 * time.Millisecond
)

// silence is after how much of it a client gives a stream up.
func (c *Class) silence() time.Duration { return max(2*time.Second, 4*c.Aim, 8*c.GapAim) }

// Verdict is what came of an ask, its tries together.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota
	Late
	Refused
	Failed
)

func (v Verdict) String() string { return [...]string{"served", "late", "refused", "failed"}[v] }

// Outcome is the end of an ask.
type Outcome struct {
	Class   *Class
	Verdict Verdict
	Why     string // of a failure
	Tries   int
	First   time.Duration // to the first event, from the first try; 0: none came
	Pause   time.Duration // the longest between events
	Pass    time.Duration // the longest that an event took from its server
}

// Clients ask, as many as there are, over connections that some keep.
type Clients struct {
	classes []*Class
	entry   *Entry
	now     func() time.Duration
	seen    *seen
	seed    uint64
	zones   []string
	tag     string // tells the ids of these clients from others'

	mu   sync.Mutex
	idle map[int][]*conn // by client

	wanted sync.WaitGroup
}

func newClients(classes []*Class, e *Entry, now func() time.Duration, s *seen, seed uint64, zones []string, tag string) *Clients {
	return &Clients{classes: classes, entry: e, now: now, seen: s, seed: seed, zones: zones, tag: tag, idle: map[int][]*conn{}}
}

// conn is a connection of a client with an agent.
type conn struct {
	*net.TCPConn
	in    *bufio.Reader
	agent string
	last  *Try
	since time.Duration
}

// ask is one thing that a client wants.
type ask struct {
	class  *Class
	client int
	number int
	prompt modelserver.Prompt
	body   string
}

// askOf draws an ask; equal plans give equal asks.
func (c *Clients) askOf(a *loadgen.Ask) *ask {
	class := c.classes[a.Class]
	rng := rand.New(rand.NewPCG(c.seed, uint64(a.Number)))
	own := class.Own/2 + rng.IntN(class.Own+1)
	body := strings.Repeat("x", class.Body/2+rng.IntN(class.Body+1)) + strconv.Itoa(a.Number)
	return &ask{class: class, client: a.Agent, number: a.Number, body: body, prompt: modelserver.Prompt{Model: "m",
		Tokens: fmt.Sprintf("%d,%d", common+class.Shared+own, class.Most),
		Prefix: fmt.Sprintf("%x:%d,%x:%d,%x:%d", modelserver.Sum(class.Name)>>32, common, modelserver.Sum(class.Name, strconv.Itoa(a.Key))>>32, class.Shared,
			modelserver.Sum(c.tag, strconv.Itoa(a.Number))>>32, own), Body: modelserver.Sum(body)}}
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
		c.wanted.Go(func() { done(c.ask(ctx, c.askOf(&plan[i]))) })
	}
	c.wanted.Wait()
}

// Close ends the connections that are kept, and looks once more for what came on them.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			c.quiet(k)
			k.Close()
		}
	}
	c.idle = map[int][]*conn{}
}

// ask sends a request, and again as its client does.
func (c *Clients) ask(ctx context.Context, a *ask) Outcome {
	class := a.class
	began := c.now()
	end := began + class.Deadline
	o := Outcome{Class: class}
	var got []Got // over the tries: a stream may be taken up
	for {
		o.Tries++
		after := 0
		if class.Resumable && len(got) > 0 {
			after = got[len(got)-1].N
		}
		t := c.try(ctx, a, o.Tries, after, end)
		c.seen.try(t)
		if t.Status/100 == 2 {
			got = append(got, t.Events...)
		}
		o.judge(t, got, began)
		promised := t.Status == 503 || t.Status == 429 || t.Status == 408 || t.Status == 421
		again := promised || t.Broken == NoConnect || class.Resumable && (t.Status == 0 || t.Status >= 500 || t.Status/100 == 2 && !t.Complete)
		if o.Verdict <= Late || !again || o.Tries > class.Retries || ctx.Err() != nil {
			return o
		}
		wait := retryPause
		if t.Wait > 0 {
			wait = min(t.Wait, (end-c.now())/3)
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

// judge notes what a try made of an ask.
func (o *Outcome) judge(t *Try, got []Got, began time.Duration) {
	o.First, o.Pause, o.Pass, o.Why = 0, 0, 0, ""
	for i, e := range got {
		if i == 0 {
			o.First = e.Came - began
		} else {
			o.Pause = max(o.Pause, e.Came-got[i-1].Came)
		}
		o.Pass = max(o.Pass, e.Came-e.At)
	}
	switch {
	case t.Status/100 == 2 && t.Complete:
		o.Verdict = Served
		if o.First > o.Class.Aim || o.Pause > o.Class.GapAim || o.Pass > passFor {
			o.Verdict = Late
		}
	case t.Status == 503 || t.Status == 429 || t.Status == 408 || t.Status == 421:
		o.Verdict, o.Why = Refused, strconv.Itoa(t.Status)
	case t.Status/100 == 2:
		o.Verdict, o.Why = Failed, t.Broken.String()+" midway"
	case t.Status != 0:
		o.Verdict, o.Why = Failed, strconv.Itoa(t.Status)
	default:
		o.Verdict, o.Why = Failed, t.Broken.String()
	}
}

// take gives a connection: one that is kept on the first try, else a new one.
func (c *Clients) take(ctx context.Context, client, try int) (*conn, string, error) {
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
		if c.quiet(k) && c.now()-k.since < keepFor {
			return k, k.agent, nil
		}
		k.Close()
	}
	a := c.entry.Pick(c.zones[client%len(c.zones)], client, try)
	if a == nil {
		return nil, "", errors.New("nobody to connect to")
	}
	return dial(ctx, a)
}

func dial(ctx context.Context, a *Door) (*conn, string, error) {
	d := net.Dialer{Timeout: connectFor, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", a.Front)
	if err != nil {
		return nil, a.IP, errors.Wrap(err, "connect")
	}
	return &conn{TCPConn: n.(*net.TCPConn), in: bufio.NewReaderSize(n, 4<<10), agent: a.IP}, a.IP, nil
}

// quiet tells whether nothing came on an idle connection, and notes it if something did.
func (c *Clients) quiet(k *conn) bool {
	if k.in.Buffered() > 0 {
		c.surplus(k)
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
		c.surplus(k)
	}
	return errors.Is(rerr, unix.EAGAIN)
}

func (c *Clients) surplus(k *conn) {
	c.seen.mu.Lock()
	defer c.seen.mu.Unlock()
	if k.last != nil {
		k.last.Surplus = true
	}
}

// keep puts a connection away for the client's next request.
func (c *Clients) keep(client int, k *conn, t *Try) {
	k.last, k.since = t, c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[client] = append(c.idle[client], k)
}

// try is one request on the wire, with an id of its own.
func (c *Clients) try(ctx context.Context, a *ask, n, after int, end time.Duration) *Try {
	class := a.class
	t := &Try{ID: fmt.Sprintf("%s%06x-%d", c.tag, a.number, n), Class: class.Name, Method: http.MethodPost, Host: class.Host,
		Target: class.Path + "gen?n=" + strconv.Itoa(a.number), Prompt: a.prompt, Idempotent: class.Resumable, Resumable: class.Resumable,
		After: after, Deadline: end, Timeout: class.Timeout}
	t.Began = c.now()
	k, agent, err := c.take(ctx, a.client, n)
	t.Agent = agent
	if err != nil {
		t.Broken, t.End = NoConnect, c.now()
		return t
	}
	c.seen.begin(t.ID, t.Agent)
	if again := k.exchange(ctx, c.now, t, a.body, a.client%2 == 0, class.silence()); again {
		c.keep(a.client, k, t)
		return t
	}
	k.Close()
	return t
}

// exchange sends a request and reads its answer. It tells whether the connection can be used
// again. A client that keeps none says so.
func (k *conn) exchange(ctx context.Context, now func() time.Duration, t *Try, body string, keep bool, silence time.Duration) (again bool) {
	defer func() { t.End = now() }()
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	patience := func(d time.Duration) { // at most d, and not past the deadline
		if ctx.Err() == nil {
			_ = k.SetDeadline(time.Now().Add(min(d, t.Deadline-now())))
		}
	}
	patience(silence)
	head := "POST " + t.Target + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + modelserver.HeaderAttempt + ": " + t.ID + "\r\n" +
		modelserver.HeaderModel + ": " + t.Prompt.Model + "\r\n" + modelserver.HeaderTokens + ": " + t.Prompt.Tokens + "\r\n" +
		modelserver.HeaderPrefix + ": " + t.Prompt.Prefix + "\r\n" +
		modelserver.HeaderDeadline + ": " + strconv.FormatInt(max((t.Deadline-now()).Milliseconds(), 1), 10) + "\r\n"
	if t.After > 0 {
		head += modelserver.HeaderLastID + ": " + strconv.Itoa(t.After) + "\r\n"
	}
	if !keep {
		head += "Connection: close\r\n"
	}
	if t.Prompt.Body%3 == 0 { // some bodies come in chunks
		half := len(body) / 2
		head += "Transfer-Encoding: chunked\r\n\r\n"
		for _, part := range []string{body[:half], body[half:]} {
			if part != "" {
				head += strconv.FormatInt(int64(len(part)), 16) + "\r\n" + part + "\r\n"
			}
		}
		head += "0\r\n\r\n"
	} else {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	if _, err := io.WriteString(k, head); err == nil {
		t.Sent = now()
	} // else an answer may be there already
	resp, err := http.ReadResponse(k.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		t.fail(err)
		return false
	}
	defer resp.Body.Close()
	t.Status, t.Seal, t.Echo = resp.StatusCode, resp.Header.Get(modelserver.HeaderSeal), resp.Header.Get(modelserver.HeaderAttempt)
	t.Encoded = resp.Header.Get("Content-Encoding") != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.Wait = time.Duration(s * float64(time.Second))
	}
	if t.Status/100 != 2 {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusal)); err != nil {
			t.fail(err)
			return false
		}
		t.Complete = true
		return keep && !resp.Close
	}
	if err := t.read(resp.Body, now, func() { patience(silence) }); err != nil {
		t.fail(err)
		return false
	}
	t.Complete = true
	return keep && !resp.Close
}

// read reads the events of a stream to the end of its body.
func (t *Try) read(body io.Reader, now func() time.Duration, more func()) error {
	in := bufio.NewReader(body)
	var lines []string
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && (line != "" || len(lines) > 0) {
			t.Garbage = fmt.Sprintf("half an event at the end: %q", append(lines, line))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if line = strings.TrimRight(line, "\r\n"); line != "" {
			if lines = append(lines, line); len(lines) > 16 {
				return errors.New("an event of over 16 lines")
			}
			continue
		}
		e, err := modelserver.ParseEvent(lines)
		if err != nil {
			return err
		}
		t.Events, lines = append(t.Events, Got{e, now()}), nil
		more()
	}
}

// fail notes how an answer ended that did not come whole.
func (t *Try) fail(err error) {
	var timeout net.Error
	var op *net.OpError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		t.Broken = GaveUp
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		t.Broken = Closed
	default:
		t.Broken, t.Garbage = Spoilt, err.Error()
	}
}
