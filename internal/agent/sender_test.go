package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// For each way in which an attempt can end: the response to the client, and how often the request reaches the
// backend.
func TestAttemptOutcomes(t *testing.T) {
	always := func(status int, header, body string) func(net.Conn, *http.Request, int) bool {
		return func(c net.Conn, _ *http.Request, _ int) bool { return writeTestResponse(c, status, header, body) }
	}
	raw := func(text string, keepOpen bool) func(net.Conn, *http.Request, int) bool {
		return func(c net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, text)
			return keepOpen
		}
	}
	for _, test := range []struct {
		name     string
		class    string
		answer   func(net.Conn, *http.Request, int) bool
		status   int
		arrivals int
	}{
		{"500 may have been executed", "order", always(500, "", ""), 502, 1},
		{"503 without Not-Started may have been executed", "order", always(503, "", ""), 502, 1},
		{"reset after the last byte may have been executed", "order",
			func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) }, 502, 1},
		{"close after the last byte may have been executed", "order", raw("", false), 502, 1},
		{"truncated body may have been executed", "order",
			raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false), 502, 1},
		{"truncated chunk may have been executed", "order",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", false), 502, 1},
		{"a response without length may have been executed", "order", raw("HTTP/1.1 200 OK\r\n\r\nhalf", false),
			502, 1},
		{"malformed head may have been executed", "order", raw("nonsense\r\n\r\n", true), 502, 1},
		{"too large a body may have been executed", "order", always(200, "", strings.Repeat("x",
			maxResponseBody+1)), 502, 1},
		{"a response larger than a request may be", "order", always(200, "", strings.Repeat("x",
			6*maxRequestBody)), 200, 1},
		{"the same in chunks", "order", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 6*maxRequestBody, strings.Repeat("x", 6*maxRequestBody)), true),
			200, 1},
		{"400 is not retried", "send", always(400, "", ""), 400, 1},
		{"429 must not become a rejection", "order", always(429, "", ""), 502, 1},
		{"503 with Not-Started was not executed", "order", always(503, "Not-Started: 1\r\n", ""), 503, 3},
		{"504 with Not-Started was not executed", "order", always(504, "Not-Started: 1\r\n", ""), 503, 3},
		{"an error of a deduplicated request is retried, at most three attempts", "send", always(500, "", ""), 503, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent, fake := startWithBackend(t, test.answer)
			status, header, _ := agent.do(newRequest(agent.addr, test.class, "x"))
			wantStatus(t, status, test.status)
			if fake.count() != test.arrivals {
				t.Errorf("%d arrivals, want %d", fake.count(), test.arrivals)
			}
			if status == 503 && header.Get("Retry-After") != "0.600" {
				t.Errorf("rejected with Retry-After %q", header.Get("Retry-After"))
			}
			if counts := agent.readCounters(); counts.backstops+counts.violations > 0 {
				t.Errorf("the loop prevented a violation or the backstop answered: %+v", counts)
			}
		})
	}
}

func TestRejectedAttemptIsRetried(t *testing.T) {
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		if n == 0 {
			return writeTestResponse(c, 503, "Not-Started: 1\r\n", "")
		}
		return echo(c, req, n)
	})
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
	if fake.count() != 2 {
		t.Errorf("%d arrivals, want 2", fake.count())
	}
}

func TestRefusedConnectIsRejected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	agent := startAgent(t, newDiscoveryServer(t, target("s-1", addr)), nil)
	status, header, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 503)
	if header.Get("Retry-After") == "" {
		t.Error("rejected without Retry-After")
	}
}

// If a connection breaks before the last byte is written, the attempt was not executed. Only the number of
// written bytes distinguishes this from a reset after the last byte.
func TestBreakBeforeTheLastByteIsNotExecuted(t *testing.T) {
	listenConfig := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	ln, err := listenConfig.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1)) // the request has begun and is larger than the buffers
		resetConn(c)
		c.Close()
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc.(*net.TCPConn).SetWriteBuffer(4096)
	addr := ln.Addr().String()
	s, b := testSender(8), &backend{}
	if err := s.pool.conns.Reserve(); err != nil {
		t.Fatal(err)
	}
	s.pool.conns.PutIdle(b, &backendConn{Conn: nc, reader: bufio.NewReader(nc), backend: b, addr: addr,
		idleSince: time.Now()})
	c := testClientRequest(make([]byte, maxRequestBody))
	now := time.Now()
	if res := s.send(context.Background(), b, addr, c, now, now.Add(testTimeout)); res.status != policy.ConnectFailed {
		t.Errorf("ended as %d, want %d", res.status, policy.ConnectFailed)
	}
	if open, _ := s.pool.count(); open != 0 {
		t.Errorf("%d connections counted as open", open)
	}
}

// If a backend drains during a connect, it is sent nothing. An attempt cancelled during a connect says nothing
// about its backend.
func TestNothingIsSentOnceDrainingOrCancelled(t *testing.T) {
	fake := newBackend(t, echo)
	s := testSender(8)
	c := testClientRequest([]byte("x"))
	now := time.Now()
	drained := &backend{}
	drained.unavailable.Store(true)
	if res := s.send(t.Context(), drained, fake.addr, c, now, now.Add(testTimeout)); res.status != policy.NotSent {
		t.Errorf("drained: ended as %d, want %d", res.status, policy.NotSent)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if res := s.send(ctx, &backend{}, fake.addr, c, now, now.Add(testTimeout)); res.status != policy.NotSent {
		t.Errorf("cancelled: ended as %d, want %d", res.status, policy.NotSent)
	}
	// The next attempt succeeds. An earlier one would have arrived before it.
	if res := s.send(t.Context(), &backend{}, fake.addr, c, now, now.Add(testTimeout)); res.status != policy.OK {
		t.Errorf("ended as %d, want %d", res.status, policy.OK)
	}
	if fake.count() != 1 {
		t.Errorf("%d arrivals, want 1", fake.count())
	}
}

// If an attempt fails for lack of a local resource, that says nothing about the backend.
func TestLocalFailuresSayNothingAboutTheBackend(t *testing.T) {
	fake := newBackend(t, echo)
	now := time.Now()
	full := testSender(0)
	if res := full.send(t.Context(), &backend{}, fake.addr, testClientRequest(nil), now,
		now.Add(testTimeout)); res.status != policy.NotSent {
		t.Errorf("no connection allowed: ended as %d, want %d", res.status, policy.NotSent)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if res := testSender(8).send(t.Context(), &backend{}, ln.Addr().String(), testClientRequest(nil), now,
		now.Add(testTimeout)); res.status != policy.ConnectFailed {
		t.Errorf("refused: ended as %d, want %d", res.status, policy.ConnectFailed)
	}
}
