package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

func TestEventsAreRelayedImmediately(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		more := make(chan bool)
		harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
			call.startStream("s")
			for i := 1; i <= 5; i++ {
				call.writeChunk(eventText(i))
				<-more
			}
			return call.endStream()
		})
		client := harness.dial()
		client.write(postRequest(path, "", "q"))
		resp := client.readHead()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "s", resp.Header.Get(headerServerSeal))
		require.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
		for i := 1; i <= 5; i++ {
			require.Equal(t, eventText(i), readEvent(t, resp)) // before the server sends the next
			more <- true
		}
		_, err := io.ReadFull(resp.Body, make([]byte, 1))
		require.Equal(t, io.EOF, err)
		require.EqualValues(t, 1, harness.callCount.Load())
	}
}

// TestEventsSplitAcrossChunks has chunks and writes end anywhere in events.
func TestEventsSplitAcrossChunks(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		all := eventTexts(1, 30)
		call.startStream("s")
		for i, size := 0, 1; i < len(all); i, size = i+size, size%37+1 {
			size = min(size, len(all)-i)
			call.writeChunk(all[i : i+size])
		}
		return call.endStream()
	})
	for _, path := range []string{"/stream/x", "/resume/x"} {
		_, body := harness.roundTrip(postRequest(path, "", "q"))
		require.Equal(t, eventTexts(1, 30), body)
	}
}

func TestStreamWithContentLength(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.respond(200, sealField, eventTexts(1, 3)) })
	for range 2 {
		_, body := harness.roundTrip(postRequest("/stream/x", "", "q"))
		require.Equal(t, eventTexts(1, 3), body)
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
}

func TestEmptyStream(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.startStream("s") && call.endStream() })
	resp, body := harness.roundTrip(postRequest("/stream/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get(headerServerSeal))
	require.Empty(t, body)
}

// streamFaults are the ways in which a server breaks off a stream after its second event. The client has
// read that by then, as a reset drops what has not been read.
var streamFaults = map[string]func(call *upstreamCall) bool{
	"reset":             func(call *upstreamCall) bool { return call.resetOnClose() },
	"closed":            func(call *upstreamCall) bool { return false },
	"within an event":   func(call *upstreamCall) bool { call.writeChunk("id: 3\ndata: pie"); return false },
	"within a chunk":    func(call *upstreamCall) bool { call.write("ff\r\nid: 3\ndata: pie"); return call.resetOnClose() },
	"after an event":    func(call *upstreamCall) bool { call.write("%x\r\n%s", len(eventText(3)), eventText(3)); return false },
	"after a size":      func(call *upstreamCall) bool { call.write("20\r\n"); return false },
	"a bad chunk":       func(call *upstreamCall) bool { return call.write("zz\r\n") },
	"a bad chunk's end": func(call *upstreamCall) bool { return call.write("%x\r\n%sXX", len(eventText(3)), eventText(3)) },
	"ends in an event":  func(call *upstreamCall) bool { return call.writeChunk("id: 3\ndata: pie") && call.endStream() },
	"a piece twice":     func(call *upstreamCall) bool { return call.writeChunk(eventText(2)) && call.endStream() },
	"a piece missing":   func(call *upstreamCall) bool { return call.writeChunk(eventText(5)) && call.endStream() },
	"an event too long": func(call *upstreamCall) bool {
		return call.writeChunk("id: 3\ndata: " + strings.Repeat("x", maxEventBytes))
	},
}

// lastCompleteEvent returns the ID of the last event that a fault lets through.
func lastCompleteEvent(name string) int {
	if name == "after an event" || name == "a bad chunk's end" {
		return 3 // the event is complete, its chunk is not
	}
	return 2
}

// quickRoutes are routes of streams on which a stalled server is replaced early.
const quickRoutes = `,{"name":"quick","hostname":"h.example","path-prefix":"/quick/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":100,"target-service":"s","max-attempts":3,"resumable":true,"gap_aim_ms":100},
 {"name":"quick-once","hostname":"h.example","path-prefix":"/quick-once/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":100,"target-service":"s","max-attempts":3,"gap_aim_ms":100}`

// TestBrokenStreamIsTruncated breaks off streams that may not be resumed, by their route or by the retry
// budget: they break off for the client, too.
func TestBrokenStreamIsTruncated(t *testing.T) {
	for name, breakOff := range streamFaults {
		for _, path := range []string{"/stream/x", "/quick-once/x", "/resume/x", "/quick/x"} {
			t.Run(name+path, func(t *testing.T) {
				read := make(chan bool)
				harness := newHarness(t, 2, func(call *upstreamCall, _ int) bool {
					call.startStream("s")
					call.writeEvents(1, 2)
					<-read
					return breakOff(call)
				}, func(nodeSettings *settings.Settings) {
					if path == "/resume/x" || path == "/quick/x" {
						nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetrySlack = 0, 0
					}
				})
				harness.update(harness.document(quickRoutes))
				client := harness.dial()
				client.write(postRequest(path, "", "q"))
				resp := client.readHead()
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, eventText(1), readEvent(t, resp))
				require.Equal(t, eventText(2), readEvent(t, resp))
				close(read)
				rest, err := io.ReadAll(resp.Body)
				require.Error(t, err, "it must not look complete")
				require.False(t, isTimeout(err), "the connection is still open")
				require.Equal(t, eventTexts(3, lastCompleteEvent(name)), string(rest))
				require.EqualValues(t, 1, harness.callCount.Load(), "it must not be executed twice")
			})
		}
	}
}

func TestBrokenStreamResumes(t *testing.T) {
	for name, breakOff := range streamFaults {
		for _, path := range []string{"/resume/x", "/quick/x"} {
			t.Run(name+path, func(t *testing.T) {
				read := make(chan bool)
				harness := newHarness(t, 3, func(call *upstreamCall, n int) bool {
					if n == 0 {
						call.startStream("first")
						call.writeEvents(1, 2)
						<-read
						return breakOff(call)
					}
					return call.startStream("second") && call.writeEvents(call.resumeID()+1, 6) && call.endStream()
				})
				harness.update(harness.document(quickRoutes))
				client := harness.dial()
				client.write(postRequest(path, headerDeadline+": 9000\r\n", "q"))
				resp := client.readHead()
				require.Equal(t, eventText(1), readEvent(t, resp))
				require.Equal(t, eventText(2), readEvent(t, resp))
				close(read)
				rest, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, eventTexts(3, 6), string(rest))
				require.Equal(t, []string{"first"}, resp.Header[headerServerSeal])
				firstCall, secondCall := harness.nextCall(), harness.nextCall()
				require.NotSame(t, firstCall.server, secondCall.server)
				require.Equal(t, firstCall.attemptID(), secondCall.attemptID())
				require.Empty(t, firstCall.header.Get(headerLastEventID))
				require.Equal(t, fmt.Sprint(lastCompleteEvent(name)), secondCall.header.Get(headerLastEventID))
				require.Equal(t, "q", secondCall.body)
				require.EqualValues(t, 1, harness.gateway.Counters.Resumed.Load())
				require.EqualValues(t, 1, harness.gateway.Counters.Retries.Load())
			})
		}
	}
}

// TestStreamBrokenBeforeFirstEvent breaks off streams of which the client has received nothing.
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

// TestResumeFails has the server that is to continue a stream fail: the stream breaks off, or continues at
// a third server. Nothing of the failure gets into the stream.
func TestResumeFails(t *testing.T) {
	for name, second := range map[string]func(call *upstreamCall) bool{
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
				return second(call)
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
					return second(call)
				}
				return call.startStream("s") && call.writeEvents(3, 4) && call.endStream()
			})
			_, body = harness.roundTrip(postRequest("/resume/x", "", "q"))
			require.Equal(t, eventTexts(1, 4), body)
		})
	}
}

// TestStreamsUnderRandomFaults checks that clients receive the beginning of a stream in complete events,
// which looks complete only if it is, whatever servers do to the stream.
func TestStreamsUnderRandomFaults(t *testing.T) {
	const last = 12
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		path := []string{"/stream/x", "/quick-once/x", "/resume/x", "/quick/x"}[rng.IntN(4)]
		var mu sync.Mutex // of rng and said
		said := ""
		harness := newHarness(t, 3, func(call *upstreamCall, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			from := 1
			if _, err := fmt.Sscan(call.header.Get(headerLastEventID), &from); err == nil {
				from++
			}
			upTo := from - 1 + rng.IntN(last-from+2)
			trouble := rng.IntN(11)
			said += fmt.Sprintf("%d to %d, trouble %d; ", from, upTo, trouble)
			if trouble == 0 {
				return call.respondNotRun()
			}
			call.startStream(fmt.Sprint("from ", from))
			all := eventTexts(from, upTo)
			for size := 1 + rng.IntN(120); len(all) > 0; {
				n := min(size, len(all))
				call.writeChunk(all[:n])
				all = all[n:]
			}
			if upTo == 0 && trouble > 5 && trouble < 8 {
				trouble = 2 // any ID is valid for the first event
			}
			switch trouble {
			case 1:
				return call.resetOnClose()
			case 2:
				return false
			case 3:
				call.writeChunk(eventText(upTo + 1)[:7])
				return false
			case 4:
				call.write("40\r\n%s", eventText(upTo + 1)[:7])
				return false
			case 5:
				call.write("0\r\n")
				return false
			case 6:
				return call.writeChunk(eventText(upTo)) && call.endStream()
			case 7:
				return call.writeChunk(eventText(upTo+2)) && call.endStream()
			case 8:
				return call.write("HTTP/1.1 200 OK\r\n\r\n")
			}
			return call.writeEvents(upTo+1, last) && call.endStream() && call.write("%s", []string{"", "\r\n", "HTTP/1.1 200 OK\r\n"}[rng.IntN(3)])
		}, func(nodeSettings *settings.Settings) {
			if rng.IntN(4) == 0 {
				nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetrySlack = 0, 0
			}
		})
		harness.update(harness.document(quickRoutes))
		client := harness.dial()
		client.write(postRequest(path, "", "q"))
		resp, body, err := client.tryReadResponse()
		mu.Lock()
		description := fmt.Sprintf("seed %d, %s: %s-> %d %q %v", seed, path, said, resp.StatusCode, body, err)
		mu.Unlock()
		switch {
		case resp.StatusCode == 502 || resp.StatusCode == 503:
			require.NoError(t, err, description)
			require.Empty(t, resp.Header.Get(headerServerSeal), description)
			if resp.StatusCode == 503 {
				require.Equal(t, strings.Count(description, "trouble"), strings.Count(description, "trouble 0"), description) // none was executed
			}
			continue
		case err == nil:
			require.Equal(t, eventTexts(1, last), body, description)
		default:
			require.Less(t, len(body), len(eventTexts(1, last))+1, description)
			require.Equal(t, eventTexts(1, strings.Count(body, "\n\n")), body, description)
		}
		require.Equal(t, 200, resp.StatusCode, description)
		require.Equal(t, "from 1", resp.Header.Get(headerServerSeal), description)
		if path == "/stream/x" || path == "/quick-once/x" {
			require.LessOrEqual(t, strings.Count(description, "trouble")-strings.Count(description, "trouble 0"), 1, description)
		}
		harness.close()
	}
}

// TestClientResumesStream has a client ask for the continuation of a stream.
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

// TestStalledServerIsReplaced has a server stall before the first event and after it.
func TestStalledServerIsReplaced(t *testing.T) {
	for _, begun := range []bool{false, true} {
		harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
			if n == 0 {
				if begun {
					call.startStream("s")
					call.writeEvents(1, 2)
				}
				call.requireClosed(t)
				return false
			}
			return call.startStream("s") && call.writeEvents(call.resumeID()+1, 4) && call.endStream()
		})
		harness.update(harness.document(quickRoutes))
		begin := time.Now()
		_, body := harness.roundTrip(postRequest("/quick/x", "", "q"))
		require.Equal(t, eventTexts(1, 4), body)
		require.Less(t, time.Since(begin), 5*time.Second)
	}
}

// TestStalledServerWithoutBudget waits for a server that stalls if no other may continue the stream.
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

// TestSlowClient has a client that does not read its stream: other requests are not delayed.
func TestSlowClient(t *testing.T) {
	blocked := make(chan bool)
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
		if !strings.Contains(call.requestLine, "/stream/") {
			return call.respondSuccess()
		}
		call.startStream("s")
		data := strings.Repeat("x", 64<<10)
		for i := 1; ; i++ {
			_ = call.conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			if !call.writeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)) {
				break
			}
		}
		blocked <- true
		call.requireClosed(t)
		return false
	})
	client := harness.dial()
	require.NoError(t, client.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	client.write(postRequest("/stream/x", "", "q"))
	call := harness.nextCall()
	<-blocked // back-pressure: the gateway buffers no more
	for range 10 {
		resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	harness.update(harness.document(""))
	require.NotEmpty(t, harness.gateway.ServerViews())
	client.Close()
	_ = call
}
