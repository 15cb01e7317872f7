package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

func TestUnknownTenant(t *testing.T) {
	fake := newBackend(t, echo)
	agent := startAgent(t, newDiscoveryServer(t, target("s-1", fake.addr)), func(c *Config) {
		c.Settings.Tenants = []policy.Tenant{{Name: "acme", QuotaShare: 1}}
	})
	for name, want := range map[string]int{"acme": 200, "nobody": 400, "": 400} {
		req := newRequest(agent.addr, "order", "x")
		req.Header.Set("Tenant", name)
		if status, _, _ := agent.do(req); status != want {
			t.Errorf("tenant %q: answered %d, want %d", name, status, want)
		}
	}
}

// dial connects to the agent. The test writes raw bytes to the connection.
func (a *testAgent) dial() net.Conn {
	a.t.Helper()
	c, err := net.Dial("tcp", a.addr)
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// exchange writes text on a new connection and returns what it receives until the connection is closed.
func (a *testAgent) exchange(text string) string {
	a.t.Helper()
	c := a.dial()
	io.WriteString(c, text)
	got, err := io.ReadAll(c)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		a.t.Errorf("the connection stays open after %.60q", text)
	}
	return string(got)
}

// rawOrder is a non-idempotent request with further header lines.
func rawOrder(target, id, lines, body string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 4000\r\n" + lines + "\r\n" + body
}

// An invalid request gets an error and a close, and never reaches a backend: the backend would reject it, or
// close the connection, and be taken for faulty.
func TestInvalidRequestsAreAnsweredAndClosed(t *testing.T) {
	agent, fake := startWithBackend(t, echo)
	get := func(lines string) string {
		return "GET /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: g\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 4000\r\n" + lines + "\r\n"
	}
	keyed := func(lines string) string {
		return strings.Replace(rawOrder("/api/a1", "k", lines, ""), "Class: order", "Class: send", 1)
	}
	hidden := rawOrder("/api/a1", "hidden", "Content-Length: 0\r\n", "")
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"noise", "\x01\x02nonsense\r\n\r\n", 400},
		{"no version", "GET f919335c\r\n\r\n", 400},
		{"a line without colon", rawOrder("/api/a1", "1", "no colon\r\n", ""), 400},
		{"a head too large", rawOrder("/api/a1", "1", "X: "+strings.Repeat("p", 2*maxHead)+"\r\n", ""), 431},
		{"HTTP/1.0", strings.Replace(rawOrder("/api/a1", "1", "Content-Length: 0\r\n", ""), "1.1", "1.0", 1), 505},
		{"length and chunked, with a hidden request", rawOrder("/api/a1", "1",
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(hidden)+5),
			"0\r\n\r\n"+hidden), 411},
		{"chunked", rawOrder("/api/a1", "1", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"+hidden), 411},
		{"two lengths", rawOrder("/api/a1", "1", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400},
		{"negative length", rawOrder("/api/a1", "1", "Content-Length: -4\r\n", "abcd"), 400},
		{"signed length", rawOrder("/api/a1", "1", "Content-Length: +4\r\n", "abcd"), 400},
		{"length of 60 MB, nothing sent", rawOrder("/api/a1", "1", "Content-Length: 60000000\r\n", ""), 413},
		{"no id", strings.Replace(rawOrder("/api/a1", "1", "", ""), "Request-Id: 1\r\n", "", 1), 400},
		{"id of two words", rawOrder("/api/a1", "1 2", "", ""), 400},
		{"id too long", rawOrder("/api/a1", strings.Repeat("1", maxTokenLength+1), "", ""), 400},
		{"two ids", rawOrder("/api/a1", "1", "Request-Id: 2\r\n", ""), 400},
		{"two timeouts", rawOrder("/api/a1", "1", "Request-Timeout-Ms: 5\r\n", ""), 400},
		{"timeout with a sign", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "+480", 1), 400},
		{"timeout not a number", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "soon", 1), 400},
		{"empty timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "", 1), 400},
		{"zero timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "0", 1), 400},
		{"negative timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "-5", 1), 400},
		{"huge timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "99999999999999999999", 1), 400},
		{"unknown class", strings.Replace(rawOrder("/api/a1", "1", "", ""), "order", "orders", 1), 400},
		{"idempotency key with a class that has none", rawOrder("/api/a1", "1", "Idempotency-Key: k\r\n", ""), 400},
		{"no idempotency key", keyed(""), 400},
		{"an empty idempotency key", keyed("Idempotency-Key: \r\n"), 400},
		{"GET with a body", get("Content-Length: 1\r\n") + "x", 400},
		{"GET of a non-idempotent class", strings.Replace(get(""), "read", "order", 1), 400},
		{"POST of an idempotent class", strings.Replace(rawOrder("/api/a1", "1", "", ""), "order", "read", 1), 400},
		{"method not allowed", strings.Replace(get(""), "GET", "DELETE", 1), 405},
		{"OPTIONS *", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", 405},
		{"target with a host", rawOrder("http://x/api/a1", "1", "", ""), 400},
		{"target beyond ASCII", rawOrder("/api/\xc3\xa9", "1", "", ""), 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := agent.exchange(test.text + get("")) // the second request is never served
			want := fmt.Sprintf(" %d ", test.status)
			if len(got) < 8 || !strings.HasPrefix(got[8:], want) || strings.Count(got, "HTTP/1.") != 1 {
				t.Errorf("answered %.200q, want one response with%s", got, want)
			}
		})
	}
	if n := fake.count(); n != 0 {
		t.Errorf("%d requests reached the backend", n)
	}
	if counts := agent.readCounters(); counts.accepted != 0 {
		t.Errorf("the policy got %d requests", counts.accepted)
	}
}

// Connections that send nothing, or a head or body without an end, are closed within the 3 s in which a client
// must get an answer.
func TestPartialRequestsAreClosedInTime(t *testing.T) {
	agent, fake := startWithBackend(t, echo)
	complete := rawOrder("/api/a1", "1", "Content-Length: 9\r\n", "half")
	took := make(chan time.Duration)
	texts := []string{"", "POST /api", complete[:len(complete)-6], complete}
	for _, text := range texts {
		go func() {
			start := time.Now()
			agent.exchange(text)
			took <- time.Since(start)
		}()
	}
	for range texts {
		// The bound is deliberately tight: the time is what the test checks.
		if d := <-took; d > 3*time.Second {
			t.Errorf("closed only after %v", d)
		}
	}
	if n := fake.count(); n != 0 {
		t.Errorf("%d requests reached the backend", n)
	}
}

// The ID of an open request can't be used by another request until the first one is answered.
func TestOpenRequestIDConflicts(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		if n == 0 {
			arrived <- struct{}{}
			<-release
		}
		return echo(c, req, n)
	})
	c := agent.dial()
	fmt.Fprint(c, rawOrder("/api/a1", "same", "Content-Length: 0\r\n", ""))
	<-arrived
	if got := agent.exchange(rawOrder("/api/b2", "same", "Content-Length: 0\r\n", "")); !strings.HasPrefix(got,
		"HTTP/1.1 409 ") {
		t.Errorf("answered %.100q, want 409", got)
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the first request: %v, %v", resp, err)
	}
	if fake.count() != 1 {
		t.Errorf("%d arrivals, want 1", fake.count())
	}
	if counts := agent.readCounters(); counts.failed != 1 || counts.served != 1 {
		t.Errorf("counters %+v", counts)
	}
}

// The target is forwarded byte for byte: in another form it would be another request.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	agent, _ := startWithBackend(t, echo)
	for _, target := range []string{"/api/a%2Fb%7e", "//api//x", "/api/a;b?q=%zz&&=+", "/api/../x?",
		"/api/%41?a=b|c\"<>"} {
		got := agent.exchange(rawOrder(target, fmt.Sprint(lastID.Add(1)),
			"Content-Length: 0\r\nConnection: close\r\n", ""))
		if !strings.Contains(got, "POST "+target+" ") {
			t.Errorf("%q: %.300q", target, got)
		}
	}
}

// A body of the maximum size is accepted. Without memory it is rejected at once with Retry-After, and small
// bodies are still accepted.
func TestBodiesShareAMemoryBudget(t *testing.T) {
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, _ int) bool {
		body, _ := io.ReadAll(req.Body)
		return writeTestResponse(c, 200, "", fmt.Sprint(len(body)))
	})
	large := strings.Repeat("x", maxRequestBody)
	status, _, got := agent.do(newRequest(agent.addr, "order", large))
	if status != 200 || got != fmt.Sprint(maxRequestBody) {
		t.Errorf("the largest body: answered %d, arrived %s", status, got)
	}
	budget := agent.loop.config.memoryBudget()
	// The entire budget is available: nothing has leaked.
	if err := agent.loop.memoryBudget.Acquire(t.Context(), budget); err != nil {
		t.Fatal(err)
	}
	status, header, _ := agent.do(newRequest(agent.addr, "order", large))
	if status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("without memory: answered %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	status, _, _ = agent.do(newRequest(agent.addr, "order", "small"))
	wantStatus(t, status, 200)
	agent.loop.memoryBudget.Release(budget)
	if fake.count() != 2 {
		t.Errorf("%d arrivals, want 2", fake.count())
	}
}

// The validation accepts only requests that can be forwarded to a backend, whatever the bytes.
func FuzzRequest(f *testing.F) {
	cfg, err := testConfig("127.0.0.1:1", "127.0.0.1:1", TargetList{})
	if err != nil {
		f.Fatal(err)
	}
	front := newFrontend(cfg)
	f.Add(rawOrder("/api/a1", "1", "Content-Length: 1\r\n", "x"))
	f.Add(rawOrder("/api/a1", "1", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"))
	f.Add("GET / HTTP/1.0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		c, err := front.parseRequest(req, time.Now())
		if err != nil {
			var invalid *requestError
			if !errors.As(err, &invalid) || invalid.status < 400 || invalid.status == 429 || invalid.status == 503 {
				t.Errorf("rejected with %v", err)
			}
			return
		}
		c.body = make([]byte, req.ContentLength)
		// Exactly the same request is forwarded, and nothing after it.
		br := bufio.NewReader(strings.NewReader(string(c.encodeHead(time.Second)) + string(c.body)))
		out, err := http.ReadRequest(br)
		if err != nil {
			t.Fatalf("forwarded as %q: %v", c.encodeHead(time.Second), err)
		}
		body, err := io.ReadAll(out.Body)
		if err != nil || len(body) != len(c.body) || out.RequestURI != c.target ||
			out.Header.Get("Request-Id") != c.id || br.Buffered() > 0 {
			t.Errorf("%q became %+v", text, out)
		}
	})
}
