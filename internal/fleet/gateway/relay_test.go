package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRelayResponse(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		return call.respond(201, sealField+"X-Own: 1\r\nX-Own: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n", "a\x00\xffb")
	})
	for _, path := range []string{"/safe/x", "/once/x"} {
		resp, body := harness.roundTrip(postRequest(path, "", "question"))
		require.Equal(t, 201, resp.StatusCode)
		require.Equal(t, "a\x00\xffb", body)
		require.Equal(t, "seal-1", resp.Header.Get(headerServerSeal))
		require.Equal(t, []string{"1", "2"}, resp.Header["X-Own"])
		require.NotContains(t, resp.Header, "X-Hop")
		require.Equal(t, "question", harness.nextCall().body)
	}
}

func TestRelayChunkedResponse(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		return call.startStream("s") && call.writeChunk("one ") && call.writeChunk("two") && call.write("0\r\nX-Trailer: 1\r\n\r\n")
	})
	client := harness.dial()
	for range 2 { // the trailer must not be taken for the next response
		client.write(postRequest("/once/x", "", ""))
		resp, body := client.readResponse()
		require.Equal(t, "one two", body)
		require.Equal(t, "s", resp.Header.Get(headerServerSeal))
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
}

// TestLongResponses checks bodies around the size up to which they are buffered. A longer one that is truncated
// is not retried.
func TestLongResponses(t *testing.T) {
	longBody := strings.Repeat("0123456789abcdef", maxBufferedBodyBytes/16) // the longest body that is buffered
	script := func(call *upstreamCall, n int) bool {
		size := len(longBody)
		fmt.Sscan(call.header.Get("X-Size"), &size)
		body := strings.Repeat(longBody, size/len(longBody)+1)[:size]
		switch {
		case call.header.Get("X-Cut") != "" && n == 0:
			call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", headerAttemptID, call.attemptID(), sealField, size+1, body)
			return false
		case strings.HasPrefix(call.requestLine, "PUT "):
			if !call.startStream("seal-1") {
				return false
			}
			for len(body) > 0 {
				n := min(len(body), 5000)
				call.writeChunk(body[:n])
				body = body[n:]
			}
			return call.endStream()
		}
		return call.respond(200, sealField, body)
	}
	harness := newHarness(t, 1, script)
	client := harness.dial()
	for _, size := range []int{maxBufferedBodyBytes - 1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 5*maxBufferedBodyBytes + 7} {
		for _, method := range []string{"POST", "PUT"} {
			client.write(requestHead(method, "/safe/x", fmt.Sprintf("X-Size: %d\r\nContent-Length: 0\r\n", size)))
			resp, body := client.readResponse()
			require.Equal(t, "seal-1", resp.Header.Get(headerServerSeal))
			require.True(t, strings.Repeat(longBody, 6)[:size] == body, "%s %d: %d bytes", method, size, len(body))
		}
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
	for size, retried := range map[int]bool{maxBufferedBodyBytes - 1: true, maxBufferedBodyBytes + 1: false, 3 * maxBufferedBodyBytes: false} {
		harness := newHarness(t, 2, script)
		client := harness.dial()
		client.write(postRequest("/safe/x", fmt.Sprintf("X-Cut: 1\r\nX-Size: %d\r\n", size), ""))
		resp, body, err := client.tryReadResponse()
		require.Equal(t, 200, resp.StatusCode)
		if retried {
			require.NoError(t, err)
			require.Len(t, body, size)
		} else {
			require.Error(t, err, "it must not look complete")
			require.EqualValues(t, 1, harness.callCount.Load())
		}
	}
}

// TestLongFailures checks that a server error with a long body is not relayed, and that a server's statement
// that it has not executed the request counts whatever the size of its body.
func TestLongFailures(t *testing.T) {
	script := func(call *upstreamCall, _ int) bool {
		status := 500
		fields := ""
		switch {
		case strings.Contains(call.requestLine, "/full"):
			status, fields = 503, headerNotRun+": 1\r\n"
		case strings.Contains(call.requestLine, "/404"):
			status = 404
		}
		return call.respond(status, fields, strings.Repeat("x", maxFailureBodyBytes+1))
	}
	for path, want := range map[string]int{"/once/500": 502, "/once/404": 502, "/once/full": 503} {
		harness := newHarness(t, 1, script)
		resp, _ := harness.roundTrip(postRequest(path, "", ""))
		require.Equal(t, want, resp.StatusCode, path)
	}
}
