package agent

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestInterimResponseIsSkipped(t *testing.T) {
	agent, _ := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return echo(c, req, n)
	})
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
}

// After a malformed response the request may have been executed, so a non-idempotent one fails without a retry.
// The connection is closed at once, and the next request gets its own response.
func TestMalformedResponses(t *testing.T) {
	good := "Content-Length: 4\r\nServer-Load: qps=1,util=0.5,eps=0\r\n\r\ngood"
	for name, text := range map[string]string{
		"noise":                        "\xf8n;\xf9\xfd\r\n\r\n",
		"noise without a line end":     "\xf8n;\xf9\xfd",
		"another protocol":             "ICY 200 OK\r\n" + good,
		"status and reason changed":    "HTTP/1.1 OK 200\r\n" + good,
		"invalid status":               "HTTP/1.1 2x0 OK\r\n" + good,
		"a line without a colon":       "HTTP/1.1 200 OK\r\nno colon here\r\n" + good,
		"a line that never ends":       "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("p", 1<<20),
		"a head that never ends":       "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<16),
		"interim heads that never end": strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 1<<16),
		"negative length":              "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n" + good,
		"two lengths":                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + good,
		"the same length twice":        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + good,
		"length and chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"invalid chunk size":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
		"body of 3 GB": "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" +
			strings.Repeat("x", 1<<20),
		"body of 3 GB in chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\n" +
			strings.Repeat("x", 2<<20),
		"no length":                  "HTTP/1.1 200 OK\r\n\r\ngood",
		"switch to another protocol": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				if n > 0 {
					return echo(c, req, n)
				}
				io.WriteString(c, text)
				return true // the backend does not close it
			})
			start := time.Now()
			status, _, body := agent.do(newRequest(agent.addr, "order", "x"))
			wantStatus(t, status, 502)
			if strings.Contains(body, "good") || fake.count() != 1 {
				t.Errorf("body %q, %d arrivals", body, fake.count())
			}
			if took := time.Since(start); took > 2*time.Second { // half of the request's timeout
				t.Errorf("took %v, as it waited for more bytes", took)
			}
			select {
			case <-fake.ended:
			case <-time.After(testTimeout):
				t.Error("the connection stays open")
			}
			status, _, body = agent.do(newRequest(agent.addr, "order", "y"))
			if status != 200 || !strings.HasSuffix(body, " y") {
				t.Errorf("the next request: answered %d, %q", status, body)
			}
		})
	}
}

// Bytes after a valid response are never taken for the next response, whether they arrive at once or before the
// next request: the connection is closed.
func TestExcessResponseBytes(t *testing.T) {
	for name, later := range map[string]bool{"right behind": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{}, 8)
			agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				second := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
				if !later {
					body := "first"
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, second)
					written <- struct{}{}
					return true
				}
				writeTestResponse(c, 200, "", "first")
				time.Sleep(20 * time.Millisecond)
				io.WriteString(c, second)
				written <- struct{}{}
				return true
			})
			for range 3 {
				status, _, body := agent.do(newRequest(agent.addr, "order", "x"))
				if status != 200 || body != "first" {
					t.Errorf("answered %d, %q", status, body)
				}
				<-written
			}
			fake.mu.Lock()
			defer fake.mu.Unlock()
			if fake.arrivals != 3 {
				t.Errorf("%d arrivals, want 3", fake.arrivals)
			}
		})
	}
}

// A 400 response says nothing about the backend: the backend and its connection are used for the next request as
// before.
func TestBadRequestEjectsNoBackend(t *testing.T) {
	agent, fake := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		if n < 20 {
			return writeTestResponse(c, 400, "", "")
		}
		return echo(c, req, n)
	})
	for range 20 {
		status, _, _ := agent.do(newRequest(agent.addr, "send", "x"))
		wantStatus(t, status, 400)
	}
	start := time.Now()
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
	if fake.count() != 21 || fake.maxConns != 1 {
		t.Errorf("%d arrivals on %d connections, want 21 on one", fake.count(), fake.maxConns)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("took %v", took)
	}
}

// For any input the reader ends within its bounds, and net/http reads the same response from the same bytes.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: x\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		resp, body, err := readResponse(bufio.NewReader(bytes.NewReader(text)), func(int64) error { return nil })
		if err != nil {
			return
		}
		if len(body) > maxResponseBody || resp.StatusCode < 200 {
			t.Fatalf("%d bytes, status %d", len(body), resp.StatusCode)
		}
		br := bufio.NewReader(bytes.NewReader(text))
		for {
			other, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("net/http: %v", err)
			}
			if other.StatusCode < 200 {
				continue
			}
			want, err := io.ReadAll(other.Body)
			if err != nil || other.StatusCode != resp.StatusCode || !bytes.Equal(body, want) {
				t.Errorf("read %d %q, net/http %d %q, %v", resp.StatusCode, body, other.StatusCode, want, err)
			}
			return
		}
	})
}
