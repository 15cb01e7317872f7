package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// TestRequestSmuggling sends ambiguous or malformed requests, each followed by a hidden request that could be taken
// for a part of it. The gateway must respond with errors only and close the connection, and no server may receive
// the hidden request.
func TestRequestSmuggling(t *testing.T) {
	hidden := "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\n" + headerAttemptID + ": hidden\r\nContent-Length: 0\r\n\r\n"
	chunked := "0\r\n\r\n" + hidden
	for name, request := range map[string]string{
		"chunks in HTTP/1.0":     strings.Replace(requestHead("POST", "/once/x", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n"), "HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n" + hidden,
		"two lengths":            requestHead("POST", "/once/x", "Content-Length: 200\r\nContent-Length: 0\r\n") + hidden,
		"a list of lengths":      requestHead("POST", "/once/x", "Content-Length: 0, 200\r\n") + hidden,
		"a signed length":        requestHead("POST", "/once/x", "Content-Length: +0\r\n") + hidden,
		"a negative length":      requestHead("POST", "/once/x", "Content-Length: -1\r\n") + hidden,
		"a hex length":           requestHead("POST", "/once/x", "Content-Length: 0x0\r\n") + hidden,
		"an empty length":        requestHead("POST", "/once/x", "Content-Length:\r\n") + hidden,
		"a space before a colon": requestHead("POST", "/once/x", "Content-Length : 200\r\n") + hidden,
		"a tab before a colon":   requestHead("POST", "/once/x", "Transfer-Encoding\t: chunked\r\n") + chunked,
		"two codings":            requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + chunked,
		"a list of codings":      requestHead("POST", "/once/x", "Transfer-Encoding: identity, chunked\r\n") + chunked,
		"another coding":         requestHead("POST", "/once/x", "Transfer-Encoding: xchunked\r\n") + chunked,
		"an unknown coding":      requestHead("POST", "/once/x", "Transfer-Encoding: gzip\r\n") + chunked,
		"a coding in quotes":     requestHead("POST", "/once/x", "Transfer-Encoding: \"chunked\"\r\n") + chunked,
		"a bad chunk size":       requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "0x5\r\nshort\r\n" + chunked,
		"a signed chunk size":    requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "+5\r\nshort\r\n" + chunked,
		"a huge chunk size":      requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "ffffffffffffffff5\r\nshort\r\n" + chunked,
		"an unterminated chunk":  requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort" + chunked,
		"a bare line feed":       requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5;\nxx\r\nshort\r\n" + chunked,
		"a line feed in a field": requestHead("POST", "/once/x", "X-A: 1\rContent-Length: 5\r\n") + hidden,
		"a NUL in a field":       requestHead("POST", "/once/x", "X-A: 1\x00\r\n") + hidden,
		"a space in a name":      requestHead("POST", "/once/x", "X A: 1\r\n") + hidden,
		"an empty name":          requestHead("POST", "/once/x", ": 1\r\n") + hidden,
		"no colon":               requestHead("POST", "/once/x", "X-A\r\n") + hidden,
		"two hosts":              requestHead("POST", "/once/x", "Host: other.example\r\n") + hidden,
		"no host":                "POST /once/x HTTP/1.1\r\n" + headerAttemptID + ": x\r\n\r\n" + hidden,
		"a bad host":             "POST /once/x HTTP/1.1\r\nHost: h.example/once/\r\n" + headerAttemptID + ": x\r\n\r\n" + hidden,
		"two ids":                requestHead("POST", "/once/x", headerAttemptID+": other\r\n") + hidden,
		"no id":                  "POST /once/x HTTP/1.1\r\nHost: h.example\r\n\r\n" + hidden,
		"an empty id":            "POST /once/x HTTP/1.1\r\nHost: h.example\r\n" + headerAttemptID + ":\r\n\r\n" + hidden,
		"a bad target":           requestHead("POST", "/once/x y", "") + hidden,
		"a target with CR":       requestHead("POST", "/once/x\ry", "") + hidden,
		"no path":                requestHead("POST", "once/x", "") + hidden,
		"an asterisk target":     requestHead("OPTIONS", "*", "") + hidden,
		"an authority target":    requestHead("CONNECT", "h.example:80", "") + hidden,
		"no version":             "POST /once/x\r\nHost: h.example\r\n" + headerAttemptID + ": x\r\n\r\n" + hidden,
		"another version":        strings.Replace(requestHead("POST", "/once/x", ""), "HTTP/1.1", "HTTP/2.0", 1) + hidden,
		"an old version":         strings.Replace(requestHead("POST", "/once/x", "Connection: keep-alive\r\n"), "HTTP/1.1", "HTTP/1.0", 1) + hidden,
		"HTTP/2":                 "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + hidden,
		"TLS":                    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + hidden,
		"a large head":           requestHead("POST", "/once/x", "X-A: "+strings.Repeat("x", 128<<10)+"\r\n") + hidden,
		"many fields":            requestHead("POST", "/once/x", strings.Repeat("X-A: 1\r\n", 20000)) + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 1, alwaysSucceed)
			client := harness.dial()
			_, _ = client.Write([]byte(request)) // the gateway may close the connection before the end
			client.readRejections()
			harness.requireNoCall()
		})
	}
}

// TestRepeatedContentLength sends the same Content-Length twice. This is not ambiguous, so the gateway may either
// serve or reject the request.
func TestRepeatedContentLength(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	resp, _ := harness.roundTrip(requestHead("POST", "/once/x", "Content-Length: 1\r\nContent-Length: 1\r\n") + "q")
	if resp.StatusCode == 200 {
		require.Equal(t, []string{"1"}, harness.nextCall().header["Content-Length"])
	} else {
		require.Equal(t, 400, resp.StatusCode)
	}
}

func TestPipelinedRequests(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		if strings.Contains(call.requestLine, "/stream/") {
			return call.startStream("s") && call.writeEvents(1, 3) && call.endStream()
		}
		return call.respondSuccess()
	})
	client := harness.dial()
	client.write(postRequest("/once/1", "", "1") + requestHead("GET", "/safe/2", "") + postRequest("/stream/3", "", "3") + postRequest("/none/4", "", "4") +
		requestHead("POST", "/once/5", "Transfer-Encoding: chunked\r\n") + "1\r\n5\r\n0\r\n\r\n" + postRequest("/once/6", "", "6"))
	for i, want := range []string{"served 1", "served ", eventTexts(1, 3), "", "served 5", "served 6"} {
		resp, body := client.readResponse()
		if i == 3 {
			require.Equal(t, 404, resp.StatusCode)
			continue
		}
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, want, body)
	}
	client.write(postRequest("/once/7", "", "7"))
	_, body := client.readResponse()
	require.Equal(t, "served 7", body)
}

func TestNoRoute(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	for _, request := range []string{
		postRequest("/none/x", "", strings.Repeat("x", 20000)), postRequest("/", "", "x"), postRequest("/once", "", "x"),
		strings.Replace(postRequest("/once/x", "", "x"), "h.example", "other.example", 1),
		requestHead("POST", "/none/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n0\r\n\r\n",
	} {
		client.write(request)
		resp, _ := client.readResponse()
		require.Equal(t, 404, resp.StatusCode)
		require.False(t, resp.Close)
	}
	client.write(postRequest("/once/x", "", "x"))
	resp, _ := client.readResponse()
	require.Equal(t, 200, resp.StatusCode)
	harness.nextCall()
	harness.requireNoCall()
}

func TestAbsoluteFormTarget(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	for target, path := range map[string]string{"http://h.example/once/a%2Fb?x=1": "/once/a%2Fb?x=1", "HTTP://h.example:80//once/": ""} {
		resp, _ := harness.roundTrip(postRequest(target, "", "q"))
		if path == "" {
			require.Equal(t, 404, resp.StatusCode)
			continue
		}
		require.Equal(t, 200, resp.StatusCode)
		call := harness.nextCall()
		require.Equal(t, "POST "+path+" HTTP/1.1", call.requestLine)
		require.Equal(t, "h.example", call.header.Get("Host"))
	}
}

func TestExpectContinue(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	for range 2 {
		client.write(requestHead("POST", "/once/x", "Expect: 100-continue\r\nContent-Length: 5\r\n"))
		line, err := client.reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
		_, _ = client.reader.ReadString('\n')
		client.write("hello")
		_, body := client.readResponse()
		require.Equal(t, "served hello", body)
		require.NotContains(t, harness.nextCall().header, "Expect")
	}
	// Without a route the gateway does not wait for the body.
	client.write(requestHead("POST", "/none/x", "Expect: 100-continue\r\nContent-Length: 5\r\n"))
	resp, _ := client.readResponse()
	require.Equal(t, 404, resp.StatusCode)
}

func TestConnectionClose(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	client.write(postRequest("/once/x", "Connection: close\r\n", "q"))
	resp, _ := client.readResponse()
	require.True(t, resp.Close)
	client.requireClosed()
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
}

func TestStartup(t *testing.T) {
	harness := newUnconfiguredHarness(t, 1, alwaysSucceed)
	start := time.Now()
	resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
	requireRefused(t, resp)
	require.GreaterOrEqual(t, time.Since(start), startupWait)
	ready := func() int {
		recorder := httptest.NewRecorder()
		harness.gateway.ServeReadiness(recorder, nil)
		return recorder.Code
	}
	require.Equal(t, 503, ready())
	// The first snapshot is not up to date yet, the second one has no servers.
	document := harness.document("")
	harness.gateway.Update(&relay.Snapshot{Config: document, Servers: harness.serverList(), Agents: 1})
	resp, _ = harness.roundTrip(postRequest("/once/x", "", "q"))
	requireRefused(t, resp)
	require.Equal(t, 503, ready())
	harness.gateway.Update(&relay.Snapshot{Config: document, Servers: harness.serverList(harness.servers...), Agents: 1, Synced: true})
	resp, _ = harness.roundTrip(postRequest("/once/x", "", "q"))
	requireRefused(t, resp)
	require.Equal(t, 503, ready())
	harness.requireNoCall()
	// A request that waits is served as soon as the snapshot is complete.
	client := harness.dial()
	client.write(postRequest("/once/x", "", "q"))
	harness.update(document)
	resp, _ = client.readResponse()
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, 200, ready())
}

// TestReadinessTakesNoLock checks that a readiness probe is answered while all locks are held.
func TestReadinessTakesNoLock(t *testing.T) {
	harness := newHarness(t, 1, nil)
	conns := harness.gateway.pool.conns
	require.NoError(t, conns.Reserve())
	idle := newConn(&fakeConn{}, "i-idle")
	idle.usableUntil = time.Now().Add(testTimeout)
	require.True(t, conns.PutIdle(idle.instanceID, idle))
	harness.gateway.mu.Lock()
	defer harness.gateway.mu.Unlock()
	probed := false
	conns.CloseIdleIf(func(string) bool { // called with the pool's lock held
		recorder := httptest.NewRecorder()
		harness.gateway.ServeReadiness(recorder, nil)
		require.Equal(t, 200, recorder.Code)
		probed = true
		return true
	})
	require.True(t, probed)
}

// TestResponseOnceReadinessFails checks that a response closes its connection as soon as the readiness probe fails,
// before net/http has been told that connections are not kept.
func TestResponseOnceReadinessFails(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.respondSuccess() })
	harness.gateway.shuttingDown.Store(true)
	recorder := httptest.NewRecorder()
	harness.gateway.ServeReadiness(recorder, nil)
	require.Equal(t, 503, recorder.Code)
	for _, request := range []string{postRequest("/once/x", "", "q"), requestHead("GET", "/safe/x", "")} {
		client := harness.dial()
		client.write(request)
		requireLastResponse(t, client)
		client.requireClosed()
	}
	client := harness.dial()
	client.write(postRequest("/no/route", "", "q"))
	resp, _ := client.readResponse()
	require.Equal(t, 404, resp.StatusCode)
	require.True(t, resp.Close)
}

// shutdownClients are clients whose requests are at different stages when the gateway shuts down.
type shutdownClients struct {
	idle      *testClient // has received a response
	fresh     *testClient // has sent nothing yet
	streaming *testClient
	stream    *http.Response // the response to streaming, of which two events were sent
	waiting   *testClient    // waits for the response to a request that has reached a server
	uploading *testClient    // has sent only the start of its request
	remainder string         // the rest of that request
}

// startShutdownClients connects the clients, and waits until their complete requests have reached a server.
func startShutdownClients(harness *testHarness) *shutdownClients {
	clients := &shutdownClients{idle: harness.dial(), fresh: harness.dial()}
	clients.idle.write(postRequest("/once/x", "", "q"))
	_, _ = clients.idle.readResponse()
	clients.streaming = harness.dial()
	clients.streaming.write(postRequest("/stream/x", "", "q"))
	clients.stream = clients.streaming.readHead()
	clients.waiting = harness.dial()
	clients.waiting.write(postRequest("/once/slow", "", "q"))
	clients.uploading = harness.dial()
	request := postRequest("/once/half", "", strings.Repeat("x", 20000))
	clients.uploading.write(request[:10000])
	clients.remainder = request[10000:]
	for range 3 {
		harness.nextCall()
	}
	return clients
}

// requireLastResponse checks that a client gets a success that closes its connection.
func requireLastResponse(t *testing.T, client *testClient) (body string) {
	t.Helper()
	resp, body := client.readResponse()
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	return body
}

func TestShutdown(t *testing.T) {
	release := make(chan bool)
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		if strings.Contains(call.requestLine, "/stream/") {
			call.startStream("s")
			call.writeEvents(1, 2)
			<-release
			return call.writeEvents(3, 4) && call.endStream()
		}
		if strings.Contains(call.requestLine, "/slow") {
			<-release
		}
		return call.respondSuccess()
	})
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	clients := startShutdownClients(harness)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	done := make(chan bool)
	go func() {
		harness.gateway.Shutdown(ctx, 300*time.Millisecond)
		close(done)
	}()
	clients.idle.requireClosed()
	recorder := httptest.NewRecorder()
	harness.gateway.ServeReadiness(recorder, nil)
	require.Equal(t, 503, recorder.Code)

	// During the linger time requests are served, also on new connections.
	clients.fresh.write(postRequest("/once/fresh", "", "q"))
	requireLastResponse(t, clients.fresh)
	clients.fresh.requireClosed()
	lateClient := harness.dial()
	lateClient.write(postRequest("/once/late", "", "q"))
	requireLastResponse(t, lateClient)
	clients.uploading.write(clients.remainder)
	requireLastResponse(t, clients.uploading)

	harness.requireListenerClosed()
	select {
	case <-done:
		require.FailNow(t, "shutdown ended with requests in flight")
	default:
	}
	finish()
	require.Equal(t, "served q", requireLastResponse(t, clients.waiting))
	streamed, err := io.ReadAll(clients.stream.Body)
	require.NoError(t, err)
	require.Equal(t, eventTexts(1, 4), string(streamed))
	<-done
}

// requireListenerClosed waits until the gateway accepts no more connections.
func (h *testHarness) requireListenerClosed() {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		conn, err := net.Dial("tcp", h.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	}, testTimeout, 10*time.Millisecond)
}

// TestShutdownCancelsRequests checks that when the context of a shutdown ends, the response to a request in flight
// is truncated and the connection to its server is closed.
func TestShutdownCancelsRequests(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		call.startStream("s")
		call.writeEvents(1, 2)
		call.requireClosed(t)
		return false
	})
	client := harness.dial()
	client.write(postRequest("/stream/x", "", "q"))
	resp := client.readHead()
	call := harness.nextCall()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	harness.gateway.Shutdown(ctx, 0)
	require.EqualValues(t, 0, harness.gateway.inFlight.Load(), "a request is still in flight")
	body, err := io.ReadAll(resp.Body)
	require.Error(t, err, "the response must not look complete")
	require.False(t, isTimeout(err), "the connection is still open")
	require.Equal(t, eventTexts(1, 2), string(body))
	call.requireClosed(t)
}

// TestRequestOnClosingConnection sends a request while the gateway closes the idle connection that carries it. The
// request must get a response, or not be executed.
func TestRequestOnClosingConnection(t *testing.T) {
	for range 20 {
		harness := newHarness(t, 1, alwaysSucceed)
		client := harness.dial()
		client.write(postRequest("/once/x", "", "q"))
		_, _ = client.readResponse()
		harness.nextCall()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		done := make(chan bool)
		go func() {
			harness.gateway.Shutdown(ctx, 10*time.Millisecond)
			close(done)
		}()
		_, _ = client.Write([]byte(postRequest("/once/y", "", "q")))
		resp, err := http.ReadResponse(client.reader, nil)
		<-done
		cancel()
		if err == nil {
			require.Equal(t, 200, resp.StatusCode)
			harness.nextCall()
		} else {
			harness.requireNoCall()
		}
	}
}

func TestIdleClientsDoNotBlockOthers(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed, func(nodeSettings *settings.Settings) { nodeSettings.Limits.FileDescriptors = 400 })
	var conns []*testClient
	for range 300 {
		conns = append(conns, harness.dial())
	}
	// A client is served although others keep idle connections open.
	resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	for _, client := range conns {
		client.Close()
	}
}
