package modelserver

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fastEngineConfig configures an engine that responds within milliseconds.
func fastEngineConfig() EngineConfig {
	return EngineConfig{Slots: 4, Queue: 2, StepMs: 1, SlotMs: 0.01, PrefillPerMs: 100, Chunk: 500, KVTokens: 20000, Stride: 4}
}

// records collects what a server did.
type records struct {
	mu    sync.Mutex
	list  []Record
	added chan struct{}
}

func (r *records) add(x Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
	select {
	case r.added <- struct{}{}:
	default:
	}
}

// await waits until there are n records of a kind and returns them.
func (r *records) await(t *testing.T, k RecordKind, n int) []Record {
	t.Helper()
	end := time.After(20 * time.Second)
	for {
		var found []Record
		r.mu.Lock()
		for _, x := range r.list {
			if x.Kind == k {
				found = append(found, x)
			}
		}
		r.mu.Unlock()
		if len(found) >= n {
			return found
		}
		select {
		case <-r.added:
		case <-end:
			require.FailNow(t, "records are missing", "kind %d: %d of %d", k, len(found), n)
		}
	}
}

func start(t *testing.T, cfg Config) (*Server, *records) {
	t.Helper()
	r := &records{added: make(chan struct{}, 1)}
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	if cfg.Engine.Slots == 0 {
		cfg.Engine = fastEngineConfig()
	}
	cfg.Service, cfg.Zone, cfg.Model, cfg.ModelRevision, cfg.OnRecord = "svc", "z", "m", 1, r.add
	s, err := Start(cfg)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s, r
}

// sendRequest sends one request on its own connection.
func sendRequest(t *testing.T, s *Server, id string, headers ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/a/b?c=d", strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h.example"
	if id != "" {
		req.Header.Set(HeaderAttempt, id)
	}
	req.Header.Set(HeaderModel, "m")
	req.Header.Set(HeaderTokens, "300,40")
	req.Header.Set(HeaderPrefix, "aa:200,bb:100")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// readEvents reads the events of a stream. It returns the error of reading the body.
func readEvents(t *testing.T, body io.Reader) (list []Event, err error) {
	t.Helper()
	in := bufio.NewReader(body)
	var lines []string
	for {
		l, err := in.ReadString('\n')
		if err == io.EOF {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		if l = strings.TrimRight(l, "\n"); l != "" {
			lines = append(lines, l)
			continue
		}
		e, err := ParseEvent(lines)
		require.NoError(t, err)
		list, lines = append(list, e), nil
	}
}

func TestServerStreamsItsResponse(t *testing.T) {
	s, r := start(t, Config{})
	resp := sendRequest(t, s, "a1", HeaderExpect, s.ID(), HeaderDeadline, "20000")
	require.Equal(t, 200, resp.StatusCode)
	assert.Equal(t, "a1", resp.Header.Get(HeaderAttempt))
	assert.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
	assert.Equal(t, "1", resp.Header.Get(HeaderVersions))
	assert.Regexp(t, `^\d+,\d+,4$`, resp.Header.Get(HeaderLoad))
	list, err := readEvents(t, resp.Body)
	require.NoError(t, err)
	p := Prompt{"m", "300,40", "aa:200,bb:100", Hash("body")}
	require.Len(t, list, p.EventCount(4))
	for i, e := range list {
		assert.Equal(t, i+1, e.N)
		assert.Equal(t, p.EventText(i+1), e.Text)
		assert.Equal(t, resp.Header.Get(HeaderSeal), e.Seal)
		assert.Equal(t, i == len(list)-1, e.Last)
	}
	arrived, ended := r.await(t, Arrived, 1)[0], r.await(t, Ended, 1)[0]
	assert.Equal(t, []any{"POST", "/a/b?c=d", "h.example", Hash("body"), "svc", s.ID()},
		[]any{arrived.Method, arrived.Target, arrived.Host, arrived.BodyHash, arrived.Service, arrived.Instance})
	assert.Equal(t, []any{true, len(list), resp.Header.Get(HeaderSeal)},
		[]any{ended.Complete, ended.LastEvent, ended.Seal})
}

func TestAnotherServerResumesTheStream(t *testing.T) {
	s, _ := start(t, Config{})
	whole, err := readEvents(t, sendRequest(t, s, "a1").Body)
	require.NoError(t, err)
	other, r := start(t, Config{})
	rest, err := readEvents(t, sendRequest(t, other, "a1", HeaderLastID, "2").Body)
	require.NoError(t, err)
	require.Len(t, rest, len(whole)-2)
	for i, e := range rest {
		assert.Equal(t, whole[i+2].N, e.N)
		assert.Equal(t, whole[i+2].Text, e.Text)
	}
	assert.Equal(t, 3, r.await(t, Started, 1)[0].FirstEvent)
}

func TestServerReportsRequestsThatItDidNotExecute(t *testing.T) {
	s, r := start(t, Config{})
	for _, c := range []struct {
		name    string
		id      string
		headers []string
		status  int
		notRun  bool
	}{
		{"another instance", "a", []string{HeaderExpect, "i-other"}, 421, false},
		{"another version", "b", []string{HeaderVersion, "2"}, 421, false},
		{"no id", "", nil, 400, true},
		{"larger than the cache", "c", []string{HeaderPrefix, "aa:30000"}, 503, true},
		{"no token count", "d", []string{HeaderTokens, "x"}, 400, true},
	} {
		resp := sendRequest(t, s, c.id, c.headers...)
		assert.Equal(t, c.status, resp.StatusCode, c.name)
		assert.Equal(t, c.notRun, resp.Header.Get(HeaderNotRun) != "", c.name)
		assert.Empty(t, resp.Header.Get(HeaderSeal), c.name)
	}
	assert.Zero(t, s.Stats().Executed)
	assert.Len(t, r.await(t, Rejected, 3), 3)
}

func TestFullServerAndDeadlines(t *testing.T) {
	slow := fastEngineConfig()
	slow.Slots, slow.Queue, slow.StepMs = 1, 1, 20
	s, r := start(t, Config{Engine: slow})
	first := sendRequest(t, s, "a", HeaderTokens, "300,4000") // the response header is sent with the first event
	require.Equal(t, 200, first.StatusCode)
	waiting := make(chan *http.Response, 1)
	go func() { waiting <- sendRequest(t, s, "b", HeaderDeadline, "300") }()
	require.Eventually(t, func() bool { return s.Stats().Waiting == 1 }, 20*time.Second, time.Millisecond)
	full := sendRequest(t, s, "c")
	assert.Equal(t, 503, full.StatusCode)
	assert.NotEmpty(t, full.Header.Get(HeaderNotRun))
	late := <-waiting
	assert.Equal(t, 503, late.StatusCode, "its deadline passed in the queue")
	assert.NotEmpty(t, late.Header.Get(HeaderNotRun))
	// When a client disconnects, its run ends.
	first.Body.Close()
	ended := r.await(t, Ended, 1)
	assert.False(t, ended[0].Complete)
	assert.Equal(t, 1, s.Stats().Executed)
}

func TestStreamIsAbortedAtItsDeadline(t *testing.T) {
	slow := fastEngineConfig()
	slow.StepMs = 10
	s, r := start(t, Config{Engine: slow})
	resp := sendRequest(t, s, "a", HeaderTokens, "300,4000", HeaderDeadline, "400")
	require.Equal(t, 200, resp.StatusCode)
	list, err := readEvents(t, resp.Body)
	require.Error(t, err, "the response must not look complete")
	assert.NotEmpty(t, list)
	assert.False(t, r.await(t, Ended, 1)[0].Complete)
}

func TestCrashResetsConnections(t *testing.T) {
	slow := fastEngineConfig()
	slow.StepMs = 10
	s, _ := start(t, Config{Engine: slow})
	resp := sendRequest(t, s, "a", HeaderTokens, "300,4000")
	require.Equal(t, 200, resp.StatusCode)
	s.Crash()
	_, err := readEvents(t, resp.Body)
	require.Error(t, err)
	_, err = net.Dial("tcp", s.Addr())
	require.Error(t, err)
}

func TestConnectionsBeyondTheLimitAreReset(t *testing.T) {
	s, _ := start(t, Config{ConnLimit: 2})
	var open []net.Conn
	for i := range 2 {
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /health HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, i)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, s.ID(), resp.Header.Get(HeaderInstance))
		assert.Equal(t, "timeout=20", resp.Header.Get("Keep-Alive"))
		open = append(open, c)
	}
	if c, err := net.Dial("tcp", s.Addr()); err == nil { // otherwise it was reset while being established
		defer c.Close()
		_, _ = io.WriteString(c, "GET /health HTTP/1.1\r\nHost: h\r\n\r\n") // fails if the connection is reset already
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		require.Error(t, err)
	}
	assert.Equal(t, 1, s.Stats().ConnsReset)
	open[0].Close()
}

func TestReportLag(t *testing.T) { checkReportLag(t, fastEngineConfig()) }

// The load in a report is as old if a request runs for many report intervals.
func TestReportLagWhileARequestRuns(t *testing.T) {
	slow := fastEngineConfig()
	slow.StepMs = 20
	checkReportLag(t, slow)
}

// checkReportLag checks that a report with a long lag contains the load from before the first request.
func checkReportLag(t *testing.T, engine EngineConfig) {
	t.Helper()
	s, _ := start(t, Config{ReportLag: time.Hour, Engine: engine})
	_, err := readEvents(t, sendRequest(t, s, "a").Body)
	require.NoError(t, err)
	resp, err := http.Get("http://" + s.Addr() + ReportPath)
	require.NoError(t, err)
	defer resp.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	var got struct {
		Phase   string  `json:"phase"`
		Models  []Model `json:"models"`
		KVTotal int     `json:"kv-total"`
		KVUsed  int     `json:"kv-used"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
	assert.Equal(t, "both_paths", got.Phase)
	assert.Equal(t, []Model{{"m", 1, []string{}}}, got.Models)
	assert.Equal(t, 20000, got.KVTotal)
	assert.Zero(t, got.KVUsed)
}

// fakeControl is a fake control endpoint of an agent, which records the calls of servers.
type fakeControl struct {
	*httptest.Server
	mu     sync.Mutex
	calls  []call
	status int    // status of the responses
	target string // beat-target of the responses; empty if they contain none
	called chan struct{}
}

type call struct {
	method, path, state string
	seq                 float64
}

func newFakeControl(t *testing.T, status int) *fakeControl {
	c := &fakeControl{status: status, called: make(chan struct{}, 1)}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body map[string]any
		_ = json.NewDecoder(r.Body).Decode(&body) // a deregistration has no body
		x := call{method: r.Method, path: r.URL.Path}
		x.state, _ = body["state"].(string)
		x.seq, _ = body["call-seq"].(float64)
		c.mu.Lock()
		c.calls = append(c.calls, x)
		response := map[string]string{}
		if c.target != "" {
			response["beat-target"] = c.target
		}
		status := c.status
		c.mu.Unlock()
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(response)
		select {
		case c.called <- struct{}{}:
		default:
		}
	}))
	t.Cleanup(c.Close)
	return c
}

func (c *fakeControl) addr() string { return strings.TrimPrefix(c.URL, "http://") }

// await waits until there are n calls and returns all calls.
func (c *fakeControl) await(t *testing.T, n int) []call {
	t.Helper()
	end := time.After(20 * time.Second)
	for {
		c.mu.Lock()
		got := append([]call(nil), c.calls...)
		c.mu.Unlock()
		if len(got) >= n {
			return got
		}
		select {
		case <-c.called:
		case <-end:
			require.FailNow(t, "calls are missing", "%d of %d", len(got), n)
		}
	}
}

func TestHeartbeatsFollowTheirTarget(t *testing.T) {
	broken, first, next := newFakeControl(t, 503), newFakeControl(t, 200), newFakeControl(t, 200)
	first.target = next.addr()
	list := []string{broken.addr(), first.addr()}
	s, _ := start(t, Config{Heartbeats: &HeartbeatConfig{
		ControlAddrs: func() []string { return list }, Interval: 5 * time.Millisecond}})
	<-s.Registered()
	calls := next.await(t, 3)
	assert.Len(t, first.await(t, 1), 1, "later heartbeats go to the target of the response")
	for i, c := range calls {
		assert.Equal(t, "PUT", c.method)
		assert.Equal(t, "/chalkdoor/instances/"+s.ID(), c.path)
		assert.Equal(t, "ready", c.state)
		if i > 0 {
			assert.Greater(t, c.seq, calls[i-1].seq)
		}
	}
	// After a failed heartbeat the server tries the addresses of the list again.
	first.mu.Lock()
	before := len(first.calls)
	first.target = ""
	first.mu.Unlock()
	next.mu.Lock()
	next.status = 500
	next.mu.Unlock()
	first.await(t, before+2)
}

func TestServerShutsDownGracefully(t *testing.T) {
	c := newFakeControl(t, 200)
	drain := 200 * time.Millisecond
	s, r := start(t, Config{Heartbeats: &HeartbeatConfig{ControlAddrs: func() []string { return []string{c.addr()} }, Interval: time.Hour, Drain: drain, Linger: time.Second}})
	<-s.Registered()
	done := make(chan error, 1)
	go func() { done <- s.Leave(context.Background()) }()
	acked := r.await(t, Draining, 1)[0]
	assert.Equal(t, c.addr(), acked.Agent)
	resp := sendRequest(t, s, "a")
	assert.Equal(t, 200, resp.StatusCode, "a draining server keeps serving")
	assert.True(t, resp.Close)
	_, err := readEvents(t, resp.Body)
	require.NoError(t, err)
	health, err := http.Get("http://" + s.Addr() + "/health")
	require.NoError(t, err)
	health.Body.Close()
	assert.Equal(t, 503, health.StatusCode)
	require.NoError(t, <-done)
	gone := r.await(t, Deregistered, 1)[0]
	assert.GreaterOrEqual(t, gone.At-acked.At, drain)
	calls := c.await(t, 3)
	assert.Equal(t, []string{"PUT ready", "PUT draining", "DELETE "}, []string{calls[0].method + " " + calls[0].state,
		calls[1].method + " " + calls[1].state, calls[2].method + " " + calls[2].state})
	_, err = net.Dial("tcp", s.Addr())
	require.Error(t, err)
}

func TestOutputTokensAreBounded(t *testing.T) {
	for n := range 200 {
		p := Prompt{Model: "m", Tokens: strconv.Itoa(n+1) + ",40"}
		assert.GreaterOrEqual(t, p.OutputTokens(), 20)
		assert.LessOrEqual(t, p.OutputTokens(), 40)
	}
}
