package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// longBodyBytes is the size of a body that does not fit into the buffers of a connection.
const longBodyBytes = 8 << 20

// longBodyDocument returns a configuration like document that allows long bodies.
func (h *testHarness) longBodyDocument(more string) *config.Document {
	h.t.Helper()
	h.revision++
	text := strings.Replace(testConfig, `"body-bytes":65536`, fmt.Sprintf(`"body-bytes":%d`, longBodyBytes), 1)
	document, err := config.Parse(fmt.Appendf(nil, text, h.revision, more))
	require.NoError(h.t, err)
	return document
}

// pendingUpload is a request of which a model server has read the head and not yet the body.
type pendingUpload struct {
	net.Conn
	reader   *bufio.Reader
	header   http.Header
	length   int // of the body
	sequence int // number of the request, counted over all servers from 0
}

// write writes bytes as they are. Tests check what the gateway makes of them, so errors are ignored.
func (u *pendingUpload) write(format string, args ...any) {
	_, _ = fmt.Fprintf(u.Conn, format, args...)
}

// respond writes a complete response to the request.
func (u *pendingUpload) respond(status int, fields, body string) {
	u.write("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, headerAttemptID, u.header.Get(headerAttemptID), len(body), fields, body)
}

// read reads the given number of bytes of the body.
func (u *pendingUpload) read(length int) (string, error) {
	body := make([]byte, length)
	n, err := io.ReadFull(u.reader, body)
	return string(body[:n]), err
}

// reset ends the connection with a reset.
func (u *pendingUpload) reset() {
	_ = u.Conn.(*net.TCPConn).SetLinger(0)
	u.Close()
}

// newUploadHarness starts a gateway with servers that handle each request once its head has been read.
func newUploadHarness(t *testing.T, servers int, handle func(upload *pendingUpload)) *testHarness {
	harness := newUnconfiguredHarness(t, 0, nil)
	for range servers {
		server := &testServer{listener: listenLoopback(t)}
		harness.addServer(server, "s")
		harness.accept(server, func(server *testServer, conn net.Conn) { harness.serveUploads(server, conn, handle) })
	}
	harness.update(harness.longBodyDocument(""))
	return harness
}

// serveUploads handles the requests of a connection.
func (h *testHarness) serveUploads(server *testServer, conn net.Conn, handle func(upload *pendingUpload)) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstanceID, server.instance.ID)
			continue
		}
		server.requestCount.Add(1)
		sequence := int(h.callCount.Add(1)) - 1
		handle(&pendingUpload{Conn: conn, reader: reader, header: req.Header, length: int(req.ContentLength), sequence: sequence})
	}
}

// TestTruncatedUploadMayHaveExecuted has a server end the connection after the head and a part of the body. As
// the server may have executed the request, only an idempotent request may be sent again.
func TestTruncatedUploadMayHaveExecuted(t *testing.T) {
	for name, end := range map[string]func(upload *pendingUpload){
		"reset":  func(upload *pendingUpload) { upload.reset() },
		"closed": func(upload *pendingUpload) { upload.Close() },
	} {
		for _, readBytes := range []int{0, 1, 100 << 10, longBodyBytes - 1} {
			t.Run(fmt.Sprintf("%s after %d", name, readBytes), func(t *testing.T) {
				handle := func(upload *pendingUpload) {
					if upload.sequence == 0 {
						_, _ = upload.read(readBytes)
						end(upload)
						return
					}
					_, _ = upload.read(upload.length)
					upload.respond(200, sealField, "served")
				}
				body := strings.Repeat("x", longBodyBytes)
				harness := newUploadHarness(t, 2, handle)
				resp, _ := harness.roundTrip(postRequest("/once/x", "", body))
				require.Equal(t, 502, resp.StatusCode)
				require.EqualValues(t, 1, harness.requestCount(), "it must not be sent twice")

				harness = newUploadHarness(t, 2, handle)
				resp, got := harness.roundTrip(postRequest("/safe/x", "", body))
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, "served", got)
				require.EqualValues(t, 2, harness.requestCount())
			})
		}
	}
}

// TestUploadRejectedByServerIsRetried has a server respond before it has read the body that it has not executed
// the request, and checks that another server gets the complete request.
func TestUploadRejectedByServerIsRetried(t *testing.T) {
	for name, rejectUpload := range map[string]func(upload *pendingUpload){
		"full":             func(upload *pendingUpload) { upload.respond(503, headerNotRun+": 1\r\n", "full") },
		"another instance": func(upload *pendingUpload) { upload.respond(421, "", "") },
	} {
		for _, readBytes := range []int{0, 100 << 10} {
			t.Run(fmt.Sprintf("%s after %d", name, readBytes), func(t *testing.T) {
				harness := newUploadHarness(t, 2, func(upload *pendingUpload) {
					_, _ = upload.read(readBytes)
					if upload.sequence == 0 {
						rejectUpload(upload)
						_, _ = io.Copy(io.Discard, upload.reader) // until the gateway closes the connection
						return
					}
					_, _ = upload.read(upload.length - readBytes)
					upload.respond(200, sealField, "served")
				})
				resp, got := harness.roundTrip(postRequest("/once/x", "", strings.Repeat("x", longBodyBytes)))
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, "served", got)
			})
		}
	}
}

// TestResponseBeforeUploadEnds has a server respond before it has read the body. It checks that neither the
// response nor another request waits for the upload, and that the server, if it reads on later, reads nothing
// but the body.
func TestResponseBeforeUploadEnds(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), longBodyBytes/16)
	for _, size := range []int{100 << 10, 1 << 20, longBodyBytes} {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			t.Run(fmt.Sprint(path, size), func(t *testing.T) {
				responseRead := make(chan bool)
				rest := make(chan string, 1)
				harness := newUploadHarness(t, 1, func(upload *pendingUpload) {
					if upload.length < size {
						_, _ = upload.read(upload.length)
						upload.respond(200, sealField, "small")
						return
					}
					upload.respond(200, sealField, eventTexts(1, 2))
					select {
					case <-responseRead:
					case <-t.Context().Done():
					}
					all, err := upload.read(upload.length)
					if err != nil {
						upload.Close()
					}
					rest <- all
				})
				start := time.Now()
				resp, responseBody := harness.roundTrip(postRequest(path, "", string(body[:size])))
				require.Less(t, time.Since(start), tcpUserTimeout, "the response waited for the upload")
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, eventTexts(1, 2), responseBody)
				if size >= 1<<20 { // more than the server's host buffers
					_, responseBody = harness.roundTrip(postRequest("/once/x", "", "q"))
					require.Equal(t, "small", responseBody)
				}
				close(responseRead)
				received := <-rest
				require.True(t, strings.HasPrefix(string(body[:size]), received), "bytes that are not of the body")
				_, responseBody = harness.roundTrip(postRequest("/once/x", "", "q"))
				require.Equal(t, "small", responseBody)
			})
		}
	}
}

// TestSlowUploadIsNoStall checks that a server that is slow to read the body is not taken for stalled.
func TestSlowUploadIsNoStall(t *testing.T) {
	harness := newUploadHarness(t, 2, func(upload *pendingUpload) {
		select {
		case <-time.After(minStallTimeout + 400*time.Millisecond): // longer than a stall
		case <-t.Context().Done():
		}
		_, _ = upload.read(upload.length)
		upload.respond(200, sealField, eventTexts(1, 1))
	})
	harness.update(harness.longBodyDocument(quickRoutes))
	resp, body := harness.roundTrip(postRequest("/quick/x", "", strings.Repeat("x", longBodyBytes)))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, eventTexts(1, 1), body)
	require.EqualValues(t, 1, harness.requestCount())
}

// TestDelivered checks that a request with a long body counts as delivered once the server's host has received
// it, not before.
func TestDelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for _, size := range []int{0, inlineBodyBytes, inlineBodyBytes + 1, longBodyBytes} {
		netConn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		peer, err := listener.Accept()
		require.NoError(t, err)
		conn := newConn(netConn, "i-0")
		require.NoError(t, conn.send([]byte("head"), make([]byte, size)))
		if size == longBodyBytes {
			require.False(t, conn.delivered())
		}
		_, err = io.CopyN(io.Discard, peer, int64(len("head")+size))
		require.NoError(t, err)
		conn.upload.wait()
		require.Eventually(t, conn.delivered, testTimeout, time.Millisecond)
		netConn.Close()
		peer.Close()
	}
}

// TestTruncatedUploadIsNotDelivered checks uploads whose connection breaks in the head and in the body.
func TestTruncatedUploadIsNotDelivered(t *testing.T) {
	conn := newConn(&fakeConn{exchange: &exchange{requestBytesRead: 10, writeFails: true}}, "i-0")
	require.NoError(t, conn.send([]byte("head"), make([]byte, 10)), "the head was written")
	require.False(t, conn.delivered())
	conn = newConn(&fakeConn{exchange: &exchange{requestBytesRead: 4 + inlineBodyBytes, writeFails: true}}, "i-0")
	require.NoError(t, conn.send([]byte("head"), make([]byte, longBodyBytes)))
	conn.upload.wait()
	require.False(t, conn.delivered())
	conn = newConn(&fakeConn{exchange: &exchange{requestBytesRead: 3, writeFails: true}}, "i-0")
	require.Error(t, conn.send([]byte("head"), nil), "the head was not written")
}
