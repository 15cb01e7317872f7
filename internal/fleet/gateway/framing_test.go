package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests whose framing RFC 9112 lets a server read in one way and others read in another: they
// should get an error and their connection be closed, so that what stands behind is never run.
func TestDoubtfulFraming(t *testing.T) {
	hidden := "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\n" + hID + ": hidden\r\nContent-Length: 0\r\n\r\n"
	chunked := "0\r\n\r\n" + hidden
	for name, request := range map[string]string{
		"a length and chunks":   head("POST", "/once/x", "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n") + chunked,
		"chunks and a length":   head("POST", "/once/x", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + chunked,
		"chunks and length 0":   head("POST", "/once/x", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + chunked,
		"folded":                head("POST", "/once/x", "Transfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n") + chunked,
		"a space before a name": head("POST", "/once/x", "X-A: 1\r\n Content-Length: 5\r\n") + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
			c := w.dial()
			_, _ = c.Write([]byte(request))
			for {
				resp, err := http.ReadResponse(c.br, nil)
				if err != nil {
					require.False(t, timedOut(err), "the connection is still open")
					break
				}
				require.GreaterOrEqual(t, resp.StatusCode, 400)
				require.True(t, resp.Close, "%d keeps the connection", resp.StatusCode)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			w.none()
		})
	}
}

// A doubtful request gets 400, and what stands behind it is not read.
func TestADoubtfulRequestGets400(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	for name, c := range doubtfulRequests {
		t.Run(name, func(t *testing.T) {
			rejected := w.door.Figures.Rejected.Load()
			client := w.dial()
			defer client.Close()
			// On a route, as the bodies of other requests are not read.
			routed := strings.TrimSuffix(head("POST", "/once/x", ""), "\r\n")
			request := strings.Replace(c.request, postHead, routed, 1)
			client.send(request + post("/once/hidden", "", ""))
			resp, _ := client.whole()
			require.Equal(t, http.StatusBadRequest, resp.StatusCode)
			require.True(t, resp.Close)
			client.closed()
			w.none()
			require.Greater(t, w.door.Figures.Rejected.Load(), rejected)
		})
	}
}

// A request that is doubtful does not end those ahead of it on its connection: they are answered
// first.
func TestADoubtfulRequestBehindAnother(t *testing.T) {
	release := make(chan bool)
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		select {
		case <-release:
		case <-time.After(patience):
		}
		return a.serve()
	})
	doubtful := head("POST", "/once/x", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")
	for _, second := range []string{doubtful, doubtful[1:10] + " ", "\x00", head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "x\r\n"} {
		c := w.dial()
		c.send(post("/once/first", "", "q") + second + post("/once/hidden", "", ""))
		require.Contains(t, w.next().line, "/once/first")
		require.Eventually(t, func() bool { return w.door.Figures.Rejected.Load() > 0 }, patience, time.Millisecond)
		w.door.Figures.Rejected.Store(0)
		release <- true
		resp, body := c.whole()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "served q", body)
		resp, _ = c.whole()
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
		require.True(t, resp.Close)
		c.closed()
		w.none()
	}
	require.Zero(t, w.door.Figures.Left.Load(), "a request was taken for one whose client has left")
}

// Requests of every kind of framing, one behind the other and byte by byte, are served on one
// connection.
func TestFramingByteByByte(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		if strings.HasPrefix(a.line, "HEAD") {
			return a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 7\r\n\r\n", hID, a.id(), sealed)
		}
		return a.serve()
	})
	c := w.dial()
	require.NoError(t, c.Conn.(*net.TCPConn).SetNoDelay(true))
	for _, request := range []struct{ bytes, body string }{
		{post("/once/x", "", "hello"), "hello"},
		{"\r\n" + post("/once/x", "Upgrade: websocket\r\nConnection: Upgrade\r\n", "hello"), "hello"},
		{head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5;a=\"b\"\r\nhello\r\n1\r\n!\r\n0;c\r\nX-A: 1\r\nX-B: 2\r\n\r\n", "hello!"},
		{head("HEAD", "/once/x", ""), ""},
		{head("HEAD", "/once/x", "Content-Length: 5\r\n") + "hello", "hello"},
		{head("GET", "/safe/x", ""), ""},
	} {
		for i := range len(request.bytes) {
			c.send(request.bytes[i : i+1])
		}
		a := w.next()
		require.Equal(t, request.body, a.body)
		if strings.HasPrefix(a.line, "HEAD") {
			require.Equal(t, http.StatusOK, c.head().StatusCode)
			continue
		}
		resp, body := c.whole()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "served "+request.body, body)
	}
	w.none()
}

// The head of a request with Expect is answered before its body is scanned.
func TestADoubtfulBodyBehindContinue(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	c.send(head("POST", "/once/x", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"))
	line, err := c.br.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, _ = c.br.ReadString('\n')
	c.send("5 \r\nhello\r\n0\r\n\r\n" + post("/once/hidden", "", ""))
	resp, _ := c.whole()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.True(t, resp.Close)
	w.none()
}
