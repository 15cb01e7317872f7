package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestClientDisconnectDuringBody checks that a request with an incomplete body is not sent.
func TestClientDisconnectDuringBody(t *testing.T) {
	harness := newHarness(t, 1, nil)
	requests := []string{
		requestHead("POST", "/safe/x", "Content-Length: 10\r\n"),
		requestHead("POST", "/safe/x", "Content-Length: 60000\r\n") + strings.Repeat("x", 59999),
		requestHead("POST", "/stream/x", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n",
	}
	for _, request := range requests {
		client := harness.dial()
		client.write(request)
		client.Close()
	}
	require.Eventually(t, func() bool { return harness.gateway.Counters.Rejected.Load() == int64(len(requests)) }, testTimeout, time.Millisecond)
	harness.requireNoCall()
	require.Zero(t, harness.servers[0].connCount.Load())
}

// TestClientDisconnectDuringUpload checks that the connection to the server is closed at once if the client
// disconnects while the server does not read the body.
func TestClientDisconnectDuringUpload(t *testing.T) {
	const bodyBytes = 12 << 20 // more than the buffers of a connection with a small receive buffer
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		require.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10))
	}))
	harness := newHarness(t, 0, nil)
	harness.addServer(&testServer{listener: listener}, "s")
	document := harness.document("")
	document.Limits.BodyBytes = bodyBytes
	harness.update(document)
	client := harness.dial()
	client.write(postRequest("/once/x", "", strings.Repeat("x", bodyBytes)))
	netConn, err := listener.Accept()
	require.NoError(t, err)
	harness.track(netConn)
	client.Close()
	// The connection's buffers are full: only the client's disconnect can end the upload.
	require.Eventually(t, func() bool { return harness.gateway.Counters.ClientDisconnects.Load() == 1 }, finalResponseMargin, time.Millisecond)
	require.NoError(t, netConn.SetReadDeadline(time.Now().Add(testTimeout)))
	length, err := io.Copy(io.Discard, netConn)
	require.False(t, isTimeout(err), "the server's connection is still open")
	require.Less(t, length, int64(bodyBytes))
}

// TestClientDisconnectIsPrompt checks that a client's disconnect ends its request at once, not at its
// deadline, whatever the request waits for.
func TestClientDisconnectIsPrompt(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x", "/stream/started", "/resume/started", "/once/started"} {
		t.Run(path, func(t *testing.T) {
			received := make(chan bool, 1)
			harness := newHarness(t, 2, func(call *upstreamCall, _ int) bool {
				switch {
				case strings.Contains(call.requestLine, "/once/started"):
					call.writePartialResponse()
				case strings.Contains(call.requestLine, "/started"):
					call.startStream("s")
					call.writeEvents(1, 1)
				}
				received <- true
				call.requireClosed(t)
				return false
			})
			client := harness.dial()
			client.write(postRequest(path, "", "q"))
			<-received
			disconnected := time.Now()
			client.Close()
			require.Eventually(t, func() bool { return harness.gateway.Counters.ClientDisconnects.Load() == 1 }, testTimeout, time.Millisecond)
			require.Less(t, time.Since(disconnected), finalResponseMargin)
			harness.nextCall().requireClosed(t)
			require.Less(t, time.Since(disconnected), finalResponseMargin)
			harness.requireNoCall()
		})
	}
}

func TestClientDisconnectDuringConnect(t *testing.T) {
	harness := newHarness(t, 0, nil)
	harness.addServer(&testServer{listener: listenWithFullBacklog(t)}, "s")
	harness.update(harness.document(""))
	client, start := harness.dial(), time.Now()
	client.write(postRequest("/once/x", "", "q"))
	require.Eventually(t, func() bool { return harness.gateway.ServerStatuses()[0].InFlight == 1 }, testTimeout, time.Millisecond)
	client.Close()
	require.Eventually(t, func() bool { return harness.gateway.Counters.ClientDisconnects.Load() == 1 }, testTimeout, time.Millisecond)
	require.Less(t, time.Since(start), connectTimeout, "the connect was not cancelled")
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
		listener := listenWithFullBacklog(t)
		harness.addServer(&testServer{listener: listener}, "s")
		harness.update(harness.document(""))
		client := harness.dial()
		client.write(postRequest("/once/x", "", "q"))
		inFlight := func() int { return harness.gateway.ServerStatuses()[0].InFlight }
		require.Eventually(t, func() bool { return inFlight() == 1 }, testTimeout, time.Millisecond)
		client.Close()
		require.Eventually(t, func() bool { return inFlight() == 0 }, testTimeout, time.Millisecond)
		require.EqualValues(t, 1, harness.gateway.Counters.ClientDisconnects.Load())
	})
}

// TestClientDisconnectAfterNextRequest checks that a client's disconnect ends its request at once even if bytes of its
// next request, which have not been read, come before the end of the connection.
func TestClientDisconnectAfterNextRequest(t *testing.T) {
	const next = "GET /safe/next HTTP/1.1\r\nHost: h.example\r\n\r\n"
	leave := map[string]func(*testing.T, *testClient){
		"close":      func(_ *testing.T, client *testClient) { client.Close() },
		"half-close": func(t *testing.T, client *testClient) { require.NoError(t, client.Conn.(*net.TCPConn).CloseWrite()) },
		"reset": func(t *testing.T, client *testClient) {
			require.NoError(t, client.Conn.(*net.TCPConn).SetLinger(0))
			client.Close()
		},
	}
	cases := map[string]struct{ first, later string }{
		"start of the next":                {postRequest("/once/x", "", "q"), next[:7]},
		"first byte of the next":           {postRequest("/once/x", "", "q"), next[:1]},
		"whole next":                       {postRequest("/once/x", "", "q"), next},
		"several":                          {postRequest("/once/x", "", "q"), strings.Repeat(next, 100)},
		"what is no request":               {postRequest("/once/x", "", "q"), "\x00\x00\x00"},
		"without a body":                   {requestHead("GET", "/safe/x", ""), next[:7]},
		"with a chunked body":              {requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "1\r\nq\r\n0\r\n\r\n", next[:7]},
		"the rest of a head begun with it": {postRequest("/once/x", "", "q") + next[:7], next[7:20]},
		"behind an empty line":             {postRequest("/once/x", "", "q"), "\r\n" + next[:7]},
	}
	for how, leaveNow := range leave {
		for name, testCase := range cases {
			t.Run(how+" "+name, func(t *testing.T) {
				harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { call.requireClosed(t); return false })
				client := harness.dial()
				client.write(testCase.first)
				call := harness.nextCall()
				client.write(testCase.later)
				disconnected := time.Now()
				leaveNow(t, client)
				call.requireClosed(t)
				require.Less(t, time.Since(disconnected), finalResponseMargin)
				harness.requireNoCall()
			})
		}
	}
}

// TestNextRequestIsServed checks that requests which arrive in parts during the ones before are served in order, on a
// connection of which several have been read ahead.
func TestNextRequestIsServed(t *testing.T) {
	release := make(chan bool)
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		<-release
		return call.respondSuccess()
	})
	client := harness.dial()
	pieces := []string{postRequest("/once/0", "", "0") + "P"}
	for i := 1; i < 4; i++ {
		request := postRequest(fmt.Sprint("/once/", i), "", fmt.Sprint(i))
		pieces = append(pieces, request[1:40], request[40:]+"P")
	}
	client.write(pieces[0])
	harness.nextCall()
	for i := 1; i < 4; i++ {
		client.write(pieces[2*i-1])
		release <- true
		resp, body := client.readResponse()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, fmt.Sprint("served ", i-1), body)
		client.write(pieces[2*i])
		harness.nextCall()
	}
	release <- true
	_, body := client.readResponse()
	require.Equal(t, "served 3", body)
}

// listenWithFullBacklog returns a listener whose accept queue is full, so that further connects block.
func listenWithFullBacklog(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { require.NoError(t, unix.Listen(int(fd), 0)) }))
	for { // until a connect blocks
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			require.True(t, isTimeout(err))
			return listener
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// TestHalfClosedClient checks that a client that closes the sending side of its connection does not get anything
// that looks like a complete response.
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
