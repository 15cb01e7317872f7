package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// testServer is a model server on a real socket that follows the script of its harness.
type testServer struct {
	instance     *registry.Instance
	listener     net.Listener
	connCount    atomic.Int64
	requestCount atomic.Int64 // health checks excluded
}

// startServer starts one more server.
func (h *testHarness) startServer(service string) *testServer {
	server := &testServer{listener: listenLoopback(h.t)}
	h.addServer(server, service)
	h.accept(server, h.serveConn)
	return server
}

// addServer adds a listening server to the harness.
func (h *testHarness) addServer(server *testServer, service string) {
	server.instance = &registry.Instance{
		ID:      fmt.Sprintf("i-%d", len(h.servers)),
		Service: service,
		Addr:    server.listener.Addr().String(),
		Zone:    "z",
		Slots:   64,
		Seq:     1,
	}
	h.servers = append(h.servers, server)
}

// accept serves each connection to a server in a goroutine, until its listener is closed.
func (h *testHarness) accept(server *testServer, serve func(*testServer, net.Conn)) {
	h.wg.Go(func() {
		for {
			conn, err := server.listener.Accept()
			if err != nil {
				return
			}
			server.connCount.Add(1)
			h.track(conn)
			h.wg.Go(func() {
				defer conn.Close()
				serve(server, conn)
			})
		}
	})
}

// serveConn serves the requests of a connection.
func (h *testHarness) serveConn(server *testServer, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for sequence := 0; ; sequence++ {
		call := h.readCall(reader)
		if call == nil {
			return
		}
		call.server, call.conn, call.connSequence = server, conn, sequence
		if call.requestLine == "GET /health HTTP/1.1" {
			if !call.write("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstanceID, server.instance.ID) {
				return
			}
			continue
		}
		server.requestCount.Add(1)
		h.calls <- call
		if !h.script(call, int(h.callCount.Add(1))-1) {
			return
		}
	}
}

// readCall reads one request, and returns nil at the end of the connection. It parses no more of HTTP than the
// protocol needs, so that it does not hide faults in what the gateway sends.
func (h *testHarness) readCall(reader *bufio.Reader) *upstreamCall {
	var head bytes.Buffer
	for !bytes.HasSuffix(head.Bytes(), []byte("\r\n\r\n")) {
		b, err := reader.ReadByte()
		if err != nil {
			return nil
		}
		head.WriteByte(b)
	}
	call := &upstreamCall{rawHead: head.String()}
	var fields string
	call.requestLine, fields, _ = strings.Cut(call.rawHead, "\r\n")
	header, err := textproto.NewReader(bufio.NewReader(strings.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		h.t.Errorf("a server can't read the head %q: %v", call.rawHead, err)
		return nil
	}
	call.header = http.Header(header)
	if len(header["Transfer-Encoding"]) > 0 {
		h.t.Errorf("a chunked body to a server: %q", call.rawHead)
		return nil
	}
	length, _ := strconv.Atoi(header.Get("Content-Length"))
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil
	}
	call.body = string(body)
	return call
}

// upstreamCall is one request as a model server received it, with the connection for the response. Its methods
// return false if a script has to close the connection.
type upstreamCall struct {
	server       *testServer
	conn         net.Conn
	connSequence int // number of the request on its connection, from 0
	requestLine  string
	rawHead      string // byte for byte
	header       http.Header
	body         string
}

// sealField is the header field that a 2xx response must have.
const sealField = headerServerSeal + ": seal-1\r\n"

func (c *upstreamCall) attemptID() string { return c.header.Get(headerAttemptID) }

// timeout returns the time that the server was given.
func (c *upstreamCall) timeout(t testing.TB) time.Duration {
	t.Helper()
	require.Len(t, c.header[headerDeadline], 1)
	milliseconds, err := strconv.Atoi(c.header.Get(headerDeadline))
	require.NoError(t, err)
	return time.Duration(milliseconds) * time.Millisecond
}

// write writes bytes as they are.
func (c *upstreamCall) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(c.conn, format, args...)
	return err == nil
}

// respond writes a complete response to the request. The fields of its header end with CRLF.
func (c *upstreamCall) respond(status int, header, body string) bool {
	return c.write("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, headerAttemptID, c.attemptID(), len(body), header, body)
}

// respondSuccess responds with a success that contains the body of the request.
func (c *upstreamCall) respondSuccess() bool { return c.respond(200, sealField, "served "+c.body) }

// alwaysSucceed is a script with which servers respond to each request with a success.
func alwaysSucceed(call *upstreamCall, _ int) bool { return call.respondSuccess() }

// respondNotRun responds with 503 and the statement that the request was not executed.
func (c *upstreamCall) respondNotRun() bool { return c.respond(503, headerNotRun+": 1\r\n", "full") }

// writePartialResponse writes a response whose body is incomplete.
func (c *upstreamCall) writePartialResponse() bool {
	return c.write("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 10\r\n\r\nbody", headerAttemptID, c.attemptID(), sealField)
}

// startStream writes the head of a chunked stream.
func (c *upstreamCall) startStream(seal string) bool {
	return c.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttemptID, c.attemptID(), headerServerSeal, seal)
}

// writeChunk writes one chunk.
func (c *upstreamCall) writeChunk(data string) bool { return c.write("%x\r\n%s\r\n", len(data), data) }

// writeEvents writes the events with the given IDs, each in a chunk of its own.
func (c *upstreamCall) writeEvents(from, to int) bool {
	ok := true
	for id := from; id <= to; id++ {
		ok = ok && c.writeChunk(eventText(id))
	}
	return ok
}

// endStream writes the last chunk.
func (c *upstreamCall) endStream() bool { return c.write("0\r\n\r\n") }

// resumeID returns the ID of the event after which a stream has to continue, 0 if it starts from the beginning.
func (c *upstreamCall) resumeID() int {
	id, _ := strconv.Atoi(c.header.Get(headerLastEventID))
	return id
}

// resetOnClose has the connection end with a reset once it is closed.
func (c *upstreamCall) resetOnClose() bool {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// requireClosed waits until the gateway has closed the connection.
func (c *upstreamCall) requireClosed(t testing.TB) {
	t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := c.conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.False(t, isTimeout(err), "the connection is still open")
}

// pause waits for the given time. It returns false if the gateway closes the connection or sends more meanwhile.
func (c *upstreamCall) pause(duration time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(duration))
	defer c.conn.SetReadDeadline(time.Time{})
	_, err := c.conn.Read(make([]byte, 1))
	return isTimeout(err)
}

// eventText returns one event of a stream.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// eventTexts returns consecutive events, including the last one.
func eventTexts(from, to int) string {
	var texts strings.Builder
	for id := from; id <= to; id++ {
		texts.WriteString(eventText(id))
	}
	return texts.String()
}
