package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// quickRoutes are routes of streams with short time-outs for a server that sends nothing.
const quickRoutes = `,{"name":"quick","hostname":"h.example","path-prefix":"/quick/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":100,"target-service":"s","max-attempts":3,"resumable":true,"gap_aim_ms":100},
 {"name":"quick-once","hostname":"h.example","path-prefix":"/quick-once/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":100,"target-service":"s","max-attempts":3,"gap_aim_ms":100}`

// streamFault is a way in which a server breaks off a stream after its second event. The client has read that
// event before, as a reset discards what has not been read.
type streamFault struct {
	breakOff  func(call *upstreamCall) bool
	lastEvent int // the ID of the last event that reaches the client
}

var streamFaults = map[string]streamFault{
	"reset":  {func(call *upstreamCall) bool { return call.resetOnClose() }, 2},
	"closed": {func(call *upstreamCall) bool { return false }, 2},
	"within an event": {func(call *upstreamCall) bool {
		call.writeChunk("id: 3\ndata: pie")
		return false
	}, 2},
	"within a chunk": {func(call *upstreamCall) bool {
		call.write("ff\r\nid: 3\ndata: pie")
		return call.resetOnClose()
	}, 2},
	"after a complete event within a chunk": {func(call *upstreamCall) bool {
		call.write("%x\r\n%s", len(eventText(3)), eventText(3))
		return false
	}, 3},
	"after a chunk size": {func(call *upstreamCall) bool {
		call.write("20\r\n")
		return false
	}, 2},
	"malformed chunk size": {func(call *upstreamCall) bool { return call.write("zz\r\n") }, 2},
	"malformed chunk end": {func(call *upstreamCall) bool {
		return call.write("%x\r\n%sXX", len(eventText(3)), eventText(3))
	}, 3},
	"last chunk within an event": {func(call *upstreamCall) bool {
		return call.writeChunk("id: 3\ndata: pie") && call.endStream()
	}, 2},
	"repeated event": {func(call *upstreamCall) bool { return call.writeChunk(eventText(2)) && call.endStream() }, 2},
	"missing event":  {func(call *upstreamCall) bool { return call.writeChunk(eventText(5)) && call.endStream() }, 2},
	"event too long": {func(call *upstreamCall) bool {
		return call.writeChunk("id: 3\ndata: " + strings.Repeat("x", maxEventBytes))
	}, 2},
}

// resumable reports whether the streams of a route may be resumed.
func resumable(path string) bool { return path == "/resume/x" || path == "/quick/x" }

// withoutResuming allows no retries if the streams of a route may be resumed.
func withoutResuming(path string) settingsOption {
	if resumable(path) {
		return withoutRetryBudget
	}
	return func(*settings.Settings) {}
}

// TestBrokenStreamIsTruncated has a server break off a stream that the route or the retry budget does not allow
// to resume, and checks that the client sees a truncated stream.
func TestBrokenStreamIsTruncated(t *testing.T) {
	for name, fault := range streamFaults {
		for _, path := range []string{"/stream/x", "/quick-once/x", "/resume/x", "/quick/x"} {
			t.Run(name+path, func(t *testing.T) {
				eventsRead := make(chan bool)
				harness := newHarness(t, 2, func(call *upstreamCall, _ int) bool {
					call.startStream("s")
					call.writeEvents(1, 2)
					<-eventsRead
					return fault.breakOff(call)
				}, withoutResuming(path))
				harness.update(harness.document(quickRoutes))
				client := harness.dial()
				client.write(postRequest(path, "", "q"))
				resp := client.readHead()
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, eventText(1), readEvent(t, resp))
				require.Equal(t, eventText(2), readEvent(t, resp))
				close(eventsRead)
				rest, err := io.ReadAll(resp.Body)
				require.Error(t, err, "it must not look complete")
				require.False(t, isTimeout(err), "the connection is still open")
				require.Equal(t, eventTexts(3, fault.lastEvent), string(rest))
				require.EqualValues(t, 1, harness.callCount.Load(), "it must not be executed twice")
			})
		}
	}
}

func TestBrokenStreamResumes(t *testing.T) {
	for name, fault := range streamFaults {
		for _, path := range []string{"/resume/x", "/quick/x"} {
			t.Run(name+path, func(t *testing.T) {
				eventsRead := make(chan bool)
				harness := newHarness(t, 3, func(call *upstreamCall, n int) bool {
					if n == 0 {
						call.startStream("first")
						call.writeEvents(1, 2)
						<-eventsRead
						return fault.breakOff(call)
					}
					return call.startStream("second") && call.writeEvents(call.resumeID()+1, 6) && call.endStream()
				})
				harness.update(harness.document(quickRoutes))
				client := harness.dial()
				client.write(postRequest(path, headerDeadline+": 9000\r\n", "q"))
				resp := client.readHead()
				require.Equal(t, eventText(1), readEvent(t, resp))
				require.Equal(t, eventText(2), readEvent(t, resp))
				close(eventsRead)
				rest, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, eventTexts(3, 6), string(rest))
				require.Equal(t, []string{"first"}, resp.Header[headerServerSeal])
				firstCall, secondCall := harness.nextCall(), harness.nextCall()
				require.NotSame(t, firstCall.server, secondCall.server)
				require.Equal(t, firstCall.attemptID(), secondCall.attemptID())
				require.Empty(t, firstCall.header.Get(headerLastEventID))
				require.Equal(t, fmt.Sprint(fault.lastEvent), secondCall.header.Get(headerLastEventID))
				require.Equal(t, "q", secondCall.body)
				require.EqualValues(t, 1, harness.gateway.Counters.Resumed.Load())
				require.EqualValues(t, 1, harness.gateway.Counters.Retries.Load())
			})
		}
	}
}

// TestStreamBrokenBeforeFirstEvent has a server break off a stream of which the client has received nothing.
func TestStreamBrokenBeforeFirstEvent(t *testing.T) {
	for name, breakOff := range map[string]func(call *upstreamCall) bool{
		"closed":         func(call *upstreamCall) bool { return false },
		"after its head": func(call *upstreamCall) bool { call.startStream("s"); return false },
		"in its event":   func(call *upstreamCall) bool { call.startStream("s"); call.write("20\r\nid: 1\n"); return false },
	} {
		for path, status := range map[string]int{"/stream/x": 502, "/quick-once/x": 502, "/resume/x": 200, "/quick/x": 200} {
			t.Run(name+path, func(t *testing.T) {
				harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
					if n == 0 {
						return breakOff(call)
					}
					return call.startStream("second") && call.writeEvents(1, 3) && call.endStream()
				})
				harness.update(harness.document(quickRoutes))
				resp, body := harness.roundTrip(postRequest(path, "", "q"))
				require.Equal(t, status, resp.StatusCode)
				if status == 200 {
					require.Equal(t, eventTexts(1, 3), body)
					require.Equal(t, "second", resp.Header.Get(headerServerSeal))
				} else {
					require.EqualValues(t, 1, harness.callCount.Load())
				}
			})
		}
	}
}

func TestStreamResumesTwice(t *testing.T) {
	harness := newHarness(t, 3, func(call *upstreamCall, n int) bool {
		if n < 2 {
			return call.startStream(fmt.Sprint("seal", n)) && call.writeEvents(3*n+1, 3*n+3) && false
		}
		return call.startStream("last") && call.writeEvents(7, 8) && call.endStream()
	})
	resp, body := harness.roundTrip(postRequest("/resume/x", "", "q"))
	require.Equal(t, eventTexts(1, 8), body)
	require.Equal(t, "seal0", resp.Header.Get(headerServerSeal))
}

func TestMaxAttemptsOfStream(t *testing.T) {
	harness := newHarness(t, 6, func(call *upstreamCall, n int) bool {
		return call.startStream("s") && call.writeEvents(n+1, n+1) && false
	})
	client := harness.dial()
	client.write(postRequest("/resume/x", "", "q"))
	_, body, err := client.tryReadResponse()
	require.Error(t, err)
	require.Equal(t, eventTexts(1, 3), body)
	require.EqualValues(t, 3, harness.callCount.Load())
}

// TestResumeFails has the server fail that should continue a stream. It checks that a third server continues
// the stream if there is one, and that the stream is truncated otherwise. In both cases the client receives
// nothing of the failed response.
func TestResumeFails(t *testing.T) {
	for name, failSecondCall := range map[string]func(call *upstreamCall) bool{
		"full":      func(call *upstreamCall) bool { return call.respondNotRun() },
		"failed":    func(call *upstreamCall) bool { return call.respond(500, "", "failed") },
		"not found": func(call *upstreamCall) bool { return call.respond(404, "", "nothing") },
		"no seal":   func(call *upstreamCall) bool { return call.respond(200, "", eventTexts(3, 4)) },
		"from 1 again": func(call *upstreamCall) bool {
			return call.startStream("s") && call.writeEvents(1, 4) && call.endStream()
		},
		"closed": func(call *upstreamCall) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
				if n == 0 {
					return call.startStream("s") && call.writeEvents(1, 2) && false
				}
				return failSecondCall(call)
			})
			client := harness.dial()
			client.write(postRequest("/resume/x", "", "q"))
			_, body, err := client.tryReadResponse()
			require.Error(t, err)
			require.Equal(t, eventTexts(1, 2), body)

			harness = newHarness(t, 3, func(call *upstreamCall, n int) bool {
				switch n {
				case 0:
					return call.startStream("s") && call.writeEvents(1, 2) && false
				case 1:
					return failSecondCall(call)
				}
				return call.startStream("s") && call.writeEvents(3, 4) && call.endStream()
			})
			_, body = harness.roundTrip(postRequest("/resume/x", "", "q"))
			require.Equal(t, eventTexts(1, 4), body)
		})
	}
}

// TestClientResumesStream has a client ask for the rest of a stream of which it has received the first events.
func TestClientResumesStream(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
		if n == 0 {
			return call.startStream("a") && call.writeEvents(5, 6) && false
		}
		return call.startStream("b") && call.writeEvents(7, 8) && call.endStream()
	})
	_, body := harness.roundTrip(postRequest("/resume/x", headerLastEventID+": 4\r\n", "q"))
	require.Equal(t, eventTexts(5, 8), body)
	require.Equal(t, "4", harness.nextCall().header.Get(headerLastEventID))
	require.Equal(t, []string{"6"}, harness.nextCall().header[headerLastEventID])
}

// TestStalledServerIsReplaced checks that another server takes over from one that stalls, before the first
// event and after it.
func TestStalledServerIsReplaced(t *testing.T) {
	for _, started := range []bool{false, true} {
		harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
			if n == 0 {
				if started {
					call.startStream("s")
					call.writeEvents(1, 2)
				}
				call.requireClosed(t)
				return false
			}
			return call.startStream("s") && call.writeEvents(call.resumeID()+1, 4) && call.endStream()
		})
		harness.update(harness.document(quickRoutes))
		start := time.Now()
		_, body := harness.roundTrip(postRequest("/quick/x", "", "q"))
		require.Equal(t, eventTexts(1, 4), body)
		require.Less(t, time.Since(start), 5*time.Second)
	}
}

// TestStalledServerWithoutBudget checks that the gateway waits for a stalled server if the retry budget does not
// allow another one to continue the stream.
func TestStalledServerWithoutBudget(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
		call.startStream("s")
		call.writeEvents(1, 2)
		return call.pause(1200*time.Millisecond) && call.writeEvents(3, 4) && call.endStream()
	}, withoutRetryBudget)
	harness.update(harness.document(quickRoutes))
	_, body := harness.roundTrip(postRequest("/quick/x", "", "q"))
	require.Equal(t, eventTexts(1, 4), body)
	require.EqualValues(t, 1, harness.callCount.Load())
}
