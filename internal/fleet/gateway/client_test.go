package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testClient is a client with one connection.
type testClient struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

// dial opens a connection to the gateway.
func (h *testHarness) dial() *testClient {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.track(conn)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{Conn: conn, t: h.t, reader: bufio.NewReader(conn)}
}

// roundTrip sends one request on a connection of its own and returns its complete response.
func (h *testHarness) roundTrip(request string) (*http.Response, string) {
	h.t.Helper()
	client := h.dial()
	defer client.Close()
	client.write(request)
	return client.readResponse()
}

// attemptCounter is the number of the last attempt ID.
var attemptCounter atomic.Int64

// requestHead returns the head of a request with a new attempt ID; the given fields end with CRLF.
func requestHead(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: a%d\r\n%s\r\n", method, path, headerAttemptID, attemptCounter.Add(1), fields)
}

// postRequest returns a complete request with a body.
func postRequest(path, fields, body string) string {
	return requestHead("POST", path, fmt.Sprintf("Content-Length: %d\r\n%s", len(body), fields)) + body
}

// write writes bytes as they are.
func (c *testClient) write(data string) {
	c.t.Helper()
	_, err := c.Write([]byte(data))
	require.NoError(c.t, err)
}

// startUpload sends the head of a request and most of its body. When it returns, the gateway has matched
// the route, because it asks for the body only after that.
func (c *testClient) startUpload(path string) {
	c.t.Helper()
	c.write(requestHead("POST", path, "Expect: 100-continue\r\nContent-Length: 40000\r\n"))
	require.Equal(c.t, http.StatusContinue, c.readHead().StatusCode)
	c.write(strings.Repeat("x", 30000))
}

// readHead reads the head of the next response.
func (c *testClient) readHead() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	return resp
}

// tryReadResponse reads the next response. It returns the error from reading the body, if any.
func (c *testClient) tryReadResponse() (resp *http.Response, body string, err error) {
	c.t.Helper()
	resp = c.readHead()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// readResponse reads the next response, which must be complete.
func (c *testClient) readResponse() (*http.Response, string) {
	c.t.Helper()
	resp, body, err := c.tryReadResponse()
	require.NoError(c.t, err)
	return resp, body
}

// readRejections reads responses until the gateway closes the connection. All must have an error status and
// announce that the connection will be closed.
func (c *testClient) readRejections() {
	c.t.Helper()
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			require.False(c.t, isTimeout(err), "the connection is still open")
			return
		}
		require.GreaterOrEqual(c.t, resp.StatusCode, 400)
		require.True(c.t, resp.Close, "response %d keeps the connection open", resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// requireClosed checks that the connection ends without another byte.
func (c *testClient) requireClosed() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	require.Empty(c.t, string(rest))
	if err != nil {
		require.False(c.t, isTimeout(err), "the connection is still open")
	}
}

// readEvent reads one event of a stream.
func readEvent(t testing.TB, resp *http.Response) string {
	t.Helper()
	var event []byte
	next := make([]byte, 1)
	for !strings.HasSuffix(string(event), "\n\n") {
		_, err := io.ReadFull(resp.Body, next)
		require.NoError(t, err)
		event = append(event, next[0])
	}
	return string(event)
}

// requireRefused checks that a response is a refusal, which promises that the request was not executed.
func requireRefused(t testing.TB, resp *http.Response) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err, "Retry-After")
	require.Greater(t, seconds, 0.0)
	require.Less(t, seconds, 5.0)
}
