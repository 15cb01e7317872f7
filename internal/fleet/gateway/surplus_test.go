package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSurplusResponseBefore(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
		return call.write("HTTP/1.1 100 Continue\r\n\r\n") &&
			call.write("HTTP/1.1 200 X\r\n%s: earlier\r\n%sContent-Length: 5\r\n\r\nother", headerAttemptID, sealField) &&
			call.write("HTTP/1.1 503 X\r\n%s: earlier\r\n%s: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", headerAttemptID, headerNotRun) &&
			call.respondSuccess()
	})
	for _, path := range []string{"/once/x", "/safe/x"} {
		resp, body := harness.roundTrip(postRequest(path, "", "q"))
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "served q", body)
	}
}

// TestSurplusResponseAfter checks that bytes after a response are never taken for the next response, and that
// their connection carries no further request.
func TestSurplusResponseAfter(t *testing.T) {
	surplus := func(attemptID string) string {
		return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 5\r\n\r\nother", headerAttemptID, attemptID, sealField)
	}
	t.Run("together with the response", func(t *testing.T) {
		harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
			body := "served"
			return call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 6\r\n\r\n%s%s", headerAttemptID, call.attemptID(), sealField, body, surplus(call.attemptID()))
		})
		for range 3 {
			_, body := harness.roundTrip(postRequest("/once/x", "", "q"))
			require.Equal(t, "served", body)
			require.Zero(t, harness.nextCall().connSequence, "the connection was reused")
		}
	})
	t.Run("while idle", func(t *testing.T) {
		harness := newHarness(t, 1, alwaysSucceed)
		_, _ = harness.roundTrip(postRequest("/once/x", "", "1"))
		firstCall := harness.nextCall()
		firstCall.write("%s", surplus("a-next"))
		harness.requireNoUsableConn(firstCall.server)
		_, body := harness.roundTrip(postRequest("/once/x", "", "2"))
		require.Equal(t, "served 2", body)
		require.NotSame(t, firstCall.conn, harness.nextCall().conn)
	})
	t.Run("together with the next response", func(t *testing.T) {
		harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
			if n == 1 {
				return call.write("%s", surplus("a-earlier")) && call.respondSuccess()
			}
			return call.respondSuccess()
		})
		for i := range 3 {
			_, body := harness.roundTrip(postRequest("/once/x", "", fmt.Sprint(i)))
			require.Equal(t, fmt.Sprintf("served %d", i), body)
		}
	})
	t.Run("many", func(t *testing.T) {
		harness := newHarness(t, 1, func(call *upstreamCall, n int) bool { return call.write("%s", strings.Repeat(surplus("other"), 20)) })
		resp, _ := harness.roundTrip(postRequest("/once/x", "", ""))
		require.Equal(t, 502, resp.StatusCode)
	})
}

// TestSurplusResponseCutAtEachByte has a server send each prefix of a response to another request, after the
// first response of a connection or before the second. It checks that a client gets its own response or none.
func TestSurplusResponseCutAtEachByte(t *testing.T) {
	surplus := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: other\r\n%sContent-Length: 5\r\n\r\nother", headerAttemptID, sealField)
	for length := range len(surplus) + 1 {
		for name, script := range map[string]callScript{
			"after": func(call *upstreamCall, _ int) bool {
				ownBody := "served " + call.body
				return call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s%s",
					headerAttemptID, call.attemptID(), sealField, len(ownBody), ownBody, surplus[:length])
			},
			"before": func(call *upstreamCall, n int) bool {
				if n == 1 {
					call.write("%s", surplus[:length])
				}
				return call.respondSuccess() && n == 0 // the rest of a truncated response never arrives
			},
		} {
			harness := newHarness(t, 1, script)
			for i := range 2 {
				resp, body := harness.roundTrip(postRequest("/once/x", "", fmt.Sprint(i)))
				if resp.StatusCode == 200 {
					require.Equal(t, fmt.Sprintf("served %d", i), body, "%s, %d bytes", name, length)
					continue
				}
				require.Equal(t, 502, resp.StatusCode, "%s, %d bytes", name, length)
				require.Equal(t, "before", name)
				require.EqualValues(t, 1, i)
			}
			require.EqualValues(t, 2, harness.callCount.Load(), "%s, %d bytes", name, length)
			harness.close()
		}
	}
}
