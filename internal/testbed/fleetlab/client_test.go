package fleetlab

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// clientTest runs clients, one fake agent and model servers in the test's process.
type clientTest struct {
	*recorder
	now      func() time.Duration
	classes  []*Class
	clients  *Clients
	balancer *LoadBalancer
	servers  []*modelserver.Server
}

// fakeAgent is the handler of a client's connection that replaces an agent.
type fakeAgent func(b *clientTest, c net.Conn)

func newClientTest(t *testing.T, servers int, handle fakeAgent) *clientTest {
	t.Helper()
	startedAt := time.Now()
	b := &clientTest{recorder: &recorder{}, now: func() time.Duration { return time.Since(startedAt) }, classes: DefaultConfig(1, 1, 2).Classes}
	engine := modelserver.EngineConfig{Slots: 8, Queue: 8, StepMs: 2, SlotMs: 0.01, PrefillPerMs: 1000, Chunk: 8000, KVTokens: 100000, Stride: 4}
	for range servers {
		s, err := modelserver.Start(modelserver.Config{Addr: "127.0.0.1:0", Service: serviceA, Model: "m", ModelRevision: 1, Engine: engine, Now: b.now, OnRecord: b.record})
		require.NoError(t, err)
		t.Cleanup(s.Close)
		b.servers = append(b.servers, s)
	}
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var background sync.WaitGroup
	background.Go(func() {
		for {
			c, err := front.Accept()
			if err != nil {
				return
			}
			background.Go(func() {
				defer c.Close()
				handle(b, c)
			})
		}
	})
	ready, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/chalkdoor/ready" {
			w.WriteHeader(404)
		}
	})}
	background.Go(func() { _ = srv.Serve(ready) })
	b.balancer = newLoadBalancer([]Endpoint{{IP: "127.0.0.1", Zone: "z", Front: front.Addr().String(), Readiness: ready.Addr().String()}}, 10*time.Millisecond)
	b.clients = newClients(b.classes, b.balancer, b.now, b.recorder, 1, []string{"z"}, "t")
	t.Cleanup(func() {
		b.clients.Close()
		b.balancer.Close()
		front.Close()
		srv.Close()
		background.Wait()
	})
	initial := &Document{Revision: 1, Routes: []Route{{Name: "n", Host: hostname, Prefix: "/", Service: serviceA}}}
	b.Changes = []*ConfigChange{{Doc: initial, Valid: true, SentAt: 1, AckedAt: 2}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, b.balancer.WaitReady(ctx, func(m map[string]bool) bool { return len(m) == 1 }))
	return b
}

// violatedRules returns the rules that were violated so far.
func (b *clientTest) violatedRules() (rules []string) {
	r := testRules()
	for _, v := range Check(b.snapshot(), r) {
		rules = append(rules, v.Rule)
	}
	return rules
}

// send makes a client send a request of a class, and returns the outcome.
func (b *clientTest) send(class, client, number int) Outcome {
	return b.clients.send(context.Background(), b.clients.newRequest(&loadgen.PlannedRequest{Class: class, Agent: client, Number: number}))
}

func (b *clientTest) lastAttempt() *Attempt {
	all := b.snapshot()
	return all.Attempts[len(all.Attempts)-1]
}

// readRequest reads a client's request and its body. The request is nil at the end of the connection.
func readRequest(in *bufio.Reader) (*http.Request, []byte) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, nil
	}
	return r, body
}

// forward forwards a request to a server as an agent does, with additional headers. It copies the raw response line by
// line, each one modified by change, and reports whether the response is complete.
func forward(s *modelserver.Server, r *http.Request, body []byte, c net.Conn, change func(line string) string, headers ...string) bool {
	up, err := net.Dial("tcp", s.Addr())
	if err != nil {
		_, _ = io.WriteString(c, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	defer up.Close()
	req, err := http.NewRequest(r.Method, "http://"+s.Addr()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Host, req.Header = r.Host, r.Header.Clone()
	req.Header.Set(modelserver.HeaderExpect, s.ID())
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.Close = true
	if err := req.Write(up); err != nil {
		return false
	}
	in := bufio.NewReader(up)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return err == io.EOF
		}
		if strings.HasPrefix(line, "Connection:") {
			continue
		}
		if change != nil {
			line = change(line)
		}
		if _, err := io.WriteString(c, line); err != nil {
			return false
		}
	}
}

// forwardAll forwards all requests to the first server.
func forwardAll(b *clientTest, c net.Conn) {
	in := bufio.NewReader(c)
	for r, body := readRequest(in); r != nil; r, body = readRequest(in) {
		if !forward(b.servers[0], r, body, c, nil) || r.Close {
			return
		}
	}
}

func TestClientsAreServedCompletely(t *testing.T) {
	b := newClientTest(t, 1, forwardAll)
	cfg := &loadgen.Config{Seed: 3, Agents: 4, Rate: 100, Duration: 300 * time.Millisecond, Keys: 5, Skew: 1,
		Classes: []loadgen.Class{{Name: "a", Share: 1}, {Name: "b", Share: 1}}}
	plan, err := loadgen.Plan(cfg)
	require.NoError(t, err)
	var got outcomeLog
	b.clients.Run(context.Background(), plan, got.add)
	require.Len(t, got.outcomes, len(plan))
	for _, o := range got.outcomes {
		assert.LessOrEqual(t, o.Verdict, Late, o.FailureReason)
		assert.Positive(t, o.FirstEvent)
	}
	assert.Empty(t, b.violatedRules())
	assert.Positive(t, b.servers[0].Stats().TokensSaved, "cached prompt parts are reused")
}

// Each protocol violation of an agent is reported as the rule that it violates.
func TestClientsDetectProtocolViolations(t *testing.T) {
	rewrite := func(change func(line string) string) fakeAgent {
		return func(b *clientTest, c net.Conn) {
			in := bufio.NewReader(c)
			for r, body := readRequest(in); r != nil; r, body = readRequest(in) {
				if !forward(b.servers[0], r, body, c, change) || r.Close {
					return
				}
			}
		}
	}
	for _, c := range []struct {
		name  string
		agent fakeAgent
		want  string // the violated rule; empty if none
	}{
		{"no seal", rewrite(func(l string) string {
			if strings.HasPrefix(l, modelserver.HeaderSeal) {
				return ""
			}
			return l
		}), "MIXED"},
		{"malformed response", func(b *clientTest, c net.Conn) {
			readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "what?\r\n\r\n")
		}, "MIXED"},
		{"bytes after the response", func(b *clientTest, c net.Conn) {
			in := bufio.NewReader(c)
			r, body := readRequest(in)
			var whole bytes.Buffer
			forward(b.servers[0], r, body, tee{c, &whole}, nil)
			whole.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			_, _ = c.Write(whole.Bytes())
			readRequest(in) // waits until the client closes the connection
		}, "MIXED"},
		{"response cut off within a chunk", func(b *clientTest, c net.Conn) {
			r, body := readRequest(bufio.NewReader(c))
			over := false
			forward(b.servers[0], r, body, c, func(l string) string {
				switch {
				case over:
					return ""
				case strings.HasPrefix(l, "id: 3"):
					over = true // the data of the chunk is missing
				}
				return l
			})
		}, ""}, // the client sees that the response is incomplete
		{"empty response with a valid seal", func(b *clientTest, c net.Conn) {
			r, body := readRequest(bufio.NewReader(c))
			var head bytes.Buffer
			forward(b.servers[0], r, body, tee{c, &head}, nil)
			seal := strings.TrimSpace(strings.SplitN(strings.SplitN(head.String(), modelserver.HeaderSeal+":", 2)[1], "\r\n", 2)[0])
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+modelserver.HeaderSeal+": "+seal+"\r\n\r\n")
		}, "ORDER"},
		{"rejected after execution", func(b *clientTest, c net.Conn) {
			r, body := readRequest(bufio.NewReader(c))
			forward(b.servers[0], r, body, tee{c, io.Discard}, nil)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}, "REFUSED"},
		{"executed twice", func(b *clientTest, c net.Conn) {
			r, body := readRequest(bufio.NewReader(c))
			forward(b.servers[0], r, body, tee{c, io.Discard}, nil)
			forward(b.servers[0], r, body, c, nil)
		}, "TWICE"},
		{"different body", func(b *clientTest, c net.Conn) {
			r, _ := readRequest(bufio.NewReader(c))
			forward(b.servers[0], r, []byte("other"), c, nil)
		}, "UNASKED"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newClientTest(t, 1, c.agent)
			b.classes[0].MaxRetries = 0
			b.send(0, 0, 1)
			b.clients.Close()
			got := b.violatedRules()
			if c.want == "" {
				assert.Empty(t, got)
				return
			}
			assert.Contains(t, got, c.want)
		})
	}
}

// tee is a connection whose writes go to another writer.
type tee struct {
	net.Conn
	to io.Writer
}

func (t tee) Write(p []byte) (int, error) { return t.to.Write(p) }

// rejectFirst answers the first attempt of each request with a response header, or closes the connection if head is
// empty. It forwards the other attempts.
func rejectFirst(head string) fakeAgent {
	return func(b *clientTest, c net.Conn) {
		in := bufio.NewReader(c)
		for r, body := readRequest(in); r != nil; r, body = readRequest(in) {
			if strings.HasSuffix(r.Header.Get(modelserver.HeaderAttempt), "-1") {
				if head == "" {
					return
				}
				_, _ = io.WriteString(c, head+"\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if !forward(b.servers[0], r, body, c, nil) || r.Close {
				return
			}
		}
	}
}

func TestClientRetries(t *testing.T) {
	const unsafe, resumable = 0, 1
	for _, c := range []struct {
		name     string
		head     string
		class    int
		attempts int
		want     Verdict
	}{
		{"Retry-After", "HTTP/1.1 503 x\r\nRetry-After: 0.2", unsafe, 2, Served},
		{"certainly not executed", "HTTP/1.1 429 x", unsafe, 2, Served},
		{"possibly executed", "HTTP/1.1 502 x", unsafe, 1, Failed},
		{"possibly executed, idempotent", "HTTP/1.1 502 x", resumable, 2, Served},
		{"closed", "", unsafe, 1, Failed},
		{"closed, idempotent", "", resumable, 2, Served},
		{"not found", "HTTP/1.1 404 x", resumable, 1, Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newClientTest(t, 1, rejectFirst(c.head))
			b.classes[c.class].FirstEventTarget, b.classes[c.class].EventGapTarget = time.Minute, time.Minute // tolerates a busy machine
			o := b.send(c.class, 1, 1)
			assert.Equal(t, c.attempts, o.Attempts)
			if o.Verdict == Late { // a slow event
				o.Verdict = Served
			}
			assert.Equal(t, c.want, o.Verdict)
			if c.name == "Retry-After" {
				all := b.snapshot().Attempts
				require.Len(t, all, 2)
				assert.GreaterOrEqual(t, all[1].StartedAt-all[0].EndedAt, 200*time.Millisecond)
			}
		})
	}
}

func TestRetryDelayIsAtMostAThirdOfTheTimeLeft(t *testing.T) {
	b := newClientTest(t, 1, rejectFirst("HTTP/1.1 503 x\r\nRetry-After: 60"))
	b.classes[1].Deadline = 1500 * time.Millisecond
	o := b.send(1, 1, 1)
	assert.Equal(t, 2, o.Attempts)
	all := b.snapshot().Attempts
	require.Len(t, all, 2)
	wait := all[1].StartedAt - all[0].EndedAt
	assert.GreaterOrEqual(t, wait, 300*time.Millisecond)
	assert.Less(t, wait, time.Second)
}

func TestClientResumesItsStream(t *testing.T) {
	b := newClientTest(t, 2, func(b *clientTest, c net.Conn) {
		r, body := readRequest(bufio.NewReader(c))
		if r == nil {
			return
		}
		if !strings.HasSuffix(r.Header.Get(modelserver.HeaderAttempt), "-1") {
			forward(b.servers[1], r, body, c, nil)
			return
		}
		// The third event is incomplete.
		cut := tee{c, &truncatingWriter{to: c}}
		forward(b.servers[0], r, body, cut, nil)
	})
	b.classes[1].MaxOutputTokens = 80
	o := b.send(1, 1, 1)
	assert.Equal(t, 2, o.Attempts)
	assert.LessOrEqual(t, o.Verdict, Late, o.FailureReason)
	all := b.snapshot().Attempts
	require.Len(t, all, 2)
	assert.Equal(t, Closed, all[0].EndReason)
	assert.Len(t, all[0].Events, 2)
	assert.Equal(t, 2, all[1].AfterEvent)
	assert.Equal(t, 3, all[1].Events[0].N)
	assert.Empty(t, b.violatedRules())
}

// truncatingWriter fails from the id line of the third event on.
type truncatingWriter struct {
	to     io.Writer
	failed bool
}

func (s *truncatingWriter) Write(p []byte) (int, error) {
	if strings.HasPrefix(string(p), "id: 3") {
		s.failed = true
	}
	if s.failed {
		return 0, io.ErrClosedPipe
	}
	return s.to.Write(p)
}

func TestStreamResumedWithinOneResponse(t *testing.T) {
	b := newClientTest(t, 2, func(b *clientTest, c net.Conn) {
		r, body := readRequest(bufio.NewReader(c))
		if r == nil {
			return
		}
		// The response consists of the first server's header and two events, and the second server's events from the
		// third on.
		chunk := ""
		forward(b.servers[0], r, body, tee{c, &truncatingWriter{to: c}}, func(l string) string { // delays the size of a chunk until its data arrives
			if !strings.HasPrefix(l, "id: ") && len(strings.TrimSpace(l)) <= 3 && strings.HasSuffix(l, "\r\n") && strings.TrimSpace(l) != "" {
				chunk = l
				return ""
			}
			if strings.HasPrefix(l, "id: ") && !strings.HasPrefix(l, "id: 3") {
				return chunk + l
			}
			return l
		})
		head := true
		forward(b.servers[1], r, body, c, func(l string) string {
			if head {
				head = l != "\r\n"
				return ""
			}
			return l
		}, modelserver.HeaderLastID, "2")
	})
	b.classes[1].MaxOutputTokens = 80
	o := b.send(1, 1, 1)
	assert.Equal(t, 1, o.Attempts)
	assert.LessOrEqual(t, o.Verdict, Late, o.FailureReason)
	assert.NotEqual(t, b.lastAttempt().Events[1].Seal, b.lastAttempt().Events[2].Seal)
	assert.Empty(t, b.violatedRules())
}

func TestLoadBalancerRemovesAgentAfterTwoMissedProbes(t *testing.T) {
	var mu sync.Mutex
	statuses, probes := []int{200, 200, 503, 503, 200}, 0
	round := make(chan int, 100)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		status := 200
		if probes < len(statuses) {
			status = statuses[probes]
		}
		probes++
		w.WriteHeader(status)
		select {
		case round <- status:
		default:
		}
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var background sync.WaitGroup
	background.Go(func() { _ = srv.Serve(ln) })
	defer background.Wait()
	defer srv.Close()
	e := newLoadBalancer([]Endpoint{{IP: "1", Zone: "z", Readiness: ln.Addr().String()}}, 20*time.Millisecond)
	defer e.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	readyCount := func(n int) func(map[string]bool) bool { return func(m map[string]bool) bool { return len(m) == n } }
	require.NoError(t, e.WaitReady(ctx, readyCount(1)))
	require.NoError(t, e.WaitReady(ctx, readyCount(0)))
	require.NoError(t, e.WaitReady(ctx, readyCount(1)))
}

func TestLoadBalancerPicks(t *testing.T) {
	e := &LoadBalancer{endpoints: []Endpoint{{Name: "a1", IP: "a1", Zone: "a"}, {Name: "a2", IP: "a2", Zone: "a"}, {Name: "a3", IP: "a3", Zone: "a"}, {Name: "b1", IP: "b1", Zone: "b"}}, isReady: []bool{true, true, true, true}}
	first := e.Pick("a", 7, 1)
	assert.Equal(t, first, e.Pick("a", 7, 1))
	assert.NotEqual(t, first, e.Pick("a", 7, 2), "a retry gets another agent")
	used := map[string]bool{}
	for client := range 50 {
		used[e.Pick("a", client, 1).IP] = true
	}
	assert.Equal(t, map[string]bool{"a1": true, "a2": true, "a3": true}, used)
	e.isReady = []bool{false, true, true, true}
	for client := range 50 {
		assert.NotEqual(t, "a1", e.Pick("a", client, 1).IP)
	}
	e.isReady = []bool{false, false, true, true} // fewer than half of the zone are ready: all of the zone are used
	clear(used)
	for client := range 50 {
		used[e.Pick("a", client, 1).IP] = true
	}
	assert.Len(t, used, 3)
	e.isReady = []bool{false, false, false, true} // none of the zone is ready: another zone is used
	assert.Equal(t, "b1", e.Pick("a", 1, 1).IP)
}

// Tests of small fleets have the same traffic on each subnet, and each agent gets some of it.
func TestPicksDoNotDependOnTheSubnet(t *testing.T) {
	const zones, fleetRate, length = 2, 30, 2 * time.Second
	for agents := 3; agents <= 6; agents++ {
		var first map[string]int
		for host := range 250 {
			f := &Fleet{cfg: DefaultConfig(agents, 3, 3), recorder: &recorder{}, LoadBalancer: &LoadBalancer{}}
			for i := range agents {
				f.LoadBalancer.endpoints = append(f.LoadBalancer.endpoints, Endpoint{Name: fmt.Sprintf("edge-%d", i+1),
					IP: fmt.Sprintf("127.84.%d.%d", host, 10+i), Zone: fmt.Sprintf("zone-%c", 'a'+i%zones)})
				f.LoadBalancer.isReady = append(f.LoadBalancer.isReady, true)
			}
			_, plan, err := f.NewWorkload(fleetRate, length)
			require.NoError(t, err)
			requests := map[string]int{}
			for _, ask := range plan {
				requests[f.LoadBalancer.Pick(fmt.Sprintf("zone-%c", 'a'+ask.Agent%zones), ask.Agent, 1).Name]++
			}
			if first == nil {
				first = requests
			}
			require.Equal(t, first, requests, "subnet %d", host)
		}
		require.Len(t, first, agents, "%v", first)
		for name, n := range first {
			assert.GreaterOrEqual(t, n, 3, "%s of %d agents", name, agents)
		}
	}
}
