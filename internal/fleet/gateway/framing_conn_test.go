package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAmbiguousFraming sends requests whose end RFC 9112 allows servers to find at different bytes. They get an
// error and their connection is closed, so that what follows is never executed.
func TestAmbiguousFraming(t *testing.T) {
	hidden := "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\n" + headerAttemptID + ": hidden\r\nContent-Length: 0\r\n\r\n"
	chunked := "0\r\n\r\n" + hidden
	for name, request := range map[string]string{
		"a length and chunks":   requestHead("POST", "/once/x", "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n") + chunked,
		"chunks and a length":   requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + chunked,
		"chunks and length 0":   requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + chunked,
		"folded":                requestHead("POST", "/once/x", "Transfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n") + chunked,
		"a space before a name": requestHead("POST", "/once/x", "X-A: 1\r\n Content-Length: 5\r\n") + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 1, alwaysSucceed)
			client := harness.dial()
			_, _ = client.Write([]byte(request))
			client.readRejections()
			harness.requireNoCall()
		})
	}
}

// TestAmbiguousRequestGets400 checks that each ambiguous request is answered by 400, and that the request after it
// is not executed.
func TestAmbiguousRequestGets400(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	for name, c := range ambiguousRequests {
		t.Run(name, func(t *testing.T) {
			rejected := harness.gateway.Counters.Rejected.Load()
			client := harness.dial()
			defer client.Close()
			// The request must have a route, as net/http does not read the bodies of other requests.
			routed := strings.TrimSuffix(requestHead("POST", "/once/x", ""), "\r\n")
			request := strings.Replace(c.request, postHead, routed, 1)
			client.write(request + postRequest("/once/hidden", "", ""))
			resp, _ := client.readResponse()
			require.Equal(t, http.StatusBadRequest, resp.StatusCode)
			require.True(t, resp.Close)
			client.requireClosed()
			harness.requireNoCall()
			require.Greater(t, harness.gateway.Counters.Rejected.Load(), rejected)
		})
	}
}

// TestAmbiguousRequestBehindAnother checks that the requests before an ambiguous one are answered first.
func TestAmbiguousRequestBehindAnother(t *testing.T) {
	release := make(chan bool)
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		select {
		case <-release:
		case <-time.After(testTimeout):
		}
		return call.respondSuccess()
	})
	ambiguousHead := requestHead("POST", "/once/x", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")
	for _, secondRequest := range []string{
		ambiguousHead, ambiguousHead[1:10] + " ", "\x00",
		requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "x\r\n",
	} {
		client := harness.dial()
		client.write(postRequest("/once/first", "", "q") + secondRequest + postRequest("/once/hidden", "", ""))
		require.Contains(t, harness.nextCall().requestLine, "/once/first")
		require.Eventually(t, func() bool { return harness.gateway.Counters.Rejected.Load() > 0 }, testTimeout, time.Millisecond)
		harness.gateway.Counters.Rejected.Store(0)
		release <- true
		resp, body := client.readResponse()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "served q", body)
		resp, _ = client.readResponse()
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
		require.True(t, resp.Close)
		client.requireClosed()
		harness.requireNoCall()
	}
	require.Zero(t, harness.gateway.Counters.ClientDisconnects.Load(), "a request was cancelled without a disconnect")
}

// TestFramingByteByByte sends requests with each kind of framing byte by byte on one connection.
func TestFramingByteByByte(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		if strings.HasPrefix(call.requestLine, "HEAD") {
			return call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 7\r\n\r\n", headerAttemptID, call.attemptID(), sealField)
		}
		return call.respondSuccess()
	})
	client := harness.dial()
	require.NoError(t, client.Conn.(*net.TCPConn).SetNoDelay(true))
	for _, request := range []struct{ bytes, body string }{
		{postRequest("/once/x", "", "hello"), "hello"},
		{"\r\n" + postRequest("/once/x", "Upgrade: websocket\r\nConnection: Upgrade\r\n", "hello"), "hello"},
		{requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5;a=\"b\"\r\nhello\r\n1\r\n!\r\n0;c\r\nX-A: 1\r\nX-B: 2\r\n\r\n", "hello!"},
		{requestHead("HEAD", "/once/x", ""), ""},
		{requestHead("HEAD", "/once/x", "Content-Length: 5\r\n") + "hello", "hello"},
		{requestHead("GET", "/safe/x", ""), ""},
	} {
		for i := range len(request.bytes) {
			client.write(request.bytes[i : i+1])
		}
		call := harness.nextCall()
		require.Equal(t, request.body, call.body)
		if strings.HasPrefix(call.requestLine, "HEAD") {
			require.Equal(t, http.StatusOK, client.readHead().StatusCode)
			continue
		}
		resp, body := client.readResponse()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "served "+request.body, body)
	}
	harness.requireNoCall()
}

// TestAmbiguousBodyAfterContinue sends a body with ambiguous framing after 100 Continue.
func TestAmbiguousBodyAfterContinue(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	client.write(requestHead("POST", "/once/x", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"))
	line, err := client.reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, _ = client.reader.ReadString('\n')
	client.write("5 \r\nhello\r\n0\r\n\r\n" + postRequest("/once/hidden", "", ""))
	resp, _ := client.readResponse()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.True(t, resp.Close)
	harness.requireNoCall()
}
