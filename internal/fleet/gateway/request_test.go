package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTargetIsUnchanged(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	for _, path := range []string{
		"/once/", "/once/a%2Fb%2f%20", "/once//a///b/", "/once/./../x", "/once/?", "/once/?a=b&a=%zz&&", "/once/x?y?z#",
		"/once/~!$&'()*+,;=:@-._", "/once/{}|\\^`<>\"[]", "/once/\xc3\xa9\xff", "/once/%E9", "/once/a?http://other.example/../",
		"/once/" + strings.Repeat("long", 1000),
	} {
		client.write(postRequest(path, "", "q"))
		resp, _ := client.readResponse()
		require.Equal(t, 200, resp.StatusCode, path)
		require.Equal(t, "POST "+path+" HTTP/1.1", harness.nextCall().requestLine)
	}
}

func TestMethods(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	for _, method := range []string{"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "REPORT"} {
		client.write(requestHead(method, "/once/x", "Content-Length: 3\r\n") + "abc")
		_, body := client.readResponse()
		require.Equal(t, "served abc", body, method)
		require.Equal(t, method+" /once/x HTTP/1.1", harness.nextCall().requestLine)
		client.write(requestHead(method, "/once/x", ""))
		_, body = client.readResponse()
		require.Equal(t, "served ", body, method)
		harness.nextCall()
	}
}

func TestHEADHasNoBody(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		return call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 7\r\n\r\n", headerAttemptID, call.attemptID(), sealField)
	})
	client := harness.dial()
	for _, path := range []string{"/once/x", "/stream/x"} {
		for range 2 {
			client.write(requestHead("HEAD", path, headerDeadline+": 3000\r\n"))
			resp := client.readHead()
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, "seal-1", resp.Header.Get(headerServerSeal))
			require.EqualValues(t, 7, resp.ContentLength)
			require.Zero(t, client.reader.Buffered())
		}
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
}

func TestHopByHopHeaders(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	resp, _ := harness.roundTrip("POST /once/x HTTP/1.1\r\nHost: H.example:80\r\nContent-Length: 1\r\n" +
		"Connection: keep-alive, X-Named, chalkdoor-attempt-id, content-length\r\nX-Named: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n" +
		"Upgrade: h2c\r\nProxy-Connection: keep-alive\r\nTrailer: X-T\r\n" +
		"X-Own: 1\r\nX-Own: 2\r\nX-Empty:\r\nX-Odd: \t a,b;\"c\" \xe9 \r\nCookie: a=b\r\nAuthorization: Basic x\r\nAccept-Encoding: identity\r\n" +
		"Chalkdoor-Attempt-Id: the-id\r\nChalkdoor-Expect-Instance: i-other\r\n" +
		"Chalkdoor-Model: m\r\nChalkdoor-Token-Count: 1460,80\r\nChalkdoor-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nPriority: 3\r\n\r\nq")
	require.Equal(t, 200, resp.StatusCode)
	call := harness.nextCall()
	header := call.header
	for _, name := range []string{"Connection", "X-Named", "Keep-Alive", "Te", "Upgrade", "Proxy-Connection", "Trailer"} {
		require.NotContains(t, header, name)
	}
	require.Equal(t, []string{"1", "2"}, header["X-Own"])
	require.Equal(t, []string{""}, header["X-Empty"])
	require.Equal(t, []string{"a,b;\"c\" \xe9"}, header["X-Odd"])
	require.Equal(t, []string{"H.example:80"}, header["Host"])
	require.Equal(t, []string{"the-id"}, header[headerAttemptID])
	require.Equal(t, []string{call.server.instance.ID}, header[headerExpectInstance])
	require.Equal(t, []string{"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}, header[headerPromptPrefix])
	require.Equal(t, []string{"1460,80"}, header[headerTokenCount])
	require.Equal(t, []string{"3"}, header[headerPriority])
	for _, name := range []string{"Cookie", "Authorization", "Accept-Encoding", "Chalkdoor-Model"} {
		require.Contains(t, header, name)
	}
	require.Equal(t, "q", call.body)
}

// TestEndToEndFields checks that at each attempt the end-to-end fields reach the server unchanged.
func TestEndToEndFields(t *testing.T) {
	fields := map[string][]string{
		headerModel: {"Model/v1.5:large"}, headerTokenCount: {"0001460, 80"}, headerPromptPrefix: {"5C1E07A2:800,91bd3f06:0410,,x"}, headerAttemptID: {"Id-0x9C\xe9"},
		"X-Unknown": {"1", "", "a,  b; \"c\""}, "Chalkdoor-Unknown": {"\xff."}, "X_under.score!": {"~"}, "Traceparent": {"00-0af7-b7ad-01"},
	}
	for _, connection := range []string{"", "Connection: keep-alive, chalkdoor-model, Chalkdoor-Token-Count, CHALKDOOR-PROMPT-PREFIX, chalkdoor-attempt-id\r\n"} {
		harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
			if n == 0 {
				return call.respond(503, headerNotRun+": 1\r\n", "")
			}
			return call.respondSuccess()
		})
		request := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n" + connection
		for name, values := range fields {
			for _, value := range values {
				request += name + ": " + value + "\r\n"
			}
		}
		resp, _ := harness.roundTrip(request + "\r\n")
		require.Equal(t, 200, resp.StatusCode)
		for range 2 {
			call := harness.nextCall()
			for name, values := range fields {
				require.Equal(t, values, call.header[http.CanonicalHeaderKey(name)], name)
			}
			require.NotContains(t, call.header, "Connection")
		}
	}
}

func TestDeadlineShrinks(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
		if n == 0 && call.pause(50*time.Millisecond) {
			return call.respond(503, headerNotRun+": 1\r\n", "")
		}
		return call.respondSuccess()
	})
	_, _ = harness.roundTrip(postRequest("/once/x", headerDeadline+": 4000\r\n", "q"))
	firstTimeout, secondTimeout := harness.nextCall().timeout(t), harness.nextCall().timeout(t)
	require.LessOrEqual(t, firstTimeout, 4*time.Second)
	require.Greater(t, firstTimeout, time.Second)
	require.LessOrEqual(t, secondTimeout, firstTimeout-50*time.Millisecond)
	// An invalid deadline is ignored: the route's time-out applies.
	for _, field := range []string{"", headerDeadline + ": 1e300\r\n", headerDeadline + ": inf\r\n", headerDeadline + ": nan\r\n", headerDeadline + ": -5\r\n", headerDeadline + ": soon\r\n",
		headerDeadline + ": 99999999999999999999\r\n"} {
		resp, _ := harness.roundTrip(postRequest("/once/x", field, "q"))
		require.Equal(t, 200, resp.StatusCode, field)
		timeout := harness.nextCall().timeout(t)
		require.LessOrEqual(t, timeout, 10*time.Second, field)
		require.Greater(t, timeout, time.Second, field)
	}
}

func TestBodies(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	for _, n := range []int{0, 1, unreservedBodyBytes - 1, unreservedBodyBytes, unreservedBodyBytes + 1, 65536} {
		body := strings.Repeat("\x00\r\n\xff", n/4+1)[:n]
		client.write(postRequest("/once/x", "", body))
		_, got := client.readResponse()
		require.Equal(t, "served "+body, got, n)
		require.Equal(t, strconv.Itoa(n), harness.nextCall().header.Get("Content-Length"))

		client.write(requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n"))
		for i := 0; i < n; i += 5000 {
			chunk := body[i:min(i+5000, n)]
			client.write(fmt.Sprintf("%X;ext=1\r\n%s\r\n", len(chunk), chunk))
		}
		client.write("0\r\nX-Trailer: 1\r\n\r\n")
		_, got = client.readResponse()
		require.Equal(t, "served "+body, got, n)
		call := harness.nextCall()
		require.Equal(t, strconv.Itoa(n), call.header.Get("Content-Length"))
		require.NotContains(t, call.header, "X-Trailer")
	}
	harness.requireMemoryReleased()
}

func TestBodiesOverTheLimit(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := harness.dial()
	client.write(requestHead("POST", "/once/x", "Content-Length: 65537\r\n"))
	resp, _ := client.readResponse()
	require.Equal(t, 413, resp.StatusCode)
	require.True(t, resp.Close)
	client.requireClosed()

	client = harness.dial()
	client.write(requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "10001\r\n" + strings.Repeat("x", 65537) + "\r\n0\r\n\r\n")
	resp, _ = client.readResponse()
	require.Equal(t, 413, resp.StatusCode)
	require.True(t, resp.Close)
	harness.requireNoCall()
	harness.requireMemoryReleased()
}

func TestTruncatedBodies(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	for _, request := range []string{
		requestHead("POST", "/once/x", "Content-Length: 10\r\n") + "short",
		requestHead("POST", "/once/x", "Content-Length: 60000\r\n") + strings.Repeat("x", 30000),
		requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nsh",
		requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n",
		requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n0\r\n",
	} {
		client := harness.dial()
		client.write(request)
		client.Close()
	}
	require.Eventually(t, func() bool { return harness.gateway.Counters.Rejected.Load() == 5 }, testTimeout, time.Millisecond)
	harness.requireNoCall()
	harness.requireMemoryReleased()
}

func TestBodyMemoryLimit(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	require.True(t, harness.gateway.bodyMemory.TryAcquire(testBodyMemory))
	resp, _ := harness.roundTrip(postRequest("/once/x", "", strings.Repeat("x", 60000)))
	requireRefused(t, resp)
	resp, _ = harness.roundTrip(postRequest("/once/x", "", "small"))
	require.Equal(t, 200, resp.StatusCode)
	harness.gateway.bodyMemory.Release(testBodyMemory)
	resp, _ = harness.roundTrip(postRequest("/once/x", "", strings.Repeat("x", 60000)))
	require.Equal(t, 200, resp.StatusCode)
}

func TestRouteChangeDuringBody(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	otherServer := harness.startServer("t")
	harness.update(harness.document(`,{"name":"moved","hostname":"h.example","path-prefix":"/once/moved/","route-kind":"unsafe","timeout-ms":10000,"target-service":"t"}`))
	client := harness.dial()
	// The route moves to another service, and then it is removed.
	harness.update(harness.document(""))
	client.startUpload("/once/moved/x")
	harness.update(harness.document(`,{"name":"moved","hostname":"h.example","path-prefix":"/once/moved/","route-kind":"unsafe","timeout-ms":10000,"target-service":"t"}`))
	client.write(strings.Repeat("x", 10000))
	resp, _ := client.readResponse()
	require.Equal(t, 200, resp.StatusCode)
	require.Same(t, otherServer, harness.nextCall().server)

	harness.update(harness.document(`,{"name":"removed","hostname":"h.example","path-prefix":"/removed/","route-kind":"unsafe","timeout-ms":10000,"target-service":"t"}`))
	client.startUpload("/removed/x")
	harness.update(harness.document(""))
	client.write(strings.Repeat("x", 10000))
	resp, _ = client.readResponse()
	require.Equal(t, 404, resp.StatusCode)
	harness.requireNoCall()
}

func TestWeightedSplit(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	harness.startServer("t")
	harness.update(harness.document(`,{"name":"split","hostname":"h.example","path-prefix":"/split/","route-kind":"unsafe","timeout-ms":10000,
		"weighted-split":[{"target-service":"s","weight":1},{"target-service":"t","weight":3}]}`))
	client := harness.dial()
	for range 400 {
		client.write(postRequest("/split/x", "", ""))
		_, _ = client.readResponse()
	}
	toSecond := harness.servers[1].requestCount.Load()
	require.InDelta(t, 300, toSecond, 60)
	require.EqualValues(t, 400-toSecond, harness.servers[0].requestCount.Load())
}

func TestParsePromptSegments(t *testing.T) {
	require.Len(t, parsePromptSegments("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), 3)
	require.Equal(t, uint64(0x5c1e07a2), parsePromptSegments("5c1e07a2:800")[0].ID)
	require.Equal(t, 800, parsePromptSegments("5c1e07a2:800")[0].Tokens)
	require.Len(t, parsePromptSegments("a:1,b,c:2"), 1)
	require.Len(t, parsePromptSegments("a:1,b:-1"), 1)
	require.Len(t, parsePromptSegments("a:1,zz:1,not-hex-and-longer-than-sixteen:2"), 3)
	require.Len(t, parsePromptSegments(strings.Repeat("a:1,", 1000)), maxPromptSegments)
	require.Nil(t, parsePromptSegments(""))
}
