package gateway

import (
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/http1"
)

// outcomeCase is how a server responds to the first request that reaches it, and the expected result.
type outcomeCase struct {
	name    string
	respond func(call *upstreamCall) bool
	// status is the status code that the client gets on a route whose requests must not be executed twice.
	status int
	// retried is set if another server is tried on a route that allows it.
	retried bool
}

var outcomeCases = []outcomeCase{
	{"success without seal", func(call *upstreamCall) bool { return call.respond(200, "", "x") }, 502, true},
	{"success with a coding", func(call *upstreamCall) bool { return call.respond(200, sealField+"Content-Encoding: gzip\r\n", "x") }, 502, true},
	{"without length, reset", func(call *upstreamCall) bool {
		call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%s\r\nbody", headerAttemptID, call.attemptID(), sealField)
		return call.resetOnClose()
	}, 502, true},
	{"without length, protocol 1.0", func(call *upstreamCall) bool {
		call.write("HTTP/1.0 200 X\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\nbody", headerAttemptID, call.attemptID(), sealField)
		return false
	}, 502, true},
	{"surplus response without length", func(call *upstreamCall) bool {
		call.write("HTTP/1.1 200 X\r\n%s: other\r\n%s\r\n", headerAttemptID, sealField)
		return call.respond(200, sealField, "x") // what follows the surplus response is not read
	}, 502, true},
	{"two lengths", func(call *upstreamCall) bool {
		return call.respond(200, sealField+"Content-Length: 3\r\n", "x")
	}, 502, true},
	{"a length beside chunks", func(call *upstreamCall) bool {
		return call.respond(200, sealField+"Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n")
	}, 502, true},
	{"truncated body", func(call *upstreamCall) bool {
		call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 10\r\n\r\nbody", headerAttemptID, call.attemptID(), sealField)
		return false
	}, 502, true},
	{"truncated chunk", func(call *upstreamCall) bool { call.startStream("s"); call.write("a\r\nbody"); return false }, 502, true},
	{"truncated between chunks", func(call *upstreamCall) bool { call.startStream("s"); call.writeChunk("body"); return false }, 502, true},
	{"truncated trailer", func(call *upstreamCall) bool {
		call.startStream("s")
		call.writeChunk("body")
		call.write("0\r\n")
		return false
	}, 502, true},
	{"a bad chunk", func(call *upstreamCall) bool { return call.startStream("s") && call.write("zz\r\nbody\r\n0\r\n\r\n") }, 502, true},
	{"truncated head", func(call *upstreamCall) bool {
		call.write("HTTP/1.1 200 X\r\n%s: %s\r\n", headerAttemptID, call.attemptID())
		return false
	}, 502, true},
	{"garbage", func(call *upstreamCall) bool { call.write("\x16\x03\x01garbage that is no response\n\n"); return true }, 502, true},
	{"another protocol", func(call *upstreamCall) bool {
		return call.write("HTTP/2.0 200 X\r\n%s: %s\r\n%s\r\n", headerAttemptID, call.attemptID(), sealField)
	}, 502, true},
	{"switching protocols", func(call *upstreamCall) bool { return call.respond(101, sealField, "") }, 502, true},
	{"closed", func(call *upstreamCall) bool { return false }, 502, true},
	{"reset", func(call *upstreamCall) bool { return call.resetOnClose() }, 502, true},
	{"success of another request", func(call *upstreamCall) bool {
		call.write("HTTP/1.1 200 X\r\n%s: other\r\n%sContent-Length: 1\r\n\r\nx", headerAttemptID, sealField)
		return false
	}, 502, true},
	{"success without id", func(call *upstreamCall) bool {
		return call.write("HTTP/1.1 200 X\r\n%sContent-Length: 1\r\n\r\nx", sealField)
	}, 502, true},
	{"refusal without id", func(call *upstreamCall) bool {
		return call.write("HTTP/1.1 503 X\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
	}, 502, true},
	{"full", func(call *upstreamCall) bool { return call.respondNotRun() }, 200, true},
	{"too many", func(call *upstreamCall) bool {
		return call.respond(429, headerNotRun+": 1\r\nRetry-After: 0.2\r\n", "")
	}, 200, true},
	{"full, truncated", func(call *upstreamCall) bool {
		call.write("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 9\r\n\r\n", headerAttemptID, call.attemptID(), headerNotRun)
		return false
	}, 200, true},
	{"another instance", func(call *upstreamCall) bool { return call.respond(421, "", "") }, 200, true},
	{"503 without the statement", func(call *upstreamCall) bool { return call.respond(503, "", "busy") }, 502, true},
	{"429 without the statement", func(call *upstreamCall) bool { return call.respond(429, "", "busy") }, 502, true},
	{"408 without the statement", func(call *upstreamCall) bool { return call.respond(408, "", "busy") }, 502, true},
	{"failed", func(call *upstreamCall) bool { return call.respond(500, "X-Own: 1\r\n", "failed") }, 500, true},
	{"deadline", func(call *upstreamCall) bool { return call.respond(504, "", "late") }, 504, true},
	{"not found", func(call *upstreamCall) bool { return call.respond(404, "X-Own: 1\r\n", "nothing") }, 404, false},
	{"moved", func(call *upstreamCall) bool { return call.respond(302, "Location: /x\r\n", "") }, 302, false},
}

// TestOutcomes checks which responses of a server prove that it has not executed a request.
func TestOutcomes(t *testing.T) {
	for _, c := range outcomeCases {
		t.Run(c.name, func(t *testing.T) {
			testOutcome(t, &c, "/once/x", c.status)
			if c.retried {
				testOutcome(t, &c, "/safe/x", 200)
			} else {
				testOutcome(t, &c, "/safe/x", c.status)
			}
		})
	}
}

// testOutcome sends one request, and checks the response to it and the requests that reach servers.
func testOutcome(t *testing.T, c *outcomeCase, path string, status int) {
	t.Helper()
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
		if n == 0 {
			return c.respond(call)
		}
		return call.respondSuccess()
	})
	resp, body := harness.roundTrip(postRequest(path, "", "q"))
	firstCall := harness.nextCall()
	require.Equal(t, status, resp.StatusCode, "%s: %s", path, body)
	switch status {
	case 200:
		secondCall := harness.nextCall()
		require.Equal(t, "served q", body)
		require.NotSame(t, firstCall.server, secondCall.server, "the retry went to the same server")
		require.Equal(t, firstCall.attemptID(), secondCall.attemptID())
	case 500:
		require.Equal(t, "failed", body)
		require.Equal(t, "1", resp.Header.Get("X-Own"))
	case 404:
		require.Equal(t, "nothing", body)
		require.Equal(t, "1", resp.Header.Get("X-Own"))
	case 502:
		require.Empty(t, resp.Header.Get("Retry-After"))
	}
	require.Empty(t, harness.calls)
}

func TestReportedOutcomeOf(t *testing.T) {
	require.Equal(t, balancer.BadResponse, reportedOutcomeOf(http1.Malformed("x")))
	require.Equal(t, balancer.Reset, reportedOutcomeOf(io.EOF))
	require.Equal(t, balancer.Timeout, reportedOutcomeOf(os.ErrDeadlineExceeded))
}
