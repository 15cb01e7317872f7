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

// patience bounds every wait of the tests; it is reached only where something is broken.
const patience = 20 * time.Second

// The routes of the tests by their prefixes. All have up to three attempts but /one/.
const testConf = `{"revision":%d,"routes":[
 {"name":"safe","hostname":"h.example","path-prefix":"/safe/","route-kind":"safe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3},
 {"name":"once","hostname":"h.example","path-prefix":"/once/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3},
 {"name":"one","hostname":"h.example","path-prefix":"/one/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":1},
 {"name":"stream","hostname":"h.example","path-prefix":"/stream/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3,"gap_aim_ms":5000},
 {"name":"resume","hostname":"h.example","path-prefix":"/resume/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3,"resumable":true,"gap_aim_ms":5000}%s],
 "services":[{"name":"s","health-path":"/health"},{"name":"t","health-path":"/health"}],
 "limits":{"header-bytes":16384,"body-bytes":65536,"header-ms":3000,"idle-ms":15000}}`

func testDoc(t testing.TB, revision int, more string) *config.Doc {
	doc, err := config.Parse(fmt.Appendf(nil, testConf, revision, more))
	require.NoError(t, err)
	return doc
}

// arrival is one request as a model server got it.
type arrival struct {
	server *server
	conn   net.Conn
	nth    int // on its connection, from 0
	line   string
	raw    string // the head, byte for byte
	header http.Header
	body   string
}

func (a *arrival) id() string { return a.header.Get(hID) }

// send writes bytes as they are.
func (a *arrival) send(format string, args ...any) bool {
	_, err := fmt.Fprintf(a.conn, format, args...)
	return err == nil
}

// answer writes a whole answer that carries the request's id.
func (a *arrival) answer(status int, header, body string) bool {
	return a.send("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, hID, a.id(), len(body), header, body)
}

const sealed = hSeal + ": seal-1\r\n"

// serve answers with success, and the body that came.
func (a *arrival) serve() bool { return a.answer(200, sealed, "served "+a.body) }

// stream begins a stream.
func (a *arrival) stream(seal string) bool {
	return a.send("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		hID, a.id(), hSeal, seal)
}

// chunk sends one chunk.
func (a *arrival) chunk(s string) bool { return a.send("%x\r\n%s\r\n", len(s), s) }

// events sends events, each in a chunk of its own, and ended the end of the stream.
func (a *arrival) events(from, to int) bool {
	ok := true
	for i := from; i <= to; i++ {
		ok = ok && a.chunk(piece(i))
	}
	return ok
}

func (a *arrival) ended() bool { return a.send("0\r\n\r\n") }

func piece(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

func events(from, to int) string {
	var out strings.Builder
	for i := from; i <= to; i++ {
		out.WriteString(piece(i))
	}
	return out.String()
}

// reset has a connection end with RST.
func (a *arrival) reset() bool {
	_ = a.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// gone waits until the other side has closed the connection.
func (a *arrival) gone(t testing.TB) {
	_ = a.conn.SetReadDeadline(time.Now().Add(patience))
	_, err := a.conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.False(t, timedOut(err), "the connection is still open")
}

// await lets time pass in which the other side has nothing to say; false: it closed the connection.
func (a *arrival) await(d time.Duration) bool {
	_ = a.conn.SetReadDeadline(time.Now().Add(d))
	defer a.conn.SetReadDeadline(time.Time{})
	_, err := a.conn.Read(make([]byte, 1))
	return timedOut(err)
}

// server is a model server that does what a script says, on real sockets.
type server struct {
	in      *registry.Instance
	ln      net.Listener
	conns   atomic.Int64
	arrived atomic.Int64
	health  atomic.Int64
}

// world is a door, its servers and what they are to do.
type world struct {
	t    testing.TB
	door *Door
	addr string
	// script handles the n-th request that reached any server, from 0; false closes its connection.
	script   func(a *arrival, n int) bool
	arrivals chan *arrival
	n        atomic.Int64
	servers  []*server
	seq      uint64
	revision int
	end      context.CancelFunc
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	over  bool
}

type option func(*settings.Settings)

// newWorld starts a door with so many servers of service s.
func newWorld(t testing.TB, servers int, script func(a *arrival, n int) bool, opts ...option) *world {
	w := prepare(t, servers, script, opts...)
	w.update(w.doc(""))
	return w
}

// prepare starts a door that knows nothing yet.
func prepare(t testing.TB, servers int, script func(a *arrival, n int) bool, opts ...option) *world {
	set := &settings.Settings{Name: "a", Zone: "z", IP: "127.0.0.1"}
	set.Limits.MemoryMB, set.Limits.FDs = 256, 1024
	set.Bounds.RetryRatio, set.Bounds.RetryWindowS, set.Bounds.RetrySlack = 1000, 10, 1000
	for _, o := range opts {
		o(set)
	}
	w := &world{t: t, script: script, arrivals: make(chan *arrival, 4096), door: New(set, 1), conns: map[net.Conn]bool{}}
	for range servers {
		w.listen("s")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	w.end = cancel
	w.wg.Go(func() { w.door.Serve(ln) })
	w.wg.Go(func() { w.door.Run(ctx) })
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	w.mu.Lock()
	w.over = true
	for _, s := range w.servers {
		s.ln.Close()
	}
	for c := range w.conns {
		c.Close()
	}
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.door.Shutdown(ctx, 0)
	w.end()
	w.wg.Wait()
}

// hold keeps a connection to be closed with the world.
func (w *world) hold(c net.Conn) net.Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		c.Close()
	}
	w.conns[c] = true
	return c
}

// listen starts one more server.
func (w *world) listen(service string) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	s := &server{ln: ln}
	w.add(s, service)
	w.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			w.hold(c)
			w.wg.Go(func() { w.attend(s, c) })
		}
	})
	return s
}

// add names a server that listens.
func (w *world) add(s *server, service string) {
	s.in = &registry.Instance{ID: fmt.Sprintf("i-%d", len(w.servers)), Service: service, Addr: s.ln.Addr().String(), Zone: "z", Slots: 64, Seq: 1}
	w.servers = append(w.servers, s)
}

// attend reads requests off a connection. It knows no more of HTTP than the protocol needs, so
// that nothing a door sends is set right on the way.
func (w *world) attend(s *server, c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for nth := 0; ; nth++ {
		var raw bytes.Buffer
		for !bytes.HasSuffix(raw.Bytes(), []byte("\r\n\r\n")) {
			b, err := br.ReadByte()
			if err != nil {
				return
			}
			raw.WriteByte(b)
		}
		a := &arrival{server: s, conn: c, nth: nth, raw: raw.String()}
		line, fields, _ := strings.Cut(a.raw, "\r\n")
		a.line = line
		h, err := textproto.NewReader(bufio.NewReader(strings.NewReader(fields))).ReadMIMEHeader()
		if err != nil {
			w.t.Errorf("a server can't read the head %q: %v", a.raw, err)
			return
		}
		a.header = http.Header(h)
		if len(h["Transfer-Encoding"]) > 0 {
			w.t.Errorf("a chunked body to a server: %q", a.raw)
			return
		}
		n, _ := strconv.Atoi(h.Get("Content-Length"))
		body := make([]byte, n)
		if _, err := io.ReadFull(br, body); err != nil {
			return
		}
		a.body = string(body)
		if line == "GET /health HTTP/1.1" {
			s.health.Add(1)
			if !a.send("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", hInstance, s.in.ID) {
				return
			}
			continue
		}
		s.arrived.Add(1)
		w.arrivals <- a
		if !w.script(a, int(w.n.Add(1))-1) {
			return
		}
	}
}

// next is the next request that reached a server.
func (w *world) next() *arrival {
	select {
	case a := <-w.arrivals:
		return a
	case <-time.After(patience):
		require.FailNow(w.t, "no request reached a server")
		return nil
	}
}

// none checks that nothing more has reached a server.
func (w *world) none() {
	select {
	case a := <-w.arrivals:
		require.FailNow(w.t, "a request reached a server", "%s", a.raw)
	default:
	}
}

func (w *world) doc(more string) *config.Doc {
	w.revision++
	return testDoc(w.t, w.revision, more)
}

// list is the list with all servers but some.
func (w *world) list(without ...*server) *registry.List {
	w.seq++
	l := &registry.List{Version: w.seq, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
next:
	for _, s := range w.servers {
		for _, x := range without {
			if s == x {
				continue next
			}
		}
		l.ByID[s.in.ID] = s.in
		l.ByService[s.in.Service] = append(l.ByService[s.in.Service], s.in)
	}
	return l
}

func (w *world) update(doc *config.Doc, without ...*server) {
	w.door.Update(&relay.Snapshot{ConfigSeq: w.seq, Config: doc, Servers: w.list(without...), Agents: 1, Synced: true})
}

// client is one connection of a client.
type client struct {
	net.Conn
	t  testing.TB
	br *bufio.Reader
}

func (w *world) dial() *client {
	c, err := net.Dial("tcp", w.addr)
	require.NoError(w.t, err)
	w.hold(c)
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{Conn: c, t: w.t, br: bufio.NewReader(c)}
}

var attempts atomic.Int64

// head is a request's head with a new id; fields end with CRLF.
func head(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: a%d\r\n%s\r\n", method, path, hID, attempts.Add(1), fields)
}

// post is a whole request with a body.
func post(path, fields, body string) string {
	return head("POST", path, fmt.Sprintf("Content-Length: %d\r\n%s", len(body), fields)) + body
}

func (c *client) send(s string) {
	_, err := c.Write([]byte(s))
	require.NoError(c.t, err)
}

// head reads the head of the next answer.
func (c *client) head() *http.Response {
	resp, err := http.ReadResponse(c.br, nil)
	require.NoError(c.t, err)
	return resp
}

// answer reads the next answer. err tells of a body that is not whole.
func (c *client) answer() (resp *http.Response, body string, err error) {
	resp = c.head()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// whole reads the next answer, which has to be whole.
func (c *client) whole() (*http.Response, string) {
	resp, body, err := c.answer()
	require.NoError(c.t, err)
	return resp, body
}

// closed checks that the connection ends without another byte.
func (c *client) closed() {
	b, err := io.ReadAll(c.br)
	require.Empty(c.t, string(b))
	if err != nil {
		require.False(c.t, timedOut(err), "the connection is still open")
	}
}

// ask sends one request on a connection of its own and returns its whole answer.
func (w *world) ask(request string) (*http.Response, string) {
	c := w.dial()
	defer c.Close()
	c.send(request)
	return c.whole()
}

// refused checks that the answer promises that the request has not run.
func refused(t testing.TB, resp *http.Response) {
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err, "Retry-After")
	require.Greater(t, after, 0.0)
	require.Less(t, after, 5.0)
}
