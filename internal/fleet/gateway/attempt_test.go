package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/http1"
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
	for range 2 { // the trailer is not taken for the next answer
		client.write(postRequest("/once/x", "", ""))
		resp, body := client.readResponse()
		require.Equal(t, "one two", body)
		require.Equal(t, "s", resp.Header.Get(headerServerSeal))
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
}

// answers are what a server may make of its first request; what comes of it on a route that must
// not run twice, and whether another server is tried where it may.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(call *upstreamCall) bool
		unsafe int // status
		again  bool
	}{
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
		{"a surplus one without length", func(call *upstreamCall) bool {
			call.write("HTTP/1.1 200 X\r\n%s: other\r\n%s\r\n", headerAttemptID, sealField)
			return call.respond(200, sealField, "x") // it is not read on for what is no answer of ours
		}, 502, true},
		{"two lengths", func(call *upstreamCall) bool {
			return call.respond(200, sealField+"Content-Length: 3\r\n", "x")
		}, 502, true},
		{"a length beside chunks", func(call *upstreamCall) bool {
			return call.respond(200, sealField+"Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n")
		}, 502, true},
		{"cut in its body", func(call *upstreamCall) bool {
			call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 10\r\n\r\nbody", headerAttemptID, call.attemptID(), sealField)
			return false
		}, 502, true},
		{"cut in a chunk", func(call *upstreamCall) bool { call.startStream("s"); call.write("a\r\nbody"); return false }, 502, true},
		{"cut between chunks", func(call *upstreamCall) bool { call.startStream("s"); call.writeChunk("body"); return false }, 502, true},
		{"cut before the last line", func(call *upstreamCall) bool {
			call.startStream("s")
			call.writeChunk("body")
			call.write("0\r\n")
			return false
		}, 502, true},
		{"a bad chunk", func(call *upstreamCall) bool { return call.startStream("s") && call.write("zz\r\nbody\r\n0\r\n\r\n") }, 502, true},
		{"cut in its head", func(call *upstreamCall) bool {
			call.write("HTTP/1.1 200 X\r\n%s: %s\r\n", headerAttemptID, call.attemptID())
			return false
		}, 502, true},
		{"garbage", func(call *upstreamCall) bool { call.write("\x16\x03\x01garbage that is no answer\n\n"); return true }, 502, true},
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
		{"full", func(call *upstreamCall) bool { return call.respond(503, headerNotRun+": 1\r\n", "full") }, 200, true},
		{"too many", func(call *upstreamCall) bool {
			return call.respond(429, headerNotRun+": 1\r\nRetry-After: 0.2\r\n", "")
		}, 200, true},
		{"full, cut", func(call *upstreamCall) bool {
			call.write("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 9\r\n\r\n", headerAttemptID, call.attemptID(), headerNotRun)
			return false
		}, 200, true},
		{"another instance", func(call *upstreamCall) bool { return call.respond(421, "", "") }, 200, true},
		{"503 without a word", func(call *upstreamCall) bool { return call.respond(503, "", "busy") }, 502, true},
		{"429 without a word", func(call *upstreamCall) bool { return call.respond(429, "", "busy") }, 502, true},
		{"408 without a word", func(call *upstreamCall) bool { return call.respond(408, "", "busy") }, 502, true},
		{"failed", func(call *upstreamCall) bool { return call.respond(500, "X-Own: 1\r\n", "failed") }, 500, true},
		{"deadline", func(call *upstreamCall) bool { return call.respond(504, "", "late") }, 504, true},
		{"not found", func(call *upstreamCall) bool { return call.respond(404, "X-Own: 1\r\n", "nothing") }, 404, false},
		{"moved", func(call *upstreamCall) bool { return call.respond(302, "Location: /x\r\n", "") }, 302, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, path := range []string{"/once/x", "/safe/x"} {
				harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
					if n == 0 {
						return c.do(call)
					}
					return call.respondSuccess()
				})
				resp, body := harness.roundTrip(postRequest(path, "", "q"))
				firstCall := harness.nextCall()
				want := c.unsafe
				if path == "/safe/x" && c.again {
					want = 200
				}
				require.Equal(t, want, resp.StatusCode, "%s: %s", path, body)
				switch want {
				case 200:
					secondCall := harness.nextCall()
					require.Equal(t, "served q", body)
					require.NotSame(t, firstCall.server, secondCall.server, "the same server once more")
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
		})
	}
}

func TestRefusalIsImmediate(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		return call.respond(503, headerNotRun+": 1\r\nRetry-After: 0.7\r\n", "full")
	})
	for _, path := range []string{"/once/x", "/one/x", "/safe/x", "/stream/x", "/resume/x"} {
		start := time.Now()
		resp, _ := harness.roundTrip(postRequest(path, "", "q"))
		requireRefused(t, resp)
		require.Less(t, time.Since(start), 5*time.Second, "held back")
	}
}

func TestMaxAttempts(t *testing.T) {
	harness := newHarness(t, 5, func(call *upstreamCall, _ int) bool { return call.respond(503, headerNotRun+": 1\r\n", "full") })
	for path, most := range map[string]int64{"/one/x": 1, "/once/x": 3, "/safe/x": 3} {
		before := harness.callCount.Load()
		resp, _ := harness.roundTrip(postRequest(path, "", "q"))
		requireRefused(t, resp)
		require.LessOrEqual(t, harness.callCount.Load()-before, most, path)
	}
}

func TestRetryBudget(t *testing.T) {
	empty := func(nodeSettings *settings.Settings) {
		nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetrySlack = 0, 0
	}
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.respond(503, headerNotRun+": 1\r\n", "full") }, empty)
	resp, _ := harness.roundTrip(postRequest("/safe/x", "", "q"))
	requireRefused(t, resp)
	require.EqualValues(t, 1, harness.callCount.Load())

	harness = newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.resetOnClose() }, empty)
	resp, _ = harness.roundTrip(postRequest("/safe/x", "", "q"))
	require.Equal(t, 502, resp.StatusCode)
	require.EqualValues(t, 1, harness.callCount.Load())

	harness = newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.startStream("s") && call.writeEvents(1, 2) && false }, empty)
	client := harness.dial()
	client.write(postRequest("/resume/x", "", "q"))
	resp, body, err := client.tryReadResponse()
	require.Equal(t, 200, resp.StatusCode)
	require.Error(t, err, "it must not look whole")
	require.Equal(t, eventTexts(1, 2), body)
	require.EqualValues(t, 1, harness.callCount.Load())
}

func TestFailedConnectIsNoAttempt(t *testing.T) {
	for _, path := range []string{"/one/x", "/once/x", "/stream/x"} {
		harness := newHarness(t, 3, func(call *upstreamCall, _ int) bool {
			if strings.Contains(call.requestLine, "/stream/") {
				return call.startStream("s") && call.writeEvents(1, 1) && call.endStream()
			}
			return call.respondSuccess()
		}, func(nodeSettings *settings.Settings) {
			nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetrySlack = 0, 0
		})
		harness.servers[0].listener.Close()
		harness.servers[1].listener.Close()
		for range 4 {
			resp, _ := harness.roundTrip(postRequest(path, "", "q"))
			require.Equal(t, 200, resp.StatusCode)
		}
	}
}

func TestNoServerReachable(t *testing.T) {
	harness := newHarness(t, 2, nil)
	harness.servers[0].listener.Close()
	harness.servers[1].listener.Close()
	resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
	requireRefused(t, resp)
}

func TestWrongInstanceIsUnlisted(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
		require.Equal(t, call.server.instance.ID, call.header.Get(headerExpectInstance))
		if n == 0 {
			return call.respond(421, "", "")
		}
		return call.respondSuccess()
	})
	resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	wrong := harness.nextCall().server
	for range 6 {
		resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	require.EqualValues(t, 1, wrong.requestCount.Load())
	require.Len(t, harness.gateway.ServerViews(), 1)
}

func TestWrongInstanceOnLastAttempt(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.respond(421, "", "") })
	resp, _ := harness.roundTrip(postRequest("/one/x", "", "q"))
	requireRefused(t, resp)
	require.EqualValues(t, 1, harness.callCount.Load())
}

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

// What comes after an answer is nobody's: neither the next request on its connection gets it, nor
// does a server get that request on it.
func TestSurplusResponseAfter(t *testing.T) {
	surplus := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 5\r\n\r\nother", headerAttemptID, id, sealField)
	}
	t.Run("with it", func(t *testing.T) {
		harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
			body := "served"
			return call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 6\r\n\r\n%s%s", headerAttemptID, call.attemptID(), sealField, body, surplus(call.attemptID()))
		})
		for range 3 {
			_, body := harness.roundTrip(postRequest("/once/x", "", "q"))
			require.Equal(t, "served", body)
			require.Zero(t, harness.nextCall().connSequence, "the connection was used again")
		}
	})
	t.Run("while idle", func(t *testing.T) {
		harness := newHarness(t, 1, func(call *upstreamCall, n int) bool { return call.respondSuccess() })
		_, _ = harness.roundTrip(postRequest("/once/x", "", "1"))
		firstCall := harness.nextCall()
		firstCall.write("%s", surplus("a-next"))
		require.Eventually(t, func() bool { // it has come
			pool := harness.gateway.pool
			pool.mu.Lock()
			defer pool.mu.Unlock()
			for _, conn := range pool.idle[firstCall.server.instance.ID] {
				return !http1.IsIdle(conn.Conn, conn.reader)
			}
			return pool.open == 0 // it came before the connection was put back
		}, testTimeout, time.Millisecond)
		_, body := harness.roundTrip(postRequest("/once/x", "", "2"))
		require.Equal(t, "served 2", body)
		require.NotSame(t, firstCall.conn, harness.nextCall().conn)
	})
	t.Run("with the next answer", func(t *testing.T) {
		harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
			if n == 1 {
				return call.write("%s", surplus("a-gone")) && call.respondSuccess()
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

// Any beginning of an answer of another request, behind one answer or ahead of the next on the same
// connection, reaches nobody: a caller gets its own answer or none.
func TestSurplusResponseCutAtEachByte(t *testing.T) {
	surplus := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: other\r\n%sContent-Length: 5\r\n\r\nother", headerAttemptID, sealField)
	for n := range len(surplus) + 1 {
		for name, script := range map[string]func(call *upstreamCall, n int) bool{
			"behind": func(call *upstreamCall, _ int) bool {
				own := "served " + call.body
				return call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s%s", headerAttemptID, call.attemptID(), sealField, len(own), own, surplus[:n])
			},
			"ahead": func(call *upstreamCall, i int) bool {
				if i == 1 {
					call.write("%s", surplus[:n])
				}
				return call.respondSuccess() && i == 0 // what is cut has no rest
			},
		} {
			harness := newHarness(t, 1, script)
			for i := range 2 {
				resp, body := harness.roundTrip(postRequest("/once/x", "", fmt.Sprint(i)))
				if resp.StatusCode == 200 {
					require.Equal(t, fmt.Sprintf("served %d", i), body, "%s, %d bytes", name, n)
					continue
				}
				require.Equal(t, 502, resp.StatusCode, "%s, %d bytes", name, n)
				require.Equal(t, "ahead", name)
				require.EqualValues(t, 1, i)
			}
			require.EqualValues(t, 2, harness.callCount.Load(), "%s, %d bytes", name, n)
			harness.close()
		}
	}
}

func TestIdleConnectionClosedByServer(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool { return call.respondSuccess() && n > 0 })
	_, _ = harness.roundTrip(postRequest("/once/x", "", "1"))
	firstCall := harness.nextCall()
	// The close has come when the kept connection is no longer quiet.
	require.Eventually(t, func() bool {
		harness.gateway.pool.mu.Lock()
		defer harness.gateway.pool.mu.Unlock()
		for _, conn := range harness.gateway.pool.idle[firstCall.server.instance.ID] {
			return !http1.IsIdle(conn.Conn, conn.reader)
		}
		return harness.gateway.pool.open == 0 // it came before the connection was put back
	}, testTimeout, time.Millisecond)
	resp, body := harness.roundTrip(postRequest("/once/x", "", "2"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "served 2", body)
	require.EqualValues(t, 2, harness.servers[0].connCount.Load())
}

func TestConnectionReuse(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
		if strings.Contains(call.requestLine, "/last") {
			return call.respond(200, sealField+"Connection: close\r\n", "")
		}
		return call.respondSuccess()
	})
	client := harness.dial()
	ask := func(path string) {
		client.write(postRequest(path, "", "1"))
		_, _ = client.readResponse()
	}
	for range 5 {
		ask("/once/x")
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
	ask("/once/last")
	ask("/once/x")
	require.EqualValues(t, 2, harness.servers[0].connCount.Load())
}

// A server that leaves the list between its pick and the send gets nothing.
func TestServerDrainsBeforeSend(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.respondSuccess() })
	document := harness.document("")
	harness.update(document)
	// The picker still has both, the list only one: the moment between a pick and a newer list.
	gone := harness.servers[0]
	snap := *harness.gateway.snapshot.Load()
	snap.Servers = harness.serverList(gone)
	harness.gateway.snapshot.Store(&snap)
	for range 20 {
		resp, _ := harness.roundTrip(postRequest("/one/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	require.Zero(t, gone.requestCount.Load())
}

func TestClientDisconnect(t *testing.T) {
	t.Run("while the server works", func(t *testing.T) {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			harness := newHarness(t, 2, func(call *upstreamCall, n int) bool { call.requireClosed(t); return false })
			client := harness.dial()
			client.write(postRequest(path, "", "q"))
			call := harness.nextCall()
			client.Close()
			call.requireClosed(t)
			harness.requireNoCall()
		}
	})
	t.Run("while it streams", func(t *testing.T) {
		harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
			call.startStream("s")
			call.writeEvents(1, 1)
			call.requireClosed(t)
			return false
		})
		for _, path := range []string{"/stream/x", "/resume/x"} {
			client := harness.dial()
			client.write(postRequest(path, "", "q"))
			client.readHead()
			call := harness.nextCall()
			client.Close()
			call.requireClosed(t)
		}
		harness.requireNoCall()
	})
	t.Run("before it is sent", func(t *testing.T) {
		harness := newHarness(t, 0, nil)
		full := listenWithFullBacklog(t)
		harness.addServer(&testServer{listener: full}, "s")
		harness.update(harness.document(""))
		client := harness.dial()
		client.write(postRequest("/once/x", "", "q"))
		inFlight := func() int { return harness.gateway.ServerViews()[0].InFlight }
		require.Eventually(t, func() bool { return inFlight() == 1 }, testTimeout, time.Millisecond)
		client.Close()
		require.Eventually(t, func() bool { return inFlight() == 0 }, testTimeout, time.Millisecond)
		require.EqualValues(t, 1, harness.gateway.Counters.ClientDisconnects.Load())
	})
}

// listenWithFullBacklog is a listener that lets connects wait: its queue of connections is full.
func listenWithFullBacklog(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { require.NoError(t, unix.Listen(int(fd), 0)) }))
	for { // a connect that does not come up tells that it is full
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			require.True(t, isTimeout(err))
			return listener
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// A client that has closed only its sending side may still read: nothing that it reads may look
// like a whole answer that is none.
func TestHalfClosedClient(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
			if strings.Contains(call.requestLine, "/stream/") {
				call.startStream("s")
				call.writeEvents(1, 1)
			}
			call.requireClosed(t)
			return false
		})
		client := harness.dial()
		client.write(postRequest(path, "", "q"))
		harness.nextCall()
		if path == "/stream/x" {
			require.Equal(t, 200, client.readHead().StatusCode)
		}
		require.NoError(t, client.Conn.(*net.TCPConn).CloseWrite())
		rest, _ := io.ReadAll(client.reader)
		require.NotContains(t, string(rest), "HTTP/1.1 2", path)
		require.NotContains(t, string(rest), "\r\n0\r\n\r\n", path)
	}
}

func TestDeadlines(t *testing.T) {
	silent := func(call *upstreamCall, n int) bool {
		if strings.Contains(call.requestLine, "/begun") {
			call.startStream("s")
			call.writeEvents(1, 1)
		}
		if strings.Contains(call.requestLine, "/part") {
			call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 10\r\n\r\nbody", headerAttemptID, call.attemptID(), sealField)
		}
		call.requireClosed(t)
		return false
	}
	for _, path := range []string{"/once/x", "/stream/x", "/once/part", "/safe/x"} {
		harness := newHarness(t, 1, silent)
		resp, _ := harness.roundTrip(postRequest(path, headerDeadline+": 200\r\n", "q"))
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, path)
		harness.nextCall().requireClosed(t)
	}
	for _, path := range []string{"/stream/begun", "/resume/begun"} {
		harness := newHarness(t, 1, silent)
		client := harness.dial()
		client.write(postRequest(path, headerDeadline+": 200\r\n", "q"))
		resp, body, err := client.tryReadResponse()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, eventText(1), body)
		require.Error(t, err, "it must not look whole")
		harness.nextCall().requireClosed(t)
	}
}

func TestRouteTimeoutBelowDeadline(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool { call.requireClosed(t); return false })
	harness.update(harness.document(`,{"name":"short","hostname":"h.example","path-prefix":"/short/","route-kind":"unsafe","timeout-ms":150,"setpoint-ms":100,"target-service":"s"}`))
	resp, _ := harness.roundTrip(postRequest("/short/x", headerDeadline+": 10000\r\n", "q"))
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
}

func TestCounters(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool { return call.respondSuccess() })
	_, _ = harness.roundTrip(postRequest("/once/x", "", "q"))
	_, _ = harness.roundTrip(postRequest("/none/x", "", "q"))
	f := harness.gateway.Counters.Values()
	require.EqualValues(t, 2, f["requests"])
	require.EqualValues(t, 1, f["served"])
	require.EqualValues(t, 1, f["rejected"])
	require.EqualValues(t, 0, f["failed"])
}

func TestReportedOutcomeOf(t *testing.T) {
	require.Equal(t, balancer.BadResponse, reportedOutcomeOf(http1.Malformed("x")))
	require.Equal(t, balancer.Reset, reportedOutcomeOf(io.EOF))
	require.Equal(t, balancer.Timeout, reportedOutcomeOf(os.ErrDeadlineExceeded))
}

// A long answer is passed on without being held whole.
func TestLongResponses(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxBufferedBodyBytes/16) // just held whole
	script := func(call *upstreamCall, n int) bool {
		size := len(long)
		fmt.Sscan(call.header.Get("X-Size"), &size)
		body := strings.Repeat(long, size/len(long)+1)[:size]
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
			require.True(t, strings.Repeat(long, 6)[:size] == body, "%s %d: %d bytes", method, size, len(body))
		}
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
	for size, again := range map[int]bool{maxBufferedBodyBytes - 1: true, maxBufferedBodyBytes + 1: false, 3 * maxBufferedBodyBytes: false} {
		harness := newHarness(t, 2, script)
		client := harness.dial()
		client.write(postRequest("/safe/x", fmt.Sprintf("X-Cut: 1\r\nX-Size: %d\r\n", size), ""))
		resp, body, err := client.tryReadResponse()
		require.Equal(t, 200, resp.StatusCode)
		if again {
			require.NoError(t, err)
			require.Len(t, body, size)
		} else {
			require.Error(t, err, "it must not look whole")
			require.EqualValues(t, 1, harness.callCount.Load())
		}
	}
}

// Failures are held whole, so they are bounded; what they promise counts all the same.
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
