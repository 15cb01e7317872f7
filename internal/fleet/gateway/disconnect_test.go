package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Nothing is sent for a client that has left before its body was whole.
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

// A client that leaves while its server does not read has the server's connection closed at once.
func TestClientDisconnectDuringUpload(t *testing.T) {
	const long = 12 << 20 // more than the buffers of a connection hold, whose receiver has a small one
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
	document.Limits.BodyBytes = long
	harness.update(document)
	client := harness.dial()
	client.write(postRequest("/once/x", "", strings.Repeat("x", long)))
	netConn, err := listener.Accept()
	require.NoError(t, err)
	harness.track(netConn)
	client.Close()
	// The connection takes no more bytes, so that only the client's end can end the send.
	require.Eventually(t, func() bool { return harness.gateway.Counters.ClientDisconnects.Load() == 1 }, finalResponseMargin, time.Millisecond)
	require.NoError(t, netConn.SetReadDeadline(time.Now().Add(testTimeout)))
	n, err := io.Copy(io.Discard, netConn)
	require.False(t, isTimeout(err), "the server's connection is still open")
	require.Less(t, n, int64(long))
}

// Whatever a request waits for, its client's leaving ends it at once and not at its deadline.
func TestClientDisconnectIsPrompt(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x", "/stream/begun", "/resume/begun", "/once/begun"} {
		t.Run(path, func(t *testing.T) {
			begun := make(chan bool, 1)
			harness := newHarness(t, 2, func(call *upstreamCall, _ int) bool {
				switch {
				case strings.Contains(call.requestLine, "/once/begun"):
					writePartialResponse(call)
				case strings.Contains(call.requestLine, "/begun"):
					call.startStream("s")
					call.writeEvents(1, 1)
				}
				begun <- true
				call.requireClosed(t)
				return false
			})
			client := harness.dial()
			client.write(postRequest(path, "", "q"))
			<-begun
			left := time.Now()
			client.Close()
			require.Eventually(t, func() bool { return harness.gateway.Counters.ClientDisconnects.Load() == 1 }, testTimeout, time.Millisecond)
			require.Less(t, time.Since(left), finalResponseMargin)
			harness.nextCall().requireClosed(t)
			require.Less(t, time.Since(left), finalResponseMargin)
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
	require.Eventually(t, func() bool { return harness.gateway.ServerViews()[0].InFlight == 1 }, testTimeout, time.Millisecond)
	client.Close()
	require.Eventually(t, func() bool { return harness.gateway.Counters.ClientDisconnects.Load() == 1 }, testTimeout, time.Millisecond)
	require.Less(t, time.Since(start), connectTimeout, "the connect was waited for")
}
