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
func TestAClientThatLeavesBeforeItsBodyIsWhole(t *testing.T) {
	w := newWorld(t, 1, nil)
	requests := []string{
		head("POST", "/safe/x", "Content-Length: 10\r\n"),
		head("POST", "/safe/x", "Content-Length: 60000\r\n") + strings.Repeat("x", 59999),
		head("POST", "/stream/x", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n",
	}
	for _, request := range requests {
		c := w.dial()
		c.send(request)
		c.Close()
	}
	require.Eventually(t, func() bool { return w.door.Figures.Rejected.Load() == int64(len(requests)) }, patience, time.Millisecond)
	w.none()
	require.Zero(t, w.servers[0].conns.Load())
}

// A client that leaves while its server does not read has the server's connection closed at once.
func TestAClientThatLeavesWhileItsRequestIsSent(t *testing.T) {
	const long = 12 << 20 // more than the buffers of a connection hold, whose receiver has a small one
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		require.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10))
	}))
	w := newWorld(t, 0, nil)
	w.add(&server{ln: ln}, "s")
	doc := w.doc("")
	doc.Limits.BodyBytes = long
	w.update(doc)
	c := w.dial()
	c.send(post("/once/x", "", strings.Repeat("x", long)))
	nc, err := ln.Accept()
	require.NoError(t, err)
	w.hold(nc)
	c.Close()
	// The connection takes no more bytes, so that only the client's end can end the send.
	require.Eventually(t, func() bool { return w.door.Figures.Left.Load() == 1 }, overtime, time.Millisecond)
	require.NoError(t, nc.SetReadDeadline(time.Now().Add(patience)))
	n, err := io.Copy(io.Discard, nc)
	require.False(t, timedOut(err), "the server's connection is still open")
	require.Less(t, n, int64(long))
}

// Whatever a request waits for, its client's leaving ends it at once and not at its deadline.
func TestAClientThatLeavesEndsItsRequestAtOnce(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x", "/stream/begun", "/resume/begun", "/once/begun"} {
		t.Run(path, func(t *testing.T) {
			begun := make(chan bool, 1)
			w := newWorld(t, 2, func(a *arrival, _ int) bool {
				switch {
				case strings.Contains(a.line, "/once/begun"):
					halfAnswer(a)
				case strings.Contains(a.line, "/begun"):
					a.stream("s")
					a.events(1, 1)
				}
				begun <- true
				a.gone(t)
				return false
			})
			c := w.dial()
			c.send(post(path, "", "q"))
			<-begun
			left := time.Now()
			c.Close()
			require.Eventually(t, func() bool { return w.door.Figures.Left.Load() == 1 }, patience, time.Millisecond)
			require.Less(t, time.Since(left), overtime)
			w.next().gone(t)
			require.Less(t, time.Since(left), overtime)
			w.none()
		})
	}
}

func TestAClientThatLeavesEndsAConnectAtOnce(t *testing.T) {
	w := newWorld(t, 0, nil)
	w.add(&server{ln: fullQueue(t)}, "s")
	w.update(w.doc(""))
	c, begun := w.dial(), time.Now()
	c.send(post("/once/x", "", "q"))
	require.Eventually(t, func() bool { return w.door.Servers()[0].InFlight == 1 }, patience, time.Millisecond)
	c.Close()
	require.Eventually(t, func() bool { return w.door.Figures.Left.Load() == 1 }, patience, time.Millisecond)
	require.Less(t, time.Since(begun), connectTime, "the connect was waited for")
}
