package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests whose framing RFC 9112 lets a server read in one way and others read in another: they
// should get an error and their connection be closed, so that what stands behind is never run.
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
			harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.respondSuccess() })
			client := harness.dial()
			_, _ = client.Write([]byte(request))
			for {
				resp, err := http.ReadResponse(client.reader, nil)
				if err != nil {
					require.False(t, isTimeout(err), "the connection is still open")
					break
				}
				require.GreaterOrEqual(t, resp.StatusCode, 400)
				require.True(t, resp.Close, "%d keeps the connection", resp.StatusCode)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			harness.requireNoCall()
		})
	}
}

// A doubtful request gets 400, and what stands behind it is not read.
func TestAmbiguousRequestGets400(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.respondSuccess() })
	for name, c := range ambiguousRequests {
		t.Run(name, func(t *testing.T) {
			rejected := harness.gateway.Counters.Rejected.Load()
			client := harness.dial()
			defer client.Close()
			// On a route, as the bodies of other requests are not read.
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

// A request that is doubtful does not end those ahead of it on its connection: they are answered
// first.
func TestAmbiguousRequestBehindAnother(t *testing.T) {
	release := make(chan bool)
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		select {
		case <-release:
		case <-time.After(testTimeout):
		}
		return call.respondSuccess()
	})
	doubtful := requestHead("POST", "/once/x", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")
	for _, second := range []string{doubtful, doubtful[1:10] + " ", "\x00", requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "x\r\n"} {
		client := harness.dial()
		client.write(postRequest("/once/first", "", "q") + second + postRequest("/once/hidden", "", ""))
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
	require.Zero(t, harness.gateway.Counters.ClientDisconnects.Load(), "a request was taken for one whose client has left")
}

// Requests of every kind of framing, one behind the other and byte by byte, are served on one
// connection.
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

// The head of a request with Expect is answered before its body is scanned.
func TestAmbiguousBodyAfterContinue(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.respondSuccess() })
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
