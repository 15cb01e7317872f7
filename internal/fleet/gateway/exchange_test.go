package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// exchangeID is the id of the request that is played.
const exchangeID = "a1"

// exchangeBody is its body.
const exchangeBody = "qu"

// serverAnswer is an answer of a server, and what the server made of the request.
type serverAnswer struct {
	text   string
	status int
	body   string
	ran    bool
	ends   bool // with the connection
}

// lengthAnswer is an answer with a length.
func lengthAnswer(status int, ran bool, fields, body string) serverAnswer {
	return serverAnswer{status: status, body: body, ran: ran,
		text: fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, hID, exchangeID, fields, len(body), body)}
}

// openAnswer is a success whose body has another framing.
func openAnswer(fields, framed, body string, ends bool) serverAnswer {
	return serverAnswer{status: 200, body: body, ran: true, ends: ends,
		text: fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%s%s\r\n%s", hID, exchangeID, sealed, fields, framed)}
}

// chunks frames pieces as a chunked body.
func chunks(pieces ...string) string {
	out := ""
	for _, p := range pieces {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
	}
	return out + "0\r\n\r\n"
}

var serverAnswers = map[string]serverAnswer{
	"success":        lengthAnswer(200, true, sealed, "body"),
	"chunked":        openAnswer("Transfer-Encoding: chunked\r\n", chunks("bo", "dy"), "body", false),
	"without length": openAnswer("", "body", "body", true),
	"failed":         lengthAnswer(500, true, sealed, "failed"),
	"late":           lengthAnswer(504, true, "", "late"),
	"not found":      lengthAnswer(404, true, "", "nothing"),
	"full":           lengthAnswer(503, false, hNotRun+": 1\r\n", "full"),
	"too many":       lengthAnswer(429, false, hNotRun+": 1\r\n", ""),
	"another":        lengthAnswer(421, false, "", ""),
	"503 that ran":   lengthAnswer(503, true, "", "busy"),
	"429 that ran":   lengthAnswer(429, true, "", "busy"),
	"408 that ran":   lengthAnswer(408, true, "", "busy"),
}

// fakeConn is a server's connection in memory. The server reads so many bytes of what is written,
// answers with so many bytes of its answer, and ends the connection.
type fakeConn struct {
	net.Conn // nil: what is not played is not called
	exchange *exchange
	written  bytes.Buffer
	answer   *bytes.Reader
	cut      bool // a write failed
}

// exchange is what a door does with its servers, of which the first to be written to is in trouble.
type exchange struct {
	first    serverAnswer
	others   func(request string) serverAnswer
	read     int         // bytes of the request that the first server reads
	answered int         // bytes of the answer that it sends
	end      error       // io.EOF: it closes the connection
	tells    bool        // the write fails where the server stops reading
	conns    []*fakeConn // in the order in which they were written to
}

func (c *fakeConn) isFirst() bool { return c.exchange.conns[0] == c }

// headRead tells whether the server has read the whole head: from then on it may run the request.
func (c *fakeConn) headRead() bool {
	got := c.written.Bytes()
	if c.isFirst() {
		got = got[:min(len(got), c.exchange.read)]
	}
	return bytes.Contains(got, []byte("\r\n\r\n"))
}

// ran tells whether the server has run the request.
func (c *fakeConn) ran() bool {
	if c.isFirst() {
		return c.headRead() && c.exchange.first.ran
	}
	return c.headRead() && c.exchange.others(c.written.String()).ran
}

func (c *fakeConn) Write(p []byte) (int, error) {
	x := c.exchange
	if c.written.Len() == 0 {
		x.conns = append(x.conns, c)
	}
	n := len(p)
	var err error
	if c.isFirst() && x.tells && c.written.Len()+n > x.read {
		n = max(x.read-c.written.Len(), 0)
		err = syscall.ECONNRESET
		c.cut = true
	}
	c.written.Write(p[:n])
	return n, err
}

func (c *fakeConn) Read(p []byte) (int, error) {
	x := c.exchange
	if c.answer == nil {
		text := ""
		switch {
		case !c.headRead():
		case c.isFirst():
			text = x.first.text[:x.answered]
		default:
			text = x.others(c.written.String()).text
		}
		c.answer = bytes.NewReader([]byte(text))
	}
	if c.answer.Len() > 0 {
		return c.answer.Read(p)
	}
	return 0, x.end
}

func (c *fakeConn) Close() error                     { return nil }
func (c *fakeConn) SetDeadline(time.Time) error      { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

// recorder is a client that takes what it is sent.
type recorder struct{ *httptest.ResponseRecorder }

func (recorder) SetWriteDeadline(time.Time) error { return nil }

// exchangeDoc is the routes of the tests, read once.
var exchangeDoc = sync.OnceValues(func() (*config.Doc, error) { return config.Parse(fmt.Appendf(nil, testConf, 1, "")) })

// play sends a request through a door to the servers of an exchange. aborted tells that the answer
// was broken off: the client sees that it is not whole.
func (x *exchange) play(t *testing.T, path string) (resp *httptest.ResponseRecorder, aborted bool) {
	set := &settings.Settings{Name: "a", Zone: "z", IP: "127.0.0.1"}
	set.Limits.MemoryMB, set.Limits.FDs = 256, 1024
	set.Bounds.RetryRatio, set.Bounds.RetryWindowS, set.Bounds.RetrySlack = 1000, 10, 1000
	d := New(set, 1)
	list := &registry.List{Version: 1, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for i := range 2 {
		in := &registry.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: "127.0.0.1:1", Zone: "z", Slots: 64, Seq: 1}
		list.ByID[in.ID] = in
		list.ByService["s"] = append(list.ByService["s"], in)
	}
	doc, err := exchangeDoc()
	require.NoError(t, err)
	d.Update(&relay.Snapshot{ConfigSeq: 1, Config: doc, Servers: list, Agents: 1, Synced: true})
	for id := range list.ByID {
		d.pool.open++
		d.pool.put(newConn(&fakeConn{exchange: x}, id))
	}
	req := httptest.NewRequest("POST", path, strings.NewReader(exchangeBody))
	req.Host = "h.example"
	req.Header.Set(hID, exchangeID)
	resp = httptest.NewRecorder()
	func() {
		defer func() {
			if r := recover(); r != nil {
				require.Equal(t, http.ErrAbortHandler, r)
				aborted = true
			}
		}()
		d.ServeHTTP(recorder{resp}, req)
	}()
	return resp, aborted
}

// runs is how many servers have run the request.
func (x *exchange) runs() (n int) {
	for _, c := range x.conns {
		if c.ran() {
			n++
		}
	}
	return n
}

// sentWhole tells whether the first server has sent its whole answer, and which body that has. One
// without length ends where the server closes its connection: nothing else can tell its end.
func (x *exchange) sentWhole() (whole bool, body string) {
	if !x.first.ends {
		return x.answered == len(x.first.text), x.first.body
	}
	_, body, head := strings.Cut(x.first.text[:x.answered], "\r\n\r\n")
	return head && x.end == io.EOF && !x.conns[0].cut, body
}

// check holds what a client got against what the servers did.
func (x *exchange) check(t *testing.T, path string, resp *httptest.ResponseRecorder, aborted bool) {
	told := fmt.Sprintf("%s: read %d, answered %d of %d, end %v, write fails %v: %d %q, aborted %v, %d servers, %d ran",
		path, x.read, x.answered, len(x.first.text), x.end, x.tells, resp.Code, resp.Body, aborted, len(x.conns), x.runs())
	idempotent := strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/resume/")
	if !idempotent {
		require.LessOrEqual(t, x.runs(), 1, told)
	}
	if x.tells && !x.conns[0].headRead() {
		require.Len(t, x.conns, 2, "half a head proves that it has not run: %s", told)
	}
	whole, body := x.sentWhole()
	if whole && x.conns[0].headRead() && x.first.status == 200 {
		require.Len(t, x.conns, 1, told)
	}
	if aborted {
		return
	}
	switch resp.Code {
	case 200:
		if len(x.conns) == 1 {
			require.True(t, whole, told)
			require.Equal(t, body, resp.Body.String(), told)
			require.Equal(t, 200, x.first.status, told)
		} else {
			require.Equal(t, x.others("").body, resp.Body.String(), told)
		}
		require.NotEmpty(t, resp.Header().Get(hSeal), told)
	case 408, 421, 429, 503:
		require.Zero(t, x.runs(), "a promise that does not hold: %s", told)
	case 502:
		require.Empty(t, resp.Header().Get(hSeal), told)
	default:
		require.Equal(t, x.first.status, resp.Code, told)
		require.Equal(t, x.first.body, resp.Body.String(), told)
		require.True(t, whole, told)
	}
}

// everyByte plays an exchange for each number of bytes that the first server reads and answers with.
func everyByte(t *testing.T, path string, answer serverAnswer, others func(request string) serverAnswer, check func(x *exchange)) {
	probe := &exchange{first: answer, others: others, read: 1 << 20, answered: len(answer.text), end: io.EOF}
	probe.play(t, path)
	request := probe.conns[0].written.Len()
	head := request - len(exchangeBody)
	for _, end := range []error{io.EOF, syscall.ECONNRESET} {
		for _, tells := range []bool{false, true} {
			for read := range request + 1 {
				if tells && read == request {
					continue // no write fails
				}
				most := 0
				if read >= head {
					most = len(answer.text)
				}
				for answered := range most + 1 {
					check(&exchange{first: answer, others: others, read: read, answered: answered, end: end, tells: tells})
				}
			}
		}
	}
}

// A server ends its connection after each byte of a request and each byte of its answer: a request
// that may run once never runs twice, no answer looks whole that is not, and no promise is broken.
func TestEachByteOfAnExchange(t *testing.T) {
	others := func(string) serverAnswer { return lengthAnswer(200, true, sealed, "another's") }
	for name, answer := range serverAnswers {
		for _, path := range []string{"/once/x", "/safe/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				everyByte(t, path, answer, others, func(x *exchange) {
					resp, aborted := x.play(t, path)
					x.check(t, path, resp, aborted)
				})
			})
		}
	}
}

// streamAnswer is a stream of events, all of one version.
func streamAnswer(from, to int) serverAnswer {
	var pieces []string
	for i := from; i <= to; i++ {
		pieces = append(pieces, piece(i))
	}
	return openAnswer(hVersions+": 3\r\nTransfer-Encoding: chunked\r\n", chunks(pieces...), events(from, to), false)
}

// The same for streams: the client gets a beginning of the stream in whole events, which looks
// whole only if it is; one that may not be resumed runs once.
func TestEachByteOfAStream(t *testing.T) {
	const last = 3
	others := func(request string) serverAnswer {
		_, after, _ := strings.Cut(request, hLast+": ")
		from := 0
		_, _ = fmt.Sscan(after, &from) // none: from the start
		return streamAnswer(from+1, last)
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			everyByte(t, path, streamAnswer(1, last), others, func(x *exchange) {
				resp, aborted := x.play(t, path)
				told := fmt.Sprintf("read %d, answered %d of %d, end %v, write fails %v: %d %q, aborted %v, %d servers, %d ran",
					x.read, x.answered, len(x.first.text), x.end, x.tells, resp.Code, resp.Body, aborted, len(x.conns), x.runs())
				if path == "/stream/x" {
					require.LessOrEqual(t, x.runs(), 1, told)
				}
				got := resp.Body.String()
				switch {
				case aborted:
					require.LessOrEqual(t, len(got), len(events(1, last)), told) // its end may be what is missing
					require.Equal(t, events(1, strings.Count(got, "\n\n")), got, told)
				case resp.Code == 200:
					require.Equal(t, events(1, last), got, told)
				default:
					require.Equal(t, 502, resp.Code, told)
				}
				if path == "/resume/x" {
					require.False(t, aborted, told)
					require.Equal(t, 200, resp.Code, told)
				}
			})
		})
	}
}
