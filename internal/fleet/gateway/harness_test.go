package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// testTimeout bounds every wait of the tests; it is reached only where something is broken.
const testTimeout = 20 * time.Second

// The routes of the tests by their prefixes. All have up to three attempts but /one/.
const testConfig = `{"revision":%d,"routes":[
 {"name":"safe","hostname":"h.example","path-prefix":"/safe/","route-kind":"safe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3},
 {"name":"once","hostname":"h.example","path-prefix":"/once/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3},
 {"name":"one","hostname":"h.example","path-prefix":"/one/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":1},
 {"name":"stream","hostname":"h.example","path-prefix":"/stream/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3,"gap_aim_ms":5000},
 {"name":"resume","hostname":"h.example","path-prefix":"/resume/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3,"resumable":true,"gap_aim_ms":5000}%s],
 "services":[{"name":"s","health-path":"/health"},{"name":"t","health-path":"/health"}],
 "limits":{"header-bytes":16384,"body-bytes":65536,"header-ms":3000,"idle-ms":15000}}`

func testDocument(t testing.TB, revision int, more string) *config.Document {
	document, err := config.Parse(fmt.Appendf(nil, testConfig, revision, more))
	require.NoError(t, err)
	return document
}

// upstreamCall is one request as a model server got it.
type upstreamCall struct {
	server       *testServer
	conn         net.Conn
	connSequence int // on its connection, from 0
	requestLine  string
	rawHead      string // the head, byte for byte
	header       http.Header
	body         string
}

func (c *upstreamCall) attemptID() string { return c.header.Get(headerAttemptID) }

// write writes bytes as they are.
func (c *upstreamCall) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(c.conn, format, args...)
	return err == nil
}

// respond writes a whole answer that carries the request's id.
func (c *upstreamCall) respond(status int, header, body string) bool {
	return c.write("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, headerAttemptID, c.attemptID(), len(body), header, body)
}

const sealField = headerServerSeal + ": seal-1\r\n"

// respondSuccess answers with success, and the body that came.
func (c *upstreamCall) respondSuccess() bool { return c.respond(200, sealField, "served "+c.body) }

// startStream begins a stream.
func (c *upstreamCall) startStream(seal string) bool {
	return c.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttemptID, c.attemptID(), headerServerSeal, seal)
}

// writeChunk sends one chunk.
func (c *upstreamCall) writeChunk(s string) bool { return c.write("%x\r\n%s\r\n", len(s), s) }

// writeEvents sends events, each in a chunk of its own, and ended the end of the stream.
func (c *upstreamCall) writeEvents(from, to int) bool {
	ok := true
	for i := from; i <= to; i++ {
		ok = ok && c.writeChunk(eventText(i))
	}
	return ok
}

func (c *upstreamCall) endStream() bool { return c.write("0\r\n\r\n") }

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

func eventTexts(from, to int) string {
	var out strings.Builder
	for i := from; i <= to; i++ {
		out.WriteString(eventText(i))
	}
	return out.String()
}

// resetOnClose has a connection end with RST.
func (c *upstreamCall) resetOnClose() bool {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// requireClosed waits until the other side has closed the connection.
func (c *upstreamCall) requireClosed(t testing.TB) {
	_ = c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := c.conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.False(t, isTimeout(err), "the connection is still open")
}

// pause lets time pass in which the other side has nothing to say; false: it closed the connection.
func (c *upstreamCall) pause(d time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	defer c.conn.SetReadDeadline(time.Time{})
	_, err := c.conn.Read(make([]byte, 1))
	return isTimeout(err)
}

// testServer is a model server that does what a script says, on real sockets.
type testServer struct {
	instance         *registry.Instance
	listener         net.Listener
	connCount        atomic.Int64
	requestCount     atomic.Int64
	healthCheckCount atomic.Int64
}

// testHarness is a door, its servers and what they are to do.
type testHarness struct {
	t       testing.TB
	gateway *Gateway
	addr    string
	// script handles the n-th request that reached any server, from 0; false closes its connection.
	script      func(a *upstreamCall, n int) bool
	calls       chan *upstreamCall
	callCount   atomic.Int64
	servers     []*testServer
	listVersion uint64
	revision    int
	stop        context.CancelFunc
	wg          sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

type option func(*settings.Settings)

// newHarness starts a door with so many servers of service s.
func newHarness(t testing.TB, servers int, script func(call *upstreamCall, n int) bool, opts ...option) *testHarness {
	harness := newUnconfiguredHarness(t, servers, script, opts...)
	harness.update(harness.document(""))
	return harness
}

// newUnconfiguredHarness starts a door that knows nothing yet.
func newUnconfiguredHarness(t testing.TB, servers int, script func(call *upstreamCall, n int) bool, opts ...option) *testHarness {
	nodeSettings := &settings.Settings{Name: "a", Zone: "z", IP: "127.0.0.1"}
	nodeSettings.Limits.MemoryMB, nodeSettings.Limits.FDs = 256, 1024
	nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetryWindowS, nodeSettings.Bounds.RetrySlack = 1000, 10, 1000
	for _, o := range opts {
		o(nodeSettings)
	}
	harness := &testHarness{t: t, script: script, calls: make(chan *upstreamCall, 4096), gateway: New(nodeSettings, 1), conns: map[net.Conn]bool{}}
	for range servers {
		harness.startServer("s")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	harness.addr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	harness.stop = cancel
	harness.wg.Go(func() { harness.gateway.Serve(listener) })
	harness.wg.Go(func() { harness.gateway.Run(ctx) })
	t.Cleanup(harness.close)
	return harness
}

func (h *testHarness) close() {
	h.mu.Lock()
	h.closed = true
	for _, server := range h.servers {
		server.listener.Close()
	}
	for conn := range h.conns {
		conn.Close()
	}
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.gateway.Shutdown(ctx, 0)
	h.stop()
	h.wg.Wait()
}

// track keeps a connection to be closed with the world.
func (h *testHarness) track(conn net.Conn) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		conn.Close()
	}
	h.conns[conn] = true
	return conn
}

// startServer starts one more server.
func (h *testHarness) startServer(service string) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h.t, err)
	server := &testServer{listener: listener}
	h.addServer(server, service)
	h.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.connCount.Add(1)
			h.track(conn)
			h.wg.Go(func() { h.serveConn(server, conn) })
		}
	})
	return server
}

// addServer names a server that listens.
func (h *testHarness) addServer(server *testServer, service string) {
	server.instance = &registry.Instance{ID: fmt.Sprintf("i-%d", len(h.servers)), Service: service, Addr: server.listener.Addr().String(), Zone: "z", Slots: 64, Seq: 1}
	h.servers = append(h.servers, server)
}

// serveConn reads requests off a connection. It knows no more of HTTP than the protocol needs, so
// that nothing a door sends is set right on the way.
func (h *testHarness) serveConn(server *testServer, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for nth := 0; ; nth++ {
		var raw bytes.Buffer
		for !bytes.HasSuffix(raw.Bytes(), []byte("\r\n\r\n")) {
			b, err := reader.ReadByte()
			if err != nil {
				return
			}
			raw.WriteByte(b)
		}
		call := &upstreamCall{server: server, conn: conn, connSequence: nth, rawHead: raw.String()}
		line, fields, _ := strings.Cut(call.rawHead, "\r\n")
		call.requestLine = line
		header, err := textproto.NewReader(bufio.NewReader(strings.NewReader(fields))).ReadMIMEHeader()
		if err != nil {
			h.t.Errorf("a server can't read the head %q: %v", call.rawHead, err)
			return
		}
		call.header = http.Header(header)
		if len(header["Transfer-Encoding"]) > 0 {
			h.t.Errorf("a chunked body to a server: %q", call.rawHead)
			return
		}
		n, _ := strconv.Atoi(header.Get("Content-Length"))
		body := make([]byte, n)
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		call.body = string(body)
		if line == "GET /health HTTP/1.1" {
			server.healthCheckCount.Add(1)
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

// nextCall is the next request that reached a server.
func (h *testHarness) nextCall() *upstreamCall {
	select {
	case call := <-h.calls:
		return call
	case <-time.After(testTimeout):
		require.FailNow(h.t, "no request reached a server")
		return nil
	}
}

// requireNoCall checks that nothing more has reached a server.
func (h *testHarness) requireNoCall() {
	select {
	case call := <-h.calls:
		require.FailNow(h.t, "a request reached a server", "%s", call.rawHead)
	default:
	}
}

func (h *testHarness) document(more string) *config.Document {
	h.revision++
	return testDocument(h.t, h.revision, more)
}

// serverList is the list with all servers but some.
func (h *testHarness) serverList(excluded ...*testServer) *registry.List {
	h.listVersion++
	l := &registry.List{Version: h.listVersion, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
next:
	for _, server := range h.servers {
		for _, x := range excluded {
			if server == x {
				continue next
			}
		}
		l.ByID[server.instance.ID] = server.instance
		l.ByService[server.instance.Service] = append(l.ByService[server.instance.Service], server.instance)
	}
	return l
}

func (h *testHarness) update(document *config.Document, excluded ...*testServer) {
	h.gateway.Update(&relay.Snapshot{ConfigSeq: h.listVersion, Config: document, Servers: h.serverList(excluded...), Agents: 1, Synced: true})
}

// testClient is one connection of a client.
type testClient struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func (h *testHarness) dial() *testClient {
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.track(conn)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{Conn: conn, t: h.t, reader: bufio.NewReader(conn)}
}

var attemptCounter atomic.Int64

// requestHead is a request's head with a new id; fields end with CRLF.
func requestHead(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: a%d\r\n%s\r\n", method, path, headerAttemptID, attemptCounter.Add(1), fields)
}

// postRequest is a whole request with a body.
func postRequest(path, fields, body string) string {
	return requestHead("POST", path, fmt.Sprintf("Content-Length: %d\r\n%s", len(body), fields)) + body
}

func (c *testClient) write(s string) {
	_, err := c.Write([]byte(s))
	require.NoError(c.t, err)
}

// readHead reads the head of the next answer.
func (c *testClient) readHead() *http.Response {
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	return resp
}

// tryReadResponse reads the next answer. err tells of a body that is not whole.
func (c *testClient) tryReadResponse() (resp *http.Response, body string, err error) {
	resp = c.readHead()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// readResponse reads the next answer, which has to be whole.
func (c *testClient) readResponse() (*http.Response, string) {
	resp, body, err := c.tryReadResponse()
	require.NoError(c.t, err)
	return resp, body
}

// requireClosed checks that the connection ends without another byte.
func (c *testClient) requireClosed() {
	b, err := io.ReadAll(c.reader)
	require.Empty(c.t, string(b))
	if err != nil {
		require.False(c.t, isTimeout(err), "the connection is still open")
	}
}

// roundTrip sends one request on a connection of its own and returns its whole answer.
func (h *testHarness) roundTrip(request string) (*http.Response, string) {
	client := h.dial()
	defer client.Close()
	client.write(request)
	return client.readResponse()
}

// requireRefused checks that the answer promises that the request has not run.
func requireRefused(t testing.TB, resp *http.Response) {
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err, "Retry-After")
	require.Greater(t, after, 0.0)
	require.Less(t, after, 5.0)
}
